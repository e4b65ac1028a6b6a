//! Keeps a process at the newest configuration, through a watch of the store or through peers.
//!
//! Peers are asked at intervals, and at once when a message from one of them reports a higher
//! revision.

use std::net;
use std::time;

use tokio::sync::{mpsc, watch};

use crate::http;
use crate::id;
use crate::peer;
use crate::revision;
use crate::store;
use crate::store::Watch as _;

/// Mean interval between two requests to peers for a newer configuration.
const POLL_INTERVAL: time::Duration = time::Duration::from_secs(4);
/// Pause before the first reconnection to the store; doubles with each failure up to
/// [`MAX_BACKOFF`].
const FIRST_BACKOFF: time::Duration = time::Duration::from_millis(200);
/// Longest pause before a reconnection to the store.
const MAX_BACKOFF: time::Duration = time::Duration::from_secs(5);
/// Time after which the key is read again and the watch is renewed, in case the connection has
/// failed without an error.
const REREAD_INTERVAL: time::Duration = time::Duration::from_mins(1);
/// Maximum number of peers taken from hints, besides those of the settings.
const MAX_HINTED_PEERS: usize = 4;

/// A hint that another process may have a newer configuration.
#[derive(Clone, Copy, Debug)]
pub struct Hint {
    /// Address at which the process can be asked for it.
    pub address: net::SocketAddr,
    /// Revision that the process reported in a message.
    pub revision: id::Revision,
}

/// Sender of the channel from which all other tasks receive the active configuration.
pub type ActiveSender = watch::Sender<revision::ActiveConfig>;

/// Activates a received configuration if it is newer and valid; returns whether it was activated.
pub fn activate_if_newer(
    active: &ActiveSender,
    revision: id::Revision,
    stored: revision::StoredConfig,
    source: revision::Source,
) -> bool {
    let verdict = revision::evaluate(&active.borrow(), revision, stored, source);
    match verdict {
        revision::Verdict::Activated(next) => {
            let services = next.config.services.len();
            log::info!(
                "event=config_in_force revision={revision} source={source} services={services}"
            );
            metrics::gauge!("config_revision").set(revision.0 as f64);
            active.send_replace(next);
            true
        }
        revision::Verdict::Unchanged => false,
        revision::Verdict::Older => {
            if source == revision::Source::Store {
                let current = active.borrow().revision;
                log::error!(
                    "event=store_went_back shown={revision} in_force={current} \
                     remedy=\"see docs/operations/alarms.md#store_went_back\""
                );
                metrics::counter!("config_store_went_back").increment(1);
            }
            false
        }
        revision::Verdict::Invalid(errors) => {
            log::error!("event=config_invalid revision={revision} fault={:?}", errors.to_string());
            metrics::counter!("config_invalid").increment(1);
            false
        }
    }
}

