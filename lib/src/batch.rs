//! Batches pieces of many requests into calls to the upstreams that do a stage's work.
//!
//! Load pattern: each call costs a fixed time beside that of its pieces, an upstream works on one
//! call at a time, and bursts bring more pieces than calls of one request each could carry. A piece
//! goes out at once while an upstream is free; while all are busy pieces gather, so that calls grow
//! with the load. Pieces of requests that can still be on time go first, by the time they have left.

use std::collections;
use std::time;

use crate::fleet;
use crate::id;
use crate::pool_rate;
use crate::roster;
use crate::table;
use crate::unit;

/// Slowness relative to the best upstream from which one is left alone while others work.
const MAX_SLOWNESS_RATIO: f64 = 2.0;
/// Size from which a result is heavy: it fills a good part of an upstream's memory.
pub const HEAVY_BYTES: u64 = 500_000;
/// Time given to a request for each rank that it is below the highest.
const RANK_DELAY: time::Duration = time::Duration::from_millis(400);
/// Time that a lot yields to those whose inputs are in the upstream's failure domain: less than a
/// call, so that it is not passed over again and again.
const REMOTE_INPUT_DELAY: time::Duration = time::Duration::from_millis(150);
/// Time for which a result is usually kept until what needs it has it.
const RESULT_HOLD_TIME: time::Duration = time::Duration::from_millis(650);
/// Time by which a piece may be behind its due time and still count as on time: the stages after it
/// may go faster than expected.
const DUE_GRACE: time::Duration = time::Duration::from_millis(100);

/// Pieces of one stage of one request.
#[derive(Clone, Copy, Debug, Default, derive_more::Display, Eq, Ord, PartialEq, PartialOrd)]
pub struct GroupId(pub u64);

/// One piece of a group.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, Ord, PartialEq, PartialOrd)]
#[display("{group}/{piece}")]
pub struct PieceId {
    /// The group.
    pub group: GroupId,
    /// Index of the piece in its stage.
    pub piece: u32,
}

/// A piece that waits for a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueuedPiece {
    /// The piece.
    pub id: PieceId,
    /// Moment by which the stage should be done if the request is to be on time.
    pub due: time::Duration,
    /// Rank of the request; 0 is the highest.
    pub rank: u8,
    /// Usual size of its result.
    pub result_size: unit::ByteSize,
    /// Failure domain that keeps what it works on, if that is much.
    pub input_domain: Option<id::DomainId>,
}

/// Number of a call with a batch.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, Ord, PartialEq, PartialOrd)]
pub struct BatchId(pub u64);

/// A call that should be made.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Dispatch {
    /// Upstream to call.
    pub instance: id::InstanceId,
    /// Pieces, in the order in which they should be worked on.
    pub pieces: Vec<QueuedPiece>,
    /// Time that the call should take once its turn comes.
    pub expected_time: time::Duration,
    /// Memory for results that was free at the upstream.
    pub free_memory: unit::ByteSize,
    /// Pieces of the pool that still wait.
    pub remaining_pieces: usize,
}

/// Pieces of one group that wait.
#[derive(Clone, Debug, Default)]
struct QueuedGroup {
    pieces: collections::BTreeMap<u32, QueuedPiece>,
    is_started: bool,
}

impl QueuedGroup {
    fn rank(&self) -> u8 {
        self.pieces.values().next().map_or(u8::MAX, |waiting| waiting.rank)
    }

    /// Returns the failure domain that keeps its inputs, if they are much.
    fn input_domain(&self) -> Option<&id::DomainId> {
        self.pieces.values().next().and_then(|waiting| waiting.input_domain.as_ref())
    }

    /// Whether its inputs would have to be brought from another failure domain.
    fn has_remote_inputs(&self, domain: &id::DomainId) -> bool {
        self.input_domain().is_some_and(|inputs| inputs != domain)
    }

    /// Returns the memory that its results take.
    fn result_bytes(&self) -> u64 {
        self.pieces.values().map(|waiting| waiting.result_size.0).sum()
    }

