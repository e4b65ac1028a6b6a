//! `bramleyshelf status`.

use bpaf::Parser;
use bramleyshelf_lib::operator;

use crate::commands;
use crate::failure;
use crate::output;

/// Arguments of `status`.
#[derive(Clone, Debug)]
pub struct StatusArgs {
    store: String,
    json: bool,
}

/// Parses the arguments.
pub fn parser() -> impl Parser<StatusArgs> {
    let store = commands::store_arg();
    let json = commands::json_arg();
    bpaf::construct!(StatusArgs { store, json })
}

/// Prints the state of all registered processes.
pub async fn run(args: StatusArgs) -> Result<(), failure::Failure> {
    let store = commands::open_store(&args.store);
    let current = operator::read(&store).await?;
    let reports = operator::reports(&store).await?;
    if args.json {
        let value = serde_json::json!({ "revision": current.revision, "processes": reports });
        output::line(value)?;
        return Ok(());
    }
    output::line(format_args!("accepted revision {}", current.revision))?;
    for report in &reports {
        output::line(describe(report))?;
    }
    Ok(())
}

fn describe(report: &operator::Report) -> String {
    let process = &report.process;
    let service = process.service.as_ref().map(ToString::to_string).unwrap_or_default();
    let place = format!(
        "{:<20} {:<8} {:<12} {:<8} {:<21}",
        report.instance, process.role, service, process.domain, process.address
    );
    match &report.status {
        None => format!("{place} no answer"),
        Some(status) => {
            let state = match (status.draining, status.drained) {
                (_, true) => "drained",
                (true, false) => "draining",
                (false, false) => "serving",
            };
            let (revision, source, open) = (status.revision, &status.source, status.open);
            format!("{place} {state} revision={revision} from={source} open={open}")
        }
    }
}
