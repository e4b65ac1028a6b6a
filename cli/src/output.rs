//! Writing to standard output, with errors as failures instead of panics.

use std::fmt;
use std::io;
use std::io::Write as _;

use crate::failure;

/// Writes a line.
///
/// A closed pipe is not an error, as in `bramleyshelf status | head -1`: the command continues without
/// output, so that its work and its exit status stay the same.
///
/// # Errors
/// Fails if the line cannot be written for another reason, such as a full disk.
pub fn write_line(text: impl fmt::Display) -> Result<(), failure::Failure> {
    write_text(format_args!("{text}\n"))
}

/// Writes text without a line end; otherwise like [`write_line`].
///
/// # Errors
/// Fails like [`write_line`].
pub fn write_text(text: impl fmt::Display) -> Result<(), failure::Failure> {
    let mut stdout = io::stdout().lock();
    match write!(stdout, "{text}").and_then(|()| stdout.flush()) {
        Err(source) if source.kind() != io::ErrorKind::BrokenPipe => {
            Err(failure::Failure::Output { source })
        }
        _ => Ok(()),
    }
}
