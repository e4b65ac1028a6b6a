//! Log lines of key=value pairs, and the Prometheus recorder that every process serves.

use std::fmt;
use std::sync;

/// One event as key=value pairs; the first pair is always `event`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Line {
    text: String,
}

impl Line {
    /// Starts a line for an event.
    pub fn new(event: &str) -> Self {
        Self { text: format!("event={event}") }
    }

    /// Adds a pair; text with spaces or quotes is quoted.
    #[must_use]
    pub fn with(mut self, key: &str, value: impl fmt::Display) -> Self {
        let value = value.to_string();
        self.text.push(' ');
        self.text.push_str(key);
        self.text.push('=');
        if value.is_empty() || value.contains([' ', '"', '=', '\n']) {
            self.text.push_str(&serde_json::Value::String(value).to_string());
        } else {
            self.text.push_str(&value);
        }
        self
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

static RECORDER: sync::OnceLock<metrics_exporter_prometheus::PrometheusHandle> =
    sync::OnceLock::new();

/// Installs the process-wide recorder; further calls do nothing.
pub fn install() {
    RECORDER.get_or_init(|| {
        let recorder = metrics_exporter_prometheus::PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        // Fails only if an embedding program has a recorder of its own, which then serves.
        let _ = metrics::set_global_recorder(recorder);
        handle
    });
}

/// Returns all metrics as Prometheus text.
pub fn render() -> String {
    RECORDER
        .get()
        .map(|handle| {
            handle.run_upkeep();
            handle.render()
        })
        .unwrap_or_default()
}
