//! Drains under load: every request gets its complete answer, and a draining upstream gets no new work.

use std::sync;
use std::time;

use bramleyshelf_lib::http;
use bramleyshelf_testutils::{cluster, soak};

const PROGRAM: &str = env!("CARGO_BIN_EXE_bramleyshelf");
const CONFIG: &str = include_str!("../../examples/takbaerer.json");
/// Time after an accepted drain after which an upstream gets no new work.
const DRAIN_LIMIT: time::Duration = time::Duration::from_secs(3);

#[derive(Debug, Default)]
/// Results of the load.
struct LoadResult {
    sent: u32,
    /// Requests without a complete answer of status 200, one line each.
    failed: Vec<String>,
}

/// Sends streams, bookings and pipeline requests until the flag is set.
async fn send_load(
    entries: Vec<std::net::SocketAddr>,
    stop: sync::Arc<sync::atomic::AtomicBool>,
) -> LoadResult {
    let result = sync::Arc::new(sync::Mutex::new(LoadResult::default()));
    let client = http::client(true);
    let mut tasks = tokio::task::JoinSet::new();
    for number in 0_u32.. {
        if stop.load(sync::atomic::Ordering::Relaxed) {
            break;
        }
        let call = match number % 3 {
            0 => {
                let body = serde_json::json!({
                    "stream": true, "max_tokens": 60,
                    "messages": [{ "role": "user", "content": number.to_string() }],
                });
                cluster::Call::new("/v1/chat/completions", "counter", body)
            }
            1 => {
                let body = serde_json::json!({ "action": format!("k-{number}") });
                cluster::Call::new("/services/bookings", "counter", body)
                    .with_key(&cluster::new_key())
            }
            _ => {
                let body = serde_json::json!({ "question": number.to_string() });
                cluster::Call::new("/pipelines/fitting-guide", "counter", body)
            }
        };
        let (client, result) = (client.clone(), result.clone());
        let entry = entries[number as usize % entries.len()];
        tasks.spawn(async move {
            let answer = call.send(&client, entry).await;
            let mut result = result.lock().expect("no holder panics");
            result.sent += 1;
            match answer {
                Some(answer) if answer.status == 200 && answer.is_complete => {}
                Some(answer) => {
                    let (status, kind) = (answer.status, answer.kind());
                    result.failed.push(format!("{number} {} {status} {kind}", call.path));
                }
                None => result.failed.push(format!("{number} {} no response", call.path)),
            }
        });
        tokio::time::sleep(time::Duration::from_millis(12)).await;
    }
    while tasks.join_next().await.is_some() {}
    let mut result = result.lock().expect("no holder panics");
    std::mem::take(&mut *result)
}

async fn start(name: &str) -> cluster::Cluster {
    let config = soak::shorten_leases(CONFIG);
    cluster::Cluster::start(PROGRAM, name, &config, cluster::Options::default()).await
}

struct Load {
    stop: sync::Arc<sync::atomic::AtomicBool>,
    task: tokio::task::JoinHandle<LoadResult>,
}

impl Load {
    fn start(system: &cluster::Cluster) -> Self {
        let stop = sync::Arc::new(sync::atomic::AtomicBool::new(false));
        let entries = system.entries.iter().map(|entry| entry.address).collect();
        let task = tokio::spawn(send_load(entries, stop.clone()));
        Self { stop, task }
    }

    /// Ends the load and checks that every request got its complete answer.
    async fn end_without_failure(self) {
        self.stop.store(true, sync::atomic::Ordering::Relaxed);
        let result = self.task.await.expect("the load does not panic");
        let (failed, sent) = (result.failed.len(), result.sent);
        assert!(result.failed.is_empty(), "{failed} of {sent}: {:#?}", result.failed);
    }
}

/// Checks that an upstream gets no work for 800 ms.
async fn assert_no_new_work(system: &cluster::Cluster, name: &str) {
    let upstream = system.nodes[system.node_index(name)].upstream.address;
    let before = cluster::get(upstream, "/_log").await.expect("a log").body;
    tokio::time::sleep(time::Duration::from_millis(800)).await;
    let after = cluster::get(upstream, "/_log").await.expect("a log").body;
    assert_eq!(before, after, "{name} got work");
}

#[tokio::test]
async fn drain_by_configuration_loses_no_request() {
    let system = start("drain").await;
    let load = Load::start(&system);
    for name in ["generator-0", "bookings-0", "bookings-1", "encoder-0"] {
        let (done, printed) = system.run_command(&["drain", name, "--wait"]).await;
        assert!(done, "{printed}");
        assert_no_new_work(&system, name).await;
        let (done, printed) = system.run_command(&["undrain", name, "--wait"]).await;
        assert!(done, "{printed}");
    }
    load.end_without_failure().await;
}

#[tokio::test]
async fn drain_by_instance_list_reaches_the_sidecar() {
    let system = start("list-drain").await;
    let load = Load::start(&system);
    system.publish_leaving(&["generator-1", "bookings-1"]);
    tokio::time::sleep(DRAIN_LIMIT + time::Duration::from_secs(1)).await;
    for name in ["generator-1", "bookings-1"] {
        assert_no_new_work(&system, name).await;
    }
    load.end_without_failure().await;
}

#[tokio::test]
async fn planned_stop_of_sidecar_cuts_nothing() {
    let mut system = start("stop-sidecar").await;
    let load = Load::start(&system);
    for name in ["generator-0", "bookings-2", "reranker-1"] {
        let index = system.node_index(name);
        let child = system.nodes[index].sidecar.as_mut().expect("it runs");
        child.signal(cluster::Signal::Terminate);
        while !child.has_exited() {
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
        system.start_sidecar(index);
        tokio::time::sleep(time::Duration::from_millis(700)).await;
    }
    load.end_without_failure().await;
}

#[tokio::test]
async fn planned_stop_of_entry_fails_readiness_and_completes_requests() {
    let mut system = start("stop-entry").await;
    let client = http::client(false);
    let address = system.entries[0].address;
    let body = serde_json::json!({
        "stream": true, "max_tokens": 300,
        "messages": [{ "role": "user", "content": "long" }],
    });
    let call = cluster::Call::new("/v1/chat/completions", "counter", body);
    let stream = tokio::spawn(async move { call.send(&client, address).await });
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    let child = system.entries[0].process.as_mut().expect("it runs");
    child.signal(cluster::Signal::Terminate);
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    let ready = cluster::get(address, "/readyz").await.expect("it still listens");
    assert_eq!(ready.status, 503, "readiness fails before the listener closes");
    let answer = stream.await.expect("no panic").expect("a response");
    assert!(answer.is_complete && answer.status == 200);
    assert!(String::from_utf8_lossy(&answer.body).ends_with("data: [DONE]\n\n"));
    let child = system.entries[0].process.as_mut().expect("it runs");
    let start = time::Instant::now();
    while !child.has_exited() {
        assert!(start.elapsed() < time::Duration::from_secs(15), "the entry stops in time");
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
}

#[tokio::test]
async fn drain_below_the_minimum_is_refused() {
    let system = start("too-few").await;
    let (done, printed) = system.run_command(&["drain", "bookings-0"]).await;
    assert!(done, "{printed}");
    let (done, printed) = system.run_command(&["drain", "bookings-1"]).await;
    assert!(!done && printed.contains("keeps 2"), "{printed}");
    let (done, printed) = system.run_command(&["drain", "bookings-1", "--force"]).await;
    assert!(done, "{printed}");
    let (done, printed) = system.run_command(&["drain", "nobody"]).await;
    assert!(!done && printed.contains("no process of instance `nobody`"), "{printed}");
}
