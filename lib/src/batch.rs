//! Combines pieces of many requests into batch calls to the upstreams that run a stage.
//!
//! Load pattern: each call has a fixed cost besides that of its pieces, an upstream processes one
//! call at a time, and bursts bring more pieces than calls of one request each could carry. A piece
//! is sent immediately while an upstream is idle. While all upstreams are busy, pieces accumulate,
//! so that calls grow with the load. Pieces of requests that can still be on time are sent first,
//! ordered by their remaining time.

mod places;
mod usable_upstreams;

pub use places::GivenUp;

use std::collections;
use std::time;

use crate::fleet;
use crate::id;
use crate::pool_rate;
use crate::roster;
use crate::shedding;
use crate::shedding::loss;
use crate::table;
use crate::unit;

/// Result size from which a group is heavy: its results fill a large part of an upstream's memory.
pub const HEAVY_BYTES: u64 = 500_000;
/// Delay added to the due time of a request for each rank that it is below the highest.
const RANK_DELAY: time::Duration = time::Duration::from_millis(400);
/// Delay added to the due time of a group whose inputs are in another failure domain, so that
/// groups with local inputs go first. Shorter than a call, so that the group is not overtaken
/// repeatedly.
const REMOTE_INPUT_DELAY: time::Duration = time::Duration::from_millis(150);
/// Time for which a result usually occupies memory before the request that needs it has used it.
const RESULT_HOLD_TIME: time::Duration = time::Duration::from_millis(650);
/// Time by which a piece may miss its due time and still count as on time, because later stages may
/// run faster than estimated.
const DUE_GRACE: time::Duration = time::Duration::from_millis(100);

/// Identifies the pieces of one stage of one request, or a part of them.
#[derive(Clone, Copy, Debug, Default, derive_more::Display, Eq, Ord, PartialEq, PartialOrd)]
pub struct GroupId(pub u64);

/// Identifies one piece of a group.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, Ord, PartialEq, PartialOrd)]
#[display("{group}/{piece}")]
pub struct PieceId {
    /// Group that the piece belongs to.
    pub group: GroupId,
    /// Index of the piece within its stage.
    pub piece: u32,
}

/// A piece that waits for a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueuedPiece {
    /// Identity of the piece.
    pub id: PieceId,
    /// Time by which the stage should end for the request to be on time.
    pub due: time::Duration,
    /// Rank of the request; 0 is the highest priority.
    pub rank: u8,
    /// Typical size of the result.
    pub result_size: unit::ByteSize,
    /// Failure domain that the piece should run in, as it holds most of the inputs or the upstream
    /// that reads the result; `None` if these are small.
    pub near_domain: Option<id::DomainId>,
    /// What the loss of its request is judged by; `None` if its gateway does not say.
    pub terms: Option<loss::Terms>,
}

/// Identifies a batch call, unique within the gateway process.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, Ord, PartialEq, PartialOrd)]
pub struct BatchId(pub u64);

/// A batch call that is ready to be sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Dispatch {
    /// Upstream to call.
    pub instance: id::InstanceId,
    /// Pieces in the order in which the upstream should process them.
    pub pieces: Vec<QueuedPiece>,
    /// Time that the upstream is expected to need once it starts the call.
    pub expected_time: time::Duration,
    /// Memory for results that was free at the upstream before this call.
    pub free_memory: unit::ByteSize,
    /// Number of pieces of the pool that are still queued.
    pub remaining_pieces: usize,
}

/// Queued pieces of one group.
#[derive(Clone, Debug, Default)]
struct QueuedGroup {
    /// Queued pieces by their index within the stage.
    pieces: collections::BTreeMap<u32, QueuedPiece>,
    /// Whether other pieces of the group were already sent.
    is_started: bool,
}

impl QueuedGroup {
    /// Returns the rank of the group's request, or the lowest rank if the group is empty.
    fn rank(&self) -> u8 {
        self.pieces.values().next().map_or(u8::MAX, |piece| piece.rank)
    }

