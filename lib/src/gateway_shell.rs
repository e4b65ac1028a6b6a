//! Shell of a gateway: owns the sockets, timers and bodies, and runs the event loop around the
//! reducer in [`crate::gateway`].

use std::collections;
use std::io;
use std::path;
use std::sync;
use std::time;

use tokio::sync::{Notify, mpsc, oneshot, watch};

use crate::clock;
use crate::clock::Clock as _;
use crate::cold;
use crate::crash_report;
use crate::dialect;
use crate::engine_pace;
use crate::engine_pace::exchange;
use crate::gateway;
use crate::gateway_calls;
use crate::gateway_http;
use crate::gateway_peers;
use crate::gateway_reads;
use crate::gateway_settings;
use crate::handoff;
use crate::http;
use crate::id;
use crate::memory_budget;
use crate::stated_limits;
use crate::stream_log;
use crate::table;
use crate::telemetry;
use crate::unit;

/// Interval of the reducer's ticks. Results to free are collected until the next tick.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Capacity of the channels into the event loop; senders wait while one is full.
const CHANNEL_CAPACITY: usize = 4_096;
/// Largest number of connections for health probes, and of those for metrics.
const PROBE_CONNECTIONS: usize = 16;
/// Path under which Prometheus metrics are served.
const METRICS_PATH: &str = "/metrics";
/// Interval at which connections to upstreams that were idle for too long are closed.
const PRUNE_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Interval at which the state of streams is published although its revision is the same.
const STREAMS_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Signals that a gateway receives from its process.
#[derive(Clone, Debug)]
pub struct Signals {
    /// Turns true when the process is to stop.
    pub stop: watch::Receiver<bool>,
    /// Changes whenever the settings file is to be read again.
    pub reload: watch::Receiver<u64>,
}

/// A request in progress.
struct OpenRequest {
    original: gateway_calls::OriginalRequest,
}

/// A running call.
struct CallTask {
    /// Cancels the call.
    abort: tokio::task::AbortHandle,
    /// Has the call end if it is silent.
    end: sync::Arc<Notify>,
}

/// Event loop of a gateway with the state that the reducer does not hold.
struct Shell<D> {
    reducer: gateway::Gateway,
    clock: clock::SystemClock,
    client: gateway_calls::UpstreamClient<D>,
    /// Requests that have not been answered whole.
    requests: collections::BTreeMap<id::RequestId, OpenRequest>,
    /// Tasks of running calls.
    call_tasks: collections::BTreeMap<gateway::CallId, CallTask>,
    /// Tasks that wait for the outcomes of groups that were handed over to other gateways.
    handover_tasks: collections::BTreeMap<crate::batch::GroupId, tokio::task::AbortHandle>,
    /// Where the outcomes of handovers from other gateways go.
    handover_replies:
        collections::BTreeMap<gateway::HandoverId, oneshot::Sender<handoff::HandoverResult>>,
    /// Answers of calls whose end the reducer is about to process.
    answers: collections::BTreeMap<gateway::CallId, gateway_calls::Answer>,
    /// Buffer that is reused between steps.
    effects: Vec<gateway::Effect>,
    outputs: Outputs,
    /// When the state of streams was last published.
    streams_published: time::Instant,
}

/// What other tasks of the process follow.
struct Outputs {
    /// Whether the balancer should send new requests.
    ready: watch::Sender<bool>,
    /// Limits on requests, from the routing table in force.
    limits: watch::Sender<table::Limits>,
    /// What other gateways are told about crashes.
    crash_reports: watch::Sender<crash_report::Report>,
    /// Limits that upstreams have stated, for other gateways.
    stated: watch::Sender<stated_limits::StatedLimits>,
    /// What is kept in the store about streams.
    streams: stream_log::StreamLog,
}

/// Time at the end of a stop in which the last answers are written.
const FLUSH_TIME: time::Duration = time::Duration::from_millis(200);

