//! Memory for answers that are being received, which all calls of a process share.
//!
//! An upstream may send bytes without end, on many calls at a time. Each answer has a limit of its own,
//! but the sum of these limits exceeds the memory of an instance. Small answers need no share of the
//! budget, so large ones do not displace them.

use std::sync;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Bytes that each call may hold besides the budget.
const FREE_BYTES: usize = 64 << 10;

/// Bytes that the calls of a process may hold together; clones share them.
#[derive(Clone, Debug)]
pub struct ReadBudget {
    bytes: sync::Arc<Semaphore>,
}

impl ReadBudget {
    /// Makes a budget of so many bytes.
    pub fn new(bytes: usize) -> Self {
        Self { bytes: sync::Arc::new(Semaphore::new(bytes)) }
    }

    /// Makes a share of the budget for one call. It is empty, and given back when it is dropped.
    pub fn share(&self) -> Share {
        Share { budget: self.clone(), held: None }
    }
}

/// Part of the budget that one call holds.
#[derive(Debug)]
pub struct Share {
    budget: ReadBudget,
    held: Option<OwnedSemaphorePermit>,
}

impl Share {
    /// Adapts the share to the number of bytes that the call holds now. Returns false if the budget
    /// does not have them; the share then stays as it is.
    pub fn resize(&mut self, bytes: usize) -> bool {
        let needed = bytes.saturating_sub(FREE_BYTES);
        let held = self.held.as_ref().map_or(0, OwnedSemaphorePermit::num_permits);
        if needed <= held {
            // Dropping the surplus gives it back.
            drop(self.held.as_mut().and_then(|permit| permit.split(held - needed)));
            return true;
        }
        let Ok(missing) = u32::try_from(needed - held) else { return false };
        let Ok(more) = sync::Arc::clone(&self.budget.bytes).try_acquire_many_owned(missing) else {
            return false;
        };
        match &mut self.held {
            Some(permit) => permit.merge(more),
            None => self.held = Some(more),
        }
        true
    }
}
