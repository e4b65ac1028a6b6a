//! Shell of an entry: owns the sockets, timers and bodies, and runs the event loop around the
//! reducer in [`crate::entry`].

use std::collections;
use std::io;
use std::net;
use std::sync;
use std::time;

use tokio::sync::{mpsc, watch};

use crate::attempt_client;
use crate::auth;
use crate::clock;
use crate::clock::Clock as _;
use crate::config_sync;
use crate::entry;
use crate::entry_http;
use crate::http;
use crate::id;
use crate::instance_list;
use crate::membership;
use crate::memory_budget;
use crate::memory_budget::ledger;
use crate::plan;
use crate::refusal;
use crate::registry;
use crate::revision;
use crate::routing;
use crate::settings;
use crate::store;
use crate::telemetry;
use crate::template;
use crate::wire;

/// Interval of the reducer's ticks.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Capacity of the channels into the event loop. While one is full, tasks that report on attempts
/// wait, and new requests are refused.
const CHANNEL_CAPACITY: usize = 4_096;
/// Time beyond the longest deadline for which a stopping entry waits for requests in progress.
const STOP_MARGIN: time::Duration = time::Duration::from_secs(2);

/// Sockets on which an entry accepts connections.
#[derive(Debug)]
pub struct Listeners {
    /// Accepts connections of callers.
    pub callers: tokio::net::TcpListener,
    /// Accepts connections of other processes of the system.
    pub peers: tokio::net::TcpListener,
}

/// Runs an entry until `stop` turns true and all requests in progress have ended.
///
/// # Errors
/// Fails if an address cannot be listened on.
pub async fn run<S: store::Store>(
    settings: settings::EntrySettings,
    store: S,
    stop: watch::Receiver<bool>,
) -> io::Result<()> {
    let callers = http::listen(settings.listen).await?;
    let peers = http::listen(settings.peer_listen).await?;
    run_on(Listeners { callers, peers }, settings, store, stop).await;
    Ok(())
}

/// Runs an entry on listeners that are already bound, until `stop` turns true and all requests in
/// progress have ended.
pub async fn run_on<S: store::Store>(
    listeners: Listeners,
    settings: settings::EntrySettings,
    store: S,
    stop: watch::Receiver<bool>,
) {
    telemetry::install();
    let mut rng = fastrand::Rng::new();
    log::info!(
        "event=entry_start instance={} listen={} peer_listen={} domain={}",
        settings.instance,
        settings.listen,
        settings.peer_listen,
        settings.domain
    );
    let reducer = entry::Entry::new(
        settings.instance.clone(),
        settings.domain.clone(),
        settings.peer_listen,
        rng.u64(..),
    );
    let active_config = config_sync::ActiveSender::new(revision::ActiveConfig::default());
    let (attempt_messages, attempt_inbox) = mpsc::channel(CHANNEL_CAPACITY);
    let (caller_messages, caller_inbox) = mpsc::channel(CHANNEL_CAPACITY);
    let (lists, list_inbox) = mpsc::channel(1);
    let (counts, count_inbox) = mpsc::channel(1);
    let (hints, hint_inbox) = mpsc::channel(16);
    let (credentials, credential_reader) = watch::channel(sync::Arc::default());
    let (status, status_reader) = watch::channel(registry::Status {
        instance: settings.instance.clone(),
        revision: id::Revision(0),
        source: revision::Source::None.to_string(),
        draining: false,
        drained: false,
        in_progress: 0,
    });
    let process = registry::Process {
        role: registry::Role::Entry,
        address: settings.peer_listen,
        domain: settings.domain.clone(),
        service: None,
    };
    let peers = settings.peers.clone();
    let background = [
        tokio::spawn(config_sync::follow_store(store.clone(), active_config.clone(), rng.fork())),
        tokio::spawn(config_sync::follow_peers(
            store.clone(),
            peers,
            active_config.clone(),
            hint_inbox,
            false,
            rng.fork(),
        )),
        tokio::spawn(registry::register(store.clone(), settings.instance.clone(), process)),
        tokio::spawn(instance_list::follow_list(settings.instances.clone(), lists, rng.fork())),
        tokio::spawn(instance_list::count_entries(store, counts)),
    ];
    let budget = memory_budget::Budget::new(settings.capacity);
    let caller_handler = entry_http::CallerHandler {
        messages: caller_messages,
        active_config: active_config.subscribe(),
        credentials: credential_reader,
        status: status_reader.clone(),
        budget: budget.clone(),
    };
    let peer_handler =
        entry_http::PeerHandler { active_config: active_config.subscribe(), status: status_reader };
    let servers = Servers {
        callers: http::RunningServer::spawn(
            listeners.callers,
            caller_handler,
            http::ServerLimits::for_callers(&budget),
        ),
        peers: http::RunningServer::spawn(
            listeners.peers,
            peer_handler,
            http::ServerLimits::for_peers(&budget),
        ),
    };
    let shell = Shell {
        reducer,
        clock: clock::SystemClock::new(),
        hints,
        credentials,
        status,
        active_config: active_config.subscribe(),
        requests: collections::BTreeMap::new(),
        attempts: attempt_client::AttemptClient::new(attempt_messages),
        chunk: bytes::Bytes::new(),
        budget,
        stopping: false,
        settings,
    };
    let inboxes = Inboxes {
        attempts: attempt_inbox,
        callers: caller_inbox,
        lists: list_inbox,
        counts: count_inbox,
    };
    shell.run(inboxes, stop, servers).await;
    for task in background {
        task.abort();
    }
}

