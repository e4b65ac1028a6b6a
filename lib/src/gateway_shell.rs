//! Shell of a gateway: sockets, timers and bodies around the reducer in [`crate::gateway`].

use std::collections;
use std::io;
use std::path;
use std::sync;
use std::time;

use tokio::sync::{mpsc, oneshot, watch};

use crate::clock;
use crate::clock::Clock as _;
use crate::dialect;
use crate::gateway;
use crate::gateway_calls;
use crate::gateway_http;
use crate::gateway_peers;
use crate::gateway_reads;
use crate::gateway_settings;
use crate::handoff;
use crate::http;
use crate::id;
use crate::table;
use crate::telemetry;
use crate::unit;
use crate::upstream_pool;

/// Pause between two ticks, in which results to free are collected as well.
const TICK: time::Duration = time::Duration::from_millis(20);
/// Messages that wait for the loop.
const QUEUE: usize = 4_096;
/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";
/// Pause between two looks for connections that have rested too long.
const PRUNE_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Signals from outside.
#[derive(Clone, Debug)]
pub struct Signals {
    /// Turns true when the process is to stop.
    pub stop: watch::Receiver<bool>,
    /// Counts the requests to read the settings again.
    pub reload: watch::Receiver<u64>,
}

/// A request that the shell holds.
struct Open {
    origin: gateway_calls::OriginalRequest,
}

struct Shell<D> {
    reducer: gateway::Gateway,
    clock: clock::SystemClock,
    caller: gateway_calls::UpstreamClient<D>,
    open: collections::BTreeMap<id::RequestId, Open>,
    calls: collections::BTreeMap<gateway::CallId, tokio::task::AbortHandle>,
    handovers: collections::BTreeMap<crate::batch::GroupId, tokio::task::AbortHandle>,
    tickets: collections::BTreeMap<gateway::HandoverId, oneshot::Sender<handoff::HandoverResult>>,
    answers: collections::BTreeMap<gateway::CallId, gateway_calls::Answer>,
    effects: Vec<gateway::Effect>,
    ready: watch::Sender<bool>,
    limits: watch::Sender<table::Limits>,
}

