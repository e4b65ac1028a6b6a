//! Soak test: injects faults under steady traffic, then compares the responses that callers
//! received with the calls that the upstreams executed.

use std::collections;
use std::sync;
use std::time;

use bramleyshelf_lib::{http, operator};

use crate::cluster;
use crate::engine;
use crate::fault;
use crate::plain;

/// Maximum number of requests with the same idempotency key, each at a random entry.
const MAX_KEYED_ATTEMPTS: u32 = 4;
/// Time after the end of traffic and faults for the system to recover before the checks.
const RECOVERY_TIME: time::Duration = time::Duration::from_secs(4);
/// Time beyond its deadline for which a caller waits for a response.
const CALLER_SLACK: time::Duration = time::Duration::from_secs(3);
/// Time within which a stopped or killed process has to exit.
const EXIT_TIMEOUT: time::Duration = time::Duration::from_secs(20);
/// Deadline of all requests.
const DEADLINE: time::Duration = time::Duration::from_secs(4);

/// Traffic and faults of a run.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Seed of the traffic and of the faults.
    pub seed: u64,
    /// Length of the run in seconds.
    pub seconds: u64,
    /// Requests per second.
    pub rate: u64,
    /// Faults injected during the run.
    pub scenario: Scenario,
}

/// Kinds of faults, chosen at random by [`Scenario::RandomFaults`].
#[derive(Clone, Copy, Debug)]
enum FaultKind {
    KillSidecar,
    KillEntry,
    StopSidecar,
    StopEntry,
    FreezeSidecar,
    /// Freezes the sidecar of a booking upstream for longer than its lease.
    FreezeLong,
    CutUpstream,
    DropUpstreamAnswer,
    SlowUpstream,
    FailUpstream,
    StoreOutage,
    DropStoreAnswers,
    Drain,
    EmptyList,
    ListLeaving,
}

const FAULT_KINDS: [FaultKind; 15] = [
    FaultKind::KillSidecar,
    FaultKind::KillEntry,
    FaultKind::StopSidecar,
    FaultKind::StopEntry,
    FaultKind::FreezeSidecar,
    FaultKind::FreezeLong,
    FaultKind::CutUpstream,
    FaultKind::DropUpstreamAnswer,
    FaultKind::SlowUpstream,
    FaultKind::FailUpstream,
    FaultKind::StoreOutage,
    FaultKind::DropStoreAnswers,
    FaultKind::Drain,
    FaultKind::EmptyList,
    FaultKind::ListLeaving,
];

/// Outcome of one request for a caller.
#[derive(Clone, Debug)]
enum Outcome {
    Answered,
    /// Refusal with its kind and whether the request ran, such as `not_ready ran=no`.
    Refused(String),
    /// Neither answer nor refusal arrived.
    Lost,
}

/// An action of a caller, with the outcomes of all its requests.
#[derive(Clone, Debug)]
struct Action {
    name: String,
    outcomes: Vec<Outcome>,
}

/// Result of a run.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// Number of requests sent.
    pub requests: u64,
    /// Number of requests with an idempotency key.
    pub keyed_requests: u64,
    /// Number of complete answers with status 200.
    pub answers: u64,
    /// Number of complete answers to requests with a key.
    pub keyed_answers: u64,
    /// Number of refusals by kind and by whether the request ran.
    pub refusals: collections::BTreeMap<String, u64>,
    /// Number of requests whose connection broke because their entry was killed.
    pub killed_requests: u64,
    /// Actions that were executed more than once.
    pub duplicates: Vec<String>,
    /// Requests that received neither answer nor refusal although their entry was not killed.
    pub lost_requests: Vec<String>,
    /// Answers that differ from the complete answer to their request.
    pub wrong_answers: Vec<String>,
    /// Actions that were executed although all their requests were refused as not run, or that were
    /// not executed although a request was answered.
    pub contradictions: Vec<String>,
    /// Number of injected faults by kind.
    pub faults: collections::BTreeMap<String, u64>,
}

