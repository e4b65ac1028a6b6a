//! Compares routing policies on the topologies of both example deployments:
//! `policy [SEED] [VARIANTS]`.
//!
//! Each policy gets the same arrivals and the same sequence of disturbances: a slow engine, an engine
//! that fails every request immediately, a drain, a burst from a large team and a cut link. Build the
//! programs first with `cargo build --release`.

use std::env;

use bramleyshelf_testutils::bench;

const TAKBAERER: &str = include_str!("../../examples/takbaerer.json");
const PADDOCK_LANE: &str = include_str!("../../examples/paddock-lane.json");

/// Name of each variant, and its changes to the policy section of the configuration.
const VARIANTS: [(&str, &[(&str, &str)]); 6] = [
    ("adaptive", &[]),
    ("random", &[("balance", "\"random\"")]),
    ("round robin", &[("balance", "\"round_robin\"")]),
    ("least outstanding", &[("balance", "\"least_outstanding\"")]),
    ("adaptive, no prefix", &[("prefix_bytes", "0")]),
    ("adaptive, no ejection", &[("eject_share", "0")]),
];

fn team(name: &'static str, rate: f64, has_bursts: bool) -> bench::TeamLoad {
    bench::TeamLoad { name, rate, has_bursts }
}

fn deployments() -> [bench::Deployment; 2] {
    [
        bench::Deployment {
            name: "takbaerer",
            text: TAKBAERER.to_owned(),
            pipeline: "fitting-guide",
            lookup_service: "availability",
            engines: 12,
            teams: vec![
                team("cooperative", 120.0, true),
                team("counter", 60.0, false),
                team("families", 40.0, false),
                team("workshop", 10.0, false),
                team("claims", 10.0, false),
            ],
        },
        bench::Deployment {
            name: "paddock-lane",
            text: PADDOCK_LANE.to_owned(),
            pipeline: "fleet-summary",
            lookup_service: "fleet",
            engines: 10,
            teams: vec![
                team("members", 100.0, true),
                team("pro-shop", 50.0, false),
                team("marshals", 40.0, false),
                team("mechanics", 10.0, false),
                team("office", 10.0, false),
            ],
        },
    ]
}

/// Returns the configuration with a changed policy section.
fn with_policy(config: &str, changes: &[(&str, &str)]) -> String {
    let mut value: serde_json::Value = serde_json::from_str(config).expect("JSON");
    for (field, setting) in changes {
        value["policy"][*field] = serde_json::from_str(setting).expect("JSON");
    }
    // The teams' rate limits would hide the differences between the policies during the burst.
    for team in value["teams"].as_object_mut().expect("teams").values_mut() {
        team.as_object_mut().expect("a team").remove("rate");
    }
    value["services"]["generator"]["concurrency"] = 4.into();
    value.to_string()
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    env_logger::init();
    let seed = env::args().nth(1).map_or(1, |text| text.parse().expect("a seed"));
    let count = env::args().nth(2).map_or(VARIANTS.len(), |text| text.parse().expect("a number"));
    let example = env::current_exe().expect("a running program has a path");
    let programs = example
        .parent()
        .and_then(|examples| examples.parent())
        .expect("examples are in the target directory");
    let program = programs.join("bramleyshelf").to_string_lossy().into_owned();
    for deployment in deployments() {
        println!("\n{} (seed {seed})\n", deployment.name);
        println!(
            "| policy | seed | attainment % | largest team % | smallest team % | not run | p50 ms | p99 ms \
             | first token p95 ms | gap p95 ms | wasted generations | cross-region kB \
             | enc/ret/rer/gen kB |"
        );
        println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|");
        for (name, changes) in VARIANTS.iter().take(count) {
            let config = with_policy(&deployment.text, changes);
            let figures = bench::run(&program, &deployment, &config, seed).await;
            print_row(name, seed, &deployment, &figures);
        }
    }
}

fn print_row(name: &str, seed: u64, deployment: &bench::Deployment, figures: &bench::Measurements) {
    let largest = deployment.teams[0].name;
    let smallest = deployment.teams[4].name;
    let kilobytes: Vec<_> = ["encoder", "retriever", "reranker", "generator"]
        .iter()
        .map(|service| (figures.service_bytes[*service] / 1_000).to_string())
        .collect();
    println!(
        "| {name} | {seed} | {:.2} | {:.2} | {:.2} | {} | {:.0} | {:.0} | {:.0} | {:.1} | {} | {} | {} |",
        figures.attainment(),
        figures.attainment_of(largest),
        figures.attainment_of(smallest),
        figures.not_run,
        bench::percentile(&figures.latencies, 0.5),
        bench::percentile(&figures.latencies, 0.99),
        bench::percentile(&figures.first_byte, 0.95),
        bench::percentile(&figures.chunk_gaps, 0.95),
        figures.wasted_runs,
        figures.remote_bytes / 1_000,
        kilobytes.join("/"),
    );
}
