//! Messages between entries and sidecars: length-delimited `MessagePack` frames over HTTP/2.
//!
//! Structs are written with field names, so that a reader ignores fields that it does not know and
//! a newer process can talk to an older one. A change that an older reader must not ignore raises
//! [`MAJOR`], which is refused with a clear error.

use std::collections;
use std::fmt;

use crate::id;
use crate::refusal;
use crate::unit;

/// Major version of the protocol.
pub const MAJOR_VERSION: u16 = 1;
/// Path of a new attempt.
pub const ATTEMPT_PATH: &str = "/v1/attempt";
/// Path on which a broken attempt is resolved and its answer read on.
pub const ATTACH_PATH: &str = "/v1/attach";
/// Path on which an attempt is cancelled.
pub const CANCEL_PATH: &str = "/v1/cancel";
/// Path on which an entry says that the instance list shows the sidecar as leaving.
pub const LEAVE_PATH: &str = "/v1/leave";
/// Path on which ranges of keys are handed over to another sidecar.
pub const HANDOVER_PATH: &str = "/v1/handover";
/// Path on which a process tells its revision, and its text if asked for a newer one.
pub const CONFIG_PATH: &str = "/v1/config";
/// Bytes of the length before each frame.
pub const LENGTH_BYTES: usize = 4;

/// Asks a sidecar to run an attempt; the body follows as raw bytes after the frame.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct OpenAttempt {
    /// Major version of the sender.
    pub version: u16,
    /// Request that the attempt belongs to.
    pub request: id::RequestId,
    /// The attempt.
    pub attempt: id::AttemptId,
    /// Address on which the sending entry answers other processes.
    pub sender: std::net::SocketAddr,
    /// Life of the sidecar for which the attempt is meant; required for calls that may run once.
    pub incarnation: Option<id::Incarnation>,
    /// Time left for the attempt.
    pub budget: unit::Millis,
    /// When the attempt was sent, in milliseconds since the Unix epoch. It only serves to refuse
    /// copies that are older than what the sidecar remembers; deadlines go by `budget`.
    pub sent: unit::Millis,
    /// Team that pays.
    pub team: id::TeamId,
    /// Configuration that the sender has in force.
    pub revision: id::Revision,
    /// Position at which a resumed stream continues, in bytes.
    pub offset: u64,
    /// Idempotency key, if the caller sent one to a service that may run once.
    pub key: Option<Key>,
    /// Attempts whose answers have arrived and need not be kept.
    pub acks: Vec<id::AttemptId>,
}

/// An idempotency key as it travels to its owner.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Key {
    /// The key, prefixed with its team.
    pub text: String,
    /// Range that the key falls into.
    pub range: u32,
    /// Highest fencing token of the range that the entry has seen.
    pub fence: id::FencingToken,
}

/// Asks what became of an attempt and, if it ran, for its answer from an offset on.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct AttachAttempt {
    /// Major version of the sender.
    pub version: u16,
    /// The attempt.
    pub attempt: id::AttemptId,
    /// Life of the sidecar to which the attempt was sent.
    pub incarnation: Option<id::Incarnation>,
    /// First byte of the answer that is missing.
    pub offset: u64,
}

/// Cancels an attempt whose answer nobody waits for.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct CancelAttempt {
    /// The attempt.
    pub attempt: id::AttemptId,
}

/// State of a sidecar, carried on every answer.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Load {
    /// Current life of the sidecar.
    pub incarnation: id::Incarnation,
    /// Configuration that the sidecar has in force.
    pub revision: id::Revision,
    /// Calls at the upstream.
    pub running: u32,
    /// Calls that the upstream is allowed at a time.
    pub limit: u32,
    /// Attempts waiting.
    pub queued: u32,
    /// Smoothed time of a call at the upstream.
    pub latency: unit::Millis,
    /// Whether the sidecar takes no new work.
    pub draining: bool,
}

/// Who owns a range of keys, as far as the sender knows.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Owner {
    /// The owning sidecar.
    pub instance: id::InstanceId,
    /// Address on which the owner takes attempts.
    pub address: std::net::SocketAddr,
    /// Life of the owner that made the claim.
    pub incarnation: id::Incarnation,
    /// Number of the claim.
    pub fence: id::FencingToken,
}

/// Owners of the ranges of one service.
pub type Owners = collections::BTreeMap<u32, Owner>;

/// What a sidecar sends back.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub enum Frame {
    /// The attempt waits or runs.
    Accepted(Load),
    /// The attempt was sent to the upstream and cannot be refused as not run any more.
    Started,
    /// The upstream answered; its body follows.
    Head(Head),
    /// A piece of the answer.
    Chunk(Chunk),
    /// The answer is whole.
    End(End),
    /// The attempt was refused or failed.
    Refused(Refused),
}

/// Beginning of an upstream's answer.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Head {
    /// HTTP status.
    pub status: u16,
    /// Media type.
    pub media: String,
}

/// End of a whole answer.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct End {
    /// Length of the whole answer, in bytes.
    pub total: u64,
    /// State of the sidecar.
    pub load: Load,
}

