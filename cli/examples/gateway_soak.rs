//! Injects random faults into gateway processes under traffic:
//! `gateway_soak [SEED] [SECONDS] [RATE] [COUNT]`.
//!
//! Prints the numbers of requests, answers, faults and violated guarantees, and fails if a guarantee
//! was violated. Build the programs first with `cargo build --release`.

use std::env;
use std::process;

use bramleyshelf_platform_testutils::{gateways, soak};

const DEFAULT_SECONDS: u64 = 60;
/// Requests per second.
const DEFAULT_RATE: u64 = 100;
/// Number of gateways.
const DEFAULT_COUNT: u64 = 4;

fn argument(position: usize, default: u64) -> u64 {
    env::args().nth(position).map_or(default, |text| text.parse().expect("a number"))
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> process::ExitCode {
    let plan = soak::Plan {
        seed: argument(1, 1),
        seconds: argument(2, DEFAULT_SECONDS),
        rate: argument(3, DEFAULT_RATE),
        has_faults: true,
    };
    let example = env::current_exe().expect("a running program has a path");
    let programs = example
        .parent()
        .and_then(|examples| examples.parent())
        .expect("examples are in the target directory");
    let program = programs.join("bramleyshelf");
    let count = argument(4, DEFAULT_COUNT) as usize;
    let name = format!("gateway-soak-{}", plan.seed);
    let mut system =
        gateways::GatewayCluster::start(&program.to_string_lossy(), &name, count).await;
    println!("seed {} seconds {} rate {}", plan.seed, plan.seconds, plan.rate);
    let summary = soak::run(&mut system, plan).await;
    print!("{summary}");
    if summary.violations.is_empty() {
        return process::ExitCode::SUCCESS;
    }
    system.keep_logs();
    println!("logs are kept in {}", system.directory.display());
    process::ExitCode::FAILURE
}
