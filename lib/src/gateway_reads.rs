//! Reads that a gateway lives on: the table, the list of upstreams, and the gateways that are alive;
//! and its own announcement.

use std::time;

use tokio::sync::{mpsc, watch};

use crate::clock;
use crate::clock::Clock as _;
use crate::dialect;
use crate::gateway;
use crate::gateway_peers;
use crate::gateway_settings;
use crate::http;
use crate::relay;
use crate::roster;
use crate::upstream_pool;

/// Time that the store has to answer a read.
const READ_TIMEOUT: time::Duration = time::Duration::from_millis(1_800);
/// Pause after a read that failed.
const READ_RETRY: time::Duration = time::Duration::from_millis(300);
/// Longest pause before the gateway that reads for this one is asked again: its reads are as old as
/// its own pause already.
const RELAY_PAUSE: time::Duration = time::Duration::from_millis(500);
/// Pause between two announcements of this gateway.
const ANNOUNCE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Starts the tasks that read the store; returns the one that announces this gateway.
pub fn spawn<S: dialect::GatewayStore>(
    settings: &gateway_settings::Settings,
    source: &S,
    clock: clock::SystemClock,
    newest: watch::Sender<Option<relay::Snapshot>>,
    events: &mpsc::Sender<gateway::Event>,
) -> tokio::task::JoinHandle<()> {
    let me = roster::Peer {
        instance: settings.instance.clone(),
        address: settings.peer_listen,
        domain: settings.domain.clone(),
        weight: settings.weight,
    };
    let keeper = Keeper {
        source: source.clone(),
        clock,
        pool: upstream_pool::Pool::default(),
        readers: relay::ReaderSelector::new(me.instance.clone(), me.domain.clone()),
        newest,
        events: events.clone(),
        store: ["table", "fleet", "peers"].map(|name| Watcher { name, lost: false }),
    };
    tokio::spawn(keeper.run(settings.poll_ms.duration()));
    tokio::spawn(announce(source.clone(), me))
}

/// Logs the loss and the return of a dependency once each.
struct Watcher {
    name: &'static str,
    lost: bool,
}

impl Watcher {
    fn note(&mut self, error: Option<&dialect::StoreError>) {
        match error {
            None if self.lost => log::info!("event=store_regained read={}", self.name),
            Some(e) if !self.lost => {
                log::warn!("event=store_lost read={} error={:?}", self.name, e.to_string());
            }
            _ => {}
        }
        self.lost = error.is_some();
        let outcome = if self.lost { "failed" } else { "ok" };
        metrics::counter!("gateway_store_reads_total", "read" => self.name, "outcome" => outcome)
            .increment(1);
    }
}

async fn within_read<T>(
    work: impl Future<Output = Result<T, dialect::StoreError>>,
) -> Result<T, dialect::StoreError> {
    http::with_timeout(READ_TIMEOUT, work).await.unwrap_or(Err(dialect::StoreError::Unreachable))
}

/// Keeps the reads of a gateway fresh: from the gateway that reads for its failure domain, from the
/// store, or from any other gateway.
struct Keeper<S> {
    source: S,
    clock: clock::SystemClock,
    pool: upstream_pool::Pool,
    readers: relay::ReaderSelector,
    newest: watch::Sender<Option<relay::Snapshot>>,
    events: mpsc::Sender<gateway::Event>,
    store: [Watcher; 3],
}

impl<S: dialect::GatewayStore> Keeper<S> {
    /// Reads again and again.
    async fn run(mut self, pause: time::Duration) {
        loop {
            let next = match self.read().await {
                Some((reads, is_own)) => {
                    self.newest.send_replace(Some(reads.clone()));
                    if pass(reads, &self.events).await.is_err() {
                        return;
                    }
                    if is_own { pause } else { pause.min(RELAY_PAUSE) }
                }
                None => READ_RETRY,
            };
            tokio::time::sleep(next).await;
        }
    }

