//! Messages between entries and sidecars: length-delimited `MessagePack` frames over HTTP/2.
//!
//! Structs are encoded with field names, so that a reader ignores unknown fields and a newer
//! process can talk to an older one. A change that an older reader must not ignore raises
//! [`MAJOR_VERSION`]; processes refuse messages of another major version with a clear error.

use std::collections;
use std::fmt;

use crate::id;
use crate::refusal;
use crate::unit;

/// Major version of the protocol. A sidecar refuses messages of any other.
pub const MAJOR_VERSION: u16 = 1;
/// Path that takes a new attempt: an [`OpenAttempt`] and the body.
pub const ATTEMPT_PATH: &str = "/v1/attempt";
/// Path that takes an [`AttachAttempt`] after the connection of an attempt broke, and sends the
/// rest of its answer.
pub const ATTACH_PATH: &str = "/v1/attach";
/// Path that takes a [`CancelAttempt`].
pub const CANCEL_PATH: &str = "/v1/cancel";
/// Path on which an entry reports that the instance list shows the sidecar as leaving.
pub const LEAVE_PATH: &str = "/v1/leave";
/// Path on which a sidecar offers ranges of keys to another one.
pub const HANDOVER_PATH: &str = "/v1/handover";
/// Path on which a process sends its configuration if it has a newer one than the asking process.
pub const CONFIG_PATH: &str = "/v1/config";
/// Size of the length that precedes each frame: a big-endian `u32`.
pub const LENGTH_BYTES: usize = 4;

/// Request to run an attempt. The body follows the frame as raw bytes.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct OpenAttempt {
    /// Major version of the sender.
    pub version: u16,
    /// Request that the attempt belongs to.
    pub request: id::RequestId,
    /// Identifier of the attempt, chosen by the entry.
    pub attempt: id::AttemptId,
    /// Address on which the sending entry answers other processes, for instance with its
    /// configuration.
    pub sender: std::net::SocketAddr,
    /// Incarnation of the sidecar that the attempt is meant for; required for calls that may run
    /// only once.
    pub incarnation: Option<id::Incarnation>,
    /// Time left for the attempt when it was sent.
    pub budget: unit::Millis,
    /// When the attempt was sent, in milliseconds since the Unix epoch. It serves only to refuse
    /// copies that are older than the sidecar's ledger; deadlines depend on `budget`.
    pub sent: unit::Millis,
    /// Team that the request is charged to.
    pub team: id::TeamId,
    /// Revision of the configuration that the sender has in force.
    pub revision: id::Revision,
    /// Offset at which a resumed stream continues, in bytes; 0 for a new call.
    pub offset: u64,
    /// Idempotency key, if the caller sent one and the service may run a call only once.
    pub key: Option<Key>,
    /// Earlier attempts whose answers have arrived whole, so that the sidecar can drop them.
    pub acks: Vec<id::AttemptId>,
}

/// An idempotency key as sent to the sidecar that owns it.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Key {
    /// The key as `TEAM/KEY`.
    pub text: String,
    /// Number of the range that the key falls into.
    pub range: u32,
    /// Highest fencing token of the range that the entry has received.
    pub fence: id::FencingToken,
}

/// Request for the state of an attempt and, if it ran, for its answer from an offset on.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct AttachAttempt {
    /// Major version of the sender.
    pub version: u16,
    /// Attempt whose connection broke.
    pub attempt: id::AttemptId,
    /// Incarnation of the sidecar to which the attempt was sent.
    pub incarnation: Option<id::Incarnation>,
    /// First byte of the answer that is missing.
    pub offset: u64,
}

/// Request to cancel an attempt whose answer is not needed any more.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct CancelAttempt {
    /// Attempt to cancel.
    pub attempt: id::AttemptId,
}

/// State of a sidecar, sent with every answer.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Load {
    /// Current incarnation of the sidecar; it changes when the process restarts.
    pub incarnation: id::Incarnation,
    /// Revision of the configuration that the sidecar has in force.
    pub revision: id::Revision,
    /// Calls that the upstream is running.
    pub running: u32,
    /// Calls that the sidecar allows the upstream to run concurrently.
    pub limit: u32,
    /// Attempts that wait in the sidecar's queue.
    pub queued: u32,
    /// Smoothed duration of a call at the upstream.
    pub latency: unit::Millis,
    /// Whether the sidecar refuses new work.
    pub draining: bool,
}