/// An attempt that has no whole answer.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct Refused {
    /// Why.
    pub kind: refusal::Kind,
    /// Whether the attempt ran.
    pub ran: refusal::Ran,
    /// Owners of the key's range, if the sender is not the owner.
    pub owner: Option<Owner>,
    /// State of the sidecar.
    pub load: Load,
}

/// A piece of an answer at its offset.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Chunk {
    /// Position of the first byte.
    pub offset: u64,
    /// The bytes.
    pub data: bytes::Bytes,
}

struct RawBytes<'a>(&'a [u8]);

impl serde::Serialize for RawBytes<'_> {
    fn serialize<S: serde::Serializer>(&self, out: S) -> Result<S::Ok, S::Error> {
        out.serialize_bytes(self.0)
    }
}

struct OwnedBytes(Vec<u8>);

impl<'de> serde::Deserialize<'de> for OwnedBytes {
    fn deserialize<D: serde::Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
        struct Visitor;

        impl serde::de::Visitor<'_> for Visitor {
            type Value = OwnedBytes;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("bytes")
            }

            fn visit_bytes<E: serde::de::Error>(self, raw: &[u8]) -> Result<OwnedBytes, E> {
                Ok(OwnedBytes(raw.to_vec()))
            }

            fn visit_byte_buf<E: serde::de::Error>(self, raw: Vec<u8>) -> Result<OwnedBytes, E> {
                Ok(OwnedBytes(raw))
            }
        }

        input.deserialize_byte_buf(Visitor)
    }
}

// Chunks are by far the most frequent message, so that they travel as a pair without field names.
impl serde::Serialize for Chunk {
    fn serialize<S: serde::Serializer>(&self, out: S) -> Result<S::Ok, S::Error> {
        use serde::ser::SerializeTuple as _;
        let mut pair = out.serialize_tuple(2)?;
        pair.serialize_element(&self.offset)?;
        pair.serialize_element(&RawBytes(&self.data))?;
        pair.end()
    }
}

impl<'de> serde::Deserialize<'de> for Chunk {
    fn deserialize<D: serde::Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
        struct Visitor;

        impl<'de> serde::de::Visitor<'de> for Visitor {
            type Value = Chunk;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("an offset and bytes")
            }

            fn visit_seq<A: serde::de::SeqAccess<'de>>(
                self,
                mut seq: A,
            ) -> Result<Chunk, A::Error> {
                let missing = serde::de::Error::invalid_length;
                let offset = seq.next_element()?.ok_or_else(|| missing(0, &self))?;
                let data: OwnedBytes = seq.next_element()?.ok_or_else(|| missing(1, &self))?;
                Ok(Chunk { offset, data: data.0.into() })
            }
        }

        input.deserialize_tuple(2, Visitor)
    }
}

/// A frame that cannot be read.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum WireError {
    /// A length above the agreed bound.
    #[display("a frame of {size} bytes is above the bound of {bound}; check the peer's version")]
    TooLong {
        /// Announced length.
        size: usize,
        /// Allowed length.
        bound: usize,
    },
    /// Bytes that are not the expected message.
    #[display("a frame could not be read ({source}); check the peer's version")]
    Malformed {
        /// Error of the codec.
        source: rmp_serde::decode::Error,
    },
    /// The stream ended inside a frame.
    #[display("the stream ended inside a frame; resolve the attempt with its sidecar")]
    Truncated,
}

/// Writes a message with its length in front.
///
/// # Panics
/// Never: the messages have no part that the codec could refuse.
pub fn encode<T: serde::Serialize>(message: &T) -> bytes::Bytes {
    let body = rmp_serde::to_vec_named(message).expect("messages are plain data");
    let mut out = Vec::with_capacity(LENGTH_BYTES + body.len());
    let length = u32::try_from(body.len()).expect("bodies are bounded far below 4 GiB");
    out.extend_from_slice(&length.to_be_bytes());
    out.extend_from_slice(&body);
    out.into()
}

/// Cuts a byte stream into frames.
#[derive(Debug)]
pub struct Decoder {
    buffer: bytes::BytesMut,
    bound: usize,
}

impl Decoder {
    /// Makes a decoder for frames of at most `bound` bytes.
    pub fn new(bound: usize) -> Self {
        Self { buffer: bytes::BytesMut::new(), bound }
    }

    /// Adds bytes as they arrive.
    pub fn push(&mut self, data: &[u8]) {
        self.buffer.extend_from_slice(data);
    }

    /// Returns the next whole message, if there is one.
    ///
    /// # Errors
    /// Fails on a length above the bound and on bytes that are not a `T`.
    pub fn read<T: serde::de::DeserializeOwned>(&mut self) -> Result<Option<T>, WireError> {
        let Some(prefix) = self.buffer.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let size = u32::from_be_bytes(*prefix) as usize;
        if size > self.bound {
            return Err(WireError::TooLong { size, bound: self.bound });
        }
        if self.buffer.len() < LENGTH_BYTES + size {
            return Ok(None);
        }
        let frame = self.buffer.split_to(LENGTH_BYTES + size);
        rmp_serde::from_slice(&frame[LENGTH_BYTES..])
            .map(Some)
            .map_err(|source| WireError::Malformed { source })
    }

    /// Returns what follows the frames read so far.
    pub fn rest(self) -> bytes::Bytes {
        self.buffer.freeze()
    }

    /// Whether no part of a frame is left over.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }
}
