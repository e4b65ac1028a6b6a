//! Background tasks of a gateway that talk to the store: one reads the routing table, the list of
//! upstreams and the announced gateways, the other announces this gateway.

use std::collections;
use std::time;

use tokio::sync::{mpsc, watch};

use crate::clock;
use crate::clock::Clock as _;
use crate::crash_report;
use crate::dialect;
use crate::evacuation;
use crate::gateway;
use crate::gateway_peers;
use crate::gateway_settings;
use crate::http;
use crate::id;
use crate::relay;
use crate::roster;
use crate::store_era;
use crate::upstream_pool;

/// Time within which the store has to answer a read or write.
const READ_TIMEOUT: time::Duration = time::Duration::from_millis(1_800);
/// Pause before the next try after neither the store nor another gateway gave reads.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(300);
/// Longest pause before another gateway is asked again. It is short because relayed reads are
/// already as old as the pause of the gateway that read them.
const MAX_RELAY_PAUSE: time::Duration = time::Duration::from_millis(500);
/// Pause between two announcements of this gateway, which expire unless they are renewed.
const ANNOUNCE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Pause between two reports about crashes, which limits the writes to the store.
const REPORT_PAUSE: time::Duration = time::Duration::from_millis(600);
/// Pause before a report about crashes that has not changed is written again, as it expires.
const REPORT_INTERVAL: time::Duration = time::Duration::from_mins(4);

/// Starts the tasks that read the store, announce this gateway and write its reports about crashes;
/// returns the handle of the one that announces it. Reads go to `events` for the reducer and to
/// `newest` for other gateways.
pub fn spawn<S: dialect::GatewayStore>(
    settings: &gateway_settings::Settings,
    store: &S,
    clock: clock::SystemClock,
    newest: watch::Sender<Option<relay::Snapshot>>,
    events: &mpsc::Sender<gateway::Event>,
    reports: watch::Receiver<crash_report::Report>,
) -> tokio::task::JoinHandle<()> {
    let me = own_peer(settings);
    let reader = StoreReader {
        store: store.clone(),
        clock,
        pool: upstream_pool::Pool::default(),
        readers: relay::ReaderSelector::new(me.instance.clone(), me.domain.clone()),
        newest,
        events: events.clone(),
        health: ["table", "fleet", "peers"].map(|read| ReadHealth { read, is_lost: false }),
        eras: store_era::Tracker::default(),
        follows_evacuations: settings.evacuation_ms.is_some(),
        evacuations: evacuation::Tracker::default(),
    };
    tokio::spawn(reader.run(settings.poll_ms.duration()));
    tokio::spawn(report_crashes(store.clone(), me.instance.clone(), reports));
    tokio::spawn(announce(store.clone(), me))
}

/// Returns this gateway as it announces itself.
pub fn own_peer(settings: &gateway_settings::Settings) -> roster::Peer {
    roster::Peer {
        instance: settings.instance.clone(),
        address: settings.peer_listen,
        domain: settings.domain.clone(),
        weight: settings.effective_weight(),
    }
}

/// Whether one kind of call to the store succeeds. Logs when calls begin to fail and when they
/// succeed again, once each, and counts them.
struct ReadHealth {
    read: &'static str,
    is_lost: bool,
}

impl ReadHealth {
    fn record(&mut self, error: Option<&dialect::StoreError>) {
        match error {
            None if self.is_lost => log::info!("event=store_regained read={}", self.read),
            Some(e) if !self.is_lost => {
                log::warn!("event=store_lost read={} error={:?}", self.read, e.to_string());
            }
            _ => {}
        }
        self.is_lost = error.is_some();
        let outcome = if self.is_lost { "failed" } else { "ok" };
        metrics::counter!("gateway_store_reads_total", "read" => self.read, "outcome" => outcome)
            .increment(1);
    }
}

async fn with_read_timeout<T>(
    work: impl Future<Output = Result<T, dialect::StoreError>>,
) -> Result<T, dialect::StoreError> {
    http::with_timeout(READ_TIMEOUT, work).await.unwrap_or(Err(dialect::StoreError::Unreachable))
}

