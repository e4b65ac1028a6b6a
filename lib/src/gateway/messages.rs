//! Events and effects of the gateway's reducer, as plain data.

use std::collections;
use std::net;
use std::sync;
use std::time;

use crate::batch;
use crate::clock;
use crate::engine_pace;
use crate::fleet;
use crate::handoff;
use crate::id;
use crate::placement;
use crate::refusal;
use crate::roster;
use crate::stated_limits;
use crate::stream_versions;
use crate::table;
use crate::telemetry;
use crate::upstream_notice;

/// Identifies a call that is to answer a request, unique within the gateway process.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, Ord, PartialEq, PartialOrd)]
pub struct CallId(pub u64);

/// Identifies a handover from another gateway that has not been answered yet.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, Ord, PartialEq, PartialOrd)]
pub struct HandoverId(pub u64);

/// Name that an upstream gave to a result that it stores.
#[derive(
    Clone,
    Debug,
    derive_more::Display,
    Eq,
    Ord,
    PartialEq,
    PartialOrd,
    serde::Deserialize,
    serde::Serialize,
)]
#[serde(transparent)]
pub struct Handle(pub String);

/// A new request, as far as the reducer's decisions depend on it.
#[derive(Clone, Debug, Default)]
pub struct Arrival {
    /// Request id that the caller gave, for logs and upstreams.
    pub external_id: String,
    /// Host that the request names, with or without a port.
    pub host: String,
    /// Path of the request.
    pub path: String,
    /// Credential of the caller, if it sent one.
    pub credential: Option<table::Credential>,
    /// Time that the caller allows for the whole answer; `None` if it sets no limit.
    pub budget: Option<time::Duration>,
    /// Number of the last event that the caller received, if it resumes a stream.
    pub last_event: Option<u64>,
    /// Request id of the attempt that brought the first event of a stream that the caller resumes.
    pub resumes: Option<String>,
    /// Number of pieces of each stage, in the order of the route's stages.
    pub piece_counts: Vec<u32>,
    /// Input of the stages that depend on no other stage.
    pub input_key: Option<String>,
    /// Parts of the prompt, empty if the request is no generation.
    pub prompt_parts: Vec<placement::PromptPart>,
    /// Digest of what the request asks for, the same for one that is sent again under another id.
    pub content: Option<u64>,
}

/// How long a call may make no progress before it counts as silent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Patience {
    /// Until the head of the answer or, for a stream, until its first event.
    pub start: time::Duration,
    /// Between two events of a stream.
    pub gap: time::Duration,
}

/// A call to the upstream that is to answer a request.
#[derive(Clone, Debug)]
pub struct RequestCall {
    /// Identity of the call.
    pub call: CallId,
    /// Request that the call is for.
    pub request: id::RequestId,
    /// Upstream that is to answer. Another one under the same address must reject the call.
    pub instance: id::InstanceId,
    /// Start time of the upstream's process in milliseconds since the Unix epoch, if it is known.
    pub started_ms: Option<u64>,
    /// Address of the upstream.
    pub address: net::SocketAddr,
    /// Maximum number of connections that the upstream accepts from all callers together. The
    /// connection pool limits those of this gateway to a part of them.
    pub max_connections: u32,
    /// Time until the deadline of the request.
    pub budget: time::Duration,
    /// Time without progress after which the call counts as silent: until the head of the answer or, for
    /// a stream, until its first event and between events. A silent call goes on unless it is told to end.
    pub patience: Patience,
    /// Team of the caller; `None` if the route needs no credential.
    pub team: Option<id::TeamId>,
    /// Results of stages that the upstream needs.
    pub inputs: Vec<Handle>,
    /// Number of the last event that the caller received, if the stream is to be resumed.
    pub last_event: Option<u64>,
    /// Whether the request may be repeated and whether its answer is a stream.
    pub kind: table::RequestKind,
    /// Rank of the request; 0 is the highest priority.
    pub rank: u8,
    /// Whether the upstream states a limit, so that an answer without one is news.
    pub is_limited: bool,
}

/// One piece of a batch call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BatchItem {
    /// Request id that the caller gave.
    pub external_id: String,
    /// Index of the stage in the route.
    pub stage: usize,
    /// Index of the piece within its stage.
    pub piece: u32,
    /// Time after which the result is useless to the request.
    pub budget: time::Duration,
    /// What the piece is computed from.
    pub input: PieceInput,
}

/// What a piece is computed from.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum PieceInput {
    /// The key that the caller sent, for stages that depend on no other stage.
    Key(String),
    /// Results of earlier stages.
    Results(Vec<Handle>),
}