impl Summary {
    /// Returns whether the run violated no guarantee.
    pub fn is_clean(&self) -> bool {
        self.duplicates.is_empty()
            && self.lost_requests.is_empty()
            && self.wrong_answers.is_empty()
            && self.contradictions.is_empty()
    }
}

impl std::fmt::Display for Summary {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        writeln!(
            f,
            "requests {} answers {} killed {}",
            self.requests, self.answers, self.killed_requests
        )?;
        for (kind, count) in &self.refusals {
            writeln!(f, "refused {kind}: {count}")?;
        }
        for (kind, count) in &self.faults {
            writeln!(f, "fault {kind}: {count}")?;
        }
        let lists = [
            ("duplicates", &self.duplicates),
            ("lost requests", &self.lost_requests),
            ("wrong answers", &self.wrong_answers),
            ("contradictions", &self.contradictions),
        ];
        for (name, list) in lists {
            writeln!(f, "{name} {}", list.len())?;
            for item in list.iter().take(5) {
                writeln!(f, "  {item}")?;
            }
        }
        Ok(())
    }
}

/// What happened during a run, as the checks need it.
#[derive(Debug, Default)]
struct RunRecord {
    summary: Summary,
    actions: Vec<Action>,
    /// Entries that were killed, with the time of the kill.
    killed_entries: Vec<(std::net::SocketAddr, time::Instant)>,
    /// Entries that the load balancer sends requests to.
    routable: Vec<std::net::SocketAddr>,
}

type SharedRecord = sync::Arc<sync::Mutex<RunRecord>>;

/// Faults injected during a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scenario {
    /// No faults.
    NoFaults,
    /// Faults of all kinds, chosen at random with the seed of the plan.
    RandomFaults,
    /// Drains each upstream of the bookings service and each engine in turn.
    RollingDrain,
    /// Kills and restarts the sidecar of one engine.
    KillSidecar,
    /// Kills and restarts one entry.
    KillEntry,
    /// Kills and restarts the sidecar that owns a third of the key ranges of the bookings service.
    KillOwner,
    /// Makes the store unavailable for 10 seconds.
    StoreOutage,
    /// Makes the store unavailable for 30 seconds, which is longer than leases last.
    LongStoreOutage,
}

/// Runs traffic and a scenario against a cluster, then compares the calls that the upstreams
/// executed with the responses that callers received.
///
/// # Panics
/// Panics if a fault cannot be injected.
pub async fn run(system: &mut cluster::Cluster, plan: Plan) -> Summary {
    let record = SharedRecord::default();
    let mut rng = fastrand::Rng::with_seed(plan.seed);
    let entries = system.entries.iter().map(|entry| entry.address).collect();
    record.lock().expect("no holder panics").routable = entries;
    let traffic = tokio::spawn(send_traffic(plan, rng.fork(), record.clone()));
    run_scenario(system, plan, &mut rng, &record).await;
    traffic.await.expect("the traffic does not panic");
    tokio::time::sleep(RECOVERY_TIME).await;
    let mut record = record.lock().expect("no holder panics");
    check_guarantees(system, &mut record);
    record.summary.clone()
}

