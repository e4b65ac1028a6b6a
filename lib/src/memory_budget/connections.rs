//! Connections of a listener: which one is closed to make way for a new one. Pure: without input, output
//! or a clock.

use std::collections;
use std::time;

/// Number of a connection.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ConnectionId(pub u64);

/// What a connection waits for.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum State {
    /// Its request is running, or its answer is being written. It is never closed for another one.
    Running,
    /// It is being closed.
    Closing,
    /// It is idle between two requests. It is closed only if no connection is inside a head or a body, as
    /// its caller may be about to use it again.
    Idle,
    /// The rest of a head or of a body has to arrive.
    Receiving,
}

/// Whether a new connection is served.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// There is room.
    Admitted,
    /// This connection has to be closed to make room.
    InPlaceOf(ConnectionId),
    /// All connections are running or being closed.
    Refused,
}

/// Connections of one listener.
#[derive(Debug)]
pub struct Connections {
    limit: usize,
    open: collections::BTreeMap<ConnectionId, (State, time::Duration)>,
}

impl Connections {
    /// Makes a register for at most so many connections, besides those that are being closed.
    pub fn new(limit: usize) -> Self {
        Self { limit, open: collections::BTreeMap::new() }
    }

    /// Returns the number of connections.
    pub fn count(&self) -> usize {
        self.open.len()
    }

    /// Decides on a new connection, which waits for a head if it is admitted. The connections that are
    /// being closed may exceed the limit by an eighth.
    pub fn admit(&mut self, now: time::Duration, id: ConnectionId) -> Admission {
        if self.open.len() < self.limit {
            self.open.insert(id, (State::Receiving, now));
            return Admission::Admitted;
        }
        let waiting = self.open.iter().filter(|(_, (state, _))| *state >= State::Idle);
        let longest =
            waiting.max_by_key(|(_, (state, since))| (*state, now.saturating_sub(*since)));
        let Some((oldest, _)) = longest else { return Admission::Refused };
        if self.open.len() > self.limit + self.limit / 8 {
            return Admission::Refused;
        }
        let oldest = *oldest;
        self.open.insert(oldest, (State::Closing, now));
        self.open.insert(id, (State::Receiving, now));
        Admission::InPlaceOf(oldest)
    }

    /// Records what a connection waits for now.
    pub fn set_state(&mut self, now: time::Duration, id: ConnectionId, state: State) {
        if let Some(entry) = self.open.get_mut(&id)
            && entry.0 != State::Closing
            && entry.0 != state
        {
            *entry = (state, now);
        }
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, id: ConnectionId) {
        self.open.remove(&id);
    }
}