    /// Returns the time by which its stage should end.
    fn due(&self) -> time::Duration {
        self.pieces.values().next().map_or(time::Duration::ZERO, |piece| piece.due)
    }

    /// Returns the failure domain that its pieces should run in, if any.
    fn near_domain(&self) -> Option<&id::DomainId> {
        self.pieces.values().next().and_then(|piece| piece.near_domain.as_ref())
    }

    /// Returns whether its pieces should run in another failure domain.
    fn is_remote_from(&self, domain: &id::DomainId) -> bool {
        self.near_domain().is_some_and(|near| near != domain)
    }

    /// Returns whether its results fill a large part of an upstream's memory.
    fn is_heavy(&self) -> bool {
        self.pieces.values().next().is_some_and(|piece| piece.result_size.0 >= HEAVY_BYTES)
    }

    /// Makes a group of which pieces were sent to a failure domain prefer that one for the rest, so
    /// that the next stage finds all results in one place.
    fn stay_near(&mut self, domain: &id::DomainId) {
        for piece in self.pieces.values_mut() {
            piece.near_domain.get_or_insert_with(|| domain.clone());
        }
    }

    /// Returns the memory that the results of its queued pieces will take, in bytes.
    fn result_bytes(&self) -> u64 {
        self.pieces.values().map(|piece| piece.result_size.0).sum()
    }

    /// Returns the time by which groups of one class are ordered: the due time, plus a delay for
    /// lower ranks.
    fn priority_time(&self) -> time::Duration {
        let due = |piece: &QueuedPiece| piece.due + RANK_DELAY * u32::from(piece.rank);
        self.pieces.values().next().map(due).unwrap_or_default()
    }
}

/// Order in which groups are sent. Groups of which some pieces were already sent come first,
/// because results of an incomplete group occupy memory without being usable. Then come groups that
/// can be on time, then late ones.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Class {
    Started,
    OnTime,
    Late,
}

/// Number of ranks with separate estimates; all lower ranks count as the last one.
pub const RANK_COUNT: usize = 4;

/// Returns the index of a rank in per-rank arrays.
pub fn rank_index(rank: u8) -> usize {
    usize::from(rank).min(RANK_COUNT - 1)
}

/// Numbers of pieces by rank index.
pub type PiecesByRank = [usize; RANK_COUNT];

/// Time that new pieces are expected to wait in a pool before they are sent.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct WaitEstimate {
    /// Wait of a piece that can be on time, by rank index.
    #[serde(rename = "prompt")]
    pub on_time: [time::Duration; RANK_COUNT],
    /// Wait of a piece that is already late.
    pub late: time::Duration,
}

/// Queued pieces by pool.
#[derive(Debug, Default)]
pub struct Queues {
    by_pool: collections::BTreeMap<roster::PoolId, collections::BTreeMap<GroupId, QueuedGroup>>,
    spare_shares: collections::BTreeMap<roster::PoolId, pool_rate::SpareShare>,
    /// Rate factors of pools as last recorded.
    rates: collections::BTreeMap<roster::PoolId, pool_rate::RateFactor>,
    /// When groups of a pool that cannot be computed in time were last looked for.
    checked_at: collections::BTreeMap<roster::PoolId, time::Duration>,
    overload: shedding::Overload,
}

impl Queues {
    /// Makes empty queues whose groups yield to each other by the given rule.
    pub fn new(overload: shedding::Overload) -> Self {
        Self { overload, ..Self::default() }
    }

    /// Records the rate factor of a pool.
    pub fn record_rate(&mut self, pool: &roster::PoolId, rate: pool_rate::RateFactor) {
        self.rates.insert(pool.clone(), rate);
    }

    /// Adds a piece of a group of which no piece was sent before.
    pub fn push(&mut self, pool: &roster::PoolId, piece: QueuedPiece) {
        self.insert(pool, piece);
    }

    /// Adds a piece of a group of which some pieces were already sent.
    pub fn push_started(&mut self, pool: &roster::PoolId, piece: QueuedPiece) {
        self.insert(pool, piece).is_started = true;
    }

