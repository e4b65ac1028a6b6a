//! `bramleyshelf gateway`: runs an entry that calls upstreams without sidecars.

use bramleyshelf_lib::{gateway_settings, gateway_shell};
use bramleyshelf_platform::{headers, store};
use tokio::sync::watch;

use crate::commands::settings_args;
use crate::failure;
use crate::process;

/// Settings that an environment variable can override.
const FIELDS: [&str; 9] = [
    "instance",
    "listen",
    "probe_listen",
    "metrics_listen",
    "store",
    "capacity",
    "evacuation_ms",
    "cold_excess",
    "cold_slack",
];

/// Runs a gateway until a stop signal arrives; SIGHUP makes it read its settings file again.
pub async fn run(args: settings_args::SettingsArgs) -> Result<(), failure::Failure> {
    let settings: gateway_settings::Settings = args.read(&FIELDS)?;
    let store = store::Store::new(settings.store);
    let address = settings.listen;
    let signals = gateway_shell::Signals { stop: process::stop_signal(), reload: reload_signal() };
    gateway_shell::run(settings, headers::PlatformDialect, store, signals, Some(args.file))
        .await
        .map_err(|source| failure::Failure::Listen { address, source })
}

/// Returns a counter that is incremented by each SIGHUP.
fn reload_signal() -> watch::Receiver<u64> {
    let (count, receiver) = watch::channel(0);
    tokio::spawn(async move {
        let kind = tokio::signal::unix::SignalKind::hangup();
        let mut hangup =
            tokio::signal::unix::signal(kind).expect("a handler for SIGHUP can be installed");
        while hangup.recv().await.is_some() {
            count.send_modify(|count| *count += 1);
        }
    });
    receiver
}
