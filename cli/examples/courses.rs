//! Measures attainment through planned and unplanned events, each beside a calm run of the same
//! traffic: `courses [SEED]`.
//!
//! The programs have to be built: `cargo build --release` first.

use std::env;

use bramleyshelf_testutils::{cluster, soak};

const TEXT: &str = include_str!("../../examples/takbaerer.json");
/// Requests per second.
const RATE: u64 = 60;

const COURSES: [(&str, soak::Scenario, u64); 8] = [
    ("calm", soak::Scenario::NoFaults, 15),
    ("each booking and engine upstream drained in turn", soak::Scenario::RollingDrain, 18),
    ("engine's sidecar killed", soak::Scenario::KillSidecar, 15),
    ("entry killed", soak::Scenario::KillEntry, 15),
    ("key owner killed", soak::Scenario::KillOwner, 25),
    ("store out for 10 s", soak::Scenario::StoreOutage, 18),
    ("store out for 30 s", soak::Scenario::LongStoreOutage, 40),
    ("calm", soak::Scenario::NoFaults, 15),
];

#[tokio::main(flavor = "current_thread")]
async fn main() {
    env_logger::init();
    let seed = env::args().nth(1).map_or(1, |text| text.parse().expect("a seed"));
    let example = env::current_exe().expect("a running program has a path");
    let programs = example.parent().and_then(|examples| examples.parent()).expect("target folder");
    let program = programs.join("bramleyshelf").to_string_lossy().into_owned();
    println!(
        "| course (seed {seed}, {RATE} requests/s) | requests | answered % | keyed requests | keyed answered % | lost with a killed entry | doubles, losses, swaps, lies | refused |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for (name, course, seconds) in COURSES {
        let shape = cluster::Options { entries: 3, ..cluster::Options::default() };
        let mut system = cluster::Cluster::start(&program, "courses", TEXT, shape).await;
        let plan = soak::Plan { seed, seconds, rate: RATE, scenario: course };
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
