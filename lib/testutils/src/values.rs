//! Short constructors for values that tests need often.

use std::fmt;
use std::str;
use std::time;

/// Parses an identifier, such as an instance or service name.
///
/// # Panics
/// Panics if the text is not a valid identifier.
pub fn name<T: str::FromStr<Err: fmt::Debug>>(text: &str) -> T {
    text.parse().expect("a valid name")
}

/// Returns a duration in milliseconds.
pub fn ms(value: u64) -> time::Duration {
    time::Duration::from_millis(value)
}
