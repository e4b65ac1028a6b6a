//! Compares calls through entry and sidecar with direct calls to the same upstream, in one run.
//!
//! Build the programs first with `cargo build --release`.

use std::env;
use std::time;

use bramleyshelf_lib::http;
use bramleyshelf_testutils::{bench, cluster};

const CONFIG: &str = include_str!("../../examples/takbaerer.json");
/// Sequential calls per round and way.
const CALLS: u32 = 1_500;
/// Number of rounds; each measures the direct way and then the path.
const ROUNDS: u32 = 6;
/// Concurrent callers for the measurement of throughput.
const CALLERS: u32 = 32;

/// Makes calls one after the other and returns their latencies in milliseconds.
async fn measure_latencies(
    client: &http::Client,
    call: &cluster::Call,
    address: std::net::SocketAddr,
) -> Vec<f64> {
    let mut latencies = Vec::new();
    for _ in 0..CALLS {
        let start = time::Instant::now();
        let answer = call.send(client, address).await.expect("a response");
        assert_eq!(answer.status, 200);
        latencies.push(start.elapsed().as_secs_f64() * 1_000.0);
    }
    latencies
}

/// Makes calls from several callers and returns the calls per second.
async fn measure_throughput(
    client: &http::Client,
    call: &cluster::Call,
    address: std::net::SocketAddr,
) -> f64 {
    let start = time::Instant::now();
    let mut tasks = tokio::task::JoinSet::new();
    for _ in 0..CALLERS {
        let (client, call) = (client.clone(), call.clone());
        tasks.spawn(async move {
            for _ in 0..CALLS / CALLERS * 4 {
                let answer = client.request(call.to_request(address)).await;
                let status = answer.map(|answer| answer.status().as_u16());
                assert!(matches!(status, Ok(200)), "{} {status:?}", call.path);
            }
        });
    }
    while let Some(ended) = tasks.join_next().await {
        ended.expect("no caller panics");
    }
    f64::from(CALLERS * (CALLS / CALLERS * 4)) / start.elapsed().as_secs_f64()
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    env_logger::init();
    let example = env::current_exe().expect("a running program has a path");
    let programs = example
        .parent()
        .and_then(|examples| examples.parent())
        .expect("examples are in the target directory");
    let program = programs.join("bramleyshelf").to_string_lossy().into_owned();
    let options =
        cluster::Options { entries: 1, upstreams: 1, work_ms: 0, ..cluster::Options::default() };
    let mut config: serde_json::Value = serde_json::from_str(CONFIG).expect("JSON");
    config["services"]["availability"]["concurrency"] = 64.into();
    let system = cluster::Cluster::start(&program, "overhead", &config.to_string(), options).await;
    let client = http::client(true);
    let entry = system.entries[0].address;
    let node = &system.nodes[system.node_index("availability-0")];
    let through =
        cluster::Call::new("/services/availability", "counter", serde_json::json!({ "item": 1 }));
    let direct = cluster::Call { path: "/availability".to_owned(), ..through.clone() };
    let processes = [
        ("entry", system.entries[0].process.as_ref().expect("it is running")),
        ("sidecar", node.sidecar.as_ref().expect("it is running")),
    ];
    let (mut direct_ms, mut path_ms) = (Vec::new(), Vec::new());
    let (mut direct_throughput, mut path_throughput) = (Vec::new(), Vec::new());
    let before: Vec<_> = processes.iter().map(|(_, process)| process.resource_usage().0).collect();
    let mut calls = 0;
    for _ in 0..ROUNDS {
        direct_ms.extend(measure_latencies(&client, &direct, node.upstream.address).await);
        path_ms.extend(measure_latencies(&client, &through, entry).await);
        direct_throughput.push(measure_throughput(&client, &direct, node.upstream.address).await);
        path_throughput.push(measure_throughput(&client, &through, entry).await);
        calls += CALLS + CALLERS * (CALLS / CALLERS * 4);
    }
    println!("| way | p50 ms | p99 ms | calls/s with {CALLERS} callers |");
    println!("|---|---|---|---|");
    for (name, latencies, throughputs) in
        [("direct", &direct_ms, &direct_throughput), ("path", &path_ms, &path_throughput)]
    {
        let (p50, p99) = (bench::percentile(latencies, 0.5), bench::percentile(latencies, 0.99));
        println!("| {name} | {p50:.3} | {p99:.3} | {:.0} |", bench::percentile(throughputs, 0.5));
    }
    let ratio = |share| bench::percentile(&path_ms, share) / bench::percentile(&direct_ms, share);
    let rate =
        bench::percentile(&path_throughput, 0.5) / bench::percentile(&direct_throughput, 0.5);
    println!("| ratio | {:.1} | {:.1} | {rate:.2} |", ratio(0.5), ratio(0.99));
    for ((name, process), before) in processes.iter().zip(before) {
        let (cpu, memory) = process.resource_usage();
        let per_call = cpu.saturating_sub(before).as_secs_f64() / f64::from(calls);
        println!(
            "{name}: {:.0} us of processor time per call, {:.0} calls/s per core, {:.1} MB resident",
            per_call * 1e6,
            1.0 / per_call,
            memory as f64 / 1e6
        );
    }
}
