//! What both programs need around their work: a runtime, a stop signal and an exit status.

use std::process;

use tokio::sync::watch;

use crate::failure;
use crate::logging;
use crate::output;

/// Runs a command to its end on one thread and reports its failure.
pub fn block_on(
    logs: &logging::Logs,
    work: impl Future<Output = Result<(), failure::Failure>>,
) -> process::ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the operating system gives a process its basic resources");
    let work = async {
        tokio::select! {
            result = work => result,
            () = logs.watch() => Ok(()),
        }
    };
    match runtime.block_on(work) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(failure) => {
            for line in failure.details() {
                if output::line(line).is_err() {
                    // The failure itself follows on standard error.
                    break;
                }
            }
            eprintln!("Error: {failure}");
            if let Some(hint) = failure.hint() {
                eprintln!("Hint: {hint}");
            }
            process::ExitCode::FAILURE
        }
    }
}

/// Returns a flag that turns true on SIGTERM or an interrupt.
pub fn stop_signal() -> watch::Receiver<bool> {
    let (stop, stopping) = watch::channel(false);
    tokio::spawn(async move {
        let kind = tokio::signal::unix::SignalKind::terminate();
        let mut terminate =
            tokio::signal::unix::signal(kind).expect("the signal can be listened for");
        tokio::select! {
            _ = terminate.recv() => {}
            _ = tokio::signal::ctrl_c() => {}
        }
        stop.send_replace(true);
    });
    stopping
}
