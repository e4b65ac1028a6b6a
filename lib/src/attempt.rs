//! Ledger of the attempts at one sidecar: what each attempt's state is, and for how long it is
//! remembered.

use std::collections;
use std::time;

use crate::id;
use crate::refusal;

/// Connection of an entry that waits for an attempt's answer, numbered by the shell.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, Ord, PartialEq, PartialOrd)]
pub struct ConnId(pub u64);

/// Where an attempt stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// It waits for its turn.
    Queued,
    /// It was handed to the upstream at this time.
    Running(time::Duration),
    /// Its whole answer is kept.
    Done,
    /// It ran and its answer is not kept any more.
    Dropped,
    /// It did not run and never will.
    Tombstoned,
    /// It was handed to the upstream and has no whole answer.
    Broken(refusal::Kind, refusal::Ran),
    /// It joined the call that runs under this attempt for the same idempotency key.
    Joined(id::AttemptId),
}

/// One attempt.
#[derive(Clone, Debug)]
pub struct Record {
    state: State,
    /// When its budget is spent, on the monotonic clock.
    pub deadline: time::Duration,
    /// Whether the call may run more than once.
    pub repeatable: bool,
    /// Its idempotency key.
    pub key: Option<String>,
    /// Connections that wait for it.
    pub conns: collections::BTreeSet<ConnId>,
    /// When the last waiting connection broke.
    pub orphaned_at: Option<time::Duration>,
    /// Bytes of the answer so far.
    pub length: u64,
    expires_at: time::Duration,
}

impl Record {
    /// Makes a record that is kept at least until `forget`.
    pub fn new(state: State, deadline: time::Duration, forget: time::Duration) -> Self {
        Self {
            state,
            deadline,
            repeatable: true,
            key: None,
            conns: collections::BTreeSet::new(),
            orphaned_at: None,
            length: 0,
            expires_at: forget,
        }
    }

    /// Returns where the attempt stands.
    pub fn state(&self) -> State {
        self.state
    }

    /// Whether the attempt waits or runs.
    pub fn is_open(&self) -> bool {
        matches!(self.state, State::Queued | State::Running(_))
    }
}

/// All attempts that the sidecar remembers, bounded in number.
#[derive(Debug)]
pub struct Ledger {
    records: collections::BTreeMap<id::AttemptId, Record>,
    expiry: collections::BTreeSet<(time::Duration, id::AttemptId)>,
    conns: collections::BTreeMap<ConnId, id::AttemptId>,
    open: collections::BTreeSet<id::AttemptId>,
    finished: collections::VecDeque<id::AttemptId>,
    kept: u64,
}

impl Ledger {
    /// Makes an empty ledger.
    pub fn new() -> Self {
        Self {
            records: collections::BTreeMap::new(),
            expiry: collections::BTreeSet::new(),
            conns: collections::BTreeMap::new(),
            open: collections::BTreeSet::new(),
            finished: collections::VecDeque::new(),
            kept: 0,
        }
    }

    /// Returns the number of attempts remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no attempt is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the bytes of kept answers.
    pub fn kept(&self) -> u64 {
        self.kept
    }

    /// Returns an attempt.
    pub fn get(&self, attempt: id::AttemptId) -> Option<&Record> {
        self.records.get(&attempt)
    }

    /// Returns an attempt for a change of anything but its length.
    pub fn get_mut(&mut self, attempt: id::AttemptId) -> Option<&mut Record> {
        self.records.get_mut(&attempt)
    }

    /// Returns the attempt whose answer serves for `attempt`.
    pub fn origin(&self, attempt: id::AttemptId) -> id::AttemptId {
        match self.records.get(&attempt).map(|record| record.state) {
            Some(State::Joined(origin)) => origin,
            _ => attempt,
        }
    }