/// Injects the faults of the plan's scenario. Single faults come after 3 s of undisturbed traffic.
async fn run_scenario(
    system: &mut cluster::Cluster,
    plan: Plan,
    rng: &mut fastrand::Rng,
    record: &SharedRecord,
) {
    let warmup = time::Duration::from_secs(3);
    match plan.scenario {
        Scenario::NoFaults => {}
        Scenario::RandomFaults => inject_random_faults(system, plan, rng, record).await,
        Scenario::RollingDrain => {
            tokio::time::sleep(warmup).await;
            for index in 0..system.nodes.len() {
                if matches!(system.nodes[index].service.as_str(), "bookings" | "generator") {
                    drain(system, index, rng).await;
                }
            }
        }
        Scenario::KillSidecar => {
            tokio::time::sleep(warmup).await;
            let index = system.node_index("generator-0");
            restart_sidecar(system, index, cluster::Signal::Kill).await;
        }
        Scenario::KillEntry => {
            tokio::time::sleep(warmup).await;
            restart_entry(system, 0, cluster::Signal::Kill, record).await;
        }
        Scenario::KillOwner => {
            tokio::time::sleep(warmup).await;
            let index = system.node_index("bookings-0");
            restart_sidecar(system, index, cluster::Signal::Kill).await;
        }
        Scenario::StoreOutage => {
            tokio::time::sleep(warmup).await;
            store_outage(system, time::Duration::from_secs(10)).await;
        }
        Scenario::LongStoreOutage => {
            tokio::time::sleep(warmup).await;
            store_outage(system, time::Duration::from_secs(30)).await;
        }
    }
}

/// Makes the store unavailable for a time.
async fn store_outage(system: &cluster::Cluster, length: time::Duration) {
    system.store.faults.set(fault::Faults { outage: true, ..Default::default() });
    tokio::time::sleep(length).await;
    system.store.faults.set(fault::Faults::default());
}

/// Injects faults of random kinds until the end of the run.
async fn inject_random_faults(
    system: &mut cluster::Cluster,
    plan: Plan,
    rng: &mut fastrand::Rng,
    record: &SharedRecord,
) {
    let end = time::Instant::now() + time::Duration::from_secs(plan.seconds);
    while time::Instant::now() < end {
        let pause = time::Duration::from_millis(rng.u64(100..700));
        tokio::time::sleep(pause).await;
        let kind = FAULT_KINDS[rng.usize(..FAULT_KINDS.len())];
        count_fault(record, kind);
        inject_fault(system, kind, rng, record).await;
    }
}

fn count_fault(record: &SharedRecord, kind: FaultKind) {
    let mut record = record.lock().expect("no holder panics");
    *record.summary.faults.entry(format!("{kind:?}")).or_default() += 1;
}

// Traffic.

/// Starts an action at each tick of the plan's rate, and waits for all of them.
async fn send_traffic(plan: Plan, mut rng: fastrand::Rng, record: SharedRecord) {
    let client = http::client(true);
    let total = plan.seconds * plan.rate;
    let mut ticks =
        tokio::time::interval(time::Duration::from_secs_f64(1.0 / plan.rate.max(1) as f64));
    let mut tasks = tokio::task::JoinSet::new();
    for number in 0..total {
        ticks.tick().await;
        let caller = Caller { client: client.clone(), record: record.clone(), rng: rng.fork() };
        tasks.spawn(caller.run_action(number));
    }
    while tasks.join_next().await.is_some() {}
}

/// A caller that carries out one action.
struct Caller {
    client: http::Client,
    record: SharedRecord,
    rng: fastrand::Rng,
}

impl Caller {
    async fn run_action(mut self, number: u64) {
        match number % 5 {
            0 => self.generate(number, false).await,
            1 => self.generate(number, true).await,
            2 => self.book_without_key(number).await,
            _ => self.book_with_key(number).await,
        }
    }

    /// Sends a call to a random entry and returns the response, unless it was lost.
    ///
    /// A lost response is a violation unless the entry was killed at about that time.
    async fn send(&mut self, call: cluster::Call, label: &str) -> Option<cluster::Response> {
        let entry = {
            let record = self.record.lock().expect("no holder panics");
            record.routable[self.rng.usize(..record.routable.len())]
        };
        let start = time::Instant::now();
        let call = call.with_deadline(DEADLINE.as_millis() as u64);
        let sent =
            http::with_timeout(DEADLINE + CALLER_SLACK, call.send(&self.client, entry)).await;
        let mut record = self.record.lock().expect("no holder panics");
        record.summary.requests += 1;
        let answer = sent.clone().flatten();
        let is_lost =
            answer.as_ref().is_none_or(|answer| !answer.is_complete && !is_cut_stream(answer));
        if !is_lost {
            return answer;
        }
        let was_killed = record
            .killed_entries
            .iter()
            .any(|(address, at)| *address == entry && *at + DEADLINE + CALLER_SLACK * 2 >= start);
        if was_killed {
            record.summary.killed_requests += 1;
        } else {
            let reason = if sent.is_none() { "no answer in time" } else { "connection broke" };
            let took = start.elapsed().as_millis();
            record
                .summary
                .lost_requests
                .push(format!("{label} at {entry}: {reason} after {took} ms"));
        }
        None
    }

