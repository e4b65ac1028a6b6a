//! Memory that a process holds on behalf of callers, upstreams and other processes of the system.
//!
//! One budget, derived from the capacity of the instance, covers bodies that are being received, bodies
//! and answers that are kept, and answers that slow callers have not read yet. [`ledger`] decides who gets
//! memory and whose body is evicted, and [`connections`] which connection is closed for a new one; both
//! are pure. This module keeps the buffers and carries the decisions out. Of the other
//! modules of this crate, it imports only [`crate::gateway_settings`].
//!
//! Bytes that were received are returned as [`bytes::Bytes`] whose share of the budget ends with the last
//! reference to them, so that no path can forget to give it back.

pub mod connections;
pub mod ledger;

use std::collections;
use std::net;
use std::sync;
use std::time;

use tokio::sync::Notify;

use crate::gateway_settings;

/// Part of the memory for what is held on behalf of others, and the same part for the buffers of
/// connections. The rest is for the process itself and for gaps between allocations.
const DIVISOR: u64 = 3;
/// Buffers of a connection inside a request: the largest read buffer of the HTTP server.
const CONNECTION_BYTES: u64 = 32 << 10;
/// Descriptors for listeners, the store, logs and the runtime.
const OWN_FILES: usize = 64;

/// Limits of a process that follow from the capacity of its instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Bytes held on behalf of others.
    pub bytes: usize,
    /// Connections of the listener for callers, or of a sidecar.
    pub callers: usize,
    /// Connections of the listener for other processes of the system.
    pub peers: usize,
}

impl Limits {
    /// Derives the limits. Callers get two fifths of the descriptors, as each of their requests may need
    /// another connection to an upstream.
    pub fn new(capacity: gateway_settings::Capacity) -> Self {
        let bytes = capacity.memory_mb.saturating_mul(1_000_000) / DIVISOR;
        let files = capacity.max_files.saturating_sub(OWN_FILES).max(OWN_FILES);
        let by_memory = usize::try_from(bytes / CONNECTION_BYTES).unwrap_or(usize::MAX);
        Self {
            bytes: usize::try_from(bytes).unwrap_or(usize::MAX),
            callers: (files * 2 / 5).min(by_memory).max(1),
            peers: (files / 10).min(by_memory).max(1),
        }
    }
}

/// Budget of a process; clones share it.
#[derive(Clone, Debug)]
pub struct Budget {
    limits: Limits,
    start: time::Instant,
    inner: sync::Arc<sync::Mutex<Inner>>,
}

#[derive(Debug)]
struct Inner {
    ledger: ledger::Ledger,
    holders: collections::BTreeMap<ledger::HolderId, Slot>,
    /// When a line was last logged, and the requests for memory refused and the bodies evicted since
    /// then. A holder that asks again is counted again.
    logged: Option<time::Instant>,
    refused: u64,
    evicted: u64,
}

/// Interval within which refusals and evictions are logged once.
const LOG_INTERVAL: time::Duration = time::Duration::from_secs(1);

impl Inner {
    fn log(&mut self) {
        if self.logged.is_some_and(|at| at.elapsed() < LOG_INTERVAL) {
            return;
        }
        let (used, total) = (self.ledger.used(), self.ledger.total());
        log::warn!(
            "event=memory_short used={used} total={total} refused={} evicted={}",
            self.refused,
            self.evicted
        );
        self.logged = Some(time::Instant::now());
        (self.refused, self.evicted) = (0, 0);
    }
}

/// What belongs to a holder besides its account.
#[derive(Debug, Default)]
struct Slot {
    /// Bytes that are being received. They are dropped when the holder is evicted.
    buffer: Vec<u8>,
    evicted: sync::Arc<Notify>,
}

/// The budget is used up, or the holder was evicted in favour of others.
#[derive(Clone, Copy, Debug, derive_more::Display, derive_more::Error, Eq, PartialEq)]
#[display("the memory for bodies is used up; try again later")]
pub struct NoMemory;

impl Budget {
    /// Makes the budget of a process on an instance with a capacity.
    pub fn new(capacity: gateway_settings::Capacity) -> Self {
        Self::with_limits(Limits::new(capacity))
    }

    /// Makes a budget with the given limits.
    pub fn with_limits(limits: Limits) -> Self {
        let inner = Inner {
            ledger: ledger::Ledger::new(limits.bytes),
            holders: collections::BTreeMap::new(),
            logged: None,
            refused: 0,
            evicted: 0,
        };
        Self { limits, start: time::Instant::now(), inner: sync::Arc::new(sync::Mutex::new(inner)) }
    }

    /// Returns the limits of the process.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Returns whether so much is held that callers which do not read lose their connections.
    pub fn is_short(&self) -> bool {
        let inner = self.lock();
        inner.ledger.used() > inner.ledger.total() / 2
    }

