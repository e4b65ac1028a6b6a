//! Keeps a process at the newest configuration: by the store's watch, or from any process that
//! shows a higher revision.

use std::net;
use std::time;

use tokio::sync::{mpsc, watch};

use crate::http;
use crate::id;
use crate::peer;
use crate::revision;
use crate::store;
use crate::store::Watch as _;

/// Pause between two questions to peers.
const POLL_INTERVAL: time::Duration = time::Duration::from_secs(4);
/// Pause before the first attempt to reach the store again; doubles up to the longest one.
const FIRST_BACKOFF: time::Duration = time::Duration::from_millis(200);
/// Longest pause before the store is tried again.
const MAX_BACKOFF: time::Duration = time::Duration::from_secs(5);
/// Age of a watch after which the key is read again, in case that the watch went silent.
const REREAD_INTERVAL: time::Duration = time::Duration::from_mins(1);
/// Peers that are remembered besides those of the settings.
const LEARNED_PEERS: usize = 4;

/// A hint that the process at the address has a higher revision.
#[derive(Clone, Copy, Debug)]
pub struct Hint {
    /// Where to ask.
    pub address: net::SocketAddr,
    /// What it showed.
    pub revision: id::Revision,
}

/// Configuration in force, shared with the other tasks of the process.
pub type ActiveSender = watch::Sender<revision::ActiveConfig>;

/// Offers a configuration to the process; returns whether it came into force.
pub fn activate_if_newer(
    in_force: &ActiveSender,
    revision: id::Revision,
    accepted: revision::StoredConfig,
    source: revision::Source,
) -> bool {
    let verdict = revision::evaluate(&in_force.borrow(), revision, accepted, source);
    match verdict {
        revision::Verdict::Activated(next) => {
            let services = next.config.services.len();
            log::info!(
                "event=config_in_force revision={revision} source={source} services={services}"
            );
            metrics::gauge!("config_revision").set(revision.0 as f64);
            in_force.send_replace(next);
            true
        }
        revision::Verdict::Unchanged => false,
        revision::Verdict::Older => {
            if source == revision::Source::Store {
                let current = in_force.borrow().revision;
                log::error!(
                    "event=store_went_back shown={revision} in_force={current} \
                     remedy=\"see docs/operations/alarms.md#store_went_back\""
                );
                metrics::counter!("config_store_went_back").increment(1);
            }
            false
        }
        revision::Verdict::Invalid(faults) => {
            log::error!("event=config_invalid revision={revision} fault={:?}", faults.to_string());
            metrics::counter!("config_invalid").increment(1);
            false
        }
    }
}