/// Reads the store for a gateway: through the gateway that reads for its failure domain, from the
/// store itself, or through any other gateway.
struct StoreReader<S> {
    store: S,
    clock: clock::SystemClock,
    pool: upstream_pool::Pool,
    readers: relay::ReaderSelector,
    newest: watch::Sender<Option<relay::Snapshot>>,
    events: mpsc::Sender<gateway::Event>,
    health: [ReadHealth; 3],
    eras: store_era::Tracker,
    /// Whether evacuated failure domains are read and get nothing.
    follows_evacuations: bool,
    evacuations: evacuation::Tracker,
}

impl<S: dialect::GatewayStore> StoreReader<S> {
    /// Reads until the event loop ends, with `pause` between two reads of the store.
    async fn run(mut self, pause: time::Duration) {
        loop {
            let next = match self.read().await {
                Some((reads, is_from_store)) => {
                    self.newest.send_replace(Some(reads.clone()));
                    if send_events(reads, &self.events).await.is_err() {
                        return;
                    }
                    match (self.eras.is_settled(), is_from_store) {
                        (false, _) => RETRY_PAUSE,
                        (true, true) => pause,
                        (true, false) => pause.min(MAX_RELAY_PAUSE),
                    }
                }
                None => RETRY_PAUSE,
            };
            tokio::time::sleep(next).await;
        }
    }

    /// Returns reads and whether they come from the store itself; `None` if every source failed.
    async fn read(&mut self) -> Option<(relay::Snapshot, bool)> {
        let newest = self.newest.borrow().clone();
        let peers = newest.as_ref().map(|newest| newest.gateways.peers.clone()).unwrap_or_default();
        let reader = self.readers.reader(self.clock.now().mono, &peers).cloned();
        if let Some(reader) = reader
            && let Some(reads) = self.fetch_from_peer(&reader, newest.as_ref()).await
        {
            return Some((reads, false));
        }
        // While this gateway cannot reach the store, another one may, and is asked first. Another one
        // may also know a newer table than a restored store. The store is read nevertheless.
        let mut fallback = None;
        if self.has_lost_store() || !self.eras.is_settled() {
            fallback = self.fetch_from_any(&peers, newest.as_ref()).await;
        }
        if let Some(reads) = self.read_store().await {
            return Some((reads.following(fallback.as_ref()), true));
        }
        if fallback.is_none() {
            fallback = self.fetch_from_any(&peers, newest.as_ref()).await;
        }
        fallback.map(|reads| (reads, false))
    }

    /// Reads the store. If only some of the reads succeed, the event loop gets those, but nothing
    /// is returned that could be relayed to other gateways.
    async fn read_store(&mut self) -> Option<relay::Snapshot> {
        let sent = self.clock.now();
        let (keys, fleet, gateways) = tokio::join!(
            with_read_timeout(self.read_operator_keys()),
            with_read_timeout(self.store.fleet()),
            with_read_timeout(self.store.gateways()),
        );
        let eras = [era_of(&keys), era_of(&fleet), era_of(&gateways)];
        let era = eras.into_iter().flatten().max();
        let (keys, fleet, gateways) =
            (value_of(keys, era), value_of(fleet, era), value_of(gateways, era));
        let (table, evacuated) = match keys {
            Ok(keys) => (keys.table, keys.evacuated),
            Err(e) => (Err(e), None),
        };
        let errors = [table.as_ref().err(), fleet.as_ref().err(), gateways.as_ref().err()];
        for (health, error) in self.health.iter_mut().zip(errors) {
            health.record(error);
        }
        let era = era?;
        if !self.enter_era(era).await {
            return None;
        }
        if let Ok(gateways) = &gateways {
            self.eras.record_stated(gateways.settled_era);
        }
        let table = table.map(|stored| self.assess(sent, stored));
        if let Ok(gateways) = &gateways
            && gateways.settled_era.is_none_or(|stated| stated >= era)
        {
            self.evacuations.record_complete();
        }
        let evacuated = self.record_evacuated(sent, evacuated);
        let table = table.map(|known| self.hold_back(known));
        if let Ok(gateways) = &gateways
            && self.eras.is_settled()
            && (!self.follows_evacuations
                || self.evacuations.may_state(sent.mono, gateways.settled_era))
            && gateways.settled_era != Some(era)
        {
            tokio::spawn(record_settled(self.store.clone(), era));
        }
        let parts = match (table, fleet, gateways) {
            (Ok(table), Ok(fleet), Ok(gateways)) => {
                let newest = self.newest.borrow();
                let mut reads = relay::Snapshot::new(sent, era, table, fleet, gateways);
                reads.evacuated = evacuated;
                return Some(reads.following(newest.as_ref()));
            }
            // Domains are evacuated before a table lets requests in.
            (table, fleet, gateways) => [
                evacuated.map(gateway::Event::DomainsEvacuated),
                table.ok().map(table_event),
                fleet.ok().map(gateway::Event::UpstreamsListed),
                gateways.ok().map(gateway::Event::GatewaysListed),
            ],
        };
        for part in parts.into_iter().flatten() {
            // Fails only when the process stops.
            let _ = self.events.send(part).await;
        }
        None
    }

