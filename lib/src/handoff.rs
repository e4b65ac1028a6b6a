//! Messages between gateways about pieces: one hands pieces of a stage over, the other has them
//! made in its batches.

use crate::batch;
use crate::gateway;
use crate::id;
use crate::unit;

/// Version of the messages; a gateway refuses others.
pub const VERSION: u16 = 1;
/// Path under which pieces are handed over.
pub const PIECES_PATH: &str = "/handoff/pieces";
/// Path under which results are given up.
pub const RELEASE_PATH: &str = "/handoff/release";

/// Pieces of one stage of one request.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Handover {
    /// Version of the message.
    pub version: u16,
    /// Gateway that hands them over.
    pub from: id::InstanceId,
    /// Pieces of other requests that the gateway will hand over for the same pool, by rank.
    #[serde(rename = "pledged")]
    pub upcoming: batch::PiecesByRank,
    /// The caller's id of the request.
    #[serde(rename = "name")]
    pub external_id: String,
    /// Service that does the stage.
    pub service: id::ServiceId,
    /// Region whose upstreams do it.
    pub region: id::RegionId,
    /// Index of the stage.
    pub stage: usize,
    /// Indexes of the pieces.
    pub pieces: Vec<u32>,
    /// Time until the stage should be done, less than zero if it is late, in milliseconds.
    pub due_ms: i64,
    /// Time that is left for the request.
    pub budget_ms: unit::Millis,
    /// Rank of the request; 0 is the highest.
    pub rank: u8,
    /// Usual size of one result.
    #[serde(rename = "size")]
    pub result_size: unit::ByteSize,
    /// What the pieces work on.
    #[serde(rename = "source")]
    pub input: gateway::PieceInput,
    /// Failure domain that keeps what they work on, if that is much; earlier senders don't say.
    #[serde(default)]
    #[serde(rename = "inputs")]
    pub input_domain: Option<id::DomainId>,
}

/// Outcomes of pieces, in the order in which they were handed over.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct HandoverResult {
    /// One for each piece.
    #[serde(rename = "pieces")]
    pub outcomes: Vec<Outcome>,
    /// Time that new pieces are expected to wait in the pool.
    pub wait: batch::WaitEstimate,
}

/// Outcome of one piece.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum Outcome {
    /// An upstream keeps the result.
    Done {
        /// The upstream.
        instance: id::InstanceId,
        /// Name of the result.
        handle: gateway::Handle,
    },
    /// An input is gone.
    InputGone,
    /// It was not made in time, or failed too often.
    Failed,
}

/// Results that are not needed any more.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Release {
    /// Version of the message.
    pub version: u16,
    /// Upstream that keeps them.
    pub instance: id::InstanceId,
    /// Their names.
    pub handles: Vec<gateway::Handle>,
}
