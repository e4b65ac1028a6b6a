//! Gateways among themselves: pieces handed over, results given up, and signs of life.

use std::net;
use std::sync;
use std::time;

use tokio::sync::{mpsc, oneshot, watch};

use crate::batch;
use crate::clock;
use crate::clock::Clock as _;
use crate::dialect;
use crate::drop_guard;
use crate::gateway;
use crate::gateway_calls;
use crate::handoff;
use crate::http;
use crate::id;
use crate::relay;
use crate::upstream_pool;

/// Path of the sign of life.
const ALIVE_PATH: &str = "/handoff/alive";
/// Time that a gateway has to give a sign of life.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(400);
/// Time that a gateway has to take in results that are given up.
const RELEASE_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Time that a gateway has to pass its newest reads of the store on.
const READS_TIMEOUT: time::Duration = time::Duration::from_millis(400);
/// Largest message, in bytes.
const MAX_MESSAGE_BYTES: u64 = 4 << 20;
/// Time that a message has to arrive whole.
const BODY_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Connections to another gateway, which states no bound.
const CONNECTIONS: u32 = u32::MAX;
/// Media type of the messages.
const MEDIA: &str = "application/vnd.msgpack";

/// What other gateways ask of the loop.
#[derive(Debug)]
pub enum Message {
    /// Pieces to make.
    HandoverReceived(
        gateway::HandoverId,
        Box<handoff::Handover>,
        oneshot::Sender<handoff::HandoverResult>,
    ),
    /// The other gateway does not wait any more.
    HandoverCancelled(gateway::HandoverId),
    /// Results that are given up.
    ReleaseReceived(handoff::Release),
}

/// Answers other gateways.
#[derive(Clone, Debug)]
pub struct PeerHandler {
    /// Way to the loop.
    pub messages: mpsc::Sender<Message>,
    /// Numbers of handovers.
    pub serial: sync::Arc<sync::atomic::AtomicU64>,
    /// The newest reads of the store.
    pub reads: watch::Receiver<Option<relay::Snapshot>>,
    /// Clock that their age is counted by.
    pub clock: clock::SystemClock,
}

fn plain(status: u16, text: &'static str) -> hyper::Response<http::Body> {
    http::respond(status, "text/plain", text)
}

/// Why a message of another gateway is refused.
#[derive(Clone, Copy, Debug, derive_more::Display, derive_more::Error)]
pub enum PeerRequestError {
    /// It has another version.
    #[display("unknown version; finish the upgrade of all gateways")]
    Version,
    /// It is no message between gateways.
    #[display("the message cannot be read; send MessagePack of this version")]
    Unreadable,
    /// There is no such path.
    #[display("no such path between gateways; compare their versions")]
    NoPath,
    /// The reads of this gateway are too old.
    #[display("this gateway has no recent reads of the store; ask another one")]
    NoReads,
    /// This process is about to end.
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

fn decode<T: serde::de::DeserializeOwned>(
    body: &[u8],
    version: impl Fn(&T) -> u16,
) -> Result<T, PeerRequestError> {
    match rmp_serde::from_slice::<T>(body) {
        Ok(message) if version(&message) == handoff::VERSION => Ok(message),
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
            return plain(200, "");
        }
        let Ok(body) = http::read_body(request.into_body(), MAX_MESSAGE_BYTES, BODY_TIMEOUT).await
        else {
            return plain(400, "the message did not arrive whole; send it again");
        };
        let answered = match path.as_str() {
            handoff::PIECES_PATH => self.take_over(&body).await,
            handoff::RELEASE_PATH => self.release(&body).await,
            relay::READS_PATH => self.serve_reads(&body),
            _ => Err(PeerRequestError::NoPath),
        };
        answered.unwrap_or_else(|e| http::respond(e.status(), "text/plain", e.to_string()))
    }
}

impl PeerHandler {
    async fn take_over(
        &self,
        body: &[u8],
    ) -> Result<hyper::Response<http::Body>, PeerRequestError> {
        let message: handoff::Handover = decode(body, |m: &handoff::Handover| m.version)?;
        let ticket = self.serial.fetch_add(1, sync::atomic::Ordering::Relaxed);
        let ticket = gateway::HandoverId(ticket);
        let (reply, outcomes) = oneshot::channel();
        let message = Message::HandoverReceived(ticket, Box::new(message), reply);
        self.messages.send(message).await.map_err(|_| PeerRequestError::Stopping)?;
        let guard =
            drop_guard::DropGuard::new(self.messages.clone(), Message::HandoverCancelled(ticket));
        let outcomes = outcomes.await.map_err(|_| PeerRequestError::Stopping)?;
        guard.disarm();
        let body = rmp_serde::to_vec(&outcomes).expect("outcomes have a plain form");
        Ok(http::respond(200, MEDIA, body))
    }

