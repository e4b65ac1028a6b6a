//! Distribution of the configuration between processes: store outages, concurrent operators, lost
//! answers, suspended and newly started processes.

use std::sync;
use std::time;

use bramleyshelf_lib::{http, id, operator, store};
use bramleyshelf_testutils::{cluster, fault, soak};

const PROGRAM: &str = env!("CARGO_BIN_EXE_bramleyshelf");
const CONFIG: &str = include_str!("../../examples/takbaerer.json");
/// Time limit for a change to be in force in all processes.
const IN_FORCE_LIMIT: time::Duration = time::Duration::from_secs(19);

/// Returns the example configuration with this limit on requests, so that each one differs.
fn config_with_limit(requests: u64) -> String {
    let short = soak::shorten_leases(CONFIG);
    let mut value: serde_json::Value = serde_json::from_str(&short).expect("JSON");
    value["limits"]["requests"] = requests.into();
    value.to_string()
}

async fn start(name: &str) -> cluster::Cluster {
    let options = cluster::Options { upstreams: 2, ..cluster::Options::default() };
    cluster::Cluster::start(PROGRAM, name, &config_with_limit(2_000), options).await
}

/// Writes a configuration with this limit on requests to a file and returns its path.
fn write_config(system: &cluster::Cluster, requests: u64) -> String {
    let path = system.directory.join(format!("text-{requests}.json"));
    std::fs::write(&path, config_with_limit(requests)).expect("a writable directory");
    path.to_string_lossy().into_owned()
}

/// Returns the revision that a process has in force, or `None` if it does not answer.
async fn revision_of(address: std::net::SocketAddr) -> Option<u64> {
    cluster::get(address, "/status").await?.json()["revision"].as_u64()
}

