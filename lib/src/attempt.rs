//! Ledger of the attempts at one sidecar: the state of each attempt, and how long it is kept.

use std::collections;
use std::time;

use crate::id;
use crate::refusal;

/// Number, assigned by the shell, of a connection on which an entry or sidecar waits for an answer.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, Ord, PartialEq, PartialOrd)]
pub struct ConnId(pub u64);

/// State of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// It waits in the queue of the sidecar.
    Queued,
    /// It was sent to the upstream at this time on the monotonic clock.
    Running(time::Duration),
    /// It ran and its complete answer is kept.
    Done,
    /// It ran and its answer has been dropped.
    AnswerDropped,
    /// It did not run, and a copy that arrives later is refused.
    Tombstoned,
    /// It was sent to the upstream and has no complete answer.
    Failed(refusal::Kind, refusal::Ran),
    /// It has the same idempotency key as this other attempt and gets its answer.
    Joined(id::AttemptId),
}

/// Ledger entry of one attempt.
#[derive(Clone, Debug)]
pub struct Record {
    state: State,
    /// End of its time budget, on the monotonic clock.
    pub deadline: time::Duration,
    /// Whether the call may run more than once.
    pub repeatable: bool,
    /// Idempotency key with which it was admitted; `None` if the caller sent none, the service is
    /// idempotent, or the attempt was refused or joined another one.
    pub key: Option<String>,
    /// Connections that wait for its answer.
    pub conns: collections::BTreeSet<ConnId>,
    /// When the last waiting connection of the open attempt broke, on the monotonic clock; `None`
    /// if none broke or another one has been registered since.
    pub orphaned_at: Option<time::Duration>,
    /// Size of the answer received so far, in bytes, counted from the start of the stream if the
    /// attempt resumes one; zero once the answer is dropped.
    pub answer_bytes: u64,
    /// When it is removed, on the monotonic clock; an open attempt is kept until it has ended.
    expires_at: time::Duration,
}

impl Record {
    /// Creates a record that is kept at least until `expires_at`.
    pub fn new(state: State, deadline: time::Duration, expires_at: time::Duration) -> Self {
        Self {
            state,
            deadline,
            repeatable: true,
            key: None,
            conns: collections::BTreeSet::new(),
            orphaned_at: None,
            answer_bytes: 0,
            expires_at,
        }
    }

    /// Returns the current state, which only [`Ledger::set_state`] changes.
    pub fn state(&self) -> State {
        self.state
    }

    /// Whether the attempt is queued or running.
    pub fn is_open(&self) -> bool {
        matches!(self.state, State::Queued | State::Running(_))
    }
}

/// Attempts that the sidecar keeps, indexed by state, connection and expiry. The caller bounds
/// their number.
#[derive(Debug)]
pub struct Ledger {
    records: collections::BTreeMap<id::AttemptId, Record>,
    expiry: collections::BTreeSet<(time::Duration, id::AttemptId)>,
    conns: collections::BTreeMap<ConnId, id::AttemptId>,
    open: collections::BTreeSet<id::AttemptId>,
    /// Attempts in the order of their completion; some may have lost their answers since.
    finished_order: collections::VecDeque<id::AttemptId>,
    kept_bytes: u64,
}

impl Ledger {
    /// Creates an empty ledger.
    pub fn new() -> Self {
        Self {
            records: collections::BTreeMap::new(),
            expiry: collections::BTreeSet::new(),
            conns: collections::BTreeMap::new(),
            open: collections::BTreeSet::new(),
            finished_order: collections::VecDeque::new(),
            kept_bytes: 0,
        }
    }

    /// Returns the number of attempts in the ledger, in any state.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether the ledger has no attempts.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the sum of [`Record::answer_bytes`] of all attempts.
    pub fn kept_bytes(&self) -> u64 {
        self.kept_bytes
    }

    /// Returns the record of an attempt, or `None` if it is not in the ledger.
    pub fn get(&self, attempt: id::AttemptId) -> Option<&Record> {
        self.records.get(&attempt)
    }

    /// Returns the record of an attempt for modification. `answer_bytes` must not be changed this
    /// way, because the ledger keeps its sum.
    pub fn get_mut(&mut self, attempt: id::AttemptId) -> Option<&mut Record> {
        self.records.get_mut(&attempt)
    }

    /// Returns the attempt whose answer `attempt` gets: the one that it joined, or itself.
    pub fn origin(&self, attempt: id::AttemptId) -> id::AttemptId {
        match self.records.get(&attempt).map(|record| record.state) {
            Some(State::Joined(origin)) => origin,
            _ => attempt,
        }
    }

