//! Selection of the upstream for an attempt.
//!
//! The default policy stays within the nearest tier while the expected wait there is short. Within
//! that tier it prefers the upstream that the prompt prefix hashes to, because that one probably
//! caches the prefix, unless it is much busier than the average. Otherwise it draws two upstreams
//! at random and takes the one that is expected to finish earlier. The other policies are baselines
//! for comparison.

use std::collections;
use std::net;
use std::time;

use crate::config;
use crate::id;
use crate::limit;
use crate::membership;
use crate::outlier;
use crate::wire;

/// Weight of a new sample in the moving average of an upstream's latency.
const LATENCY_SMOOTHING: f64 = 0.2;
/// Multiple of the average backlog, plus one call, up to which a prefix's upstream is picked.
const MAX_AFFINITY_LOAD: f64 = 1.25;
/// Age from which a load report is ignored, so that only the entry's own attempts count.
const MAX_REPORT_AGE: time::Duration = time::Duration::from_secs(2);
/// Expected latency of an upstream that has not finished any attempt of this entry.
const UNKNOWN_LATENCY_S: f64 = 0.02;

/// Distance of an upstream from an entry.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum Tier {
    /// In the same failure domain.
    #[display("domain")]
    Domain,
    /// In another failure domain of the region.
    #[display("region")]
    Region,
    /// In another region.
    #[display("remote")]
    Remote,
}

/// State of one upstream at an entry.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Service of the upstream.
    pub service: id::ServiceId,
    /// Address of its sidecar.
    pub address: net::SocketAddr,
    /// Distance from this entry.
    pub tier: Tier,
    /// Number of this entry's attempts in flight.
    pub in_flight: u32,
    /// Incarnation of the sidecar; `None` until it has sent a load report.
    pub incarnation: Option<id::Incarnation>,
    /// Failures and ejections.
    pub health: outlier::Health,
    listed_leaving: bool,
    config_draining: bool,
    reported_draining: bool,
    load: Option<wire::Load>,
    reported_at: time::Duration,
    mean_latency: f64,
}

impl Upstream {
    fn new(listed: &membership::ListedInstance, tier: Tier) -> Self {
        Self {
            service: listed.service.clone(),
            address: listed.address,
            tier,
            in_flight: 0,
            incarnation: None,
            health: outlier::Health::default(),
            listed_leaving: listed.leaving,
            config_draining: false,
            reported_draining: false,
            load: None,
            reported_at: time::Duration::ZERO,
            mean_latency: 0.0,
        }
    }

    /// Whether the instance list, the configuration or the last load report shows it as leaving.
    pub fn is_leaving(&self) -> bool {
        self.listed_leaving || self.config_draining || self.reported_draining
    }

    /// Whether the instance list shows the upstream as leaving.
    pub fn is_listed_leaving(&self) -> bool {
        self.listed_leaving
    }

    /// Returns the number of calls that are queued or running at the upstream.
    fn backlog(&self, now: time::Duration) -> f64 {
        let in_flight = f64::from(self.in_flight);
        match &self.load {
            Some(load) if now.saturating_sub(self.reported_at) < MAX_REPORT_AGE => {
                in_flight.max(f64::from(load.running + load.queued))
            }
            _ => in_flight,
        }
    }

    /// Returns the expected duration of a new attempt in seconds, longer after a recent ejection.
    fn expected_seconds(&self, now: time::Duration, rule: outlier::Rule) -> f64 {
        let limit = self.load.as_ref().map_or(1.0, |load| f64::from(load.limit.max(1)));
        let call = if self.mean_latency > 0.0 { self.mean_latency } else { UNKNOWN_LATENCY_S };
        let turns = (self.backlog(now) + 1.0) / limit;
        call * turns.max(1.0) / self.health.traffic_share(now, rule)
    }

    /// Returns the expected time that a new attempt spends in the queue, in seconds.
    fn wait_seconds(&self, now: time::Duration) -> f64 {
        let limit = self.load.as_ref().map_or(1.0, |load| f64::from(load.limit.max(1)));
        let call = if self.mean_latency > 0.0 { self.mean_latency } else { UNKNOWN_LATENCY_S };
        call * ((self.backlog(now) + 1.0) / limit - 1.0).max(0.0)
    }
}

/// Result of [`Router::pick`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Pick {
    /// Picked instance.
    pub instance: id::InstanceId,
    /// Address of its sidecar.
    pub address: net::SocketAddr,
    /// Incarnation of the sidecar; `None` if it is unknown.
    pub incarnation: Option<id::Incarnation>,
    /// Distance of the instance.
    pub tier: Tier,
    /// Rule by which it was picked, for the log.
    pub reason: &'static str,
}

