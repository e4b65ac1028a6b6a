//! Idempotency keys with real processes: lost answers, and suspended, killed and stopped owners.

use std::time;

use bramleyshelf_lib::http;
use bramleyshelf_testutils::{cluster, fault, soak};

const PROGRAM: &str = env!("CARGO_BIN_EXE_bramleyshelf");
const CONFIG: &str = include_str!("../../examples/takbaerer.json");
/// Longer than the leases of the tests, after which the store lets other sidecars take over.
const BEYOND_LEASE: time::Duration = time::Duration::from_millis(6_500);
/// Time limit for a process to stop, and for ranges of keys to get or lose their owners.
const TAKEOVER_LIMIT: time::Duration = time::Duration::from_secs(15);

async fn start(name: &str) -> cluster::Cluster {
    let config = soak::shorten_leases(CONFIG);
    cluster::Cluster::start(PROGRAM, name, &config, cluster::Options::default()).await
}

fn booking(action: &str, key: &str) -> cluster::Call {
    let body = serde_json::json!({ "action": action });
    cluster::Call::new("/services/bookings", "counter", body).with_key(key)
}

/// Sends a booking that must succeed; returns the answer and the index of the node that ran it.
async fn book(
    system: &cluster::Cluster,
    client: &http::Client,
    call: &cluster::Call,
) -> (cluster::Response, usize) {
    let answer = call.send(client, system.entries[0].address).await.expect("a response");
    assert_eq!(answer.status, 200, "{:?}", answer.json());
    let request = answer.json()["request"].as_str().expect("a number").to_owned();
    let node = system.nodes.iter().position(|node| match &node.stand_in {
        cluster::StandIn::Plain(work) => work.executions().iter().any(|run| run.request == request),
        _ => false,
    });
    (answer, node.expect("some upstream ran it"))
}

#[tokio::test]
async fn key_with_lost_answer_stays_unknown_and_runs_once() {
    let system = start("lost").await;
    let client = http::client(true);
    for node in &system.nodes {
        let faults = fault::Faults { drop_answer: true, times: Some(1), ..Default::default() };
        node.upstream.faults.set(faults);
    }
    let call = booking("lost", &cluster::new_key());
    for round in 0..4 {
        let entry = system.entries[round % 2].address;
        let answer = call.send(&client, entry).await.expect("a response");
        assert_eq!((answer.status, answer.ran().as_str()), (502, "unknown"), "round {round}");
    }
    assert_eq!(system.executions("bookings").len(), 1);
}

/// Guards against an upstream's status that reaches the caller, or a later caller with the same key, as
/// the promise that nothing ran.
#[tokio::test]
async fn key_whose_upstream_ran_it_and_refused_stays_unknown() {
    let system = start("refused").await;
    let client = http::client(true);
    for status in [408, 421, 429, 503] {
        for node in &system.nodes {
            let faults = fault::Faults { status_after: status, ..Default::default() };
            node.upstream.faults.set(faults);
        }
        let call = booking(&status.to_string(), &cluster::new_key());
        for round in 0..3 {
            let entry = system.entries[round % 2].address;
            let answer = call.send(&client, entry).await.expect("a response");
            let told = (answer.status, answer.ran());
            assert_eq!(told, (502, "unknown".to_owned()), "{status}, round {round}");
        }
        let runs = system.executions("bookings").into_iter();
        assert_eq!(runs.filter(|run| run.action == status.to_string()).count(), 1, "{status}");
    }
}

/// Guards against the same for calls without a key, and for calls that may be repeated.
#[tokio::test]
async fn call_whose_upstream_ran_it_and_refused_stays_unknown() {
    let system = start("refused-plain").await;
    let client = http::client(true);
    for node in &system.nodes {
        let faults = fault::Faults { status_after: 503, ..Default::default() };
        node.upstream.faults.set(faults);
    }
    for path in ["/services/deposits", "/services/availability"] {
        let body = serde_json::json!({ "action": "once" });
        let call = cluster::Call::new(path, "counter", body);
        let answer = call.send(&client, system.entries[0].address).await.expect("a response");
        assert_eq!((answer.status, answer.ran().as_str()), (502, "unknown"), "{path}");
    }
    assert_eq!(system.executions("deposits").len(), 1);
}

#[tokio::test]
async fn key_with_another_body_is_refused() {
    let system = start("unreachable").await;
    let client = http::client(true);
    let key = cluster::new_key();
    let (_, node) = book(&system, &client, &booking("first", &key)).await;
    let other = booking("other body", &key);
    let answer = other.send(&client, system.entries[1].address).await.expect("a response");
    assert_eq!((answer.status, answer.ran().as_str()), (422, "no"));
    let again = booking("first", &key);
    let answer = again.send(&client, system.entries[1].address).await.expect("a response");
    assert_eq!(answer.status, 200);
    assert_eq!(system.executions("bookings").len(), 1, "node {node}");
}

