//! Traits that adapt a gateway to its platform: the headers and bodies that callers and upstreams
//! use, and the store.
//!
//! Each platform implements them once, so that the reducers do not depend on names of the wire.

use std::collections;
use std::sync;

use tokio::sync::watch;

use crate::crash_report;
use crate::fleet;
use crate::gateway;
use crate::id;
use crate::refusal;
use crate::roster;
use crate::store_era;
use crate::stream_versions;
use crate::table;
use crate::upstream_notice;

/// Properties of an upstream's answer that its head reveals.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AnswerHead {
    /// Whether the answer does not name the request, so that it belongs to an earlier one on the
    /// connection, or to none. Nothing is concluded from it.
    pub is_mismatched: bool,
    /// Whether the answer carries the upstream's mark. A success without it is not the upstream's
    /// and counts as broken.
    pub is_sealed: bool,
    /// Whether the upstream states that the request did not run and never will.
    pub not_run: bool,
    /// Whether another upstream than the intended one answered, because it has taken over the
    /// address. It names itself and did not run the request.
    pub wrong_instance: bool,
    /// What the upstream states about itself.
    pub notice: upstream_notice::Notice,
    /// Load that the upstream reports, if it does.
    pub load: Option<fleet::Load>,
}

/// A request to an upstream about stages, for a batch of pieces or for freeing results.
#[derive(Clone, Debug)]
pub struct Message {
    /// Path of the request.
    pub path: &'static str,
    /// Headers without `Host`.
    pub headers: hyper::HeaderMap,
    /// Encoded body.
    pub body: bytes::Bytes,
}

/// Reads and writes the headers and bodies that a platform's callers and upstreams use.
pub trait Dialect: Clone + Send + Sync + 'static {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    /// Returns what is wrong with the head and how to correct it.
    fn read_request(&self, head: &hyper::http::request::Parts) -> Result<gateway::Arrival, String>;

    /// Returns the headers with which a request is sent to an upstream: those of the caller, except
    /// for headers that concern a single connection or that only this system may set.
    fn request_headers(
        &self,
        head: &hyper::http::request::Parts,
        call: &gateway::RequestCall,
    ) -> hyper::HeaderMap;

    /// Reads the head of an upstream's answer. `head` is the head of the caller's request, and
    /// `instance` the upstream that the request was meant for.
    fn read_answer(
        &self,
        head: &hyper::http::request::Parts,
        instance: &id::InstanceId,
        status: u16,
        headers: &hyper::HeaderMap,
    ) -> AnswerHead;

    /// Returns the headers with which an upstream's answer is sent to the caller.
    fn answer_headers(&self, headers: &hyper::HeaderMap) -> hyper::HeaderMap;

    /// Builds the request for a batch of pieces.
    fn write_batch(&self, batch: &gateway::BatchCall) -> Message;

    /// Reads the answer to a batch of pieces: their outcomes in the order of the batch.
    ///
    /// # Errors
    /// Returns why the body is not such an answer.
    fn read_batch(&self, body: &[u8]) -> Result<Vec<gateway::PieceOutcome>, String>;

    /// Builds the request that frees results at an upstream.
    fn write_free(&self, instance: &id::InstanceId, handles: &[gateway::Handle]) -> Message;

    /// Returns the HTTP status with which a request is refused.
    fn refusal_status(&self, refusal: &refusal::Refusal) -> u16;
}

/// A call to the store that failed.
#[derive(Clone, Debug, derive_more::Display, derive_more::Error, Eq, PartialEq)]
pub enum StoreError {
    /// The store did not answer in time.
    #[display("the store did not answer in time; earlier reads stay in use until their lease ends")]
    Unreachable,
    /// The store answered with an error status.
    #[display("the store answered with status {status}; the call will be retried")]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// The answer comes from before the store was restored from an older copy, or only part of it
    /// comes from afterwards.
    #[display("the store was restored from an older copy meanwhile; the call will be retried")]
    Outdated,
    /// The answer could not be decoded.
    #[display("the store's answer could not be decoded: {message}; check the stored value")]
    Malformed {
        /// What could not be decoded.
        message: String,
    },
}

/// What a read of the store returned.
#[derive(Clone, Debug)]
pub struct Read<T> {
    /// Era of the store that all of it belongs to.
    pub era: store_era::Era,
    /// Contents that were read.
    pub value: T,
}

/// Routing table as the store has it.
#[derive(Clone, Debug)]
pub struct StoredTable {
    /// Table made from the configuration.
    pub table: sync::Arc<table::Table>,
    /// Revision at which the store has the configuration.
    pub revision: u64,
}

/// Keys that the operators write.
#[derive(Clone, Debug)]
pub struct OperatorKeys {
    /// Routing table in force. Evacuated domains are known also if it cannot be decoded.
    pub table: Result<StoredTable, StoreError>,
    /// Evacuated failure domains; `None` if they were not read.
    pub evacuated: Option<collections::BTreeSet<id::DomainId>>,
}

/// The parts of the platform's store that a gateway uses. All reads are linearizable.
pub trait GatewayStore: Clone + Send + Sync + 'static {
    /// Reads the routing table in force.
    fn table(&self) -> impl Future<Output = Result<Read<StoredTable>, StoreError>> + Send;

    /// Reads the routing table in force and the evacuated failure domains, in one call.
    fn operator_keys(&self) -> impl Future<Output = Result<Read<OperatorKeys>, StoreError>> + Send;

    /// Records that an era is settled, so that gateways that start later know it.
    fn record_settled(
        &self,
        era: store_era::Era,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Announces a gateway. The announcement expires unless it is repeated.
    fn announce(&self, peer: &roster::Peer) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Removes the announcement of a gateway.
    fn withdraw(
        &self,
        instance: &id::InstanceId,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Reads the announced gateways and the reports about crashes.
    fn gateways(&self) -> impl Future<Output = Result<Read<roster::Listing>, StoreError>> + Send;

    /// Replaces the report of a gateway about crashes. It outlives the gateway for some minutes.
    fn report_crashes(
        &self,
        report: &crash_report::GatewayReport,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Replaces the log of a gateway's process about the versions that it sends streams to. It outlives
    /// the process for some minutes.
    fn log_streams(
        &self,
        process: &str,
        log: &[stream_versions::LoggedStreams],
    ) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Reads the logs of all gateways about the versions that they sent streams to.
    fn logged_streams(
        &self,
    ) -> impl Future<Output = Result<Vec<stream_versions::LoggedStreams>, StoreError>> + Send;

    /// Records the services with a single version.
    fn record_lone_versions(
        &self,
        lone: &stream_versions::LoneVersions,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Reads the services with a single version; none if nothing was recorded.
    fn lone_versions(
        &self,
    ) -> impl Future<Output = Result<stream_versions::LoneVersions, StoreError>> + Send;

    /// Returns the latest era of the store, which changes when it is restored from an older copy.
    fn eras(&self) -> watch::Receiver<store_era::Era>;

    /// Reads the list of upstreams.
    fn fleet(&self)
    -> impl Future<Output = Result<Read<Vec<fleet::ListEntry>>, StoreError>> + Send;
}
