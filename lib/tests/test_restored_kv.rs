//! The key-value service of entries and sidecars after it was restored from a backup.

use std::sync;
use std::sync::atomic;
use std::time;

use bramleyshelf_lib::store::Store as _;
use bramleyshelf_lib::{config_sync, http, id, operator, registry, revision, store};
use bramleyshelf_testutils::{kv, server};
use tokio::sync::watch;

/// Starts a store and returns it with a client.
async fn start() -> (kv::Kv, store::Etcd, server::Running) {
    let kv = kv::Kv::default();
    let running = server::start("127.0.0.1:0".parse().expect("an address"), kv.clone()).await;
    let client = store::Etcd::new(&format!("http://{}", running.address));
    (kv, client, running)
}

async fn put(client: &store::Etcd, key: &str, value: &str) {
    let write = store::Write::Put(key.to_owned(), value.to_owned().into(), None);
    assert!(client.commit(&[], &[write]).await.expect("an answer").is_applied);
}

fn text_of(snapshot: &store::Snapshot) -> Vec<(String, String)> {
    let text = |entry: &store::Entry| {
        (entry.key.clone(), String::from_utf8_lossy(&entry.value).into_owned())
    };
    snapshot.entries.iter().map(text).collect()
}

#[tokio::test]
async fn mirror_shows_what_a_restored_store_has() {
    let (kv, client, _running) = start().await;
    let mut mirror = store::Mirror::default();
    put(&client, "/a/1", "old").await;
    let backup = kv.backup();
    for restore in 0..3 {
        // The restored store has fewer, as many and more revisions than the mirror has seen.
        put(&client, "/a/1", "lost").await;
        put(&client, "/a/1", "lost too").await;
        mirror.update(&client, "/a/").await.expect("an answer");
        kv.restore(backup.clone());
        for number in 0..=restore {
            put(&client, "/b/1", &number.to_string()).await;
        }
        let snapshot = mirror.update(&client, "/a/").await.expect("an answer");
        assert_eq!(text_of(&snapshot), [("/a/1".to_owned(), "old".to_owned())], "{restore}");
    }
}

const TEXT: &str = include_str!("../../examples/takbaerer.json");

/// Process that reports a revision to operators and follows the store.
struct Process {
    active: config_sync::ActiveSender,
    /// Revision that it reports; that of its configuration if it is `None`.
    reported: Option<id::Revision>,
}

#[derive(Clone)]
struct StatusHandler(sync::Arc<Process>);

impl http::Handler for StatusHandler {
    async fn handle(
        &self,
        _request: hyper::Request<hyper::body::Incoming>,
    ) -> hyper::Response<http::Body> {
        let active = self.0.active.borrow().revision;
        http::respond_json(
            200,
            &serde_json::json!({
                "instance": "entry-0", "revision": self.0.reported.unwrap_or(active),
                "source": "store", "draining": false, "drained": false, "open": 0,
            }),
        )
    }
}

impl Process {
    /// Starts a process and registers it in the store.
    async fn start(client: &store::Etcd, reported: Option<id::Revision>) -> sync::Arc<Self> {
        let (active, _) = watch::channel(revision::ActiveConfig::default());
        let process = sync::Arc::new(Self { active, reported });
        let any_port = "127.0.0.1:0".parse().expect("an address");
        let listener = http::listen(any_port).await.expect("a free port");
        let address = listener.local_addr().expect("it listens");
        let handler = StatusHandler(process.clone());
        tokio::spawn(async move {
            let (_stop, stopping) = watch::channel(false);
            http::serve(listener, handler, stopping).await;
        });
        let entry = serde_json::json!({ "role": "entry", "address": address, "domain": "a" });
        put(client, &format!("{}entry/entry-0", registry::PREFIX), &entry.to_string()).await;
        process
    }

    /// Reads the store and returns the nonce of the configuration in force.
    async fn read(&self, client: &store::Etcd) -> String {
        config_sync::read_store(client, &self.active).await.expect("an answer");
        self.active.borrow().stored.nonce.clone()
    }
}

async fn apply(client: &store::Etcd, nonce: &str) -> id::Revision {
    operator::apply(client, TEXT, None, nonce).await.expect("it is accepted")
}

/// Value of a release whose values had no number.
fn unnumbered(nonce: &str) -> String {
    let text = TEXT.to_owned();
    let stored = revision::StoredConfig { nonce: nonce.to_owned(), text, ..Default::default() };
    serde_json::json!(stored).to_string()
}