    /// Returns its place among lots of its class: when it is due, later for lower ranks.
    fn priority_time(&self) -> time::Duration {
        let due = |waiting: &QueuedPiece| waiting.due + RANK_DELAY * u32::from(waiting.rank);
        self.pieces.values().next().map(due).unwrap_or_default()
    }
}

/// Order in which lots are taken: first those of which a part was made already, because its results
/// take up memory for nothing meanwhile; then those that can be on time; then the late ones.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Class {
    Started,
    OnTime,
    Late,
}

/// Ranks that are told apart; all lower ones count as the last.
pub const RANK_COUNT: usize = 4;

/// Returns the index of a rank among those that are told apart.
pub fn rank_index(rank: u8) -> usize {
    usize::from(rank).min(RANK_COUNT - 1)
}

/// Numbers of pieces by rank.
pub type PiecesByRank = [usize; RANK_COUNT];

/// Time that new pieces are expected to wait for a call in a pool.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct WaitEstimate {
    /// For a piece that can be on time, by rank.
    #[serde(rename = "prompt")]
    pub on_time: [time::Duration; RANK_COUNT],
    /// For one that is late already.
    pub late: time::Duration,
}

/// Pieces that wait, by pool.
#[derive(Debug, Default)]
pub struct Queues {
    queues: collections::BTreeMap<roster::PoolId, collections::BTreeMap<GroupId, QueuedGroup>>,
    spare_shares: collections::BTreeMap<roster::PoolId, pool_rate::SpareShare>,
}

impl Queues {
    /// Adds a piece.
    pub fn push(&mut self, pool: &roster::PoolId, waiting: QueuedPiece) {
        self.insert(pool, waiting);
    }

    /// Adds a piece of a group that was begun.
    pub fn push_started(&mut self, pool: &roster::PoolId, waiting: QueuedPiece) {
        self.insert(pool, waiting).is_started = true;
    }

    /// Adds a piece and returns its lot.
    fn insert(&mut self, pool: &roster::PoolId, waiting: QueuedPiece) -> &mut QueuedGroup {
        let queue = self.queues.entry(pool.clone()).or_default();
        let lot = queue.entry(waiting.id.group).or_default();
        lot.pieces.insert(waiting.id.piece, waiting);
        lot
    }

    /// Removes all pieces of a group.
    pub fn remove_group(&mut self, pool: &roster::PoolId, group: GroupId) {
        if let Some(queue) = self.queues.get_mut(pool) {
            queue.remove(&group);
        }
    }

    /// Returns the time until new pieces are expected to have their turn. `pledged` is the number of
    /// pieces of requests that were taken in already and will come to the pool later, `pace` the
    /// part of its nominal rate at which the pool works while pieces wait.
    pub fn estimate_wait(
        &self,
        now: time::Duration,
        pool: &roster::PoolId,
        terms: &table::Batching,
        fleet: &fleet::Fleet,
        pledged: &PiecesByRank,
        pace: pool_rate::RateFactor,
    ) -> WaitEstimate {
        let mut prompt = pledged.map(|pieces| Demand { pieces, bytes: 0 });
        let mut late = Demand::default();
        for lot in self.queues.get(pool).into_iter().flat_map(collections::BTreeMap::values) {
            match classify(now, lot, terms) {
                Class::Late => late.insert(lot),
                Class::Started => prompt[0].insert(lot),
                Class::OnTime => prompt[rank_index(lot.rank())].insert(lot),
            }
        }
        let usable: Vec<_> =
            fleet.pool_upstreams(pool).filter(|(_, up)| up.is_usable(now)).collect();
        let speed: f64 = usable.iter().map(|(_, up)| 1.0 / up.slowness(now).max(0.5)).sum();
        let speed = speed.max(0.25) * pace.0;
        let is_busy = usable.iter().all(|(_, up)| up.in_flight > 0);
        let turn = terms.duration(terms.max_pieces).as_secs_f64() / speed;
        let mut seconds = if is_busy { turn / 2.0 } else { 0.0 };
        let prompt = prompt.map(|demand| {
            seconds += demand.drain_seconds(terms, speed);
            time::Duration::from_secs_f64(seconds)
        });
        // Late work gets what the rest leaves, and the rest goes on coming.
        let spare = self.spare_shares.get(pool).copied().unwrap_or_default().share();
        let own = if spare < 1.0 { turn / terms.max_pieces.max(1) as f64 } else { 0.0 };
        let late = seconds + (late.drain_seconds(terms, speed) + own) / spare;
        WaitEstimate { on_time: prompt, late: time::Duration::from_secs_f64(late) }
    }

