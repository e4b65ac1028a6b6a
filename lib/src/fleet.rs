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
const LIST_GAP: time::Duration = time::Duration::from_millis(2_600);
/// Time that missing upstreams have to register again after a gap.
const RETURN_TIME: time::Duration = time::Duration::from_secs(2);
/// Weight of a new sample in the smoothed ratio of observed to expected time.
const SMOOTHING: f64 = 0.25;
/// Time constant with which an observed slowness is forgotten.
const SLOW_MEMORY: time::Duration = time::Duration::from_secs(3);
/// Age up to which a reported load is believed.
const LOAD_AGE: time::Duration = time::Duration::from_millis(300);
/// Least share of an upstream's memory that is taken for free; the rest may be held for others.
const LEAST_ROOM: f64 = 0.4;
/// Share of the memory by which the room is taken to be more with each list.
const ROOM_GROWTH: f64 = 0.15;
/// Ejection of upstreams that fail in a row.
const EJECTION: outlier::Rule = outlier::Rule {
    failures: 2,
    base_time: time::Duration::from_secs(1),
    warmup: time::Duration::from_secs(2),
};
/// Largest share of a service's upstreams that may be ejected at once.
const EJECTED_SHARE: f64 = 0.67;

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
    pub full_until: time::Duration,
    load: Load,
    reported: time::Duration,
    slowness: f64,
    timed: time::Duration,
    missing: Option<time::Duration>,
    kept: collections::BTreeMap<gateway::Handle, Kept>,
    expected: unit::ByteSize,
    room: f64,
}

/// A result that an upstream keeps.
#[derive(Clone, Copy, Debug)]
struct Kept {
    size: unit::ByteSize,
    until: time::Duration,
}

impl Upstream {
    fn new(listed: ListEntry, tier: routing::Tier) -> Self {
        Self {
            entry: listed,
            tier,
            in_flight: 0,
            prompt_tokens: 0,
            health: outlier::Health::default(),
            full_until: time::Duration::ZERO,
            load: Load::default(),
            reported: time::Duration::ZERO,
            slowness: 1.0,
            timed: time::Duration::ZERO,
            missing: None,
            kept: collections::BTreeMap::new(),
            expected: unit::ByteSize(0),
            room: 1.0,
        }
    }

    /// Returns the memory that results of this gateway's calls take, those in flight included.
    pub fn held(&self, now: time::Duration) -> unit::ByteSize {
        let kept = self.kept.values().filter(|kept| kept.until > now);
        unit::ByteSize(kept.map(|kept| kept.size.0).sum::<u64>() + self.expected.0)
    }

    /// Returns the memory for results that this gateway may fill, of `total`.
    pub fn room(&self, total: unit::ByteSize) -> unit::ByteSize {
        unit::ByteSize((total.0 as f64 * self.room) as u64)
    }

    /// Takes note of the results that a call in flight will leave.
    pub fn expect_results(&mut self, size: unit::ByteSize) {
        self.expected.0 += size.0;
    }

    /// Takes note that a call ended whose results were expected.
    pub fn settle_results(&mut self, size: unit::ByteSize) {
        self.expected.0 = self.expected.0.saturating_sub(size.0);
    }

    /// Takes note of a result that is kept until a moment, unless it is freed.
    pub fn keep(&mut self, handle: gateway::Handle, size: unit::ByteSize, until: time::Duration) {
        self.kept.insert(handle, Kept { size, until });
    }

    /// Takes note that a result was freed.
    pub fn release(&mut self, handle: &gateway::Handle) {
        self.kept.remove(handle);
    }

    /// Forgets results whose time is over, and finds out again how much room there is.
    /// Returns how many were never given up.
    fn age_results(&mut self, now: time::Duration) -> usize {
        let before = self.kept.len();
        self.kept.retain(|_, kept| kept.until > now);
        self.room = (self.room + ROOM_GROWTH).min(1.0);
        before - self.kept.len()
    }

    /// Takes note that the upstream had no room beside what it holds.
    pub fn note_full(&mut self, now: time::Duration, total: unit::ByteSize) {
        let share = self.held(now).0 as f64 / total.0.max(1) as f64;
        self.room = share.clamp(LEAST_ROOM, self.room);
    }

    /// Returns the ratio of the time that its calls take to the time that they should take. Without
    /// new calls it goes back to 1, so that a slow upstream is tried again.
    pub fn slowness(&self, now: time::Duration) -> f64 {
        let age = now.saturating_sub(self.timed).as_secs_f64();
        1.0 + (self.slowness - 1.0) * (-age / SLOW_MEMORY.as_secs_f64()).exp()
    }

