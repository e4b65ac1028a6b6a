//! Shell of the sidecar: sockets, timers and bodies around the reducer in [`crate::sidecar`].

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
use crate::upstream;
use crate::wire;

/// Pause between two ticks of the reducer.
const TICK: time::Duration = time::Duration::from_millis(50);
/// Events that wait for the loop before senders are held back.
const EVENT_BUFFER: usize = 1_024;

/// What is kept of an attempt until its call is made.
struct Pending {
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

/// Runs a sidecar on a listener that is open already.
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
    let (messages, inbox) = mpsc::channel(EVENT_BUFFER);
    let (parts, part_inbox) = mpsc::channel(EVENT_BUFFER);
    let (hints, hint_inbox) = mpsc::channel(16);
    let in_force = config_sync::ActiveSender::new(revision::ActiveConfig::default());
    let clock = clock::SystemClock::new();
    let reducer = sidecar::Sidecar::new(identity.clone());
    let (status, status_reader) = watch::channel(status_of(&settings.instance, &reducer, "none"));
    let shared = sidecar_http::SidecarHandler {
        messages: messages.clone(),
        in_force: in_force.clone(),
        status: status_reader,
        conns: sync::Arc::default(),
    };
    let process = registry::Process {
        role: registry::Role::Sidecar,
        address: settings.listen,
        domain: settings.domain.clone(),
        service: Some(settings.service.clone()),
    };
    let peers = settings.peers.clone();
    let sync = config_sync::follow_peers(
        store.clone(),
        peers,
        in_force.clone(),
        hint_inbox,
        true,
        rng.fork(),
    );
    let background = [
        tokio::spawn(sync).abort_handle(),
        tokio::spawn(registry::register(store.clone(), settings.instance.clone(), process))
            .abort_handle(),
    ];
    let (close, closing) = watch::channel(false);
    let server = tokio::spawn(http::serve(listener, shared, closing));
    let shell = Shell {
        reducer,
        clock,
        upstream: settings.upstream,
        clients: Clients { once: http::client(false), reuse: http::client(true) },
        peers: http::peer_client(),
        store_client: owner_calls::OwnershipClient::new(store, clock, identity),
        messages,
        parts,
        hints,
        status,
        in_force: in_force.subscribe(),
        pending: collections::BTreeMap::new(),
        answers: collections::BTreeMap::new(),
        tasks: collections::BTreeMap::new(),
        conns: collections::BTreeMap::new(),
        listening: collections::BTreeMap::new(),
        verdicts: collections::BTreeMap::new(),
        next_conn: 1 << 63,
        stop_limit: settings.stop_ms.duration(),
        settings,
    };
    shell.run(inbox, part_inbox, stop).await;
    close.send_replace(true);
    let _ = http::with_timeout(time::Duration::from_secs(2), server).await;
    for task in background {
        task.abort();
    }
}

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

struct Clients {
    once: http::Client,
    reuse: http::Client,
}

struct Shell<S> {
    reducer: sidecar::Sidecar,
    clock: clock::SystemClock,
    upstream: net::SocketAddr,
    clients: Clients,
    peers: http::Client,
    store_client: owner_calls::OwnershipClient<S>,
    messages: mpsc::Sender<sidecar_http::Message>,
    parts: mpsc::Sender<(id::AttemptId, upstream::Part)>,
    hints: mpsc::Sender<config_sync::Hint>,
    status: watch::Sender<registry::Status>,
    in_force: watch::Receiver<revision::ActiveConfig>,
    pending: collections::BTreeMap<id::AttemptId, Pending>,
    answers: collections::BTreeMap<id::AttemptId, answer::Answer>,
    tasks: collections::BTreeMap<id::AttemptId, tokio::task::AbortHandle>,
    conns: collections::BTreeMap<attempt::ConnId, answer::FrameSender>,
    listening: collections::BTreeMap<attempt::ConnId, id::AttemptId>,
    verdicts: collections::BTreeMap<attempt::ConnId, oneshot::Sender<bool>>,
    next_conn: u64,
    stop_limit: time::Duration,
    settings: settings::SidecarSettings,
}

