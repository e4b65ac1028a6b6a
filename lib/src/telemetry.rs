//! Log lines of `key=value` pairs, and the recorder whose Prometheus metrics every process serves.

use std::fmt;
use std::sync;

/// Log line of one event as `key=value` pairs, of which the first is always `event`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Line {
    text: String,
}

impl Line {
    /// Starts a line for an event.
    pub fn new(event: &str) -> Self {
        Self { text: format!("event={event}") }
    }

    /// Adds a pair. A value that is empty or contains a space, `"`, `=` or a line break is quoted
    /// as a JSON string.
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

/// Installs the process-wide metrics recorder; further calls do nothing.
pub fn install() {
    RECORDER.get_or_init(|| {
        let recorder = metrics_exporter_prometheus::PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        // Fails only if the embedding program has installed its own recorder, which then gets the
        // metrics.
        let _ = metrics::set_global_recorder(recorder);
        handle
    });
}

/// Returns all metrics in the Prometheus text format; empty before [`install`].
pub fn render() -> String {
    RECORDER
        .get()
        .map(|handle| {
            handle.run_upkeep();
            handle.render()
        })
        .unwrap_or_default()
}