/// A call that has an upstream run a batch of pieces.
#[derive(Clone, Debug)]
pub struct BatchCall {
    /// Identity of the batch.
    pub batch: batch::BatchId,
    /// Upstream that is to run the pieces.
    pub instance: id::InstanceId,
    /// Start time of the upstream's process in milliseconds since the Unix epoch, if it is known.
    pub started_ms: Option<u64>,
    /// Address of the upstream.
    pub address: net::SocketAddr,
    /// Maximum number of connections that the upstream accepts from all callers together. The
    /// connection pool limits those of this gateway to a part of them.
    pub max_connections: u32,
    /// Pieces of the batch, in the order in which they should be processed.
    pub items: Vec<BatchItem>,
    /// Time limit until the answer is complete.
    pub timeout: time::Duration,
    /// Whether the upstream states a limit, so that an answer without one is news.
    pub is_limited: bool,
}

/// How a call that was to answer a request ended.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, PartialEq)]
pub enum Outcome {
    /// No byte reached the upstream, so the request did not run.
    #[display("unsent")]
    Unsent,
    /// The upstream reports that it did not run the request.
    #[display("not_run")]
    NotRun {
        /// Whether another upstream has taken over the address.
        elsewhere: bool,
        /// Whether the upstream lacks a result that the request needs.
        inputs_gone: bool,
    },
    /// The answer is complete and not a stream. The shell holds it until it is delivered.
    #[display("answered")]
    Answered {
        /// HTTP status of the answer.
        status: u16,
    },
    /// The stream was delivered to its end.
    #[display("ended")]
    Ended,
    /// The answer broke off, is invalid, or timed out. The request may have run.
    #[display("broken")]
    Broken {
        /// Number of the last event that the caller received.
        last: Option<u64>,
        /// What broke the answer.
        cause: BreakCause,
    },
}

/// What kept an answer from being complete and valid.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, PartialEq)]
pub enum BreakCause {
    /// The connection ended before the head, the stated length or the last chunk of the answer, or
    /// before the first event of a stream that has neither a length nor chunks.
    #[display("connection_lost")]
    ConnectionLost,
    /// The body ended as a complete one does, but inside an event.
    #[display("inside_event")]
    InsideEvent,
    /// The answer or its next event did not arrive in time, or the network broke the connection.
    #[display("timeout")]
    Timeout,
    /// The answer is another request's, lacks the upstream's mark or breaks the order of events.
    #[display("invalid")]
    Invalid,
    /// The caller disconnected.
    #[display("caller_gone")]
    CallerGone,
}

/// How one piece of a batch ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PieceOutcome {
    /// The upstream stores the result under this handle.
    Done(Handle),
    /// Its budget had run out.
    Late,
    /// One of its inputs is no longer stored.
    InputGone,
    /// The upstream had no memory for the result.
    NoRoom,
    /// The computation failed.
    Failed,
}

/// How a batch call ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BatchOutcome {
    /// The upstream answered with one outcome for each piece, in the order of the call.
    Done(Vec<PieceOutcome>),
    /// The upstream rejected the call because it was full.
    Full,
    /// Another upstream has taken over the address.
    WrongInstance,
    /// The call failed in another way.
    Broken,
}

