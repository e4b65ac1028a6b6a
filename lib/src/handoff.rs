//! Messages between gateways about pieces: one gateway hands pieces of a stage over, and the other
//! has them computed in its batches.

use crate::batch;
use crate::gateway;
use crate::id;
use crate::unit;

/// Version of the messages; a gateway refuses other versions.
pub const VERSION: u16 = 1;
/// Path for messages of type `Handover`.
pub const PIECES_PATH: &str = "/handoff/pieces";
/// Path for messages of type `Release`.
pub const RELEASE_PATH: &str = "/handoff/release";

/// Pieces of one stage of one request that are handed over.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Handover {
    /// Version of the message format.
    pub version: u16,
    /// Gateway that hands the pieces over.
    pub from: id::InstanceId,
    /// Numbers of pieces of the gateway's requests that will reach the same pool later, by rank
    /// index.
    #[serde(rename = "pledged")]
    pub upcoming: batch::PiecesByRank,
    /// Request id that the caller gave.
    #[serde(rename = "name")]
    pub external_id: String,
    /// Service that runs the stage.
    pub service: id::ServiceId,
    /// Region whose upstreams run the stage.
    pub region: id::RegionId,
    /// Index of the stage in the route.
    pub stage: usize,
    /// Indexes of the pieces within the stage.
    pub pieces: Vec<u32>,
    /// Time until the stage should end, in milliseconds; negative if it is late.
    pub due_ms: i64,
    /// Time after which the results are useless to the request.
    pub budget_ms: unit::Millis,
    /// Rank of the request; 0 is the highest priority.
    pub rank: u8,
    /// Typical size of one result.
    #[serde(rename = "size")]
    pub result_size: unit::ByteSize,
    /// What the pieces are computed from.
    #[serde(rename = "source")]
    pub input: gateway::PieceInput,
    /// Failure domain that the pieces should run in, as it holds most of the input or the upstream
    /// that reads the results. Gateways of earlier releases do not send this field.
    #[serde(default)]
    #[serde(rename = "inputs")]
    pub near_domain: Option<id::DomainId>,
    /// Times by which the other gateway may reject the pieces. Gateways that shed requests by due
    /// time leave the field out, as earlier releases neither send nor decode it. It has to stay the
    /// last field.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shedding: Option<SheddingTerms>,
}

/// What the loss of a request is judged by, as it is handed over.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct SheddingTerms {
    /// Time until the stage has to end for an answer before the deadline of the request.
    pub latest_ms: unit::Millis,
    /// Microseconds of work that the request still needs at the bottleneck of its route.
    pub work_us: u64,
    /// Whether the request yields to no other, because its kind is served too rarely.
    pub is_raised: bool,
}

/// Outcomes of pieces that were handed over.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct HandoverResult {
    /// One outcome for each piece, in the order of the handover.
    #[serde(rename = "pieces")]
    pub outcomes: Vec<Outcome>,
    /// Current estimate of the wait of new pieces in the pool.
    pub wait: batch::WaitEstimate,
    /// Delay after which the request may be tried again, if the pieces were given up because they
    /// cannot be computed in time. Sent only if the handover had `shedding`, as earlier releases do
    /// not decode the field.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_ms: Option<unit::Millis>,
}

/// Outcome of one piece that was handed over.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum Outcome {
    /// The piece was computed.
    Done {
        /// Upstream that stores the result.
        instance: id::InstanceId,
        /// Name of the result at the upstream.
        handle: gateway::Handle,
    },
    /// One of its inputs is no longer stored.
    InputGone,
    /// It was not computed in time, or failed too often.
    Failed,
}

/// Results that are no longer needed and should be freed.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Release {
    /// Version of the message format.
    pub version: u16,
    /// Upstream that stores the results.
    pub instance: id::InstanceId,
    /// Names of the results at the upstream.
    pub handles: Vec<gateway::Handle>,
}