/// The operator applies it once, as on any other day.
#[tokio::test]
async fn configuration_applied_after_a_restore_comes_into_force() {
    let (kv, client, _running) = start().await;
    let process = Process::start(&client, None).await;
    apply(&client, "first").await;
    let backup = kv.backup();
    apply(&client, "second").await;
    let third = apply(&client, "third").await;
    assert_eq!(process.read(&client).await, "third");
    kv.restore(backup);
    assert_eq!(process.read(&client).await, "third", "the older copy is not put into force");
    assert_eq!(process.active.borrow().revision, third);
    apply(&client, "fourth").await;
    assert_eq!(process.read(&client).await, "fourth");
}

/// The same, with configurations that were written by a release whose values had no number.
#[tokio::test]
async fn configuration_applied_over_a_restored_one_without_a_number_comes_into_force() {
    let (kv, client, _running) = start().await;
    let process = Process::start(&client, None).await;
    put(&client, store::CONFIG_KEY, &unnumbered("first")).await;
    let backup = kv.backup();
    put(&client, store::CONFIG_KEY, &unnumbered("second")).await;
    put(&client, store::CONFIG_KEY, &unnumbered("third")).await;
    assert_eq!(process.read(&client).await, "third");
    kv.restore(backup);
    assert_eq!(process.read(&client).await, "third", "the older copy is not put into force");
    apply(&client, "fourth").await;
    assert_eq!(process.read(&client).await, "fourth");
    // The former release's command writes no number, so its value counts as old. The alarm shows it.
    put(&client, store::CONFIG_KEY, &unnumbered("fifth")).await;
    assert_eq!(process.read(&client).await, "fourth");
    apply(&client, "sixth").await;
    assert_eq!(process.read(&client).await, "sixth");
}

/// Guards against a number that comes from the clock alone: an operator whose clock was ahead has
/// applied the configuration that processes have in force.
#[tokio::test]
async fn revision_is_above_those_of_processes() {
    let (_kv, client, _running) = start().await;
    let ahead = id::Revision(9_000_000_000_000);
    Process::start(&client, Some(ahead)).await;
    assert_eq!(apply(&client, "first").await, id::Revision(ahead.0 + 1));
}

/// Guards against a process that was down while `apply` asked the others, and is not in the restored
/// store: the time puts the revision above the one that it has.
#[tokio::test]
async fn revision_is_above_that_of_a_process_that_does_not_answer() {
    let (kv, client, _running) = start().await;
    let process = Process::start(&client, Some(id::Revision(0))).await;
    let backup = kv.backup();
    apply(&client, "first").await;
    assert_eq!(process.read(&client).await, "first");
    kv.restore(backup);
    tokio::time::sleep(time::Duration::from_millis(2)).await;
    apply(&client, "second").await;
    assert_eq!(process.read(&client).await, "second");
}

/// Guards against two operators who apply at the same time and both believe that theirs is in force.
#[tokio::test]
async fn one_of_two_concurrent_applies_fails() {
    let (_kv, client, _running) = start().await;
    let process = Process::start(&client, None).await;
    apply(&client, "first").await;
    let (second, third) = tokio::join!(
        operator::apply(&client, TEXT, None, "second"),
        operator::apply(&client, TEXT, None, "third"),
    );
    let (accepted, nonce) = if second.is_ok() { (&second, "second") } else { (&third, "third") };
    assert!(second.is_ok() != third.is_ok(), "{second:?} {third:?}");
    assert_eq!(process.read(&client).await, nonce);
    assert_eq!(process.active.borrow().revision, *accepted.as_ref().expect("it is accepted"));
}

/// Store that is restored just before its first write, after processes have a later configuration.
#[derive(Clone)]
struct RestoredStore {
    inner: store::Etcd,
    restore: sync::Arc<dyn Fn() + Send + Sync>,
    writes: sync::Arc<atomic::AtomicU32>,
}

