//! Shell of a sidecar: owns the sockets, timers and bodies, and runs the event loop around the
//! reducer in [`crate::sidecar`].

use std::collections;
use std::io;
use std::net;
use std::sync;
use std::time;

use tokio::sync::{mpsc, oneshot, watch};

use crate::answer;
use crate::attempt;
use crate::auth;
use crate::claim;
use crate::clock;
use crate::clock::Clock as _;
use crate::config_sync;
use crate::http;
use crate::id;
use crate::memory_budget;
use crate::order;
use crate::owner_calls;
use crate::peer;
use crate::registry;
use crate::revision;
use crate::settings;
use crate::sidecar;
use crate::sidecar_http;
use crate::store;
use crate::telemetry;
use crate::unit;
use crate::upstream;
use crate::wire;

/// Interval of the reducer's ticks.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Time that connections have to end once the server closes.
const CLOSE_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Capacity of the channels into the event loop; senders wait while one is full.
const CHANNEL_CAPACITY: usize = 1_024;

/// Data of an attempt that is needed to make its call, until the call is made.
struct PendingCall {
    open: wire::OpenAttempt,
    body: bytes::Bytes,
}

/// Runs a sidecar until `stop` turns true and all work in progress has ended.
///
/// # Errors
/// Fails if the address cannot be listened on.
pub async fn run<S: store::Store>(
    settings: settings::SidecarSettings,
    store: S,
    stop: watch::Receiver<bool>,
) -> io::Result<()> {
    let listener = http::listen(settings.listen).await?;
    run_on(listener, settings, store, stop).await;
    Ok(())
}

/// Runs a sidecar on a listener that is already bound, until `stop` turns true and all work in
/// progress has ended.
pub async fn run_on<S: store::Store>(
    listener: tokio::net::TcpListener,
    settings: settings::SidecarSettings,
    store: S,
    stop: watch::Receiver<bool>,
) {
    telemetry::install();
    let mut rng = fastrand::Rng::new();
    let identity = sidecar::Identity {
        instance: settings.instance.clone(),
        service: settings.service.clone(),
        address: settings.listen,
        incarnation: id::Incarnation(rng.u64(..)),
    };
    log::info!(
        "event=sidecar_start instance={} service={} listen={} upstream={} incarnation={}",
        identity.instance,
        identity.service,
        settings.listen,
        settings.upstream,
        identity.incarnation
    );
    let (messages, inbox) = mpsc::channel(CHANNEL_CAPACITY);
    let (parts, part_inbox) = mpsc::channel(CHANNEL_CAPACITY);
    let (hints, hint_inbox) = mpsc::channel(16);
    let active_config = config_sync::ActiveSender::new(revision::ActiveConfig::default());
    let clock = clock::SystemClock::new();
    let reducer = sidecar::Sidecar::new(identity.clone());
    let (status, status_reader) = watch::channel(status_of(&settings.instance, &reducer, "none"));
    let budget = memory_budget::Budget::new(settings.capacity);
    let handler = sidecar_http::SidecarHandler {
        messages: messages.clone(),
        active_config: active_config.clone(),
        status: status_reader,
        conns: sync::Arc::default(),
        budget: budget.clone(),
    };
    let process = registry::Process {
        role: registry::Role::Sidecar,
        address: settings.listen,
        domain: settings.domain.clone(),
        service: Some(settings.service.clone()),
    };
    let peers = settings.peers.clone();
    let config_sync = config_sync::follow_peers(
        store.clone(),
        peers,
        active_config.clone(),
        hint_inbox,
        true,
        rng.fork(),
    );
    let background = [
        tokio::spawn(config_sync).abort_handle(),
        tokio::spawn(registry::register(store.clone(), settings.instance.clone(), process))
            .abort_handle(),
    ];
    let server = http::RunningServer::spawn(
        listener,
        handler,
        http::ServerLimits {
            streams: http::MAX_STREAMS,
            ..http::ServerLimits::for_callers(&budget)
        },
    );
    let shell = Shell {
        reducer,
        clock,
        upstream: settings.upstream,
        clients: UpstreamClients { once: http::client(false), reuse: http::client(true) },
        peer_client: http::peer_client(),
        store_client: owner_calls::OwnershipClient::new(store, clock, identity),
        messages,
        parts,
        hints,
        status,
        budget,
        active_config: active_config.subscribe(),
        pending: collections::BTreeMap::new(),
        answers: collections::BTreeMap::new(),
        call_tasks: collections::BTreeMap::new(),
        conns: collections::BTreeMap::new(),
        subscriptions: collections::BTreeMap::new(),
        offer_results: collections::BTreeMap::new(),
        next_conn: 1 << 63,
        stop_timeout: settings.stop_ms.duration(),
        settings,
    };
    shell.run(inbox, part_inbox, stop, server).await;
    for task in background {
        task.abort();
    }
}