    fn lock(&self) -> sync::MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder panics")
    }

    /// Makes an empty share of the budget. It is given back when it is dropped.
    pub fn share(&self, purpose: ledger::Purpose, caller: Option<net::IpAddr>) -> Share {
        let mut inner = self.lock();
        let id = inner.ledger.open(self.start.elapsed(), purpose, caller);
        let evicted = sync::Arc::new(Notify::new());
        inner.holders.insert(id, Slot { buffer: Vec::new(), evicted: evicted.clone() });
        Share { budget: self.clone(), id, evicted, extra: 0 }
    }

    /// Accounts for bytes until the last reference to them is dropped.
    ///
    /// # Errors
    /// Fails if the budget does not have the memory.
    pub fn hold(
        &self,
        data: bytes::Bytes,
        purpose: ledger::Purpose,
    ) -> Result<bytes::Bytes, NoMemory> {
        let mut share = self.share(purpose, None);
        share.resize(data.len())?;
        Ok(bytes::Bytes::from_owner(Held { data, _share: share }))
    }

    /// Sets the gauges of the budget by purpose.
    pub fn publish(&self) {
        let inner = self.lock();
        for (purpose, bytes) in inner.ledger.used_by_purpose() {
            metrics::gauge!("memory_budget_bytes", "purpose" => purpose.to_string())
                .set(bytes as f64);
        }
        metrics::gauge!("memory_budget_total_bytes").set(inner.ledger.total() as f64);
    }
}

/// Bytes with their share of the budget.
struct Held<T> {
    data: T,
    /// Given back when it is dropped with the bytes.
    _share: Share,
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for Held<T> {
    fn as_ref(&self) -> &[u8] {
        self.data.as_ref()
    }
}

/// Part of the budget that one holder has.
#[derive(Debug)]
pub struct Share {
    budget: Budget,
    id: ledger::HolderId,
    evicted: sync::Arc<Notify>,
    /// Bytes that are held besides the buffer.
    extra: usize,
}

impl Share {
    /// Accounts for bytes that are held besides the buffer, such as the head of a request.
    ///
    /// # Errors
    /// Fails if the budget does not have the memory.
    pub fn add_extra(&mut self, bytes: usize) -> Result<(), NoMemory> {
        self.resize(bytes)?;
        self.extra = bytes;
        Ok(())
    }

    /// Adapts the share to the number of bytes that are held now.
    ///
    /// # Errors
    /// Fails if the budget does not have the memory, or the holder was evicted; the share then stays as
    /// it is.
    pub fn resize(&mut self, bytes: usize) -> Result<(), NoMemory> {
        resize(&mut self.budget.lock(), self.budget.start.elapsed(), self.id, bytes)
    }

    /// Copies bytes to the end of the buffer of this share. `expected` is the length that the buffer will
    /// have, as far as it is known.
    ///
    /// # Errors
    /// Fails if the budget does not have the memory, or the holder was evicted.
    pub fn append(&mut self, data: &[u8], expected: usize) -> Result<usize, NoMemory> {
        let now = self.budget.start.elapsed();
        let mut inner = self.budget.lock();
        let (length, capacity) = inner
            .holders
            .get(&self.id)
            .map(|s| (s.buffer.len(), s.buffer.capacity()))
            .ok_or(NoMemory)?;
        let needed = length + data.len();
        if needed > capacity {
            let capacity = ledger::next_capacity(capacity, needed, expected);
            resize(&mut inner, now, self.id, capacity + self.extra)?;
            let slot = inner.holders.get_mut(&self.id).ok_or(NoMemory)?;
            slot.buffer.reserve_exact(capacity - length);
        }
        inner.holders.get_mut(&self.id).ok_or(NoMemory)?.buffer.extend_from_slice(data);
        inner.ledger.progress(now, self.id, data.len());
        Ok(needed)
    }

    /// Returns a future that completes when the holder is evicted.
    pub fn evicted(&self) -> impl Future<Output = ()> + Send + 'static {
        let evicted = self.evicted.clone();
        async move { evicted.notified().await }
    }

    /// Returns the received bytes with their share, which from now on is held for another purpose and is
    /// not evicted.
    ///
    /// # Errors
    /// Fails if the holder was evicted.
    pub fn into_bytes(self, purpose: ledger::Purpose) -> Result<bytes::Bytes, NoMemory> {
        let data = {
            let now = self.budget.start.elapsed();
            let mut inner = self.budget.lock();
            let slot = inner.holders.get_mut(&self.id).ok_or(NoMemory)?;
            let mut data = std::mem::take(&mut slot.buffer);
            data.shrink_to_fit();
            inner.ledger.set_purpose(now, self.id, purpose);
            // Cannot fail: the share does not grow.
            let _ = resize(&mut inner, now, self.id, data.len() + self.extra);
            data
        };
        if data.is_empty() {
            return Ok(bytes::Bytes::new());
        }
        Ok(bytes::Bytes::from_owner(Held { data, _share: self }))
    }
}

fn resize(
    inner: &mut Inner,
    now: time::Duration,
    id: ledger::HolderId,
    bytes: usize,
) -> Result<(), NoMemory> {
    let grant = inner.ledger.resize(now, id, bytes);
    for evicted in grant.evicted {
        if let Some(slot) = inner.holders.remove(&evicted) {
            slot.evicted.notify_one();
            metrics::counter!("memory_budget_evictions_total").increment(1);
            inner.evicted += 1;
        }
    }
    inner.refused += u64::from(!grant.is_granted);
    if inner.refused + inner.evicted > 0 {
        inner.log();
    }
    if grant.is_granted { Ok(()) } else { Err(NoMemory) }
}

impl Drop for Share {
    fn drop(&mut self) {
        let mut inner = self.budget.lock();
        inner.ledger.close(self.id);
        inner.holders.remove(&self.id);
    }
}