    /// Sends a chat request and checks the generated text.
    async fn generate(&mut self, number: u64, stream: bool) {
        let mut body = serde_json::json!({
            "messages": [{ "role": "user", "content": format!("prompt {number}") }],
            "max_tokens": 40,
        });
        if stream {
            body["stream"] = true.into();
        }
        let call = cluster::Call::new("/v1/chat/completions", "counter", body.clone());
        let label = format!("generate {number}");
        let Some(answer) = self.send(call, &label).await else { return };
        if answer.status != 200 || !answer.is_complete {
            self.record_refusal(&answer);
            return;
        }
        let is_correct = if stream {
            answer.body == engine::expected_events(&body).concat()
        } else {
            answer.json()["choices"][0]["message"]["content"] == engine::expected_text(&body)
        };
        let mut record = self.record.lock().expect("no holder panics");
        record.summary.answers += 1;
        if !is_correct {
            record.summary.wrong_answers.push(format!("{label} stream={stream}"));
        }
    }

    /// Counts a refusal, or a stream that ended with an error event, and returns its outcome.
    fn record_refusal(&self, answer: &cluster::Response) -> Outcome {
        let (kind, ran) = if answer.is_complete {
            (answer.kind(), answer.ran())
        } else {
            ("cut_stream".to_owned(), "unknown".to_owned())
        };
        let mut record = self.record.lock().expect("no holder panics");
        *record.summary.refusals.entry(format!("{kind} ran={ran}")).or_default() += 1;
        Outcome::Refused(format!("{kind} ran={ran}"))
    }

    /// Sends a booking that must run at most once, in a single request.
    async fn book_without_key(&mut self, number: u64) {
        let action = format!("once-{number}");
        let body = serde_json::json!({ "action": action });
        let call = cluster::Call::new("/services/deposits", "counter", body);
        let outcome = self.send_booking(call, &action).await;
        self.record_action(action, vec![outcome]);
    }

    /// Sends a booking with a key, and repeats the request until it is answered, at most
    /// [`MAX_KEYED_ATTEMPTS`] times in all.
    async fn book_with_key(&mut self, number: u64) {
        let action = format!("keyed-{number}");
        let body = serde_json::json!({ "action": action });
        let key = cluster::new_key();
        let call = cluster::Call::new("/services/bookings", "counter", body).with_key(&key);
        let mut outcomes = Vec::new();
        for _ in 0..MAX_KEYED_ATTEMPTS {
            let outcome = self.send_booking(call.clone(), &action).await;
            let is_answered = matches!(outcome, Outcome::Answered);
            outcomes.push(outcome);
            // A caller without an answer repeats the request with the same key. Some callers that
            // got their answer do so too.
            if is_answered && self.rng.u8(..) > 20 {
                break;
            }
            tokio::time::sleep(time::Duration::from_millis(self.rng.u64(10..400))).await;
        }
        self.record_action(action, outcomes);
    }

