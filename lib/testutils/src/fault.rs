//! Faults that tests inject into stand-ins.

use std::sync;
use std::time;

/// Faults of one stand-in; none by default.
#[derive(Clone, Debug, Default, serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Delay before each request is processed, in milliseconds.
    pub delay_ms: u64,
    /// HTTP status returned without processing the request; zero is off.
    pub status: u16,
    /// HTTP status returned in place of the answer after the request was processed; zero is off.
    pub status_after: u16,
    /// Whether requests are processed, and the body of the answer has no end.
    pub endless: bool,
    /// Whether requests are accepted but never processed or answered.
    pub hang: bool,
    /// Number of bytes of the response after which the connection breaks; zero is off.
    pub cut_after: u64,
    /// Number of bytes of the response after which it ends as if it were complete; zero is off.
    /// Takes precedence over `cut_after`.
    pub end_after: u64,
    /// Whether requests are processed, but the connection breaks before the response.
    pub drop_answer: bool,
    /// Whether the connection of each request breaks before it is processed.
    pub outage: bool,
    /// Number of requests to which the faults apply; `None` for all until the faults are replaced.
    pub times: Option<u32>,
}

/// Handle that changes the faults of a running stand-in; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Injector {
    faults: sync::Arc<sync::Mutex<Faults>>,
    /// Time until which nothing is sent.
    silent_until: sync::Arc<sync::Mutex<Option<time::Instant>>>,
}

impl Injector {
    /// Replaces the faults.
    ///
    /// # Panics
    /// Panics if another holder of the lock panicked.
    pub fn set(&self, faults: Faults) {
        *self.faults.lock().expect("no holder panics") = faults;
    }

    /// Makes the stand-in send nothing for a while, in any answer; it then goes on.
    ///
    /// # Panics
    /// Panics if another holder of the lock panicked.
    pub fn fall_silent(&self, length: time::Duration) {
        let until = time::Instant::now() + length;
        *self.silent_until.lock().expect("no holder panics") = Some(until);
    }

    /// Waits until the stand-in may send.
    pub(crate) async fn wait_while_silent(&self) {
        let until = *self.silent_until.lock().expect("no holder panics");
        if let Some(until) = until {
            tokio::time::sleep_until(until.into()).await;
        }
    }

    /// Returns the faults that apply to the next request, and counts it.
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

/// Waits for the delay of the faults; never returns if they include `hang`.
pub async fn pause(faults: &Faults) {
    if faults.hang {
        std::future::pending::<()>().await;
    }
    if faults.delay_ms > 0 {
        tokio::time::sleep(time::Duration::from_millis(faults.delay_ms)).await;
    }
}
