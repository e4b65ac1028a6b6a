//! Rate limits that upstreams state in their answers: the calls a second that one takes from all
//! gateways together, until it answers without a limit.
//!
//! Answers of one upstream arrive out of order, and gateways pass on what they were told. So each
//! statement has the time at which it is known to have held, and a later one replaces it.

use std::collections;
use std::time;

use crate::unit;
use crate::upstream_notice;

/// Time after which a statement that was not repeated is forgotten.
const MEMORY: time::Duration = time::Duration::from_mins(1);

/// What an answer says about the rate that its upstream takes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LimitNotice {
    /// Nothing: the upstream takes any rate.
    #[default]
    Absent,
    /// Something that is no rate.
    Unreadable,
    /// The rate from all gateways together.
    Rate(unit::PerSecond),
}

/// Latest statement of one process of an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Statement {
    /// Rate that it takes; `None` if it states no limit any more.
    pub rate: Option<unit::PerSecond>,
    /// Latest time at which this is known to have held.
    pub at: time::Duration,
    /// When the rate last changed, as far as this gateway knows.
    pub changed_at: time::Duration,
}

impl Statement {
    /// Returns the time at which it is forgotten unless it is repeated.
    pub fn end(&self) -> time::Duration {
        self.at + MEMORY
    }
}

/// Statements of all upstreams, by process.
#[derive(Debug, Default)]
pub struct StatedLimits {
    statements: collections::BTreeMap<upstream_notice::Process, Statement>,
}

impl StatedLimits {
    /// Records what an answer to a call that was sent at `sent_at` says. Returns whether the limit
    /// has changed.
    pub fn record(
        &mut self,
        now: time::Duration,
        sent_at: time::Duration,
        process: &upstream_notice::Process,
        notice: LimitNotice,
    ) -> bool {
        let rate = match notice {
            LimitNotice::Unreadable => return false,
            LimitNotice::Absent => None,
            LimitNotice::Rate(rate) => Some(rate),
        };
        let known = self.statements.get(process);
        // An answer may have overtaken one that was given later. Only a call that was sent after the
        // statement was heard shows that the upstream takes more by now.
        let takes_more = known.is_some_and(|known| is_above(rate, known.rate));
        let at = if takes_more { sent_at } else { now };
        if known.is_none() && rate.is_none() {
            return false;
        }
        self.put(now, process, rate, at)
    }

    fn put(
        &mut self,
        now: time::Duration,
        process: &upstream_notice::Process,
        rate: Option<unit::PerSecond>,
        at: time::Duration,
    ) -> bool {
        let Some(known) = self.statements.get_mut(process) else {
            let statement = Statement { rate, at, changed_at: now };
            self.statements.insert(process.clone(), statement);
            return rate.is_some();
        };
        if at <= known.at {
            return false;
        }
        known.at = at;
        let is_changed = known.rate != rate;
        if is_changed {
            known.rate = rate;
            known.changed_at = now;
        }
        is_changed
    }

    /// Returns the latest statement of a process.
    pub fn get(&self, process: &upstream_notice::Process) -> Option<&Statement> {
        self.statements.get(process)
    }

    /// Forgets what was not repeated for long.
    pub fn prune(&mut self, now: time::Duration) {
        self.statements.retain(|_, statement| statement.end() > now);
    }
}

/// Returns whether a rate is above another one; without a rate, there is no bound.
fn is_above(rate: Option<unit::PerSecond>, other: Option<unit::PerSecond>) -> bool {
    match (rate, other) {
        (_, None) => false,
        (None, Some(_)) => true,
        (Some(rate), Some(other)) => rate.0 > other.0,
    }
}