    /// Returns the pools for which pieces wait.
    pub fn pools(&self) -> Vec<roster::PoolId> {
        let waiting = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        waiting.map(|(pool, _)| pool.clone()).collect()
    }

    /// Returns the next call to make for a pool, if an upstream is free for one.
    pub fn dispatch(
        &mut self,
        now: time::Duration,
        pool: &roster::PoolId,
        terms: &table::Batching,
        fleet: &fleet::Fleet,
    ) -> Option<Dispatch> {
        let queue = self.queues.get_mut(pool)?;
        if queue.is_empty() {
            return None;
        }
        let first =
            queue.values().min_by_key(|lot| (classify(now, lot, terms), lot.priority_time()))?;
        let (instance, upstream) = pick_upstream(now, pool, terms, first, fleet)?;
        let held = upstream.held_bytes(now).0;
        let room = upstream.usable_memory(terms.result_memory).0.saturating_sub(held);
        let domain = &upstream.entry.domain;
        let queued: usize = queue.values().map(|lot| lot.pieces.len()).sum();
        let before = count_on_time(now, queue, terms);
        let far_places =
            if queued > 2 * terms.max_pieces { terms.max_pieces } else { terms.max_pieces / 4 };
        let pieces = CallBuilder {
            free_memory: room,
            free_places: terms.max_pieces,
            has_no_results: held == 0,
            has_reservation: false,
            max_remote: far_places,
        }
        .take(queue, domain, |lot| {
            let delay = if lot.has_remote_inputs(domain) {
                REMOTE_INPUT_DELAY
            } else {
                time::Duration::ZERO
            };
            (classify(now, lot, terms), lot.priority_time() + delay)
        });
        if pieces.is_empty() {
            return None;
        }
        let after = count_on_time(now, queue, terms);
        let prompt = before.saturating_sub(after);
        let spare = self.spare_shares.entry(pool.clone()).or_default();
        spare.record(terms.max_pieces, pieces.len(), prompt, after > 0);
        let expected = terms.duration(pieces.len());
        let left = queued - pieces.len();
        let room = unit::ByteSize(room);
        Some(Dispatch {
            instance: instance.clone(),
            pieces,
            expected_time: expected,
            free_memory: room,
            remaining_pieces: left,
        })
    }
}

/// Returns the number of pieces that wait and can be on time, or of which a part was made.
fn count_on_time(
    now: time::Duration,
    queue: &collections::BTreeMap<GroupId, QueuedGroup>,
    terms: &table::Batching,
) -> usize {
    let prompt = queue.values().filter(|lot| classify(now, lot, terms) != Class::Late);
    prompt.map(|lot| lot.pieces.len()).sum()
}

/// Work that waits in one class.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    pieces: usize,
    bytes: u64,
}

impl Demand {
    fn insert(&mut self, lot: &QueuedGroup) {
        self.pieces += lot.pieces.len();
        self.bytes += lot.result_bytes();
    }

    /// Returns the seconds until the work has been sent out: bounded by full calls, or by the
    /// memory for results.
    fn drain_seconds(self, terms: &table::Batching, speed: f64) -> f64 {
        let calls = self.pieces as f64 / terms.max_pieces as f64;
        let by_calls = calls * terms.duration(terms.max_pieces).as_secs_f64() / speed;
        let turns = self.bytes as f64 / (terms.result_memory.0.max(1) as f64 * speed);
        by_calls.max(turns * RESULT_HOLD_TIME.as_secs_f64())
    }
}

