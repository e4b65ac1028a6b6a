//! Measures the resources that an idle fleet uses and the time until a configuration change is in force
//! in all processes: `fleet ENTRIES UPSTREAMS_PER_SERVICE [CHANGES]`.
//!
//! Build the programs first with `cargo build --release`.

use std::collections;
use std::env;
use std::process;
use std::time;

use bramleyshelf_lib::operator;
use bramleyshelf_testutils::{bench, cluster, fault};

const CONFIG: &str = include_str!("../../examples/takbaerer.json");
/// Time over which the idle fleet is measured.
const IDLE_TIME: time::Duration = time::Duration::from_secs(20);
/// Time limit for a change to be in force in all processes.
const CHANGE_LIMIT: time::Duration = time::Duration::from_secs(19);
/// Pause between two changes.
const CHANGE_PAUSE: time::Duration = time::Duration::from_secs(2);

fn argument(position: usize, default: usize) -> usize {
    env::args().nth(position).map_or(default, |text| text.parse().expect("a number"))
}

/// Returns the bytes that each connection of the cluster's processes has sent so far, as `ss` reports
/// them; empty if that program is missing.
fn sent_bytes(system: &cluster::Cluster) -> collections::BTreeMap<String, u64> {
    let output = process::Command::new("ss").args(["-tinp", "state", "established"]).output();
    let text = output.map(|output| output.stdout).unwrap_or_default();
    let text = String::from_utf8_lossy(&text).into_owned();
    let nodes = system.nodes.iter().filter_map(|node| node.sidecar.as_ref());
    let entries = system.entries.iter().filter_map(|entry| entry.process.as_ref());
    let own: Vec<_> = nodes.chain(entries).map(|child| format!("pid={},", child.id())).collect();
    let mut sent = collections::BTreeMap::new();
    let mut connection = String::new();
    for line in text.lines() {
        if line.contains("users:") {
            let is_own = own.iter().any(|id| line.contains(id));
            connection = if is_own { line.to_owned() } else { String::new() };
        } else if let Some((_, rest)) = line.split_once("bytes_sent:")
            && !connection.is_empty()
        {
            let digits = rest.split(' ').next().unwrap_or_default();
            // The first two columns are queue lengths, which change.
            let key = connection.split_whitespace().skip(2).collect::<Vec<_>>().join(" ");
            sent.insert(key, digits.parse().unwrap_or(0));
        }
    }
    sent
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    env_logger::init();
    let (entries, upstreams, changes) = (argument(1, 2), argument(2, 3), argument(3, 5));
    let example = env::current_exe().expect("a running program has a path");
    let programs = example
        .parent()
        .and_then(|examples| examples.parent())
        .expect("examples are in the target directory");
    let program = programs.join("bramleyshelf").to_string_lossy().into_owned();
    let options = cluster::Options { entries, upstreams, ..cluster::Options::default() };
    let system = cluster::Cluster::start(&program, "fleet", CONFIG, options).await;
    tokio::time::sleep(time::Duration::from_secs(8)).await;
    print_idle(&system).await;
    let mut times = Vec::new();
    for change in 0..changes {
        times.extend(measure_change(&system, change).await);
        tokio::time::sleep(CHANGE_PAUSE).await;
    }
    println!(
        "in force after a change, over {} processes and {changes} changes: p50 {:.0} ms, max {:.0} ms",
        system.nodes.len() + entries,
        bench::percentile(&times, 0.5),
        times.iter().copied().fold(0.0, f64::max)
    );
    system.store.faults.set(fault::Faults { outage: true, ..Default::default() });
    print_outage(&system).await;
    println!("revisions that went back: {}", count_regressions(&system));
}

