//! `bramleyshelf entry`: runs an entry, which takes requests from callers.

use bramleyshelf_lib::{entry_shell, settings, store};

use crate::commands::settings_args;
use crate::failure;
use crate::process;

/// Settings that an environment variable can override.
const FIELDS: [&str; 8] =
    ["instance", "listen", "peer_listen", "domain", "store", "instances", "peers", "notice_ms"];

/// Runs an entry until a stop signal arrives.
pub async fn run(args: settings_args::SettingsArgs) -> Result<(), failure::Failure> {
    let settings: settings::EntrySettings = args.read(&FIELDS)?;
    let store = store::Etcd::new(&settings.store);
    let address = settings.listen;
    entry_shell::run(settings, store, process::stop_signal())
        .await
        .map_err(|source| failure::Failure::Listen { address, source })
}
