//! Upstreams that a gateway calls itself: which ones exist, which are leaving, and how they behave.
//!
//! Load pattern: upstreams come, go and change their speed at any time, and the platform's list
//! lags behind. What a gateway observes in its own calls takes precedence over reports.

mod limited_upstreams;

use std::collections;
use std::net;
use std::time;

use crate::cold;
use crate::engine_pace;
use crate::gateway;
use crate::id;
use crate::outlier;
use crate::roster;
use crate::routing;
use crate::stated_limits;
use crate::stream_versions;
use crate::unit;
use crate::upstream_notice;

/// Longest time between two lists for which an upstream missing from the second one counts as gone.
/// After a longer gap, the list may lack upstreams that have not had the time to register again.
const MAX_LIST_GAP: time::Duration = time::Duration::from_millis(2_600);
/// Time that missing upstreams have to register again after such a gap.
const REREGISTER_TIME: time::Duration = time::Duration::from_secs(2);
/// Time after a restore of the store in which its list may still show upstreams as they were before.
const STALE_LIST_TIME: time::Duration = time::Duration::from_secs(5);
/// Time for which upstreams that left are remembered, longer than copies of the store are old.
const LEFT_MEMORY: time::Duration = time::Duration::from_mins(1);
/// Weight of a new sample in the slowness of an upstream.
const SLOWNESS_SMOOTHING: f64 = 0.25;
/// Time constant with which the slowness of an upstream returns to 1 without samples.
const SLOWNESS_DECAY: time::Duration = time::Duration::from_secs(3);
/// Age from which a reported load is ignored.
const MAX_LOAD_AGE: time::Duration = time::Duration::from_millis(300);
/// Lower limit of the share of an upstream's memory that this gateway fills. The rest may be filled
/// by other gateways.
const MIN_MEMORY_SHARE: f64 = 0.4;
/// Share of the memory by which the usable share grows again with each list.
const MEMORY_SHARE_GROWTH: f64 = 0.15;
/// Rule for ejecting upstreams that fail several times in a row.
const EJECTION_RULE: outlier::Rule = outlier::Rule {
    failures: 2,
    base_time: time::Duration::from_secs(1),
    warmup: time::Duration::from_secs(2),
};
/// Largest share of a service's upstreams that may be ejected at the same time.
const MAX_EJECTED_SHARE: f64 = 0.67;

/// An upstream as the platform's list describes it.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ListEntry {
    /// Instance id, which the upstream compares with the one in each call.
    pub instance: id::InstanceId,
    /// Service that the upstream belongs to.
    pub service: id::ServiceId,
    /// Address that the upstream serves.
    pub address: net::SocketAddr,
    /// Failure domain of the upstream.
    pub domain: id::DomainId,
    /// Version of its software.
    #[serde(default)]
    pub version: stream_versions::SoftwareVersion,
    /// Whether it is about to stop and should get no new calls.
    pub leaving: bool,
    /// Time at which its process started, in milliseconds since the Unix epoch; `None` if the list
    /// does not contain it.
    #[serde(rename = "born")]
    pub started_ms: Option<u64>,
    /// How long it stays cold, as it wrote it; `None` if it is not cold. It counts down, so that the
    /// entry of a cold upstream differs with each write, and that of a warm one does not.
    #[serde(default)]
    pub cold_left: Option<cold::Left>,
}

impl ListEntry {
    /// Returns the process that the entry describes.
    pub fn process(&self) -> upstream_notice::Process {
        let (instance, started_ms) = (self.instance.clone(), self.started_ms);
        upstream_notice::Process { instance, started_ms }
    }
}

/// Load that an upstream reported with an answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Number of requests that are running.
    pub running: u32,
    /// Number of requests that are queued.
    pub waiting: u32,
    /// Number of requests that can run at the same time.
    pub slots: u32,
    /// Time that work takes there at this moment, in per cent of the usual; `None` if the upstream
    /// does not say.
    pub pace: Option<u32>,
}

