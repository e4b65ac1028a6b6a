//! Streams of a service whose upstreams have different software versions, with real gateway processes:
//! what two versions write does not fit together.

use std::collections;
use std::time;

use bramleyshelf_lib::http;
use bramleyshelf_platform_testutils::{gateways, standin};
use bramleyshelf_testutils::cluster;

const PROGRAM: &str = env!("CARGO_BIN_EXE_bramleyshelf");
const GATEWAYS: usize = 3;
/// Upstreams of both versions, by turns, so that calls in their order alternate between the versions.
const UPSTREAMS: [gateways::Listed; 6] = [
    ("i-1", "app", "a", "v1"),
    ("i-2", "app", "a", "v2"),
    ("i-3", "app", "b", "v1"),
    ("i-4", "app", "b", "v2"),
    ("i-5", "scan", "a", "v1"),
    ("i-6", "scan", "b", "v1"),
];
const STREAMS: usize = 24;
/// Time after the last stream has begun until gateways are killed or streams are resumed.
const PAUSE: time::Duration = time::Duration::from_millis(400);
/// Time within which it is known that a stream cannot go on.
const REFUSAL_LIMIT: time::Duration = time::Duration::from_millis(1_500);

async fn start(name: &str) -> gateways::GatewayCluster {
    let name = format!("versions-{name}");
    let changes = serde_json::json!({});
    let system =
        gateways::GatewayCluster::start_before(PROGRAM, &name, GATEWAYS, &changes, &UPSTREAMS);
    let system = system.await;
    // Each gateway knows the others a few reads later.
    tokio::time::sleep(time::Duration::from_secs(2)).await;
    system
}

/// Sends new streams at the same time, so that all upstreams get some.
async fn begin_streams(system: &gateways::GatewayCluster) {
    let mut calls = tokio::task::JoinSet::new();
    for number in 0..STREAMS {
        let address = system.gateways[number % GATEWAYS].address("listen");
        calls.spawn(async move {
            let (client, id) = (http::client(false), format!("x{number}"));
            let key = gateways::CREDENTIAL;
            gateways::send_request(&client, address, "/chat/1", &id, key).await
        });
    }
    calls.join_all().await;
}

/// Resumes all streams, each at the gateway after the one that began it. Returns the number of those
/// that went on.
async fn resume_streams(system: &gateways::GatewayCluster) -> usize {
    let client = http::client(false);
    let mut resumed = 0;
    for number in 0..STREAMS {
        let address = system.gateways[(number + 1) % GATEWAYS].address("listen");
        let (id, resumes) = (format!("y{number}"), format!("x{number}"));
        let sent = time::Instant::now();
        let answer = gateways::resume_stream(&client, address, "/chat/1", &id, &resumes).await;
        let answer = answer.expect("an answer");
        match answer.status {
            200 => resumed += 1,
            503 => assert!(sent.elapsed() < REFUSAL_LIMIT, "{id} is refused late"),
            status => panic!("{id} is answered with {status}"),
        }
    }
    resumed
}

/// Returns the versions of the upstreams that ran each stream, under any of its ids.
fn versions(
    system: &gateways::GatewayCluster,
) -> collections::BTreeMap<String, collections::BTreeSet<&'static str>> {
    let state = system.shared.lock().expect("no holder panics");
    let mut versions: collections::BTreeMap<_, collections::BTreeSet<_>> =
        collections::BTreeMap::new();
    for run in &state.runs {
        let upstream = UPSTREAMS.iter().find(|listed| listed.0 == run.instance);
        let number = run.request.trim_start_matches(['x', 'y']).to_owned();
        versions.entry(number).or_default().insert(upstream.expect("an upstream").3);
    }
    versions
}

fn assert_none_joined(system: &gateways::GatewayCluster) {
    let versions = versions(system);
    let used: collections::BTreeSet<_> = versions.values().flatten().collect();
    assert_eq!(used.len(), 2, "both versions began streams");
    let joined = versions.values().filter(|versions| versions.len() > 1).count();
    assert_eq!(joined, 0, "of {STREAMS} streams hold events of two versions");
}

async fn kill(system: &mut gateways::GatewayCluster, indexes: std::ops::Range<usize>) {
    for index in indexes.clone() {
        let process = system.gateways[index].process.take().expect("it runs");
        process.signal(cluster::Signal::Kill);
    }
    for index in indexes.clone() {
        system.start_gateway(index);
    }
    for index in indexes {
        system.wait_ready(index).await;
    }
}

#[tokio::test]
async fn stream_that_breaks_off_goes_on_at_its_version() {
    let system = start("one-answer").await;
    {
        let mut state = system.shared.lock().expect("no holder panics");
        for upstream in ["i-1", "i-2"] {
            state.faults.insert(upstream.to_owned(), standin::Fault::CutStream);
        }
    }
    begin_streams(&system).await;
    assert_none_joined(&system);
}

#[tokio::test]
async fn stream_resumed_at_another_gateway_goes_on_at_its_version() {
    let system = start("another-gateway").await;
    begin_streams(&system).await;
    tokio::time::sleep(PAUSE).await;
    let resumed = resume_streams(&system).await;
    assert_none_joined(&system);
    assert_eq!(resumed, STREAMS);
}

#[tokio::test]
async fn stream_of_a_killed_gateway_goes_on_at_its_version() {
    let mut system = start("one-killed").await;
    begin_streams(&system).await;
    tokio::time::sleep(PAUSE).await;
    kill(&mut system, 0..1).await;
    let resumed = resume_streams(&system).await;
    assert_none_joined(&system);
    assert!(2 * resumed >= STREAMS, "{resumed} of {STREAMS} go on");
}

#[tokio::test]
async fn stream_resumed_after_all_gateways_were_killed_goes_on_at_its_version() {
    let mut system = start("all-killed").await;
    begin_streams(&system).await;
    tokio::time::sleep(PAUSE).await;
    kill(&mut system, 0..GATEWAYS).await;
    let resumed = resume_streams(&system).await;
    assert_none_joined(&system);
    assert!(2 * resumed >= STREAMS, "{resumed} of {STREAMS} go on");
}

#[tokio::test]
async fn stream_whose_version_has_left_is_refused_after_all_gateways_were_killed() {
    let mut system = start("version-left").await;
    begin_streams(&system).await;
    tokio::time::sleep(PAUSE).await;
    {
        let mut state = system.shared.lock().expect("no holder panics");
        state.store.remove("servers/i-1");
        state.store.remove("servers/i-3");
    }
    kill(&mut system, 0..GATEWAYS).await;
    resume_streams(&system).await;
    assert_none_joined(&system);
}
