//! Rate limits that upstreams state in their answers: the calls a second that one takes from all
//! gateways together, until it answers without a limit.
//!
//! Answers of one upstream arrive out of order, and gateways pass on what they have received. So each
//! statement has the time at which it is known to have held, and a later one replaces it.

use std::collections;
use std::time;

use crate::id;
use crate::unit;
use crate::upstream_notice;

/// Time after which a statement that was not repeated is forgotten.
const MEMORY: time::Duration = time::Duration::from_mins(1);

/// Age up to which a change is in each message to another gateway. Everything else is sent now and
/// then, so that it is not forgotten.
const NEWS_AGE: time::Duration = time::Duration::from_secs(5);
/// Largest number of statements in one message between gateways.
const MAX_SENT: usize = 32;

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

/// A statement that another gateway has received.
#[derive(Clone, Debug, PartialEq)]
pub struct RelayedLimit {
    /// Process that made it.
    pub process: upstream_notice::Process,
    /// Rate that it takes; `None` if it states no limit any more.
    pub rate: Option<unit::PerSecond>,
    /// Latest time at which this is known to have held.
    pub at: time::Duration,
}

/// A statement in a message between gateways, whose clocks differ.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct LimitMessage {
    /// Instance id of the upstream.
    pub instance: id::InstanceId,
    /// Start time of its process in milliseconds since the Unix epoch, if it is known.
    pub started_ms: Option<u64>,
    /// Rate that it takes; `None` if it states no limit any more.
    pub rate: Option<unit::PerSecond>,
    /// Time since the latest moment at which this is known to have held, rounded up.
    pub age_ms: unit::Millis,
}

impl LimitMessage {
    /// Returns the statement as one of this process's clock; `None` if it holds no rate. `now` is a
    /// time at which the message was on its way.
    pub fn to_relayed(&self, now: time::Duration) -> Option<RelayedLimit> {
        if self.rate.is_some_and(|rate| rate.0.is_nan() || rate.0 < 0.0) {
            return None;
        }
        let (instance, started_ms) = (self.instance.clone(), self.started_ms);
        let process = upstream_notice::Process { instance, started_ms };
        Some(RelayedLimit {
            process,
            rate: self.rate,
            at: now.checked_sub(self.age_ms.duration())?,
        })
    }
}

/// Which statements go into a message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Selection {
    /// Those that have changed lately.
    News,
    /// All.
    All,
}

/// Statements of all upstreams, by process.
#[derive(Clone, Debug, Default)]
pub struct StatedLimits {
    statements: collections::BTreeMap<upstream_notice::Process, Statement>,
    /// Counts what was recorded, so that others see whether anything was.
    revision: u64,
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
        // statement was received shows that the upstream takes more by now.
        let takes_more = known.is_some_and(|known| is_above(rate, known.rate));
        let at = if takes_more { sent_at } else { now };
        if known.is_none() && rate.is_none() {
            return false;
        }
        self.put(now, process, rate, at)
    }

    /// Adopts a statement that another gateway has received, unless a later one is known. Returns whether
    /// the limit has changed.
    pub fn adopt(&mut self, now: time::Duration, relayed: &RelayedLimit) -> bool {
        let at = relayed.at.min(now);
        self.put(now, &relayed.process, relayed.rate, at)
    }

    fn put(
        &mut self,
        now: time::Duration,
        process: &upstream_notice::Process,
        rate: Option<unit::PerSecond>,
        at: time::Duration,
    ) -> bool {
        self.revision += 1;
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

    /// Returns a number that changes whenever something is recorded.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the statements for a message to another gateway: the latest changes first, and of the
    /// others a random choice if there are too many.
    pub fn select(
        &self,
        now: time::Duration,
        selection: Selection,
        rng: &mut fastrand::Rng,
    ) -> Vec<LimitMessage> {
        let is_news = |statement: &Statement| now.saturating_sub(statement.changed_at) < NEWS_AGE;
        let (mut selected, mut others): (Vec<_>, Vec<_>) =
            self.statements.iter().partition(|(_, statement)| is_news(statement));
        selected.sort_by_key(|(_, statement)| std::cmp::Reverse(statement.changed_at));
        if selection == Selection::All {
            rng.shuffle(&mut others);
            selected.append(&mut others);
        }
        selected.truncate(MAX_SENT);
        let messages = selected.into_iter().map(|(process, statement)| LimitMessage {
            instance: process.instance.clone(),
            started_ms: process.started_ms,
            rate: statement.rate,
            age_ms: unit::Millis(unit::Millis::from(now.saturating_sub(statement.at)).0 + 1),
        });
        messages.collect()
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
