//! Open-loop load on the shape of a deployment, with a fixed course of disturbances.

use std::collections;
use std::sync;
use std::time;

use bramleyshelf_lib::{http, operator};
use http_body_util::BodyExt as _;

use crate::cluster;
use crate::fault;
use crate::link;

/// Length of a run.
const LENGTH: time::Duration = time::Duration::from_secs(24);
/// Deadline of every request.
const DEADLINE: time::Duration = time::Duration::from_millis(1_500);
/// Topics of which callers ask; each has a prompt prefix of its own.
const TOPICS: u64 = 40;

/// Load of one team.
#[derive(Clone, Debug)]
pub struct TeamLoad {
    /// Name of the team.
    pub name: &'static str,
    /// Requests per second.
    pub rate: f64,
    /// Whether the team bursts.
    pub has_bursts: bool,
}

/// One deployment under load.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Name of the deployment.
    pub name: &'static str,
    /// The operators' text.
    pub text: String,
    /// Pipeline that callers use.
    pub pipeline: &'static str,
    /// Service that is asked without side effects.
    pub lookup_service: &'static str,
    /// Model engines.
    pub engines: usize,
    /// Teams.
    pub teams: Vec<TeamLoad>,
}

/// What a run showed.
#[derive(Clone, Debug, Default)]
pub struct Measurements {
    /// Requests sent, by team.
    pub sent: collections::BTreeMap<&'static str, u64>,
    /// Whole answers within the deadline, by team.
    pub on_time: collections::BTreeMap<&'static str, u64>,
    /// Refusals as not run.
    pub not_run: u64,
    /// Latencies of answers in milliseconds.
    pub latencies: Vec<f64>,
    /// Times to the first byte of a stream in milliseconds.
    pub first_byte: Vec<f64>,
    /// Times between two pieces of a stream in milliseconds.
    pub chunk_gaps: Vec<f64>,
    /// Calls that reached engines, beyond one for each answered request with a generation.
    pub wasted_runs: i64,
    /// Bytes that crossed between the regions.
    pub remote_bytes: u64,
    /// Bytes that crossed between the regions by service, as the entries counted them.
    pub service_bytes: collections::BTreeMap<String, u64>,
    /// Prompts whose prefix an engine had not seen lately would show here as time.
    pub generated: u64,
}

impl Measurements {
    /// Returns the share of requests answered whole and in time, in percent.
    pub fn attainment(&self) -> f64 {
        let sum = |counts: &collections::BTreeMap<_, u64>| counts.values().sum::<u64>() as f64;
        100.0 * sum(&self.on_time) / sum(&self.sent).max(1.0)
    }

    /// Returns a team's attainment in percent.
    pub fn attainment_of(&self, team: &str) -> f64 {
        let of = |counts: &collections::BTreeMap<&'static str, u64>| {
            counts.get(team).copied().unwrap_or(0) as f64
        };
        100.0 * of(&self.on_time) / of(&self.sent).max(1.0)
    }
}

/// Returns the value below which the share of the samples lies.
pub fn percentile(samples: &[f64], share: f64) -> f64 {
    let mut sorted = samples.to_vec();
    sorted.sort_by(f64::total_cmp);
    let index = (sorted.len() as f64 * share) as usize;
    sorted.get(index.min(sorted.len().saturating_sub(1))).copied().unwrap_or(0.0)
}

type Shared = sync::Arc<sync::Mutex<Measurements>>;

/// Runs a deployment with a seed.
///
/// # Panics
/// Panics if the system does not start.
pub async fn run(program: &str, deployment: &Deployment, text: &str, seed: u64) -> Measurements {
    let link = link::Link::new(time::Duration::from_millis(10), 30_000_000.0 / 8.0);
    let shape = cluster::Options {
        entries: 4,
        upstreams: 4,
        work_ms: 4,
        slots: 4,
        engines: Some(deployment.engines),
        prefill_ms: 60,
        link: Some(link.clone()),
    };
    let system = cluster::Cluster::start(program, deployment.name, text, shape).await;
    let figures = Shared::default();
    let before = engine_runs(&system);
    let carried = link.carried_bytes();
    let load = tokio::spawn(load(
        system.entries.iter().map(|entry| entry.address).collect(),
        deployment.clone(),
        seed,
        figures.clone(),
    ));
    disturb(&system, &link).await;
    load.await.expect("the load does not panic");
    let mut figures = std::mem::take(&mut *figures.lock().expect("no holder panics"));
    figures.wasted_runs =
        (engine_runs(&system) - before).cast_signed() - figures.generated.cast_signed();
    figures.remote_bytes = link.carried_bytes() - carried;
    for service in ["encoder", "retriever", "reranker", "generator"] {
        let label = format!("service=\"{service}\"");
        let bytes = system.sum_metric("stage_bytes{", &[&label, "tier=\"remote\""]).await;
        figures.service_bytes.insert(service.to_owned(), bytes as u64);
    }
    figures
}

fn engine_runs(system: &cluster::Cluster) -> u64 {
    let runs = system.nodes.iter().map(|node| match &node.stand_in {
        cluster::StandIn::Engine(engine) => engine.request_count(),
        _ => 0,
    });
    runs.sum()
}

async fn at(start: time::Instant, seconds: f64) {
    let due = time::Duration::from_secs_f64(seconds);
    tokio::time::sleep(due.saturating_sub(start.elapsed())).await;
}