    /// Adds a piece and returns its group.
    fn insert(&mut self, pool: &roster::PoolId, piece: QueuedPiece) -> &mut QueuedGroup {
        let queue = self.by_pool.entry(pool.clone()).or_default();
        let group = queue.entry(piece.id.group).or_default();
        group.pieces.insert(piece.id.piece, piece);
        group
    }

    /// Removes all queued pieces of a group.
    pub fn remove_group(&mut self, pool: &roster::PoolId, group: GroupId) {
        if let Some(queue) = self.by_pool.get_mut(pool) {
            queue.remove(&group);
        }
    }

    /// Estimates how long new pieces wait in a pool before they are sent. `upcoming` counts the
    /// pieces of admitted requests that will reach the pool later. `rate` is the share of its
    /// nominal rate at which the pool processes pieces while others are queued.
    pub fn estimate_wait(
        &self,
        now: time::Duration,
        pool: &roster::PoolId,
        batching: &table::Batching,
        fleet: &fleet::Fleet,
        upcoming: &PiecesByRank,
        rate: pool_rate::RateFactor,
    ) -> WaitEstimate {
        let mut on_time = upcoming.map(|pieces| Demand { pieces, result_bytes: 0 });
        let mut late = Demand::default();
        for group in self.by_pool.get(pool).into_iter().flat_map(collections::BTreeMap::values) {
            match classify(now, group, batching) {
                Class::Late => late.insert(group),
                // Started groups are sent before all others.
                Class::Started => on_time[0].insert(group),
                Class::OnTime => on_time[rank_index(group.rank())].insert(group),
            }
        }
        let (speed, is_busy) = pool_speed(now, pool, fleet, rate);
        let call_seconds = batching.duration(batching.max_pieces).as_secs_f64() / speed;
        // While all upstreams are busy, a piece waits for half a call on average until one is idle.
        let mut seconds = if is_busy { call_seconds / 2.0 } else { 0.0 };
        let on_time = on_time.map(|demand| {
            seconds += demand.drain_seconds(batching, speed);
            time::Duration::from_secs_f64(seconds)
        });
        // Late pieces use only the share that on-time work leaves free, and on-time work continues
        // to arrive. A new piece then waits for its own share of a call as well.
        let mut spare_share = self.spare_shares.get(pool).copied().unwrap_or_default();
        if self.overload == shedding::Overload::Loss
            && seconds > call_seconds * fleet.pool_upstreams(pool).count() as f64
        {
            // The next call of each upstream is full of on-time work. The recorded share follows
            // the start of a burst only after some calls.
            spare_share = pool_rate::SpareShare::none();
        }
        let spare_share = spare_share.share();
        let piece_seconds = if spare_share >= 1.0 {
            0.0
        } else if self.overload == shedding::Overload::Loss {
            // Late pieces fill calls that on-time work leaves free, so a new one waits until a whole
            // call is left.
            call_seconds
        } else {
            call_seconds / batching.max_pieces.max(1) as f64
        };
        let late = seconds + (late.drain_seconds(batching, speed) + piece_seconds) / spare_share;
        WaitEstimate { on_time, late: time::Duration::from_secs_f64(late) }
    }

    /// Returns the pools that have queued pieces.
    pub fn pools(&self) -> Vec<roster::PoolId> {
        let non_empty = self.by_pool.iter().filter(|(_, queue)| !queue.is_empty());
        non_empty.map(|(pool, _)| pool.clone()).collect()
    }

