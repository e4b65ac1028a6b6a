//! Upstreams that a gateway calls itself: which exist, which leave, and how they behave.
//!
//! Load pattern: upstreams come, go and change their speed at any moment, and the platform's list
//! lags. What a gateway sees of its own calls goes before what anybody reports.

use std::collections;
use std::net;
use std::time;

use crate::gateway;
use crate::id;
use crate::outlier;
use crate::roster;
use crate::routing;
use crate::unit;

/// Age of the last list up to which an upstream missing from the next one is taken as gone. After a
/// longer gap the list may lack upstreams that have not had the time to register again.
const MAX_LIST_GAP: time::Duration = time::Duration::from_millis(2_600);
/// Time that missing upstreams have to register again after a gap.
const REREGISTER_TIME: time::Duration = time::Duration::from_secs(2);
/// Weight of a new sample in the smoothed ratio of observed to expected time.
const SLOWNESS_SMOOTHING: f64 = 0.25;
/// Time constant with which an observed slowness is forgotten.
const SLOWNESS_DECAY: time::Duration = time::Duration::from_secs(3);
/// Age up to which a reported load is believed.
const MAX_LOAD_AGE: time::Duration = time::Duration::from_millis(300);
/// Least share of an upstream's memory that is taken for free; the rest may be held for others.
const MIN_ROOM_SHARE: f64 = 0.4;
/// Share of the memory by which the room is taken to be more with each list.
const ROOM_SHARE_GROWTH: f64 = 0.15;
/// Ejection of upstreams that fail in a row.
const EJECTION_RULE: outlier::Rule = outlier::Rule {
    failures: 2,
    base_time: time::Duration::from_secs(1),
    warmup: time::Duration::from_secs(2),
};
/// Largest share of a service's upstreams that may be ejected at once.
const MAX_EJECTED_SHARE: f64 = 0.67;

/// What the platform's list says of one upstream.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ListEntry {
    /// Its id, which it checks on each request that names it.
    pub instance: id::InstanceId,
    /// Its service.
    pub service: id::ServiceId,
    /// Its address.
    pub address: net::SocketAddr,
    /// Its failure domain.
    pub domain: id::DomainId,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// Start of its present life, in milliseconds since the Unix epoch, if it says so.
    #[serde(rename = "born")]
    pub started_ms: Option<u64>,
}

/// Load that an upstream reported beside an answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at the same time.
    pub slots: u32,
}

/// What a gateway knows of one upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// What the list says.
    pub entry: ListEntry,
    /// How far it is.
    pub tier: routing::Tier,
    /// Calls of this gateway in flight.
    pub in_flight: u32,
    /// Tokens of the prompts of calls in flight, for engines.
    pub prompt_tokens: u64,
    /// Its failures and ejections.
    pub health: outlier::Health,
    /// Moment until which it is left alone because it had no room.
    pub backoff_until: time::Duration,
    reported_load: Load,
    reported_at: time::Duration,
    slowness: f64,
    slowness_at: time::Duration,
    missing_since: Option<time::Duration>,
    results: collections::BTreeMap<gateway::Handle, StoredResult>,
    reserved: unit::ByteSize,
    room_share: f64,
}

/// A result that an upstream keeps.
#[derive(Clone, Copy, Debug)]
struct StoredResult {
    size: unit::ByteSize,
    expires: time::Duration,
}

impl Upstream {
    fn new(listed: ListEntry, tier: routing::Tier) -> Self {
        Self {
            entry: listed,
            tier,
            in_flight: 0,
            prompt_tokens: 0,
            health: outlier::Health::default(),
            backoff_until: time::Duration::ZERO,
            reported_load: Load::default(),
            reported_at: time::Duration::ZERO,
            slowness: 1.0,
            slowness_at: time::Duration::ZERO,
            missing_since: None,
            results: collections::BTreeMap::new(),
            reserved: unit::ByteSize(0),
            room_share: 1.0,
        }
    }

    /// Returns the memory that results of this gateway's calls take, those in flight included.
    pub fn held_bytes(&self, now: time::Duration) -> unit::ByteSize {
        let kept = self.results.values().filter(|kept| kept.expires > now);
        unit::ByteSize(kept.map(|kept| kept.size.0).sum::<u64>() + self.reserved.0)
    }

    /// Returns the memory for results that this gateway may fill, of `total`.
    pub fn usable_memory(&self, total: unit::ByteSize) -> unit::ByteSize {
        unit::ByteSize((total.0 as f64 * self.room_share) as u64)
    }

    /// Takes note of the results that a call in flight will leave.
    pub fn reserve_results(&mut self, size: unit::ByteSize) {
        self.reserved.0 += size.0;
    }