/// Usual time that work takes, in per cent.
pub const USUAL_PACE: u32 = 100;
/// Values of a pace that are plausible. Others are ignored.
pub const PACES: std::ops::RangeInclusive<u32> = 10..=10_000;

/// State that a gateway keeps about one upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Its entry in the latest list.
    pub entry: ListEntry,
    /// Its distance from the gateway.
    pub tier: routing::Tier,
    /// Number of calls of this gateway in flight.
    pub in_flight: u32,
    /// Number of these that make no progress.
    silent_calls: u32,
    /// Prompt tokens of calls in flight whose answer has not begun; 0 for upstreams without an
    /// engine.
    pub unread_tokens: u64,
    /// Its recent failures and ejections.
    pub health: outlier::Health,
    /// When it is cold.
    cold: cold::Phase,
    /// Time until which it gets no calls because it was full.
    pub backoff_until: time::Duration,
    /// Time until which it wants no calls at all, as it stated itself.
    pause_end: time::Duration,
    /// What it stated last about the rate that it takes.
    stated: Option<stated_limits::Statement>,
    reported_load: Load,
    /// When the load was reported.
    reported_at: time::Duration,
    /// Ratio of observed to expected time as of the last sample.
    slowness: f64,
    /// When the last sample was taken.
    slowness_at: time::Duration,
    /// Time between the events of its streams relative to the other engines of its service; 1 for an
    /// upstream without streams.
    relative_pace: f64,
    /// When the upstream was first missing from the list after a gap, if it is.
    missing_since: Option<time::Duration>,
    /// Results of this gateway's calls that are stored at the upstream.
    results: collections::BTreeMap<gateway::Handle, StoredResult>,
    /// Memory reserved for the results of calls in flight.
    reserved: unit::ByteSize,
    /// Share of the memory that this gateway may fill.
    memory_share: f64,
}

/// A result of this gateway's calls that an upstream stores.
#[derive(Clone, Copy, Debug)]
struct StoredResult {
    size: unit::ByteSize,
    expires: time::Duration,
}

impl Upstream {
    fn new(entry: ListEntry, tier: routing::Tier) -> Self {
        Self {
            entry,
            tier,
            in_flight: 0,
            silent_calls: 0,
            unread_tokens: 0,
            health: outlier::Health::default(),
            cold: cold::Phase::default(),
            backoff_until: time::Duration::ZERO,
            pause_end: time::Duration::ZERO,
            stated: None,
            reported_load: Load::default(),
            reported_at: time::Duration::ZERO,
            slowness: 1.0,
            slowness_at: time::Duration::ZERO,
            relative_pace: 1.0,
            missing_since: None,
            results: collections::BTreeMap::new(),
            reserved: unit::ByteSize(0),
            memory_share: 1.0,
        }
    }

    /// Returns the memory taken by results of this gateway's calls, including those in flight.
    pub fn held_bytes(&self, now: time::Duration) -> unit::ByteSize {
        let results = self.results.values().filter(|result| result.expires > now);
        unit::ByteSize(results.map(|result| result.size.0).sum::<u64>() + self.reserved.0)
    }

    /// Returns the part of the upstream's memory of `total` bytes that this gateway may fill.
    pub fn usable_memory(&self, total: unit::ByteSize) -> unit::ByteSize {
        unit::ByteSize((total.0 as f64 * self.memory_share) as u64)
    }

    /// Reserves memory for the results of a call that is sent.
    pub fn reserve_results(&mut self, size: unit::ByteSize) {
        self.reserved.0 += size.0;
    }

    /// Releases the memory reserved for a call that ended.
    pub fn unreserve_results(&mut self, size: unit::ByteSize) {
        self.reserved.0 = self.reserved.0.saturating_sub(size.0);
    }

    /// Records a result that the upstream stores until `until`, unless it is freed before.
    pub fn add_result(
        &mut self,
        handle: gateway::Handle,
        size: unit::ByteSize,
        until: time::Duration,
    ) {
        self.results.insert(handle, StoredResult { size, expires: until });
    }

