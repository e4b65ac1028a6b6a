//! Short soaks of gateway processes, with and without faults.

use bramleyshelf_platform_testutils::{gateways, soak};

const PROGRAM: &str = env!("CARGO_BIN_EXE_bramleyshelf");

#[tokio::test]
async fn gateway_soak_with_faults_violates_no_guarantee() {
    let mut system = gateways::GatewayCluster::start(PROGRAM, "gateway-soak", 4).await;
    let plan = soak::Plan { seed: 7, seconds: 25, rate: 60, has_faults: true };
    let summary = soak::run(&mut system, plan).await;
    println!("{summary}");
    assert!(summary.violations.is_empty(), "seed {}: {summary}", plan.seed);
    assert!(summary.answers * 2 > summary.requests, "{summary}");
}

#[tokio::test]
async fn gateway_soak_without_faults_answers_everything() {
    let mut system = gateways::GatewayCluster::start(PROGRAM, "gateway-calm", 3).await;
    let plan = soak::Plan { seed: 8, seconds: 5, rate: 60, has_faults: false };
    let summary = soak::run(&mut system, plan).await;
    assert!(summary.violations.is_empty(), "{summary}");
    assert_eq!(summary.answers, summary.requests, "{summary}");
}