    /// Sends one request of a booking and checks that an answer belongs to it.
    async fn send_booking(&mut self, call: cluster::Call, action: &str) -> Outcome {
        let key_count = u64::from(call.key.is_some());
        self.record.lock().expect("no holder panics").summary.keyed_requests += key_count;
        let Some(answer) = self.send(call, action).await else { return Outcome::Lost };
        if answer.status != 200 {
            return self.record_refusal(&answer);
        }
        let mut record = self.record.lock().expect("no holder panics");
        record.summary.answers += 1;
        record.summary.keyed_answers += key_count;
        if answer.json()["action"] != action {
            record.summary.wrong_answers.push(format!("{action}: {:?}", answer.body));
        }
        Outcome::Answered
    }

    fn record_action(&self, name: String, outcomes: Vec<Outcome>) {
        let mut record = self.record.lock().expect("no holder panics");
        record.actions.push(Action { name, outcomes });
    }
}

/// Returns whether the answer is a stream that ended with an error event.
fn is_cut_stream(answer: &cluster::Response) -> bool {
    String::from_utf8_lossy(&answer.body).contains("event: error")
}

// Faults.

async fn inject_fault(
    system: &mut cluster::Cluster,
    kind: FaultKind,
    rng: &mut fastrand::Rng,
    record: &SharedRecord,
) {
    let index = rng.usize(..system.nodes.len());
    let entry = rng.usize(..system.entries.len());
    match kind {
        FaultKind::KillSidecar => {
            restart_sidecar(system, index, cluster::Signal::Kill).await;
        }
        FaultKind::StopSidecar => {
            restart_sidecar(system, index, cluster::Signal::Terminate).await;
        }
        FaultKind::KillEntry => restart_entry(system, entry, cluster::Signal::Kill, record).await,
        FaultKind::StopEntry => {
            restart_entry(system, entry, cluster::Signal::Terminate, record).await;
        }
        FaultKind::FreezeSidecar => freeze(system, index, rng.u64(200..2_500)).await,
        FaultKind::FreezeLong => {
            let owner = system.node_index(&format!("bookings-{}", rng.usize(..3)));
            freeze(system, owner, 7_000).await;
        }
        FaultKind::CutUpstream => {
            let cut_after = rng.u64(1..400);
            set_faults(
                system,
                index,
                fault::Faults { cut_after, times: Some(2), ..Default::default() },
            );
        }
        FaultKind::DropUpstreamAnswer => {
            set_faults(
                system,
                index,
                fault::Faults { drop_answer: true, times: Some(2), ..Default::default() },
            );
        }
        FaultKind::SlowUpstream => {
            let delay_ms = rng.u64(200..1_500);
            set_faults(
                system,
                index,
                fault::Faults { delay_ms, times: Some(20), ..Default::default() },
            );
        }
        FaultKind::FailUpstream => {
            set_faults(
                system,
                index,
                fault::Faults { status: 503, times: Some(10), ..Default::default() },
            );
        }
        FaultKind::StoreOutage => {
            store_outage(system, time::Duration::from_millis(rng.u64(500..5_000))).await;
        }
        FaultKind::DropStoreAnswers => {
            let faults = fault::Faults { drop_answer: true, times: Some(5), ..Default::default() };
            system.store.faults.set(faults);
        }
        FaultKind::Drain => drain(system, index, rng).await,
        FaultKind::EmptyList => {
            system.publish_empty();
            tokio::time::sleep(time::Duration::from_millis(rng.u64(500..3_000))).await;
            system.publish();
        }
        FaultKind::ListLeaving => {
            let name = system.nodes[index].name.clone();
            system.publish_leaving(&[&name]);
            tokio::time::sleep(time::Duration::from_millis(rng.u64(500..3_000))).await;
            system.publish();
        }
    }
}

fn set_faults(system: &cluster::Cluster, index: usize, faults: fault::Faults) {
    system.nodes[index].upstream.faults.set(faults);
}

/// Ends a sidecar with a signal and starts it again.
async fn restart_sidecar(system: &mut cluster::Cluster, index: usize, signal: cluster::Signal) {
    if let Some(child) = &mut system.nodes[index].sidecar {
        child.signal(signal);
        child.exits_within(EXIT_TIMEOUT).await;
    }
    system.start_sidecar(index);
}