#[tokio::test]
async fn key_suspended_owner_runs_nothing_twice_after_it_continues() {
    let system = start("frozen").await;
    let client = http::client(true);
    let first = booking("before", &cluster::new_key());
    let (answer, node) = book(&system, &client, &first).await;
    let sidecar = system.nodes[node].sidecar.as_ref().expect("it runs");
    sidecar.signal(cluster::Signal::Stop);
    // These requests go to the suspended owner, which may read them after it continues.
    let during: Vec<_> =
        (0..20).map(|n| booking(&format!("during-{n}"), &cluster::new_key())).collect();
    let sends = during.iter().map(|call| {
        let (call, client) = (call.clone().with_deadline(2_000), client.clone());
        let entry = system.entries[0].address;
        tokio::spawn(async move { call.send(&client, entry).await })
    });
    let sends: Vec<_> = sends.collect();
    for send in sends {
        let _ = send.await;
    }
    tokio::time::sleep(BEYOND_LEASE).await;
    assert!(
        cluster::wait_until(TAKEOVER_LIMIT, async || system.all_ranges_owned()).await,
        "other sidecars take over"
    );
    let again = first.send(&client, system.entries[1].address).await.expect("a response");
    assert_ne!(again.status, 200, "the only copy of the ledger is in the suspended process");
    assert_eq!(again.ran(), "unknown");
    sidecar.signal(cluster::Signal::Continue);
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    for call in during.iter().chain([&first]) {
        for entry in &system.entries {
            let _ = call.send(&client, entry.address).await;
        }
    }
    let mut actions: Vec<_> =
        system.executions("bookings").into_iter().map(|run| run.action).collect();
    let total = actions.len();
    actions.sort();
    actions.dedup();
    assert_eq!(actions.len(), total, "{answer:?}");
}

#[tokio::test]
async fn key_of_killed_owner_stays_unknown_after_takeover() {
    let mut system = start("killed").await;
    let client = http::client(true);
    let first = booking("before", &cluster::new_key());
    let (_, node) = book(&system, &client, &first).await;
    system.nodes[node].sidecar = None;
    assert!(
        cluster::wait_until(TAKEOVER_LIMIT, async || !system.all_ranges_owned()).await,
        "the lease of the killed owner expires"
    );
    assert!(
        cluster::wait_until(TAKEOVER_LIMIT, async || system.all_ranges_owned()).await,
        "other sidecars take over"
    );
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    let again = first.send(&client, system.entries[1].address).await.expect("a response");
    assert_eq!((again.status, again.ran().as_str()), (409, "unknown"));
    for number in 0..20 {
        let call = booking(&format!("after-{number}"), &cluster::new_key());
        let answer = call.send(&client, system.entries[1].address).await.expect("a response");
        assert_eq!(answer.status, 200, "{:?}", answer.json());
    }
    assert_eq!(system.executions("bookings").len(), 21);
}

#[tokio::test]
async fn key_ledger_is_handed_over_on_planned_stop() {
    let mut system = start("stopped").await;
    let client = http::client(true);
    let calls: Vec<_> = (0..12).map(|n| booking(&format!("b-{n}"), &cluster::new_key())).collect();
    let mut answers = Vec::new();
    for call in &calls {
        answers.push(book(&system, &client, call).await.0);
    }
    for name in ["bookings-0", "bookings-1"] {
        let index = system.node_index(name);
        let child = system.nodes[index].sidecar.as_mut().expect("it runs");
        child.signal(cluster::Signal::Terminate);
        let start = time::Instant::now();
        while !child.has_exited() {
            tokio::time::sleep(time::Duration::from_millis(20)).await;
            assert!(start.elapsed() < TAKEOVER_LIMIT, "{name} stops in time");
        }
        system.nodes[index].sidecar = None;
    }
    // Two of three owners have stopped; the last one has received all keys and answers.
    for (call, answer) in calls.iter().zip(&answers) {
        let again = call.send(&client, system.entries[1].address).await.expect("a response");
        assert_eq!((again.status, &again.body), (200, &answer.body));
    }
    assert_eq!(system.executions("bookings").len(), calls.len());
}

#[tokio::test]
async fn key_ranges_come_to_rest() {
    let options = cluster::Options { upstreams: 6, ..cluster::Options::default() };
    let config = soak::shorten_leases(CONFIG);
    let system = cluster::Cluster::start(PROGRAM, "rest", &config, options).await;
    let transactions = || system.kv.calls().get("/v3/kv/txn").copied().unwrap_or(0);
    tokio::time::sleep(time::Duration::from_secs(6)).await;
    let before = transactions();
    tokio::time::sleep(time::Duration::from_secs(4)).await;
    assert_eq!(transactions(), before, "an idle fleet transfers no ranges");
}