/// Runs a gateway until it is asked to stop and its callers' connections have ended, at most
/// `stop_ms` and [`FLUSH_TIME`] after the signal. `file` is the settings file that a reload reads.
///
/// # Errors
/// Fails if one of its addresses cannot be listened on.
pub async fn run<D: dialect::Dialect, S: dialect::GatewayStore>(
    settings: gateway_settings::Settings,
    dialect: D,
    store: S,
    mut signals: Signals,
    file: Option<path::PathBuf>,
) -> io::Result<()> {
    telemetry::install();
    let file = SettingsFile::new(file);
    let caller_listener = http::listen(settings.listen).await?;
    let probe_listeners =
        [http::listen(settings.probe_listen).await?, http::listen(settings.metrics_listen).await?];
    let peer_listener = http::listen(settings.peer_listen).await?;
    let (arrivals, mut arrival_inbox) = mpsc::channel(CHANNEL_CAPACITY);
    let (cancellations, mut cancellation_inbox) = mpsc::unbounded_channel();
    let (reports, mut report_inbox) = mpsc::channel(CHANNEL_CAPACITY);
    let (peer_messages, mut peer_inbox) = mpsc::channel(CHANNEL_CAPACITY);
    let (read_events, mut read_inbox) = mpsc::channel(16);
    let (ready, ready_receiver) = watch::channel(false);
    let (limits, limits_receiver) = watch::channel(table::Limits::default());
    let (close, close_receiver) = watch::channel(false);
    let (stopped, stopped_receiver) = watch::channel(false);
    log_start(&settings);
    let clock = clock::SystemClock::new();
    let budget = memory_budget::Budget::new(settings.capacity);
    let caller_handler = gateway_http::CallerHandler {
        dialect: dialect.clone(),
        arrivals,
        cancellations,
        serial: sync::Arc::new(sync::atomic::AtomicU64::new(1)),
        limits: limits_receiver,
        budget: budget.clone(),
        stopping: signals.stop.clone(),
    };
    let mut caller_server = serve_callers(caller_listener, caller_handler, close_receiver);
    serve_probes(probe_listeners, ready_receiver, &stopped_receiver);
    let (newest, newest_receiver) = watch::channel(None);
    let paces = engine_pace::SharedPaces::new(engine_pace::Paces::new(fastrand::u64(..)));
    let (stated, stated_receiver) = watch::channel(stated_limits::StatedLimits::default());
    let peer_handler = gateway_peers::PeerHandler {
        messages: peer_messages,
        serial: sync::Arc::new(sync::atomic::AtomicU64::new(1)),
        reads: newest_receiver.clone(),
        clock,
        paces: paces.clone(),
        stated: stated_receiver.clone(),
        budget: budget.clone(),
    };
    serve_peers(peer_listener, peer_handler, stopped_receiver);
    let (crash_reports, crash_receiver) = watch::channel(crash_report::Report::default());
    let announcer =
        gateway_reads::spawn(&settings, &store, clock, newest, &read_events, crash_receiver);
    let streams = stream_log::StreamLog::spawn(&store, &settings.instance, &read_events);
    exchange::spawn(&settings, clock, paces.clone(), newest_receiver, stated_receiver, read_events);
    let outputs = Outputs { ready, limits, crash_reports, stated, streams };
    let client = gateway_calls::UpstreamClient::new(dialect, budget, paces, clock, reports);
    let mut shell = Shell::new(&settings, clock, client, outputs);
    let (mut tick, mut prune) = (interval(TICK_INTERVAL), interval(PRUNE_INTERVAL));
    let (mut stopping_since, mut can_reload) = (None, true);
    loop {
        tokio::select! {
            biased;
            Some(request) = cancellation_inbox.recv() => shell.cancel_request(request),
            Some(event) = read_inbox.recv() => shell.step(event),
            Some(report) = report_inbox.recv() => shell.handle_report(report),
            Some(message) = peer_inbox.recv() => shell.handle_peer_message(message),
            Some(incoming) = arrival_inbox.recv() => shell.handle_arrival(*incoming),
            _ = tick.tick() => {
                shell.step(gateway::Event::Tick);
                shell.publish();
            }
            _ = prune.tick() => shell.prune(),
            changed = signals.reload.changed(), if can_reload => {
                // Once the sender is dropped, `changed` always returns immediately, so it is not
                // polled any more.
                can_reload = changed.is_ok();
                if can_reload {
                    file.reload();
                }
            }
            _ = signals.stop.wait_for(|stop| *stop), if stopping_since.is_none() => {
                log::info!("event=stop_requested open={}", shell.reducer.request_count());
                stopping_since = Some(time::Instant::now());
                shell.step(gateway::Event::Drain { left: settings.stop_ms.duration() });
                shell.publish();
                announcer.abort();
                tokio::spawn(gateway_reads::withdraw(store.clone(), settings.instance.clone()));
            }
            _ = &mut caller_server => break,
        }
        if let Some(since) = stopping_since {
            if since.elapsed() >= settings.notice_ms.duration() {
                close.send_replace(true);
            }
            if since.elapsed() >= settings.stop_ms.duration() {
                break;
            }
        }
    }
    log::info!("event=stopped open={}", shell.reducer.request_count());
    // Requests that are on their way to the event loop, and those in progress, get their answers too.
    shell.stop(arrival_inbox);
    close.send_replace(true);
    flush_answers(&mut caller_server).await;
    stopped.send_replace(true);
    Ok(())
}