/// HTTP servers of the process.
struct Servers {
    callers: http::RunningServer,
    peers: http::RunningServer,
}

/// Data of a request in progress that the reducer does not hold.
struct RequestData {
    /// Body that the caller sent.
    body: bytes::Bytes,
    /// Whether the caller asks for a stream.
    wants_stream: bool,
    /// Answers of finished stages by name, from which later bodies are built.
    results: serde_json::Map<String, serde_json::Value>,
    /// Channel to the caller's connection.
    replies: entry_http::ReplySender,
    /// Label of the request's metrics.
    target: String,
    /// When the request arrived, for the metric of its duration.
    arrived: time::Instant,
}

/// Receiving ends of the channels into the event loop.
struct Inboxes {
    attempts: mpsc::Receiver<attempt_client::Message>,
    callers: mpsc::Receiver<entry_http::Message>,
    lists: mpsc::Receiver<membership::Instances>,
    counts: mpsc::Receiver<u32>,
}

/// Event loop of an entry with the state that the reducer does not hold.
struct Shell {
    reducer: entry::Entry,
    clock: clock::SystemClock,
    /// Hints that another process has a newer configuration.
    hints: mpsc::Sender<config_sync::Hint>,
    credentials: watch::Sender<sync::Arc<auth::Credentials>>,
    status: watch::Sender<registry::Status>,
    active_config: watch::Receiver<revision::ActiveConfig>,
    requests: collections::BTreeMap<id::RequestId, RequestData>,
    attempts: attempt_client::AttemptClient,
    /// Bytes of the chunk that the reducer is processing.
    chunk: bytes::Bytes,
    /// Memory for bodies and for answers that callers have not read.
    budget: memory_budget::Budget,
    /// Whether the process was asked to stop.
    stopping: bool,
    settings: settings::EntrySettings,
}

/// Part of the budget that the values of a body may take while the input of a stage is built from them.
const VALUES_DIVISOR: usize = 2;
/// Memory of a value of a body, with the gaps of the lists that hold it.
const VALUE_BYTES: usize = 64;

/// Parses a body whose values take at most about `limit` bytes.
fn parse_values(body: &[u8], limit: usize) -> Result<serde_json::Value, String> {
    let values = body.iter().filter(|byte| matches!(byte, b',' | b'[' | b'{' | b':')).count();
    if values * VALUE_BYTES > limit.max(body.len()) {
        return Err("the body has too many values for this instance; send fewer".to_owned());
    }
    serde_json::from_slice(body).map_err(|e| e.to_string())
}

