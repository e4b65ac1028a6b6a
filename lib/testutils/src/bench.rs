//! Benchmark: open-loop load on a deployment, with a fixed schedule of faults.

use std::collections;
use std::sync;
use std::time;

use bramleyshelf_lib::{http, operator};
use http_body_util::BodyExt as _;

use crate::cluster;
use crate::fault;
use crate::link;

/// Length of a run.
const RUN_LENGTH: time::Duration = time::Duration::from_secs(24);
/// Deadline of every request.
const DEADLINE: time::Duration = time::Duration::from_millis(1_500);
/// Number of topics in callers' prompts; prompts of one topic share a prefix.
const TOPIC_COUNT: u64 = 40;

/// Load that one team generates.
#[derive(Clone, Debug)]
pub struct TeamLoad {
    /// Name of the team.
    pub name: &'static str,
    /// Mean number of requests per second.
    pub rate: f64,
    /// Whether the team sends four times the rate from second 15 to 18 of the run.
    pub has_bursts: bool,
}

/// A deployment under load.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Name of the deployment; part of the name of its directory.
    pub name: &'static str,
    /// Configuration text.
    pub text: String,
    /// Name of the pipeline that callers use.
    pub pipeline: &'static str,
    /// Name of the service that callers use for calls without side effects.
    pub lookup_service: &'static str,
    /// Number of model engines.
    pub engines: usize,
    /// Teams that send requests.
    pub teams: Vec<TeamLoad>,
}

/// Measurements of a run.
#[derive(Clone, Debug, Default)]
pub struct Measurements {
    /// Number of requests sent, by team.
    pub sent: collections::BTreeMap<&'static str, u64>,
    /// Number of complete answers within the deadline, by team.
    pub on_time: collections::BTreeMap<&'static str, u64>,
    /// Number of refusals with `ran=no`.
    pub not_run: u64,
    /// Latencies of complete answers in milliseconds.
    pub latencies: Vec<f64>,
    /// Times to the first byte of each complete stream in milliseconds.
    pub first_byte: Vec<f64>,
    /// Times between consecutive chunks of streams in milliseconds.
    pub chunk_gaps: Vec<f64>,
    /// Number of calls that reached engines, minus the number of answered requests with a
    /// generation.
    pub wasted_runs: i64,
    /// Number of bytes carried between the regions.
    pub remote_bytes: u64,
    /// Number of bytes sent between the regions by service, according to the entries' metrics.
    pub service_bytes: collections::BTreeMap<String, u64>,
    /// Number of complete answers to requests with a generation.
    pub generated: u64,
}

impl Measurements {
    /// Returns the percentage of requests that were answered completely within the deadline.
    pub fn attainment(&self) -> f64 {
        let sum = |counts: &collections::BTreeMap<_, u64>| counts.values().sum::<u64>() as f64;
        100.0 * sum(&self.on_time) / sum(&self.sent).max(1.0)
    }

    /// Returns the percentage of one team's requests that were answered completely within the
    /// deadline.
    pub fn attainment_of(&self, team: &str) -> f64 {
        let count = |counts: &collections::BTreeMap<&'static str, u64>| {
            counts.get(team).copied().unwrap_or(0) as f64
        };
        100.0 * count(&self.on_time) / count(&self.sent).max(1.0)
    }
}

/// Returns the value below which a share of the samples lies; `share` is from 0 to 1. Returns 0 if
/// there are no samples.
pub fn percentile(samples: &[f64], share: f64) -> f64 {
    let mut sorted = samples.to_vec();
    sorted.sort_by(f64::total_cmp);
    let index = (sorted.len() as f64 * share) as usize;
    sorted.get(index.min(sorted.len().saturating_sub(1))).copied().unwrap_or(0.0)
}

type SharedMeasurements = sync::Arc<sync::Mutex<Measurements>>;