    /// Records that a result was freed.
    pub fn remove_result(&mut self, handle: &gateway::Handle) {
        self.results.remove(handle);
    }

    /// Drops results whose retention has ended, and raises the usable share of the memory. Returns
    /// the number of results that expired without being freed.
    fn expire_results(&mut self, now: time::Duration) -> usize {
        let before = self.results.len();
        self.results.retain(|_, result| result.expires > now);
        self.memory_share = (self.memory_share + MEMORY_SHARE_GROWTH).min(1.0);
        before - self.results.len()
    }

    /// Records that the upstream had no memory left beyond what it stores for this gateway. `total`
    /// is its memory for results.
    pub fn record_full(&mut self, now: time::Duration, total: unit::ByteSize) {
        let share = self.held_bytes(now).0 as f64 / total.0.max(1) as f64;
        self.memory_share = share.clamp(MIN_MEMORY_SHARE, self.memory_share);
    }

    /// Returns the ratio of the observed to the expected time of its calls. Without new samples it
    /// returns to 1, so that a slow upstream is tried again.
    pub fn slowness(&self, now: time::Duration) -> f64 {
        let age = now.saturating_sub(self.slowness_at).as_secs_f64();
        1.0 + (self.slowness - 1.0) * (-age / SLOWNESS_DECAY.as_secs_f64()).exp()
    }

    /// Returns the time between the events of its streams relative to the other engines of its
    /// service, as the gateways have measured it together.
    pub fn relative_pace(&self) -> f64 {
        self.relative_pace
    }

    /// Returns the time that work takes at the upstream, in per cent of the usual, according to its
    /// latest report; [`USUAL_PACE`] if the report is outdated or does not say.
    pub fn pace(&self, now: time::Duration) -> u32 {
        if now.saturating_sub(self.reported_at) > MAX_LOAD_AGE {
            return USUAL_PACE;
        }
        self.reported_load.pace.unwrap_or(USUAL_PACE)
    }

    /// Returns the number of running and queued calls of others, according to its latest report; 0
    /// if the report is outdated.
    pub fn foreign_calls(&self, now: time::Duration) -> u32 {
        if now.saturating_sub(self.reported_at) > MAX_LOAD_AGE {
            return 0;
        }
        (self.reported_load.running + self.reported_load.waiting).saturating_sub(self.in_flight)
    }

    /// Returns whether at least half of this gateway's calls to it make no progress. A single one may be
    /// stuck for reasons of its own.
    pub fn is_silent(&self) -> bool {
        self.silent_calls > 0 && 2 * self.silent_calls >= self.in_flight
    }

    /// Returns whether it wants no calls at all at the moment.
    pub fn is_paused(&self, now: time::Duration) -> bool {
        now < self.pause_end
    }

    /// Returns whether it may get new calls: it is not leaving, ejected or full.
    pub fn is_usable(&self, now: time::Duration) -> bool {
        let is_full = now < self.backoff_until || self.is_paused(now);
        !self.entry.leaving && !self.health.is_ejected(now) && !is_full
    }
}

/// Differences between two lists.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Change {
    /// Upstreams that are new.
    pub joined: Vec<id::InstanceId>,
    /// Upstreams that are now marked as leaving.
    pub leaving: Vec<id::InstanceId>,
    /// Upstreams that are gone or were restarted.
    pub gone: Vec<id::InstanceId>,
    /// Upstreams that have become cold, of services with a limit for that.
    pub cold: Vec<id::InstanceId>,
    /// Number of results that expired without being freed, by the upstream that stored them.
    pub expired_results: collections::BTreeMap<id::InstanceId, usize>,
}

