//! Calls between gateways: handovers of pieces, releases of results, relayed reads of the store,
//! and liveness probes.

use std::net;
use std::sync;
use std::time;

use tokio::sync::{mpsc, oneshot, watch};

use crate::batch;
use crate::clock;
use crate::clock::Clock as _;
use crate::dialect;
use crate::drop_guard;
use crate::engine_pace;
use crate::engine_pace::exchange;
use crate::gateway;
use crate::gateway_calls;
use crate::handoff;
use crate::http;
use crate::id;
use crate::memory_budget;
use crate::relay;
use crate::server_connection;
use crate::stated_limits;
use crate::upstream_pool;

/// Path of liveness probes; answered without the event loop.
const ALIVE_PATH: &str = "/handoff/alive";
/// Time within which a gateway has to answer a liveness probe.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(400);
/// Time within which a gateway has to accept a release of results.
const RELEASE_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Time within which a gateway has to answer with its newest reads of the store.
const READS_TIMEOUT: time::Duration = time::Duration::from_millis(400);
/// Largest message between gateways, in bytes.
const MAX_MESSAGE_BYTES: u64 = 4 << 20;
/// Time within which the body of a message has to arrive whole.
const BODY_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Connections that one gateway may have to another; gateways state no limit.
const MAX_CONNECTIONS: u32 = u32::MAX;
/// Media type of messages between gateways.
const MEDIA_TYPE: &str = "application/vnd.msgpack";

/// Message from another gateway to the event loop.
#[derive(Debug)]
pub enum Message {
    /// Pieces to run for another gateway, and where their outcomes go.
    HandoverReceived(
        gateway::HandoverId,
        Box<handoff::Handover>,
        oneshot::Sender<handoff::HandoverResult>,
    ),
    /// The other gateway closed its connection before it had the outcomes.
    HandoverCancelled(gateway::HandoverId),
    /// Results that another gateway does not need any more.
    ReleaseReceived(handoff::Release),
    /// Limits of upstreams that another gateway has received.
    LimitsRelayed(Vec<stated_limits::RelayedLimit>),
}

/// HTTP handler for requests of other gateways.
#[derive(Clone, Debug)]
pub struct PeerHandler {
    /// Channel to the event loop.
    pub messages: mpsc::Sender<Message>,
    /// Number of the next handover.
    pub serial: sync::Arc<sync::atomic::AtomicU64>,
    /// Newest reads of the store; `None` until the first succeeded.
    pub reads: watch::Receiver<Option<relay::Snapshot>>,
    /// Clock by which the age of the reads is computed.
    pub clock: clock::SystemClock,
    /// Paces of engines.
    pub paces: engine_pace::SharedPaces,
    /// Limits that upstreams have stated.
    pub stated: watch::Receiver<stated_limits::StatedLimits>,
    /// Memory for messages.
    pub budget: memory_budget::Budget,
}

fn text_response(status: u16, text: &'static str) -> hyper::Response<http::Body> {
    http::respond(status, "text/plain", text)
}

/// Why a request of another gateway is refused.
#[derive(Clone, Copy, Debug, derive_more::Display, derive_more::Error)]
pub enum PeerRequestError {
    /// The message has another version than this gateway's.
    #[display("unknown version; finish the upgrade of all gateways")]
    Version,
    /// The body is not a message between gateways.
    #[display("the message cannot be read; send MessagePack of this version")]
    Unreadable,
    /// No request between gateways has this path.
    #[display("no such path between gateways; compare their versions")]
    NoPath,
    /// This gateway has not read the store recently enough.
    #[display("this gateway has no recent reads of the store; ask another one")]
    NoReads,
    /// The event loop of this gateway has ended.
    #[display("this gateway is shutting down; make the pieces elsewhere")]
    Stopping,
}

impl PeerRequestError {
    fn status(self) -> u16 {
        match self {
            Self::Version | Self::Unreadable => 400,
            Self::NoPath => 404,
            Self::Stopping | Self::NoReads => 503,
        }
    }
}

/// Decodes a message and checks that it has the expected version.
fn decode<T: serde::de::DeserializeOwned>(
    body: &[u8],
    expected: u16,
    version: impl Fn(&T) -> u16,
) -> Result<T, PeerRequestError> {
    match rmp_serde::from_slice::<T>(body) {
        Ok(message) if version(&message) == expected => Ok(message),
        Ok(_) => Err(PeerRequestError::Version),
        Err(_) => Err(PeerRequestError::Unreadable),
    }
}

