//! Paths for operators and the platform that entries and sidecars serve: `/livez`, `/readyz`,
//! `/status` and `/metrics`.

use crate::http;
use crate::id;
use crate::registry;
use crate::telemetry;

/// Makes the response to a probe; `None` if the path is not one of them.
pub fn respond(path: &str, status: &registry::Status) -> Option<hyper::Response<http::Body>> {
    match path {
        "/livez" => Some(http::respond(200, "text/plain", "ok")),
        "/readyz" => {
            let ready = status.revision > id::Revision(0) && !status.draining;
            let code = if ready { 200 } else { 503 };
            Some(http::respond_json(code, &serde_json::json!(status)))
        }
        "/status" => Some(http::respond_json(200, &serde_json::json!(status))),
        "/metrics" => Some(http::respond(200, "text/plain; version=0.0.4", telemetry::render())),
        _ => None,
    }
}
