//! The key-value service of entries and sidecars after it was restored from a backup.

use bramleyshelf_lib::store::Store as _;
use bramleyshelf_lib::{config_sync, id, revision, store};
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

/// The operator applies it once, as on any other day.
#[tokio::test]
async fn configuration_applied_after_a_restore_comes_into_force() {
    let (kv, client, _running) = start().await;
    let stored = |nonce: &str| {
        let text = include_str!("../../examples/takbaerer.json").to_owned();
        let stored = revision::StoredConfig { nonce: nonce.to_owned(), text, ..Default::default() };
        serde_json::json!(stored).to_string()
    };
    let (active, _receiver) = watch::channel(revision::ActiveConfig::default());
    put(&client, store::CONFIG_KEY, &stored("first")).await;
    let backup = kv.backup();
    put(&client, store::CONFIG_KEY, &stored("second")).await;
    put(&client, store::CONFIG_KEY, &stored("third")).await;
    config_sync::read_store(&client, &active).await.expect("an answer");
    assert_eq!(active.borrow().stored.nonce, "third");
    kv.restore(backup);
    config_sync::read_store(&client, &active).await.expect("an answer");
    assert_eq!(active.borrow().stored.nonce, "third", "the older copy is not put into force");
    assert!(active.borrow().revision > id::Revision(0));
    put(&client, store::CONFIG_KEY, &stored("fourth")).await;
    config_sync::read_store(&client, &active).await.expect("an answer");
    assert_eq!(active.borrow().stored.nonce, "fourth");
}
