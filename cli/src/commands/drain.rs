//! `bramleyshelf drain` and `bramleyshelf undrain`.

use std::time;

use bpaf::Parser;
use bramleyshelf_lib::{id, operator, store};

use crate::commands;
use crate::failure;
use crate::output;

/// Pause between two looks at the instance.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Longest wait for a drain, in seconds.
const DEFAULT_TIMEOUT: u64 = 60;

/// Arguments of `drain` and `undrain`.
#[derive(Clone, Debug)]
pub struct DrainArgs {
    store: String,
    wait: bool,
    force: bool,
    timeout: u64,
    instance: id::InstanceId,
}

/// Parses the arguments.
pub fn parser() -> impl Parser<DrainArgs> {
    let store = commands::store_arg();
    let wait =
        bpaf::long("wait").help("Returns when no work is left, or when it serves again").switch();
    let force = bpaf::long("force").help("Drains even if too few upstreams are left").switch();
    let timeout = bpaf::long("timeout")
        .help("Longest wait in seconds")
        .argument::<u64>("SECONDS")
        .fallback(DEFAULT_TIMEOUT)
        .display_fallback();
    let instance = bpaf::positional::<id::InstanceId>("INSTANCE").help("Name of the instance");
    bpaf::construct!(DrainArgs { store, wait, force, timeout, instance })
}

/// Drains an instance or takes the drain back.
pub async fn run(args: DrainArgs, draining: bool) -> Result<(), failure::Failure> {
    let store = commands::open_store(&args.store);
    let nonce = commands::nonce();
    let revision =
        operator::set_draining(&store, &args.instance, draining, args.force, &nonce).await?;
    output::line(format_args!("revision {revision}"))?;
    if args.wait {
        wait(&store, &args, draining, revision).await?;
    }
    Ok(())
}

async fn wait<S: store::Store>(
    store: &S,
    args: &DrainArgs,
    draining: bool,
    revision: id::Revision,
) -> Result<(), failure::Failure> {
    let start = time::Instant::now();
    let timeout = time::Duration::from_secs(args.timeout);
    loop {
        let reports = operator::reports(store).await?;
        let report = reports.iter().find(|report| report.instance == args.instance);
        let state = report.and_then(|report| report.status.as_ref());
        let done = match state {
            // An instance that is gone has no work left either.
            None => draining && report.is_none(),
            Some(status) => {
                status.revision >= revision
                    && if draining { status.drained } else { !status.draining }
            }
        };
        if done {
            let word = if draining { "drained" } else { "serving" };
            output::line(format_args!("{word} after {} ms", start.elapsed().as_millis()))?;
            return Ok(());
        }
        if start.elapsed() >= timeout {
            return Err(failure::Failure::NotDrained { instance: args.instance.clone() });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
