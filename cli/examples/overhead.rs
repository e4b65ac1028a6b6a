//! Measures what the path costs beside a direct call to the stand-in, in the same run.
//!
//! The programs have to be built: `cargo build --release` first.

use std::env;
use std::time;

use bramleyshelf_lib::http;
use bramleyshelf_testutils::{bench, cluster};

const TEXT: &str = include_str!("../../examples/takbaerer.json");
/// Calls of one round.
const CALLS: u32 = 1_500;
/// Rounds, each with both ways in turn.
const ROUNDS: u32 = 6;
/// Callers at a time in the rounds that measure throughput.
const CALLERS: u32 = 32;

/// Makes calls one after the other and returns their times in milliseconds.
async fn one_by_one(
    client: &http::Client,
    call: &cluster::Call,
    to: std::net::SocketAddr,
) -> Vec<f64> {
    let mut times = Vec::new();
    for _ in 0..CALLS {
        let start = time::Instant::now();
        let answer = call.send(client, to).await.expect("a response");
        assert_eq!(answer.status, 200);
        times.push(start.elapsed().as_secs_f64() * 1_000.0);
    }
    times
}

/// Makes calls from several callers and returns the calls per second.
async fn together(client: &http::Client, call: &cluster::Call, to: std::net::SocketAddr) -> f64 {
    let start = time::Instant::now();
    let mut tasks = tokio::task::JoinSet::new();
    for _ in 0..CALLERS {
        let (client, call) = (client.clone(), call.clone());
        tasks.spawn(async move {
            for _ in 0..CALLS / CALLERS * 4 {
                let answer = client.request(call.to_request(to)).await;
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
    let programs = example.parent().and_then(|examples| examples.parent()).expect("target folder");
    let program = programs.join("bramleyshelf").to_string_lossy().into_owned();
    let shape =
        cluster::Options { entries: 1, upstreams: 1, work_ms: 0, ..cluster::Options::default() };
    let mut value: serde_json::Value = serde_json::from_str(TEXT).expect("JSON");
    value["services"]["availability"]["concurrency"] = 64.into();
    let system = cluster::Cluster::start(&program, "overhead", &value.to_string(), shape).await;
    let client = http::client(true);
    let entry = system.entries[0].address;
    let node = &system.nodes[system.node_index("availability-0")];
    let through =
        cluster::Call::new("/services/availability", "counter", serde_json::json!({ "item": 1 }));
    let direct = cluster::Call { path: "/availability".to_owned(), ..through.clone() };
    let processes = [
        ("entry", system.entries[0].process.as_ref().expect("it runs")),
        ("sidecar", node.sidecar.as_ref().expect("it runs")),
    ];
    let (mut direct_ms, mut path_ms) = (Vec::new(), Vec::new());
    let (mut direct_rate, mut path_rate) = (Vec::new(), Vec::new());
    let before: Vec<_> = processes.iter().map(|(_, process)| process.resource_usage().0).collect();
    let mut calls = 0;
    for _ in 0..ROUNDS {
        direct_ms.extend(one_by_one(&client, &direct, node.upstream.address).await);
        path_ms.extend(one_by_one(&client, &through, entry).await);
        direct_rate.push(together(&client, &direct, node.upstream.address).await);
        path_rate.push(together(&client, &through, entry).await);
        calls += CALLS + CALLERS * (CALLS / CALLERS * 4);
    }
    println!("| way | p50 ms | p99 ms | calls/s with {CALLERS} callers |");
    println!("|---|---|---|---|");
    for (name, times, rates) in
        [("direct", &direct_ms, &direct_rate), ("path", &path_ms, &path_rate)]
    {
        let (p50, p99) = (bench::percentile(times, 0.5), bench::percentile(times, 0.99));
        println!("| {name} | {p50:.3} | {p99:.3} | {:.0} |", bench::percentile(rates, 0.5));
    }
    let ratio = |share| bench::percentile(&path_ms, share) / bench::percentile(&direct_ms, share);
    let rate = bench::percentile(&path_rate, 0.5) / bench::percentile(&direct_rate, 0.5);
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
