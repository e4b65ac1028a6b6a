//! `bramleyshelf apply`.

use std::path;
use std::time;

use bpaf::Parser;
use bramleyshelf_lib::{id, operator, store};

use crate::commands;
use crate::failure;
use crate::output;

/// Pause between two looks at the processes.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Longest wait for all processes, in seconds.
const DEFAULT_TIMEOUT: u64 = 30;

/// Arguments of `apply`.
#[derive(Clone, Debug)]
pub struct ApplyArgs {
    store: String,
    expect: Option<id::Revision>,
    wait: bool,
    timeout: u64,
    file: path::PathBuf,
}

/// Parses the arguments.
pub fn parser() -> impl Parser<ApplyArgs> {
    let store = commands::store_arg();
    let expect = bpaf::long("expect")
        .help("Applies only if the configuration is at this revision")
        .argument::<id::Revision>("REVISION")
        .optional();
    let wait =
        bpaf::long("wait").help("Returns when every known process has the text in force").switch();
    let timeout = bpaf::long("timeout")
        .help("Longest wait in seconds")
        .argument::<u64>("SECONDS")
        .fallback(DEFAULT_TIMEOUT)
        .display_fallback();
    let file = bpaf::positional::<path::PathBuf>("FILE").help("The operators' text");
    bpaf::construct!(ApplyArgs { store, expect, wait, timeout, file })
}

/// Checks a text, puts it in force and prints its revision.
pub async fn run(args: ApplyArgs) -> Result<(), failure::Failure> {
    let text = commands::read_file(&args.file)?;
    let store = commands::open_store(&args.store);
    let nonce = commands::nonce();
    let revision = operator::apply(&store, &text, args.expect, &nonce).await?;
    output::line(format_args!("revision {revision}"))?;
    if args.wait {
        wait(&store, revision, time::Duration::from_secs(args.timeout)).await?;
    }
    Ok(())
}

async fn wait<S: store::Store>(
    store: &S,
    revision: id::Revision,
    timeout: time::Duration,
) -> Result<(), failure::Failure> {
    let start = time::Instant::now();
    loop {
        let reports = operator::reports(store).await?;
        let late: Vec<_> = reports.iter().filter(|report| !report.has(revision)).collect();
        if late.is_empty() {
            let millis = start.elapsed().as_millis();
            output::line(format_args!(
                "in force at {} process(es) after {millis} ms",
                reports.len()
            ))?;
            return Ok(());
        }
        if start.elapsed() >= timeout {
            for report in &late {
                let shown = report.status.as_ref().map_or_else(
                    || "no answer".to_owned(),
                    |status| format!("revision {}", status.revision),
                );
                output::line(format_args!(
                    "not in force: {} {} ({shown})",
                    report.instance, report.process.address
                ))?;
            }
            return Err(failure::Failure::NotInForce { count: late.len(), revision });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