impl store::Store for RestoredStore {
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
        if self.writes.fetch_add(1, atomic::Ordering::Relaxed) == 0 {
            (self.restore)();
        }
        self.inner.commit(compares, writes).await
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

/// Guards against a configuration that is in the store and nowhere in force: between its read and its
/// write another one was applied, came into force and was lost by a restore, so that the write finds
/// the store as it was read.
#[tokio::test]
async fn restore_between_the_read_and_the_write_of_apply_is_noticed() {
    let (kv, client, _running) = start().await;
    let process = Process::start(&client, None).await;
    apply(&client, "first").await;
    let backup = kv.backup();
    // By the clock of the other operator it is a minute later.
    let lost_number = id::Revision(process_time() + 60_000);
    let (lost_kv, lost_process) = (kv.clone(), process.clone());
    let restore = move || {
        let stored = revision::StoredConfig {
            nonce: "lost".to_owned(),
            text: TEXT.to_owned(),
            ..Default::default()
        };
        let source = revision::Source::Store;
        assert!(config_sync::activate_if_newer(&lost_process.active, lost_number, stored, source));
        lost_kv.restore(backup.clone());
    };
    let store = RestoredStore {
        inner: client.clone(),
        restore: sync::Arc::new(restore),
        writes: sync::Arc::default(),
    };
    let second = operator::apply(&store, TEXT, None, "second").await.expect("it is accepted");
    assert!(second > lost_number);
    assert_eq!(process.read(&client).await, "second");
    assert_eq!(process.active.borrow().revision, second);
}

fn process_time() -> u64 {
    let since_epoch = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    u64::try_from(since_epoch.expect("after the epoch").as_millis()).expect("it fits")
}

/// Guards against deltas and full copies of peers that lose the order of numbers.
#[test]
fn updates_of_peers_keep_the_number() {
    let config = |nonce: &str| revision::StoredConfig {
        nonce: nonce.to_owned(),
        text: TEXT.to_owned(),
        ..Default::default()
    };
    let mut sender = revision::ActiveConfig::default();
    let mut receiver = revision::ActiveConfig::default();
    // A revision of the store, then numbers.
    for (number, nonce) in [(57, "store"), (1_800_000_000_000, "a"), (1_800_000_000_005, "b")] {
        let number = id::Revision(number);
        let verdict = revision::evaluate(&sender, number, config(nonce), revision::Source::Store);
        let revision::Verdict::Activated(next) = verdict else { panic!("{verdict:?}") };
        sender = next;
        let update = revision::update_for(&sender, receiver.revision).expect("a newer one");
        let (received, stored) = match update {
            revision::Update::Full { revision, stored } => (revision, stored),
            revision::Update::Delta(delta) => {
                (delta.revision, delta.apply(&receiver.stored).expect("it applies"))
            }
        };
        assert_eq!(received, number);
        let verdict = revision::evaluate(&receiver, received, stored, revision::Source::Peer);
        let revision::Verdict::Activated(next) = verdict else { panic!("{verdict:?}") };
        receiver = next;
        assert_eq!(receiver.stored.nonce, nonce);
        assert!(revision::update_for(&sender, receiver.revision).is_none());
    }
    let older =
        revision::evaluate(&receiver, id::Revision(58), config("c"), revision::Source::Store);
    assert!(matches!(older, revision::Verdict::Older), "a revision of the store is older");
}

#[test]
fn next_revision_is_above_all_known_ones_and_the_time() {
    let next = |known: &[u64], millis| {
        let known = known.iter().copied().map(id::Revision);
        revision::next_revision(known, time::Duration::from_millis(millis)).0
    };
    assert_eq!(next(&[], 1_000), 1_000);
    assert_eq!(next(&[57, 3], 1_000), 1_000);
    assert_eq!(next(&[57, 1_000], 1_000), 1_001);
    assert_eq!(next(&[5_000, 57], 1_000), 5_001, "the clock of another operator was ahead");
}

/// Guards against values that the release before cannot read, or that this one reads wrongly.
#[test]
fn stored_values_of_both_releases_can_be_read() {
    let old: revision::StoredValue = serde_json::from_str(&unnumbered("old")).expect("readable");
    assert_eq!((old.revision(57), old.config.nonce.as_str()), (id::Revision(57), "old"));
    let number = id::Revision(1_800_000_000_000);
    let new = revision::StoredValue { number: Some(number), config: old.config };
    let text = serde_json::json!(new).to_string();
    let read: revision::StoredValue = serde_json::from_str(&text).expect("readable");
    assert_eq!(read.revision(57), number);
    let by_old: revision::StoredConfig = serde_json::from_str(&text).expect("readable");
    assert_eq!(by_old, new.config);
}
