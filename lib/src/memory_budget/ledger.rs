//! Accounts of the memory budget: who may hold more, and whose body is evicted for it. Pure: without
//! input, output or a clock.

use std::collections;
use std::net;
use std::time;

/// Number of a holder.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct HolderId(u64);

/// What memory is held for.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum Purpose {
    /// A body or a message that is being received. Only this can be evicted.
    #[display("arriving")]
    Arriving,
    /// A body that arrived whole: its request is running.
    #[display("kept")]
    Kept,
    /// An answer that is being received from an upstream.
    #[display("receiving")]
    Receiving,
    /// An answer that waits until its caller has read it.
    #[display("answer")]
    Answer,
}

/// Size up to which a holder is small. Small holders may use a part of the budget that larger ones may
/// not, so that a few large bodies do not keep ordinary requests out.
pub const SMALL_BYTES: usize = 64 << 10;
/// Bytes of large answers that may be received at a time, also if the budget has more. Upstreams that send
/// without an end would otherwise fill the budget of an instance whose settings state no capacity.
const RECEIVING_BYTES: usize = 32 << 20;
/// Least growth of a buffer.
const MIN_CAPACITY: usize = 4 << 10;
/// Bytes that have to arrive before a body counts as making progress. A caller that sends a few bytes now
/// and then never ends its body in time.
const PROGRESS_BYTES: usize = 16 << 10;
/// Stalls that are shorter than the longest one by at most this count as equally long. Between them, the
/// caller that holds most loses a body.
const STALL_INTERVAL: time::Duration = time::Duration::from_millis(250);

#[derive(Debug)]
struct Holder {
    purpose: Purpose,
    caller: Option<net::IpAddr>,
    bytes: usize,
    /// When the body last made progress.
    progress_at: time::Duration,
    /// Bytes that arrived since then.
    arrived: usize,
}

/// Result of a request for memory.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Grant {
    /// Whether the holder has the memory now.
    pub is_granted: bool,
    /// Holders that were evicted. Their memory has to be freed at once.
    pub evicted: Vec<HolderId>,
}

/// Accounts of all holders.
#[derive(Debug)]
pub struct Ledger {
    total: usize,
    used: usize,
    holders: collections::BTreeMap<HolderId, Holder>,
    next: u64,
}

/// Returns the capacity to which a buffer grows: by half, but not beyond the expected length, so that a
/// body with a declared length does not take more than that.
pub fn next_capacity(capacity: usize, needed: usize, expected: usize) -> usize {
    let grown = (capacity + capacity / 2).max(MIN_CAPACITY).min(expected);
    grown.max(needed)
}

impl Ledger {
    /// Makes a ledger for so many bytes.
    pub fn new(total: usize) -> Self {
        Self { total, used: 0, holders: collections::BTreeMap::new(), next: 0 }
    }

    /// Returns the bytes that all holders may have together.
    pub fn total(&self) -> usize {
        self.total
    }

    /// Returns the bytes that all holders have together.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Returns the bytes held for each purpose.
    pub fn used_by_purpose(&self) -> collections::BTreeMap<Purpose, usize> {
        let purposes = [Purpose::Arriving, Purpose::Kept, Purpose::Receiving, Purpose::Answer];
        let mut used: collections::BTreeMap<_, _> = purposes.map(|purpose| (purpose, 0)).into();
        for holder in self.holders.values() {
            *used.entry(holder.purpose).or_default() += holder.bytes;
        }
        used
    }

    /// Adds a holder without memory.
    pub fn open(
        &mut self,
        now: time::Duration,
        purpose: Purpose,
        caller: Option<net::IpAddr>,
    ) -> HolderId {
        let id = HolderId(self.next);
        self.next += 1;
        let holder = Holder { purpose, caller, bytes: 0, progress_at: now, arrived: 0 };
        self.holders.insert(id, holder);
        id
    }

    /// Removes a holder with its memory.
    pub fn close(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.remove(&id) {
            self.used -= holder.bytes;
        }
    }