    /// Adds an attempt.
    pub fn insert(&mut self, attempt: id::AttemptId, record: Record) {
        self.expiry.insert((record.expires_at, attempt));
        self.kept += record.length;
        if record.is_open() {
            self.open.insert(attempt);
        }
        if record.state == State::Done {
            self.finished.push_back(attempt);
        }
        if let Some(old) = self.records.insert(attempt, record) {
            self.expiry.remove(&(old.expires_at, attempt));
            self.kept -= old.length;
        }
    }

    /// Keeps an attempt at least until `forget`.
    pub fn keep_until(&mut self, attempt: id::AttemptId, forget: time::Duration) {
        let Some(record) = self.records.get_mut(&attempt) else { return };
        if record.expires_at < forget {
            self.expiry.remove(&(record.expires_at, attempt));
            record.expires_at = forget;
            self.expiry.insert((forget, attempt));
        }
    }

    /// Adds bytes to an attempt's answer; returns the new length.
    pub fn grow(&mut self, attempt: id::AttemptId, bytes: u64) -> u64 {
        let Some(record) = self.records.get_mut(&attempt) else { return 0 };
        record.length += bytes;
        self.kept += bytes;
        record.length
    }

    /// Changes where an attempt stands; anything but waiting, running and done drops its answer.
    pub fn set_state(&mut self, attempt: id::AttemptId, state: State) {
        let Some(record) = self.records.get_mut(&attempt) else { return };
        record.state = state;
        if !record.is_open() {
            self.open.remove(&attempt);
        }
        match state {
            State::Queued | State::Running(_) => {}
            State::Done => self.finished.push_back(attempt),
            _ => {
                self.kept -= record.length;
                record.length = 0;
            }
        }
    }

    /// Lets a connection wait for an attempt.
    pub fn connect(&mut self, attempt: id::AttemptId, conn: ConnId) {
        let Some(record) = self.records.get_mut(&attempt) else { return };
        record.conns.insert(conn);
        record.orphaned_at = None;
        self.conns.insert(conn, attempt);
    }

    /// Takes note that a connection broke or got its whole answer.
    pub fn disconnect(&mut self, conn: ConnId, now: time::Duration) {
        let Some(attempt) = self.conns.remove(&conn) else { return };
        let Some(record) = self.records.get_mut(&attempt) else { return };
        record.conns.remove(&conn);
        if record.conns.is_empty() && record.is_open() {
            record.orphaned_at = Some(now);
        }
    }

    /// Removes what is past its time and returns the removed attempts.
    pub fn expire(&mut self, now: time::Duration) -> Vec<id::AttemptId> {
        let mut gone = Vec::new();
        while let Some(&(forget, attempt)) = self.expiry.first() {
            if forget > now {
                break;
            }
            self.expiry.pop_first();
            let open = self.records.get(&attempt).is_some_and(Record::is_open);
            if open {
                // The upstream still works on it: look again later.
                let later = now + time::Duration::from_secs(1);
                self.expiry.insert((later, attempt));
                if let Some(record) = self.records.get_mut(&attempt) {
                    record.expires_at = later;
                }
                continue;
            }
            if let Some(record) = self.records.remove(&attempt) {
                self.kept -= record.length;
                gone.push(attempt);
            }
        }
        gone
    }

    /// Drops the answer that was finished first; returns its attempt if there was one.
    pub fn drop_oldest(&mut self) -> Option<id::AttemptId> {
        while let Some(attempt) = self.finished.pop_front() {
            if self.records.get(&attempt).is_some_and(|record| record.state == State::Done) {
                self.set_state(attempt, State::Dropped);
                return Some(attempt);
            }
        }
        None
    }

    /// Returns the attempts that wait or run.
    pub fn open(&self) -> impl Iterator<Item = (id::AttemptId, &Record)> {
        self.open.iter().filter_map(|attempt| Some((*attempt, self.records.get(attempt)?)))
    }

    /// Returns the number of attempts that wait or run.
    pub fn open_count(&self) -> usize {
        self.open.len()
    }
}

impl Default for Ledger {
    fn default() -> Self {
        Self::new()
    }
}