impl http::Handler for PeerHandler {
    async fn handle(
        &self,
        request: hyper::Request<hyper::body::Incoming>,
    ) -> hyper::Response<http::Body> {
        let path = request.uri().path().to_owned();
        if path == ALIVE_PATH {
            return text_response(200, "");
        }
        let (head, body) = request.into_parts();
        let connection = head.extensions.get::<server_connection::Handle>();
        let budget = &self.budget;
        let body =
            http::receive_body(body, MAX_MESSAGE_BYTES, BODY_TIMEOUT, budget, connection).await;
        let Ok(body) = body else {
            return text_response(400, "the message did not arrive whole; send it again");
        };
        let result = match path.as_str() {
            handoff::PIECES_PATH => self.take_over(&body).await,
            handoff::RELEASE_PATH => self.release(&body).await,
            relay::READS_PATH => self.serve_reads(&body),
            exchange::PATH => self.exchange_paces(&body).await,
            _ => Err(PeerRequestError::NoPath),
        };
        result.unwrap_or_else(|e| http::respond(e.status(), "text/plain", e.to_string()))
    }
}

impl PeerHandler {
    /// Passes a handover to the event loop and waits for the outcomes of its pieces.
    async fn take_over(
        &self,
        body: &[u8],
    ) -> Result<hyper::Response<http::Body>, PeerRequestError> {
        let message: handoff::Handover =
            decode(body, handoff::VERSION, |m: &handoff::Handover| m.version)?;
        let handover = self.serial.fetch_add(1, sync::atomic::Ordering::Relaxed);
        let handover = gateway::HandoverId(handover);
        let (reply, outcomes) = oneshot::channel();
        let message = Message::HandoverReceived(handover, Box::new(message), reply);
        self.messages.send(message).await.map_err(|_| PeerRequestError::Stopping)?;
        let guard =
            drop_guard::DropGuard::new(self.messages.clone(), Message::HandoverCancelled(handover));
        let outcomes = outcomes.await.map_err(|_| PeerRequestError::Stopping)?;
        guard.disarm();
        let body = rmp_serde::to_vec(&outcomes).expect("outcomes can be encoded");
        Ok(http::respond(200, MEDIA_TYPE, body))
    }

    /// Passes a release to the event loop.
    async fn release(&self, body: &[u8]) -> Result<hyper::Response<http::Body>, PeerRequestError> {
        let message: handoff::Release =
            decode(body, handoff::VERSION, |m: &handoff::Release| m.version)?;
        self.messages
            .send(Message::ReleaseReceived(message))
            .await
            .map_err(|_| PeerRequestError::Stopping)?;
        Ok(text_response(200, ""))
    }

    /// Records what another gateway has measured and received, and answers with what has changed.
    async fn exchange_paces(
        &self,
        body: &[u8],
    ) -> Result<hyper::Response<http::Body>, PeerRequestError> {
        let request: exchange::Request =
            decode(body, exchange::VERSION, |m: &exchange::Request| m.version)?;
        let now = self.clock.now().mono;
        let response = exchange::respond(now, &self.paces, &self.stated.borrow(), &request);
        if !request.limits.is_empty() {
            let relayed = Message::LimitsRelayed(exchange::to_relayed(now, &request.limits));
            self.messages.send(relayed).await.map_err(|_| PeerRequestError::Stopping)?;
        }
        let body = rmp_serde::to_vec(&response).expect("paces can be encoded");
        Ok(http::respond(200, MEDIA_TYPE, body))
    }

    /// Answers with the newest reads of the store.
    fn serve_reads(&self, body: &[u8]) -> Result<hyper::Response<http::Body>, PeerRequestError> {
        let request: relay::ReadsRequest =
            decode(body, relay::VERSION, |m: &relay::ReadsRequest| m.version)?;
        let reads = self.reads.borrow();
        let response =
            reads.as_ref().and_then(|reads| reads.to_response(self.clock.now(), request));
        let body = rmp_serde::to_vec(&response.ok_or(PeerRequestError::NoReads)?);
        Ok(http::respond(200, MEDIA_TYPE, body.expect("reads can be encoded")))
    }
}

/// Asks another gateway for its newest reads of the store; `None` if it has no recent ones or does
/// not answer in time.
pub async fn fetch_reads(
    pool: &upstream_pool::Pool,
    address: net::SocketAddr,
    request: relay::ReadsRequest,
) -> Option<relay::ReadsResponse> {
    let work = ask(pool, address, relay::READS_PATH, &request);
    let body = http::with_timeout(READS_TIMEOUT, work).await.flatten()?;
    decode(&body, relay::VERSION, |m: &relay::ReadsResponse| m.version).ok()
}

