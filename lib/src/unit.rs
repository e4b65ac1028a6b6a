//! Sizes, rates and times as they are written in JSON, each with its unit in the type.

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
    /// A span of time in milliseconds.
    #[derive(Eq, Ord, PartialOrd)]
    Millis, u64, "{}ms"
}
unit_type! {
    /// A size in bytes.
    #[derive(Eq, Ord, PartialOrd)]
    ByteSize, u64, "{}B"
}
unit_type! {
    /// A rate per second.
    #[derive(PartialOrd)]
    PerSecond, f64, "{}/s"
}
unit_type! {
    /// A share between 0 and 1.
    #[derive(PartialOrd)]
    Share, f64, "{}"
}

impl Millis {
    /// Returns the span as a [`time::Duration`].
    pub const fn duration(self) -> time::Duration {
        time::Duration::from_millis(self.0)
    }
}

impl From<time::Duration> for Millis {
    fn from(span: time::Duration) -> Self {
        Self(u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
    }
}