    /// Reads the table and, if they are followed, the evacuated domains.
    async fn read_operator_keys(
        &self,
    ) -> Result<dialect::Read<dialect::OperatorKeys>, dialect::StoreError> {
        if self.follows_evacuations {
            return self.store.operator_keys().await;
        }
        let dialect::Read { era, value } = self.store.table().await?;
        let value = dialect::OperatorKeys { table: Ok(value), evacuated: None };
        Ok(dialect::Read { era, value })
    }

    /// Returns a table that was read from the store, with whether it is certainly the newest one.
    fn assess(&mut self, sent: clock::Now, stored: dialect::StoredTable) -> relay::KnownTable {
        let dialect::StoredTable { table, revision } = stored;
        let mut known = relay::KnownTable { table, revision, confirmed: None };
        if self.eras.record_read(sent.mono, known.stored_version()) {
            known.confirmed = Some(sent);
        }
        known
    }

    /// Leaves a table unconfirmed while evacuated domains may be missing, so that a gateway that has
    /// just started serves nobody.
    fn hold_back(&self, known: relay::KnownTable) -> relay::KnownTable {
        let is_held = self.follows_evacuations && !self.evacuations.is_complete();
        relay::KnownTable { confirmed: known.confirmed.filter(|_| !is_held), ..known }
    }

    /// Records the era of reads. Returns whether they are not outdated.
    async fn enter_era(&mut self, era: store_era::Era) -> bool {
        match self.eras.enter(self.clock.now().mono, era) {
            store_era::Relation::Latest => true,
            store_era::Relation::Restored => {
                // Fails only when the process stops.
                let _ = self.events.send(gateway::Event::StoreRestored).await;
                self.evacuations.record_restore(self.clock.now().mono);
                true
            }
            store_era::Relation::Outdated => false,
        }
    }

    /// Records evacuated domains that were read, and returns those in force; `None` if they are not
    /// followed or were not read.
    fn record_evacuated(
        &mut self,
        sent: clock::Now,
        read: Option<collections::BTreeSet<id::DomainId>>,
    ) -> Option<collections::BTreeSet<id::DomainId>> {
        let read = read.filter(|_| self.follows_evacuations)?;
        let (now, is_settled) = (self.clock.now().mono, self.eras.is_settled());
        self.evacuations.record_read(now, sent.mono, is_settled, read);
        Some(self.evacuations.in_force().clone())
    }

    fn has_lost_store(&self) -> bool {
        self.health.iter().any(|health| health.is_lost)
    }

    /// Asks a gateway that is picked at random.
    async fn fetch_from_any(
        &mut self,
        peers: &[roster::Peer],
        newest: Option<&relay::Snapshot>,
    ) -> Option<relay::Snapshot> {
        let peer = self.readers.fallback(self.clock.now().mono, peers, fastrand::f64())?.clone();
        self.fetch_from_peer(&peer, newest).await
    }