impl<S: store::Store> Shell<S> {
    async fn run(
        mut self,
        mut inbox: mpsc::Receiver<sidecar_http::Message>,
        mut parts: mpsc::Receiver<(id::AttemptId, upstream::Part)>,
        mut stop: watch::Receiver<bool>,
    ) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut in_force = self.in_force.clone();
        let mut stop_at = None;
        loop {
            tokio::select! {
                _ = ticks.tick() => self.step(sidecar::Event::Tick),
                Some(message) = inbox.recv() => self.take(message),
                Some((attempt, part)) = parts.recv() => self.take_part(attempt, part),
                Ok(()) = in_force.changed() => {
                    let now = in_force.borrow_and_update().clone();
                    self.configure(&now);
                }
                _ = stop.wait_for(|stop| *stop), if stop_at.is_none() => {
                    stop_at = Some(tokio::time::Instant::now() + self.stop_limit);
                    self.step(sidecar::Event::Drain(sidecar::DrainCause::Signal, true));
                }
            }
            self.publish_status();
            if let Some(limit) = stop_at
                && (self.reducer.is_drained() || tokio::time::Instant::now() >= limit)
            {
                break;
            }
        }
        if let Some(lease) = self.reducer.lease_id() {
            self.store_client.call(claim::Call::Revoke { lease }).await;
        }
        log::info!("event=sidecar_stop instance={}", self.settings.instance);
    }

    fn configure(&mut self, now: &revision::ActiveConfig) {
        self.step(sidecar::Event::Configured(now.config.clone(), now.revision));
        let draining = now.stored.draining.contains(&self.settings.instance);
        self.step(sidecar::Event::Drain(sidecar::DrainCause::Configuration, draining));
    }

    fn publish_status(&self) {
        let source = self.in_force.borrow().source.to_string();
        let next = status_of(&self.settings.instance, &self.reducer, &source);
        self.status.send_if_modified(|status| {
            let changed = *status != next;
            *status = next;
            changed
        });
    }

    fn take(&mut self, message: sidecar_http::Message) {
        match message {
            sidecar_http::Message::Open { conn, open, body, frames } => {
                self.open(conn, open, body, frames);
            }
            sidecar_http::Message::Attach { conn, attach, frames } => {
                self.conns.insert(conn, frames);
                self.step(sidecar::Event::Attach { conn, attach });
            }
            sidecar_http::Message::Closed(conn) => {
                self.conns.remove(&conn);
                let attempt = self.listening.remove(&conn);
                if let Some(answer) = attempt.and_then(|a| self.answers.get_mut(&a)) {
                    answer.unsubscribe(conn);
                }
                self.step(sidecar::Event::ConnectionClosed(conn));
            }
            sidecar_http::Message::Cancel(attempt) => self.step(sidecar::Event::Cancel(attempt)),
            sidecar_http::Message::Leave => {
                self.step(sidecar::Event::Drain(sidecar::DrainCause::InstanceList, true));
            }
            sidecar_http::Message::Offered { message, verdict } => self.offered(message, verdict),
            sidecar_http::Message::Order(reply) => self.step(sidecar::Event::Order(reply)),
            sidecar_http::Message::Ownership(reply) => self.step(sidecar::Event::Ownership(reply)),
        }
    }

    fn open(
        &mut self,
        conn: attempt::ConnId,
        open: wire::OpenAttempt,
        body: bytes::Bytes,
        frames: answer::FrameSender,
    ) {
        let hint = config_sync::Hint { address: open.sender, revision: open.revision };
        // A full channel means that a hint is being followed already.
        let _ = self.hints.try_send(hint);
        let attempt = open.attempt;
        let digest = auth::digest(&body);
        self.conns.insert(conn, frames);
        let is_new = !self.answers.contains_key(&attempt);
        if is_new {
            self.answers.insert(attempt, answer::Answer::new(open.offset));
            self.pending.insert(attempt, Pending { open: open.clone(), body });
        }
        self.step(sidecar::Event::Open { conn, open, digest });
        if is_new && !self.reducer.is_open(attempt) {
            self.answers.remove(&attempt);
            self.pending.remove(&attempt);
        }
    }

    fn offered(&mut self, message: peer::HandoverMessage, verdict: oneshot::Sender<bool>) {
        let conn = attempt::ConnId(self.next_conn);
        self.next_conn += 1;
        self.verdicts.insert(conn, verdict);
        let mut sizes = collections::BTreeMap::new();
        for kept in message.answers {
            sizes.insert(kept.attempt, kept.body.data.len() as u64);
            let answer = answer::Answer::from_whole(kept.head, kept.body, self.reducer.load());
            self.answers.entry(kept.attempt).or_insert(answer);
        }
        let handover = message.handover;
        self.step(sidecar::Event::Offered { conn, handover, answer_sizes: sizes });
    }

    fn take_part(&mut self, attempt: id::AttemptId, part: upstream::Part) {
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
                self.tasks.remove(&attempt);
                self.step(sidecar::Event::CallFinished(attempt, status));
            }
            upstream::Part::Failed(error) => {
                self.tasks.remove(&attempt);
                self.step(sidecar::Event::CallFailed(attempt, error));
            }
        }
    }

    fn step(&mut self, event: sidecar::Event) {
        let mut effects = Vec::new();
        self.reducer.step(self.clock.now(), event, &mut effects);
        for effect in effects {
            self.carry_out(effect);
        }
    }

    fn carry_out(&mut self, effect: sidecar::Effect) {
        match effect {
            sidecar::Effect::Start { attempt, budget } => self.start(attempt, budget),
            sidecar::Effect::Abort(attempt) => {
                if let Some(task) = self.tasks.remove(&attempt) {
                    task.abort();
                }
            }
            sidecar::Effect::Subscribe { conn, attempt, offset, load } => {
                let Some(frames) = self.conns.remove(&conn) else { return };
                // A receiver that is gone reports itself as closed.
                let _ = frames.send(wire::Frame::Accepted(load));
                if let Some(answer) = self.answers.get_mut(&attempt) {
                    self.listening.insert(conn, attempt);
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
            sidecar::Effect::Ownership(call) => self.call(call),
            sidecar::Effect::Order(call) => self.order(call),
            sidecar::Effect::HandOver(to, handover) => self.hand_over(to, handover),
            sidecar::Effect::OfferResult(conn, accepted) => {
                if let Some(verdict) = self.verdicts.remove(&conn) {
                    let _ = verdict.send(accepted);
                }
            }
            sidecar::Effect::Log(line) => {
                log::info!("{line} instance={}", self.settings.instance);
            }
        }
    }

    fn start(&mut self, attempt: id::AttemptId, budget: time::Duration) {
        let Some(Pending { open, body }) = self.pending.remove(&attempt) else { return };
        let in_force = self.in_force.borrow();
        let Some(service) = in_force.config.services.get(&self.settings.service) else { return };
        let repeatable = service.idempotent;
        let path = service.path.clone();
        drop(in_force);
        if let Some(answer) = self.answers.get_mut(&attempt) {
            answer.start();
        }
        let key = open.key.map(|key| match key.text.split_once('/') {
            Some((_, own)) => own.to_owned(),
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
        self.tasks.insert(attempt, task.abort_handle());
    }

    fn call(&self, call: claim::Call) {
        let (store_client, messages) = (self.store_client.clone(), self.messages.clone());
        tokio::spawn(async move {
            let reply = store_client.call(call).await;
            // Fails only when the process ends.
            let _ = messages.send(sidecar_http::Message::Ownership(reply)).await;
        });
    }

    fn order(&self, call: order::Call) {
        let (store_client, messages) = (self.store_client.clone(), self.messages.clone());
        let (client, upstream) = (self.clients.once.clone(), self.upstream);
        tokio::spawn(async move {
            let reply = match call {
                order::Call::ClaimKey(lease) => store_client.claim_upstream(lease).await,
                order::Call::Send { token, order } => {
                    upstream::send_order(client, upstream, token, order).await
                }
            };
            // Fails only when the process ends.
            let _ = messages.send(sidecar_http::Message::Order(reply)).await;
        });
    }

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
        let (client, messages) = (self.peers.clone(), self.messages.clone());
        tokio::spawn(async move {
            let accepted = peer::hand_over(&client, to, &message).await.unwrap_or(false);
            let reply = claim::Reply::OfferEnded { ranges, accepted };
            // Fails only when the process ends.
            let _ = messages.send(sidecar_http::Message::Ownership(reply)).await;
        });
    }
}
