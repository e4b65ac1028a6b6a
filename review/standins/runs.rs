//! What runners have run, as the checks need it.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// One run of a request.
#[derive(Clone)]
pub struct Run {
    /// Id of the runner.
    pub runner: String,
    /// When it began, since the start of the record.
    pub at: Duration,
}

impl std::fmt::Debug for Run {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "at {} after {:?}", self.runner, self.at)
    }
}

/// Runs by the id of the requester's attempt; clones share them.
#[derive(Clone, Default)]
pub struct Runs(Arc<Mutex<BTreeMap<String, Vec<Run>>>>);

impl Runs {
    pub fn add(&self, request: &str, run: Run) {
        let mut runs = self.0.lock().expect("no holder panics");
        runs.entry(request.to_owned()).or_default().push(run);
    }

    /// Returns the runs of a request.
    pub fn of(&self, request: &str) -> Vec<Run> {
        self.0.lock().expect("no holder panics").get(request).cloned().unwrap_or_default()
    }

    /// Returns the requests that ran with their runs.
    pub fn all(&self) -> BTreeMap<String, Vec<Run>> {
        self.0.lock().expect("no holder panics").clone()
    }
}
