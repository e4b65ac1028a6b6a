//! Settings of one entry or sidecar: its addresses, failure domain, store and peers.
//!
//! They come from a JSON file, and flags and environment variables override single fields.

use std::env;
use std::fs;
use std::net;
use std::path;

use crate::diagnostic;
use crate::gateway_settings;
use crate::id;

/// Prefix of the environment variables that override settings, for example `BRAMLEYSHELF_STORE`.
pub const ENV_PREFIX: &str = "BRAMLEYSHELF_";

/// Settings of an entry.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct EntrySettings {
    /// Name of the instance, unique in the system.
    pub instance: id::InstanceId,
    /// Address on which the entry listens for callers.
    pub listen: net::SocketAddr,
    /// Address on which the entry listens for other processes of the system.
    pub peer_listen: net::SocketAddr,
    /// Failure domain of the instance, which the configuration assigns to a region.
    pub domain: id::DomainId,
    /// URL of the platform's key-value store.
    pub store: String,
    /// URL of the platform's list of instances.
    pub instances: String,
    /// Other processes to request the configuration from, nearest first.
    #[serde(default)]
    pub peers: Vec<net::SocketAddr>,
    /// On a stop, time for which the readiness check fails before the listener closes, so that
    /// balancers stop sending requests first.
    #[serde(default = "default_notice")]
    pub notice_ms: crate::unit::Millis,
    /// What the instance gives the process.
    #[serde(default)]
    pub capacity: gateway_settings::Capacity,
}

/// Settings of a sidecar.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct SidecarSettings {
    /// Name of the instance, unique in the system.
    pub instance: id::InstanceId,
    /// Address on which the sidecar listens for entries and other sidecars.
    pub listen: net::SocketAddr,
    /// Failure domain of the instance, which the configuration assigns to a region.
    pub domain: id::DomainId,
    /// Service to which the upstream belongs.
    pub service: id::ServiceId,
    /// Address of the upstream to which the sidecar sends calls.
    pub upstream: net::SocketAddr,
    /// URL of the platform's key-value store.
    pub store: String,
    /// Processes to request the configuration from, nearest first.
    #[serde(default)]
    pub peers: Vec<net::SocketAddr>,
    /// Longest time that a stop waits for attempts in progress.
    #[serde(default = "default_stop")]
    pub stop_ms: crate::unit::Millis,
    /// What the instance gives the process.
    #[serde(default)]
    pub capacity: gateway_settings::Capacity,
}

fn default_notice() -> crate::unit::Millis {
    crate::unit::Millis(1_000)
}

fn default_stop() -> crate::unit::Millis {
    crate::unit::Millis(15_000)
}

/// Error on reading settings.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[display("cannot read settings {}: {source}; check the path", path.display())]
    Read {
        /// Path of the settings file.
        path: path::PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The file was read, but its content or an override is invalid.
    #[display("the settings {} have {} error(s)", path.display(), errors.0.len())]
    Invalid {
        /// Path of the settings file.
        path: path::PathBuf,
        /// All errors found.
        errors: diagnostic::Diagnostics,
    },
}

/// Override of one setting by a flag or an environment variable.
#[derive(Clone, Debug)]
pub struct Override {
    /// Name of the settings field.
    pub field: String,
    /// New value; a text that is not JSON is taken as a string.
    pub value: String,
}

/// Returns the overrides that environment variables define for the given fields. An empty variable
/// counts as absent, as platforms that fill in a template leave it empty without a value.
pub fn env_overrides(fields: &[&str]) -> Vec<Override> {
    fields
        .iter()
        .filter_map(|field| {
            let name = format!("{ENV_PREFIX}{}", field.to_uppercase());
            let value = env::var(name).ok().filter(|value| !value.is_empty())?;
            Some(Override { field: (*field).to_owned(), value })
        })
        .collect()
}

/// Reads a settings file and applies the overrides in order, the last one for a field winning.
///
/// # Errors
/// Fails if the file cannot be read, or with all errors of its fields.
pub fn read<T: serde::de::DeserializeOwned>(
    path: &path::Path,
    overrides: &[Override],
) -> Result<T, SettingsError> {
    let text = fs::read_to_string(path)
        .map_err(|source| SettingsError::Read { path: path.to_owned(), source })?;
    parse(&text, overrides)
        .map_err(|errors| SettingsError::Invalid { path: path.to_owned(), errors })
}

/// Parses settings and applies the overrides in order, the last one for a field winning.
///
/// # Errors
/// Returns all errors found.
pub fn parse<T: serde::de::DeserializeOwned>(
    text: &str,
    overrides: &[Override],
) -> Result<T, diagnostic::Diagnostics> {
    let mut collector = diagnostic::Collector::default();
    let value = diagnostic::parse_json(text, &mut collector).and_then(|mut value| {
        for setting in overrides {
            let new = serde_json::from_str(&setting.value)
                .unwrap_or_else(|_| serde_json::Value::String(setting.value.clone()));
            if let Some(fields) = value.as_object_mut() {
                fields.insert(setting.field.clone(), new);
            }
        }
        collector.read::<T>("", &value)
    });
    match value {
        Some(value) => collector.finish(value),
        None => Err(collector.into_diagnostics()),
    }
}
