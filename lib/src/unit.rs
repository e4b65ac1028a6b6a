//! Sizes, rates and durations as they are written in JSON, with the unit in the type.

use std::time;

macro_rules! unit_type {
    ($(#[$doc:meta])* $name:ident, $inner:ty, $format:literal) => {
        $(#[$doc])*
        #[derive(
            Clone,
            Copy,
            Debug,
            Default,
            derive_more::Display,
            derive_more::FromStr,
            PartialEq,
            serde::Deserialize,
            serde::Serialize,
        )]
        #[serde(transparent)]
        #[display($format, _0)]
        pub struct $name(pub $inner);
    };
}

unit_type! {
    /// A duration in milliseconds.
    #[derive(Eq, Ord, PartialOrd)]
    Millis, u64, "{}ms"
}
unit_type! {
    /// A size in bytes.
    #[derive(Eq, Ord, PartialOrd)]
    ByteSize, u64, "{}B"
}
unit_type! {
    /// A rate per second, of requests or bytes.
    #[derive(PartialOrd)]
    PerSecond, f64, "{}/s"
}
unit_type! {
    /// A fraction from 0 to 1; for a configuration, [`crate::check`] enforces the range.
    #[derive(PartialOrd)]
    Share, f64, "{}"
}

impl Millis {
    /// Converts to a [`time::Duration`].
    pub const fn duration(self) -> time::Duration {
        time::Duration::from_millis(self.0)
    }
}

impl From<time::Duration> for Millis {
    fn from(duration: time::Duration) -> Self {
        Self(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
    }
}