/// Waits until the last answers are written. Connections that do not end in time are cut with the
/// process.
async fn flush_answers(caller_server: &mut tokio::task::JoinHandle<()>) {
    if caller_server.is_finished() {
        return;
    }
    if http::with_timeout(FLUSH_TIME, &mut *caller_server).await.is_none() {
        // The server records the connections that are left before the log ends.
        caller_server.abort();
        let _ = caller_server.await;
    }
}

/// Returns an interval that does not catch up on ticks that were missed.
fn interval(period: time::Duration) -> tokio::time::Interval {
    let mut interval = tokio::time::interval(period);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    interval
}

/// Starts to serve the listeners for health probes and for metrics.
fn serve_probes(
    listeners: [tokio::net::TcpListener; 2],
    ready: watch::Receiver<bool>,
    stopped: &watch::Receiver<bool>,
) {
    let handler = gateway_http::ProbeHandler { ready, metrics_path: METRICS_PATH };
    for listener in listeners {
        let limits =
            http::ServerLimits { connections: PROBE_CONNECTIONS, ..http::ServerLimits::default() };
        tokio::spawn(http::serve_within(listener, handler.clone(), stopped.clone(), limits));
    }
}

/// Starts to serve the listener for callers.
fn serve_callers<D: dialect::Dialect>(
    listener: tokio::net::TcpListener,
    handler: gateway_http::CallerHandler<D>,
    close: watch::Receiver<bool>,
) -> tokio::task::JoinHandle<()> {
    let limits = http::ServerLimits::for_callers(&handler.budget);
    tokio::spawn(http::serve_within(listener, handler, close, limits))
}

/// Starts to serve the listener for other gateways.
fn serve_peers(
    listener: tokio::net::TcpListener,
    handler: gateway_peers::PeerHandler,
    stopped: watch::Receiver<bool>,
) {
    let limits = http::ServerLimits::for_peers(&handler.budget);
    tokio::spawn(http::serve_within(listener, handler, stopped, limits));
}

fn log_start(settings: &gateway_settings::Settings) {
    let line = telemetry::Line::new("start")
        .with("role", "gateway")
        .with("instance", &settings.instance)
        .with("listen", settings.listen)
        .with("domain", &settings.domain)
        .with("version", env!("CARGO_PKG_VERSION"));
    log::info!("{line}");
}

/// The settings file, and what it contained when the process started.
struct SettingsFile {
    path: Option<path::PathBuf>,
    content: Option<serde_json::Value>,
}

impl SettingsFile {
    fn new(path: Option<path::PathBuf>) -> Self {
        let content = path.as_deref().and_then(|path| Self::read(path).ok());
        Self { path, content }
    }

    fn read(path: &path::Path) -> Result<serde_json::Value, crate::settings::SettingsError> {
        crate::settings::read(path, &[])
    }

    /// Reads the file and logs whether it differs from before. Nothing is applied: addresses cannot
    /// change while the process runs, and the log line shows operators that a restart is needed.
    /// The file is compared with the file, as flags and environment variables override it.
    fn reload(&self) {
        let Some(path) = &self.path else { return };
        match Self::read(path) {
            Err(e) => log::warn!("event=reload_failed error={:?}", e.to_string()),
            Ok(content) => {
                let is_same = self.content.as_ref() == Some(&content);
                log::info!("event=reloaded changed={}", !is_same);
            }
        }
    }
}

/// Returns the part of the settings that the reducer depends on.
fn reducer_settings(settings: &gateway_settings::Settings) -> gateway::Settings {
    gateway::Settings {
        instance: settings.instance.clone(),
        domain: settings.domain.clone(),
        regions: settings.regions.clone(),
        revocation_bound: settings.revocation_ms.map(unit::Millis::duration),
        retry_share: settings.retry_share.0,
        cold_allowance: cold::Allowance {
            excess: settings.cold_excess,
            slack: settings.cold_slack,
        },
        overload: settings.overload,
    }
}