/// Sends another gateway what this one has measured of engines; `None` if it does not answer in
/// time.
pub async fn exchange_paces(
    pool: &upstream_pool::Pool,
    address: net::SocketAddr,
    request: &exchange::Request,
) -> Option<exchange::Response> {
    let work = ask(pool, address, exchange::PATH, request);
    let body = http::with_timeout(READS_TIMEOUT, work).await.flatten()?;
    decode(&body, exchange::VERSION, |m: &exchange::Response| m.version).ok()
}

/// Sends a message to another gateway and returns the body of its answer; `None` if it refuses.
async fn ask(
    pool: &upstream_pool::Pool,
    address: net::SocketAddr,
    path: &'static str,
    message: &impl serde::Serialize,
) -> Option<bytes::Bytes> {
    let request = post(address, path, message);
    let (response, connection) = pool.send(address, MAX_CONNECTIONS, request).await.ok()?;
    let is_success = response.status() == 200;
    let body = http::read_body(response.into_body(), MAX_MESSAGE_BYTES, BODY_TIMEOUT).await.ok()?;
    connection.release();
    is_success.then_some(body)
}

fn post(
    address: net::SocketAddr,
    path: &'static str,
    message: &impl serde::Serialize,
) -> hyper::Request<http::Body> {
    let body = rmp_serde::to_vec(message).expect("messages can be encoded");
    hyper::Request::post(path)
        .header(hyper::header::HOST, address.to_string())
        .header(hyper::header::CONTENT_TYPE, MEDIA_TYPE)
        .body(http::Body::full(body))
        .expect("paths and addresses are valid")
}

impl<D: dialect::Dialect> gateway_calls::UpstreamClient<D> {
    /// Hands pieces over to another gateway and reports their outcomes, or `None` if they did not
    /// arrive within `timeout`.
    pub async fn hand_over(
        self,
        group: batch::GroupId,
        address: net::SocketAddr,
        message: handoff::Handover,
        timeout: time::Duration,
    ) {
        let work = self.try_hand_over(address, &message);
        let outcomes = http::with_timeout(timeout, work).await.flatten();
        self.report(gateway::Event::HandoverEnded(group, outcomes)).await;
    }

    async fn try_hand_over(
        &self,
        address: net::SocketAddr,
        message: &handoff::Handover,
    ) -> Option<handoff::HandoverResult> {
        let request = post(address, handoff::PIECES_PATH, message);
        let (response, connection) =
            self.peers.send(address, MAX_CONNECTIONS, request).await.ok()?;
        if response.status() != 200 {
            return None;
        }
        let body = response.into_body();
        let body =
            http::read_body_within(body, MAX_MESSAGE_BYTES, BODY_TIMEOUT, &self.budget).await;
        let outcomes = rmp_serde::from_slice(&body.ok()?).ok()?;
        connection.release();
        Some(outcomes)
    }

    /// Asks another gateway to release results. If that fails, this gateway releases them itself.
    pub async fn release(self, address: net::SocketAddr, message: handoff::Release) {
        let request = post(address, handoff::RELEASE_PATH, &message);
        let sent = self.peers.send(address, MAX_CONNECTIONS, request);
        match http::with_timeout(RELEASE_TIMEOUT, sent).await {
            Some(Ok((response, connection))) if response.status() == 200 => {
                gateway_calls::discard_body(response, connection).await;
            }
            _ => self.report(gateway::Event::ReleaseReceived(message)).await,
        }
    }

    /// Probes whether another gateway is alive and reports the result.
    ///
    /// # Panics
    /// Never: paths and addresses are valid.
    pub async fn probe(self, peer: id::InstanceId, address: net::SocketAddr) {
        let request = hyper::Request::get(ALIVE_PATH)
            .header(hyper::header::HOST, address.to_string())
            .body(http::Body::full(""))
            .expect("paths and addresses are valid");
        let sent = self.peers.send(address, MAX_CONNECTIONS, request);
        let is_alive = match http::with_timeout(PROBE_TIMEOUT, sent).await {
            Some(Ok((response, connection))) => {
                gateway_calls::discard_body(response, connection).await;
                true
            }
            _ => false,
        };
        self.report(gateway::Event::PeerProbed { peer, is_alive }).await;
    }
}