/// Prints processor time, memory, store calls and network traffic of the idle fleet.
async fn print_idle(system: &cluster::Cluster) {
    let nodes: Vec<_> = system.nodes.iter().filter_map(|node| node.sidecar.as_ref()).collect();
    let entries: Vec<_> = system.entries.iter().filter_map(|e| e.process.as_ref()).collect();
    let before: Vec<_> = [&entries, &nodes]
        .map(|group| group.iter().map(|child| child.resource_usage().0).collect::<Vec<_>>())
        .into();
    let calls = system.kv.calls();
    let bytes = sent_bytes(system);
    tokio::time::sleep(IDLE_TIME).await;
    let new = sent_bytes(system);
    let grown = new.iter().map(|(name, now)| now - bytes.get(name).copied().unwrap_or(0));
    let bytes = grown.sum::<u64>() as f64 / IDLE_TIME.as_secs_f64();
    println!(
        "{} entries, {} sidecars, idle for {} s",
        entries.len(),
        nodes.len(),
        IDLE_TIME.as_secs()
    );
    for (name, group, before) in [("entry", &entries, &before[0]), ("sidecar", &nodes, &before[1])]
    {
        let usages: Vec<_> = group.iter().map(|child| child.resource_usage()).collect();
        let shares = usages.iter().zip(before).map(|((cpu, _), before)| {
            100.0 * cpu.saturating_sub(*before).as_secs_f64() / IDLE_TIME.as_secs_f64()
        });
        let shares: Vec<f64> = shares.collect();
        let memory: Vec<f64> = usages.iter().map(|(_, memory)| *memory as f64 / 1e6).collect();
        println!(
            "{name}: processor mean {:.2}% max {:.2}% of a core, resident mean {:.1} max {:.1} MB",
            shares.iter().sum::<f64>() / shares.len() as f64,
            bench::percentile(&shares, 1.0),
            memory.iter().sum::<f64>() / memory.len() as f64,
            bench::percentile(&memory, 1.0)
        );
    }
    for (path, count) in system.kv.calls() {
        let new = count - calls.get(&path).copied().unwrap_or(0);
        println!("store {path}: {:.2} calls/s", new as f64 / IDLE_TIME.as_secs_f64());
    }
    let process_count = (entries.len() + nodes.len()) as f64;
    println!("sent: {bytes:.0} B/s in all, {:.0} B/s by each process", bytes / process_count);
}

/// Changes the configuration and returns, for each process, the milliseconds until the change was in
/// force.
async fn measure_change(system: &cluster::Cluster, change: usize) -> Vec<f64> {
    let mut value: serde_json::Value = serde_json::from_str(CONFIG).expect("JSON");
    value["limits"]["requests"] = (1_000 + change).into();
    let store = system.store_client();
    let nonce = format!("fleet-{change}");
    let revision =
        operator::apply(&store, &value.to_string(), None, &nonce).await.expect("accepted");
    let accepted = time::SystemTime::now().duration_since(time::UNIX_EPOCH).expect("after 1970");
    let logged_event = format!("event=config_in_force revision={revision} ");
    let names: Vec<_> = system
        .nodes
        .iter()
        .map(|node| &node.name)
        .chain(system.entries.iter().map(|entry| &entry.name))
        .collect();
    let time_in_force = |name: &str| {
        let log = system.read_log(name);
        let line = log.lines().rev().find(|line| line.contains(&logged_event))?.to_owned();
        line.strip_prefix("ts=")?.split(' ').next()?.parse::<f64>().ok()
    };
    let all = cluster::wait_until(CHANGE_LIMIT, async || {
        names.iter().all(|name| time_in_force(name).is_some())
    });
    assert!(all.await, "revision {revision} is not in force everywhere after {CHANGE_LIMIT:?}");
    let elapsed_ms = |time: f64| ((time - accepted.as_secs_f64()) * 1_000.0).max(0.0);
    names.iter().filter_map(|name| time_in_force(name).map(elapsed_ms)).collect()
}

/// Prints how many sidecars still answer 10 s into a store outage, and how many calls reached the store.
async fn print_outage(system: &cluster::Cluster) {
    let count = system.entries.len() + system.nodes.len();
    let calls: u64 = system.kv.calls().values().sum();
    tokio::time::sleep(time::Duration::from_secs(10)).await;
    let mut answering = 0;
    for node in &system.nodes {
        answering += u32::from(cluster::get(node.address, "/status").await.is_some());
    }
    let new: u64 = system.kv.calls().values().sum::<u64>() - calls;
    println!(
        "outage of 10 s: {answering} of {} sidecars answer, {new} calls got through, {count} processes",
        system.nodes.len()
    );
}

/// Returns how many times a process put a lower revision in force than before.
fn count_regressions(system: &cluster::Cluster) -> usize {
    let names = system.nodes.iter().map(|node| &node.name);
    let names = names.chain(system.entries.iter().map(|entry| &entry.name));
    names
        .map(|name| {
            let log = system.read_log(name);
            let revisions: Vec<u64> = log
                .lines()
                .filter(|line| line.contains("event=config_in_force"))
                .filter_map(|line| line.split("revision=").nth(1)?.split(' ').next()?.parse().ok())
                .collect();
            revisions.windows(2).filter(|pair| pair[1] < pair[0]).count()
        })
        .sum()
}
