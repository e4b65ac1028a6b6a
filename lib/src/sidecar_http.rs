//! HTTP handler of a sidecar for entries, other sidecars and operators.

use std::sync;
use std::sync::atomic;
use std::time;

use tokio::sync::{mpsc, oneshot, watch};

use crate::answer;
use crate::attempt;
use crate::claim;
use crate::config_sync;
use crate::http;
use crate::id;
use crate::memory_budget;
use crate::memory_budget::ledger;
use crate::order;
use crate::peer;
use crate::probe;
use crate::registry;
use crate::revision;
use crate::server_connection;
use crate::wire;

/// Frames that are buffered for a slow entry before the forwarding task waits.
const BODY_BUFFER: usize = 64;
/// Largest message of another process, in bytes.
const MAX_MESSAGE_BYTES: u64 = 64 << 20;
/// Largest part of the memory budget that one message may take.
const MESSAGE_DIVISOR: u64 = 4;
/// Time within which a message of another process has to arrive whole.
const MESSAGE_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Message to the event loop.
#[derive(Debug)]
pub enum Message {
    /// An attempt arrived with its body.
    Open {
        /// Connection that waits for the answer.
        conn: attempt::ConnId,
        /// The attempt and its deadline, key and sender.
        open: wire::OpenAttempt,
        /// Body for the upstream.
        body: bytes::Bytes,
        /// Where frames go.
        frames: answer::FrameSender,
    },
    /// An entry asks for the state of an attempt and the rest of its answer.
    Attach {
        /// Connection that waits for the answer.
        conn: attempt::ConnId,
        /// The attempt, and the first byte of the answer that is missing.
        attach: wire::AttachAttempt,
        /// Where frames go.
        frames: answer::FrameSender,
    },
    /// A connection broke, or its answer was sent whole.
    Closed(attempt::ConnId),
    /// An entry cancelled an attempt.
    Cancel(id::AttemptId),
    /// An entry reports that the instance list shows this sidecar as leaving.
    Leave,
    /// Another sidecar offers ranges.
    Offered {
        /// The ranges with their ledgers and answers.
        message: peer::HandoverMessage,
        /// Receives whether the ranges were accepted.
        reply: oneshot::Sender<bool>,
    },
    /// A call of the ownership protocol ended.
    Ownership(claim::Reply),
    /// A call about an order ended.
    Order(order::Reply),
}

/// HTTP handler of a sidecar; cloned for each connection.
#[derive(Clone, Debug)]
pub struct SidecarHandler {
    /// Channel to the event loop.
    pub messages: mpsc::Sender<Message>,
    /// Configuration in force.
    pub active_config: config_sync::ActiveSender,
    /// State of the process, for health probes.
    pub status: watch::Receiver<registry::Status>,
    /// Number of the next connection.
    pub conns: sync::Arc<atomic::AtomicU64>,
    /// Memory for messages.
    pub budget: memory_budget::Budget,
}

impl http::Handler for SidecarHandler {
    async fn handle(
        &self,
        request: hyper::Request<hyper::body::Incoming>,
    ) -> hyper::Response<http::Body> {
        let path = request.uri().path().to_owned();
        if let Some(response) = probe::respond(&path, &self.status.borrow()) {
            return response;
        }
        let (head, body) = request.into_parts();
        let connection = head.extensions.get::<server_connection::Handle>();
        let limit = MAX_MESSAGE_BYTES.min(self.budget.limits().bytes as u64 / MESSAGE_DIVISOR);
        let body = http::receive_body(body, limit, MESSAGE_TIMEOUT, &self.budget, connection).await;
        let Ok(body) = body else {
            return http::respond(400, "text/plain", "incomplete message");
        };
        match self.handle_message(&path, &body).await {
            Ok(response) => response,
            Err(e) => http::respond(400, "text/plain", e.to_string()),
        }
    }
}

