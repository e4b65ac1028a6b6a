//! Failures of the programs, with hints for whoever typed the command.

use std::io;
use std::net;
use std::path;

use bramleyshelf_lib::{fault, operator, settings};

/// Why a command failed.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
#[allow(dead_code, reason = "the two programs share the type and each raises a part of it")]
pub enum Failure {
    /// An address cannot be listened on.
    #[display("cannot listen on {address}: {source}")]
    #[from(skip)]
    Listen {
        /// The address.
        address: net::SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// A file cannot be read.
    #[display("cannot read {}: {source}", path.display())]
    #[from(skip)]
    Read {
        /// The file.
        path: path::PathBuf,
        /// Why.
        source: io::Error,
    },
    /// Standard output can't be written to.
    #[display("cannot write to standard output: {source}")]
    #[from(skip)]
    Output {
        /// Why.
        source: io::Error,
    },
    /// An override is not of the form `FIELD=VALUE`.
    #[display("`{text}` is not of the form FIELD=VALUE")]
    #[from(skip)]
    Override {
        /// The override.
        text: String,
    },
    /// The text has faults, which have been printed.
    #[display("the text has {} fault(s)", _0.0.len())]
    Faults(fault::Faults),
    /// The settings cannot be used.
    #[display("{_0}")]
    Settings(settings::SettingsError),
    /// An operator's wish was not carried out.
    #[display("{_0}")]
    Operator(operator::OperatorError),
    /// Some processes do not have the revision in force in time.
    #[display("{count} process(es) do not have revision {revision} in force")]
    #[from(skip)]
    NotInForce {
        /// How many.
        count: usize,
        /// The revision.
        revision: bramleyshelf_lib::id::Revision,
    },
    /// A drain did not end in time.
    #[display("`{instance}` still has work in progress")]
    #[from(skip)]
    NotDrained {
        /// The instance.
        instance: bramleyshelf_lib::id::InstanceId,
    },
}

impl Failure {
    /// Returns what the user can do next.
    pub fn hint(&self) -> Option<&'static str> {
        Some(match self {
            Self::Listen { .. } => "choose a free address of this instance, or stop its holder",
            Self::Read { .. } => "check the path and its permissions",
            Self::Output { .. } => "check the room and the permissions where the output goes",
            Self::Override { .. } => "write it like `--set listen=10.0.0.4:7000`",
            Self::Faults(_) => "docs/operations/configuration.md explains every field",
            Self::Settings(_) => "docs/operations/settings.md explains every field",
            Self::NotInForce { .. } => {
                "see `bramleyshelf status`; a process that is gone vanishes within a minute"
            }
            Self::NotDrained { .. } => {
                "run the command again, or see docs/operations/weekly-drain.md"
            }
            Self::Operator(e) => return operator_hint(e),
        })
    }

    /// Returns the lines that explain the failure in detail.
    pub fn details(&self) -> Vec<String> {
        let faults = |faults: &fault::Faults| faults.0.iter().map(ToString::to_string).collect();
        match self {
            Self::Faults(all) | Self::Operator(operator::OperatorError::Faults { faults: all }) => {
                faults(all)
            }
            Self::Settings(settings::SettingsError::Faults { faults: all, .. }) => faults(all),
            Self::Operator(operator::OperatorError::Raced { changes, .. }) => changes.clone(),
            _ => Vec::new(),
        }
    }
}

fn operator_hint(error: &operator::OperatorError) -> Option<&'static str> {
    use operator::OperatorError;
    match error {
        OperatorError::Faults { .. } => {
            Some("docs/operations/configuration.md explains every field")
        }
        OperatorError::Raced { .. } => {
            Some("look at the change with `bramleyshelf diff FILE`, then apply again")
        }
        OperatorError::Unknown => {
            Some("`bramleyshelf diff FILE` shows whether it took effect; applying again is safe")
        }
        OperatorError::Store { .. } => {
            Some("docs/operations/store-outage.md tells what still works")
        }
        _ => None,
    }
}
