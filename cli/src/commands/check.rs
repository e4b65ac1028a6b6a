//! `bramleyshelf check`: checks a configuration without a store.

use std::path;

use bpaf::Parser;
use bramleyshelf_lib::check;

use crate::commands;
use crate::failure;
use crate::output;

/// Arguments of `check`.
#[derive(Clone, Debug)]
pub struct CheckArgs {
    file: path::PathBuf,
}

/// Parses the arguments of `check`.
pub fn parser() -> impl Parser<CheckArgs> {
    let file = bpaf::positional::<path::PathBuf>("FILE").help("Configuration file in JSON");
    bpaf::construct!(CheckArgs { file })
}

/// Checks the configuration and prints how many services, pipelines and teams it has.
///
/// # Errors
/// Fails with all errors of the configuration, which the caller prints one per line.
pub fn run(args: &CheckArgs) -> Result<(), failure::Failure> {
    let text = commands::read_file(&args.file)?;
    let config = check::parse(&text)?;
    output::write_line(format_args!(
        "ok: {} service(s), {} pipeline(s), {} team(s)",
        config.services.len(),
        config.pipelines.len(),
        config.teams.len()
    ))?;
    Ok(())
}