    /// Takes note that a call ended whose results were expected.
    pub fn unreserve_results(&mut self, size: unit::ByteSize) {
        self.reserved.0 = self.reserved.0.saturating_sub(size.0);
    }

    /// Takes note of a result that is kept until a moment, unless it is freed.
    pub fn add_result(
        &mut self,
        handle: gateway::Handle,
        size: unit::ByteSize,
        until: time::Duration,
    ) {
        self.results.insert(handle, StoredResult { size, expires: until });
    }

    /// Takes note that a result was freed.
    pub fn remove_result(&mut self, handle: &gateway::Handle) {
        self.results.remove(handle);
    }

    /// Forgets results whose time is over, and finds out again how much room there is.
    /// Returns how many were never given up.
    fn expire_results(&mut self, now: time::Duration) -> usize {
        let before = self.results.len();
        self.results.retain(|_, kept| kept.expires > now);
        self.room_share = (self.room_share + ROOM_SHARE_GROWTH).min(1.0);
        before - self.results.len()
    }

    /// Takes note that the upstream had no room beside what it holds.
    pub fn record_full(&mut self, now: time::Duration, total: unit::ByteSize) {
        let share = self.held_bytes(now).0 as f64 / total.0.max(1) as f64;
        self.room_share = share.clamp(MIN_ROOM_SHARE, self.room_share);
    }

    /// Returns the ratio of the time that its calls take to the time that they should take. Without
    /// new calls it goes back to 1, so that a slow upstream is tried again.
    pub fn slowness(&self, now: time::Duration) -> f64 {
        let age = now.saturating_sub(self.slowness_at).as_secs_f64();
        1.0 + (self.slowness - 1.0) * (-age / SLOWNESS_DECAY.as_secs_f64()).exp()
    }

    /// Returns the calls that others have running or waiting there, as far as it reported.
    pub fn foreign_calls(&self, now: time::Duration) -> u32 {
        if now.saturating_sub(self.reported_at) > MAX_LOAD_AGE {
            return 0;
        }
        (self.reported_load.running + self.reported_load.waiting).saturating_sub(self.in_flight)
    }

    /// Whether it may be called.
    pub fn is_usable(&self, now: time::Duration) -> bool {
        !self.entry.leaving && !self.health.is_ejected(now) && now >= self.backoff_until
    }
}

/// What changed with a new list.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Change {
    /// Upstreams that came.
    pub joined: Vec<id::InstanceId>,
    /// Upstreams that now leave.
    pub leaving: Vec<id::InstanceId>,
    /// Upstreams that are gone, or began another life.
    pub gone: Vec<id::InstanceId>,
    /// Results whose time at an upstream ran out, as nobody gave them up.
    pub expired_results: collections::BTreeMap<id::InstanceId, usize>,
}

/// All upstreams that a gateway knows.
#[derive(Debug)]
pub struct Fleet {
    domain: id::DomainId,
    regions: collections::BTreeMap<id::DomainId, id::RegionId>,
    upstreams: collections::BTreeMap<id::InstanceId, Upstream>,
    last_update: Option<time::Duration>,
    gap_end: time::Duration,
}

impl Fleet {
    /// Makes an empty fleet as seen from a failure domain.
    pub fn new(
        domain: id::DomainId,
        regions: collections::BTreeMap<id::DomainId, id::RegionId>,
    ) -> Self {
        Self {
            domain,
            regions,
            upstreams: collections::BTreeMap::new(),
            last_update: None,
            gap_end: time::Duration::ZERO,
        }
    }

    /// Returns how far a failure domain is.
    pub fn tier(&self, domain: &id::DomainId) -> routing::Tier {
        if *domain == self.domain {
            routing::Tier::Domain
        } else if self.regions.get(domain) == self.regions.get(&self.domain) {
            routing::Tier::Region
        } else {
            routing::Tier::Remote
        }
    }

    /// Returns the region of a failure domain.
    pub fn region(&self, domain: &id::DomainId) -> Option<&id::RegionId> {
        self.regions.get(domain)
    }

    /// Takes in a whole list that was asked for at `asked`.
    pub fn update(&mut self, now: time::Duration, list: Vec<ListEntry>) -> Change {
        let mut change = Change::default();
        let gap = self.last_update.is_none_or(|last| now.saturating_sub(last) > MAX_LIST_GAP);
        if gap {
            self.gap_end = now;
        }
        self.last_update = Some(now);
        let mut present = collections::BTreeSet::new();
        for listed in list {
            present.insert(listed.instance.clone());
            self.apply_entry(listed, &mut change);
        }
        self.remove_missing(now, &present, &mut change);
        for (instance, upstream) in &mut self.upstreams {
            let expired = upstream.expire_results(now);
            if expired > 0 {
                change.expired_results.insert(instance.clone(), expired);
            }
        }
        change
    }

