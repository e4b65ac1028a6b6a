//! Configuration over real processes: outages, races, lost answers, frozen and fresh processes.

use std::sync;
use std::time;

use bramleyshelf_lib::{http, id, operator, store};
use bramleyshelf_testutils::{cluster, fault, soak};

const PROGRAM: &str = env!("CARGO_BIN_EXE_bramleyshelf");
const TEXT: &str = include_str!("../../examples/takbaerer.json");
/// Time within which a change has to be in force everywhere.
const IN_FORCE_LIMIT: time::Duration = time::Duration::from_secs(19);

/// Returns the text with another limit, so that it differs.
fn text(requests: u64) -> String {
    let short = soak::shorten_leases(TEXT);
    let mut value: serde_json::Value = serde_json::from_str(&short).expect("JSON");
    value["limits"]["requests"] = requests.into();
    value.to_string()
}

async fn start(name: &str) -> cluster::Cluster {
    let shape = cluster::Options { upstreams: 2, ..cluster::Options::default() };
    cluster::Cluster::start(PROGRAM, name, &text(2_000), shape).await
}

fn file(system: &cluster::Cluster, requests: u64) -> String {
    let path = system.directory.join(format!("text-{requests}.json"));
    std::fs::write(&path, text(requests)).expect("a writable directory");
    path.to_string_lossy().into_owned()
}

async fn revision_of(address: std::net::SocketAddr) -> Option<u64> {
    cluster::get(address, "/status").await?.json()["revision"].as_u64()
}

async fn wait_for(system: &cluster::Cluster, revision: u64) -> bool {
    let mut addresses: Vec<_> = system.nodes.iter().map(|node| node.address).collect();
    addresses.extend(system.entries.iter().map(|entry| entry.peer_address));
    let all = async || {
        for address in &addresses {
            if revision_of(*address).await != Some(revision) {
                return false;
            }
        }
        true
    };
    cluster::wait_until(IN_FORCE_LIMIT, all).await
}

/// Returns the revisions that a process put in force, in order.
fn history(system: &cluster::Cluster, name: &str) -> Vec<u64> {
    let log = system.read_log(name);
    let lines = log.lines().filter(|line| line.contains("event=config_in_force"));
    let number = |line: &str| {
        let (_, rest) = line.split_once("revision=")?;
        rest.split(' ').next()?.parse().ok()
    };
    lines.filter_map(number).collect()
}

fn assert_never_back(system: &cluster::Cluster) {
    let nodes = system.nodes.iter().map(|node| &node.name);
    for name in nodes.chain(system.entries.iter().map(|entry| &entry.name)) {
        let revisions = history(system, name);
        assert!(revisions.is_sorted(), "{name}: {revisions:?}");
    }
}

#[tokio::test]
async fn apply_waits_until_every_process_has_it() {
    let system = start("apply").await;
    let path = file(&system, 1_500);
    let (done, printed) = system.run_command(&["apply", &path, "--wait"]).await;
    assert!(done && printed.contains("in force at 18 process(es)"), "{printed}");
    let (done, printed) = system.run_command(&["show"]).await;
    assert!(done && printed.contains("1500"), "{printed}");
    let path = file(&system, 1_400);
    let (done, printed) = system.run_command(&["diff", &path]).await;
    assert!(done && printed.contains("~ /limits/requests: 1500 -> 1400"), "{printed}");
}

#[tokio::test]
async fn apply_lists_processes_that_do_not_have_it() {
    let system = start("late").await;
    let frozen = &system.nodes[0];
    let child = frozen.sidecar.as_ref().expect("it runs");
    child.signal(cluster::Signal::Stop);
    let path = file(&system, 1_500);
    let (done, printed) = system.run_command(&["apply", &path, "--wait", "--timeout", "6"]).await;
    assert!(!done && printed.contains(&format!("not in force: {}", frozen.name)), "{printed}");
    child.signal(cluster::Signal::Continue);
    let revision = operator::read_config(&system.store_client()).await.expect("readable").revision;
    assert!(wait_for(&system, revision.0).await, "the frozen process catches up");
    assert_never_back(&system);
}

#[tokio::test]
async fn racing_operators_get_one_winner_and_see_the_change() {
    let system = start("race").await;
    let revision = operator::read_config(&system.store_client()).await.expect("readable").revision;
    let expect = revision.to_string();
    let paths = [file(&system, 1_501), file(&system, 1_502)];
    let words = paths.each_ref().map(|path| ["apply", path.as_str(), "--expect", &expect]);
    let (first, second) =
        tokio::join!(system.run_command(&words[0]), system.run_command(&words[1]));
    let (won, lost) = if first.0 { (first, second) } else { (second, first) };
    assert!(won.0 && !lost.0, "{won:?} {lost:?}");
    assert!(lost.1.contains("changed since you read it"), "{}", lost.1);
    assert!(lost.1.contains("Hint: look at the change with `bramleyshelf diff FILE`"));
}

