//! Identifiers. Each kind has its own type, so that they cannot be mixed up.

use std::borrow;
use std::fmt;
use std::str;

/// Maximum length of a name in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// Error on parsing an identifier.
#[derive(Clone, Debug, derive_more::Display, derive_more::Error, Eq, PartialEq)]
pub enum IdError {
    /// The text is empty, longer than [`MAX_NAME_BYTES`], or has a character that is not allowed.
    #[display(
        "`{text}` is not a name: use 1 to 128 letters, digits, `-`, `_` or `.`, starting with a \
         letter or digit"
    )]
    Name {
        /// Text that was to be parsed.
        text: String,
    },
    /// The text is not a hexadecimal number, or too large for the identifier.
    #[display("`{text}` is not an id: give the hexadecimal number exactly as it was logged")]
    Number {
        /// Text that was to be parsed.
        text: String,
    },
}

fn check_name(text: &str) -> Result<(), IdError> {
    let is_valid = !text.is_empty()
        && text.len() <= MAX_NAME_BYTES
        && text.starts_with(|c: char| c.is_ascii_alphanumeric())
        && text.chars().all(|c| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.'));
    if is_valid { Ok(()) } else { Err(IdError::Name { text: text.to_owned() }) }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, derive_more::Display, Eq, Ord, PartialEq, PartialOrd, serde::Serialize)]
        #[serde(transparent)]
        pub struct $name(String);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl str::FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                check_name(text)?;
                Ok(Self(text.to_owned()))
            }
        }

        impl borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl<'de> serde::Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
                let text = <String as serde::Deserialize>::deserialize(input)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    };
}

name_type! {
    /// Name of an instance, and of the entry, sidecar or gateway that runs on it.
    InstanceId
}
name_type! {
    /// Name of a team: a customer to which requests are attributed and limits apply.
    TeamId
}
name_type! {
    /// Name of a pool of interchangeable upstreams.
    ServiceId
}
name_type! {
    /// Name of a graph of stages that callers reach under one path.
    PipelineId
}
name_type! {
    /// Name of one step of a pipeline.
    StageId
}
name_type! {
    /// Name of a failure domain: instances of one region that tend to fail together.
    DomainId
}
name_type! {
    /// Name of a region: failure domains with low latency between them.
    RegionId
}

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident, $inner:ty, $digits:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{:0", $digits, "x}"), self.0)
            }
        }

        impl str::FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                <$inner>::from_str_radix(text, 16)
                    .map(Self)
                    .map_err(|_| IdError::Number { text: text.to_owned() })
            }
        }

        impl serde::Serialize for $name {
            fn serialize<S: serde::Serializer>(&self, out: S) -> Result<S::Ok, S::Error> {
                if out.is_human_readable() {
                    out.collect_str(self)
                } else {
                    out.serialize_bytes(&self.0.to_be_bytes())
                }
            }
        }

        impl<'de> serde::Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
                struct Visitor;

                // Written by hand for speed, because every frame between processes carries these
                // ids.
                impl serde::de::Visitor<'_> for Visitor {
                    type Value = $name;

                    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                        f.write_str("a big-endian number as bytes, or its hexadecimal digits")
                    }

                    fn visit_str<E: serde::de::Error>(self, text: &str) -> Result<$name, E> {
                        text.parse().map_err(E::custom)
                    }

                    fn visit_bytes<E: serde::de::Error>(self, raw: &[u8]) -> Result<$name, E> {
                        let raw = raw.try_into().map_err(|_| E::invalid_length(raw.len(), &self))?;
                        Ok($name(<$inner>::from_be_bytes(raw)))
                    }
                }

                if input.is_human_readable() {
                    input.deserialize_str(Visitor)
                } else {
                    input.deserialize_bytes(Visitor)
                }
            }
        }
    };
}

number_type! {
    /// Id of one request of a caller; unique among all entries.
    RequestId, u128, "32"
}
number_type! {
    /// Id of one attempt to run one stage of a request at one sidecar.
    AttemptId, u128, "32"
}
number_type! {
    /// Id of one run of a process; drawn at random on each start, so that a restart is detected.
    Incarnation, u64, "16"
}

/// Revision of the configuration: a number in the stored value, which operators' commands raise; 0
/// stands for none. Higher ones are newer. In values without a number it is the store's revision of
/// the write.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    derive_more::Display,
    derive_more::FromStr,
    Eq,
    Ord,
    PartialEq,
    PartialOrd,
    serde::Deserialize,
    serde::Serialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// Fencing token of an ownership claim; a later owner gets a higher one.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    derive_more::Display,
    derive_more::FromStr,
    Eq,
    Ord,
    PartialEq,
    PartialOrd,
    serde::Deserialize,
    serde::Serialize,
)]
#[serde(transparent)]
pub struct FencingToken(pub u64);
