//! Settings of one process: its addresses, failure domain, store and peers.

use std::env;
use std::fs;
use std::net;
use std::path;

use crate::diagnostic;
use crate::id;

/// Prefix of environment variables that override settings, such as `BRAMLEYSHELF_STORE`.
pub const ENV_PREFIX: &str = "BRAMLEYSHELF_";

/// Settings of an entry.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct EntrySettings {
    /// The instance.
    pub instance: id::InstanceId,
    /// Address for callers.
    pub listen: net::SocketAddr,
    /// Address for other processes of the system.
    pub peer_listen: net::SocketAddr,
    /// Failure domain of the instance.
    pub domain: id::DomainId,
    /// Address of the platform's key-value service.
    pub store: String,
    /// Address of the platform's instance list.
    pub instances: String,
    /// Other processes that may know the configuration, nearest first.
    #[serde(default)]
    pub peers: Vec<net::SocketAddr>,
    /// Time for which readiness fails before the listener closes on a stop, in milliseconds.
    #[serde(default = "default_notice")]
    pub notice_ms: crate::unit::Millis,
}

/// Settings of a sidecar.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct SidecarSettings {
    /// The instance.
    pub instance: id::InstanceId,
    /// Address for entries and other sidecars.
    pub listen: net::SocketAddr,
    /// Failure domain of the instance.
    pub domain: id::DomainId,
    /// Service that the upstream belongs to.
    pub service: id::ServiceId,
    /// Address of the upstream.
    pub upstream: net::SocketAddr,
    /// Address of the platform's key-value service.
    pub store: String,
    /// Processes that may know the configuration, nearest first.
    #[serde(default)]
    pub peers: Vec<net::SocketAddr>,
    /// Time that a stop waits for work in progress, in milliseconds.
    #[serde(default = "default_stop")]
    pub stop_ms: crate::unit::Millis,
}

fn default_notice() -> crate::unit::Millis {
    crate::unit::Millis(1_000)
}

fn default_stop() -> crate::unit::Millis {
    crate::unit::Millis(15_000)
}

/// Settings that cannot be used.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[display("cannot read settings {}: {source}; check the path", path.display())]
    Read {
        /// The file.
        path: path::PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The settings have faults.
    #[display("the settings {} have faults", path.display())]
    Invalid {
        /// The file.
        path: path::PathBuf,
        /// All of them.
        errors: diagnostic::Diagnostics,
    },
}

/// Override of one setting, by a flag or an environment variable.
#[derive(Clone, Debug)]
pub struct Override {
    /// Name of the field.
    pub field: String,
    /// Value: JSON, or else taken as a string.
    pub value: String,
}

/// Returns the overrides that the environment makes for the given fields.
pub fn env_overrides(fields: &[&str]) -> Vec<Override> {
    fields
        .iter()
        .filter_map(|field| {
            let name = format!("{ENV_PREFIX}{}", field.to_uppercase());
            Some(Override { field: (*field).to_owned(), value: env::var(name).ok()? })
        })
        .collect()
}

/// Reads a settings file and applies overrides in their order.
///
/// # Errors
/// Fails if the file cannot be read, and with all faults of its fields.
pub fn read<T: serde::de::DeserializeOwned>(
    path: &path::Path,
    overrides: &[Override],
) -> Result<T, SettingsError> {
    let text = fs::read_to_string(path)
        .map_err(|source| SettingsError::Read { path: path.to_owned(), source })?;
    parse(&text, overrides)
        .map_err(|errors| SettingsError::Invalid { path: path.to_owned(), errors })
}

/// Checks settings and applies overrides in their order.
///
/// # Errors
/// Returns all faults of the fields.
pub fn parse<T: serde::de::DeserializeOwned>(
    text: &str,
    overrides: &[Override],
) -> Result<T, diagnostic::Diagnostics> {
    let mut report = diagnostic::Collector::default();
    let value = diagnostic::parse_json(text, &mut report).and_then(|mut value| {
        for o in overrides {
            let new = serde_json::from_str(&o.value)
                .unwrap_or_else(|_| serde_json::Value::String(o.value.clone()));
            if let Some(fields) = value.as_object_mut() {
                fields.insert(o.field.clone(), new);
            }
        }
        report.read::<T>("", &value)
    });
    match value {
        Some(value) => report.finish(value),
        None => Err(report.into_faults()),
    }
}
