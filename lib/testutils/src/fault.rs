//! Faults that a stand-in shows on command.

use std::sync;
use std::time;

/// Faults of one stand-in. All are off by default.
#[derive(Clone, Debug, Default, serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Time added before each answer, in milliseconds.
    pub delay_ms: u64,
    /// Status to answer with, without doing any work; zero is off.
    pub status: u16,
    /// Whether requests are taken and never answered.
    pub hang: bool,
    /// Bytes of the answer after which the connection breaks; zero is off.
    pub cut_after: u64,
    /// Bytes of the answer after which it ends as if it were whole; zero is off.
    pub end_after: u64,
    /// Whether the work is done and the connection broken before the answer.
    pub drop_answer: bool,
    /// Whether every connection breaks before any work is done.
    pub outage: bool,
    /// Requests that the faults apply to; they are off afterwards. Without it they stay on.
    pub times: Option<u32>,
}

/// Faults that can be changed while the stand-in runs.
#[derive(Clone, Debug, Default)]
pub struct Injector {
    faults: sync::Arc<sync::Mutex<Faults>>,
}

impl Injector {
    /// Replaces the faults.
    ///
    /// # Panics
    /// Panics if another holder of the lock panicked.
    pub fn set(&self, faults: Faults) {
        *self.faults.lock().expect("no holder panics") = faults;
    }

    /// Returns the faults for the next request and counts it.
    ///
    /// # Panics
    /// Panics if another holder of the lock panicked.
    pub fn next(&self) -> Faults {
        let mut faults = self.faults.lock().expect("no holder panics");
        match &mut faults.times {
            Some(0) => {
                *faults = Faults::default();
                Faults::default()
            }
            Some(times) => {
                *times -= 1;
                faults.clone()
            }
            None => faults.clone(),
        }
    }
}

/// Waits as the faults say; never returns if they say to hang.
pub async fn pause(faults: &Faults) {
    if faults.hang {
        std::future::pending::<()>().await;
    }
    if faults.delay_ms > 0 {
        tokio::time::sleep(time::Duration::from_millis(faults.delay_ms)).await;
    }
}
