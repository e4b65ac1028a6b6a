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
use crate::roster;
use crate::table;
use crate::unit;

/// Slowness relative to the best upstream from which one is left alone while others work.
const SLOW_RATIO: f64 = 2.0;
/// Time given to a request for each rank that it is below the highest.
const RANK_DELAY: time::Duration = time::Duration::from_millis(150);

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
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Waiting {
    /// The piece.
    pub id: PieceId,
    /// Moment by which the stage should be done if the request is to be on time.
    pub due: time::Duration,
    /// Rank of the request; 0 is the highest.
    pub rank: u8,
    /// Usual size of its result.
    pub size: unit::ByteSize,
}

/// Place in the queue.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Place {
    due: time::Duration,
    id: PieceId,
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
    pub pieces: Vec<Waiting>,
    /// Time that the call should take once its turn comes.
    pub expected: time::Duration,
}

/// Pieces that wait, by pool.
#[derive(Debug, Default)]
pub struct Queues {
    queues: collections::BTreeMap<roster::PoolId, collections::BTreeMap<Place, Waiting>>,
}

impl Queues {
    /// Adds a piece.
    pub fn push(&mut self, pool: &roster::PoolId, waiting: Waiting) {
        self.queues.entry(pool.clone()).or_default().insert(place(&waiting), waiting);
    }

    /// Removes all pieces of a group.
    pub fn remove_group(&mut self, pool: &roster::PoolId, group: GroupId) {
        if let Some(queue) = self.queues.get_mut(pool) {
            queue.retain(|_, waiting| waiting.id.group != group);
        }
    }

    /// Returns the number of pieces that wait for a pool.
    pub fn len(&self, pool: &roster::PoolId) -> usize {
        self.queues.get(pool).map_or(0, collections::BTreeMap::len)
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
        let (instance, upstream) = pick(now, pool, fleet)?;
        let held = upstream.held(now).0;
        let room = upstream.room(terms.room).0.saturating_sub(held);
        let pieces = take(now, queue, terms, room, held == 0);
        if pieces.is_empty() {
            return None;
        }
        let expected = terms.duration(pieces.len());
        Some(Dispatch { instance: instance.clone(), pieces, expected })
    }
}

fn place(waiting: &Waiting) -> Place {
    Place { due: waiting.due + RANK_DELAY * u32::from(waiting.rank), id: waiting.id }
}

/// Takes pieces for one call: those that are due first, but after the others once they are late.
/// Pieces for whose results there is no room stay.
fn take(
    now: time::Duration,
    queue: &mut collections::BTreeMap<Place, Waiting>,
    terms: &table::Batching,
    room: u64,
    is_empty: bool,
) -> Vec<Waiting> {
    let first = PieceId { group: GroupId(0), piece: 0 };
    let on_time = Place { due: now + terms.per_call, id: first };
    let order: Vec<Place> =
        queue.range(on_time..).chain(queue.range(..on_time)).map(|(place, _)| *place).collect();
    let mut pieces = Vec::new();
    let mut used = 0;
    for place in order {
        if pieces.len() >= terms.size {
            break;
        }
        let size = queue[&place].size.0;
        let is_first = is_empty && pieces.is_empty();
        if used + size > room && !is_first {
            continue;
        }
        used += size;
        pieces.extend(queue.remove(&place));
    }
    pieces
}

/// Picks a free upstream of the pool: the one with the least work of others, then the one that
/// keeps the fewest results.
fn pick<'a>(
    now: time::Duration,
    pool: &'a roster::PoolId,
    fleet: &'a fleet::Fleet,
) -> Option<(&'a id::InstanceId, &'a fleet::Upstream)> {
    let usable: Vec<_> = fleet.pool(pool).filter(|(_, up)| up.is_usable(now)).collect();
    let best = usable.iter().map(|(_, up)| up.slowness(now)).min_by(f64::total_cmp)?;
    usable
        .into_iter()
        .filter(|(_, up)| up.flying == 0 && up.slowness(now) <= best * SLOW_RATIO)
        .min_by_key(|(_, up)| (up.foreign(now), up.held(now).0))
}