    /// Takes the pieces of the next call for a pool out of its queue. Returns `None` if nothing is
    /// queued, no upstream is idle, or no piece fits into the memory of the chosen upstream.
    pub fn dispatch(
        &mut self,
        now: time::Duration,
        pool: &roster::PoolId,
        batching: &table::Batching,
        fleet: &fleet::Fleet,
    ) -> Option<Dispatch> {
        let state = self.pool_state(now, pool, batching, fleet);
        let queue = self.by_pool.get_mut(pool)?;
        let queued: usize = queue.values().map(|group| group.pieces.len()).sum();
        let usable = usable_upstreams::UsableUpstreams::find(now, pool, batching, fleet, queued)?;
        let order = match self.overload {
            shedding::Overload::Due => places::due_order(now, queue, batching),
            shedding::Overload::Loss => state.loss_order(queue),
        };
        let mut groups: Vec<_> =
            queue.iter().filter_map(|(id, group)| Some((*order.get(id)?, group))).collect();
        groups.sort_by_key(|(order, _)| *order);
        let (instance, upstream) = groups.into_iter().find_map(|(_, group)| usable.pick(group))?;
        let held = upstream.held_bytes(now).0;
        let total_memory = upstream.usable_memory(batching.result_memory).0;
        let free_memory = total_memory.saturating_sub(held);
        let domain = &upstream.entry.domain;
        let on_time_before = count_on_time(now, queue, batching);
        let max_remote = if queued > 2 * batching.max_pieces {
            batching.max_pieces
        } else {
            batching.max_pieces / 4
        };
        let pieces = CallBuilder {
            free_memory,
            total_memory,
            free_places: batching.max_pieces,
            total_places: batching.max_pieces,
            upstream_empty: held == 0,
            has_reservation: false,
            max_remote,
        }
        .take(queue, domain, |id, group| {
            let mut order = *order.get(&id)?;
            if group.is_remote_from(domain) {
                order.time += REMOTE_INPUT_DELAY;
            }
            usable.may_run(group, domain).then_some(order)
        });
        if pieces.is_empty() {
            return None;
        }
        let on_time_after = count_on_time(now, queue, batching);
        let on_time = on_time_before.saturating_sub(on_time_after);
        let spare_share = self.spare_shares.entry(pool.clone()).or_default();
        spare_share.record(batching.max_pieces, pieces.len(), on_time, on_time_after > 0);
        let expected_time = batching.duration(pieces.len());
        let remaining_pieces = queued - pieces.len();
        let free_memory = unit::ByteSize(free_memory);
        Some(Dispatch {
            instance: instance.clone(),
            pieces,
            expected_time,
            free_memory,
            remaining_pieces,
        })
    }
}

/// Returns the speed of a pool, as a multiple of one upstream at its nominal rate, and whether all of
/// its upstreams are busy. The speed stays above zero, so that estimates are finite if no upstream is
/// usable.
fn pool_speed(
    now: time::Duration,
    pool: &roster::PoolId,
    fleet: &fleet::Fleet,
    rate: pool_rate::RateFactor,
) -> (f64, bool) {
    let usable: Vec<_> = fleet.pool_upstreams(pool).filter(|(_, up)| up.is_usable(now)).collect();
    let speed: f64 = usable.iter().map(|(_, up)| 1.0 / up.slowness(now).max(0.5)).sum();
    (speed.max(0.25) * rate.0, usable.iter().all(|(_, up)| up.in_flight > 0))
}

/// Returns the number of queued pieces that are not late.
fn count_on_time(
    now: time::Duration,
    queue: &collections::BTreeMap<GroupId, QueuedGroup>,
    batching: &table::Batching,
) -> usize {
    let on_time = queue.values().filter(|group| classify(now, group, batching) != Class::Late);
    on_time.map(|group| group.pieces.len()).sum()
}

/// Queued work of one class.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    pieces: usize,
    result_bytes: u64,
}

impl Demand {
    fn insert(&mut self, group: &QueuedGroup) {
        self.pieces += group.pieces.len();
        self.result_bytes += group.result_bytes();
    }

    /// Returns the seconds until all of the work has been sent. It takes as long as the full calls
    /// or as the memory for results requires, whichever is longer.
    fn drain_seconds(self, batching: &table::Batching, speed: f64) -> f64 {
        let calls = self.pieces as f64 / batching.max_pieces as f64;
        let seconds_by_calls = calls * batching.duration(batching.max_pieces).as_secs_f64() / speed;
        let memory_fills =
            self.result_bytes as f64 / (batching.result_memory.0.max(1) as f64 * speed);
        seconds_by_calls.max(memory_fills * RESULT_HOLD_TIME.as_secs_f64())
    }
}

