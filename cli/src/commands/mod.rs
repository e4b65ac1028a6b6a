//! The subcommands, one file each.

pub mod apply;
pub mod check;
pub mod dev;
pub mod diff;
pub mod drain;
pub mod entry;
pub mod gateway;
pub mod show;
pub mod status;

use bpaf::Parser;
use bramleyshelf_lib::store;

use crate::failure;

#[path = "../settings_args.rs"]
pub mod settings_args;

/// A parsed command line.
#[derive(Clone, Debug)]
pub enum Command {
    /// Put a configuration in force.
    Apply(apply::ApplyArgs),
    /// Check a configuration without a store.
    Check(check::CheckArgs),
    /// Run a whole system with stand-ins in one process.
    Dev(dev::DevArgs),
    /// Compare a configuration with the one in force.
    Diff(diff::DiffArgs),
    /// Take an instance out of service.
    Drain(drain::DrainArgs),
    /// Put a drained instance back into service.
    Undrain(drain::DrainArgs),
    /// Run an entry.
    Entry(settings_args::SettingsArgs),
    /// Run a gateway.
    Gateway(settings_args::SettingsArgs),
    /// Print the configuration in force.
    Show(show::ShowArgs),
    /// Print the state of all registered processes.
    Status(status::StatusArgs),
}

/// Parses a command line.
pub fn parser() -> impl Parser<Command> {
    let apply = apply::parser()
        .map(Command::Apply)
        .to_options()
        .descr("Checks a configuration and puts it in force")
        .command("apply");
    let check = check::parser()
        .map(Command::Check)
        .to_options()
        .descr("Checks a configuration without a store and lists all errors")
        .command("check");
    let dev = dev::parser()
        .map(Command::Dev)
        .to_options()
        .descr("Runs entry, sidecars, store and stand-in upstreams in one process")
        .command("dev");
    let diff = diff::parser()
        .map(Command::Diff)
        .to_options()
        .descr("Compares a configuration with the one in force")
        .command("diff");
    let drain = drain::parser()
        .map(Command::Drain)
        .to_options()
        .descr("Takes an instance out of service without cutting a request")
        .command("drain");
    let undrain = drain::parser()
        .map(Command::Undrain)
        .to_options()
        .descr("Puts a drained instance back into service")
        .command("undrain");
    let entry = settings_args::parser()
        .map(Command::Entry)
        .to_options()
        .descr("Runs an entry")
        .footer("Every setting can be overridden by an environment variable BRAMLEYSHELF_FIELD.")
        .command("entry");
    let gateway = settings_args::parser()
        .map(Command::Gateway)
        .to_options()
        .descr("Runs a gateway: an entry that calls upstreams without sidecars")
        .command("gateway");
    let show = show::parser()
        .map(Command::Show)
        .to_options()
        .descr("Prints the configuration in force")
        .command("show");
    let status = status::parser()
        .map(Command::Status)
        .to_options()
        .descr("Prints the state of all registered processes")
        .command("status");
    bpaf::construct!([apply, check, dev, diff, drain, undrain, entry, gateway, show, status])
}

impl Command {
    /// Returns the default log level: servers log events, other commands only warnings.
    pub fn log_level(&self) -> log::LevelFilter {
        match self {
            Self::Entry(_) | Self::Gateway(_) => log::LevelFilter::Info,
            _ => log::LevelFilter::Warn,
        }
    }

    /// Whether the command serves until it is stopped. Such commands log to standard output, the
    /// others to standard error.
    pub fn is_server(&self) -> bool {
        matches!(self, Self::Entry(_) | Self::Gateway(_))
    }

    /// Runs the command; servers and `dev` return after a stop signal.
    pub async fn run(self) -> Result<(), failure::Failure> {
        match self {
            Self::Apply(args) => apply::run(args).await,
            Self::Check(args) => check::run(&args),
            Self::Dev(args) => dev::run(args).await,
            Self::Diff(args) => diff::run(args).await,
            Self::Drain(args) => drain::run(args, true).await,
            Self::Undrain(args) => drain::run(args, false).await,
            Self::Entry(args) => entry::run(args).await,
            Self::Gateway(args) => gateway::run(args).await,
            Self::Show(args) => show::run(args).await,
            Self::Status(args) => status::run(args).await,
        }
    }
}

/// Parses the store's address, from `--store` or the environment.
pub fn store_arg() -> impl Parser<String> {
    bpaf::long("store")
        .env("BRAMLEYSHELF_STORE")
        .help("Address of the key-value service, for example http://10.0.0.5:2379")
        .argument::<String>("URL")
}

/// Parses the switch `--json` for machine-readable output.
pub fn json_arg() -> impl Parser<bool> {
    bpaf::long("json").help("Prints JSON").switch()
}

/// Returns a client of the store; it connects with the first call.
pub fn open_store(url: &str) -> store::Etcd {
    store::Etcd::new(url)
}

/// Reads a file as UTF-8.
pub fn read_file(path: &std::path::Path) -> Result<String, failure::Failure> {
    std::fs::read_to_string(path)
        .map_err(|source| failure::Failure::Read { path: path.to_owned(), source })
}

/// Returns a random id that marks a write, so that the writer can recognise its own write in the
/// store when the answer is lost.
pub fn nonce() -> String {
    uuid::Uuid::new_v4().to_string()
}