    /// Adds an attempt, replacing any earlier record of it.
    pub fn insert(&mut self, attempt: id::AttemptId, record: Record) {
        self.expiry.insert((record.expires_at, attempt));
        self.kept_bytes += record.answer_bytes;
        if record.is_open() {
            self.open.insert(attempt);
        }
        if record.state == State::Done {
            self.finished_order.push_back(attempt);
        }
        if let Some(old) = self.records.insert(attempt, record) {
            self.expiry.remove(&(old.expires_at, attempt));
            self.kept_bytes -= old.answer_bytes;
        }
    }

    /// Keeps an attempt at least until `expires_at`.
    pub fn extend_retention(&mut self, attempt: id::AttemptId, expires_at: time::Duration) {
        let Some(record) = self.records.get_mut(&attempt) else { return };
        if record.expires_at < expires_at {
            self.expiry.remove(&(record.expires_at, attempt));
            record.expires_at = expires_at;
            self.expiry.insert((expires_at, attempt));
        }
    }

    /// Counts bytes that were added to an attempt's answer; returns the new size of the answer, or
    /// zero if the attempt is not in the ledger.
    pub fn add_bytes(&mut self, attempt: id::AttemptId, bytes: u64) -> u64 {
        let Some(record) = self.records.get_mut(&attempt) else { return 0 };
        record.answer_bytes += bytes;
        self.kept_bytes += bytes;
        record.answer_bytes
    }

    /// Changes the state of an attempt. Its answer is kept only in the states [`State::Queued`],
    /// [`State::Running`] and [`State::Done`].
    pub fn set_state(&mut self, attempt: id::AttemptId, state: State) {
        let Some(record) = self.records.get_mut(&attempt) else { return };
        record.state = state;
        if !record.is_open() {
            self.open.remove(&attempt);
        }
        match state {
            State::Queued | State::Running(_) => {}
            State::Done => self.finished_order.push_back(attempt),
            _ => {
                self.kept_bytes -= record.answer_bytes;
                record.answer_bytes = 0;
            }
        }
    }

    /// Registers a connection that waits for an attempt's answer.
    pub fn connect(&mut self, attempt: id::AttemptId, conn: ConnId) {
        let Some(record) = self.records.get_mut(&attempt) else { return };
        record.conns.insert(conn);
        record.orphaned_at = None;
        self.conns.insert(conn, attempt);
    }

    /// Removes a connection that broke or received its complete answer. An open attempt without any
    /// connection counts as orphaned from `now` on.
    pub fn disconnect(&mut self, conn: ConnId, now: time::Duration) {
        let Some(attempt) = self.conns.remove(&conn) else { return };
        let Some(record) = self.records.get_mut(&attempt) else { return };
        record.conns.remove(&conn);
        if record.conns.is_empty() && record.is_open() {
            record.orphaned_at = Some(now);
        }
    }

    /// Removes expired attempts that are not open, and returns them.
    pub fn expire(&mut self, now: time::Duration) -> Vec<id::AttemptId> {
        let mut removed = Vec::new();
        while let Some(&(expires_at, attempt)) = self.expiry.first() {
            if expires_at > now {
                break;
            }
            self.expiry.pop_first();
            let open = self.records.get(&attempt).is_some_and(Record::is_open);
            if open {
                // The upstream is still working on it; check again later.
                let later = now + time::Duration::from_secs(1);
                self.expiry.insert((later, attempt));
                if let Some(record) = self.records.get_mut(&attempt) {
                    record.expires_at = later;
                }
                continue;
            }
            if let Some(record) = self.records.remove(&attempt) {
                self.kept_bytes -= record.answer_bytes;
                removed.push(attempt);
            }
        }
        removed
    }

    /// Drops the kept answer that was completed first; returns its attempt, if there is one.
    pub fn drop_oldest_answer(&mut self) -> Option<id::AttemptId> {
        while let Some(attempt) = self.finished_order.pop_front() {
            if self.records.get(&attempt).is_some_and(|record| record.state == State::Done) {
                self.set_state(attempt, State::AnswerDropped);
                return Some(attempt);
            }
        }
        None
    }

    /// Returns the attempts that are queued or running.
    pub fn open_attempts(&self) -> impl Iterator<Item = (id::AttemptId, &Record)> {
        self.open.iter().filter_map(|attempt| Some((*attempt, self.records.get(attempt)?)))
    }

    /// Returns the number of attempts that are queued or running.
    pub fn open_count(&self) -> usize {
        self.open.len()
    }
}

impl Default for Ledger {
    fn default() -> Self {
        Self::new()
    }
}