/// Returns the scheduling class of a group. The group can be on time if a call that carries only
/// its pieces and starts now would end by its due time, with some grace.
fn classify(now: time::Duration, group: &QueuedGroup, batching: &table::Batching) -> Class {
    if group.is_started {
        Class::Started
    } else if group.due() + DUE_GRACE >= now + batching.duration(group.pieces.len()) {
        Class::OnTime
    } else {
        Class::Late
    }
}

/// Space that is left in a call while its pieces are chosen.
struct CallBuilder {
    /// Memory for results that is still free at the upstream, in bytes.
    free_memory: u64,
    /// Memory for results that the upstream has for this gateway, in bytes.
    total_memory: u64,
    /// Number of pieces that can still be added.
    free_places: usize,
    /// Number of pieces that a call carries.
    total_places: usize,
    /// Whether the upstream holds no results of this gateway, so that one piece is sent in any
    /// case.
    upstream_empty: bool,
    /// Whether a heavy group is waiting for more memory, which no other heavy group may take.
    has_reservation: bool,
    /// Number of pieces from which no groups with inputs in another failure domain are added.
    max_remote: usize,
}

impl CallBuilder {
    /// Takes groups in the given order until no place or memory is left. Groups without a place in
    /// the order stay in the queue.
    fn take(
        mut self,
        queue: &mut collections::BTreeMap<GroupId, QueuedGroup>,
        domain: &id::DomainId,
        order: impl Fn(GroupId, &QueuedGroup) -> Option<places::Order>,
    ) -> Vec<QueuedPiece> {
        let mut order: Vec<_> =
            queue.iter().filter_map(|(id, group)| Some((order(*id, group)?, *id))).collect();
        order.sort_unstable();
        let mut taken = Vec::new();
        for (_, id) in order {
            if self.free_places == 0 {
                break;
            }
            let Some(group) = queue.get_mut(&id) else { continue };
            if taken.len() >= self.max_remote && group.is_remote_from(domain) {
                continue;
            }
            self.take_group(group, &mut taken);
            if group.pieces.is_empty() {
                queue.remove(&id);
            } else if group.is_started {
                group.stay_near(domain);
            }
        }
        taken
    }

    /// Takes pieces of one group until no place or memory is left. Takes none of a group that must
    /// not be split and does not fit.
    fn take_group(&mut self, group: &mut QueuedGroup, taken: &mut Vec<QueuedPiece>) {
        let size = group.pieces.values().next().map_or(0, |piece| piece.result_size.0);
        let fitting = self.free_memory.checked_div(size).unwrap_or(u64::MAX);
        let mut count = usize::try_from(fitting).unwrap_or(usize::MAX);
        if self.upstream_empty && taken.is_empty() {
            count = count.max(1);
        }
        count = count.min(self.free_places);
        let is_heavy = size >= HEAVY_BYTES;
        if is_heavy && self.has_reservation {
            return;
        }
        // A heavy group is not split, because the results of one part would occupy memory until the
        // rest is done. One that no call can carry whole is split once a call can carry much of it.
        let most = self.total_memory.checked_div(size).unwrap_or(u64::MAX);
        let most = usize::try_from(most).unwrap_or(usize::MAX).min(self.total_places);
        let is_oversized = group.pieces.len() > most && 2 * count >= most;
        let can_split = !is_heavy
            || group.is_started
            || taken.is_empty() && (self.upstream_empty || is_oversized);
        if count < group.pieces.len() && !can_split {
            self.has_reservation = true;
            return;
        }
        for _ in 0..count {
            let Some((_, piece)) = group.pieces.pop_first() else { break };
            self.free_places -= 1;
            self.free_memory = self.free_memory.saturating_sub(size);
            taken.push(piece);
            group.is_started = true;
        }
    }
}
