//! What upstreams state about themselves in their answers: that they leave, that they want no calls
//! for a while, or how many they take. A gateway learns it from its own calls, sooner than from the platform's list and also
//! while it cannot read that.

use std::collections;
use std::time;

use crate::id;
use crate::stated_limits;

/// Time for which a process that said that it leaves is remembered.
const LEAVING_MEMORY: time::Duration = time::Duration::from_mins(10);
/// The same if its start time is not known, so that a restarted process cannot be told from it.
const UNKNOWN_START_MEMORY: time::Duration = time::Duration::from_mins(1);
/// Longest pause that is honoured.
const MAX_PAUSE: time::Duration = time::Duration::from_hours(24);

/// One process of an upstream.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Process {
    /// Instance id of the upstream.
    pub instance: id::InstanceId,
    /// Start time in milliseconds since the Unix epoch; `None` if the list does not contain it.
    pub started_ms: Option<u64>,
}

/// What an answer states about the upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// Whether it is about to stop.
    pub is_leaving: bool,
    /// Time for which it wants no calls; `None` if it states none.
    pub pause: Option<time::Duration>,
    /// Rate that it takes from all gateways together.
    pub limit: stated_limits::LimitNotice,
}

impl Notice {
    /// Returns whether the answer states nothing.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// Notices of all upstreams, kept by process, so that they outlast a gap in the platform's list.
#[derive(Debug, Default)]
pub struct Notices {
    /// Processes that leave, with the time until which they are remembered.
    leaving: collections::BTreeMap<Process, time::Duration>,
    /// Processes that want no calls, with the time at which their pauses end.
    paused: collections::BTreeMap<Process, time::Duration>,
}

impl Notices {
    /// Records a notice.
    pub fn record(&mut self, now: time::Duration, process: &Process, notice: Notice) {
        if notice.is_leaving {
            let memory =
                if process.started_ms.is_some() { LEAVING_MEMORY } else { UNKNOWN_START_MEMORY };
            self.leaving.insert(process.clone(), now + memory);
        }
        if let Some(pause) = notice.pause {
            let end = now + pause.min(MAX_PAUSE);
            let known = self.paused.entry(process.clone()).or_insert(end);
            *known = end.max(*known);
        }
    }

    /// Forgets what is over.
    pub fn prune(&mut self, now: time::Duration) {
        self.leaving.retain(|_, until| *until > now);
        self.paused.retain(|_, end| *end > now);
    }

    /// Returns whether a process has said that it leaves.
    pub fn is_leaving(&self, process: &Process) -> bool {
        self.leaving.contains_key(process)
    }

    /// Returns when the pause of a process ends; zero if there is none.
    pub fn pause_end(&self, process: &Process) -> time::Duration {
        self.paused.get(process).copied().unwrap_or_default()
    }
}