impl SidecarHandler {
    async fn handle_message(
        &self,
        path: &str,
        body: &[u8],
    ) -> Result<hyper::Response<http::Body>, wire::WireError> {
        let mut decoder = wire::Decoder::new(body.len());
        decoder.push(body);
        match path {
            wire::ATTEMPT_PATH => {
                let open = read_message(&mut decoder)?;
                let body = decoder.rest();
                let Ok(body) = self.budget.hold(body, ledger::Purpose::Kept) else {
                    return Ok(http::respond(503, "text/plain", "no memory for the body"));
                };
                let make = |conn, frames| Message::Open { conn, open, body, frames };
                Ok(self.stream(make).await)
            }
            wire::ATTACH_PATH => {
                let attach = read_message(&mut decoder)?;
                let make = |conn, frames| Message::Attach { conn, attach, frames };
                Ok(self.stream(make).await)
            }
            wire::CANCEL_PATH => {
                let cancel: wire::CancelAttempt = read_message(&mut decoder)?;
                self.send(Message::Cancel(cancel.attempt)).await;
                Ok(http::respond(200, "text/plain", ""))
            }
            wire::LEAVE_PATH => {
                self.send(Message::Leave).await;
                Ok(http::respond(200, "text/plain", ""))
            }
            wire::HANDOVER_PATH => {
                let message = read_message(&mut decoder)?;
                let (reply, answer) = oneshot::channel();
                self.send(Message::Offered { message, reply }).await;
                let code = if answer.await.unwrap_or(false) { 200 } else { 409 };
                Ok(http::respond(code, "text/plain", ""))
            }
            wire::CONFIG_PATH => {
                let known = read_message(&mut decoder)?;
                Ok(config_response(&self.active_config.borrow(), known))
            }
            _ => Ok(http::respond(404, "text/plain", "no such path")),
        }
    }

    async fn send(&self, message: Message) {
        // Fails only when the process stops.
        let _ = self.messages.send(message).await;
    }

    /// Sends the event loop a message that frames answer, and streams the frames to the entry.
    async fn stream(
        &self,
        make: impl FnOnce(attempt::ConnId, answer::FrameSender) -> Message,
    ) -> hyper::Response<http::Body> {
        let conn = attempt::ConnId(self.conns.fetch_add(1, atomic::Ordering::Relaxed));
        let (frames, outbox) = mpsc::unbounded_channel();
        let (sender, body) = http::Body::stream(BODY_BUFFER);
        self.send(make(conn, frames)).await;
        let messages = self.messages.clone();
        tokio::spawn(async move {
            forward_frames(outbox, sender).await;
            let _ = messages.send(Message::Closed(conn)).await;
        });
        hyper::Response::new(body)
    }
}

/// Sends frames until the last one, or until the entry disconnects.
async fn forward_frames(
    mut outbox: mpsc::UnboundedReceiver<wire::Frame>,
    mut sender: http::BodySender,
) {
    loop {
        let frame = tokio::select! {
            frame = outbox.recv() => frame,
            () = sender.closed() => return,
        };
        let Some(frame) = frame else {
            sender.abort();
            return;
        };
        let is_last = matches!(frame, wire::Frame::End(_) | wire::Frame::Refused(_));
        if !sender.send(wire::encode(&frame)).await || is_last {
            return;
        }
    }
}

/// Reads a message that has to be whole.
fn read_message<T: serde::de::DeserializeOwned>(
    decoder: &mut wire::Decoder,
) -> Result<T, wire::WireError> {
    decoder.read()?.ok_or(wire::WireError::Truncated)
}

/// Answers a peer that has the configuration of revision `known`: with a newer one, or with status
/// 204 if there is none.
pub fn config_response(
    active_config: &revision::ActiveConfig,
    known: id::Revision,
) -> hyper::Response<http::Body> {
    match revision::update_for(active_config, known) {
        None => http::respond(204, "application/msgpack", ""),
        Some(passed) => http::respond(200, "application/msgpack", wire::encode(&passed)),
    }
}
