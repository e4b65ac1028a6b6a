//! Mixed faults under steady traffic, with every answer held against the upstreams' logs.

use std::collections;
use std::sync;
use std::time;

use bramleyshelf_lib::{http, operator};

use crate::cluster;
use crate::engine;
use crate::fault;
use crate::plain;

/// Requests of callers that are retried with their key at another entry.
const MAX_KEY_TRIES: u32 = 4;
/// Time after the last fault in which everything settles.
const SETTLE: time::Duration = time::Duration::from_secs(4);
/// Longest time that a caller waits beyond its deadline.
const CALLER_SLACK: time::Duration = time::Duration::from_secs(3);
/// Time that a process has to end.
const END_TIME: time::Duration = time::Duration::from_secs(20);
/// Deadline of all requests.
const DEADLINE: time::Duration = time::Duration::from_secs(4);

/// What a run does.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Seed of the traffic and of the faults.
    pub seed: u64,
    /// Length of the run in seconds.
    pub seconds: u64,
    /// Requests per second.
    pub rate: u64,
    /// What happens meanwhile.
    pub scenario: Scenario,
}

/// Faults that a run mixes.
#[derive(Clone, Copy, Debug)]
enum Mishap {
    KillSidecar,
    KillEntry,
    StopSidecar,
    StopEntry,
    FreezeSidecar,
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

const MISHAPS: [Mishap; 15] = [
    Mishap::KillSidecar,
    Mishap::KillEntry,
    Mishap::StopSidecar,
    Mishap::StopEntry,
    Mishap::FreezeSidecar,
    Mishap::FreezeLong,
    Mishap::CutUpstream,
    Mishap::DropUpstreamAnswer,
    Mishap::SlowUpstream,
    Mishap::FailUpstream,
    Mishap::StoreOutage,
    Mishap::DropStoreAnswers,
    Mishap::Drain,
    Mishap::EmptyList,
    Mishap::ListLeaving,
];

/// How one request of a caller ended.
#[derive(Clone, Debug)]
enum Outcome {
    Answered,
    Refused(String),
    Lost,
}

/// All requests of one action.
#[derive(Clone, Debug)]
struct History {
    action: String,
    outcomes: Vec<Outcome>,
}

/// Counts of a run.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// Requests sent.
    pub requests: u64,
    /// Requests with an idempotency key.
    pub keyed_requests: u64,
    /// Whole answers.
    pub answers: u64,
    /// Whole answers of requests with a key.
    pub keyed_answers: u64,
    /// Refusals by kind and by whether the request ran.
    pub refusals: collections::BTreeMap<String, u64>,
    /// Requests whose connection broke because their entry was killed.
    pub killed_requests: u64,
    /// Actions that ran more than once.
    pub duplicates: Vec<String>,
    /// Requests that got neither answer nor refusal although their entry was not killed.
    pub lost_requests: Vec<String>,
    /// Answers that are not the whole answer to their own request.
    pub wrong_answers: Vec<String>,
    /// Actions that ran although every request was refused as not run, or did not run although
    /// one was answered.
    pub contradictions: Vec<String>,
    /// Faults by kind.
    pub faults: collections::BTreeMap<String, u64>,
}

impl Summary {
    /// Whether every promise was kept.
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
            ("doubles", &self.duplicates),
            ("losses", &self.lost_requests),
            ("swaps", &self.wrong_answers),
            ("lies", &self.contradictions),
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

#[derive(Debug, Default)]
struct Book {
    summary: Summary,
    histories: Vec<History>,
    kills: Vec<(std::net::SocketAddr, time::Instant)>,
    /// Entries to which the platform's balancer sends callers.
    up: Vec<std::net::SocketAddr>,
}

type Shared = sync::Arc<sync::Mutex<Book>>;

/// What happens during a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scenario {
    /// Nothing.
    NoFaults,
    /// Faults of all kinds, drawn by the seed.
    RandomFaults,
    /// Each upstream of the bookings and the engines is drained in turn.
    RollingDrain,
    /// One engine's sidecar is killed and comes back.
    KillSidecar,
    /// One entry is killed and comes back.
    KillEntry,
    /// The owner of a third of the booking keys is killed and comes back.
    KillOwner,
    /// The store is out for ten seconds.
    StoreOutage,
    /// The store is out for thirty seconds, longer than leases.
    LongStoreOutage,
}

/// Runs traffic and a course of events against a cluster and compares what ran with what callers
/// were told.
///
/// # Panics
/// Panics if a fault cannot be injected.
pub async fn run(system: &mut cluster::Cluster, plan: Plan) -> Summary {
    let book = Shared::default();
    let mut rng = fastrand::Rng::with_seed(plan.seed);
    let entries = system.entries.iter().map(|entry| entry.address).collect();
    book.lock().expect("no holder panics").up = entries;
    let traffic = tokio::spawn(traffic(plan, rng.fork(), book.clone()));
    take_course(system, plan, &mut rng, &book).await;
    traffic.await.expect("the traffic does not panic");
    tokio::time::sleep(SETTLE).await;
    let mut book = book.lock().expect("no holder panics");
    judge(system, &mut book);
    book.summary.clone()
}

