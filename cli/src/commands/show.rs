//! `bramleyshelf show`: prints the configuration in force.

use bpaf::Parser;
use bramleyshelf_lib::{id, operator};

use crate::commands;
use crate::failure;
use crate::output;

/// Arguments of `show`.
#[derive(Clone, Debug)]
pub struct ShowArgs {
    store: String,
    json: bool,
}

/// Parses the arguments of `show`.
pub fn parser() -> impl Parser<ShowArgs> {
    let store = commands::store_arg();
    let json = commands::json_arg();
    bpaf::construct!(ShowArgs { store, json })
}

/// Prints the configuration in force; its revision and the draining instances go to standard error
/// unless the output is JSON.
pub async fn run(args: ShowArgs) -> Result<(), failure::Failure> {
    let current = operator::read_config(&commands::open_store(&args.store)).await?;
    if current.revision == id::Revision(0) {
        return Err(operator::OperatorError::NoConfig.into());
    }
    if args.json {
        let value = serde_json::json!({
            "revision": current.revision,
            "draining": current.stored.draining,
            "text": current.stored.text,
        });
        output::write_line(value)?;
    } else {
        eprintln!("revision {}", current.revision);
        for instance in &current.stored.draining {
            eprintln!("draining {instance}");
        }
        output::write_text(&current.stored.text)?;
    }
    Ok(())
}