#[tokio::test]
async fn racing_drains_are_both_kept() {
    let system = start("race-drain").await;
    let names = ["encoder-0", "retriever-0", "reranker-0", "generator-0"];
    let drains = names.map(|name| {
        let store = system.store_client();
        tokio::spawn(async move {
            let instance = name.parse().expect("valid");
            operator::set_draining(&store, &instance, true, false, name).await
        })
    });
    for drain in drains {
        drain.await.expect("no panic").expect("accepted");
    }
    let current = operator::read_config(&system.store_client()).await.expect("readable");
    assert_eq!(current.stored.draining.len(), names.len());
}

#[tokio::test]
async fn lost_answers_of_the_store_are_settled_by_reading_back() {
    let system = start("lost-write").await;
    let before = operator::read_config(&system.store_client()).await.expect("readable").revision;
    // The read before the write is answered; the answer of the write is lost.
    let commits = async {
        let store = system.store_client();
        let knobs = system.store.faults.clone();
        let writer = tokio::spawn(async move {
            operator::apply(
                &Lossy { inner: store, knobs, lost: sync::Arc::default() },
                &text(1_600),
                None,
                "mine",
            )
            .await
        });
        writer.await.expect("no panic")
    };
    let revision = commits.await.expect("settled");
    let found = operator::read_config(&system.store_client()).await.expect("readable");
    assert_eq!((found.revision, found.stored.nonce.as_str()), (revision, "mine"));
    assert!(revision > before);
}

/// A store whose next answer to a write is lost after it took effect.
#[derive(Clone)]
struct Lossy {
    inner: store::Etcd,
    knobs: fault::Injector,
    lost: sync::Arc<sync::atomic::AtomicBool>,
}

impl store::Store for Lossy {
    type Watch = store::EtcdWatch;

    async fn range(&self, key: &str, prefix: bool) -> Result<store::Snapshot, store::StoreError> {
        self.inner.range(key, prefix).await
    }

    async fn changes(
        &self,
        prefix: &str,
        after: u64,
    ) -> Result<(store::Snapshot, usize), store::StoreError> {
        self.inner.changes(prefix, after).await
    }

    async fn count(&self, prefix: &str) -> Result<u64, store::StoreError> {
        self.inner.count(prefix).await
    }

    async fn commit(
        &self,
        compares: &[store::Compare],
        writes: &[store::Write],
    ) -> Result<store::Outcome, store::StoreError> {
        if !self.lost.swap(true, sync::atomic::Ordering::Relaxed) {
            self.knobs.set(fault::Faults { drop_answer: true, ..Default::default() });
        }
        let outcome = self.inner.commit(compares, writes).await;
        self.knobs.set(fault::Faults::default());
        outcome
    }

    async fn grant(&self, ttl: time::Duration) -> Result<(i64, time::Duration), store::StoreError> {
        self.inner.grant(ttl).await
    }

    async fn keep_alive(&self, lease: i64) -> Result<Option<time::Duration>, store::StoreError> {
        self.inner.keep_alive(lease).await
    }

    async fn revoke(&self, lease: i64) -> Result<(), store::StoreError> {
        self.inner.revoke(lease).await
    }

    async fn watch(&self, key: &str, from: u64) -> Result<store::EtcdWatch, store::StoreError> {
        self.inner.watch(key, from).await
    }
}

