//! Upstreams that send bytes without end in place of their answers, and the memory of the processes that
//! call them.

use std::time;

use bramleyshelf_lib::http;
use bramleyshelf_platform_testutils::{gateways, standin};
use bramleyshelf_testutils::{cluster, fault, raw_server};

const PROGRAM: &str = env!("CARGO_BIN_EXE_bramleyshelf");
const CONFIG: &str = include_str!("../../examples/takbaerer.json");
/// Memory of the smallest instance that a gateway or an entry runs on.
const GATEWAY_MEMORY: u64 = 160 << 20;
/// Memory of the instances that sidecars run on.
const SIDECAR_MEMORY: u64 = 192 << 20;
/// Requests that are in progress at the same time.
const REQUESTS: usize = 120;
/// Time for a change in the store to be in force.
const PROPAGATION_LIMIT: time::Duration = time::Duration::from_millis(2_500);

/// Guards against a gateway that keeps all bytes of endless answers and runs out of memory: its other
/// requests would end with it.
async fn assert_gateway_survives(name: &str, start: fn(&str) -> String) {
    let system = gateways::GatewayCluster::start(PROGRAM, name, 1).await;
    for (id, service) in [("i-1", "app"), ("i-2", "app"), ("i-3", "app"), ("i-4", "scan")] {
        let address = raw_server::serve_endless(start).await;
        let entry = standin::list_entry(service, address);
        standin::put(&system.shared, &format!("servers/{id}"), entry.to_string());
    }
    tokio::time::sleep(PROPAGATION_LIMIT).await;
    let client = http::client(false);
    let address = system.gateways[0].address("listen");
    let mut requests = tokio::task::JoinSet::new();
    for number in 0..REQUESTS {
        let path = ["/book/1", "/stock/1", "/chat/1", "/guide/1"][number % 4];
        let client = client.clone();
        requests.spawn(async move {
            let id = format!("r{number}");
            let key = gateways::CREDENTIAL;
            gateways::send_request(&client, address, path, &id, key).await
        });
    }
    while let Some(answer) = requests.join_next().await {
        let answer = answer.expect("no panic").expect("an answer");
        assert!(answer.status != 200 || answer.body.is_none(), "{answer:?}");
    }
    let process = system.gateways[0].process.as_ref().expect("it runs");
    let peak = process.peak_memory();
    println!("{name}: {} MB", peak >> 20);
    assert!(peak < GATEWAY_MEMORY, "{} MB", peak >> 20);
}

#[tokio::test]
async fn gateway_memory_is_bounded_with_endless_heads() {
    assert_gateway_survives("endless-head", |_| "HTTP/1.1 200 OK\r\nx-a: ".to_owned()).await;
}

fn head(request: &str, more: &str) -> String {
    let id = raw_server::header(request, "x-attempt-id");
    format!("HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-server-seal: s\r\n{more}\r\n")
}

#[tokio::test]
async fn gateway_memory_is_bounded_with_endless_bodies() {
    assert_gateway_survives("endless-body", |request| head(request, "")).await;
}

#[tokio::test]
async fn gateway_memory_is_bounded_with_endless_events() {
    let start = |request: &str| {
        let head = head(request, "content-type: text/event-stream\r\n");
        format!("{head}id: 1\ndata: a\n\nid: 2\ndata: ")
    };
    assert_gateway_survives("endless-event", start).await;
}

#[tokio::test]
async fn entry_and_sidecar_memory_is_bounded_with_endless_bodies() {
    let options = cluster::Options { entries: 1, upstreams: 1, ..cluster::Options::default() };
    let system = cluster::Cluster::start(PROGRAM, "endless-entry", CONFIG, options).await;
    for node in &system.nodes {
        node.upstream.faults.set(fault::Faults { endless: true, ..fault::Faults::default() });
    }
    let client = http::client(false);
    let address = system.entries[0].address;
    let mut requests = tokio::task::JoinSet::new();
    for number in 0..REQUESTS {
        let path = ["availability", "deposits", "bookings"][number % 3];
        let body = serde_json::json!({ "action": number.to_string() });
        let call = cluster::Call::new(&format!("/services/{path}"), "counter", body);
        let client = client.clone();
        requests.spawn(async move { call.send(&client, address).await });
    }
    while let Some(answer) = requests.join_next().await {
        let answer = answer.expect("no panic").expect("a response");
        assert_ne!(answer.status, 200);
    }
    let entry = system.entries[0].process.as_ref().expect("it runs").peak_memory();
    println!("entry: {} MB", entry >> 20);
    assert!(entry < GATEWAY_MEMORY, "entry: {} MB", entry >> 20);
    for node in &system.nodes {
        let peak = node.sidecar.as_ref().expect("it runs").peak_memory();
        println!("{}: {} MB", node.name, peak >> 20);
        assert!(peak < SIDECAR_MEMORY, "{}: {} MB", node.name, peak >> 20);
    }
}