impl<D: dialect::Dialect> Shell<D> {
    fn new(
        settings: &gateway_settings::Settings,
        clock: clock::SystemClock,
        client: gateway_calls::UpstreamClient<D>,
        outputs: Outputs,
    ) -> Self {
        Self {
            reducer: gateway::Gateway::new(reducer_settings(settings), fastrand::u64(..)),
            clock,
            client,
            requests: collections::BTreeMap::new(),
            call_tasks: collections::BTreeMap::new(),
            handover_tasks: collections::BTreeMap::new(),
            handover_replies: collections::BTreeMap::new(),
            answers: collections::BTreeMap::new(),
            effects: Vec::new(),
            outputs,
            streams_published: time::Instant::now(),
        }
    }

    /// Closes connections that were idle for too long and publishes the use of memory.
    fn prune(&self) {
        self.client.pool.prune();
        self.client.budget.publish();
    }

    fn handle_arrival(&mut self, incoming: gateway_http::IncomingRequest) {
        let gateway_http::IncomingRequest { request, arrival, head, body, reply, signal } =
            incoming;
        // The cancellation came first, and there was no request yet to drop.
        if signal.is_cancelled() {
            return;
        }
        let reply = gateway_http::Reply::NotStarted(reply);
        let slot = sync::Arc::new(sync::Mutex::new(Some(reply)));
        let original = gateway_calls::OriginalRequest::new(head, body, slot, signal);
        self.requests.insert(request, OpenRequest { original });
        self.step(gateway::Event::RequestArrived(request, arrival));
    }

    /// Ends all requests, also those that have arrived and were not handled yet.
    fn stop(&mut self, mut arrivals: mpsc::Receiver<Box<gateway_http::IncomingRequest>>) {
        arrivals.close();
        while let Ok(incoming) = arrivals.try_recv() {
            self.handle_arrival(*incoming);
        }
        self.step(gateway::Event::Stop);
    }

    /// Ends all work on a request whose caller has disconnected.
    fn cancel_request(&mut self, request: id::RequestId) {
        self.step(gateway::Event::CallerGone(request));
        self.requests.remove(&request);
    }

    fn handle_peer_message(&mut self, message: gateway_peers::Message) {
        match message {
            gateway_peers::Message::HandoverReceived(handover, pieces, reply) => {
                self.handover_replies.insert(handover, reply);
                self.step(gateway::Event::HandoverReceived(handover, pieces));
            }
            gateway_peers::Message::HandoverCancelled(handover) => {
                self.handover_replies.remove(&handover);
                self.step(gateway::Event::HandoverCancelled(handover));
            }
            gateway_peers::Message::LimitsRelayed(limits) => {
                self.step(gateway::Event::LimitsRelayed(limits));
            }
            gateway_peers::Message::ReleaseReceived(message) => {
                self.step(gateway::Event::ReleaseReceived(message));
            }
        }
    }

    /// Processes a report of a call. Once the call or request has ended, its state is dropped.
    fn handle_report(&mut self, report: gateway_calls::CallReport) {
        match report {
            gateway_calls::CallReport::Answer(call, answer) => {
                if self.call_tasks.contains_key(&call) {
                    self.answers.insert(call, answer);
                }
            }
            gateway_calls::CallReport::Event(event) => {
                let ended = match &event {
                    gateway::Event::CallEnded { call, .. } => {
                        self.call_tasks.remove(call).map(|_| *call)
                    }
                    gateway::Event::HandoverEnded(group, _) => {
                        self.handover_tasks.remove(group);
                        None
                    }
                    _ => None,
                };
                self.step(event);
                if let Some(call) = ended {
                    self.answers.remove(&call);
                }
            }
        }
    }

    /// Passes an event to the reducer and applies the effects that it returns.
    fn step(&mut self, event: gateway::Event) {
        let mut effects = std::mem::take(&mut self.effects);
        self.reducer.step(self.clock.now(), event, &mut effects);
        for effect in effects.drain(..) {
            self.apply_effect(effect);
        }
        self.effects = effects;
    }

