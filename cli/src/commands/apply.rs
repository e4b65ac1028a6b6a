//! `bramleyshelf apply`: checks a configuration and writes it to the store.

use std::path;
use std::time;

use bpaf::Parser;
use bramleyshelf_lib::{id, operator, store};

use crate::commands;
use crate::failure;
use crate::output;

/// Pause between two queries of the processes' status.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Default of `--timeout`, in seconds.
const DEFAULT_TIMEOUT_SECONDS: u64 = 30;

/// Arguments of `apply`.
#[derive(Clone, Debug)]
pub struct ApplyArgs {
    store: String,
    /// Revision that the configuration must be at; `None` accepts any.
    expect: Option<id::Revision>,
    wait: bool,
    /// Time limit of the wait, in seconds.
    timeout: u64,
    file: path::PathBuf,
}

/// Parses the arguments of `apply`.
pub fn parser() -> impl Parser<ApplyArgs> {
    let store = commands::store_arg();
    let expect = bpaf::long("expect")
        .help("Applies only if the configuration is at this revision")
        .argument::<id::Revision>("REVISION")
        .optional();
    let wait = bpaf::long("wait")
        .help("Returns when every registered process has the configuration in force")
        .switch();
    let timeout = bpaf::long("timeout")
        .help("Time limit of --wait in seconds")
        .argument::<u64>("SECONDS")
        .fallback(DEFAULT_TIMEOUT_SECONDS)
        .display_fallback();
    let file = bpaf::positional::<path::PathBuf>("FILE").help("Configuration file in JSON");
    bpaf::construct!(ApplyArgs { store, expect, wait, timeout, file })
}

/// Checks the configuration, writes it to the store and prints its revision. On request waits until
/// all registered processes use it.
pub async fn run(args: ApplyArgs) -> Result<(), failure::Failure> {
    let text = commands::read_file(&args.file)?;
    let store = commands::open_store(&args.store);
    let nonce = commands::nonce();
    let revision = operator::apply(&store, &text, args.expect, &nonce).await?;
    output::write_line(format_args!("revision {revision}"))?;
    if args.wait {
        wait_until_in_force(&store, revision, time::Duration::from_secs(args.timeout)).await?;
    }
    Ok(())
}

/// Polls the registered processes until all have the revision in force. On timeout prints those that
/// do not.
async fn wait_until_in_force<S: store::Store>(
    store: &S,
    revision: id::Revision,
    timeout: time::Duration,
) -> Result<(), failure::Failure> {
    let start = time::Instant::now();
    loop {
        let reports = operator::process_reports(store).await?;
        let pending: Vec<_> =
            reports.iter().filter(|report| !report.has_reached(revision)).collect();
        if pending.is_empty() {
            let millis = start.elapsed().as_millis();
            output::write_line(format_args!(
                "in force at {} process(es) after {millis} ms",
                reports.len()
            ))?;
            return Ok(());
        }
        if start.elapsed() >= timeout {
            for report in &pending {
                let answer = report.status.as_ref().map_or_else(
                    || "no answer".to_owned(),
                    |status| format!("revision {}", status.revision),
                );
                output::write_line(format_args!(
                    "not in force: {} {} ({answer})",
                    report.instance, report.process.address
                ))?;
            }
            return Err(failure::Failure::NotInForce { count: pending.len(), revision });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
