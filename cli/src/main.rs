//! The `bramleyshelf` program: the servers of entries and gateways, and the operators' commands.

mod commands;
mod failure;
mod logging;
mod output;
mod process;

use std::process as std_process;

use bpaf::Parser as _;

fn main() -> std_process::ExitCode {
    let command = commands::parser()
        .to_options()
        .descr("Serves multi-stage model pipelines.")
        .version(env!("CARGO_PKG_VERSION"))
        .run();
    let logs = logging::init(command.log_level(), command.is_server());
    process::block_on(&logs, command.run())
}
