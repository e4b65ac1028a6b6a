//! Orders to engines over real processes, with a sidecar that is frozen and replaced.

use std::time;

use bramleyshelf_testutils::{cluster, soak};

const PROGRAM: &str = env!("CARGO_BIN_EXE_bramleyshelf");
const TEXT: &str = include_str!("../../examples/takbaerer.json");
const LIMIT: time::Duration = time::Duration::from_secs(15);

fn text(model: &str, fenced: bool) -> String {
    let short = soak::shorten_leases(TEXT);
    let mut value: serde_json::Value = serde_json::from_str(&short).expect("JSON");
    value["limits"]["lease_ms"] = 6_000.into();
    value["services"]["generator"]["order"] = serde_json::json!({ "model": model });
    value["services"]["generator"]["fenced"] = fenced.into();
    value.to_string()
}

fn models(system: &cluster::Cluster) -> Vec<Option<String>> {
    let nodes = system.nodes.iter().filter(|node| node.service == "generator");
    nodes
        .map(|node| match &node.stand_in {
            cluster::StandIn::Engine(engine) => engine.orders().pop().map(|order| order.model),
            _ => None,
        })
        .collect()
}

async fn wait_model(system: &cluster::Cluster, model: &str) -> bool {
    let all = async || models(system).iter().all(|found| found.as_deref() == Some(model));
    cluster::wait_until(LIMIT, all).await
}

async fn order_follows_text(name: &str, fenced: bool) {
    let shape = cluster::Options { upstreams: 2, ..cluster::Options::default() };
    let mut system = cluster::Cluster::start(PROGRAM, name, &text("base-7", fenced), shape).await;
    assert!(wait_model(&system, "base-7").await, "{:?}", models(&system));
    // A killed sidecar is replaced; its successor orders only once the old lease is over.
    let index = system.node_index("generator-0");
    system.nodes[index].sidecar = None;
    system.apply(&text("base-8", fenced)).await;
    system.start_sidecar(index);
    assert!(wait_model(&system, "base-8").await, "{:?}", models(&system));
    for node in system.nodes.iter().filter(|node| node.service == "generator") {
        let cluster::StandIn::Engine(engine) = &node.stand_in else { continue };
        let tokens: Vec<_> = engine.orders().iter().map(|order| order.token).collect();
        assert!(tokens.is_sorted(), "{}: {tokens:?}", node.name);
    }
}

#[tokio::test]
async fn order_reaches_engines_that_check_tokens() {
    order_follows_text("orders-fenced", true).await;
}

#[tokio::test]
async fn order_reaches_engines_that_ignore_tokens() {
    order_follows_text("orders-plain", false).await;
}