/// Returns the status of the process, as shown to operators and balancers.
fn status_of(
    instance: &id::InstanceId,
    reducer: &sidecar::Sidecar,
    source: &str,
) -> registry::Status {
    registry::Status {
        instance: instance.clone(),
        revision: reducer.load().revision,
        source: source.to_owned(),
        draining: reducer.is_draining(),
        drained: reducer.is_drained(),
        in_progress: reducer.open_count() as u64,
    }
}

/// HTTP clients for calls to the upstream.
struct UpstreamClients {
    /// Opens a connection for each call. A call that may run once never meets a connection that the
    /// upstream is just closing, which would leave open whether it ran.
    once: http::Client,
    /// Reuses connections, for calls that may repeat.
    reuse: http::Client,
}

/// Event loop of a sidecar with the state that the reducer does not hold.
struct Shell<S> {
    reducer: sidecar::Sidecar,
    clock: clock::SystemClock,
    upstream: net::SocketAddr,
    clients: UpstreamClients,
    /// Client for requests to other sidecars.
    peer_client: http::Client,
    store_client: owner_calls::OwnershipClient<S>,
    /// Channel into the event loop, for the results of store calls, orders and handovers.
    messages: mpsc::Sender<sidecar_http::Message>,
    /// Channel into the event loop, for the answers of the upstream.
    parts: mpsc::Sender<(id::AttemptId, upstream::Part)>,
    /// Hints that another process has a newer configuration.
    hints: mpsc::Sender<config_sync::Hint>,
    status: watch::Sender<registry::Status>,
    /// Memory for messages.
    budget: memory_budget::Budget,
    active_config: watch::Receiver<revision::ActiveConfig>,
    /// Attempts whose call has not been started.
    pending: collections::BTreeMap<id::AttemptId, PendingCall>,
    /// Answers of running calls and retained answers of finished ones.
    answers: collections::BTreeMap<id::AttemptId, answer::Answer>,
    /// Tasks of running calls, by which the calls are aborted.
    call_tasks: collections::BTreeMap<id::AttemptId, tokio::task::AbortHandle>,
    /// Connections that the reducer has not subscribed to an answer or refused yet.
    conns: collections::BTreeMap<attempt::ConnId, answer::FrameSender>,
    /// Attempt whose answer each subscribed connection receives.
    subscriptions: collections::BTreeMap<attempt::ConnId, id::AttemptId>,
    /// Where the decisions on offered ranges go.
    offer_results: collections::BTreeMap<attempt::ConnId, oneshot::Sender<bool>>,
    /// Number of the next connection that the shell makes for an offer. It starts at 2^63, apart
    /// from the numbers of the HTTP handler.
    next_conn: u64,
    stop_timeout: time::Duration,
    settings: settings::SidecarSettings,
}