/// A slow engine, one that fails at once, a drain, a burst (by the load itself) and a cut link.
async fn disturb(system: &cluster::Cluster, link: &link::Link) {
    let start = time::Instant::now();
    let set = |name: &str, faults: fault::Faults| {
        system.nodes[system.node_index(name)].upstream.faults.set(faults);
    };
    at(start, 4.0).await;
    set("generator-0", fault::Faults { delay_ms: 500, ..Default::default() });
    at(start, 8.0).await;
    set("generator-0", fault::Faults::default());
    set("generator-1", fault::Faults { status: 503, ..Default::default() });
    at(start, 12.0).await;
    set("generator-1", fault::Faults::default());
    let store = system.store_client();
    let instance = "generator-3".parse().expect("valid");
    let drained = operator::set_draining(&store, &instance, true, false, "drain").await;
    assert!(drained.is_ok(), "{drained:?}");
    at(start, 15.0).await;
    let back = operator::set_draining(&store, &instance, false, false, "undrain").await;
    assert!(back.is_ok(), "{back:?}");
    at(start, 20.0).await;
    link.set_cut(true);
    at(start, 21.5).await;
    link.set_cut(false);
    at(start, LENGTH.as_secs_f64()).await;
}

/// Sends requests at random times with the given rates until the run is over.
async fn load(
    entries: Vec<std::net::SocketAddr>,
    deployment: Deployment,
    seed: u64,
    figures: Shared,
) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let start = time::Instant::now();
    let client = http::client(true);
    let mut tasks = tokio::task::JoinSet::new();
    let mut due: Vec<f64> = deployment.teams.iter().map(|_| 0.0).collect();
    let mut number = 0_u64;
    loop {
        let next = due.iter().enumerate().min_by(|a, b| a.1.total_cmp(b.1));
        let (index, &moment) = next.expect("there are teams");
        if moment >= LENGTH.as_secs_f64() {
            break;
        }
        at(start, moment).await;
        let team = &deployment.teams[index];
        let is_burst = team.has_bursts && (15.0..18.0).contains(&moment);
        let rate = if is_burst { team.rate * 4.0 } else { team.rate };
        due[index] = moment - (1.0 - rng.f64()).ln() / rate;
        number += 1;
        let kind = rng.u8(..100);
        let topic = rng.u64(..TOPICS).min(rng.u64(..TOPICS));
        let call = make_call(&deployment, team.name, number, kind, topic);
        let entry = entries[rng.usize(..entries.len())];
        tasks.spawn(send(client.clone(), entry, call, kind, team.name, figures.clone()));
    }
    while tasks.join_next().await.is_some() {}
}

fn make_call(
    deployment: &Deployment,
    team: &str,
    number: u64,
    kind: u8,
    topic: u64,
) -> cluster::Call {
    let prefix = format!("You help with topic {topic}. ").repeat(8);
    let call = match kind {
        0..=39 => {
            let body = serde_json::json!({ "question": format!("{prefix} question {number}") });
            cluster::Call::new(&format!("/pipelines/{}", deployment.pipeline), team, body)
        }
        40..=69 => {
            let messages =
                serde_json::json!([{ "role": "user", "content": format!("{prefix} {number}") }]);
            let body =
                serde_json::json!({ "messages": messages, "max_tokens": 24, "stream": true });
            cluster::Call::new("/v1/chat/completions", team, body)
        }
        70..=89 => {
            let body = serde_json::json!({ "item": number });
            cluster::Call::new(&format!("/services/{}", deployment.lookup_service), team, body)
        }
        _ => {
            let body = serde_json::json!({ "action": format!("b-{number}") });
            cluster::Call::new("/services/bookings", team, body).with_key(&cluster::new_key())
        }
    };
    call.with_deadline(DEADLINE.as_millis() as u64)
}

async fn send(
    client: http::Client,
    entry: std::net::SocketAddr,
    call: cluster::Call,
    kind: u8,
    team: &'static str,
    figures: Shared,
) {
    let start = time::Instant::now();
    let limit = DEADLINE + time::Duration::from_secs(1);
    let outcome = http::with_timeout(limit, read(&client, entry, &call)).await.flatten();
    let took = start.elapsed();
    let millis = |span: time::Duration| span.as_secs_f64() * 1_000.0;
    let mut figures = figures.lock().expect("no holder panics");
    *figures.sent.entry(team).or_default() += 1;
    let Some(outcome) = outcome else { return };
    if outcome.status == 200 && outcome.whole {
        if kind < 70 {
            figures.generated += 1;
        }
        figures.latencies.push(millis(took));
        if (40..70).contains(&kind) {
            figures.first_byte.extend(outcome.moments.first().map(|first| millis(*first - start)));
            figures
                .chunk_gaps
                .extend(outcome.moments.windows(2).map(|pair| millis(pair[1] - pair[0])));
        }
        if took <= DEADLINE {
            *figures.on_time.entry(team).or_default() += 1;
        }
    } else if outcome.is_not_run {
        figures.not_run += 1;
    }
}

struct Outcome {
    status: u16,
    whole: bool,
    is_not_run: bool,
    moments: Vec<time::Instant>,
}

/// Makes a call and notes when each piece of the answer arrived.
async fn read(
    client: &http::Client,
    entry: std::net::SocketAddr,
    call: &cluster::Call,
) -> Option<Outcome> {
    let mut body = client.request(call.to_request(entry)).await.ok()?;
    let status = body.status().as_u16();
    let (mut whole, mut moments, mut bytes) = (true, Vec::new(), Vec::new());
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            whole = false;
            break;
        };
        if let Ok(data) = frame.into_data() {
            moments.push(time::Instant::now());
            bytes.extend_from_slice(&data);
        }
    }
    let is_not_run = String::from_utf8_lossy(&bytes).contains("\"ran\":\"no\"");
    Some(Outcome { status, whole, is_not_run, moments })
}