async fn take_course(
    system: &mut cluster::Cluster,
    plan: Plan,
    rng: &mut fastrand::Rng,
    book: &Shared,
) {
    let lead = time::Duration::from_secs(3);
    match plan.scenario {
        Scenario::NoFaults => {}
        Scenario::RandomFaults => mix(system, plan, rng, book).await,
        Scenario::RollingDrain => {
            tokio::time::sleep(lead).await;
            for index in 0..system.nodes.len() {
                if matches!(system.nodes[index].service.as_str(), "bookings" | "generator") {
                    drain(system, index, rng).await;
                }
            }
        }
        Scenario::KillSidecar => {
            tokio::time::sleep(lead).await;
            let index = system.node_index("generator-0");
            restart_sidecar(system, index, cluster::Signal::Kill).await;
        }
        Scenario::KillEntry => {
            tokio::time::sleep(lead).await;
            restart_entry(system, 0, cluster::Signal::Kill, book).await;
        }
        Scenario::KillOwner => {
            tokio::time::sleep(lead).await;
            let index = system.node_index("bookings-0");
            restart_sidecar(system, index, cluster::Signal::Kill).await;
        }
        Scenario::StoreOutage => {
            tokio::time::sleep(lead).await;
            store_outage(system, time::Duration::from_secs(10)).await;
        }
        Scenario::LongStoreOutage => {
            tokio::time::sleep(lead).await;
            store_outage(system, time::Duration::from_secs(30)).await;
        }
    }
}

async fn store_outage(system: &cluster::Cluster, length: time::Duration) {
    system.store.faults.set(fault::Faults { outage: true, ..Default::default() });
    tokio::time::sleep(length).await;
    system.store.faults.set(fault::Faults::default());
}

/// Draws faults until the run is over.
async fn mix(system: &mut cluster::Cluster, plan: Plan, rng: &mut fastrand::Rng, book: &Shared) {
    let end = time::Instant::now() + time::Duration::from_secs(plan.seconds);
    while time::Instant::now() < end {
        let pause = time::Duration::from_millis(rng.u64(100..700));
        tokio::time::sleep(pause).await;
        let mishap = MISHAPS[rng.usize(..MISHAPS.len())];
        note_mishap(book, mishap);
        strike(system, mishap, rng, book).await;
    }
}

fn note_mishap(book: &Shared, mishap: Mishap) {
    let mut book = book.lock().expect("no holder panics");
    *book.summary.faults.entry(format!("{mishap:?}")).or_default() += 1;
}

// Traffic.

async fn traffic(plan: Plan, mut rng: fastrand::Rng, book: Shared) {
    let client = http::client(true);
    let total = plan.seconds * plan.rate;
    let mut ticks =
        tokio::time::interval(time::Duration::from_secs_f64(1.0 / plan.rate.max(1) as f64));
    let mut tasks = tokio::task::JoinSet::new();
    for number in 0..total {
        ticks.tick().await;
        let caller = Caller { client: client.clone(), book: book.clone(), rng: rng.fork() };
        tasks.spawn(caller.act(number));
    }
    while tasks.join_next().await.is_some() {}
}

struct Caller {
    client: http::Client,
    book: Shared,
    rng: fastrand::Rng,
}

impl Caller {
    async fn act(mut self, number: u64) {
        match number % 5 {
            0 => self.generate(number, false).await,
            1 => self.generate(number, true).await,
            2 => self.book_once(number).await,
            _ => self.book_with_key(number).await,
        }
    }