/// All upstreams in the platform's list.
#[derive(Debug)]
pub struct Fleet {
    domain: id::DomainId,
    regions: collections::BTreeMap<id::DomainId, id::RegionId>,
    upstreams: collections::BTreeMap<id::InstanceId, Upstream>,
    /// Failure domains whose upstreams get nothing.
    evacuated: collections::BTreeSet<id::DomainId>,
    /// When the last list was applied.
    last_update: Option<time::Duration>,
    /// When the first list after the last gap was applied.
    gap_end: time::Duration,
    /// When the store was last restored from an older copy; `None` if it never was.
    restored_at: Option<time::Duration>,
    /// Processes that left lately, with the time.
    left: collections::BTreeMap<upstream_notice::Process, time::Duration>,
    notices: upstream_notice::Notices,
    /// Limits that upstreams have stated.
    stated: stated_limits::StatedLimits,
    /// Services for whose upstreams one gateway of a region forms the batches.
    batched: collections::BTreeSet<id::ServiceId>,
    /// Limits of the services whose upstreams take few calls while they are cold.
    cold_limits: collections::BTreeMap<id::ServiceId, cold::Limit>,
    limiter: cold::Limiter,
}

impl Fleet {
    /// Makes an empty fleet. Distances count from the given failure domain.
    pub fn new(
        domain: id::DomainId,
        regions: collections::BTreeMap<id::DomainId, id::RegionId>,
    ) -> Self {
        Self {
            domain,
            regions,
            upstreams: collections::BTreeMap::new(),
            evacuated: collections::BTreeSet::new(),
            last_update: None,
            gap_end: time::Duration::ZERO,
            restored_at: None,
            left: collections::BTreeMap::new(),
            notices: upstream_notice::Notices::default(),
            stated: stated_limits::StatedLimits::default(),
            batched: collections::BTreeSet::new(),
            cold_limits: collections::BTreeMap::new(),
            limiter: cold::Limiter::default(),
        }
    }

    /// Returns the distance of a failure domain from that of the gateway.
    pub fn tier(&self, domain: &id::DomainId) -> routing::Tier {
        if *domain == self.domain {
            routing::Tier::Domain
        } else if self.regions.get(domain) == self.regions.get(&self.domain) {
            routing::Tier::Region
        } else {
            routing::Tier::Remote
        }
    }

    /// Returns the region of a failure domain, or `None` if it has none.
    pub fn region(&self, domain: &id::DomainId) -> Option<&id::RegionId> {
        self.regions.get(domain)
    }

    /// Records that the store was restored from an older copy. The copy may lack upstreams, and list
    /// as ready what was leaving or gone.
    pub fn record_restore(&mut self, now: time::Duration) {
        self.restored_at = Some(now);
        for upstream in self.upstreams.values() {
            if upstream.entry.leaving {
                self.left.insert(upstream.entry.process(), now);
            }
        }
    }

    /// Returns whether the store was restored less than a certain time ago.
    fn is_restored_within(&self, now: time::Duration, time: time::Duration) -> bool {
        self.restored_at.is_some_and(|at| now.saturating_sub(at) < time)
    }

    /// Applies a complete list, and returns what changed.
    pub fn update(&mut self, now: time::Duration, list: Vec<ListEntry>) -> Change {
        let mut change = Change::default();
        let is_after_gap =
            self.last_update.is_none_or(|last| now.saturating_sub(last) > MAX_LIST_GAP);
        if is_after_gap {
            self.gap_end = now;
        }
        // The first list contains what has been running for long, and says what is cold.
        let is_first = self.last_update.is_none();
        self.last_update = Some(now);
        let is_stale = self.is_restored_within(now, STALE_LIST_TIME);
        let mut present = collections::BTreeSet::new();
        for mut entry in list {
            present.insert(entry.instance.clone());
            let process = entry.process();
            if is_stale {
                if self.has_later_process(&entry) {
                    continue;
                }
                entry.leaving |= self.left.contains_key(&process);
            } else if !entry.leaving {
                self.left.remove(&process);
            }
            entry.leaving |= self.notices.is_leaving(&process);
            let pause_end = self.notices.pause_end(&process);
            let stated = self.stated.get(&process).copied();
            let instance = entry.instance.clone();
            let cold_left = entry.cold_left;
            self.apply_entry(entry, &mut change);
            let is_new = !is_first && change.joined.last() == Some(&instance);
            if self.record_cold_listed(now, &instance, cold_left, is_new) {
                change.cold.push(instance.clone());
            }
            if let Some(upstream) = self.upstreams.get_mut(&instance) {
                upstream.pause_end = pause_end;
                upstream.stated = stated;
            }
        }
        self.notices.prune(now);
        self.stated.prune(now);
        self.remove_missing(now, &present, &mut change);
        self.update_limit_targets(now);
        self.left.retain(|_, at| now.saturating_sub(*at) < LEFT_MEMORY);
        for (instance, upstream) in &mut self.upstreams {
            let expired = upstream.expire_results(now);
            if expired > 0 {
                change.expired_results.insert(instance.clone(), expired);
            }
        }
        change
    }

