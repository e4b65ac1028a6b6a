//! What goes into the reducer of a gateway and what comes out of it, as plain data.

use std::net;
use std::sync;
use std::time;

use crate::batch;
use crate::clock;
use crate::fleet;
use crate::handoff;
use crate::id;
use crate::placement;
use crate::refusal;
use crate::roster;
use crate::table;
use crate::telemetry;

/// Number of a call to an upstream.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, Ord, PartialEq, PartialOrd)]
pub struct CallId(pub u64);

/// Number of a handover of pieces that another gateway waits for.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, Ord, PartialEq, PartialOrd)]
pub struct HandoverId(pub u64);

/// Name of a result that an upstream keeps.
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

/// What decisions on a request depend on.
#[derive(Clone, Debug, Default)]
pub struct Arrival {
    /// The caller's id of the request, which upstreams and logs see.
    pub external_id: String,
    /// Host that the request names.
    pub host: String,
    /// Its path.
    pub path: String,
    /// Credential of the caller.
    pub credential: Option<table::Credential>,
    /// Time that the caller allows.
    pub budget: Option<time::Duration>,
    /// Last event that the caller has, if it continues a stream.
    pub last_event: Option<u64>,
    /// Number of pieces of each stage.
    pub piece_counts: Vec<u32>,
    /// Key that stages without inputs work on.
    pub input_key: Option<String>,
    /// Parts of the prompt.
    pub prompt_parts: Vec<placement::PromptPart>,
}

/// A call to an upstream that answers the request.
#[derive(Clone, Debug)]
pub struct RequestCall {
    /// Number of the call.
    pub call: CallId,
    /// The request.
    pub request: id::RequestId,
    /// Upstream that has to answer, and nobody else under its address.
    pub instance: id::InstanceId,
    /// Its address.
    pub address: net::SocketAddr,
    /// Connections that this gateway may have to it.
    pub max_connections: u32,
    /// Time that is left.
    pub budget: time::Duration,
    /// Time after which the answer is not waited for any more.
    pub timeout: time::Duration,
    /// Team of the caller.
    pub team: Option<id::TeamId>,
    /// Results that the run needs.
    pub inputs: Vec<Handle>,
    /// Last event that the caller has.
    pub last_event: Option<u64>,
    /// Kind of the route.
    pub kind: table::RequestKind,
    /// Rank of the request; 0 is the highest.
    pub rank: u8,
}

/// One piece of a call with a batch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BatchItem {
    /// The caller's id of the request.
    pub external_id: String,
    /// Index of the stage.
    pub stage: usize,
    /// Index of the piece.
    pub piece: u32,
    /// Time that is left for the request.
    pub budget: time::Duration,
    /// What it works on.
    pub input: PieceInput,
}

/// What a piece works on.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum PieceInput {
    /// The caller's key.
    Key(String),
    /// Results of earlier stages.
    Results(Vec<Handle>),
}

/// A call with a batch of pieces.
#[derive(Clone, Debug)]
pub struct BatchCall {
    /// Number of the batch.
    pub batch: batch::BatchId,
    /// Upstream that has to do it.
    pub instance: id::InstanceId,
    /// Its address.
    pub address: net::SocketAddr,
    /// Connections that this gateway may have to it.
    pub max_connections: u32,
    /// The pieces.
    pub items: Vec<BatchItem>,
    /// Time after which the answer is not waited for any more.
    pub timeout: time::Duration,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, PartialEq)]
pub enum Outcome {
    /// No byte reached the upstream.
    #[display("unsent")]
    Unsent,
    /// The upstream says that it did not run the request; `elsewhere` if another one has the
    /// address.
    #[display("not_run")]
    NotRun {
        /// Whether the upstream is not the one that was meant.
        elsewhere: bool,
        /// Whether a result that the run needs is gone.
        inputs_gone: bool,
    },
    /// A whole answer that is not a stream waits in the shell.
    #[display("answered")]
    Answered {
        /// Its status.
        status: u16,
    },
    /// The stream ended whole.
    #[display("ended")]
    Ended,
    /// The answer broke off, cannot be used or did not come in time; the request may have run.
    #[display("broken")]
    Broken {
        /// Last event that the caller has.
        last: Option<u64>,
    },
}

/// How one piece ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PieceOutcome {
    /// Its result is kept under the handle.
    Done(Handle),
    /// Its time had run out.
    Late,
    /// One of its inputs is gone.
    InputGone,
    /// The upstream has no memory for the result.
    NoRoom,
    /// The work failed.
    Failed,
}

