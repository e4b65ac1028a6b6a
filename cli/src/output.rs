//! Standard output of the commands.

use std::fmt;
use std::io;
use std::io::Write as _;

use crate::failure;

/// Writes a line.
///
/// A reader that has closed its end has what it wanted, as in `bramleyshelf status | head -1`: the
/// command goes on without it, so that its work and its exit status stay the same.
///
/// # Errors
/// Fails if the line can't be written for another reason, such as a full disk.
pub fn line(text: impl fmt::Display) -> Result<(), failure::Failure> {
    part(format_args!("{text}\n"))
}

/// Writes text as it is; else like [`line`].
///
/// # Errors
/// Fails like [`line`].
pub fn part(text: impl fmt::Display) -> Result<(), failure::Failure> {
    let mut stdout = io::stdout().lock();
    match write!(stdout, "{text}").and_then(|()| stdout.flush()) {
        Err(source) if source.kind() != io::ErrorKind::BrokenPipe => {
            Err(failure::Failure::Output { source })
        }
        _ => Ok(()),
    }
}