    fn apply_effect(&mut self, effect: gateway::Effect) {
        match effect {
            gateway::Effect::SendRequest(send) => {
                let Some(open) = self.requests.get(&send.request) else { return };
                let call = send.call;
                let end = sync::Arc::<Notify>::default();
                let work = self.client.clone().call(*send, open.original.clone(), end.clone());
                let abort = tokio::spawn(work).abort_handle();
                self.call_tasks.insert(call, CallTask { abort, end });
            }
            gateway::Effect::CancelCall(call) => {
                if let Some(task) = self.call_tasks.remove(&call) {
                    task.abort.abort();
                }
            }
            gateway::Effect::EndCall(call) => {
                if let Some(task) = self.call_tasks.get(&call) {
                    task.end.notify_one();
                }
            }
            gateway::Effect::SendBatch(call) => {
                tokio::spawn(self.client.clone().run_batch(*call));
            }
            gateway::Effect::HandOver { group, address, message, timeout } => {
                let work = self.client.clone().hand_over(group, address, *message, timeout);
                self.handover_tasks.insert(group, tokio::spawn(work).abort_handle());
            }
            gateway::Effect::CancelHandover(group) => {
                if let Some(task) = self.handover_tasks.remove(&group) {
                    task.abort();
                }
            }
            gateway::Effect::AnswerHandover(handover, outcomes) => {
                if let Some(reply) = self.handover_replies.remove(&handover) {
                    // Fails only if the other gateway has just closed its connection.
                    let _ = reply.send(outcomes);
                }
            }
            gateway::Effect::ForwardRelease { address, message } => {
                tokio::spawn(self.client.clone().release(address, message));
            }
            gateway::Effect::ProbePeer { peer, address } => {
                tokio::spawn(self.client.clone().probe(peer, address));
            }
            gateway::Effect::FreeResults { process, address, handles } => {
                tokio::spawn(self.client.clone().free_results(process, address, handles));
            }
            gateway::Effect::FindStreams => self.outputs.streams.look_up(),
            gateway::Effect::DeliverAnswer(request, call) => self.deliver_answer(request, call),
            gateway::Effect::Refuse { request, refusal, retry_after } => {
                let response =
                    gateway_http::refusal_response(&self.client.dialect, &refusal, retry_after);
                self.respond(request, response);
            }
            gateway::Effect::DropRequest(request) => drop(self.requests.remove(&request)),
            gateway::Effect::Log(line) => log::info!("{line}"),
        }
    }

    /// Sends the caller the answer that the ended call has left with the shell.
    fn deliver_answer(&mut self, request: id::RequestId, call: gateway::CallId) {
        let Some(answer) = self.answers.remove(&call) else { return };
        let mut response = hyper::Response::new(http::Body::full(answer.body));
        if let Ok(status) = hyper::StatusCode::from_u16(answer.status) {
            *response.status_mut() = status;
        }
        *response.headers_mut() = answer.headers;
        self.respond(request, response);
    }

    /// Sends the caller its response, unless a stream has begun, and drops the request.
    fn respond(&mut self, request: id::RequestId, response: hyper::Response<http::Body>) {
        let Some(open) = self.requests.remove(&request) else { return };
        if let Some(gateway_http::Reply::NotStarted(reply)) =
            gateway_http::take_reply(&open.original.slot)
        {
            // Fails only if the caller has just disconnected.
            let _ = reply.send(response);
        }
    }

    /// Publishes what is kept in the store about streams.
    fn publish_streams(&mut self) {
        let is_same = self.outputs.streams.revision() == self.reducer.stream_revision();
        if is_same && self.streams_published.elapsed() < STREAMS_INTERVAL {
            return;
        }
        self.streams_published = time::Instant::now();
        self.outputs.streams.publish(self.reducer.stream_log(self.clock.now()));
    }

    /// Publishes readiness to the probe handler, limits to the caller handler and reports about
    /// crashes to the task that writes them.
    fn publish(&mut self) {
        let is_ready = self.reducer.is_ready(self.clock.now());
        let changed = self
            .outputs
            .ready
            .send_if_modified(|ready| std::mem::replace(ready, is_ready) != is_ready);
        if changed {
            let age = self.reducer.table_age(self.clock.now()).unwrap_or_default();
            let version = self.reducer.table_version();
            log::info!(
                "event=readiness ready={is_ready} table={version} age_ms={}",
                age.as_millis()
            );
        }
        let limits = self.reducer.limits();
        self.outputs
            .limits
            .send_if_modified(|current| std::mem::replace(current, limits) != limits);
        self.publish_streams();
        let stated = self.reducer.stated_limits();
        self.outputs.stated.send_if_modified(|current| {
            let is_changed = current.revision() != stated.revision();
            if is_changed {
                current.clone_from(stated);
            }
            is_changed
        });
        let report = self.reducer.crash_report(self.clock.now());
        self.outputs.crash_reports.send_if_modified(|current| {
            let is_changed = *current != report;
            *current = report;
            is_changed
        });
    }
}