/// Runs a gateway until it is asked to stop and its requests have ended.
///
/// # Errors
/// Fails if one of its addresses cannot be listened on.
pub async fn run<D: dialect::Dialect, S: dialect::GatewayStore>(
    settings: gateway_settings::Settings,
    dialect: D,
    source: S,
    mut signals: Signals,
    file: Option<path::PathBuf>,
) -> io::Result<()> {
    telemetry::install();
    let listener = http::listen(settings.listen).await?;
    let probes = http::listen(settings.probe_listen).await?;
    let metrics = http::listen(settings.metrics_listen).await?;
    let peers = http::listen(settings.peer_listen).await?;
    let (messages, mut incoming) = mpsc::channel(QUEUE);
    let (reports, mut reported) = mpsc::channel(QUEUE);
    let (asks, mut asked) = mpsc::channel(QUEUE);
    let (reads, mut read) = mpsc::channel(16);
    let (ready, is_ready) = watch::channel(false);
    let (limits, limits_seen) = watch::channel(table::Limits::default());
    let (closing, closing_seen) = watch::channel(false);
    let (stopped, stopped_seen) = watch::channel(false);
    log_start(&settings);
    let clock = clock::SystemClock::new();
    let callers = gateway_http::CallerHandler {
        dialect: dialect.clone(),
        messages,
        serial: sync::Arc::new(sync::atomic::AtomicU64::new(1)),
        limits: limits_seen,
        stopping: signals.stop.clone(),
    };
    let mut served = tokio::spawn(http::serve(listener, callers, closing_seen));
    let probe = gateway_http::ProbeHandler { ready: is_ready, metrics_path: METRICS_PATH };
    tokio::spawn(http::serve(probes, probe.clone(), stopped_seen.clone()));
    tokio::spawn(http::serve(metrics, probe, stopped_seen.clone()));
    let serial = sync::Arc::new(sync::atomic::AtomicU64::new(1));
    let (newest, newest_seen) = watch::channel(None);
    let desk = gateway_peers::PeerHandler { messages: asks, serial, reads: newest_seen, clock };
    tokio::spawn(http::serve(peers, desk, stopped_seen));
    let announced = gateway_reads::spawn(&settings, &source, clock, newest, &reads);
    let mut shell = Shell::new(&settings, clock, dialect, reports, ready, limits);
    let mut tick = tokio::time::interval(TICK);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut prune = tokio::time::interval(PRUNE_INTERVAL);
    prune.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut stopping = None;
    let mut can_reload = true;
    loop {
        tokio::select! {
            biased;
            Some(event) = read.recv() => shell.step(event),
            Some(report) = reported.recv() => shell.report(report),
            Some(message) = asked.recv() => shell.ask(message),
            Some(message) = incoming.recv() => shell.message(message),
            _ = tick.tick() => {
                shell.step(gateway::Event::Tick);
                shell.publish();
            }
            _ = prune.tick() => shell.caller.pool.prune(),
            changed = signals.reload.changed(), if can_reload => {
                // The signal's source is gone; it would be ready for ever.
                can_reload = changed.is_ok();
                if can_reload {
                    reload(&settings, file.as_deref());
                }
            }
            _ = signals.stop.wait_for(|stop| *stop), if stopping.is_none() => {
                log::info!("event=stop_requested open={}", shell.reducer.request_count());
                stopping = Some(time::Instant::now());
                shell.step(gateway::Event::Drain);
                shell.publish();
                announced.abort();
                tokio::spawn(gateway_reads::withdraw(source.clone()));
            }
            _ = &mut served => break,
        }
        if let Some(since) = stopping {
            if since.elapsed() >= settings.notice_ms.duration() {
                closing.send_replace(true);
            }
            if since.elapsed() >= settings.stop_ms.duration() {
                break;
            }
        }
    }
    log::info!("event=stopped open={}", shell.reducer.request_count());
    stopped.send_replace(true);
    Ok(())
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

/// Reads the settings again. Addresses cannot change while the process runs; a change of theirs is
/// told, so that operators see that it needs a restart.
fn reload(settings: &gateway_settings::Settings, file: Option<&path::Path>) {
    let Some(file) = file else { return };
    match crate::settings::read::<gateway_settings::Settings>(file, &[]) {
        Err(e) => log::warn!("event=reload_failed error={:?}", e.to_string()),
        Ok(new) => {
            let is_same = serde_json::to_value(&new).ok() == serde_json::to_value(settings).ok();
            log::info!("event=reloaded changed={}", !is_same);
        }
    }
}

fn terms(settings: &gateway_settings::Settings) -> gateway::Settings {
    gateway::Settings {
        instance: settings.instance.clone(),
        domain: settings.domain.clone(),
        regions: settings.regions.clone(),
        revocation_bound: settings.revocation_ms.map(unit::Millis::duration),
        retry_share: settings.retry_share.0,
    }
}

impl<D: dialect::Dialect> Shell<D> {
    fn new(
        settings: &gateway_settings::Settings,
        clock: clock::SystemClock,
        dialect: D,
        reports: mpsc::Sender<gateway_calls::CallReport>,
        ready: watch::Sender<bool>,
        limits: watch::Sender<table::Limits>,
    ) -> Self {
        let pool = upstream_pool::Pool::default();
        let peers = upstream_pool::Pool::default();
        Self {
            reducer: gateway::Gateway::new(terms(settings), fastrand::u64(..)),
            clock,
            caller: gateway_calls::UpstreamClient { dialect, pool, peers, reports },
            open: collections::BTreeMap::new(),
            calls: collections::BTreeMap::new(),
            handovers: collections::BTreeMap::new(),
            tickets: collections::BTreeMap::new(),
            answers: collections::BTreeMap::new(),
            effects: Vec::new(),
            ready,
            limits,
        }
    }

    fn message(&mut self, message: gateway_http::Message) {
        match message {
            gateway_http::Message::RequestArrived(incoming) => {
                let gateway_http::IncomingRequest { request, arrival, head, body, reply } =
                    *incoming;
                let reply = gateway_http::Reply::NotStarted(reply);
                let slot = sync::Arc::new(sync::Mutex::new(Some(reply)));
                let origin = gateway_calls::OriginalRequest { head, body, slot };
                self.open.insert(request, Open { origin });
                self.step(gateway::Event::RequestArrived(request, arrival));
            }
            gateway_http::Message::CallerGone(request) => {
                self.step(gateway::Event::CallerGone(request));
                self.open.remove(&request);
            }
        }
    }

    fn ask(&mut self, message: gateway_peers::Message) {
        match message {
            gateway_peers::Message::HandoverReceived(ticket, pieces, reply) => {
                self.tickets.insert(ticket, reply);
                self.step(gateway::Event::HandoverReceived(ticket, pieces));
            }
            gateway_peers::Message::HandoverCancelled(ticket) => {
                self.tickets.remove(&ticket);
                self.step(gateway::Event::HandoverCancelled(ticket));
            }
            gateway_peers::Message::ReleaseReceived(message) => {
                self.step(gateway::Event::ReleaseReceived(message));
            }
        }
    }

    fn report(&mut self, report: gateway_calls::CallReport) {
        match report {
            gateway_calls::CallReport::Answer(call, answer) => {
                if self.calls.contains_key(&call) {
                    self.answers.insert(call, answer);
                }
            }
            gateway_calls::CallReport::Event(event) => {
                let ended = match &event {
                    gateway::Event::CallEnded { call, .. } => {
                        self.calls.remove(call).map(|_| *call)
                    }
                    gateway::Event::HandoverEnded(group, _) => {
                        self.handovers.remove(group);
                        None
                    }
                    gateway::Event::CallerGone(request) => {
                        self.open.remove(request);
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

    fn step(&mut self, event: gateway::Event) {
        let mut effects = std::mem::take(&mut self.effects);
        self.reducer.step(self.clock.now(), event, &mut effects);
        for effect in effects.drain(..) {
            self.carry_out(effect);
        }
        self.effects = effects;
    }

    fn carry_out(&mut self, effect: gateway::Effect) {
        match effect {
            gateway::Effect::SendRequest(send) => {
                let Some(open) = self.open.get(&send.request) else { return };
                let call = send.call;
                let work = self.caller.clone().call(*send, open.origin.clone());
                self.calls.insert(call, tokio::spawn(work).abort_handle());
            }
            gateway::Effect::CancelCall(call) => {
                if let Some(task) = self.calls.remove(&call) {
                    task.abort();
                }
            }
            gateway::Effect::SendBatch(run) => {
                tokio::spawn(self.caller.clone().run(*run));
            }
            gateway::Effect::HandOver { group, address, message, timeout: patience } => {
                let work = self.caller.clone().hand_over(group, address, *message, patience);
                self.handovers.insert(group, tokio::spawn(work).abort_handle());
            }
            gateway::Effect::CancelHandover(group) => {
                if let Some(task) = self.handovers.remove(&group) {
                    task.abort();
                }
            }
            gateway::Effect::AnswerHandover(ticket, outcomes) => {
                if let Some(reply) = self.tickets.remove(&ticket) {
                    // Fails only if the other gateway has just stopped waiting.
                    let _ = reply.send(outcomes);
                }
            }
            gateway::Effect::ForwardRelease { address, message } => {
                tokio::spawn(self.caller.clone().release(address, message));
            }
            gateway::Effect::ProbePeer { peer, address } => {
                tokio::spawn(self.caller.clone().probe(peer, address));
            }
            gateway::Effect::FreeResults { instance, address, handles } => {
                tokio::spawn(self.caller.clone().free(instance, address, handles));
            }
            gateway::Effect::DeliverAnswer(request, call) => self.deliver(request, call),
            gateway::Effect::Refuse { request, refusal, retry_after } => {
                let response =
                    gateway_http::refusal_response(&self.caller.dialect, &refusal, retry_after);
                self.answer(request, response);
            }
            gateway::Effect::DropRequest(request) => drop(self.open.remove(&request)),
            gateway::Effect::Log(line) => log::info!("{line}"),
        }
    }

    fn deliver(&mut self, request: id::RequestId, call: gateway::CallId) {
        let Some(answer) = self.answers.remove(&call) else { return };
        let mut response = hyper::Response::new(http::Body::full(answer.body));
        if let Ok(status) = hyper::StatusCode::from_u16(answer.status) {
            *response.status_mut() = status;
        }
        *response.headers_mut() = answer.headers;
        self.answer(request, response);
    }

    fn answer(&mut self, request: id::RequestId, response: hyper::Response<http::Body>) {
        let Some(open) = self.open.remove(&request) else { return };
        if let Some(gateway_http::Reply::NotStarted(reply)) =
            gateway_http::take_reply(&open.origin.slot)
        {
            // Fails only if the caller has just gone away.
            let _ = reply.send(response);
        }
    }

    /// Tells the balancer's and callers' handlers what has changed.
    fn publish(&mut self) {
        let is_ready = self.reducer.is_ready(self.clock.now());
        let changed =
            self.ready.send_if_modified(|ready| std::mem::replace(ready, is_ready) != is_ready);
        if changed {
            let age = self.reducer.table_age(self.clock.now()).unwrap_or_default();
            let version = self.reducer.table_version();
            log::info!(
                "event=readiness ready={is_ready} table={version} age_ms={}",
                age.as_millis()
            );
        }
        let limits = self.reducer.limits();
        self.limits.send_if_modified(|known| std::mem::replace(known, limits) != limits);
    }
}