/// How a call with a batch ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BatchOutcome {
    /// Each piece has an outcome, in their order.
    Done(Vec<PieceOutcome>),
    /// The upstream was full.
    Full,
    /// Another upstream has the address.
    WrongInstance,
    /// The call failed otherwise.
    Broken,
}

/// What happens to a gateway.
#[derive(Debug)]
pub enum Event {
    /// The store gave the table in force; asked for at `asked`.
    TableRead {
        /// When the read was sent.
        sent: clock::Now,
        /// The table.
        table: sync::Arc<table::Table>,
    },
    /// The store gave the list of upstreams.
    UpstreamsListed(Vec<fleet::ListEntry>),
    /// A request arrived whole.
    RequestArrived(id::RequestId, Box<Arrival>),
    /// The caller went away.
    CallerGone(id::RequestId),
    /// The first bytes of a stream go to the caller.
    AnswerStarted(CallId),
    /// A call ended.
    CallEnded {
        /// The call.
        call: CallId,
        /// How.
        outcome: Outcome,
        /// Load that the upstream reported.
        load: Option<fleet::Load>,
    },
    /// A call with a batch ended.
    BatchEnded {
        /// The batch.
        batch: batch::BatchId,
        /// How.
        outcome: BatchOutcome,
        /// Load that the upstream reported.
        load: Option<fleet::Load>,
    },
    /// The store gave the list of gateways that are alive.
    PeersListed(Vec<roster::Peer>),
    /// Another gateway hands pieces over.
    HandoverReceived(HandoverId, Box<handoff::Handover>),
    /// The other gateway does not wait for them any more.
    HandoverCancelled(HandoverId),
    /// Another gateway gives results up.
    ReleaseReceived(handoff::Release),
    /// An upstream has freed results.
    ResultsFreed {
        /// The upstream.
        instance: id::InstanceId,
        /// The results.
        handles: Vec<Handle>,
    },
    /// What became of a group that was handed over; nothing if its holder was lost.
    HandoverEnded(batch::GroupId, Option<handoff::HandoverResult>),
    /// Whether a gateway is alive.
    PeerProbed {
        /// The gateway.
        peer: id::InstanceId,
        /// Whether it answered.
        is_alive: bool,
    },
    /// The process is to stop.
    Drain,
    /// Time passed.
    Tick,
}

/// What the shell has to do.
#[derive(Debug)]
pub enum Effect {
    /// Send a request to an upstream.
    SendRequest(Box<RequestCall>),
    /// Drop a call and its connection.
    CancelCall(CallId),
    /// Send a batch to an upstream.
    SendBatch(Box<BatchCall>),
    /// Hand a group over to another gateway.
    HandOver {
        /// The group.
        group: batch::GroupId,
        /// Address of the other gateway.
        address: net::SocketAddr,
        /// The pieces.
        message: Box<handoff::Handover>,
        /// Time after which the answer is not waited for any more.
        timeout: time::Duration,
    },
    /// Drop a handover.
    CancelHandover(batch::GroupId),
    /// Answer a handover of another gateway.
    AnswerHandover(HandoverId, handoff::HandoverResult),
    /// Give results up through another gateway.
    ForwardRelease {
        /// Address of the other gateway.
        address: net::SocketAddr,
        /// The results.
        message: handoff::Release,
    },
    /// Ask another gateway whether it is alive.
    ProbePeer {
        /// The gateway.
        peer: id::InstanceId,
        /// Its address.
        address: net::SocketAddr,
    },
    /// Tell an upstream that results are not needed any more.
    FreeResults {
        /// The upstream.
        instance: id::InstanceId,
        /// Its address.
        address: net::SocketAddr,
        /// The results.
        handles: Vec<Handle>,
    },
    /// Answer the caller with what the call brought.
    DeliverAnswer(id::RequestId, CallId),
    /// Refuse the request; the caller may come back after `pause`.
    Refuse {
        /// The request.
        request: id::RequestId,
        /// Why.
        refusal: refusal::Refusal,
        /// When to come back.
        retry_after: Option<time::Duration>,
    },
    /// Drop what is kept of the request; a stream that has begun and is not whole breaks off.
    DropRequest(id::RequestId),
    /// Write a log line.
    Log(telemetry::Line),
}
