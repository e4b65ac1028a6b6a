//! Short ways to values that tests write often.

use std::fmt;
use std::str;
use std::time;

/// Reads a name.
///
/// # Panics
/// Panics if the text is none.
pub fn name<T: str::FromStr<Err: fmt::Debug>>(text: &str) -> T {
    text.parse().expect("a valid name")
}

/// Returns a time of so many milliseconds.
pub fn ms(value: u64) -> time::Duration {
    time::Duration::from_millis(value)
}