/// An input of the reducer.
#[derive(Debug)]
pub enum Event {
    /// The store returned the routing table.
    TableRead {
        /// When the latest read was sent by which the table was certainly the newest one, from
        /// which the lease on the table counts; `None` if there was none.
        confirmed: Option<clock::Now>,
        /// Table as of the read.
        table: sync::Arc<table::Table>,
    },
    /// The store came back from an older copy of its contents. What is read from now on may be old
    /// or missing until it is written again.
    StoreRestored,
    /// A read stated the evacuated failure domains.
    DomainsEvacuated(collections::BTreeSet<id::DomainId>),
    /// The store returned the list of upstreams.
    UpstreamsListed(Vec<fleet::ListEntry>),
    /// A request was received completely.
    RequestArrived(id::RequestId, Box<Arrival>),
    /// The caller closed its connection before the answer was complete.
    CallerGone(id::RequestId),
    /// The first bytes of a stream were sent to the caller.
    AnswerStarted(CallId),
    /// A call has made no progress for longer than its patience. It is repeated while that lasts.
    CallSilent(CallId),
    /// A silent call makes progress again.
    CallResumed(CallId),
    /// A call that was to answer a request ended.
    CallEnded {
        /// Call that ended.
        call: CallId,
        /// How it ended.
        outcome: Outcome,
        /// Load that the upstream reported, if it did.
        load: Option<fleet::Load>,
    },
    /// Paces of engines as they are known now, from this gateway's streams and those of others.
    EnginesPaced(Vec<(id::InstanceId, engine_pace::Pace)>),
    /// An answer stated something about the upstream, in its head.
    UpstreamNoticed {
        /// Process that answered.
        process: upstream_notice::Process,
        /// What it stated.
        notice: upstream_notice::Notice,
        /// When the call was sent.
        sent_at: time::Duration,
    },
    /// What gateways have logged about the versions that they sent streams to, nothing if that could not
    /// be read.
    StreamsFound(Vec<stream_versions::LoggedStreams>),
    /// The services with a single version, as recorded in the store when this process started.
    LoneVersionsRead(stream_versions::LoneVersions),
    /// Other gateways have received these limits from upstreams.
    LimitsRelayed(Vec<stated_limits::RelayedLimit>),
    /// A batch call ended.
    BatchEnded {
        /// Batch that ended.
        batch: batch::BatchId,
        /// How it ended.
        outcome: BatchOutcome,
        /// Load that the upstream reported, if it did.
        load: Option<fleet::Load>,
    },
    /// The store returned the listing of gateways.
    GatewaysListed(roster::Listing),
    /// Another gateway hands pieces over to this one.
    HandoverReceived(HandoverId, Box<handoff::Handover>),
    /// The other gateway cancelled its handover.
    HandoverCancelled(HandoverId),
    /// Another gateway forwards the names of results that are no longer needed.
    ReleaseReceived(handoff::Release),
    /// An upstream confirmed that it freed results.
    ResultsFreed {
        /// Upstream that stored the results.
        instance: id::InstanceId,
        /// Results that were freed.
        handles: Vec<Handle>,
    },
    /// A handover to another gateway ended. The result is `None` if the gateway did not answer it.
    HandoverEnded(batch::GroupId, Option<handoff::HandoverResult>),
    /// A probe of another gateway ended.
    PeerProbed {
        /// Gateway that was probed.
        peer: id::InstanceId,
        /// Whether it answered in time.
        is_alive: bool,
    },
    /// The process was asked to stop; its last requests are finished first.
    Drain {
        /// Time until the process ends.
        left: time::Duration,
    },
    /// The process ends now; requests in progress are refused.
    Stop,
    /// Some time passed, so that deadlines and intervals are to be checked.
    Tick,
}

/// An action that the shell carries out for the reducer.
#[derive(Debug)]
pub enum Effect {
    /// Call an upstream that is to answer a request.
    SendRequest(Box<RequestCall>),
    /// Cancel a call and close its connection.
    CancelCall(CallId),
    /// Have a silent call end, so that another one can take over. It reports its end.
    EndCall(CallId),
    /// Send a batch call to an upstream.
    SendBatch(Box<BatchCall>),
    /// Hand a group over to another gateway.
    HandOver {
        /// Group that is handed over.
        group: batch::GroupId,
        /// Address of the other gateway.
        address: net::SocketAddr,
        /// Message with the pieces.
        message: Box<handoff::Handover>,
        /// Time limit until the answer is complete.
        timeout: time::Duration,
    },
    /// Cancel a handover to another gateway.
    CancelHandover(batch::GroupId),
    /// Answer a handover from another gateway.
    AnswerHandover(HandoverId, handoff::HandoverResult),
    /// Have another gateway free results, as it keeps account of the upstream's memory.
    ForwardRelease {
        /// Address of the other gateway.
        address: net::SocketAddr,
        /// Message with the results.
        message: handoff::Release,
    },
    /// Check whether another gateway is alive.
    ProbePeer {
        /// Gateway to probe.
        peer: id::InstanceId,
        /// Address of the gateway.
        address: net::SocketAddr,
    },
    /// Have an upstream free results that are no longer needed.
    FreeResults {
        /// Process that stores the results.
        process: upstream_notice::Process,
        /// Address of the upstream.
        address: net::SocketAddr,
        /// Results to free.
        handles: Vec<Handle>,
    },
    /// Read what gateways have logged about the versions that they sent streams to.
    FindStreams,
    /// Pass the answer of a call on to the caller of a request.
    DeliverAnswer(id::RequestId, CallId),
    /// Refuse a request.
    Refuse {
        /// Request to refuse.
        request: id::RequestId,
        /// Kind of the refusal and message to the caller.
        refusal: refusal::Refusal,
        /// Time after which the caller may retry; `None` if it is given none.
        retry_after: Option<time::Duration>,
    },
    /// Drop the state of a request. A stream that is not complete breaks off.
    DropRequest(id::RequestId),
    /// Write a log line.
    Log(telemetry::Line),
}
