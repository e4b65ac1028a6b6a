//! Business service, such as bookings, that logs each run.

use std::sync;
use std::time;

use crate::server;

/// One run of the service.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Execution {
    /// Number of the request.
    pub request: String,
    /// Idempotency key, if one came with it.
    pub key: String,
    /// What the body's field `action` says.
    pub action: String,
    /// When it ran, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// Stand-in for a service whose calls must not repeat. It does not look at keys itself.
#[derive(Clone, Debug)]
pub struct Plain {
    work: time::Duration,
    runs: sync::Arc<sync::Mutex<Vec<Execution>>>,
}

impl Plain {
    /// Makes a service that takes `work` for a call.
    pub fn new(work: time::Duration) -> Self {
        Self { work, runs: sync::Arc::default() }
    }

    /// Returns the runs so far.
    ///
    /// # Panics
    /// Panics if another holder of the lock panicked.
    pub fn executions(&self) -> Vec<Execution> {
        self.runs.lock().expect("no holder panics").clone()
    }
}

impl server::StandIn for Plain {
    async fn respond(&self, request: server::Request) -> server::Response {
        let body = request.json();
        let since_epoch = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
        let run = Execution {
            request: request.header("x-request-id").to_owned(),
            key: request.header("idempotency-key").to_owned(),
            action: body["action"].as_str().unwrap_or_default().to_owned(),
            at_ms: since_epoch.map_or(0, |since| since.as_millis() as u64),
        };
        let number = {
            let mut runs = self.runs.lock().expect("no holder panics");
            runs.push(run.clone());
            runs.len()
        };
        tokio::time::sleep(self.work).await;
        let answer = serde_json::json!({
            "confirmed": true, "action": run.action, "request": run.request, "number": number,
        });
        server::Response::Json(200, answer)
    }

    fn log(&self) -> serde_json::Value {
        serde_json::json!(self.executions())
    }
}