impl Shell {
    async fn run(
        mut self,
        mut inboxes: Inboxes,
        mut stop: watch::Receiver<bool>,
        mut servers: Servers,
    ) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut active_config = self.active_config.clone();
        let mut close_at = None;
        let mut end_at = None;
        loop {
            tokio::select! {
                _ = ticks.tick() => {
                    self.step(entry::Event::Tick);
                    self.publish_status();
                }
                Some(message) = inboxes.attempts.recv() => self.handle_attempt_message(message),
                Some(list) = inboxes.lists.recv() => self.step(entry::Event::InstancesListed(list)),
                Some(count) = inboxes.counts.recv() => self.step(entry::Event::EntryCount(count)),
                Some(message) = inboxes.callers.recv() => self.handle_caller_message(message),
                Ok(()) = active_config.changed() => {
                    let active = active_config.borrow_and_update().clone();
                    let credentials = auth::Credentials::new(&active.config);
                    self.credentials.send_replace(sync::Arc::new(credentials));
                    self.step(entry::Event::Configured(active));
                    self.publish_status();
                }
                _ = stop.wait_for(|stop| *stop), if !self.stopping => {
                    // Readiness fails first. New requests are still served for the notice period,
                    // in which the balancer stops sending them.
                    self.stopping = true;
                    self.publish_status();
                    let notice = self.settings.notice_ms.duration();
                    close_at = Some(tokio::time::Instant::now() + notice);
                }
                // Requests that cross the close are still answered until the last connection ends.
                () = servers.callers.closed() => break,
            }
            let now = tokio::time::Instant::now();
            if close_at.is_some_and(|at| now >= at) {
                close_at = None;
                self.step(entry::Event::Drain);
                servers.callers.close();
                servers.peers.close();
                let longest = self.active_config.borrow().config.limits.deadline_ms.duration();
                end_at = Some(now + longest + STOP_MARGIN);
            }
            if end_at.is_some_and(|at| now >= at) {
                break;
            }
        }
        servers.callers.end().await;
        log::info!("event=entry_stop instance={}", self.settings.instance);
    }

    /// Publishes the status to the HTTP handlers and records the gauges.
    fn publish_status(&self) {
        let active_config = self.active_config.borrow();
        let drained_by_operator = active_config.stored.draining.contains(&self.settings.instance);
        let draining = self.stopping || drained_by_operator;
        let open = self.reducer.request_count() as u64;
        let next = registry::Status {
            instance: self.settings.instance.clone(),
            revision: active_config.revision,
            source: active_config.source.to_string(),
            draining,
            drained: draining && open == 0,
            in_progress: open,
        };
        self.budget.publish();
        metrics::gauge!("open_requests").set(open as f64);
        metrics::gauge!("open_attempts").set(self.reducer.attempt_count() as f64);
        self.status.send_if_modified(|status| {
            let changed = *status != next;
            *status = next;
            changed
        });
    }

    fn handle_attempt_message(&mut self, message: attempt_client::Message) {
        match message {
            attempt_client::Message::Frame(attempt, frame) => self.handle_frame(attempt, frame),
            attempt_client::Message::ConnectionLost { attempt, sent } => {
                self.step(entry::Event::ConnectionLost { attempt, sent });
            }
        }
    }

    fn handle_caller_message(&mut self, message: entry_http::Message) {
        match message {
            entry_http::Message::RequestArrived(incoming) => {
                let data = RequestData {
                    body: incoming.body,
                    wants_stream: incoming.wants_stream,
                    results: serde_json::Map::new(),
                    replies: incoming.replies,
                    target: incoming.arrival.target.to_string(),
                    arrived: time::Instant::now(),
                };
                self.requests.insert(incoming.arrival.request, data);
                self.step(entry::Event::RequestArrived(incoming.arrival));
            }
            entry_http::Message::CallerGone(request) => {
                if self.requests.remove(&request).is_some() {
                    self.step(entry::Event::CallerGone(request));
                }
            }
        }
    }

    /// Passes a frame to the reducer, without the bytes, which stay in the shell.
    fn handle_frame(&mut self, attempt: id::AttemptId, frame: wire::Frame) {
        let info = match frame {
            wire::Frame::Accepted(load) => entry::FrameInfo::Accepted(load),
            wire::Frame::Started => entry::FrameInfo::Started,
            wire::Frame::Head(head) => {
                let status = head.status;
                self.attempts.set_head(attempt, head);
                entry::FrameInfo::Head(status)
            }
            wire::Frame::Chunk(chunk) => {
                let bytes = chunk.data.len() as u64;
                self.attempts.count_received(attempt, bytes);
                self.chunk = chunk.data;
                entry::FrameInfo::Chunk { offset: chunk.offset, bytes }
            }
            wire::Frame::End(end) => entry::FrameInfo::End { total: end.total, load: end.load },
            wire::Frame::Refused(refused) => entry::FrameInfo::Refused(refused),
        };
        self.step(entry::Event::Frame(attempt, info));
    }

    /// Passes an event to the reducer and applies the effects that it returns, which may cause
    /// further events.
    fn step(&mut self, event: entry::Event) {
        let mut events = collections::VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut effects = Vec::new();
            self.reducer.step(self.clock.now(), event, &mut effects);
            for effect in effects {
                events.extend(self.apply_effect(effect));
            }
        }
    }

    /// Applies an effect; returns the event that follows from it, if there is one.
    fn apply_effect(&mut self, effect: entry::Effect) -> Option<entry::Event> {
        match effect {
            entry::Effect::SendAttempt { stage, plan, address, tier, open } => {
                return Some(self.send_attempt(&plan, stage, address, tier, &open));
            }
            entry::Effect::Attach(address, attach) => self.attempts.attach(address, &attach),
            entry::Effect::Cancel(address, attempt) => self.attempts.cancel(address, attempt),
            entry::Effect::Forget(attempt) => self.attempts.forget(attempt),
            entry::Effect::RelayHead(request, attempt) => {
                if let Some(head) = self.attempts.head(attempt) {
                    return self.send_reply(request, entry_http::Reply::Begin(head));
                }
            }
            entry::Effect::RelayChunk { request, skip } => {
                // Copied, so that it keeps no message of the sidecar alive.
                let data = bytes::Bytes::copy_from_slice(&self.chunk[skip as usize..]);
                let Ok(data) = self.budget.hold(data, ledger::Purpose::Answer) else {
                    return self.drop_slow_caller(request);
                };
                return self.send_reply(request, entry_http::Reply::Data(data));
            }
            entry::Effect::BufferChunk { attempt, skip } => {
                let largest = self.active_config.borrow().config.limits.answer_bytes.0;
                let data = &self.chunk[skip as usize..];
                let excess = self.attempts.append_answer(attempt, data, largest);
                return excess.map(entry::Event::AnswerTooLarge);
            }
            entry::Effect::StoreResult(request, stage, attempt) => {
                return self.store_result(request, stage, attempt);
            }
            entry::Effect::SendAnswer(request, attempt) => {
                if let Some((head, body)) = self.attempts.take_answer(attempt) {
                    // The share lasts until the caller has read the answer.
                    let Ok(body) = self.budget.hold(body, ledger::Purpose::Answer) else {
                        let message = "the entry has no memory for the answer";
                        let kind = refusal::Kind::AnswerDropped;
                        let refusal = refusal::Refusal::new(kind, refusal::Ran::Yes, message);
                        let reply = entry_http::Reply::Refuse(refusal);
                        self.end_request(request, "answer_dropped", reply);
                        return None;
                    };
                    self.end_request(request, "answered", entry_http::Reply::Whole(head, body));
                }
            }
            entry::Effect::EndStream(request) => {
                self.end_request(request, "answered", entry_http::Reply::End);
            }
            entry::Effect::Refuse(request, refusal) => {
                let outcome = refusal.kind.to_string();
                self.end_request(request, &outcome, entry_http::Reply::Refuse(refusal));
            }
            entry::Effect::NotifyLeaving(address) => self.attempts.notify_leaving(address),
            entry::Effect::FetchConfig(address, revision) => {
                // A full channel means that an earlier hint is still being processed.
                let _ = self.hints.try_send(config_sync::Hint { address, revision });
            }
            entry::Effect::Log(line) => log::info!("{line} instance={}", self.settings.instance),
        }
        None
    }

    /// Sends a part of a stream to the caller. A request whose caller reads too slowly to drain its
    /// buffer is dropped.
    fn send_reply(
        &mut self,
        request: id::RequestId,
        reply: entry_http::Reply,
    ) -> Option<entry::Event> {
        let data = self.requests.get(&request)?;
        if data.replies.try_send(reply) {
            return None;
        }
        self.drop_slow_caller(request)
    }

    /// Drops a request whose caller does not read its answer.
    fn drop_slow_caller(&mut self, request: id::RequestId) -> Option<entry::Event> {
        self.requests.remove(&request)?;
        log::warn!("event=caller_too_slow request={request}");
        Some(entry::Event::CallerGone(request))
    }

    /// Sends the last reply of a request, drops the request and records its metrics.
    fn end_request(&mut self, request: id::RequestId, outcome: &str, reply: entry_http::Reply) {
        let Some(data) = self.requests.remove(&request) else { return };
        let labels = [("target", data.target), ("outcome", outcome.to_owned())];
        metrics::counter!("requests", &labels).increment(1);
        metrics::histogram!("request_seconds", &labels)
            .record(data.arrived.elapsed().as_secs_f64());
        data.replies.finish(reply);
    }

    /// Builds the body of a stage's attempt: from the stage's template, or the caller's body if it
    /// has none.
    fn build_body(
        &self,
        plan: &plan::Plan,
        stage: plan::StageIndex,
        request: id::RequestId,
    ) -> Result<bytes::Bytes, String> {
        let data = self.requests.get(&request).ok_or("the request has ended")?;
        let Some(input) = &plan.steps[stage].input_template else {
            return Ok(data.body.clone());
        };
        let value = parse_values(&data.body, self.budget.limits().bytes / VALUES_DIVISOR)?;
        let context = serde_json::json!({ "request": value, "stages": data.results });
        let mut body = template::fill(input, &context).map_err(|e| e.to_string())?;
        if stage == plan.answer_stage
            && data.wants_stream
            && let Some(fields) = body.as_object_mut()
        {
            fields.insert("stream".to_owned(), true.into());
        }
        Ok(body.to_string().into())
    }

    /// Sends an attempt to a sidecar. Returns the event that reports the bytes sent, or that the
    /// body could not be built.
    fn send_attempt(
        &mut self,
        plan: &plan::Plan,
        stage: plan::StageIndex,
        address: net::SocketAddr,
        tier: routing::Tier,
        open: &wire::OpenAttempt,
    ) -> entry::Event {
        let body = match self.build_body(plan, stage, open.request) {
            Ok(body) => body,
            Err(message) => {
                let kind = refusal::Kind::BadRequest;
                return entry::Event::BadInput { request: open.request, kind, message };
            }
        };
        let service = plan.steps[stage].service.to_string();
        let route = attempt_client::Route { address, tier, service };
        let bytes = self.attempts.send(open, &body, route);
        entry::Event::BodySent(open.attempt, bytes)
    }

    /// Stores the answer of a stage, which has to be JSON, as input of later stages.
    fn store_result(
        &mut self,
        request: id::RequestId,
        stage: plan::StageIndex,
        attempt: id::AttemptId,
    ) -> Option<entry::Event> {
        let (_, body) = self.attempts.take_answer(attempt)?;
        let name = self.reducer.stage_name(request, stage)?;
        match serde_json::from_slice(&body) {
            Ok(value) => {
                self.requests.get_mut(&request)?.results.insert(name, value);
                None
            }
            Err(e) => {
                let message = format!("stage `{name}` did not answer with JSON: {e}");
                let kind = refusal::Kind::StageFailed;
                Some(entry::Event::BadInput { request, kind, message })
            }
        }
    }
}
