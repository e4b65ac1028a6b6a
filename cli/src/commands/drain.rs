//! `bramleyshelf drain` and `bramleyshelf undrain`.

use std::time;

use bpaf::Parser;
use bramleyshelf_lib::{id, operator, store};

use crate::commands;
use crate::failure;
use crate::output;

/// Pause between two queries of the instance's status.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Default of `--timeout`, in seconds.
const DEFAULT_TIMEOUT_SECONDS: u64 = 60;

/// Arguments of `drain` and `undrain`.
#[derive(Clone, Debug)]
pub struct DrainArgs {
    store: String,
    wait: bool,
    /// Whether the service may be left with too few upstreams.
    force: bool,
    /// Time limit of the wait, in seconds.
    timeout: u64,
    instance: id::InstanceId,
}

/// Parses the arguments of `drain` and `undrain`.
pub fn parser() -> impl Parser<DrainArgs> {
    let store = commands::store_arg();
    let wait = bpaf::long("wait")
        .help("Returns when the instance has no work left, or when it serves again")
        .switch();
    let force =
        bpaf::long("force").help("Drains even if the service keeps too few upstreams").switch();
    let timeout = bpaf::long("timeout")
        .help("Time limit of --wait in seconds")
        .argument::<u64>("SECONDS")
        .fallback(DEFAULT_TIMEOUT_SECONDS)
        .display_fallback();
    let instance = bpaf::positional::<id::InstanceId>("INSTANCE").help("Name of the instance");
    bpaf::construct!(DrainArgs { store, wait, force, timeout, instance })
}

/// Drains an instance or ends its drain, and on request waits until that has taken effect.
pub async fn run(args: DrainArgs, draining: bool) -> Result<(), failure::Failure> {
    let store = commands::open_store(&args.store);
    let nonce = commands::nonce();
    let revision =
        operator::set_draining(&store, &args.instance, draining, args.force, &nonce).await?;
    output::write_line(format_args!("revision {revision}"))?;
    if args.wait {
        wait_until_done(&store, &args, draining, revision).await?;
    }
    Ok(())
}

/// Polls the instance until it has no work left (`draining`) or takes work again.
async fn wait_until_done<S: store::Store>(
    store: &S,
    args: &DrainArgs,
    draining: bool,
    revision: id::Revision,
) -> Result<(), failure::Failure> {
    let start = time::Instant::now();
    let timeout = time::Duration::from_secs(args.timeout);
    loop {
        let reports = operator::process_reports(store).await?;
        let report = reports.iter().find(|report| report.instance == args.instance);
        let status = report.and_then(|report| report.status.as_ref());
        let is_done = match status {
            // An instance that is no longer registered has no work left either.
            None => draining && report.is_none(),
            Some(status) => {
                status.revision >= revision
                    && if draining { status.drained } else { !status.draining }
            }
        };
        if is_done {
            let state = if draining { "drained" } else { "serving" };
            output::write_line(format_args!("{state} after {} ms", start.elapsed().as_millis()))?;
            return Ok(());
        }
        if start.elapsed() >= timeout {
            return Err(failure::Failure::NotDrained { instance: args.instance.clone() });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
