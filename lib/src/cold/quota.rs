//! Which gateways may call a limited upstream.
//!
//! They are chosen by rendezvous hashing among the live gateways of the upstream's region, so that all
//! gateways that know the same list of gateways choose the same ones and need no message for it.

use std::collections;
use std::time;

use crate::id;
use crate::roster;

/// Time for which a gateway must have been chosen without interruption before it uses its quota.
///
/// The gateway that it replaces may have sent its part within the last second, and learns of the
/// change up to 1.5 s later, which is the pause between two reads of the store and one more until
/// another gateway has asked for them. A gateway that uses a quota was then chosen by the lists of
/// all others a second ago, so that no more than three use one in the same second. A gateway that has
/// just started does not know what its predecessor sent, which is the same case.
pub const QUOTA_DELAY: time::Duration = time::Duration::from_millis(2_500);

/// A live gateway.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Gateway {
    /// Its region; `None` if its failure domain has none.
    pub region: Option<id::RegionId>,
    /// Its announcement, on which the order of a pool depends.
    pub peer: roster::Peer,
}

/// Order in which gateways are chosen for an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Order {
    /// By the hash of gateway and upstream, so that each gateway may call some upstreams of a pool.
    /// Weights do not count, because callers reach all gateways alike.
    Upstream,
    /// By the order in which gateways take on the batches of a pool. Only one gateway calls the
    /// upstreams of such a pool, so it needs quotas for all of them.
    Pool(roster::PoolId),
}

/// An upstream whose rate is or may become limited.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Its region; `None` if its failure domain has none.
    pub region: Option<id::RegionId>,
    /// Number of gateways to choose.
    pub holders: usize,
    /// Order in which they are chosen.
    pub order: Order,
}

/// The quotas of one gateway.
#[derive(Debug, Default)]
pub(super) struct Quotas {
    own: Option<id::InstanceId>,
    gateways: collections::BTreeMap<id::InstanceId, Gateway>,
    /// When the list of gateways last changed.
    changed_at: time::Duration,
    targets: collections::BTreeMap<id::InstanceId, Target>,
    /// Upstreams for which this gateway is chosen.
    held: collections::BTreeMap<id::InstanceId, Held>,
}

/// A choice of this gateway for an upstream.
#[derive(Clone, Copy, Debug)]
struct Held {
    since: time::Duration,
    /// Number of gateways that are chosen.
    holders: usize,
}

impl Quotas {
    /// Applies a list of gateways. An empty one is ignored: this gateway is alive, so the list is not
    /// whole.
    pub(super) fn update_gateways(
        &mut self,
        now: time::Duration,
        own: &id::InstanceId,
        gateways: collections::BTreeMap<id::InstanceId, Gateway>,
    ) {
        let is_same = self.own.as_ref() == Some(own) && self.gateways == gateways;
        if is_same || gateways.is_empty() {
            return;
        }
        self.own = Some(own.clone());
        self.gateways = gateways;
        self.changed_at = now;
        let before = std::mem::take(&mut self.held);
        for (upstream, target) in &self.targets {
            if let Some(holders) = self.chosen_among(upstream, target) {
                let since = before.get(upstream).map_or(now, |held| held.since);
                self.held.insert(upstream.clone(), Held { since, holders });
            }
        }
    }

    /// Lets this gateway be chosen for nothing.
    pub(super) fn give_up(&mut self) {
        self.own = None;
        self.held.clear();
    }

    /// Replaces the upstreams. For a new one, the choice is as old as the list of gateways.
    pub(super) fn update_targets(
        &mut self,
        targets: collections::BTreeMap<id::InstanceId, Target>,
    ) {
        if self.targets == targets {
            return;
        }
        let before = std::mem::replace(&mut self.targets, targets);
        let held_before = std::mem::take(&mut self.held);
        for (upstream, target) in &self.targets {
            if let Some(holders) = self.chosen_among(upstream, target) {
                let is_same = before.get(upstream) == Some(target);
                let since = held_before.get(upstream).filter(|_| is_same).map(|held| held.since);
                let since = since.unwrap_or(self.changed_at);
                self.held.insert(upstream.clone(), Held { since, holders });
            }
        }
    }

    /// Returns whether there are any upstreams to choose gateways for.
    pub(super) fn has_targets(&self) -> bool {
        !self.targets.is_empty()
    }

    /// Returns the time from which this gateway may use its quota for an upstream; `None` if it has
    /// none.
    pub(super) fn usable_from(&self, upstream: &id::InstanceId) -> Option<time::Duration> {
        self.held.get(upstream).map(|held| held.since + QUOTA_DELAY)
    }

    /// Returns the number of gateways that are chosen for an upstream, if this one is among them.
    pub(super) fn holders(&self, upstream: &id::InstanceId) -> Option<usize> {
        self.held.get(upstream).map(|held| held.holders)
    }

    /// Returns how many gateways are chosen for an upstream; `None` if this one is not among them.
    fn chosen_among(&self, upstream: &id::InstanceId, target: &Target) -> Option<usize> {
        let (own, me) = self.gateways.get_key_value(self.own.as_ref()?)?;
        let is_near =
            |gateway: &Gateway| target.region.is_some() && gateway.region == target.region;
        let has_near = self.gateways.values().any(is_near);
        if has_near && !is_near(me) {
            return None;
        }
        let rank = |gateway: &Gateway| rank(gateway, upstream, &target.order);
        let own_rank = (rank(me), own);
        let eligible = self.gateways.iter().filter(|(_, gateway)| !has_near || is_near(gateway));
        let holders = eligible.clone().take(target.holders).count();
        let before_me = eligible.filter(|(name, gateway)| (rank(gateway), *name) > own_rank);
        (before_me.take(target.holders).count() < target.holders).then_some(holders)
    }
}

/// Returns the rank of a gateway for an upstream; the highest ones are chosen.
fn rank(gateway: &Gateway, upstream: &id::InstanceId, order: &Order) -> u64 {
    match order {
        Order::Upstream => {
            let seed = xxhash_rust::xxh3::xxh3_64(upstream.as_str().as_bytes());
            let name = gateway.peer.instance.as_str().as_bytes();
            xxhash_rust::xxh3::xxh3_64_with_seed(name, seed)
        }
        // Scores are positive, so that the order of their bits is that of their values.
        Order::Pool(pool) => roster::rendezvous_score(&gateway.peer, pool.seed()).to_bits(),
    }
}