/// Watches the configuration in the store for as long as the process runs.
///
/// Reconnects with exponential backoff when the watch fails.
pub async fn follow_store<S: store::Store>(store: S, active: ActiveSender, mut rng: fastrand::Rng) {
    let mut backoff = FIRST_BACKOFF;
    loop {
        match follow_once(&store, &active).await {
            Ok(()) => backoff = FIRST_BACKOFF,
            Err(e) => {
                log::warn!("event=store_watch_lost error={:?}", e.to_string());
                metrics::counter!("config_watch_lost").increment(1);
                // Jitter keeps the processes from all connecting to a recovered store at once.
                let jitter = rng.f64() + 0.5;
                tokio::time::sleep(backoff.mul_f64(jitter)).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}

/// Reads the configuration and watches it for [`REREAD_INTERVAL`].
///
/// # Errors
/// Fails as soon as the read or the watch fails.
async fn follow_once<S: store::Store>(
    store: &S,
    active: &ActiveSender,
) -> Result<(), store::StoreError> {
    let revision = read_store(store, active).await?;
    let mut watch = store.watch(store::CONFIG_KEY, revision + 1).await?;
    let deadline = tokio::time::Instant::now() + REREAD_INTERVAL;
    loop {
        let Ok(entries) = tokio::time::timeout_at(deadline, watch.next()).await else {
            return Ok(());
        };
        for entry in entries? {
            activate_entry(active, &entry);
        }
    }
}

/// Reads the configuration from the store once and activates it if it is newer; returns the store's
/// revision.
///
/// Logs an error if the store has no configuration although this process has one, as after the
/// loss of the store's data.
///
/// # Errors
/// Fails if the store does not answer.
pub async fn read_store<S: store::Store>(
    store: &S,
    active: &ActiveSender,
) -> Result<u64, store::StoreError> {
    let snapshot = store.range(store::CONFIG_KEY, false).await?;
    let current = active.borrow().revision;
    match snapshot.entries.first() {
        Some(entry) => activate_entry(active, entry),
        None if current > id::Revision(0) => {
            log::error!("event=store_went_back shown=nothing in_force={current}");
            metrics::counter!("config_store_went_back").increment(1);
        }
        None => {}
    }
    Ok(snapshot.revision)
}

fn activate_entry(active: &ActiveSender, entry: &store::Entry) {
    match serde_json::from_slice::<revision::StoredValue>(&entry.value) {
        Ok(value) => {
            let revision = value.revision(entry.mod_revision);
            activate_if_newer(active, revision, value.config, revision::Source::Store);
        }
        Err(e) => log::error!("event=config_unreadable error={:?}", e.to_string()),
    }
}

/// Peers that are asked for a newer configuration, in turn.
#[derive(Debug)]
struct Peers {
    /// Peers of the settings.
    configured: Vec<net::SocketAddr>,
    /// Peers of hints, oldest first.
    hinted: std::collections::VecDeque<net::SocketAddr>,
    /// Number of peers returned so far by [`Self::next`]; determines the next one.
    request_count: usize,
}

impl Peers {
    /// Adds the peer of a hint; replaces the oldest one if there are too many.
    fn add_hinted(&mut self, address: net::SocketAddr) {
        if self.configured.contains(&address) || self.hinted.contains(&address) {
            return;
        }
        if self.hinted.len() == MAX_HINTED_PEERS {
            self.hinted.pop_front();
        }
        self.hinted.push_back(address);
    }

    /// Returns the peer to ask next, in round-robin order; `None` if there are no peers.
    fn next(&mut self) -> Option<net::SocketAddr> {
        let peer_count = self.configured.len() + self.hinted.len();
        if peer_count == 0 {
            return None;
        }
        let index = self.request_count % peer_count;
        self.request_count = self.request_count.wrapping_add(1);
        self.configured
            .get(index)
            .or_else(|| self.hinted.get(index - self.configured.len()))
            .copied()
    }
}

/// Requests newer configurations from peers: on each hint at once, otherwise at intervals.
///
/// If there is no peer or it does not answer, the store is read instead, provided that
/// `reads_store` is set. It is false for a process that watches the store itself.
pub async fn follow_peers<S: store::Store>(
    store: S,
    configured: Vec<net::SocketAddr>,
    active: ActiveSender,
    mut hints: mpsc::Receiver<Hint>,
    reads_store: bool,
    mut rng: fastrand::Rng,
) {
    let client = http::peer_client();
    let mut peers =
        Peers { configured, hinted: std::collections::VecDeque::new(), request_count: 0 };
    loop {
        let current = active.borrow().revision;
        let pause = if current == id::Revision(0) { FIRST_BACKOFF } else { POLL_INTERVAL };
        let hint = http::with_timeout(pause.mul_f64(rng.f64() + 0.5), hints.recv()).await;
        let peer = match hint {
            Some(None) => return,
            Some(Some(hint)) => {
                peers.add_hinted(hint.address);
                if hint.revision <= active.borrow().revision {
                    continue;
                }
                Some(hint.address)
            }
            None => peers.next(),
        };
        let has_answered = match peer {
            Some(address) => fetch_update(&client, address, &active).await,
            None => false,
        };
        if !has_answered && reads_store {
            // A read of the store costs more than a request to a peer, so it is the last resort.
            let _ = read_store(&store, &active).await;
        }
    }
}

/// Requests a newer configuration from a peer; returns whether the peer answered.
async fn fetch_update(
    client: &http::Client,
    address: net::SocketAddr,
    active: &ActiveSender,
) -> bool {
    let current = active.borrow().revision;
    let update = match peer::fetch_config(client, address, current).await {
        Ok(None) => return true,
        Ok(Some(update)) => update,
        Err(e) => {
            log::debug!("event=peer_config_failed peer={address} error={:?}", e.to_string());
            return false;
        }
    };
    let stored = active.borrow().stored.clone();
    match update {
        revision::Update::Full { revision, stored } => {
            activate_if_newer(active, revision, stored, revision::Source::Peer);
        }
        revision::Update::Delta(delta) => match delta.apply(&stored) {
            Some(next) => {
                activate_if_newer(active, delta.revision, next, revision::Source::Peer);
            }
            // Another configuration was activated here in the meantime, so the delta does not
            // apply.
            None => return fetch_full(client, address, active).await,
        },
    }
    true
}

/// Requests the full configuration from a peer; returns whether it was received.
async fn fetch_full(
    client: &http::Client,
    address: net::SocketAddr,
    active: &ActiveSender,
) -> bool {
    let fetched = peer::fetch_config(client, address, id::Revision(0)).await;
    let Ok(Some(revision::Update::Full { revision, stored })) = fetched else {
        return false;
    };
    activate_if_newer(active, revision, stored, revision::Source::Peer);
    true
}