/// Owner of a range of keys, as last read by the sender.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Owner {
    /// Instance of the owning sidecar.
    pub instance: id::InstanceId,
    /// Address on which the owner accepts attempts.
    pub address: std::net::SocketAddr,
    /// Incarnation of the owner when it made the claim.
    pub incarnation: id::Incarnation,
    /// Fencing token of the claim; higher tokens belong to later claims.
    pub fence: id::FencingToken,
}

/// Owners of one service's ranges, by the number of the range.
pub type Owners = collections::BTreeMap<u32, Owner>;

/// Frame of a sidecar's answer to an [`OpenAttempt`] or [`AttachAttempt`].
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub enum Frame {
    /// The attempt was accepted and is queued or running.
    Accepted(Load),
    /// The attempt was sent to the upstream. From here on it counts as possibly run.
    Started,
    /// Head of the upstream's answer; its body follows in chunks.
    Head(Head),
    /// A part of the answer's body.
    Chunk(Chunk),
    /// The answer was sent whole. Last frame.
    End(End),
    /// The attempt was refused or failed. Last frame.
    Refused(Refused),
}

/// Head of an upstream's answer.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Head {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub media: String,
}

/// End of an answer that was sent whole.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct End {
    /// Offset after the last byte of the answer.
    pub total: u64,
    /// State of the sidecar when the answer ended.
    pub load: Load,
}

/// Refusal or failure of an attempt.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct Refused {
    /// Reason.
    pub kind: refusal::Kind,
    /// Whether the attempt ran at the upstream.
    pub ran: refusal::Ran,
    /// Owner of the key's range, if another sidecar is known to own it.
    pub owner: Option<Owner>,
    /// State of the sidecar when it refused.
    pub load: Load,
}

/// Part of an answer's body.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Chunk {
    /// Offset of the first byte in the answer.
    pub offset: u64,
    /// Bytes of the body.
    pub data: bytes::Bytes,
}

/// Bytes that are encoded as a byte string instead of an array of numbers.
struct RawBytes<'a>(&'a [u8]);

impl serde::Serialize for RawBytes<'_> {
    fn serialize<S: serde::Serializer>(&self, out: S) -> Result<S::Ok, S::Error> {
        out.serialize_bytes(self.0)
    }
}

/// Bytes that are decoded from a byte string.
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

// Chunks are by far the most frequent message and are therefore encoded as a pair without field
// names.
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

/// A frame that cannot be decoded.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum WireError {
    /// The announced length exceeds the decoder's bound.
    #[display("a frame of {size} bytes is above the bound of {bound}; check the peer's version")]
    TooLong {
        /// Announced length, in bytes.
        size: usize,
        /// Allowed length, in bytes.
        bound: usize,
    },
    /// The bytes are not the expected message.
    #[display("a frame could not be read ({source}); check the peer's version")]
    Malformed {
        /// Error of the codec.
        source: rmp_serde::decode::Error,
    },
    /// The stream ended inside a frame.
    #[display("the stream ended inside a frame; resolve the attempt with its sidecar")]
    Truncated,
}

/// Encodes a message as a frame.
///
/// # Panics
/// Never: the messages contain nothing that the codec could refuse.
pub fn encode<T: serde::Serialize>(message: &T) -> bytes::Bytes {
    let body = rmp_serde::to_vec_named(message).expect("messages can be encoded");
    let mut frame = Vec::with_capacity(LENGTH_BYTES + body.len());
    let length = u32::try_from(body.len()).expect("bodies are bounded far below 4 GiB");
    frame.extend_from_slice(&length.to_be_bytes());
    frame.extend_from_slice(&body);
    frame.into()
}

/// Splits a byte stream into frames and decodes them.
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

    /// Appends received bytes.
    pub fn push(&mut self, data: &[u8]) {
        self.buffer.extend_from_slice(data);
    }

    /// Decodes the next message; `None` if its frame has not arrived whole.
    ///
    /// # Errors
    /// Fails if a frame exceeds the bound or is not a `T`.
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

    /// Returns the bytes after the frames decoded so far.
    pub fn rest(self) -> bytes::Bytes {
        self.buffer.freeze()
    }

    /// Whether there are no bytes after the frames decoded so far.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }
}
