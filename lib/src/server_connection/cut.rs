//! Connections that this process ends although a whole request on them is unanswered or its answer is
//! unfinished: why, and how many.

use std::collections;
use std::error;
use std::io;
use std::time;

use crate::http;
use crate::telemetry;

/// Why a connection was cut.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum Reason {
    /// The answer broke off, as its body was aborted.
    #[display("aborted_body")]
    AbortedBody,
    /// The HTTP server failed.
    #[display("server_error")]
    ServerError,
    /// The peer did not read its answer for too long.
    #[display("slow_reader")]
    SlowReader,
    /// The time of a graceful stop was over.
    #[display("stop")]
    Stop,
}

impl Reason {
    /// Returns why a connection with an unfinished answer ended with an error; `None` if its peer or the
    /// network ended it.
    pub fn of_error(error: &(dyn error::Error + 'static)) -> Option<Self> {
        let chain = || std::iter::successors(Some(error), |error| error.source());
        if chain().any(<dyn error::Error>::is::<http::StreamAborted>) {
            return Some(Self::AbortedBody);
        }
        if let Some(e) = chain().find_map(|error| error.downcast_ref::<io::Error>()) {
            // The system's own timeouts have a code; those of a caller's socket have none.
            let is_own = e.kind() == io::ErrorKind::TimedOut && e.raw_os_error().is_none();
            return is_own.then_some(Self::SlowReader);
        }
        let hyper_error = chain().find_map(|error| error.downcast_ref::<hyper::Error>());
        let h2_error = chain().find_map(|error| error.downcast_ref::<h2::Error>());
        if hyper_error.is_some_and(hyper::Error::is_incomplete_message)
            || h2_error.is_some_and(h2::Error::is_remote)
        {
            return None;
        }
        Some(Self::ServerError)
    }
}

/// Interval within which cut connections are logged once.
const LOG_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Connections of a listener that were cut.
#[derive(Debug, Default)]
pub struct Cuts {
    /// Those that were not logged yet.
    counts: collections::BTreeMap<Reason, usize>,
    logged: Option<time::Instant>,
}

impl Cuts {
    /// Counts connections.
    pub fn record(&mut self, reason: Reason, connections: usize) {
        if connections == 0 {
            return;
        }
        let labels = [("reason", reason.to_string())];
        metrics::counter!("connections_cut_total", &labels).increment(connections as u64);
        *self.counts.entry(reason).or_default() += connections;
        self.log();
    }

    /// Logs the connections that were not logged yet, at most once in [`LOG_INTERVAL`].
    pub fn log(&mut self) {
        if self.logged.is_none_or(|at| at.elapsed() >= LOG_INTERVAL) {
            self.log_now();
        }
    }

    /// Logs the connections that were not logged yet.
    pub fn log_now(&mut self) {
        if self.counts.is_empty() {
            return;
        }
        let counts = std::mem::take(&mut self.counts);
        let line = counts
            .into_iter()
            .fold(telemetry::Line::new("connections_cut"), |line, (reason, connections)| {
                line.with(&reason.to_string(), connections)
            });
        log::warn!("{line}");
        self.logged = Some(time::Instant::now());
    }
}