/// Starts a deployment, runs the load and the faults against it, and returns the measurements.
///
/// `program` is the path of the `bramleyshelf` program. `text` is used instead of the deployment's
/// own configuration text, of which it may be a variant. `seed` determines the load.
///
/// # Panics
/// Panics if the system does not start.
pub async fn run(program: &str, deployment: &Deployment, text: &str, seed: u64) -> Measurements {
    let link = link::Link::new(time::Duration::from_millis(10), 30_000_000.0 / 8.0);
    let options = cluster::Options {
        entries: 4,
        upstreams: 4,
        work_ms: 4,
        slots: 4,
        engines: Some(deployment.engines),
        prefill_ms: 60,
        link: Some(link.clone()),
        capacity: None,
    };
    let system = cluster::Cluster::start(program, deployment.name, text, options).await;
    let measurements = SharedMeasurements::default();
    let runs_before = engine_runs(&system);
    let bytes_before = link.carried_bytes();
    let load = tokio::spawn(send_load(
        system.entries.iter().map(|entry| entry.address).collect(),
        deployment.clone(),
        seed,
        measurements.clone(),
    ));
    inject_faults(&system, &link).await;
    load.await.expect("the load does not panic");
    let mut measurements = std::mem::take(&mut *measurements.lock().expect("no holder panics"));
    measurements.wasted_runs =
        (engine_runs(&system) - runs_before).cast_signed() - measurements.generated.cast_signed();
    measurements.remote_bytes = link.carried_bytes() - bytes_before;
    for service in ["encoder", "retriever", "reranker", "generator"] {
        let label = format!("service=\"{service}\"");
        let bytes = system.sum_metric("stage_bytes{", &[&label, "tier=\"remote\""]).await;
        measurements.service_bytes.insert(service.to_owned(), bytes as u64);
    }
    measurements
}

/// Returns the number of generation requests that all engines have received.
fn engine_runs(system: &cluster::Cluster) -> u64 {
    let runs = system.nodes.iter().map(|node| match &node.stand_in {
        cluster::StandIn::Engine(engine) => engine.request_count(),
        _ => 0,
    });
    runs.sum()
}

/// Sleeps until a number of seconds after `start`.
async fn sleep_until(start: time::Instant, seconds: f64) {
    let due = time::Duration::from_secs_f64(seconds);
    tokio::time::sleep(due.saturating_sub(start.elapsed())).await;
}

/// Injects the faults: a slow engine, an engine that fails at once, a drain and a cut link. The
/// load adds a burst from second 15 to 18.
async fn inject_faults(system: &cluster::Cluster, link: &link::Link) {
    let start = time::Instant::now();
    let set_faults = |name: &str, faults: fault::Faults| {
        system.nodes[system.node_index(name)].upstream.faults.set(faults);
    };
    sleep_until(start, 4.0).await;
    set_faults("generator-0", fault::Faults { delay_ms: 500, ..Default::default() });
    sleep_until(start, 8.0).await;
    set_faults("generator-0", fault::Faults::default());
    set_faults("generator-1", fault::Faults { status: 503, ..Default::default() });
    sleep_until(start, 12.0).await;
    set_faults("generator-1", fault::Faults::default());
    let store = system.store_client();
    let instance = "generator-3".parse().expect("valid");
    let drained = operator::set_draining(&store, &instance, true, false, "drain").await;
    assert!(drained.is_ok(), "{drained:?}");
    sleep_until(start, 15.0).await;
    let undrained = operator::set_draining(&store, &instance, false, false, "undrain").await;
    assert!(undrained.is_ok(), "{undrained:?}");
    sleep_until(start, 20.0).await;
    link.set_cut(true);
    sleep_until(start, 21.5).await;
    link.set_cut(false);
    sleep_until(start, RUN_LENGTH.as_secs_f64()).await;
}