    /// Returns reads, and whether they come from the store itself.
    async fn read(&mut self) -> Option<(relay::Snapshot, bool)> {
        let known = self.newest.borrow().clone();
        let peers = known.as_ref().map(|known| known.peers.clone()).unwrap_or_default();
        let reader = self.readers.reader(self.clock.now().mono, &peers).cloned();
        if let Some(reader) = reader
            && let Some(reads) = self.ask(&reader, known.as_ref()).await
        {
            return Some((reads, false));
        }
        // While the store is away, somebody else may still reach it; it is tried all the same.
        let mut spare = None;
        if self.has_lost_store() {
            spare = self.ask_any(&peers, known.as_ref()).await;
        }
        if let Some(own) = self.read_store().await {
            return Some((own, true));
        }
        if spare.is_none() {
            spare = self.ask_any(&peers, known.as_ref()).await;
        }
        spare.map(|reads| (reads, false))
    }

    /// Reads the store. If it gives a part only, the loop gets that part, and others get nothing.
    async fn read_store(&mut self) -> Option<relay::Snapshot> {
        let asked = self.clock.now();
        let (table, fleet, peers) = tokio::join!(
            within_read(self.source.table()),
            within_read(self.source.fleet()),
            within_read(self.source.peers()),
        );
        let errors = [table.as_ref().err(), fleet.as_ref().err(), peers.as_ref().err()];
        for (watcher, error) in self.store.iter_mut().zip(errors) {
            watcher.note(error);
        }
        let parts = match (table, fleet, peers) {
            (Ok(table), Ok(fleet), Ok(peers)) => {
                return Some(relay::Snapshot::new(asked, table, fleet, peers));
            }
            (table, fleet, peers) => [
                table.ok().map(|table| gateway::Event::TableRead { sent: asked, table }),
                fleet.ok().map(gateway::Event::UpstreamsListed),
                peers.ok().map(gateway::Event::PeersListed),
            ],
        };
        for part in parts.into_iter().flatten() {
            // Fails only when the process ends.
            let _ = self.events.send(part).await;
        }
        None
    }

    fn has_lost_store(&self) -> bool {
        self.store.iter().any(|watcher| watcher.lost)
    }

    async fn ask_any(
        &mut self,
        peers: &[roster::Peer],
        known: Option<&relay::Snapshot>,
    ) -> Option<relay::Snapshot> {
        let helper = self.readers.fallback(self.clock.now().mono, peers, fastrand::f64())?.clone();
        self.ask(&helper, known).await
    }

    async fn ask(
        &mut self,
        peer: &roster::Peer,
        known: Option<&relay::Snapshot>,
    ) -> Option<relay::Snapshot> {
        let asked = self.clock.now();
        let ask = relay::Snapshot::to_request(known);
        let told = gateway_peers::fetch_reads(&self.pool, peer.address, ask).await;
        let reads = told.and_then(|told| relay::Snapshot::from_response(asked, told, known));
        let outcome = if reads.is_some() { "ok" } else { "failed" };
        metrics::counter!("gateway_relay_reads_total", "outcome" => outcome).increment(1);
        if reads.is_none() {
            log::info!("event=reader_avoided peer={}", peer.instance);
            self.readers.avoid(self.clock.now().mono, &peer.instance);
        }
        reads
    }
}

/// Passes reads to the loop; fails when it has ended.
async fn pass(
    reads: relay::Snapshot,
    events: &mpsc::Sender<gateway::Event>,
) -> Result<(), mpsc::error::SendError<gateway::Event>> {
    let relay::Snapshot { sent: asked, table, fleet, peers, .. } = reads;
    events.send(gateway::Event::TableRead { sent: asked, table }).await?;
    events.send(gateway::Event::UpstreamsListed(fleet.to_vec())).await?;
    events.send(gateway::Event::PeersListed(peers)).await
}

/// Announces this gateway again and again.
async fn announce<S: dialect::GatewayStore>(source: S, me: roster::Peer) {
    let mut watcher = Watcher { name: "announce", lost: false };
    loop {
        let result = within_read(source.announce(&me)).await;
        watcher.note(result.as_ref().err());
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}

/// Takes the announcement of this gateway back, so that no pieces are handed to it any more.
pub async fn withdraw<S: dialect::GatewayStore>(source: S) {
    if let Err(e) = within_read(source.withdraw()).await {
        log::info!("event=withdraw_failed error={:?}", e.to_string());
    }
}