    /// Asks a gateway for its reads; one that does not give fresh reads is avoided for a while.
    async fn fetch_from_peer(
        &mut self,
        peer: &roster::Peer,
        newest: Option<&relay::Snapshot>,
    ) -> Option<relay::Snapshot> {
        let sent = self.clock.now();
        let request = relay::Snapshot::to_request(newest);
        let response = gateway_peers::fetch_reads(&self.pool, peer.address, request).await;
        let reads =
            response.and_then(|response| relay::Snapshot::from_response(sent, response, newest));
        // A gateway that does not follow evacuations would make a domain appear to have returned.
        let reads = reads.filter(|reads| !self.follows_evacuations || reads.evacuated.is_some());
        let outcome = if reads.is_some() { "ok" } else { "failed" };
        metrics::counter!("gateway_relay_reads_total", "outcome" => outcome).increment(1);
        if reads.is_none() {
            log::info!("event=reader_avoided peer={}", peer.instance);
            self.readers.avoid(self.clock.now().mono, &peer.instance);
        }
        let mut reads = reads?;
        if !self.enter_era(reads.era).await {
            return None;
        }
        // A read that confirmed an earlier state of the table may have been sent before the restore.
        let is_confirmed = reads.table.confirmed == Some(reads.sent);
        self.eras.record_relayed(reads.table.stored_version(), is_confirmed);
        if is_confirmed {
            self.evacuations.record_complete();
        }
        reads.evacuated = self.record_evacuated(reads.sent, reads.evacuated.take());
        Some(reads)
    }
}

fn era_of<T>(read: &Result<dialect::Read<T>, dialect::StoreError>) -> Option<store_era::Era> {
    read.as_ref().ok().map(|read| read.era)
}

/// Returns what was read in an era; another part of the same reads belongs to it.
fn value_of<T>(
    read: Result<dialect::Read<T>, dialect::StoreError>,
    era: Option<store_era::Era>,
) -> Result<T, dialect::StoreError> {
    match read {
        Ok(read) if Some(read.era) == era => Ok(read.value),
        Ok(_) => Err(dialect::StoreError::Outdated),
        Err(e) => Err(e),
    }
}

/// Sends reads to the event loop; fails when it has ended.
async fn send_events(
    reads: relay::Snapshot,
    events: &mpsc::Sender<gateway::Event>,
) -> Result<(), mpsc::error::SendError<gateway::Event>> {
    let relay::Snapshot { table, fleet, gateways, evacuated, .. } = reads;
    // Requests are admitted once there is a table, and by then it has to be known which prompts are
    // held back.
    events.send(gateway::Event::GatewaysListed(gateways)).await?;
    if let Some(evacuated) = evacuated {
        events.send(gateway::Event::DomainsEvacuated(evacuated)).await?;
    }
    events.send(gateway::Event::UpstreamsListed(fleet.to_vec())).await?;
    events.send(table_event(table)).await
}

fn table_event(known: relay::KnownTable) -> gateway::Event {
    gateway::Event::TableRead { confirmed: known.confirmed, table: known.table }
}

/// Records in the store that an era is settled. If that fails, the next read tries it again.
async fn record_settled<S: dialect::GatewayStore>(store: S, era: store_era::Era) {
    if let Err(e) = with_read_timeout(store.record_settled(era)).await {
        log::info!("event=settled_era_failed era={era} error={:?}", e.to_string());
    }
}

/// Announces this gateway until the task is aborted.
async fn announce<S: dialect::GatewayStore>(store: S, me: roster::Peer) {
    let mut health = ReadHealth { read: "announce", is_lost: false };
    loop {
        let result = with_read_timeout(store.announce(&me)).await;
        health.record(result.as_ref().err());
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}

/// Writes the reports of this gateway about crashes until the event loop ends.
pub async fn report_crashes<S: dialect::GatewayStore>(
    store: S,
    instance: id::InstanceId,
    mut reports: watch::Receiver<crash_report::Report>,
) {
    let mut health = ReadHealth { read: "report_crashes", is_lost: false };
    let mut eras = store.eras();
    loop {
        tokio::select! {
            changed = reports.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            // A restored store may have lost the report.
            _ = eras.changed(), if !reports.borrow().is_empty() => {}
            () = tokio::time::sleep(REPORT_INTERVAL), if !reports.borrow().is_empty() => {}
        }
        loop {
            let report = reports.borrow_and_update().clone();
            let report = crash_report::GatewayReport { instance: instance.clone(), report };
            let result = with_read_timeout(store.report_crashes(&report)).await;
            health.record(result.as_ref().err());
            tokio::time::sleep(REPORT_PAUSE).await;
            if result.is_ok() {
                break;
            }
        }
    }
}

/// Removes the announcement of this gateway, so that others hand no more pieces over to it.
pub async fn withdraw<S: dialect::GatewayStore>(store: S, instance: id::InstanceId) {
    if let Err(e) = with_read_timeout(store.withdraw(&instance)).await {
        log::info!("event=withdraw_failed error={:?}", e.to_string());
    }
}
