//! Requests that come late in a planned stop, while upstreams do not answer.

use std::net;
use std::time;

use bramleyshelf_lib::http;
use bramleyshelf_platform_testutils::{gateways, standin};
use bramleyshelf_testutils::{cluster, fault};

const PROGRAM: &str = env!("CARGO_BIN_EXE_bramleyshelf");
const CONFIG: &str = include_str!("../../examples/takbaerer.json");
/// Statuses by which callers know that their request has not run.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];
/// Time between two requests.
const PAUSE: time::Duration = time::Duration::from_millis(40);

/// A request that was sent during the stop, and the status of its answer if there was one.
struct Sent {
    id: String,
    status: Option<u16>,
}

/// Sends requests until none can be sent any more.
async fn send_until_gone(address: net::SocketAddr, paths: &[&'static str]) -> Vec<Sent> {
    let client = http::client(true);
    let mut tasks = tokio::task::JoinSet::new();
    for number in 0.. {
        if tokio::net::TcpStream::connect(address).await.is_err() {
            break;
        }
        let (path, client) = (paths[number % paths.len()], client.clone());
        tasks.spawn(async move {
            let id = format!("r{number}");
            let key = gateways::CREDENTIAL;
            let answer = gateways::send_request(&client, address, path, &id, key).await;
            Sent { id, status: answer.map(|answer| answer.status) }
        });
        tokio::time::sleep(PAUSE).await;
    }
    tasks.join_all().await
}

/// Guards against requests that a stopping gateway passes on to upstreams and cuts at its end.
#[tokio::test]
async fn gateway_cuts_no_request_that_came_late_in_a_stop() {
    let mut system = gateways::GatewayCluster::start(PROGRAM, "late", 1).await;
    let mut process = system.gateways[0].process.take().expect("it runs");
    process.signal(cluster::Signal::Kill);
    assert!(process.exits_within(gateways::STOP_LIMIT).await);
    // The balancer may send requests until shortly before the end.
    system.gateways[0].set("notice_ms", 3_600);
    system.start_gateway(0);
    system.wait_ready(0).await;
    for upstream in ["i-1", "i-2", "i-3"] {
        let mut state = system.shared.lock().expect("no holder panics");
        state.faults.insert(upstream.to_owned(), standin::Fault::Hang);
    }
    let address = system.gateways[0].address("listen");
    let process = system.gateways[0].process.as_mut().expect("it runs");
    process.signal(cluster::Signal::Terminate);
    let paths = ["/book/1", "/chat/once/1", "/stock/1", "/chat/1"];
    let sent = send_until_gone(address, &paths).await;
    assert!(process.exits_within(gateways::STOP_LIMIT).await, "it stops in time");
    assert!(sent.len() > 40, "{} requests", sent.len());
    let state = system.shared.lock().expect("no holder panics");
    for Sent { id, status } in sent {
        let runs = state.runs.iter().filter(|run| run.request == id).count();
        assert!(runs == 0 || status.is_some(), "{id} ran and was cut");
        assert!(runs == 0 || !status.is_some_and(|s| NOT_RUN.contains(&s)), "{id} {status:?}");
    }
}

/// The same for entries.
#[tokio::test]
async fn entry_cuts_no_request_that_came_late_in_a_stop() {
    let options = cluster::Options { entries: 1, upstreams: 2, ..cluster::Options::default() };
    let mut system = cluster::Cluster::start(PROGRAM, "late-entry", CONFIG, options).await;
    for node in &system.nodes {
        node.upstream.faults.set(fault::Faults { delay_ms: 2_500, ..fault::Faults::default() });
    }
    let address = system.entries[0].address;
    let process = system.entries[0].process.as_mut().expect("it runs");
    process.signal(cluster::Signal::Terminate);
    let client = http::client(true);
    let mut tasks = tokio::task::JoinSet::new();
    for number in 0.. {
        if tokio::net::TcpStream::connect(address).await.is_err() {
            break;
        }
        let body = serde_json::json!({ "action": number.to_string() });
        let call = cluster::Call::new("/services/deposits", "counter", body);
        let client = client.clone();
        tasks.spawn(async move { (number.to_string(), call.send(&client, address).await) });
        tokio::time::sleep(PAUSE).await;
    }
    let sent = tasks.join_all().await;
    assert!(sent.len() > 10, "{} requests", sent.len());
    let ran: Vec<_> = system.executions("deposits").into_iter().map(|run| run.action).collect();
    for (action, answer) in sent {
        let runs = ran.iter().filter(|run| **run == action).count();
        let Some(answer) = answer else {
            assert_eq!(runs, 0, "{action} ran and was cut");
            continue;
        };
        assert!(runs == 0 || !NOT_RUN.contains(&answer.status), "{action} {}", answer.status);
    }
}