/// Waits until all processes have the revision in force; returns whether they have in time.
async fn wait_for_revision(system: &cluster::Cluster, revision: u64) -> bool {
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

/// Returns the revisions that a process has put in force, in order, from its log.
fn logged_revisions(system: &cluster::Cluster, name: &str) -> Vec<u64> {
    let log = system.read_log(name);
    let lines = log.lines().filter(|line| line.contains("event=config_in_force"));
    let number = |line: &str| {
        let (_, rest) = line.split_once("revision=")?;
        rest.split(' ').next()?.parse().ok()
    };
    lines.filter_map(number).collect()
}

/// Checks that no process has put an older revision in force than before.
fn assert_revisions_ascend(system: &cluster::Cluster) {
    let nodes = system.nodes.iter().map(|node| &node.name);
    for name in nodes.chain(system.entries.iter().map(|entry| &entry.name)) {
        let revisions = logged_revisions(system, name);
        assert!(revisions.is_sorted(), "{name}: {revisions:?}");
    }
}

#[tokio::test]
async fn apply_waits_for_every_process() {
    let system = start("apply").await;
    let path = write_config(&system, 1_500);
    let (done, printed) = system.run_command(&["apply", &path, "--wait"]).await;
    assert!(done && printed.contains("in force at 18 process(es)"), "{printed}");
    let (done, printed) = system.run_command(&["show"]).await;
    assert!(done && printed.contains("1500"), "{printed}");
    let path = write_config(&system, 1_400);
    let (done, printed) = system.run_command(&["diff", &path]).await;
    assert!(done && printed.contains("~ /limits/requests: 1500 -> 1400"), "{printed}");
}

#[tokio::test]
async fn apply_lists_processes_without_the_revision() {
    let system = start("late").await;
    let suspended = &system.nodes[0];
    let child = suspended.sidecar.as_ref().expect("it runs");
    child.signal(cluster::Signal::Stop);
    let path = write_config(&system, 1_500);
    let (done, printed) = system.run_command(&["apply", &path, "--wait", "--timeout", "6"]).await;
    assert!(!done && printed.contains(&format!("not in force: {}", suspended.name)), "{printed}");
    child.signal(cluster::Signal::Continue);
    let revision = operator::read_config(&system.store_client()).await.expect("readable").revision;
    assert!(wait_for_revision(&system, revision.0).await, "the suspended process catches up");
    assert_revisions_ascend(&system);
}

#[tokio::test]
async fn one_of_two_concurrent_applies_fails_with_the_difference() {
    let system = start("race").await;
    let revision = operator::read_config(&system.store_client()).await.expect("readable").revision;
    let expect = revision.to_string();
    let paths = [write_config(&system, 1_501), write_config(&system, 1_502)];
    let args = paths.each_ref().map(|path| ["apply", path.as_str(), "--expect", &expect]);
    let (first, second) = tokio::join!(system.run_command(&args[0]), system.run_command(&args[1]));
    let (accepted, rejected) = if first.0 { (first, second) } else { (second, first) };
    assert!(accepted.0 && !rejected.0, "{accepted:?} {rejected:?}");
    assert!(rejected.1.contains("changed since you read it"), "{}", rejected.1);
    assert!(rejected.1.contains("Hint: look at the change with `bramleyshelf diff FILE`"));
}

#[tokio::test]
async fn concurrent_drains_are_all_kept() {
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
async fn apply_reads_back_after_a_lost_answer() {
    let system = start("lost-write").await;
    let before = operator::read_config(&system.store_client()).await.expect("readable").revision;
    // The store answers the read before the write, but its answer to the write is lost.
    let apply = async {
        let store = system.store_client();
        let injector = system.store.faults.clone();
        let writer = tokio::spawn(async move {
            operator::apply(
                &LossyStore { inner: store, injector, has_lost: sync::Arc::default() },
                &config_with_limit(1_600),
                None,
                "mine",
            )
            .await
        });
        writer.await.expect("no panic")
    };
    let revision = apply.await.expect("the outcome is found");
    let found = operator::read_config(&system.store_client()).await.expect("readable");
    assert_eq!((found.revision, found.stored.nonce.as_str()), (revision, "mine"));
    assert!(revision > before);
}

/// Store client that loses the answer to its first write, after the write took effect.
#[derive(Clone)]
struct LossyStore {
    inner: store::Etcd,
    injector: fault::Injector,
    /// Whether an answer has already been lost.
    has_lost: sync::Arc<sync::atomic::AtomicBool>,
}

impl store::Store for LossyStore {
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
        if !self.has_lost.swap(true, sync::atomic::Ordering::Relaxed) {
            self.injector.set(fault::Faults { drop_answer: true, ..Default::default() });
        }
        let outcome = self.inner.commit(compares, writes).await;
        self.injector.set(fault::Faults::default());
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
async fn store_outage_stops_neither_requests_nor_new_processes() {
    let mut system = start("outage").await;
    let client = http::client(true);
    let path = write_config(&system, 1_700);
    let (done, printed) = system.run_command(&["apply", &path, "--wait"]).await;
    assert!(done, "{printed}");
    let revision = operator::read_config(&system.store_client()).await.expect("readable").revision;
    system.store.faults.set(fault::Faults { outage: true, ..Default::default() });
    // A sidecar and an entry are replaced during the outage.
    let sidecar = system.node_index("generator-0");
    system.nodes[sidecar].sidecar = None;
    system.start_sidecar(sidecar);
    system.entries[1].process = None;
    system.start_entry(1);
    let new_addresses = [system.nodes[sidecar].address, system.entries[1].peer_address];
    for address in new_addresses {
        let has_revision = async || revision_of(address).await == Some(revision.0);
        assert!(
            cluster::wait_until(IN_FORCE_LIMIT, has_revision).await,
            "{address} gets the revision from peers"
        );
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
    // After the leases have expired, no sidecar may accept a new key.
    let body = serde_json::json!({ "action": "keyed" });
    let call =
        cluster::Call::new("/services/bookings", "counter", body).with_key(&cluster::new_key());
    let answer = call.send(&client, system.entries[0].address).await.expect("a response");
    assert_eq!((answer.status, answer.ran().as_str()), (502, "unknown"), "{:?}", answer.json());
    system.store.faults.set(fault::Faults::default());
    let is_owned = cluster::wait_until(IN_FORCE_LIMIT, async || system.all_ranges_owned()).await;
    assert!(is_owned, "sidecars own all ranges again once the store answers");
    let path = write_config(&system, 1_800);
    let (done, printed) = system.run_command(&["apply", &path, "--wait"]).await;
    assert!(done, "{printed}");
    assert_revisions_ascend(&system);
}

#[tokio::test]
async fn older_revision_in_the_store_is_ignored() {
    let system = start("back").await;
    let path = write_config(&system, 1_700);
    let (done, printed) = system.run_command(&["apply", &path, "--wait"]).await;
    assert!(done, "{printed}");
    let revision = operator::read_config(&system.store_client()).await.expect("readable").revision;
    let old =
        serde_json::json!({ "nonce": "old", "draining": [], "text": config_with_limit(2_000) });
    system.kv.force_put(store::CONFIG_KEY, old.to_string().as_bytes(), 1);
    // End the watches, so that the processes read the store again.
    system.store.faults.set(fault::Faults { outage: true, ..Default::default() });
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    system.store.faults.set(fault::Faults::default());
    let mut system = system;
    system.nodes[0].sidecar = None;
    system.start_sidecar(0);
    let has_revision = async || revision_of(system.nodes[0].address).await == Some(revision.0);
    assert!(
        cluster::wait_until(IN_FORCE_LIMIT, has_revision).await,
        "a peer's newer revision overrides the store's"
    );
    for entry in &system.entries {
        assert_eq!(revision_of(entry.peer_address).await, Some(revision.0));
    }
    assert_revisions_ascend(&system);
}

#[tokio::test]
async fn requests_succeed_during_configuration_changes() {
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
        let mut value: serde_json::Value =
            serde_json::from_str(&config_with_limit(2_000)).expect("JSON");
        let name = format!("extra-{change}");
        value["pipelines"][name.as_str()] = value["pipelines"]["fitting-guide"].clone();
        value["services"]["generator"]["concurrency"] = (4 + change).into();
        system.apply(&value.to_string()).await;
        let new_pipeline = cluster::Call::new(
            &format!("/pipelines/{name}"),
            "counter",
            serde_json::json!({ "question": "new" }),
        );
        let client = http::client(true);
        let is_served = async || {
            let answer = new_pipeline.send(&client, entry).await;
            answer.is_some_and(|answer| answer.status == 200)
        };
        assert!(cluster::wait_until(IN_FORCE_LIMIT, is_served).await, "{name}");
    }
    let statuses = load.await.expect("no panic");
    assert_eq!(statuses, std::collections::BTreeMap::from([(200, 150)]));
    let current = operator::read_config(&system.store_client()).await.expect("readable");
    assert!(current.revision > id::Revision(0));
}

/// Guards against a last credential that cannot be revoked, and against an empty list of teams that
/// admits any caller.
#[tokio::test]
async fn no_caller_is_accepted_after_the_last_team_is_removed() {
    let system = start("last-team").await;
    let client = http::client(true);
    let mut value: serde_json::Value =
        serde_json::from_str(&config_with_limit(1_700)).expect("JSON");
    value["teams"] = serde_json::json!({});
    let path = system.directory.join("no-team.json");
    std::fs::write(&path, value.to_string()).expect("a writable directory");
    let (done, printed) = system.run_command(&["apply", &path.to_string_lossy(), "--wait"]).await;
    assert!(done, "{printed}");
    for entry in &system.entries {
        for team in ["counter", "another"] {
            let call = cluster::Call::new("/services/availability", team, serde_json::json!({}));
            let answer = call.send(&client, entry.address).await.expect("a response");
            assert_eq!((answer.status, answer.ran().as_str()), (401, "no"), "{team}");
        }
    }
    assert!(system.executions("availability").is_empty());
}

/// Guards against a missing credential that counts as an empty one.
#[tokio::test]
async fn caller_without_a_credential_is_not_the_team_with_an_empty_one() {
    const DIGEST_OF_NOTHING: &str =
        "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855";
    let mut value: serde_json::Value =
        serde_json::from_str(&config_with_limit(2_000)).expect("JSON");
    value["teams"]["counter"]["credential_sha256"] = DIGEST_OF_NOTHING.into();
    let options = cluster::Options { upstreams: 1, entries: 1, ..cluster::Options::default() };
    let config = value.to_string();
    let system = cluster::Cluster::start(PROGRAM, "empty-credential", &config, options).await;
    let address = system.entries[0].address;
    let request = |credential: Option<&str>| {
        let mut builder = hyper::Request::post(format!("http://{address}/services/availability"));
        if let Some(credential) = credential {
            builder = builder.header("authorization", credential);
        }
        builder.body(http::Body::full("{}")).expect("a request")
    };
    for credential in [None, Some("Bearer "), Some("Basic x")] {
        let answer = http::client(false).request(request(credential)).await.expect("a response");
        assert_eq!(answer.status(), 401, "{credential:?}");
    }
    assert!(system.executions("availability").is_empty());
}
