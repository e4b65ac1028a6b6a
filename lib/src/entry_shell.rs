//! Shell of the entry: sockets, timers and bodies around the reducer in [`crate::entry`].

use std::collections;
use std::io;
use std::net;
use std::sync;
use std::time;

use tokio::sync::{mpsc, watch};

use crate::auth;
use crate::clock;
use crate::clock::Clock as _;
use crate::config_sync;
use crate::entry;
use crate::entry_http;
use crate::http;
use crate::id;
use crate::membership;
use crate::peer;
use crate::plan;
use crate::refusal;
use crate::registry;
use crate::revision;
use crate::routing;
use crate::settings;
use crate::sidecar_shell;
use crate::store;
use crate::telemetry;
use crate::template;
use crate::wire;

/// Pause between two ticks of the reducer.
const TICK: time::Duration = time::Duration::from_millis(20);
/// Events that wait for the loop before senders are held back.
const EVENT_BUFFER: usize = 4_096;
/// Pause between two looks at the instance list.
const LIST_INTERVAL: time::Duration = time::Duration::from_secs(2);
/// Pause between two counts of the entries.
const COUNT_INTERVAL: time::Duration = time::Duration::from_secs(30);
/// Largest instance list, in bytes.
const MAX_LIST_BYTES: u64 = 8 << 20;
/// Time that the instance list has to answer.
const LIST_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Time beyond the longest deadline that a stop waits for requests in progress.
const STOP_SLACK: time::Duration = time::Duration::from_secs(2);

/// What reaches the loop besides callers' messages.
enum Message {
    Frame(id::AttemptId, wire::Frame),
    Lost { attempt: id::AttemptId, sent: bool },
    Listed(membership::Instances),
    Entries(u32),
}

/// Listeners of an entry.
#[derive(Debug)]
pub struct Listeners {
    /// For callers.
    pub callers: tokio::net::TcpListener,
    /// For other processes of the system.
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

/// Runs an entry on listeners that are open already.
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
    let in_force = config_sync::InForce::new(revision::InForce::default());
    let (messages, inbox) = mpsc::channel(EVENT_BUFFER);
    let (callers, caller_inbox) = mpsc::channel(EVENT_BUFFER);
    let (hints, hint_inbox) = mpsc::channel(16);
    let (credentials, credential_reader) = watch::channel(sync::Arc::default());
    let (status, status_reader) = watch::channel(registry::Status {
        instance: settings.instance.clone(),
        revision: id::Revision(0),
        source: revision::Source::None.to_string(),
        draining: false,
        drained: false,
        open: 0,
    });
    let process = registry::Process {
        role: registry::Role::Entry,
        address: settings.peer_listen,
        domain: settings.domain.clone(),
        service: None,
    };
    let peers = settings.peers.clone();
    let background = [
        tokio::spawn(config_sync::follow_store(store.clone(), in_force.clone(), rng.fork())),
        tokio::spawn(config_sync::follow_peers(
            store.clone(),
            peers,
            in_force.clone(),
            hint_inbox,
            false,
            rng.fork(),
        )),
        tokio::spawn(registry::register(store.clone(), settings.instance.clone(), process)),
        tokio::spawn(follow_list(settings.instances.clone(), messages.clone(), rng.fork())),
        tokio::spawn(count_entries(store, messages.clone())),
    ];
    let (close, closing) = watch::channel(false);
    let handler = entry_http::Callers {
        messages: callers,
        in_force: in_force.subscribe(),
        credentials: credential_reader,
        status: status_reader.clone(),
    };
    let peer_handler = PeerHandler { in_force: in_force.subscribe(), status: status_reader };
    let server = tokio::spawn(http::serve(listeners.callers, handler, closing.clone()));
    let peer_server = tokio::spawn(http::serve(listeners.peers, peer_handler, closing));
    let shell = Shell {
        reducer,
        clock: clock::SystemClock::new(),
        client: http::peer_client(),
        messages,
        hints,
        credentials,
        status,
        in_force: in_force.subscribe(),
        requests: collections::BTreeMap::new(),
        attempts: collections::BTreeMap::new(),
        chunk: bytes::Bytes::new(),
        stopping: false,
        settings,
    };
    shell.run(inbox, caller_inbox, stop, &close).await;
    for task in background {
        task.abort();
    }
    let _ = http::within(STOP_SLACK, server).await;
    peer_server.abort();
}

