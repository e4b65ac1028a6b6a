//! `bramleyshelf check`.

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

/// Parses the arguments.
pub fn parser() -> impl Parser<CheckArgs> {
    let file = bpaf::positional::<path::PathBuf>("FILE").help("The operators' text");
    bpaf::construct!(CheckArgs { file })
}

/// Checks a text and prints one line per fault.
pub fn run(args: &CheckArgs) -> Result<(), failure::Failure> {
    let text = commands::read_file(&args.file)?;
    let config = check::parse(&text)?;
    output::line(format_args!(
        "ok: {} service(s), {} pipeline(s), {} team(s)",
        config.services.len(),
        config.pipelines.len(),
        config.teams.len()
    ))?;
    Ok(())
}