    /// Returns whether a process is known that started after the one of the entry.
    fn has_later_process(&self, entry: &ListEntry) -> bool {
        let known = self.upstreams.get(&entry.instance).and_then(|up| up.entry.started_ms);
        known.zip(entry.started_ms).is_some_and(|(known, listed)| known > listed)
    }

    /// Adds or updates the upstream of one list entry.
    fn apply_entry(&mut self, entry: ListEntry, change: &mut Change) {
        let instance = entry.instance.clone();
        let tier = self.tier(&entry.domain);
        let Some(upstream) = self.upstreams.get_mut(&instance) else {
            change.joined.push(instance.clone());
            self.upstreams.insert(instance, Upstream::new(entry, tier));
            return;
        };
        let is_same_process = upstream.entry.address == entry.address
            && upstream.entry.service == entry.service
            && upstream.entry.started_ms == entry.started_ms;
        if !is_same_process {
            change.gone.push(instance.clone());
            change.joined.push(instance.clone());
            self.upstreams.insert(instance, Upstream::new(entry, tier));
            return;
        }
        if entry.leaving && !upstream.entry.leaving {
            change.leaving.push(instance);
        }
        upstream.missing_since = None;
        upstream.entry = entry;
    }

    /// Removes upstreams that are not in the list, except those that may still register again after
    /// a gap.
    fn remove_missing(
        &mut self,
        now: time::Duration,
        present: &collections::BTreeSet<id::InstanceId>,
        change: &mut Change,
    ) {
        let is_settling = now.saturating_sub(self.gap_end) < REREGISTER_TIME;
        let is_restored = self.is_restored_within(now, REREGISTER_TIME);
        self.upstreams.retain(|instance, upstream| {
            if present.contains(instance) || is_restored && !upstream.entry.leaving {
                return true;
            }
            // An upstream that registered again after the gap and is missing now has left.
            let is_missing_since_gap =
                is_settling && upstream.missing_since.is_some_and(|since| since == self.gap_end);
            let is_first_after_gap = is_settling && now == self.gap_end;
            if is_first_after_gap {
                upstream.missing_since = Some(now);
            }
            let is_kept = is_first_after_gap || is_missing_since_gap;
            if !is_kept {
                self.left.insert(upstream.entry.process(), now);
                change.gone.push(instance.clone());
            }
            is_kept
        });
    }

    /// Returns an upstream by its instance id.
    pub fn get(&self, instance: &id::InstanceId) -> Option<&Upstream> {
        self.upstreams.get(instance)
    }

    /// Returns an upstream by its instance id for changes.
    pub fn get_mut(&mut self, instance: &id::InstanceId) -> Option<&mut Upstream> {
        self.upstreams.get_mut(instance)
    }

    /// Returns the number of upstreams, including those that are leaving.
    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Returns whether there are no upstreams.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// Replaces the set of evacuated failure domains. Returns those that are new and those that are
    /// not evacuated any more.
    pub fn set_evacuated(
        &mut self,
        domains: collections::BTreeSet<id::DomainId>,
    ) -> (Vec<id::DomainId>, Vec<id::DomainId>) {
        let before = std::mem::replace(&mut self.evacuated, domains);
        let evacuated = self.evacuated.difference(&before).cloned().collect();
        (evacuated, before.difference(&self.evacuated).cloned().collect())
    }