    async fn release(&self, body: &[u8]) -> Result<hyper::Response<http::Body>, PeerRequestError> {
        let message: handoff::Release = decode(body, |m: &handoff::Release| m.version)?;
        self.messages
            .send(Message::ReleaseReceived(message))
            .await
            .map_err(|_| PeerRequestError::Stopping)?;
        Ok(plain(200, ""))
    }

    fn serve_reads(&self, body: &[u8]) -> Result<hyper::Response<http::Body>, PeerRequestError> {
        let ask: relay::ReadsRequest = decode(body, |ask: &relay::ReadsRequest| ask.version)?;
        let reads = self.reads.borrow();
        let told = reads.as_ref().and_then(|reads| reads.to_response(self.clock.now(), ask));
        let body = rmp_serde::to_vec(&told.ok_or(PeerRequestError::NoReads)?);
        Ok(http::respond(200, MEDIA, body.expect("reads have a plain form")))
    }
}

/// Asks another gateway for its newest reads of the store.
pub async fn fetch_reads(
    pool: &upstream_pool::Pool,
    address: net::SocketAddr,
    ask: relay::ReadsRequest,
) -> Option<relay::ReadsResponse> {
    let work = async {
        let request = post(address, relay::READS_PATH, &ask);
        let (response, lease) = pool.send(address, CONNECTIONS, request).await.ok()?;
        let is_told = response.status() == 200;
        let body = http::read_body(response.into_body(), MAX_MESSAGE_BYTES, BODY_TIMEOUT).await;
        let body = body.ok()?;
        lease.release();
        is_told.then(|| decode(&body, |told: &relay::ReadsResponse| told.version).ok()).flatten()
    };
    http::with_timeout(READS_TIMEOUT, work).await.flatten()
}

fn post(
    address: net::SocketAddr,
    path: &'static str,
    message: &impl serde::Serialize,
) -> hyper::Request<http::Body> {
    let body = rmp_serde::to_vec(message).expect("messages have a plain form");
    hyper::Request::post(path)
        .header(hyper::header::HOST, address.to_string())
        .header(hyper::header::CONTENT_TYPE, MEDIA)
        .body(http::Body::full(body))
        .expect("paths and addresses are valid")
}

impl<D: dialect::Dialect> gateway_calls::UpstreamClient<D> {
    /// Hands pieces over to another gateway and waits for their outcomes.
    pub async fn hand_over(
        self,
        group: batch::GroupId,
        address: net::SocketAddr,
        message: handoff::Handover,
        patience: time::Duration,
    ) {
        let work = self.try_hand_over(address, &message);
        let outcomes = http::with_timeout(patience, work).await.flatten();
        self.report(gateway::Event::HandoverEnded(group, outcomes)).await;
    }

    async fn try_hand_over(
        &self,
        address: net::SocketAddr,
        message: &handoff::Handover,
    ) -> Option<handoff::HandoverResult> {
        let request = post(address, handoff::PIECES_PATH, message);
        let (response, lease) = self.peers.send(address, CONNECTIONS, request).await.ok()?;
        if response.status() != 200 {
            return None;
        }
        let body = http::read_body(response.into_body(), MAX_MESSAGE_BYTES, BODY_TIMEOUT).await;
        let outcomes = rmp_serde::from_slice(&body.ok()?).ok()?;
        lease.release();
        Some(outcomes)
    }

    /// Gives results up through another gateway, or directly if that fails.
    pub async fn release(self, address: net::SocketAddr, message: handoff::Release) {
        let request = post(address, handoff::RELEASE_PATH, &message);
        let sent = self.peers.send(address, CONNECTIONS, request);
        match http::with_timeout(RELEASE_TIMEOUT, sent).await {
            Some(Ok((response, lease))) if response.status() == 200 => {
                gateway_calls::discard_body(response, lease).await;
            }
            _ => self.report(gateway::Event::ReleaseReceived(message)).await,
        }
    }

    /// Asks another gateway whether it is alive.
    ///
    /// # Panics
    /// Never: paths and addresses are valid.
    pub async fn probe(self, peer: id::InstanceId, address: net::SocketAddr) {
        let request = hyper::Request::get(ALIVE_PATH)
            .header(hyper::header::HOST, address.to_string())
            .body(http::Body::full(""))
            .expect("paths and addresses are valid");
        let sent = self.peers.send(address, CONNECTIONS, request);
        let is_alive = match http::with_timeout(PROBE_TIMEOUT, sent).await {
            Some(Ok((response, lease))) => {
                gateway_calls::discard_body(response, lease).await;
                true
            }
            _ => false,
        };
        self.report(gateway::Event::PeerProbed { peer, is_alive }).await;
    }
}
