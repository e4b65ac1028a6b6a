//! Requests that wait for quota while all upstreams of their service are cold: which of them get the
//! calls that can be sent, and which are given up.

use std::time;

use crate::id;

/// A request that waits for a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Waiting {
    /// Request that waits.
    pub request: id::RequestId,
    /// Whether its caller has received the beginning of a stream, which would break off.
    pub has_started: bool,
    /// Rank of the request; 0 is the highest priority.
    pub rank: u8,
    /// Time until which a call for it is useful.
    pub latest: time::Duration,
}

/// Sorts requests by the order in which they get calls: streams that would break off, then by rank, and
/// within a rank those first that can wait the least.
pub fn sort(waiting: &mut [Waiting]) {
    waiting.sort_by_key(|one| (!one.has_started, one.rank, one.latest, one.request));
}

/// Which waiting requests get calls.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Plan {
    /// Requests that get no call in time.
    pub given_up: Vec<id::RequestId>,
    /// When the first call can be sent that no waiting request needs; `None` if it is not among the
    /// given times.
    pub next_free: Option<time::Duration>,
}

/// Assigns the times at which calls can be sent, the earliest one first, to the sorted requests.
pub fn plan(waiting: &[Waiting], call_times: &[time::Duration]) -> Plan {
    let mut given_up = Vec::new();
    let mut left = call_times.iter().copied().peekable();
    for one in waiting {
        match left.peek() {
            Some(at) if *at <= one.latest => {
                left.next();
            }
            _ => given_up.push(one.request),
        }
    }
    Plan { given_up, next_free: left.next() }
}