    /// Makes a call at a random entry; checks that a broken connection was a kill.
    async fn send(&mut self, call: cluster::Call, label: &str) -> Option<cluster::Response> {
        let entry = {
            let book = self.book.lock().expect("no holder panics");
            book.up[self.rng.usize(..book.up.len())]
        };
        let start = time::Instant::now();
        let call = call.with_deadline(DEADLINE.as_millis() as u64);
        let sent =
            http::with_timeout(DEADLINE + CALLER_SLACK, call.send(&self.client, entry)).await;
        let mut book = self.book.lock().expect("no holder panics");
        book.summary.requests += 1;
        let answer = sent.clone().flatten();
        let broken =
            answer.as_ref().is_none_or(|answer| !answer.is_complete && !is_cut_stream(answer));
        if !broken {
            return answer;
        }
        let was_killed = book
            .kills
            .iter()
            .any(|(address, at)| *address == entry && *at + DEADLINE + CALLER_SLACK * 2 >= start);
        if was_killed {
            book.summary.killed_requests += 1;
        } else {
            let what = if sent.is_none() { "no answer in time" } else { "connection broke" };
            let took = start.elapsed().as_millis();
            book.summary.lost_requests.push(format!("{label} at {entry}: {what} after {took} ms"));
        }
        None
    }

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
            self.note_refusal(&answer);
            return;
        }
        let right = if stream {
            answer.body == engine::expected_events(&body).concat()
        } else {
            answer.json()["choices"][0]["message"]["content"] == engine::expected_text(&body)
        };
        let mut book = self.book.lock().expect("no holder panics");
        book.summary.answers += 1;
        if !right {
            book.summary.wrong_answers.push(format!("{label} stream={stream}"));
        }
    }

    fn note_refusal(&self, answer: &cluster::Response) -> Outcome {
        let (kind, ran) = if answer.is_complete {
            (answer.kind(), answer.ran())
        } else {
            ("cut_stream".to_owned(), "unknown".to_owned())
        };
        let mut book = self.book.lock().expect("no holder panics");
        *book.summary.refusals.entry(format!("{kind} ran={ran}")).or_default() += 1;
        Outcome::Refused(format!("{kind} ran={ran}"))
    }

    async fn book_once(&mut self, number: u64) {
        let action = format!("once-{number}");
        let body = serde_json::json!({ "action": action });
        let call = cluster::Call::new("/services/deposits", "counter", body);
        let outcome = self.book_call(call, &action).await;
        self.record(action, vec![outcome]);
    }

    async fn book_with_key(&mut self, number: u64) {
        let action = format!("keyed-{number}");
        let body = serde_json::json!({ "action": action });
        let key = cluster::new_key();
        let call = cluster::Call::new("/services/bookings", "counter", body).with_key(&key);
        let mut outcomes = Vec::new();
        for _ in 0..MAX_KEY_TRIES {
            let outcome = self.book_call(call.clone(), &action).await;
            let done = matches!(outcome, Outcome::Answered);
            outcomes.push(outcome);
            // A caller in doubt asks again, and now and then one that got its answer does too.
            if done && self.rng.u8(..) > 20 {
                break;
            }
            tokio::time::sleep(time::Duration::from_millis(self.rng.u64(10..400))).await;
        }
        self.record(action, outcomes);
    }

    async fn book_call(&mut self, call: cluster::Call, action: &str) -> Outcome {
        let keyed = u64::from(call.key.is_some());
        self.book.lock().expect("no holder panics").summary.keyed_requests += keyed;
        let Some(answer) = self.send(call, action).await else { return Outcome::Lost };
        if answer.status != 200 {
            return self.note_refusal(&answer);
        }
        let mut book = self.book.lock().expect("no holder panics");
        book.summary.answers += 1;
        book.summary.keyed_answers += keyed;
        if answer.json()["action"] != action {
            book.summary.wrong_answers.push(format!("{action}: {:?}", answer.body));
        }
        Outcome::Answered
    }

    fn record(&self, action: String, outcomes: Vec<Outcome>) {
        let mut book = self.book.lock().expect("no holder panics");
        book.histories.push(History { action, outcomes });
    }
}

/// Whether the answer is a stream that told by an event that it is not whole.
fn is_cut_stream(answer: &cluster::Response) -> bool {
    String::from_utf8_lossy(&answer.body).contains("event: error")
}

// Faults.

async fn strike(
    system: &mut cluster::Cluster,
    mishap: Mishap,
    rng: &mut fastrand::Rng,
    book: &Shared,
) {
    let index = rng.usize(..system.nodes.len());
    let entry = rng.usize(..system.entries.len());
    match mishap {
        Mishap::KillSidecar => {
            restart_sidecar(system, index, cluster::Signal::Kill).await;
        }
        Mishap::StopSidecar => {
            restart_sidecar(system, index, cluster::Signal::Terminate).await;
        }
        Mishap::KillEntry => restart_entry(system, entry, cluster::Signal::Kill, book).await,
        Mishap::StopEntry => restart_entry(system, entry, cluster::Signal::Terminate, book).await,
        Mishap::FreezeSidecar => freeze(system, index, rng.u64(200..2_500)).await,
        Mishap::FreezeLong => {
            let owner = system.node_index(&format!("bookings-{}", rng.usize(..3)));
            freeze(system, owner, 7_000).await;
        }
        Mishap::CutUpstream => {
            let cut_after = rng.u64(1..400);
            set(system, index, fault::Faults { cut_after, times: Some(2), ..Default::default() });
        }
        Mishap::DropUpstreamAnswer => {
            set(
                system,
                index,
                fault::Faults { drop_answer: true, times: Some(2), ..Default::default() },
            );
        }
        Mishap::SlowUpstream => {
            let delay_ms = rng.u64(200..1_500);
            set(system, index, fault::Faults { delay_ms, times: Some(20), ..Default::default() });
        }
        Mishap::FailUpstream => {
            set(
                system,
                index,
                fault::Faults { status: 503, times: Some(10), ..Default::default() },
            );
        }
        Mishap::StoreOutage => {
            store_outage(system, time::Duration::from_millis(rng.u64(500..5_000))).await;
        }
        Mishap::DropStoreAnswers => {
            let faults = fault::Faults { drop_answer: true, times: Some(5), ..Default::default() };
            system.store.faults.set(faults);
        }
        Mishap::Drain => drain(system, index, rng).await,
        Mishap::EmptyList => {
            system.publish_empty();
            tokio::time::sleep(time::Duration::from_millis(rng.u64(500..3_000))).await;
            system.publish();
        }
        Mishap::ListLeaving => {
            let name = system.nodes[index].name.clone();
            system.publish_leaving(&[&name]);
            tokio::time::sleep(time::Duration::from_millis(rng.u64(500..3_000))).await;
            system.publish();
        }
    }
}