fn classify(now: time::Duration, lot: &QueuedGroup, terms: &table::Batching) -> Class {
    let due = lot.pieces.values().next().map_or(time::Duration::ZERO, |waiting| waiting.due);
    if lot.is_started {
        Class::Started
    } else if due + DUE_GRACE >= now + terms.duration(lot.pieces.len()) {
        Class::OnTime
    } else {
        Class::Late
    }
}

/// Space of one call.
struct CallBuilder {
    free_memory: u64,
    free_places: usize,
    has_no_results: bool,
    /// Whether a heavy lot waits for more room, which no other heavy lot may take.
    has_reservation: bool,
    /// Places that lots with inputs in another failure domain may have.
    max_remote: usize,
}

impl CallBuilder {
    /// Takes lots in their order for as long as there are places and room.
    fn take(
        mut self,
        queue: &mut collections::BTreeMap<GroupId, QueuedGroup>,
        domain: &id::DomainId,
        order: impl Fn(&QueuedGroup) -> (Class, time::Duration),
    ) -> Vec<QueuedPiece> {
        let mut order: Vec<_> = queue.iter().map(|(group, lot)| (order(lot), *group)).collect();
        order.sort_unstable();
        let mut taken = Vec::new();
        for (_, group) in order {
            if self.free_places == 0 {
                break;
            }
            let Some(lot) = queue.get_mut(&group) else { continue };
            if taken.len() >= self.max_remote && lot.has_remote_inputs(domain) {
                continue;
            }
            self.take_group(lot, &mut taken);
            if lot.pieces.is_empty() {
                queue.remove(&group);
            }
        }
        taken
    }

    fn take_group(&mut self, lot: &mut QueuedGroup, taken: &mut Vec<QueuedPiece>) {
        let size = lot.pieces.values().next().map_or(0, |waiting| waiting.result_size.0);
        let fitting = self.free_memory.checked_div(size).unwrap_or(u64::MAX);
        let mut count = usize::try_from(fitting).unwrap_or(usize::MAX);
        if self.has_no_results && taken.is_empty() {
            count = count.max(1);
        }
        count = count.min(self.free_places);
        let is_heavy = size >= HEAVY_BYTES;
        if is_heavy && self.has_reservation {
            return;
        }
        // A part of a heavy lot would only wait for the rest.
        let may_split = !is_heavy || lot.is_started || taken.is_empty() && self.has_no_results;
        if count < lot.pieces.len() && !may_split {
            self.has_reservation = true;
            return;
        }
        for _ in 0..count {
            let Some((_, waiting)) = lot.pieces.pop_first() else { break };
            self.free_places -= 1;
            self.free_memory = self.free_memory.saturating_sub(size);
            taken.push(waiting);
            lot.is_started = true;
        }
    }
}

/// Picks a free upstream of the pool for a lot: the one with the least work of others, then one with
/// room for it, then one in the failure domain of its inputs, then the one that keeps the fewest
/// results.
fn pick_upstream<'a>(
    now: time::Duration,
    pool: &'a roster::PoolId,
    terms: &table::Batching,
    lot: &QueuedGroup,
    fleet: &'a fleet::Fleet,
) -> Option<(&'a id::InstanceId, &'a fleet::Upstream)> {
    let usable: Vec<_> = fleet.pool_upstreams(pool).filter(|(_, up)| up.is_usable(now)).collect();
    let best = usable.iter().map(|(_, up)| up.slowness(now)).min_by(f64::total_cmp)?;
    usable
        .into_iter()
        .filter(|(_, up)| up.in_flight == 0 && up.slowness(now) <= best * MAX_SLOWNESS_RATIO)
        .min_by_key(|(_, up)| {
            let held = up.held_bytes(now).0;
            let is_full = up.usable_memory(terms.result_memory).0 < held + lot.result_bytes();
            (up.foreign_calls(now), is_full, lot.has_remote_inputs(&up.entry.domain), held)
        })
}
