//! The `bramleyshelf-sidecar` program: the server that runs beside one upstream and forwards its
//! work.

mod failure;
mod logging;
mod output;
mod process;
mod settings_args;

use std::process as std_process;

use bpaf::Parser as _;
use bramleyshelf_lib::{settings, sidecar_shell, store};

/// Settings that an environment variable can override.
const FIELDS: [&str; 8] =
    ["instance", "listen", "domain", "service", "upstream", "store", "peers", "stop_ms"];

fn main() -> std_process::ExitCode {
    let args = settings_args::parser()
        .to_options()
        .descr("Runs beside an upstream and accepts its requests from the entries.")
        .footer("Every setting can be overridden by an environment variable BRAMLEYSHELF_FIELD.")
        .version(env!("CARGO_PKG_VERSION"))
        .run();
    let logs = logging::init(log::LevelFilter::Info, true);
    process::block_on(&logs, run(args))
}

async fn run(args: settings_args::SettingsArgs) -> Result<(), failure::Failure> {
    let settings: settings::SidecarSettings = args.read(&FIELDS)?;
    let store = store::Etcd::new(&settings.store);
    let address = settings.listen;
    sidecar_shell::run(settings, store, process::stop_signal())
        .await
        .map_err(|source| failure::Failure::Listen { address, source })
}
