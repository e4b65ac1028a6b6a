//! Mixes faults under traffic against real processes: `soak [SEED] [SECONDS] [RATE]`.
//!
//! Prints requests, answers, refusals by kind, doubles, losses, swaps and lies, and fails unless the
//! last four are zero. The programs have to be built: `cargo build --release` first.

use std::env;
use std::process;

use bramleyshelf_testutils::{cluster, soak};

const TEXT: &str = include_str!("../../examples/takbaerer.json");
const DEFAULT_SECONDS: u64 = 60;
const DEFAULT_RATE: u64 = 100;

fn argument(position: usize, fallback: u64) -> u64 {
    env::args().nth(position).map_or(fallback, |text| text.parse().expect("a number"))
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
    let programs = example.parent().and_then(|examples| examples.parent()).expect("target folder");
    let program = programs.join("bramleyshelf");
    let shape = cluster::Options { entries: 3, ..cluster::Options::default() };
    let text = soak::shorten_leases(TEXT);
    let program = program.to_string_lossy();
    let mut system = cluster::Cluster::start(&program, "soak", &text, shape).await;
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
