//! Measures how many requests are answered during planned and unplanned events, and without any, with
//! the same traffic: `courses [SEED]`.
//!
//! Build the programs first with `cargo build --release`.

use std::env;

use bramleyshelf_testutils::{cluster, soak};

const CONFIG: &str = include_str!("../../examples/takbaerer.json");
/// Requests per second.
const RATE: u64 = 60;

/// Label, events and duration in seconds of each run.
const SCENARIOS: [(&str, soak::Scenario, u64); 8] = [
    ("no faults", soak::Scenario::NoFaults, 15),
    ("each booking and engine upstream drained in turn", soak::Scenario::RollingDrain, 18),
    ("sidecar of an engine killed", soak::Scenario::KillSidecar, 15),
    ("entry killed", soak::Scenario::KillEntry, 15),
    ("key owner killed", soak::Scenario::KillOwner, 25),
    ("store outage of 10 s", soak::Scenario::StoreOutage, 18),
    ("store outage of 30 s", soak::Scenario::LongStoreOutage, 40),
    ("no faults", soak::Scenario::NoFaults, 15),
];

#[tokio::main(flavor = "current_thread")]
async fn main() {
    env_logger::init();
    let seed = env::args().nth(1).map_or(1, |text| text.parse().expect("a seed"));
    let example = env::current_exe().expect("a running program has a path");
    let programs = example
        .parent()
        .and_then(|examples| examples.parent())
        .expect("examples are in the target directory");
    let program = programs.join("bramleyshelf").to_string_lossy().into_owned();
    println!(
        "| scenario (seed {seed}, {RATE} requests/s) | requests | answered % | keyed requests | keyed answered % | lost with a killed entry | duplicate runs, lost requests, wrong answers, contradictions | refused |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for (name, scenario, seconds) in SCENARIOS {
        let options = cluster::Options { entries: 3, ..cluster::Options::default() };
        let mut system = cluster::Cluster::start(&program, "courses", CONFIG, options).await;
        let plan = soak::Plan { seed, seconds, rate: RATE, scenario };
        let summary = soak::run(&mut system, plan).await;
        print_row(name, &summary);
    }
}

fn print_row(name: &str, summary: &soak::Summary) {
    let share = |part: u64, all: u64| 100.0 * part as f64 / all.max(1) as f64;
    let refused: Vec<_> =
        summary.refusals.iter().map(|(kind, count)| format!("{kind}: {count}")).collect();
    println!(
        "| {name} | {} | {:.2} | {} | {:.2} | {} | {}, {}, {}, {} | {} |",
        summary.requests,
        share(summary.answers, summary.requests),
        summary.keyed_requests,
        share(summary.keyed_answers, summary.keyed_requests),
        summary.killed_requests,
        summary.duplicates.len(),
        summary.lost_requests.len(),
        summary.wrong_answers.len(),
        summary.contradictions.len(),
        refused.join("; ")
    );
}