/// Follows the store's watch for as long as the process runs.
pub async fn follow_store<S: store::Store>(
    store: S,
    in_force: ActiveSender,
    mut rng: fastrand::Rng,
) {
    let mut backoff = FIRST_BACKOFF;
    loop {
        match follow_once(&store, &in_force).await {
            Ok(()) => backoff = FIRST_BACKOFF,
            Err(e) => {
                log::warn!("event=store_watch_lost error={:?}", e.to_string());
                metrics::counter!("config_watch_lost").increment(1);
                // Jitter keeps the fleet from asking a returning store at one moment.
                let jitter = rng.f64() + 0.5;
                tokio::time::sleep(backoff.mul_f64(jitter)).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}

async fn follow_once<S: store::Store>(
    store: &S,
    in_force: &ActiveSender,
) -> Result<(), store::StoreError> {
    let revision = read_store(store, in_force).await?;
    let mut watch = store.watch(store::CONFIG_KEY, revision + 1).await?;
    let until = tokio::time::Instant::now() + REREAD_INTERVAL;
    loop {
        let Ok(entries) = tokio::time::timeout_at(until, watch.next()).await else {
            return Ok(());
        };
        for entry in entries? {
            offer_entry(in_force, &entry);
        }
    }
}

/// Reads the store once; returns the store's revision.
///
/// # Errors
/// Fails if the store does not answer.
pub async fn read_store<S: store::Store>(
    store: &S,
    in_force: &ActiveSender,
) -> Result<u64, store::StoreError> {
    let snapshot = store.range(store::CONFIG_KEY, false).await?;
    let known = in_force.borrow().revision;
    match snapshot.entries.first() {
        Some(entry) => offer_entry(in_force, entry),
        None if known > id::Revision(0) => {
            log::error!("event=store_went_back shown=nothing in_force={known}");
            metrics::counter!("config_store_went_back").increment(1);
        }
        None => {}
    }
    Ok(snapshot.revision)
}

fn offer_entry(in_force: &ActiveSender, entry: &store::Entry) {
    match serde_json::from_slice(&entry.value) {
        Ok(accepted) => {
            let revision = id::Revision(entry.mod_revision);
            activate_if_newer(in_force, revision, accepted, revision::Source::Store);
        }
        Err(e) => log::error!("event=config_unreadable error={:?}", e.to_string()),
    }
}

/// Peers that may know a newer configuration, those of the settings first.
#[derive(Debug)]
struct Peers {
    fixed: Vec<net::SocketAddr>,
    learned: std::collections::VecDeque<net::SocketAddr>,
    turn: usize,
}

impl Peers {
    fn learn(&mut self, address: net::SocketAddr) {
        if self.fixed.contains(&address) || self.learned.contains(&address) {
            return;
        }
        if self.learned.len() == LEARNED_PEERS {
            self.learned.pop_front();
        }
        self.learned.push_back(address);
    }

    fn next(&mut self) -> Option<net::SocketAddr> {
        let all = self.fixed.len() + self.learned.len();
        if all == 0 {
            return None;
        }
        let turn = self.turn % all;
        self.turn = self.turn.wrapping_add(1);
        self.fixed.get(turn).or_else(|| self.learned.get(turn - self.fixed.len())).copied()
    }
}

/// Asks peers for a newer configuration: at once on a hint, else now and then.
///
/// `poll` is false for a process that follows the store itself; it asks peers only on hints, and
/// while it has no configuration or the store is out.
pub async fn follow_peers<S: store::Store>(
    store: S,
    fixed: Vec<net::SocketAddr>,
    in_force: ActiveSender,
    mut hints: mpsc::Receiver<Hint>,
    poll: bool,
    mut rng: fastrand::Rng,
) {
    let client = http::peer_client();
    let mut peers = Peers { fixed, learned: std::collections::VecDeque::new(), turn: 0 };
    loop {
        let known = in_force.borrow().revision;
        let pause = if known == id::Revision(0) { FIRST_BACKOFF } else { POLL_INTERVAL };
        let hint = http::with_timeout(pause.mul_f64(rng.f64() + 0.5), hints.recv()).await;
        let asked = match hint {
            Some(None) => return,
            Some(Some(hint)) => {
                peers.learn(hint.address);
                if hint.revision <= in_force.borrow().revision {
                    continue;
                }
                Some(hint.address)
            }
            None => peers.next(),
        };
        let answered = match asked {
            Some(address) => ask(&client, address, &in_force).await,
            None => false,
        };
        if !answered && poll {
            // No peer answers: a read of the store is worth its cost.
            let _ = read_store(&store, &in_force).await;
        }
    }
}

async fn ask(client: &http::Client, address: net::SocketAddr, in_force: &ActiveSender) -> bool {
    let known = in_force.borrow().revision;
    let passed = match peer::fetch_config(client, address, known).await {
        Ok(None) => return true,
        Ok(Some(passed)) => passed,
        Err(e) => {
            log::debug!("event=peer_config_failed peer={address} error={:?}", e.to_string());
            return false;
        }
    };
    let accepted = in_force.borrow().stored.clone();
    match passed {
        revision::Update::Full { revision, stored: accepted } => {
            activate_if_newer(in_force, revision, accepted, revision::Source::Peer);
        }
        revision::Update::Delta(change) => match change.apply(&accepted) {
            Some(next) => {
                activate_if_newer(in_force, change.revision, next, revision::Source::Peer);
            }
            // Another change came into force here meanwhile: all of it serves in any case.
            None => return fetch_whole(client, address, in_force).await,
        },
    }
    true
}

async fn fetch_whole(
    client: &http::Client,
    address: net::SocketAddr,
    in_force: &ActiveSender,
) -> bool {
    let fetched = peer::fetch_config(client, address, id::Revision(0)).await;
    let Ok(Some(revision::Update::Full { revision, stored: accepted })) = fetched else {
        return false;
    };
    activate_if_newer(in_force, revision, accepted, revision::Source::Peer);
    true
}
