//! `bramleyshelf diff`: compares a configuration with the one in force.

use std::path;

use bpaf::Parser;
use bramleyshelf_lib::operator;

use crate::commands;
use crate::failure;
use crate::output;

/// Arguments of `diff`.
#[derive(Clone, Debug)]
pub struct DiffArgs {
    store: String,
    json: bool,
    file: path::PathBuf,
}

/// Parses the arguments of `diff`.
pub fn parser() -> impl Parser<DiffArgs> {
    let store = commands::store_arg();
    let json = commands::json_arg();
    let file = bpaf::positional::<path::PathBuf>("FILE").help("Configuration file in JSON");
    bpaf::construct!(DiffArgs { store, json, file })
}

/// Prints what applying the configuration would change, one line per JSON pointer.
pub async fn run(args: DiffArgs) -> Result<(), failure::Failure> {
    let text = commands::read_file(&args.file)?;
    let current = operator::read_config(&commands::open_store(&args.store)).await?;
    let lines = operator::diff_texts(&current.stored.text, &text);
    if args.json {
        output::write_line(serde_json::json!({ "revision": current.revision, "changes": lines }))?;
        return Ok(());
    }
    eprintln!("against revision {}", current.revision);
    for line in lines {
        output::write_line(line)?;
    }
    Ok(())
}
