//! A short soak: every kind of fault may strike while callers send requests.

use bramleyshelf_testutils::{cluster, soak};

const PROGRAM: &str = env!("CARGO_BIN_EXE_bramleyshelf");
const TEXT: &str = include_str!("../../examples/takbaerer.json");

#[tokio::test]
async fn soak_keeps_every_promise() {
    let shape = cluster::Options { entries: 3, ..cluster::Options::default() };
    let text = soak::short_lease(TEXT);
    let mut system = cluster::Cluster::start(PROGRAM, "soak", &text, shape).await;
    let plan = soak::Plan { seed: 7, seconds: 20, rate: 40, course: soak::Course::Mixed };
    let summary = soak::run(&mut system, plan).await;
    println!("{summary}");
    assert!(summary.is_clean(), "seed {}: {summary}", plan.seed);
    assert!(summary.answers * 2 > summary.requests, "{summary}");
}

#[tokio::test]
async fn soak_without_faults_answers_everything() {
    let text = soak::short_lease(TEXT);
    let shape = cluster::Options::default();
    let mut system = cluster::Cluster::start(PROGRAM, "calm", &text, shape).await;
    let plan = soak::Plan { seed: 8, seconds: 5, rate: 60, course: soak::Course::Calm };
    let summary = soak::run(&mut system, plan).await;
    assert!(summary.is_clean(), "{summary}");
    assert_eq!(summary.answers, summary.requests, "{summary}");
}
