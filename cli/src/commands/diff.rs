//! `bramleyshelf diff`.

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

/// Parses the arguments.
pub fn parser() -> impl Parser<DiffArgs> {
    let store = commands::store_arg();
    let json = commands::json_arg();
    let file = bpaf::positional::<path::PathBuf>("FILE").help("The operators' text");
    bpaf::construct!(DiffArgs { store, json, file })
}

/// Prints what applying the text would change, one line per JSON pointer.
pub async fn run(args: DiffArgs) -> Result<(), failure::Failure> {
    let text = commands::read_file(&args.file)?;
    let current = operator::read(&commands::open_store(&args.store)).await?;
    let lines = operator::changes(&current.accepted.text, &text);
    if args.json {
        output::line(serde_json::json!({ "revision": current.revision, "changes": lines }))?;
        return Ok(());
    }
    eprintln!("against revision {}", current.revision);
    for line in lines {
        output::line(line)?;
    }
    Ok(())
}