    fn apply_entry(&mut self, listed: ListEntry, change: &mut Change) {
        let instance = listed.instance.clone();
        let tier = self.tier(&listed.domain);
        let Some(known) = self.upstreams.get_mut(&instance) else {
            change.joined.push(instance.clone());
            self.upstreams.insert(instance, Upstream::new(listed, tier));
            return;
        };
        let is_same_life = known.entry.address == listed.address
            && known.entry.service == listed.service
            && known.entry.started_ms == listed.started_ms;
        if !is_same_life {
            change.gone.push(instance.clone());
            change.joined.push(instance.clone());
            self.upstreams.insert(instance, Upstream::new(listed, tier));
            return;
        }
        if listed.leaving && !known.entry.leaving {
            change.leaving.push(instance);
        }
        known.missing_since = None;
        known.entry = listed;
    }

    fn remove_missing(
        &mut self,
        now: time::Duration,
        present: &collections::BTreeSet<id::InstanceId>,
        change: &mut Change,
    ) {
        let is_settling = now.saturating_sub(self.gap_end) < REREGISTER_TIME;
        self.upstreams.retain(|instance, upstream| {
            if present.contains(instance) {
                return true;
            }
            // One that was there after the gap and vanishes now has left.
            let is_late =
                is_settling && upstream.missing_since.is_some_and(|since| since == self.gap_end);
            let is_first = is_settling && now == self.gap_end;
            if is_first {
                upstream.missing_since = Some(now);
            }
            let keep = is_first || is_late;
            if !keep {
                change.gone.push(instance.clone());
            }
            keep
        });
    }

    /// Returns an upstream.
    pub fn get(&self, instance: &id::InstanceId) -> Option<&Upstream> {
        self.upstreams.get(instance)
    }

    /// Returns an upstream for changes.
    pub fn get_mut(&mut self, instance: &id::InstanceId) -> Option<&mut Upstream> {
        self.upstreams.get_mut(instance)
    }

    /// Returns the number of known upstreams.
    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Whether no upstream is known.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// Returns the upstreams of a service that do not leave.
    pub fn service_upstreams<'a>(
        &'a self,
        service: &'a id::ServiceId,
    ) -> impl Iterator<Item = (&'a id::InstanceId, &'a Upstream)> + 'a {
        self.upstreams
            .iter()
            .filter(move |(_, up)| up.entry.service == *service && !up.entry.leaving)
    }

    /// Returns the upstreams of a pool that do not leave.
    pub fn pool_upstreams<'a>(
        &'a self,
        pool: &'a roster::PoolId,
    ) -> impl Iterator<Item = (&'a id::InstanceId, &'a Upstream)> + 'a {
        self.service_upstreams(&pool.service)
            .filter(|(_, up)| self.regions.get(&up.entry.domain) == Some(&pool.region))
    }

    /// Returns the own region and then the others.
    pub fn regions(&self) -> Vec<id::RegionId> {
        let own = self.regions.get(&self.domain).cloned();
        let mut all: Vec<_> = own.iter().cloned().collect();
        let others: collections::BTreeSet<_> = self.regions.values().cloned().collect();
        all.extend(others.into_iter().filter(|region| Some(region) != own.as_ref()));
        all
    }

    /// Takes note of a call that was sent.
    pub fn record_sent(&mut self, instance: &id::InstanceId, tokens: u64) {
        if let Some(up) = self.upstreams.get_mut(instance) {
            up.in_flight += 1;
            up.prompt_tokens += tokens;
        }
    }

    /// Takes note of a call that ended in any way.
    pub fn record_ended(&mut self, instance: &id::InstanceId, tokens: u64) {
        if let Some(up) = self.upstreams.get_mut(instance) {
            up.in_flight = up.in_flight.saturating_sub(1);
            up.prompt_tokens = up.prompt_tokens.saturating_sub(tokens);
        }
    }

    /// Takes note that a call did its work, in `ratio` times the time that it should take.
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

    /// Takes note that a call failed; returns whether the upstream was ejected.
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

    /// Takes in a load report.
    pub fn record_load(&mut self, now: time::Duration, instance: &id::InstanceId, load: Load) {
        if let Some(up) = self.upstreams.get_mut(instance) {
            up.reported_load = load;
            up.reported_at = now;
        }
    }
}
