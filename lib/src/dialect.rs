//! What a gateway needs to know of the headers and bodies that its callers, upstreams and store
//! use.
//!
//! The traits are implemented once for each platform; decisions never see a name of the wire.

use std::sync;

use crate::fleet;
use crate::gateway;
use crate::refusal;
use crate::roster;
use crate::table;

/// What the head of an upstream's answer says.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AnswerHead {
    /// The answer names another request: it belongs to an earlier one on the connection.
    pub is_mismatched: bool,
    /// The upstream vouches for the answer; a success without it is none.
    pub is_sealed: bool,
    /// The request did not run and never will.
    pub not_run: bool,
    /// Another upstream has the address.
    pub wrong_instance: bool,
    /// Load of the upstream.
    pub load: Option<fleet::Load>,
}

/// A message to an upstream about stages.
#[derive(Clone, Debug)]
pub struct Message {
    /// Its path.
    pub path: &'static str,
    /// Its headers.
    pub headers: hyper::HeaderMap,
    /// Its body.
    pub body: bytes::Bytes,
}

/// Headers and bodies of callers and upstreams.
pub trait Dialect: Clone + Send + Sync + 'static {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    /// Returns what is wrong with it and how to correct it.
    fn read_request(&self, head: &hyper::http::request::Parts) -> Result<gateway::Arrival, String>;

    /// Returns the headers with which a request goes to an upstream: those of the caller without
    /// the ones that concern one connection or are the system's to set.
    fn request_headers(
        &self,
        head: &hyper::http::request::Parts,
        send: &gateway::RequestCall,
    ) -> hyper::HeaderMap;

    /// Reads the head of an upstream's answer to the request with the caller's headers.
    fn read_answer(
        &self,
        head: &hyper::http::request::Parts,
        status: u16,
        headers: &hyper::HeaderMap,
    ) -> AnswerHead;

    /// Returns the headers with which an upstream's answer goes to the caller.
    fn answer_headers(&self, headers: &hyper::HeaderMap) -> hyper::HeaderMap;

    /// Writes a call with a batch of pieces.
    fn write_batch(&self, run: &gateway::BatchCall) -> Message;

    /// Reads the answer to a call with a batch of pieces.
    ///
    /// # Errors
    /// Returns why the body is not such an answer.
    fn read_batch(&self, body: &[u8]) -> Result<Vec<gateway::PieceOutcome>, String>;

    /// Writes a message that frees results.
    fn write_free(&self, instance: &crate::id::InstanceId, handles: &[gateway::Handle]) -> Message;

    /// Returns the status and headers of a refusal.
    fn refusal_status(&self, refusal: &refusal::Refusal) -> u16;
}

/// A read of the store that did not succeed.
#[derive(Clone, Debug, derive_more::Display, derive_more::Error, Eq, PartialEq)]
pub enum StoreError {
    /// There was no answer in time.
    #[display("the store did not answer; what is known stays in use until its lease ends")]
    Unreachable,
    /// The store turned the read away.
    #[display("the store answered with status {status}; the read is tried again")]
    Refused {
        /// The status.
        status: u16,
    },
    /// The answer cannot be read.
    #[display("the store's answer cannot be read: {message}; look at what was written there")]
    Malformed {
        /// What is wrong with it.
        message: String,
    },
}

/// The platform's store, as far as a gateway reads it. All reads are linearizable.
pub trait GatewayStore: Clone + Send + Sync + 'static {
    /// Reads the routing table in force.
    fn table(&self) -> impl Future<Output = Result<sync::Arc<table::Table>, StoreError>> + Send;

    /// Announces a gateway for a while; called again and again while it lives.
    fn announce(&self, peer: &roster::Peer) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Takes the announcement back.
    fn withdraw(&self) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Reads which gateways are announced.
    fn peers(&self) -> impl Future<Output = Result<Vec<roster::Peer>, StoreError>> + Send;

    /// Reads the list of upstreams.
    fn fleet(&self) -> impl Future<Output = Result<Vec<fleet::ListEntry>, StoreError>> + Send;
}