#[tokio::test]
async fn store_outage_stops_neither_requests_nor_fresh_processes() {
    let mut system = start("outage").await;
    let client = http::client(true);
    let path = file(&system, 1_700);
    let (done, printed) = system.run_command(&["apply", &path, "--wait"]).await;
    assert!(done, "{printed}");
    let revision = operator::read_config(&system.store_client()).await.expect("readable").revision;
    system.store.faults.set(fault::Faults { outage: true, ..Default::default() });
    // Both kinds of processes are replaced during the outage.
    let sidecar = system.node_index("generator-0");
    system.nodes[sidecar].sidecar = None;
    system.start_sidecar(sidecar);
    system.entries[1].process = None;
    system.start_entry(1);
    let fresh = [system.nodes[sidecar].address, system.entries[1].peer_address];
    for address in fresh {
        let told = async || revision_of(address).await == Some(revision.0);
        assert!(cluster::wait_until(IN_FORCE_LIMIT, told).await, "{address} learns from peers");
        let status = cluster::get(address, "/status").await.expect("a status").json();
        assert_eq!(status["source"], "peer");
    }
    tokio::time::sleep(time::Duration::from_secs(5)).await;
    for number in 0..10 {
        for entry in &system.entries {
            let body = serde_json::json!({ "question": number.to_string() });
            let call = cluster::Call::new("/pipelines/fitting-guide", "counter", body);
            let answer = call.send(&client, entry.address).await.expect("a response");
            assert_eq!(answer.status, 200, "{:?}", answer.json());
            let body = serde_json::json!({ "action": format!("{number}-{}", entry.name) });
            let call = cluster::Call::new("/services/deposits", "counter", body);
            let answer = call.send(&client, entry.address).await.expect("a response");
            assert_eq!(answer.status, 200, "without a key: {:?}", answer.json());
        }
    }
    assert_eq!(system.executions("deposits").len(), 20);
    // With the leases over, nobody may vouch for a new key.
    let body = serde_json::json!({ "action": "keyed" });
    let call =
        cluster::Call::new("/services/bookings", "counter", body).with_key(&cluster::new_key());
    let answer = call.send(&client, system.entries[0].address).await.expect("a response");
    assert_eq!((answer.status, answer.ran().as_str()), (503, "unknown"), "{:?}", answer.json());
    system.store.faults.set(fault::Faults::default());
    let owned = cluster::wait_until(IN_FORCE_LIMIT, async || system.all_ranges_owned()).await;
    assert!(owned, "owners come back with the store");
    let path = file(&system, 1_800);
    let (done, printed) = system.run_command(&["apply", &path, "--wait"]).await;
    assert!(done, "{printed}");
    assert_never_back(&system);
}

#[tokio::test]
async fn store_that_goes_back_is_not_followed() {
    let system = start("back").await;
    let path = file(&system, 1_700);
    let (done, printed) = system.run_command(&["apply", &path, "--wait"]).await;
    assert!(done, "{printed}");
    let revision = operator::read_config(&system.store_client()).await.expect("readable").revision;
    let old = serde_json::json!({ "nonce": "old", "draining": [], "text": text(2_000) });
    system.kv.force_put(store::CONFIG_KEY, old.to_string().as_bytes(), 1);
    // Cut the watches, so that the processes read the store again.
    system.store.faults.set(fault::Faults { outage: true, ..Default::default() });
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    system.store.faults.set(fault::Faults::default());
    let mut fresh = system;
    fresh.nodes[0].sidecar = None;
    fresh.start_sidecar(0);
    let told = async || revision_of(fresh.nodes[0].address).await == Some(revision.0);
    assert!(cluster::wait_until(IN_FORCE_LIMIT, told).await, "a peer knows better than the store");
    for entry in &fresh.entries {
        assert_eq!(revision_of(entry.peer_address).await, Some(revision.0));
    }
    assert_never_back(&fresh);
}

#[tokio::test]
async fn requests_follow_each_change_without_failing() {
    let system = start("follow").await;
    let client = http::client(true);
    let entry = system.entries[0].address;
    let load = tokio::spawn(async move {
        let mut statuses = std::collections::BTreeMap::new();
        for number in 0..150 {
            let body = serde_json::json!({ "question": number.to_string() });
            let call = cluster::Call::new("/pipelines/fitting-guide", "counter", body);
            let answer = call.send(&client, entry).await.expect("a response");
            *statuses.entry(answer.status).or_insert(0) += 1;
        }
        statuses
    });
    for change in 0..6 {
        let mut value: serde_json::Value = serde_json::from_str(&text(2_000)).expect("JSON");
        let name = format!("extra-{change}");
        value["pipelines"][name.as_str()] = value["pipelines"]["fitting-guide"].clone();
        value["services"]["generator"]["concurrency"] = (4 + change).into();
        system.apply(&value.to_string()).await;
        let added = cluster::Call::new(
            &format!("/pipelines/{name}"),
            "counter",
            serde_json::json!({ "question": "new" }),
        );
        let client = http::client(true);
        let serves = async || {
            let answer = added.send(&client, entry).await;
            answer.is_some_and(|answer| answer.status == 200)
        };
        assert!(cluster::wait_until(IN_FORCE_LIMIT, serves).await, "{name}");
    }
    let statuses = load.await.expect("no panic");
    assert_eq!(statuses, std::collections::BTreeMap::from([(200, 150)]));
    let current = operator::read_config(&system.store_client()).await.expect("readable");
    assert!(current.revision > id::Revision(0));
}
