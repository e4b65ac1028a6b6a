//! Failures of the programs, with hints on what the user can do next.

use std::io;
use std::net;
use std::path;

use bramleyshelf_lib::{diagnostic, operator, settings};

/// Why a command failed.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
#[allow(dead_code, reason = "the two programs share the type and each raises a part of it")]
pub enum Failure {
    /// The server cannot listen on an address.
    #[display("cannot listen on {address}: {source}")]
    #[from(skip)]
    Listen {
        /// Address from the settings or the command line.
        address: net::SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A file cannot be read.
    #[display("cannot read {}: {source}", path.display())]
    #[from(skip)]
    Read {
        /// Path as the user gave it.
        path: path::PathBuf,
        /// Error of the operating system, or that the file is not UTF-8.
        source: io::Error,
    },
    /// Writing to standard output failed, for another reason than a closed pipe.
    #[display("cannot write to standard output: {source}")]
    #[from(skip)]
    Output {
        /// Error of the operating system.
        source: io::Error,
    },
    /// An argument of `--set` is not of the form `FIELD=VALUE`.
    #[display("`{text}` is not of the form FIELD=VALUE")]
    #[from(skip)]
    Override {
        /// The argument as given.
        text: String,
    },
    /// The configuration has errors, which [`Failure::details`] lists.
    #[display("the configuration has {} error(s)", _0.0.len())]
    InvalidConfig(diagnostic::Diagnostics),
    /// The settings file cannot be read or has errors.
    #[display("{_0}")]
    Settings(settings::SettingsError),
    /// An operator's command was refused, failed, or has an unknown outcome.
    #[display("{_0}")]
    Operator(operator::OperatorError),
    /// Some processes did not have a revision in force when the wait timed out.
    #[display("{count} process(es) do not have revision {revision} in force")]
    #[from(skip)]
    NotInForce {
        /// Number of these processes.
        count: usize,
        /// Revision that was applied.
        revision: bramleyshelf_lib::id::Revision,
    },
    /// An instance was not drained, or did not serve again, when the wait timed out.
    #[display("`{instance}` still has work in progress")]
    #[from(skip)]
    NotDrained {
        /// Instance that the command names.
        instance: bramleyshelf_lib::id::InstanceId,
    },
}

impl Failure {
    /// Returns what the user can do next, if there is anything specific.
    pub fn hint(&self) -> Option<&'static str> {
        Some(match self {
            Self::Listen { .. } => {
                "choose a free address of this instance, or stop the process that uses it"
            }
            Self::Read { .. } => "check the path and its permissions",
            Self::Output { .. } => "check the free space and the permissions where the output goes",
            Self::Override { .. } => "write it as in `--set listen=10.0.0.4:7000`",
            Self::InvalidConfig(_) => "docs/operations/configuration.md explains every field",
            Self::Settings(_) => "docs/operations/settings.md explains every field",
            Self::NotInForce { .. } => {
                "see `bramleyshelf status`; stopped processes leave the list within a minute"
            }
            Self::NotDrained { .. } => {
                "run the command again, or see docs/operations/weekly-drain.md"
            }
            Self::Operator(e) => return operator_hint(e),
        })
    }

    /// Returns further lines for standard output: one per error, or one per conflicting change.
    pub fn details(&self) -> Vec<String> {
        let list =
            |errors: &diagnostic::Diagnostics| errors.0.iter().map(ToString::to_string).collect();
        match self {
            Self::InvalidConfig(errors)
            | Self::Operator(operator::OperatorError::Invalid { errors })
            | Self::Settings(settings::SettingsError::Invalid { errors, .. }) => list(errors),
            Self::Operator(operator::OperatorError::Conflict { changes, .. }) => changes.clone(),
            _ => Vec::new(),
        }
    }
}

fn operator_hint(error: &operator::OperatorError) -> Option<&'static str> {
    use operator::OperatorError;
    match error {
        OperatorError::Invalid { .. } => {
            Some("docs/operations/configuration.md explains every field")
        }
        OperatorError::Conflict { .. } => {
            Some("look at the change with `bramleyshelf diff FILE`, then apply again")
        }
        OperatorError::UnconfirmedWrite => {
            Some("`bramleyshelf diff FILE` shows whether it took effect; applying again is safe")
        }
        OperatorError::Store { .. } => {
            Some("docs/operations/store-outage.md explains what still works")
        }
        _ => None,
    }
}
