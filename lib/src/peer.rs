//! Client side of the protocol between the system's own processes.

use std::error::Error as _;
use std::net;
use std::time;

use http_body_util::BodyExt as _;
use hyper_util::client::legacy;

use crate::http;
use crate::id;
use crate::revision;
use crate::sidecar;
use crate::wire;

/// Time within which a peer has to answer a request that has a short answer.
const SHORT_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Largest configuration that a peer may send, with its frame, in bytes.
const MAX_CONFIG_BYTES: u64 = 2 << 20;
/// Largest frame of an answer, in bytes.
pub const MAX_FRAME_BYTES: usize = 8 << 20;

/// A request to another process that failed.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum PeerError {
    /// The connection could not be opened, or the peer shut it down without processing the request.
    #[display("{address} took no request; the process may have stopped")]
    NotSent {
        /// Address of the process.
        address: net::SocketAddr,
    },
    /// The connection broke or the answer did not arrive in time; the peer may have processed the
    /// request.
    #[display("the connection to {address} broke; whether the request was processed is not known")]
    Broken {
        /// Address of the process.
        address: net::SocketAddr,
    },
    /// The answer could not be decoded.
    #[display("{source}")]
    Wire {
        /// Error of the decoder.
        source: wire::WireError,
    },
}

/// Answer of a sidecar, read frame by frame.
#[derive(Debug)]
pub struct Frames {
    address: net::SocketAddr,
    body: hyper::body::Incoming,
    decoder: wire::Decoder,
}

impl Frames {
    /// Waits for the next frame.
    ///
    /// # Errors
    /// Fails if the stream ends or a frame cannot be decoded. The last frame of an answer is
    /// [`wire::Frame::End`] or [`wire::Frame::Refused`]; a stream that ends before it has broken
    /// off.
    pub async fn next(&mut self) -> Result<wire::Frame, PeerError> {
        loop {
            let frame = self.decoder.read().map_err(|source| PeerError::Wire { source })?;
            if let Some(frame) = frame {
                return Ok(frame);
            }
            match self.body.frame().await {
                Some(Ok(part)) => {
                    if let Ok(data) = part.into_data() {
                        self.decoder.push(&data);
                    }
                }
                Some(Err(_)) | None => {
                    return Err(PeerError::Broken { address: self.address });
                }
            }
        }
    }
}

/// Sends a message and returns the frames of the answer.
///
/// # Errors
/// Fails if the connection cannot be opened, or breaks before the head of the answer. The error
/// tells whether the peer may have processed the message.
pub async fn request_frames(
    client: &http::Client,
    address: net::SocketAddr,
    path: &str,
    body: bytes::Bytes,
) -> Result<Frames, PeerError> {
    let sent = client.request(http::post(address, path, body)).await;
    let response = sent.map_err(|e| {
        if is_unprocessed(&e) {
            PeerError::NotSent { address }
        } else {
            PeerError::Broken { address }
        }
    })?;
    let decoder = wire::Decoder::new(MAX_FRAME_BYTES);
    Ok(Frames { address, body: response.into_body(), decoder })
}

/// Whether a failed request was certainly not processed by the peer.
///
/// A peer that shuts an HTTP/2 connection down names the last stream that it processes; the others
/// end with this error (RFC 9113, section 6.8).
fn is_unprocessed(error: &legacy::Error) -> bool {
    if error.is_connect() {
        return true;
    }
    let mut cause = error.source();
    while let Some(current) = cause {
        if let Some(http) = current.downcast_ref::<hyper::Error>()
            && http.is_canceled()
        {
            // The request was still queued in the client.
            return true;
        }
        if let Some(stream) = current.downcast_ref::<h2::Error>() {
            let is_shutdown = stream.is_go_away() && stream.reason() == Some(h2::Reason::NO_ERROR);
            let is_refused = stream.reason() == Some(h2::Reason::REFUSED_STREAM);
            return stream.is_remote() && (is_shutdown || is_refused);
        }
        cause = current.source();
    }
    false
}

/// Encodes a message as a frame and appends a raw body.
pub fn encode_with_body<T: serde::Serialize>(message: &T, body: &[u8]) -> bytes::Bytes {
    let head = wire::encode(message);
    let mut joined = Vec::with_capacity(head.len() + body.len());
    joined.extend_from_slice(&head);
    joined.extend_from_slice(body);
    joined.into()
}

/// Sends a message and returns the status and the whole body of a short answer.
async fn request_short(
    client: &http::Client,
    address: net::SocketAddr,
    path: &str,
    body: bytes::Bytes,
    limit: u64,
) -> Result<(u16, bytes::Bytes), PeerError> {
    let broken = || PeerError::Broken { address };
    let response =
        http::with_timeout(SHORT_TIMEOUT, client.request(http::post(address, path, body)))
            .await
            .and_then(Result::ok)
            .ok_or_else(broken)?;
    let status = response.status().as_u16();
    let body = http::read_body(response.into_body(), limit, SHORT_TIMEOUT).await;
    Ok((status, body.map_err(|_| broken())?))
}

/// Asks a process for its configuration if that has a higher revision than `known`; `None` if it
/// has not.
///
/// # Errors
/// Fails if the process does not answer in time or its answer cannot be decoded.
pub async fn fetch_config(
    client: &http::Client,
    address: net::SocketAddr,
    known: id::Revision,
) -> Result<Option<revision::Update>, PeerError> {
    let body = wire::encode(&known);
    let (status, body) =
        request_short(client, address, wire::CONFIG_PATH, body, MAX_CONFIG_BYTES).await?;
    metrics::counter!("peer_config_bytes").increment(body.len() as u64);
    if status == 204 {
        return Ok(None);
    }
    let mut decoder = wire::Decoder::new(MAX_CONFIG_BYTES as usize);
    decoder.push(&body);
    decoder.read().map_err(|source| PeerError::Wire { source })
}

/// Asks a sidecar to cancel an attempt.
///
/// # Errors
/// Fails if the sidecar does not answer.
pub async fn cancel(
    client: &http::Client,
    address: net::SocketAddr,
    attempt: id::AttemptId,
) -> Result<(), PeerError> {
    let body = wire::encode(&wire::CancelAttempt { attempt });
    request_short(client, address, wire::CANCEL_PATH, body, 1024).await.map(|_| ())
}

/// A whole answer that is sent along with a handover.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct RetainedAnswer {
    /// Attempt that the answer belongs to.
    pub attempt: id::AttemptId,
    /// Status and media type of the answer.
    pub head: wire::Head,
    /// Body as one chunk, from the first offset of the attempt on.
    pub body: wire::Chunk,
}

/// Body of a handover of ranges between sidecars.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct HandoverMessage {
    /// The ranges and their ledgers.
    pub handover: sidecar::Handover,
    /// Retained answers of the ranges' attempts.
    pub answers: Vec<RetainedAnswer>,
}

/// Offers ranges to another sidecar; returns whether it accepted them.
///
/// # Errors
/// Fails if it is not known whether the sidecar accepted them, because its answer did not arrive.
pub async fn hand_over(
    client: &http::Client,
    address: net::SocketAddr,
    message: &HandoverMessage,
) -> Result<bool, PeerError> {
    let (status, _) =
        request_short(client, address, wire::HANDOVER_PATH, wire::encode(message), 1024).await?;
    Ok(status == 200)
}
