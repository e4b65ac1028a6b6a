//! Reads of the store by a gateway, each in a task of its own: the table, the list of upstreams, and
//! the gateways that are alive.

use std::time;

use tokio::sync::mpsc;

use crate::clock;
use crate::clock::Clock as _;
use crate::dialect;
use crate::fleet;
use crate::gateway;
use crate::gateway_settings;
use crate::http;
use crate::roster;

/// Time that the store has to answer a read.
const READ_TIMEOUT: time::Duration = time::Duration::from_millis(1_800);
/// Pause after a read that failed.
const READ_RETRY: time::Duration = time::Duration::from_millis(300);
/// Pause between two announcements of this gateway.
const ANNOUNCE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Starts the tasks that read the store; returns the one that announces this gateway.
pub fn spawn<S: dialect::Source>(
    settings: &gateway_settings::Settings,
    source: &S,
    clock: clock::SystemClock,
    reads: &mpsc::Sender<gateway::Event>,
) -> tokio::task::JoinHandle<()> {
    let me = roster::Peer {
        instance: settings.instance.clone(),
        address: settings.peer_listen,
        domain: settings.domain.clone(),
        weight: settings.weight,
    };
    let pause = settings.poll_ms.duration();
    tokio::spawn(poll_peers(source.clone(), reads.clone()));
    tokio::spawn(poll_table(source.clone(), clock, pause, reads.clone()));
    tokio::spawn(poll_fleet(source.clone(), pause, reads.clone()));
    tokio::spawn(announce(source.clone(), me))
}

/// Logs the loss and the return of a dependency once each.
struct Watcher {
    name: &'static str,
    lost: bool,
}

impl Watcher {
    fn note<T>(&mut self, result: &Result<T, dialect::SourceError>) {
        match result {
            Ok(_) if self.lost => log::info!("event=store_regained read={}", self.name),
            Err(e) if !self.lost => {
                log::warn!("event=store_lost read={} error={:?}", self.name, e.to_string());
            }
            _ => {}
        }
        self.lost = result.is_err();
        let outcome = if self.lost { "failed" } else { "ok" };
        metrics::counter!("gateway_store_reads_total", "read" => self.name, "outcome" => outcome)
            .increment(1);
    }
}

async fn within_read<T>(
    work: impl Future<Output = Result<T, dialect::SourceError>>,
) -> Result<T, dialect::SourceError> {
    http::within(READ_TIMEOUT, work).await.unwrap_or(Err(dialect::SourceError::Unreachable))
}

async fn poll_table<S: dialect::Source>(
    source: S,
    clock: clock::SystemClock,
    pause: time::Duration,
    events: mpsc::Sender<gateway::Event>,
) {
    let mut watcher = Watcher { name: "table", lost: false };
    loop {
        let asked = clock.now();
        let result = within_read(source.table()).await;
        watcher.note(&result);
        let next = if result.is_ok() { pause } else { READ_RETRY };
        if let Ok(table) = result
            && events.send(gateway::Event::Table { asked, table }).await.is_err()
        {
            return;
        }
        tokio::time::sleep(next).await;
    }
}

async fn poll_fleet<S: dialect::Source>(
    source: S,
    pause: time::Duration,
    events: mpsc::Sender<gateway::Event>,
) {
    let mut watcher = Watcher { name: "fleet", lost: false };
    loop {
        let result: Result<Vec<fleet::Listed>, _> = within_read(source.fleet()).await;
        watcher.note(&result);
        let next = if result.is_ok() { pause } else { READ_RETRY };
        if let Ok(list) = result
            && events.send(gateway::Event::Listed(list)).await.is_err()
        {
            return;
        }
        tokio::time::sleep(next).await;
    }
}

/// Announces this gateway again and again.
async fn announce<S: dialect::Source>(source: S, me: roster::Peer) {
    let mut watcher = Watcher { name: "announce", lost: false };
    loop {
        let result = within_read(source.announce(&me)).await;
        watcher.note(&result);
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}

/// Takes the announcement of this gateway back, so that no pieces are handed to it any more.
pub async fn withdraw<S: dialect::Source>(source: S) {
    if let Err(e) = within_read(source.withdraw()).await {
        log::info!("event=withdraw_failed error={:?}", e.to_string());
    }
}

async fn poll_peers<S: dialect::Source>(source: S, events: mpsc::Sender<gateway::Event>) {
    let mut watcher = Watcher { name: "peers", lost: false };
    loop {
        let result = within_read(source.peers()).await;
        watcher.note(&result);
        if let Ok(peers) = result
            && events.send(gateway::Event::Peers(peers)).await.is_err()
        {
            return;
        }
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}
