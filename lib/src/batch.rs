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
use crate::routing;
use crate::table;
use crate::unit;

/// Slowness relative to the best upstream from which one is left alone while others work.
const SLOW_RATIO: f64 = 2.0;
/// Part of an upstream's memory for results that one gateway fills.
const ROOM_SHARE: f64 = 0.9;
/// Time given to a request for each rank that it is below the highest.
const RANK_DELAY: time::Duration = time::Duration::from_millis(150);

/// One piece of one stage of a request.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, Ord, PartialEq, PartialOrd)]
#[display("{request}/{stage}/{piece}")]
pub struct PieceId {
    /// The request.
    pub request: id::RequestId,
    /// Index of the stage in the route.
    pub stage: usize,
    /// Index of the piece in the stage.
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

/// Place in the queue; requests that can be on time sort first.
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

/// Pieces that wait, by service.
#[derive(Debug, Default)]
pub struct Queues {
    queues: collections::BTreeMap<id::ServiceId, collections::BTreeMap<Place, Waiting>>,
    seed: u64,
}

impl Queues {
    /// Makes empty queues; gateways with different seeds prefer different upstreams.
    pub fn new(seed: u64) -> Self {
        Self { queues: collections::BTreeMap::new(), seed }
    }

    /// Adds a piece.
    pub fn push(&mut self, service: &id::ServiceId, waiting: Waiting) {
        self.queues.entry(service.clone()).or_default().insert(place(&waiting), waiting);
    }

    /// Removes all pieces of a request.
    pub fn remove_request(&mut self, request: id::RequestId) {
        for queue in self.queues.values_mut() {
            queue.retain(|_, waiting| waiting.id.request != request);
        }
    }

    /// Returns the number of pieces that wait for a service.
    pub fn len(&self, service: &id::ServiceId) -> usize {
        self.queues.get(service).map_or(0, collections::BTreeMap::len)
    }

    /// Returns the services for which pieces wait.
    pub fn services(&self) -> Vec<id::ServiceId> {
        let waiting = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        waiting.map(|(service, _)| service.clone()).collect()
    }

    /// Returns the next call to make for a service, if an upstream is free for one.
    pub fn dispatch(
        &mut self,
        now: time::Duration,
        service: &id::ServiceId,
        terms: &table::Batching,
        fleet: &fleet::Fleet,
    ) -> Option<Dispatch> {
        let queue = self.queues.get_mut(service)?;
        if queue.is_empty() {
            return None;
        }
        let (instance, upstream) = pick(now, service, fleet, self.seed)?;
        let limit = (terms.room.0 as f64 * ROOM_SHARE) as u64;
        let room = limit.saturating_sub(upstream.held.0);
        let pieces = take(now, queue, terms, room, upstream.held.0 == 0);
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
fn take(
    now: time::Duration,
    queue: &mut collections::BTreeMap<Place, Waiting>,
    terms: &table::Batching,
    room: u64,
    is_empty: bool,
) -> Vec<Waiting> {
    let on_time = Place {
        due: now + terms.per_call,
        id: PieceId { request: id::RequestId(0), stage: 0, piece: 0 },
    };
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
            break;
        }
        used += size;
        pieces.extend(queue.remove(&place));
    }
    pieces
}

/// Picks a free upstream: the one with the least work of others, then the nearest.
fn pick<'a>(
    now: time::Duration,
    service: &'a id::ServiceId,
    fleet: &'a fleet::Fleet,
    seed: u64,
) -> Option<(&'a id::InstanceId, &'a fleet::Upstream)> {
    let usable: Vec<_> = fleet.of(service).filter(|(_, up)| up.is_usable(now)).collect();
    let nearest = usable.iter().map(|(_, up)| up.tier).min()?;
    // Results must not cross regions while the own one has an upstream.
    let reach = nearest.max(routing::Tier::Region);
    let within: Vec<_> = usable.into_iter().filter(|(_, up)| up.tier <= reach).collect();
    let best = within.iter().map(|(_, up)| up.slowness(now)).min_by(f64::total_cmp)?;
    within
        .into_iter()
        .filter(|(_, up)| up.flying == 0 && up.slowness(now) <= best * SLOW_RATIO)
        .min_by_key(|(instance, up)| {
            let name = instance.as_str().as_bytes();
            (up.foreign(now), up.tier, xxhash_rust::xxh3::xxh3_64_with_seed(name, seed))
        })
}
