//! `bramleyshelf status`: prints the state of all registered processes.

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

/// Parses the arguments of `status`.
pub fn parser() -> impl Parser<StatusArgs> {
    let store = commands::store_arg();
    let json = commands::json_arg();
    bpaf::construct!(StatusArgs { store, json })
}

/// Prints the accepted revision and one line per registered process.
pub async fn run(args: StatusArgs) -> Result<(), failure::Failure> {
    let store = commands::open_store(&args.store);
    let current = operator::read_config(&store).await?;
    let reports = operator::process_reports(&store).await?;
    if args.json {
        let value = serde_json::json!({ "revision": current.revision, "processes": reports });
        output::write_line(value)?;
        return Ok(());
    }
    output::write_line(format_args!("accepted revision {}", current.revision))?;
    for report in &reports {
        output::write_line(describe(report))?;
    }
    Ok(())
}

fn describe(report: &operator::ProcessReport) -> String {
    let process = &report.process;
    let service = process.service.as_ref().map(ToString::to_string).unwrap_or_default();
    let process_columns = format!(
        "{:<20} {:<8} {:<12} {:<8} {:<21}",
        report.instance, process.role, service, process.domain, process.address
    );
    match &report.status {
        None => format!("{process_columns} no answer"),
        Some(status) => {
            let state = match (status.draining, status.drained) {
                (_, true) => "drained",
                (true, false) => "draining",
                (false, false) => "serving",
            };
            let (revision, source, open) = (status.revision, &status.source, status.in_progress);
            format!("{process_columns} {state} revision={revision} from={source} open={open}")
        }
    }
}
