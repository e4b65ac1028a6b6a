//! Short soaks of a cluster of processes, with random faults and without faults.

use bramleyshelf_testutils::{cluster, soak};

const PROGRAM: &str = env!("CARGO_BIN_EXE_bramleyshelf");
const CONFIG: &str = include_str!("../../examples/takbaerer.json");

#[tokio::test]
async fn soak_with_faults_violates_no_guarantee() {
    let options = cluster::Options { entries: 3, ..cluster::Options::default() };
    let config = soak::shorten_leases(CONFIG);
    let mut system = cluster::Cluster::start(PROGRAM, "soak", &config, options).await;
    let plan =
        soak::Plan { seed: 7, seconds: 20, rate: 40, scenario: soak::Scenario::RandomFaults };
    let summary = soak::run(&mut system, plan).await;
    println!("{summary}");
    assert!(summary.is_clean(), "seed {}: {summary}", plan.seed);
    assert!(summary.answers * 2 > summary.requests, "{summary}");
}

#[tokio::test]
async fn soak_without_faults_answers_everything() {
    let config = soak::shorten_leases(CONFIG);
    let options = cluster::Options::default();
    let mut system = cluster::Cluster::start(PROGRAM, "no-faults", &config, options).await;
    let plan = soak::Plan { seed: 8, seconds: 5, rate: 60, scenario: soak::Scenario::NoFaults };
    let summary = soak::run(&mut system, plan).await;
    assert!(summary.is_clean(), "{summary}");
    assert_eq!(summary.answers, summary.requests, "{summary}");
}