    /// Returns whether any failure domain is evacuated.
    pub fn has_evacuated(&self) -> bool {
        !self.evacuated.is_empty()
    }

    /// Returns whether an upstream is in an evacuated failure domain.
    pub fn is_evacuated(&self, instance: &id::InstanceId) -> bool {
        self.upstreams.get(instance).is_some_and(|up| self.evacuated.contains(&up.entry.domain))
    }

    /// Returns whether all upstreams of a service that are not leaving are in evacuated failure domains,
    /// of which at least one upstream is; if a region is given, those of the region.
    pub fn is_service_evacuated(
        &self,
        service: &id::ServiceId,
        region: Option<&id::RegionId>,
    ) -> bool {
        let is_meant = |up: &Upstream| {
            up.entry.service == *service
                && region.is_none_or(|region| self.regions.get(&up.entry.domain) == Some(region))
        };
        let is_evacuated = |up: &Upstream| self.evacuated.contains(&up.entry.domain);
        let meant = || self.upstreams.values().filter(|up| is_meant(up));
        self.has_evacuated()
            && meant().any(is_evacuated)
            && meant().all(|up| is_evacuated(up) || up.entry.leaving)
    }

    /// Returns the upstreams of a service that are neither leaving nor in an evacuated failure domain.
    pub fn service_upstreams<'a>(
        &'a self,
        service: &'a id::ServiceId,
    ) -> impl Iterator<Item = (&'a id::InstanceId, &'a Upstream)> + 'a {
        self.upstreams
            .iter()
            .filter(move |(_, up)| up.entry.service == *service && !up.entry.leaving)
            .filter(|(_, up)| !self.evacuated.contains(&up.entry.domain))
    }

    /// Returns the upstreams of a pool that are neither leaving nor in an evacuated failure domain.
    pub fn pool_upstreams<'a>(
        &'a self,
        pool: &'a roster::PoolId,
    ) -> impl Iterator<Item = (&'a id::InstanceId, &'a Upstream)> + 'a {
        self.service_upstreams(&pool.service)
            .filter(|(_, up)| self.regions.get(&up.entry.domain) == Some(&pool.region))
    }

    /// Returns all regions, this gateway's own one first.
    pub fn regions(&self) -> Vec<id::RegionId> {
        let own_region = self.regions.get(&self.domain).cloned();
        let mut all: Vec<_> = own_region.iter().cloned().collect();
        let others: collections::BTreeSet<_> = self.regions.values().cloned().collect();
        all.extend(others.into_iter().filter(|region| Some(region) != own_region.as_ref()));
        all
    }

    /// Records a call that was sent. `tokens` are the prompt tokens that the upstream has to
    /// process.
    pub fn record_sent(&mut self, instance: &id::InstanceId, tokens: u64) {
        if let Some(up) = self.upstreams.get_mut(instance) {
            up.in_flight += 1;
            up.unread_tokens += tokens;
        }
    }

    /// Records that a call ended in any way. `tokens` are the prompt tokens of the call that the
    /// upstream has not processed yet.
    pub fn record_ended(&mut self, instance: &id::InstanceId, tokens: u64) {
        if let Some(up) = self.upstreams.get_mut(instance) {
            up.in_flight = up.in_flight.saturating_sub(1);
            up.unread_tokens = up.unread_tokens.saturating_sub(tokens);
        }
    }

    /// Records that a call makes no progress.
    pub fn record_silent(&mut self, instance: &id::InstanceId) {
        if let Some(up) = self.upstreams.get_mut(instance) {
            up.silent_calls += 1;
        }
    }

    /// Records that a call that made no progress does so again, or has ended.
    pub fn record_resumed(&mut self, instance: &id::InstanceId) {
        if let Some(up) = self.upstreams.get_mut(instance) {
            up.silent_calls = up.silent_calls.saturating_sub(1);
        }
    }

    /// Records a successful call. `ratio` is its observed time relative to the expected time, or
    /// `None` if it says nothing about the upstream's speed.
    pub fn record_success(
        &mut self,
        now: time::Duration,
        instance: &id::InstanceId,
        ratio: Option<f64>,
    ) {
        let Some(up) = self.upstreams.get_mut(instance) else { return };
        up.health.record_success();
        if let Some(ratio) = ratio {
            up.slowness = up.slowness(now);
            up.slowness += (ratio - up.slowness) * SLOWNESS_SMOOTHING;
            up.slowness_at = now;
        }
    }

    /// Records a failed call. Returns whether the upstream was ejected because of it.
    pub fn record_failure(&mut self, now: time::Duration, instance: &id::InstanceId) -> bool {
        let Some(up) = self.upstreams.get(instance) else { return false };
        let service = up.entry.service.clone();
        let (mut total, mut ejected) = (0, 0);
        for (_, other) in self.service_upstreams(&service) {
            total += 1;
            ejected += usize::from(other.health.is_ejected(now));
        }
        if ejected >= outlier::max_ejected(total, MAX_EJECTED_SHARE) {
            return false;
        }
        self.upstreams
            .get_mut(instance)
            .is_some_and(|up| up.health.record_failure(now, EJECTION_RULE))
    }

    /// Records what a process stated about itself. Returns whether it is news that it leaves.
    pub fn record_notice(
        &mut self,
        now: time::Duration,
        process: &upstream_notice::Process,
        notice: upstream_notice::Notice,
    ) -> bool {
        self.notices.record(now, process, notice);
        let upstream = self.upstreams.get_mut(&process.instance);
        let Some(upstream) = upstream.filter(|up| up.entry.started_ms == process.started_ms) else {
            return false;
        };
        upstream.pause_end = self.notices.pause_end(process);
        notice.is_leaving && !std::mem::replace(&mut upstream.entry.leaving, true)
    }

    /// Returns how long all eligible upstreams of a service that are not leaving want no calls; `None`
    /// if one takes calls, or there are none.
    pub fn service_pause(
        &self,
        now: time::Duration,
        service: &id::ServiceId,
        is_eligible: impl Fn(&Upstream) -> bool,
    ) -> Option<time::Duration> {
        let eligible = self.service_upstreams(service).filter(|(_, up)| is_eligible(up));
        let ends = eligible.map(|(_, up)| up.pause_end);
        Some(ends.min()?.saturating_sub(now)).filter(|pause| !pause.is_zero())
    }

    /// Replaces the relative paces of engines. An engine is compared with those of its service.
    pub fn record_paces(&mut self, paces: Vec<(id::InstanceId, engine_pace::Pace)>) {
        for upstream in self.upstreams.values_mut() {
            upstream.relative_pace = 1.0;
        }
        let mut by_service: collections::BTreeMap<id::ServiceId, Vec<_>> =
            collections::BTreeMap::new();
        for (instance, pace) in paces {
            if let Some(up) = self.upstreams.get(&instance) {
                by_service.entry(up.entry.service.clone()).or_default().push((instance, pace));
            }
        }
        for engines in by_service.into_values() {
            let (instances, paces): (Vec<_>, Vec<_>) = engines.into_iter().unzip();
            let slowness = engine_pace::relative_slowness(&paces);
            for (instance, slowness) in instances.iter().zip(slowness) {
                if let Some(up) = self.upstreams.get_mut(instance) {
                    up.relative_pace = slowness;
                }
            }
        }
    }

    /// Records a load report.
    pub fn record_load(&mut self, now: time::Duration, instance: &id::InstanceId, load: Load) {
        if let Some(up) = self.upstreams.get_mut(instance) {
            up.reported_load = load;
            up.reported_at = now;
        }
    }
}