/// Requirements of an attempt for the upstream that is picked.
#[derive(Clone, Debug)]
pub struct PickArgs<'a> {
    /// Service that the upstream has to belong to.
    pub service: &'a id::ServiceId,
    /// Upstreams that were tried already, which are picked only if there are no others.
    pub tried: &'a collections::BTreeSet<id::InstanceId>,
    /// Hash of the prompt prefix; `None` for services that do not cache prefixes.
    pub prefix_hash: Option<u64>,
}

/// Upstreams of all services, and the policy state to pick from them.
#[derive(Debug)]
pub struct Router {
    instance: id::InstanceId,
    domain: id::DomainId,
    upstreams: collections::BTreeMap<id::InstanceId, Upstream>,
    subsets: collections::BTreeMap<id::ServiceId, collections::BTreeSet<id::InstanceId>>,
    rotation: collections::BTreeMap<id::ServiceId, usize>,
    link_bucket: limit::TokenBucket,
    rng: fastrand::Rng,
}

impl Router {
    /// Creates a router without upstreams; random picks are derived from `seed`.
    pub fn new(instance: id::InstanceId, domain: id::DomainId, seed: u64) -> Self {
        Self {
            instance,
            domain,
            upstreams: collections::BTreeMap::new(),
            subsets: collections::BTreeMap::new(),
            rotation: collections::BTreeMap::new(),
            link_bucket: limit::TokenBucket::new(time::Duration::ZERO, 0.0),
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Updates the upstreams from the instance list and the set of drained instances.
    pub fn update(
        &mut self,
        config: &config::Config,
        instances: &membership::Instances,
        draining: &collections::BTreeSet<id::InstanceId>,
    ) {
        self.upstreams.retain(|instance, up| {
            instances.get(instance).is_some_and(|l| l.service == up.service)
        });
        for (instance, listed) in instances {
            let tier = self.tier(config, &listed.domain);
            let up = self
                .upstreams
                .entry(instance.clone())
                .or_insert_with(|| Upstream::new(listed, tier));
            if up.address != listed.address {
                *up = Upstream::new(listed, tier);
            }
            up.tier = tier;
            up.listed_leaving = listed.leaving;
            up.config_draining = draining.contains(instance);
        }
        self.subsets = self.build_subsets(config.policy.subset as usize);
    }

    /// Returns the distance of a failure domain from this entry.
    fn tier(&self, config: &config::Config, domain: &id::DomainId) -> Tier {
        if *domain == self.domain {
            Tier::Domain
        } else if config.region_of(domain).is_some()
            && config.region_of(domain) == config.region_of(&self.domain)
        {
            Tier::Region
        } else {
            Tier::Remote
        }
    }

    /// Returns the upstreams of each service that this entry uses: the nearest and some of the
    /// farthest. Rendezvous hashes order equally near ones, so that entries use different ones.
    fn build_subsets(
        &self,
        size: usize,
    ) -> collections::BTreeMap<id::ServiceId, collections::BTreeSet<id::InstanceId>> {
        let mut ranked: collections::BTreeMap<id::ServiceId, Vec<_>> = collections::BTreeMap::new();
        for (instance, up) in &self.upstreams {
            let seed = xxhash_rust::xxh3::xxh3_64(self.instance.as_str().as_bytes());
            let hash = xxhash_rust::xxh3::xxh3_64_with_seed(instance.as_str().as_bytes(), seed);
            // Leaving upstreams come last, so that they do not use up the subset.
            let rank = (up.is_leaving(), up.tier, hash);
            ranked.entry(up.service.clone()).or_default().push((rank, instance.clone()));
        }
        ranked
            .into_iter()
            .map(|(service, mut all)| {
                all.sort();
                // A third of the subset is far away, in case all near upstreams are lost.
                let near = size - size / 3;
                let mut subset: collections::BTreeSet<_> =
                    all.iter().take(near).map(|(_, instance)| instance.clone()).collect();
                let far = all.iter().rev().filter(|((leaving, ..), _)| !leaving);
                for (_, instance) in far.take(size.saturating_sub(near)) {
                    subset.insert(instance.clone());
                }
                (service, subset)
            })
            .collect()
    }

    /// Returns an upstream, or `None` if the instance list does not contain it.
    pub fn get(&self, instance: &id::InstanceId) -> Option<&Upstream> {
        self.upstreams.get(instance)
    }

    /// Returns the sidecar addresses of the used upstreams that the instance list shows as leaving.
    pub fn listed_leaving(&self) -> Vec<net::SocketAddr> {
        let subset = self.subsets.values().flatten();
        let leaving = subset.filter_map(|instance| self.upstreams.get(instance));
        leaving.filter(|up| up.is_listed_leaving()).map(|up| up.address).collect()
    }

    /// Returns the outlier ejection settings of a configuration.
    pub fn ejection_rule(config: &config::Config) -> outlier::Rule {
        outlier::Rule {
            failures: config.policy.eject_failures,
            base_time: config.policy.eject_ms.duration(),
            warmup: config.policy.warmup_ms.duration(),
        }
    }

    /// Records that an attempt was sent to an upstream.
    pub fn attempt_sent(&mut self, instance: &id::InstanceId) {
        if let Some(up) = self.upstreams.get_mut(instance) {
            up.in_flight += 1;
        }
    }

    /// Counts bytes against the budget of the link between regions if `tier` is in another region.
    pub fn charge_link(
        &mut self,
        now: time::Duration,
        config: &config::Config,
        tier: Tier,
        bytes: u64,
    ) {
        if tier == Tier::Remote {
            let rate = config.policy.cross_rate.0;
            self.link_bucket.charge(now, rate, rate, bytes as f64);
        }
    }

    /// Records that an attempt ended; `latency` is `None` unless it got a complete answer.
    pub fn attempt_ended(&mut self, instance: &id::InstanceId, latency: Option<time::Duration>) {
        let Some(up) = self.upstreams.get_mut(instance) else { return };
        up.in_flight = up.in_flight.saturating_sub(1);
        let Some(latency) = latency else { return };
        up.health.record_success();
        let sample = latency.as_secs_f64();
        up.mean_latency = if up.mean_latency == 0.0 {
            sample
        } else {
            up.mean_latency + (sample - up.mean_latency) * LATENCY_SMOOTHING
        };
    }

    /// Records a failure; returns whether it led to an ejection, which `policy.eject_share` limits.
    pub fn record_failure(
        &mut self,
        now: time::Duration,
        config: &config::Config,
        instance: &id::InstanceId,
    ) -> bool {
        let Some(up) = self.upstreams.get(instance) else { return false };
        let peers: Vec<_> =
            self.upstreams.values().filter(|other| other.service == up.service).collect();
        let ejected = peers.iter().filter(|other| other.health.is_ejected(now)).count();
        let allowed = outlier::max_ejected(peers.len(), config.policy.eject_share.0);
        if ejected >= allowed {
            return false;
        }
        let rule = Self::ejection_rule(config);
        self.upstreams.get_mut(instance).is_some_and(|up| up.health.record_failure(now, rule))
    }

    /// Records a load report of an upstream's sidecar.
    pub fn record_load(
        &mut self,
        now: time::Duration,
        instance: &id::InstanceId,
        load: &wire::Load,
    ) {
        let Some(up) = self.upstreams.get_mut(instance) else { return };
        up.incarnation = Some(load.incarnation);
        up.reported_draining = load.draining;
        up.load = Some(load.clone());
        up.reported_at = now;
    }

    /// Picks an upstream by the configured policy; `None` if the service has none to pick.
    pub fn pick(
        &mut self,
        now: time::Duration,
        config: &config::Config,
        args: &PickArgs<'_>,
    ) -> Option<Pick> {
        let candidates = self.candidates(now, args);
        if candidates.is_empty() {
            return None;
        }
        let (instance, reason) = match config.policy.balance {
            config::Balance::Adaptive => self.pick_adaptive(now, config, args, &candidates),
            config::Balance::Random => (self.pick_random(&candidates), "random"),
            config::Balance::RoundRobin => (self.pick_in_turn(args.service, &candidates), "turn"),
            config::Balance::LeastOutstanding => {
                (self.pick_least_outstanding(&candidates), "least_outstanding")
            }
        };
        let up = &self.upstreams[&instance];
        Some(Pick {
            address: up.address,
            incarnation: up.incarnation,
            tier: up.tier,
            instance,
            reason,
        })
    }

    /// Whether the service has an upstream that accepts work and is not in `tried`.
    pub fn has_untried(
        &self,
        service: &id::ServiceId,
        tried: &collections::BTreeSet<id::InstanceId>,
    ) -> bool {
        let subset = self.subsets.get(service).into_iter().flatten();
        subset.into_iter().any(|instance| {
            !tried.contains(instance)
                && self.upstreams.get(instance).is_some_and(|up| !up.is_leaving())
        })
    }

    /// Returns the upstreams that are not leaving, not tried and not ejected. If there are none, it
    /// also returns ejected ones, and if there are still none, tried ones.
    fn candidates(&self, now: time::Duration, args: &PickArgs<'_>) -> Vec<id::InstanceId> {
        let Some(subset) = self.subsets.get(args.service) else {
            return Vec::new();
        };
        let present: Vec<_> = subset
            .iter()
            .filter(|instance| self.upstreams.get(*instance).is_some_and(|up| !up.is_leaving()))
            .collect();
        let is_healthy =
            |instance: &&&id::InstanceId| !self.upstreams[**instance].health.is_ejected(now);
        let is_untried = |instance: &&&id::InstanceId| !args.tried.contains(**instance);
        let fallbacks: [Vec<_>; 3] = [
            present.iter().filter(is_untried).filter(is_healthy).copied().collect(),
            present.iter().filter(is_untried).copied().collect(),
            present.clone(),
        ];
        let pool = fallbacks.into_iter().find(|candidates| !candidates.is_empty());
        pool.unwrap_or_default().into_iter().cloned().collect()
    }

    fn pick_random(&mut self, candidates: &[id::InstanceId]) -> id::InstanceId {
        candidates[self.rng.usize(..candidates.len())].clone()
    }

    fn pick_in_turn(
        &mut self,
        service: &id::ServiceId,
        candidates: &[id::InstanceId],
    ) -> id::InstanceId {
        let turn = self.rotation.entry(service.clone()).or_default();
        *turn = turn.wrapping_add(1);
        candidates[*turn % candidates.len()].clone()
    }

    fn pick_least_outstanding(&mut self, candidates: &[id::InstanceId]) -> id::InstanceId {
        let in_flight = |instance: &id::InstanceId| self.upstreams[instance].in_flight;
        let least = candidates.iter().map(in_flight).min().unwrap_or(0);
        let best: Vec<_> = candidates.iter().filter(|i| in_flight(i) == least).cloned().collect();
        self.pick_random(&best)
    }

    /// Picks by the default policy, which the module describes; returns the rule that decided.
    fn pick_adaptive(
        &mut self,
        now: time::Duration,
        config: &config::Config,
        args: &PickArgs<'_>,
        candidates: &[id::InstanceId],
    ) -> (id::InstanceId, &'static str) {
        let (pool, reason) = self.nearest_pool(now, config, candidates);
        if let Some(prefix) = args.prefix_hash
            && let Some(instance) = self.prefix_owner(now, prefix, &pool)
        {
            return (instance, "prefix");
        }
        (self.pick_better_of_two(now, config, &pool), reason)
    }

    /// Returns the candidates of the failure domain if one of them has no wait, else those of the
    /// region if one waits at most `policy.cross_ms` or the budget of the link between regions is
    /// used up, else all. The text is the reason for the log.
    fn nearest_pool(
        &mut self,
        now: time::Duration,
        config: &config::Config,
        candidates: &[id::InstanceId],
    ) -> (Vec<id::InstanceId>, &'static str) {
        let max_wait = config.policy.cross_ms.duration().as_secs_f64();
        let up_to = |tier: Tier| -> Vec<id::InstanceId> {
            let nearby = candidates.iter().filter(|i| self.upstreams[*i].tier <= tier);
            nearby.cloned().collect()
        };
        let shortest_wait = |pool: &[id::InstanceId]| {
            let waits = pool.iter().map(|instance| self.upstreams[instance].wait_seconds(now));
            waits.fold(f64::INFINITY, f64::min)
        };
        let domain = up_to(Tier::Domain);
        // Another failure domain is only about a millisecond away, so any wait here costs more.
        if !domain.is_empty() && shortest_wait(&domain) <= 0.0 {
            return (domain, "domain");
        }
        let region = up_to(Tier::Region);
        let rate = config.policy.cross_rate.0;
        let has_credit = self.link_bucket.has_credit(now, rate, rate);
        if !region.is_empty() && (shortest_wait(&region) <= max_wait || !has_credit) {
            return (region, "region");
        }
        (candidates.to_vec(), "remote")
    }

    /// Returns the upstream that the prefix hashes to, unless it is much busier than the average.
    fn prefix_owner(
        &self,
        now: time::Duration,
        prefix: u64,
        pool: &[id::InstanceId],
    ) -> Option<id::InstanceId> {
        let owner = pool.iter().max_by_key(|instance| {
            xxhash_rust::xxh3::xxh3_64_with_seed(instance.as_str().as_bytes(), prefix)
        })?;
        let total: f64 = pool.iter().map(|instance| self.upstreams[instance].backlog(now)).sum();
        let bound = (total / pool.len() as f64) * MAX_AFFINITY_LOAD + 1.0;
        (self.upstreams[owner].backlog(now) <= bound).then(|| owner.clone())
    }

    /// Draws two upstreams at random and returns the one with the shorter expected duration.
    fn pick_better_of_two(
        &mut self,
        now: time::Duration,
        config: &config::Config,
        pool: &[id::InstanceId],
    ) -> id::InstanceId {
        let first = self.rng.usize(..pool.len());
        let mut second = self.rng.usize(..pool.len().max(2) - 1);
        if second >= first {
            second += 1;
        }
        let rule = Self::ejection_rule(config);
        let cost = |index: usize| {
            pool.get(index).map_or(f64::INFINITY, |i| self.upstreams[i].expected_seconds(now, rule))
        };
        let best = if cost(second) < cost(first) { second } else { first };
        pool[best].clone()
    }
}
