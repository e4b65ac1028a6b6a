//! What both programs need around their command: a runtime, a stop signal and an exit status.

use std::process;

use tokio::sync::watch;

use crate::failure;
use crate::logging;
use crate::output;

/// Runs a command to completion on the current thread. If it fails, prints the details to standard
/// output, and the error and a hint to standard error.
pub fn block_on(
    logs: &logging::Logs,
    command: impl Future<Output = Result<(), failure::Failure>>,
) -> process::ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime can be created");
    let command_and_logs = async {
        tokio::select! {
            result = command => result,
            () = logs.report_dropped_lines() => Ok(()),
        }
    };
    match runtime.block_on(command_and_logs) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(failure) => {
            for line in failure.details() {
                if output::write_line(line).is_err() {
                    // Standard output cannot be written to. The failure itself still goes to standard
                    // error.
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

/// Returns a flag that becomes true on SIGTERM or SIGINT.
pub fn stop_signal() -> watch::Receiver<bool> {
    let (stop, stopping) = watch::channel(false);
    tokio::spawn(async move {
        let kind = tokio::signal::unix::SignalKind::terminate();
        let mut terminate =
            tokio::signal::unix::signal(kind).expect("a handler for SIGTERM can be installed");
        tokio::select! {
            _ = terminate.recv() => {}
            _ = tokio::signal::ctrl_c() => {}
        }
        stop.send_replace(true);
    });
    stopping
}