async fn follow_list(url: String, messages: mpsc::Sender<Message>, mut rng: fastrand::Rng) {
    let client = http::client(true);
    loop {
        match fetch_list(&client, &url).await {
            Ok(list) => {
                if messages.send(Message::Listed(list)).await.is_err() {
                    return;
                }
            }
            // The instances known so far stay in use.
            Err(message) => log::warn!("event=list_failed url={url} error={message:?}"),
        }
        tokio::time::sleep(LIST_INTERVAL.mul_f64(rng.f64() + 0.5)).await;
    }
}

async fn fetch_list(client: &http::Client, url: &str) -> Result<membership::Instances, String> {
    let request = hyper::Request::get(url).body(http::Body::full("")).map_err(|e| e.to_string())?;
    let response = http::within(LIST_TIMEOUT, client.request(request))
        .await
        .ok_or("no answer in time")?
        .map_err(|e| e.to_string())?;
    if response.status() != 200 {
        return Err(format!("status {}", response.status()));
    }
    let body = http::read_body(response.into_body(), MAX_LIST_BYTES, LIST_TIMEOUT).await;
    membership::parse(&body.map_err(|e| e.to_string())?).map_err(|e| e.to_string())
}

async fn count_entries<S: store::Store>(store: S, messages: mpsc::Sender<Message>) {
    let prefix = registry::prefix_of(registry::Role::Entry);
    loop {
        // During an outage of the store the last count stays in use.
        if let Ok(count) = store.count(&prefix).await {
            let count = u32::try_from(count).unwrap_or(u32::MAX);
            if messages.send(Message::Entries(count)).await.is_err() {
                return;
            }
        }
        tokio::time::sleep(COUNT_INTERVAL).await;
    }
}

/// Answers other processes of the system.
#[derive(Clone)]
struct PeerHandler {
    in_force: watch::Receiver<revision::InForce>,
    status: watch::Receiver<registry::Status>,
}

impl http::Handler for PeerHandler {
    async fn handle(
        &self,
        request: hyper::Request<hyper::body::Incoming>,
    ) -> hyper::Response<http::Body> {
        let path = request.uri().path().to_owned();
        if let Some(response) = entry_http::plain_path(&path, &self.status.borrow()) {
            return response;
        }
        if path != wire::CONFIG_PATH {
            return http::respond(404, "text/plain", "no such path");
        }
        let mut decoder = wire::Decoder::new(64);
        if let Ok(body) = http::read_body(request.into_body(), 64, LIST_TIMEOUT).await {
            decoder.push(&body);
        }
        match decoder.read() {
            Ok(Some(known)) => sidecar_shell::pass_config(&self.in_force.borrow(), known),
            _ => http::respond(400, "text/plain", "send the revision that is known"),
        }
    }
}

/// What is kept of a request.
struct Held {
    body: bytes::Bytes,
    value: serde_json::Value,
    results: serde_json::Map<String, serde_json::Value>,
    replies: mpsc::Sender<entry_http::Reply>,
    target: String,
    arrived: time::Instant,
}

/// What is kept of an attempt.
struct Flight {
    task: tokio::task::AbortHandle,
    head: Option<wire::Head>,
    kept: Vec<u8>,
    service: String,
    tier: routing::Tier,
}

struct Shell {
    reducer: entry::Entry,
    clock: clock::SystemClock,
    client: http::Client,
    messages: mpsc::Sender<Message>,
    hints: mpsc::Sender<config_sync::Hint>,
    credentials: watch::Sender<sync::Arc<auth::Credentials>>,
    status: watch::Sender<registry::Status>,
    in_force: watch::Receiver<revision::InForce>,
    requests: collections::BTreeMap<id::RequestId, Held>,
    attempts: collections::BTreeMap<id::AttemptId, Flight>,
    /// Bytes of the frame that the reducer is being told about.
    chunk: bytes::Bytes,
    stopping: bool,
    settings: settings::EntrySettings,
}