    /// Changes what a holder's memory is for.
    pub fn set_purpose(&mut self, now: time::Duration, id: HolderId, purpose: Purpose) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.purpose = purpose;
            holder.progress_at = now;
        }
    }

    /// Records that bytes of a body arrived.
    pub fn progress(&mut self, now: time::Duration, id: HolderId, bytes: usize) {
        let Some(holder) = self.holders.get_mut(&id) else { return };
        holder.arrived += bytes;
        if holder.arrived >= PROGRESS_BYTES {
            holder.arrived = 0;
            holder.progress_at = now;
        }
    }

    /// Sets the memory of a holder, and evicts arriving bodies if that is needed. A holder that is itself
    /// the next to be evicted is refused.
    pub fn resize(&mut self, now: time::Duration, id: HolderId, bytes: usize) -> Grant {
        let Some(holder) = self.holders.get_mut(&id) else { return Grant::default() };
        let purpose = holder.purpose;
        if bytes <= holder.bytes {
            self.used -= holder.bytes - bytes;
            holder.bytes = bytes;
            return Grant { is_granted: true, evicted: Vec::new() };
        }
        let added = bytes - holder.bytes;
        let is_large = bytes > SMALL_BYTES;
        if purpose == Purpose::Receiving && is_large && self.receiving() + added > RECEIVING_BYTES {
            return Grant::default();
        }
        let limit = self.limit(purpose, bytes);
        let Some(evicted) = self.find_victims(now, id, purpose, added, limit) else {
            return Grant::default();
        };
        for victim in &evicted {
            self.close(*victim);
        }
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.bytes = bytes;
        }
        self.used += added;
        Grant { is_granted: true, evicted }
    }

    /// Returns the bytes of all large answers that are being received.
    fn receiving(&self) -> usize {
        let large = self
            .holders
            .values()
            .filter(|holder| holder.purpose == Purpose::Receiving && holder.bytes > SMALL_BYTES);
        large.map(|holder| holder.bytes).sum()
    }

    /// Returns the use of the budget up to which a holder may grow. Running work goes before arriving
    /// bodies, and small holders before large ones.
    fn limit(&self, purpose: Purpose, bytes: usize) -> usize {
        let eighths = match (purpose == Purpose::Arriving, bytes <= SMALL_BYTES) {
            (true, false) => 6,
            (true, true) | (false, false) => 7,
            (false, true) => 8,
        };
        self.total / 8 * eighths
    }

    /// Returns the bodies to evict so that a holder can grow; `None` if that is not possible.
    fn find_victims(
        &self,
        now: time::Duration,
        id: HolderId,
        purpose: Purpose,
        added: usize,
        limit: usize,
    ) -> Option<Vec<HolderId>> {
        let mut excess = (self.used + added).saturating_sub(limit);
        if excess == 0 {
            return Some(Vec::new());
        }
        let mut held: collections::BTreeMap<net::IpAddr, usize> = collections::BTreeMap::new();
        let arriving = || self.holders.iter().filter(|(_, h)| h.purpose == Purpose::Arriving);
        for (_, holder) in arriving() {
            if let Some(caller) = holder.caller {
                *held.entry(caller).or_default() += holder.bytes;
            }
        }
        let mut candidates: Vec<_> = arriving()
            .filter(|(other, holder)| **other == id || holder.bytes > 0)
            .map(|(other, holder)| {
                let stall = now.saturating_sub(holder.progress_at);
                let of_caller = holder.caller.and_then(|caller| held.get(&caller)).copied();
                (stall, of_caller.unwrap_or(0), holder.bytes, *other)
            })
            .collect();
        let mut victims = Vec::new();
        while excess > 0 {
            let longest = candidates.iter().map(|(stall, ..)| *stall).max()?;
            let (index, (.., next)) = candidates
                .iter()
                .enumerate()
                .filter(|(_, (stall, ..))| *stall + STALL_INTERVAL >= longest)
                .max_by_key(|(_, (stall, of_caller, bytes, _))| (*of_caller, *stall, *bytes))?;
            let next = *next;
            candidates.swap_remove(index);
            // The holder that asks is the next to be evicted.
            if next == id && purpose == Purpose::Arriving {
                return None;
            }
            excess = excess.saturating_sub(self.holders[&next].bytes);
            victims.push(next);
        }
        Some(victims)
    }
}