    /// Returns the calls that others have running or waiting there, as far as it reported.
    pub fn foreign(&self, now: time::Duration) -> u32 {
        if now.saturating_sub(self.reported) > LOAD_AGE {
            return 0;
        }
        (self.load.running + self.load.waiting).saturating_sub(self.in_flight)
    }

    /// Whether it may be called.
    pub fn is_usable(&self, now: time::Duration) -> bool {
        !self.entry.leaving && !self.health.is_ejected(now) && now >= self.full_until
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
    listed: Option<time::Duration>,
    returned: time::Duration,
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
            listed: None,
            returned: time::Duration::ZERO,
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
        let gap = self.listed.is_none_or(|last| now.saturating_sub(last) > LIST_GAP);
        if gap {
            self.returned = now;
        }
        self.listed = Some(now);
        let mut present = collections::BTreeSet::new();
        for listed in list {
            present.insert(listed.instance.clone());
            self.take(listed, &mut change);
        }
        self.drop_missing(now, &present, &mut change);
        for (instance, upstream) in &mut self.upstreams {
            let expired = upstream.age_results(now);
            if expired > 0 {
                change.expired_results.insert(instance.clone(), expired);
            }
        }
        change
    }

    fn take(&mut self, listed: ListEntry, change: &mut Change) {
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
        known.missing = None;
        known.entry = listed;
    }

    fn drop_missing(
        &mut self,
        now: time::Duration,
        present: &collections::BTreeSet<id::InstanceId>,
        change: &mut Change,
    ) {
        let is_settling = now.saturating_sub(self.returned) < RETURN_TIME;
        self.upstreams.retain(|instance, upstream| {
            if present.contains(instance) {
                return true;
            }
            // One that was there after the gap and vanishes now has left.
            let is_late =
                is_settling && upstream.missing.is_some_and(|since| since == self.returned);
            let is_first = is_settling && now == self.returned;
            if is_first {
                upstream.missing = Some(now);
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
    pub fn of<'a>(
        &'a self,
        service: &'a id::ServiceId,
    ) -> impl Iterator<Item = (&'a id::InstanceId, &'a Upstream)> + 'a {
        self.upstreams
            .iter()
            .filter(move |(_, up)| up.entry.service == *service && !up.entry.leaving)
    }

    /// Returns the upstreams of a pool that do not leave.
    pub fn pool<'a>(
        &'a self,
        pool: &'a roster::PoolId,
    ) -> impl Iterator<Item = (&'a id::InstanceId, &'a Upstream)> + 'a {
        self.of(&pool.service)
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
    pub fn sent(&mut self, instance: &id::InstanceId, tokens: u64) {
        if let Some(up) = self.upstreams.get_mut(instance) {
            up.in_flight += 1;
            up.prompt_tokens += tokens;
        }
    }

    /// Takes note of a call that ended in any way.
    pub fn ended(&mut self, instance: &id::InstanceId, tokens: u64) {
        if let Some(up) = self.upstreams.get_mut(instance) {
            up.in_flight = up.in_flight.saturating_sub(1);
            up.prompt_tokens = up.prompt_tokens.saturating_sub(tokens);
        }
    }

    /// Takes note that a call did its work, in `ratio` times the time that it should take.
    pub fn succeeded(
        &mut self,
        now: time::Duration,
        instance: &id::InstanceId,
        ratio: Option<f64>,
    ) {
        let Some(up) = self.upstreams.get_mut(instance) else { return };
        up.health.record_success();
        if let Some(ratio) = ratio {
            up.slowness = up.slowness(now);
            up.slowness += (ratio - up.slowness) * SMOOTHING;
            up.timed = now;
        }
    }

    /// Takes note that a call failed; returns whether the upstream was ejected.
    pub fn failed(&mut self, now: time::Duration, instance: &id::InstanceId) -> bool {
        let Some(up) = self.upstreams.get(instance) else { return false };
        let service = up.entry.service.clone();
        let (mut total, mut ejected) = (0, 0);
        for (_, other) in self.of(&service) {
            total += 1;
            ejected += usize::from(other.health.is_ejected(now));
        }
        if ejected >= outlier::max_ejected(total, EJECTED_SHARE) {
            return false;
        }
        self.upstreams.get_mut(instance).is_some_and(|up| up.health.record_failure(now, EJECTION))
    }

    /// Takes in a load report.
    pub fn report(&mut self, now: time::Duration, instance: &id::InstanceId, load: Load) {
        if let Some(up) = self.upstreams.get_mut(instance) {
            up.load = load;
            up.reported = now;
        }
    }
}