impl Shell {
    async fn run(
        mut self,
        mut inbox: mpsc::Receiver<Message>,
        mut callers: mpsc::Receiver<entry_http::Message>,
        mut stop: watch::Receiver<bool>,
        close: &watch::Sender<bool>,
    ) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut in_force = self.in_force.clone();
        let mut close_at = None;
        let mut end_at = None;
        loop {
            tokio::select! {
                _ = ticks.tick() => {
                    self.step(entry::Event::Tick);
                    self.publish_status();
                }
                Some(message) = inbox.recv() => self.take(message),
                Some(message) = callers.recv() => self.take_caller(message),
                Ok(()) = in_force.changed() => {
                    let now = in_force.borrow_and_update().clone();
                    let credentials = auth::Credentials::new(&now.config);
                    self.credentials.send_replace(sync::Arc::new(credentials));
                    self.step(entry::Event::Configured(now));
                    self.publish_status();
                }
                _ = stop.wait_for(|stop| *stop), if !self.stopping => {
                    // Readiness fails first, so that the balancer sends nothing more.
                    self.stopping = true;
                    self.publish_status();
                    let notice = self.settings.notice_ms.duration();
                    close_at = Some(tokio::time::Instant::now() + notice);
                }
            }
            let now = tokio::time::Instant::now();
            if close_at.is_some_and(|at| now >= at) {
                close_at = None;
                self.step(entry::Event::Drain);
                close.send_replace(true);
                let longest = self.in_force.borrow().config.limits.deadline_ms.duration();
                end_at = Some(now + longest + STOP_SLACK);
            }
            if end_at.is_some_and(|at| self.reducer.open_count() == 0 || now >= at) {
                break;
            }
        }
        log::info!("event=entry_stop instance={}", self.settings.instance);
    }

    fn publish_status(&self) {
        let in_force = self.in_force.borrow();
        let drained_by_operator = in_force.accepted.draining.contains(&self.settings.instance);
        let draining = self.stopping || drained_by_operator;
        let open = self.reducer.open_count() as u64;
        let next = registry::Status {
            instance: self.settings.instance.clone(),
            revision: in_force.revision,
            source: in_force.source.to_string(),
            draining,
            drained: draining && open == 0,
            open,
        };
        metrics::gauge!("open_requests").set(open as f64);
        metrics::gauge!("open_attempts").set(self.reducer.attempt_count() as f64);
        self.status.send_if_modified(|status| {
            let changed = *status != next;
            *status = next;
            changed
        });
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::Frame(attempt, frame) => self.take_frame(attempt, frame),
            Message::Lost { attempt, sent } => self.step(entry::Event::Lost { attempt, sent }),
            Message::Listed(list) => self.step(entry::Event::Listed(list)),
            Message::Entries(count) => self.step(entry::Event::Entries(count)),
        }
    }

    fn take_caller(&mut self, message: entry_http::Message) {
        match message {
            entry_http::Message::Arrive(incoming) => {
                let held = Held {
                    body: incoming.body,
                    value: incoming.value,
                    results: serde_json::Map::new(),
                    replies: incoming.replies,
                    target: incoming.arrival.target.to_string(),
                    arrived: time::Instant::now(),
                };
                self.requests.insert(incoming.arrival.request, held);
                self.step(entry::Event::Arrive(incoming.arrival));
            }
            entry_http::Message::Gone(request) => {
                if self.requests.remove(&request).is_some() {
                    self.step(entry::Event::Gone(request));
                }
            }
        }
    }

    fn take_frame(&mut self, attempt: id::AttemptId, frame: wire::Frame) {
        let info = match frame {
            wire::Frame::Accepted(load) => entry::FrameInfo::Accepted(load),
            wire::Frame::Started => entry::FrameInfo::Started,
            wire::Frame::Head(head) => {
                let status = head.status;
                if let Some(flight) = self.attempts.get_mut(&attempt) {
                    flight.head = Some(head);
                }
                entry::FrameInfo::Head(status)
            }
            wire::Frame::Chunk(chunk) => {
                let bytes = chunk.data.len() as u64;
                if let Some(flight) = self.attempts.get(&attempt) {
                    count_bytes(&flight.service, flight.tier, "down", bytes);
                }
                self.chunk = chunk.data;
                entry::FrameInfo::Chunk { offset: chunk.offset, bytes }
            }
            wire::Frame::End(end) => entry::FrameInfo::End { total: end.total, load: end.load },
            wire::Frame::Refused(refused) => entry::FrameInfo::Refused(refused),
        };
        self.step(entry::Event::Frame(attempt, info));
    }

    fn step(&mut self, event: entry::Event) {
        let mut events = collections::VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut effects = Vec::new();
            self.reducer.step(self.clock.now(), event, &mut effects);
            for effect in effects {
                events.extend(self.carry_out(effect));
            }
        }
    }

    /// Carries an effect out; returns what the reducer has to be told about it.
    fn carry_out(&mut self, effect: entry::Effect) -> Option<entry::Event> {
        match effect {
            entry::Effect::Send { stage, plan, address, tier, open } => {
                return Some(self.send(&plan, stage, address, tier, &open));
            }
            entry::Effect::Attach(address, attach) => self.attach(address, &attach),
            entry::Effect::Cancel(address, attempt) => self.cancel(address, attempt),
            entry::Effect::Forget(attempt) => self.forget(attempt),
            entry::Effect::RelayHead(request, attempt) => {
                let head = self.attempts.get(&attempt).and_then(|flight| flight.head.clone());
                if let Some(head) = head {
                    return self.reply(request, entry_http::Reply::Begin(head));
                }
            }
            entry::Effect::RelayChunk { request, skip } => {
                let data = self.chunk.slice(skip as usize..);
                return self.reply(request, entry_http::Reply::Data(data));
            }
            entry::Effect::Keep { attempt, skip } => {
                if let Some(flight) = self.attempts.get_mut(&attempt) {
                    flight.kept.extend_from_slice(&self.chunk[skip as usize..]);
                }
            }
            entry::Effect::Store(request, stage, attempt) => {
                return self.store(request, stage, attempt);
            }
            entry::Effect::Answer(request, attempt) => {
                if let Some(flight) = self.attempts.remove(&attempt)
                    && let Some(head) = flight.head
                {
                    self.end(
                        request,
                        "answered",
                        entry_http::Reply::Whole(head, flight.kept.into()),
                    );
                }
            }
            entry::Effect::EndStream(request) => {
                self.end(request, "answered", entry_http::Reply::End);
            }
            entry::Effect::Refuse(request, refusal) => {
                let outcome = refusal.kind.to_string();
                self.end(request, &outcome, entry_http::Reply::Refuse(refusal));
            }
            entry::Effect::Leave(address) => self.tell_leaving(address),
            entry::Effect::Newer(address, revision) => {
                // A full channel means that a hint is being followed already.
                let _ = self.hints.try_send(config_sync::Hint { address, revision });
            }
            entry::Effect::Log(line) => log::info!("{line} instance={}", self.settings.instance),
        }
        None
    }

    /// Sends a piece of a stream; a caller that reads too slowly is given up.
    fn reply(&mut self, request: id::RequestId, reply: entry_http::Reply) -> Option<entry::Event> {
        let held = self.requests.get(&request)?;
        if held.replies.try_send(reply).is_ok() {
            return None;
        }
        log::warn!("event=caller_too_slow request={request}");
        self.requests.remove(&request);
        Some(entry::Event::Gone(request))
    }

    fn end(&mut self, request: id::RequestId, outcome: &str, reply: entry_http::Reply) {
        let Some(held) = self.requests.remove(&request) else { return };
        let labels = [("target", held.target), ("outcome", outcome.to_owned())];
        metrics::counter!("requests", &labels).increment(1);
        metrics::histogram!("request_seconds", &labels)
            .record(held.arrived.elapsed().as_secs_f64());
        // A caller that went away reports itself.
        let _ = held.replies.try_send(reply);
    }

    fn build_body(
        &self,
        plan: &plan::Plan,
        stage: plan::StageIndex,
        request: id::RequestId,
    ) -> Result<bytes::Bytes, String> {
        let held = self.requests.get(&request).ok_or("the request has ended")?;
        let Some(input) = &plan.steps[stage].input else {
            return Ok(held.body.clone());
        };
        let context = serde_json::json!({ "request": held.value, "stages": held.results });
        let mut body = template::fill(input, &context).map_err(|e| e.to_string())?;
        let wants_stream = held.value.get("stream").is_some_and(|stream| *stream == true);
        if stage == plan.answer
            && wants_stream
            && let Some(fields) = body.as_object_mut()
        {
            fields.insert("stream".to_owned(), true.into());
        }
        Ok(body.to_string().into())
    }

    fn send(
        &mut self,
        plan: &plan::Plan,
        stage: plan::StageIndex,
        address: net::SocketAddr,
        tier: routing::Tier,
        open: &wire::Open,
    ) -> entry::Event {
        let body = match self.build_body(plan, stage, open.request) {
            Ok(body) => body,
            Err(message) => {
                let kind = refusal::Kind::BadRequest;
                return entry::Event::BadInput { request: open.request, kind, message };
            }
        };
        let attempt = open.attempt;
        let service = plan.steps[stage].service.to_string();
        let message = peer::with_body(open, &body);
        let bytes = message.len() as u64;
        count_bytes(&service, tier, "up", bytes);
        let task = self.converse(attempt, address, wire::ATTEMPT_PATH, message);
        let flight = Flight { task, head: None, kept: Vec::new(), service, tier };
        self.attempts.insert(attempt, flight);
        entry::Event::Sent(attempt, bytes)
    }

    fn attach(&mut self, address: net::SocketAddr, attach: &wire::Attach) {
        let attempt = attach.attempt;
        if !self.attempts.contains_key(&attempt) {
            return;
        }
        let task = self.converse(attempt, address, wire::ATTACH_PATH, wire::encode(attach));
        if let Some(flight) = self.attempts.get_mut(&attempt) {
            flight.task.abort();
            flight.task = task;
        }
    }

    /// Starts a task that asks a sidecar and passes its frames to the loop.
    fn converse(
        &self,
        attempt: id::AttemptId,
        address: net::SocketAddr,
        path: &'static str,
        message: bytes::Bytes,
    ) -> tokio::task::AbortHandle {
        let (client, messages) = (self.client.clone(), self.messages.clone());
        let task = async move {
            let sent = match pass_frames(&client, address, path, message, attempt, &messages).await
            {
                Ok(()) => return,
                Err(peer::PeerError::NotSent { .. }) => false,
                Err(_) => true,
            };
            // Fails only when the process ends.
            let _ = messages.send(Message::Lost { attempt, sent }).await;
        };
        tokio::spawn(task).abort_handle()
    }

    fn cancel(&mut self, address: net::SocketAddr, attempt: id::AttemptId) {
        self.forget(attempt);
        let client = self.client.clone();
        tokio::spawn(async move {
            if let Err(e) = peer::cancel(&client, address, attempt).await {
                log::debug!("event=cancel_failed attempt={attempt} error={:?}", e.to_string());
            }
        });
    }

    fn forget(&mut self, attempt: id::AttemptId) {
        if let Some(flight) = self.attempts.remove(&attempt) {
            flight.task.abort();
        }
    }

    fn store(
        &mut self,
        request: id::RequestId,
        stage: plan::StageIndex,
        attempt: id::AttemptId,
    ) -> Option<entry::Event> {
        let flight = self.attempts.remove(&attempt)?;
        let name = self.reducer.stage_name(request, stage)?;
        match serde_json::from_slice(&flight.kept) {
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

    fn tell_leaving(&self, address: net::SocketAddr) {
        let client = self.client.clone();
        tokio::spawn(async move {
            let request = http::post(address, wire::LEAVE_PATH, "");
            // A sidecar that does not answer gets no work through its broken connection either.
            let _ = http::within(LIST_TIMEOUT, client.request(request)).await;
        });
    }
}

fn count_bytes(service: &str, tier: routing::Tier, direction: &'static str, bytes: u64) {
    let labels = [
        ("service", service.to_owned()),
        ("tier", tier.to_string()),
        ("direction", direction.to_owned()),
    ];
    metrics::counter!("stage_bytes", &labels).increment(bytes);
}

async fn pass_frames(
    client: &http::Client,
    address: net::SocketAddr,
    path: &str,
    message: bytes::Bytes,
    attempt: id::AttemptId,
    messages: &mpsc::Sender<Message>,
) -> Result<(), peer::PeerError> {
    let mut frames = peer::request(client, address, path, message).await?;
    loop {
        let frame = frames.next().await?;
        let is_last = matches!(frame, wire::Frame::End(_) | wire::Frame::Refused(_));
        if messages.send(Message::Frame(attempt, frame)).await.is_err() || is_last {
            return Ok(());
        }
    }
}
