//! Orders to engines with real processes, with a sidecar that is killed and replaced.

use std::time;

use bramleyshelf_testutils::{cluster, soak};

const PROGRAM: &str = env!("CARGO_BIN_EXE_bramleyshelf");
const CONFIG: &str = include_str!("../../examples/takbaerer.json");
/// Time limit for engines to receive an order.
const ORDER_LIMIT: time::Duration = time::Duration::from_secs(15);

/// Returns a configuration that orders the generators to load this model.
fn config_with_order(model: &str, fenced: bool) -> String {
    let short = soak::shorten_leases(CONFIG);
    let mut value: serde_json::Value = serde_json::from_str(&short).expect("JSON");
    value["limits"]["lease_ms"] = 6_000.into();
    value["services"]["generator"]["order"] = serde_json::json!({ "model": model });
    value["services"]["generator"]["fenced"] = fenced.into();
    value.to_string()
}

/// Returns the model of the last order that each generator has received.
fn ordered_models(system: &cluster::Cluster) -> Vec<Option<String>> {
    let nodes = system.nodes.iter().filter(|node| node.service == "generator");
    nodes
        .map(|node| match &node.stand_in {
            cluster::StandIn::Engine(engine) => engine.orders().pop().map(|order| order.model),
            _ => None,
        })
        .collect()
}

async fn wait_until_ordered(system: &cluster::Cluster, model: &str) -> bool {
    let all = async || ordered_models(system).iter().all(|found| found.as_deref() == Some(model));
    cluster::wait_until(ORDER_LIMIT, all).await
}

/// Checks that engines get the order of each configuration, with fencing tokens that never decrease.
async fn check_orders(name: &str, fenced: bool) {
    let options = cluster::Options { upstreams: 2, ..cluster::Options::default() };
    let mut system =
        cluster::Cluster::start(PROGRAM, name, &config_with_order("base-7", fenced), options).await;
    assert!(wait_until_ordered(&system, "base-7").await, "{:?}", ordered_models(&system));
    // A killed sidecar is replaced. Its successor sends orders only after the old lease has expired.
    let index = system.node_index("generator-0");
    system.nodes[index].sidecar = None;
    system.apply(&config_with_order("base-8", fenced)).await;
    system.start_sidecar(index);
    assert!(wait_until_ordered(&system, "base-8").await, "{:?}", ordered_models(&system));
    for node in system.nodes.iter().filter(|node| node.service == "generator") {
        let cluster::StandIn::Engine(engine) = &node.stand_in else { continue };
        let tokens: Vec<_> = engine.orders().iter().map(|order| order.token).collect();
        assert!(tokens.is_sorted(), "{}: {tokens:?}", node.name);
    }
}

#[tokio::test]
async fn order_reaches_engines_that_check_tokens() {
    check_orders("orders-fenced", true).await;
}

#[tokio::test]
async fn order_reaches_engines_that_ignore_tokens() {
    check_orders("orders-plain", false).await;
}