/// Sends requests of each team as a Poisson process until the end of the run, without waiting for
/// answers.
async fn send_load(
    entries: Vec<std::net::SocketAddr>,
    deployment: Deployment,
    seed: u64,
    measurements: SharedMeasurements,
) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let start = time::Instant::now();
    let client = http::client(true);
    let mut tasks = tokio::task::JoinSet::new();
    // Time at which each team sends its next request, in seconds since the start.
    let mut due: Vec<f64> = deployment.teams.iter().map(|_| 0.0).collect();
    let mut number = 0_u64;
    loop {
        let next = due.iter().enumerate().min_by(|a, b| a.1.total_cmp(b.1));
        let (index, &due_at) = next.expect("there are teams");
        if due_at >= RUN_LENGTH.as_secs_f64() {
            break;
        }
        sleep_until(start, due_at).await;
        let team = &deployment.teams[index];
        let is_burst = team.has_bursts && (15.0..18.0).contains(&due_at);
        let rate = if is_burst { team.rate * 4.0 } else { team.rate };
        due[index] = due_at - (1.0 - rng.f64()).ln() / rate;
        number += 1;
        let kind = rng.u8(..100);
        // The lower of two draws, so that some topics are more frequent than others.
        let topic = rng.u64(..TOPIC_COUNT).min(rng.u64(..TOPIC_COUNT));
        let call = make_call(&deployment, team.name, number, kind, topic);
        let entry = entries[rng.usize(..entries.len())];
        tasks.spawn(send(client.clone(), entry, call, kind, team.name, measurements.clone()));
    }
    while tasks.join_next().await.is_some() {}
}

/// Makes a call: `kind`, from 0 to 99, selects the pipeline (40 %), a chat stream (30 %), a lookup
/// (20 %) or a booking (10 %).
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

/// Sends a call and adds its outcome to the measurements; `kind` is that of [`make_call`].
async fn send(
    client: http::Client,
    entry: std::net::SocketAddr,
    call: cluster::Call,
    kind: u8,
    team: &'static str,
    measurements: SharedMeasurements,
) {
    let start = time::Instant::now();
    let limit = DEADLINE + time::Duration::from_secs(1);
    let received = http::with_timeout(limit, read_response(&client, entry, &call)).await.flatten();
    let took = start.elapsed();
    let millis = |span: time::Duration| span.as_secs_f64() * 1_000.0;
    let mut measurements = measurements.lock().expect("no holder panics");
    *measurements.sent.entry(team).or_default() += 1;
    let Some(received) = received else { return };
    if received.status == 200 && received.is_complete {
        // The pipeline and chat streams have a generation.
        if kind < 70 {
            measurements.generated += 1;
        }
        measurements.latencies.push(millis(took));
        if (40..70).contains(&kind) {
            measurements
                .first_byte
                .extend(received.chunk_times.first().map(|first| millis(*first - start)));
            measurements
                .chunk_gaps
                .extend(received.chunk_times.windows(2).map(|pair| millis(pair[1] - pair[0])));
        }
        if took <= DEADLINE {
            *measurements.on_time.entry(team).or_default() += 1;
        }
    } else if received.is_not_run {
        measurements.not_run += 1;
    }
}

/// Response to a call.
struct Received {
    status: u16,
    /// Whether the body ended without a broken connection.
    is_complete: bool,
    /// Whether it is a refusal with `ran=no`.
    is_not_run: bool,
    chunk_times: Vec<time::Instant>,
}

/// Sends a call and records the time at which each chunk of the response arrived.
async fn read_response(
    client: &http::Client,
    entry: std::net::SocketAddr,
    call: &cluster::Call,
) -> Option<Received> {
    let mut body = client.request(call.to_request(entry)).await.ok()?;
    let status = body.status().as_u16();
    let (mut is_complete, mut chunk_times, mut bytes) = (true, Vec::new(), Vec::new());
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            is_complete = false;
            break;
        };
        if let Ok(data) = frame.into_data() {
            chunk_times.push(time::Instant::now());
            bytes.extend_from_slice(&data);
        }
    }
    let is_not_run = String::from_utf8_lossy(&bytes).contains("\"ran\":\"no\"");
    Some(Received { status, is_complete, is_not_run, chunk_times })
}