impl<S: store::Store> Shell<S> {
    async fn run(
        mut self,
        mut inbox: mpsc::Receiver<sidecar_http::Message>,
        mut parts: mpsc::Receiver<(id::AttemptId, upstream::Part)>,
        mut stop: watch::Receiver<bool>,
        mut server: http::RunningServer,
    ) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut active_config = self.active_config.clone();
        let mut stop_at = None;
        // Set once the server closes. Messages that were on the way then are still answered.
        let mut end_at: Option<tokio::time::Instant> = None;
        loop {
            tokio::select! {
                _ = ticks.tick() => self.step(sidecar::Event::Tick),
                Some(message) = inbox.recv() => self.handle_message(message),
                Some((attempt, part)) = parts.recv() => self.handle_part(attempt, part),
                Ok(()) = active_config.changed() => {
                    let active = active_config.borrow_and_update().clone();
                    self.configure(&active);
                }
                _ = stop.wait_for(|stop| *stop), if stop_at.is_none() => {
                    stop_at = Some(tokio::time::Instant::now() + self.stop_timeout);
                    self.step(sidecar::Event::Drain(sidecar::DrainCause::Signal, true));
                }
                () = server.closed() => break,
            }
            self.publish_status();
            let now = tokio::time::Instant::now();
            if end_at.is_some_and(|end| now >= end) {
                break;
            }
            if let Some(deadline) = stop_at
                && end_at.is_none()
                && (self.reducer.is_drained() || now >= deadline)
            {
                server.close();
                end_at = Some(now + CLOSE_TIMEOUT);
            }
        }
        if let Some(lease) = self.reducer.lease_id() {
            self.store_client.call(claim::Call::Revoke { lease }).await;
        }
        log::info!("event=sidecar_stop instance={}", self.settings.instance);
    }

    /// Passes a new configuration to the reducer, and whether it drains this instance.
    fn configure(&mut self, active: &revision::ActiveConfig) {
        let mut config = active.config.clone();
        // The answers that are kept must fit the instance as well.
        let most = self.budget.limits().bytes as u64;
        if config.limits.kept_bytes.0 > most {
            sync::Arc::make_mut(&mut config).limits.kept_bytes = unit::ByteSize(most);
        }
        self.step(sidecar::Event::Configured(config, active.revision));
        let draining = active.stored.draining.contains(&self.settings.instance);
        self.step(sidecar::Event::Drain(sidecar::DrainCause::Configuration, draining));
    }

    /// Publishes the status to the HTTP handler and records the use of memory.
    fn publish_status(&self) {
        self.budget.publish();
        let source = self.active_config.borrow().source.to_string();
        let next = status_of(&self.settings.instance, &self.reducer, &source);
        self.status.send_if_modified(|status| {
            let changed = *status != next;
            *status = next;
            changed
        });
    }

    fn handle_message(&mut self, message: sidecar_http::Message) {
        match message {
            sidecar_http::Message::Open { conn, open, body, frames } => {
                self.open_attempt(conn, open, body, frames);
            }
            sidecar_http::Message::Attach { conn, attach, frames } => {
                self.conns.insert(conn, frames);
                self.step(sidecar::Event::Attach { conn, attach });
            }
            sidecar_http::Message::Closed(conn) => {
                self.conns.remove(&conn);
                let attempt = self.subscriptions.remove(&conn);
                if let Some(answer) = attempt.and_then(|a| self.answers.get_mut(&a)) {
                    answer.unsubscribe(conn);
                }
                self.step(sidecar::Event::ConnectionClosed(conn));
            }
            sidecar_http::Message::Cancel(attempt) => self.step(sidecar::Event::Cancel(attempt)),
            sidecar_http::Message::Leave => {
                self.step(sidecar::Event::Drain(sidecar::DrainCause::InstanceList, true));
            }
            sidecar_http::Message::Offered { message, reply } => self.handle_offer(message, reply),
            sidecar_http::Message::Order(reply) => self.step(sidecar::Event::Order(reply)),
            sidecar_http::Message::Ownership(reply) => self.step(sidecar::Event::Ownership(reply)),
        }
    }

    /// Passes a new attempt to the reducer. Body and answer are dropped again if it was refused.
    fn open_attempt(
        &mut self,
        conn: attempt::ConnId,
        open: wire::OpenAttempt,
        body: bytes::Bytes,
        frames: answer::FrameSender,
    ) {
        let hint = config_sync::Hint { address: open.sender, revision: open.revision };
        // A full channel means that an earlier hint is still being processed.
        let _ = self.hints.try_send(hint);
        let attempt = open.attempt;
        let digest = auth::digest(&body);
        self.conns.insert(conn, frames);
        let is_new = !self.answers.contains_key(&attempt);
        if is_new {
            self.answers.insert(attempt, answer::Answer::new(open.offset));
            self.pending.insert(attempt, PendingCall { open: open.clone(), body });
        }
        self.step(sidecar::Event::Open { conn, open, digest });
        if is_new && !self.reducer.is_open(attempt) {
            self.answers.remove(&attempt);
            self.pending.remove(&attempt);
        }
    }

    /// Passes an offer of ranges by another sidecar to the reducer, with the answers that come with
    /// it.
    fn handle_offer(&mut self, message: peer::HandoverMessage, reply: oneshot::Sender<bool>) {
        let conn = attempt::ConnId(self.next_conn);
        self.next_conn += 1;
        self.offer_results.insert(conn, reply);
        let mut answer_sizes = collections::BTreeMap::new();
        for retained in message.answers {
            answer_sizes.insert(retained.attempt, retained.body.data.len() as u64);
            let answer =
                answer::Answer::from_whole(retained.head, retained.body, self.reducer.load());
            self.answers.entry(retained.attempt).or_insert(answer);
        }
        let handover = message.handover;
        self.step(sidecar::Event::Offered { conn, handover, answer_sizes });
    }

    /// Adds a part of the upstream's answer to the attempt's answer and reports progress to the
    /// reducer.
    fn handle_part(&mut self, attempt: id::AttemptId, part: upstream::Part) {
        match part {
            upstream::Part::Head(head) => {
                if let Some(answer) = self.answers.get_mut(&attempt) {
                    answer.set_head(head);
                }
            }
            upstream::Part::Data(data) => {
                let bytes = data.len() as u64;
                if let Some(answer) = self.answers.get_mut(&attempt) {
                    answer.push(data);
                }
                self.step(sidecar::Event::Progress(attempt, bytes));
            }
            upstream::Part::End(status) => {
                self.call_tasks.remove(&attempt);
                self.step(sidecar::Event::CallFinished(attempt, status));
            }
            upstream::Part::Failed(error) => {
                self.call_tasks.remove(&attempt);
                self.step(sidecar::Event::CallFailed(attempt, error));
            }
        }
    }

    /// Passes an event to the reducer and applies the effects that it returns.
    fn step(&mut self, event: sidecar::Event) {
        let mut effects = Vec::new();
        self.reducer.step(self.clock.now(), event, &mut effects);
        for effect in effects {
            self.apply_effect(effect);
        }
    }

    fn apply_effect(&mut self, effect: sidecar::Effect) {
        match effect {
            sidecar::Effect::Start { attempt, budget } => self.start_call(attempt, budget),
            sidecar::Effect::Abort(attempt) => {
                if let Some(task) = self.call_tasks.remove(&attempt) {
                    task.abort();
                }
            }
            sidecar::Effect::Subscribe { conn, attempt, offset, load } => {
                let Some(frames) = self.conns.remove(&conn) else { return };
                // Fails if the connection has closed, which its task reports.
                let _ = frames.send(wire::Frame::Accepted(load));
                if let Some(answer) = self.answers.get_mut(&attempt) {
                    self.subscriptions.insert(conn, attempt);
                    answer.subscribe(conn, frames, offset);
                }
            }
            sidecar::Effect::Refuse(conn, refused) => {
                if let Some(frames) = self.conns.remove(&conn) {
                    let _ = frames.send(wire::Frame::Refused(refused));
                }
            }
            sidecar::Effect::Finish(attempt, load) => {
                if let Some(answer) = self.answers.get_mut(&attempt) {
                    answer.finish(load);
                }
            }
            sidecar::Effect::Fail(attempt, refused) => {
                if let Some(answer) = self.answers.get_mut(&attempt) {
                    answer.fail(refused);
                }
            }
            sidecar::Effect::Discard(attempt) => {
                self.answers.remove(&attempt);
                self.pending.remove(&attempt);
            }
            sidecar::Effect::Ownership(call) => self.call_ownership(call),
            sidecar::Effect::Order(call) => self.call_order(call),
            sidecar::Effect::HandOver(to, handover) => self.hand_over(to, handover),
            sidecar::Effect::OfferResult(conn, accepted) => {
                if let Some(reply) = self.offer_results.remove(&conn) {
                    let _ = reply.send(accepted);
                }
            }
            sidecar::Effect::Log(line) => {
                log::info!("{line} instance={}", self.settings.instance);
            }
        }
    }

    /// Starts the call of an attempt to the upstream.
    fn start_call(&mut self, attempt: id::AttemptId, budget: time::Duration) {
        let Some(PendingCall { open, body }) = self.pending.remove(&attempt) else { return };
        let active = self.active_config.borrow();
        let Some(service) = active.config.services.get(&self.settings.service) else { return };
        let repeatable = service.idempotent;
        let path = service.path.clone();
        drop(active);
        if let Some(answer) = self.answers.get_mut(&attempt) {
            answer.mark_started();
        }
        // The upstream receives the key without the team's prefix.
        let key = open.key.map(|key| match key.text.split_once('/') {
            Some((_, key)) => key.to_owned(),
            None => key.text,
        });
        let call = upstream::Call {
            attempt,
            address: self.upstream,
            path,
            body,
            request: open.request,
            team: open.team,
            key,
            offset: open.offset,
            budget,
            repeatable,
        };
        let client = if repeatable { &self.clients.reuse } else { &self.clients.once };
        let task = tokio::spawn(upstream::run(client.clone(), call, self.parts.clone()));
        self.call_tasks.insert(attempt, task.abort_handle());
    }

    /// Makes a call of the ownership protocol and reports its result to the event loop.
    fn call_ownership(&self, call: claim::Call) {
        let (store_client, messages) = (self.store_client.clone(), self.messages.clone());
        tokio::spawn(async move {
            let reply = store_client.call(call).await;
            // Fails only when the process stops.
            let _ = messages.send(sidecar_http::Message::Ownership(reply)).await;
        });
    }

    /// Makes a call about an order and reports its result to the event loop.
    fn call_order(&self, call: order::Call) {
        let (store_client, messages) = (self.store_client.clone(), self.messages.clone());
        let (client, upstream) = (self.clients.once.clone(), self.upstream);
        tokio::spawn(async move {
            let reply = match call {
                order::Call::ClaimKey(lease) => store_client.claim_upstream(lease).await,
                order::Call::Send { token, order } => {
                    upstream::send_order(client, upstream, token, order).await
                }
            };
            // Fails only when the process stops.
            let _ = messages.send(sidecar_http::Message::Order(reply)).await;
        });
    }

    /// Offers ranges to another sidecar, with the whole answers of their attempts.
    fn hand_over(&self, to: net::SocketAddr, handover: sidecar::Handover) {
        let ranges = handover.ranges.keys().copied().collect();
        let answers = handover
            .answers_kept
            .iter()
            .filter(|(_, done)| **done)
            .filter_map(|(attempt, _)| {
                let (head, body) = self.answers.get(attempt)?.to_whole()?;
                Some(peer::RetainedAnswer { attempt: *attempt, head, body })
            })
            .collect();
        let message = peer::HandoverMessage { handover, answers };
        let (client, messages) = (self.peer_client.clone(), self.messages.clone());
        tokio::spawn(async move {
            let accepted = peer::hand_over(&client, to, &message).await.unwrap_or(false);
            let reply = claim::Reply::OfferEnded { ranges, accepted };
            // Fails only when the process stops.
            let _ = messages.send(sidecar_http::Message::Ownership(reply)).await;
        });
    }
}