/// Ends an entry with a signal, starts it again and waits until it is ready. The simulated balancer
/// sends it no requests meanwhile.
async fn restart_entry(
    system: &mut cluster::Cluster,
    index: usize,
    signal: cluster::Signal,
    record: &SharedRecord,
) {
    let address = system.entries[index].address;
    let is_kill = matches!(signal, cluster::Signal::Kill);
    let remove_from_balancer = |record: &SharedRecord| {
        let mut record = record.lock().expect("no holder panics");
        record.routable.retain(|entry| *entry != address);
        if is_kill {
            record.killed_entries.push((address, time::Instant::now()));
        }
    };
    // On a planned stop, readiness fails first and the balancer removes the entry in time. After a
    // kill, the balancer notices only later.
    if !is_kill {
        remove_from_balancer(record);
    }
    if let Some(child) = &mut system.entries[index].process {
        child.signal(signal);
        if is_kill {
            remove_from_balancer(record);
        }
        child.exits_within(EXIT_TIMEOUT).await;
    }
    system.start_entry(index);
    system.wait_entry_ready(index).await;
    record.lock().expect("no holder panics").routable.push(address);
}

/// Suspends the sidecar of a node for a time.
async fn freeze(system: &cluster::Cluster, index: usize, millis: u64) {
    let Some(child) = &system.nodes[index].sidecar else { return };
    child.signal(cluster::Signal::Stop);
    tokio::time::sleep(time::Duration::from_millis(millis)).await;
    child.signal(cluster::Signal::Continue);
}

/// Drains the upstream of a node and ends the drain after 0.5 s to 3 s.
async fn drain(system: &cluster::Cluster, index: usize, rng: &mut fastrand::Rng) {
    let store = system.store_client();
    let instance = system.nodes[index].name.parse().expect("a valid name");
    let nonce = format!("drain-{}", rng.u64(..));
    // The drain may be refused, or the store may be unavailable.
    let _ = operator::set_draining(&store, &instance, true, false, &nonce).await;
    tokio::time::sleep(time::Duration::from_millis(rng.u64(500..3_000))).await;
    let _ = operator::set_draining(&store, &instance, false, false, &format!("un{nonce}")).await;
}

// Checks.

/// Compares the executions at the upstreams with the outcomes of all actions, and adds violations to
/// the summary.
fn check_guarantees(system: &cluster::Cluster, record: &mut RunRecord) {
    let mut executions: collections::BTreeMap<String, Vec<plain::Execution>> =
        collections::BTreeMap::new();
    for execution in system.executions("bookings").into_iter().chain(system.executions("deposits"))
    {
        executions.entry(execution.action.clone()).or_default().push(execution);
    }
    for (action, all) in &executions {
        if all.len() > 1 {
            record.summary.duplicates.push(format!("{action}: {all:?}"));
        }
    }
    for action in &record.actions {
        let has_run = executions.contains_key(&action.name);
        let is_answered = action.outcomes.iter().any(|o| matches!(o, Outcome::Answered));
        let all_not_run = action
            .outcomes
            .iter()
            .all(|o| matches!(o, Outcome::Refused(refusal) if refusal.ends_with("ran=no")));
        if all_not_run && has_run || is_answered && !has_run {
            record.summary.contradictions.push(format!("{}: {:?}", action.name, action.outcomes));
        }
    }
}

/// Returns the configuration with leases of 4 seconds and a clock skew limit of 50 ms, so that
/// takeovers happen within a short run.
///
/// # Panics
/// Panics if the text is not JSON.
pub fn shorten_leases(text: &str) -> String {
    let mut value: serde_json::Value = serde_json::from_str(text).expect("JSON");
    value["limits"]["lease_ms"] = 4_000.into();
    value["limits"]["skew_ms"] = 50.into();
    value.to_string()
}
