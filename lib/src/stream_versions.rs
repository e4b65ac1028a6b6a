//! Software versions of upstreams. What two versions write does not fit together, so a stream goes on
//! only at the version that began it.

use std::convert;
use std::str;

/// Version of the software of an upstream. Versions have no order.
#[derive(
    Clone,
    Debug,
    Default,
    derive_more::Display,
    Eq,
    Ord,
    PartialEq,
    PartialOrd,
    serde::Deserialize,
    serde::Serialize,
)]
#[serde(transparent)]
pub struct SoftwareVersion(String);

impl str::FromStr for SoftwareVersion {
    type Err = convert::Infallible;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(Self(text.to_owned()))
    }
}
