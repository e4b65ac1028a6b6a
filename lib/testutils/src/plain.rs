//! Stand-in for an ordinary service, such as bookings, that logs each execution of a call.

use std::sync;
use std::time;

use crate::server;

/// One execution of a call.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Execution {
    /// Value of the header `x-request-id`.
    pub request: String,
    /// Idempotency key; empty if the request had none.
    pub key: String,
    /// Value of the body's field `action`; empty if it has none.
    pub action: String,
    /// Start of the execution in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// Stand-in for a service whose calls must not run twice. It ignores idempotency keys, so that a
/// repeated call shows up as a second execution.
#[derive(Clone, Debug)]
pub struct Plain {
    latency: time::Duration,
    executions: sync::Arc<sync::Mutex<Vec<Execution>>>,
}

impl Plain {
    /// Makes a service that takes `latency` for a call.
    pub fn new(latency: time::Duration) -> Self {
        Self { latency, executions: sync::Arc::default() }
    }

    /// Returns all executions so far, oldest first.
    ///
    /// # Panics
    /// Panics if another holder of the lock panicked.
    pub fn executions(&self) -> Vec<Execution> {
        self.executions.lock().expect("no holder panics").clone()
    }
}

impl server::StandIn for Plain {
    async fn respond(&self, request: server::Request) -> server::Response {
        let body = request.json();
        let since_epoch = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
        let execution = Execution {
            request: request.header("x-request-id").to_owned(),
            key: request.header("idempotency-key").to_owned(),
            action: body["action"].as_str().unwrap_or_default().to_owned(),
            at_ms: since_epoch.map_or(0, |since| since.as_millis() as u64),
        };
        let number = {
            let mut executions = self.executions.lock().expect("no holder panics");
            executions.push(execution.clone());
            executions.len()
        };
        tokio::time::sleep(self.latency).await;
        let answer = serde_json::json!({
            "confirmed": true,
            "action": execution.action,
            "request": execution.request,
            "number": number,
        });
        server::Response::Json(200, answer)
    }

    fn log(&self) -> serde_json::Value {
        serde_json::json!(self.executions())
    }
}