fn set(system: &cluster::Cluster, index: usize, faults: fault::Faults) {
    system.nodes[index].upstream.faults.set(faults);
}

async fn restart_sidecar(system: &mut cluster::Cluster, index: usize, signal: cluster::Signal) {
    if let Some(child) = &mut system.nodes[index].sidecar {
        child.signal(signal);
        child.exits_within(END_TIME).await;
    }
    system.start_sidecar(index);
}

async fn restart_entry(
    system: &mut cluster::Cluster,
    index: usize,
    signal: cluster::Signal,
    book: &Shared,
) {
    let address = system.entries[index].address;
    let is_kill = matches!(signal, cluster::Signal::Kill);
    let set_down = |book: &Shared| {
        let mut book = book.lock().expect("no holder panics");
        book.up.retain(|up| *up != address);
        if is_kill {
            book.kills.push((address, time::Instant::now()));
        }
    };
    // A planned stop fails readiness first, and the balancer follows; a kill it learns afterwards.
    if !is_kill {
        set_down(book);
    }
    if let Some(child) = &mut system.entries[index].process {
        child.signal(signal);
        if is_kill {
            set_down(book);
        }
        child.exits_within(END_TIME).await;
    }
    system.start_entry(index);
    system.wait_entry_ready(index).await;
    book.lock().expect("no holder panics").up.push(address);
}

async fn freeze(system: &cluster::Cluster, index: usize, millis: u64) {
    let Some(child) = &system.nodes[index].sidecar else { return };
    child.signal(cluster::Signal::Stop);
    tokio::time::sleep(time::Duration::from_millis(millis)).await;
    child.signal(cluster::Signal::Continue);
}

async fn drain(system: &cluster::Cluster, index: usize, rng: &mut fastrand::Rng) {
    let store = system.store_client();
    let instance = system.nodes[index].name.parse().expect("a valid name");
    let nonce = format!("drain-{}", rng.u64(..));
    // A drain may be refused, or the store may be out.
    let _ = operator::set_draining(&store, &instance, true, false, &nonce).await;
    tokio::time::sleep(time::Duration::from_millis(rng.u64(500..3_000))).await;
    let _ = operator::set_draining(&store, &instance, false, false, &format!("un{nonce}")).await;
}

// Judgement.

fn judge(system: &cluster::Cluster, book: &mut Book) {
    let mut runs: collections::BTreeMap<String, Vec<plain::Execution>> =
        collections::BTreeMap::new();
    for run in system.executions("bookings").into_iter().chain(system.executions("deposits")) {
        runs.entry(run.action.clone()).or_default().push(run);
    }
    for (action, all) in &runs {
        if all.len() > 1 {
            book.summary.duplicates.push(format!("{action}: {all:?}"));
        }
    }
    for history in &book.histories {
        let ran = runs.contains_key(&history.action);
        let answered = history.outcomes.iter().any(|o| matches!(o, Outcome::Answered));
        let all_not_run = history
            .outcomes
            .iter()
            .all(|o| matches!(o, Outcome::Refused(what) if what.ends_with("ran=no")));
        if all_not_run && ran || answered && !ran {
            book.summary.contradictions.push(format!("{}: {:?}", history.action, history.outcomes));
        }
    }
}

/// Returns a text with leases of a few seconds, so that takeovers happen within a short run.
///
/// # Panics
/// Panics if the text is not JSON.
pub fn shorten_leases(text: &str) -> String {
    let mut value: serde_json::Value = serde_json::from_str(text).expect("JSON");
    value["limits"]["lease_ms"] = 4_000.into();
    value["limits"]["skew_ms"] = 50.into();
    value.to_string()
}
