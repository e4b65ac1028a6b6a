//! Injects random faults into a cluster of processes under traffic: `soak [SEED] [SECONDS] [RATE]`.
//!
//! Prints requests, answers, refusals by kind, duplicate runs, lost requests, wrong answers and
//! contradictions, and fails unless the last four are zero. Build the programs first with
//! `cargo build --release`.

use std::env;
use std::process;

use bramleyshelf_testutils::{cluster, soak};

const CONFIG: &str = include_str!("../../examples/takbaerer.json");
const DEFAULT_SECONDS: u64 = 60;
/// Requests per second.
const DEFAULT_RATE: u64 = 100;

fn argument(position: usize, default: u64) -> u64 {
    env::args().nth(position).map_or(default, |text| text.parse().expect("a number"))
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> process::ExitCode {
    env_logger::init();
    let plan = soak::Plan {
        seed: argument(1, 1),
        seconds: argument(2, DEFAULT_SECONDS),
        rate: argument(3, DEFAULT_RATE),
        scenario: soak::Scenario::RandomFaults,
    };
    let example = env::current_exe().expect("a running program has a path");
    let programs = example
        .parent()
        .and_then(|examples| examples.parent())
        .expect("examples are in the target directory");
    let program = programs.join("bramleyshelf");
    let options = cluster::Options { entries: 3, ..cluster::Options::default() };
    let config = soak::shorten_leases(CONFIG);
    let program = program.to_string_lossy();
    let mut system = cluster::Cluster::start(&program, "soak", &config, options).await;
    println!("seed {} seconds {} rate {}", plan.seed, plan.seconds, plan.rate);
    let summary = soak::run(&mut system, plan).await;
    print!("{summary}");
    if summary.is_clean() {
        return process::ExitCode::SUCCESS;
    }
    println!("logs are kept in {}", system.directory.display());
    std::mem::forget(system);
    process::ExitCode::FAILURE
}
