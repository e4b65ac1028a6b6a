//! Client of an entry for its attempts in flight: their connections to sidecars, and the parts of
//! their answers that have arrived.

use std::collections;
use std::net;
use std::time;

use tokio::sync::mpsc;

use crate::http;
use crate::id;
use crate::peer;
use crate::routing;
use crate::wire;

/// Memory for the answers that are being received, in bytes, unless the configuration allows larger
/// answers.
const MAX_BUFFERED_BYTES: u64 = 32 << 20;
/// Time within which a sidecar has to accept the notification that it is listed as leaving.
const LEAVE_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Message from a connection task to the shell of the entry.
#[derive(Debug)]
pub enum Message {
    /// A frame of an attempt arrived.
    Frame(id::AttemptId, wire::Frame),
    /// The connection of an attempt broke before its last frame.
    ConnectionLost {
        /// Attempt whose connection broke.
        attempt: id::AttemptId,
        /// Whether any byte may have reached the sidecar.
        sent: bool,
    },
}

/// Destination of an attempt, which labels the metrics of its bytes.
#[derive(Clone, Debug)]
pub struct Route {
    /// Address of the sidecar.
    pub address: net::SocketAddr,
    /// Distance of the sidecar.
    pub tier: routing::Tier,
    /// Service of the upstream.
    pub service: String,
}

impl Route {
    /// Counts bytes sent to the sidecar (direction `up`) or received from it (`down`).
    fn count_bytes(&self, direction: &'static str, bytes: u64) {
        let labels = [
            ("service", self.service.clone()),
            ("tier", self.tier.to_string()),
            ("direction", direction.to_owned()),
        ];
        metrics::counter!("stage_bytes", &labels).increment(bytes);
    }
}

#[derive(Debug)]
struct PendingAttempt {
    task: tokio::task::AbortHandle,
    route: Route,
    head: Option<wire::Head>,
    /// Bytes of the answer that were buffered; those relayed to the caller are not among them.
    answer: Vec<u8>,
}

/// All attempts of an entry in flight.
#[derive(Debug)]
pub struct AttemptClient {
    client: http::Client,
    messages: mpsc::Sender<Message>,
    attempts: collections::BTreeMap<id::AttemptId, PendingAttempt>,
    /// Bytes of all buffered answers.
    buffered: u64,
}

impl AttemptClient {
    /// Creates a client whose connections report to `messages`.
    pub fn new(messages: mpsc::Sender<Message>) -> Self {
        let attempts = collections::BTreeMap::new();
        Self { client: http::peer_client(), messages, attempts, buffered: 0 }
    }

    /// Sends an attempt with its body; returns the size of the message in bytes.
    pub fn send(&mut self, open: &wire::OpenAttempt, body: &[u8], route: Route) -> u64 {
        let message = peer::encode_with_body(open, body);
        let bytes = message.len() as u64;
        route.count_bytes("up", bytes);
        let task = self.spawn_request(open.attempt, route.address, wire::ATTEMPT_PATH, message);
        let pending = PendingAttempt { task, route, head: None, answer: Vec::new() };
        self.attempts.insert(open.attempt, pending);
        bytes
    }

    /// Asks a sidecar for the outcome of an attempt in flight and for the rest of its answer. The
    /// new connection replaces the attempt's current one.
    pub fn attach(&mut self, address: net::SocketAddr, attach: &wire::AttachAttempt) {
        let attempt = attach.attempt;
        if !self.attempts.contains_key(&attempt) {
            return;
        }
        let task = self.spawn_request(attempt, address, wire::ATTACH_PATH, wire::encode(attach));
        if let Some(pending) = self.attempts.get_mut(&attempt) {
            pending.task.abort();
            pending.task = task;
        }
    }

    /// Drops an attempt's connection and cancels the attempt at its sidecar.
    pub fn cancel(&mut self, address: net::SocketAddr, attempt: id::AttemptId) {
        self.forget(attempt);
        let client = self.client.clone();
        tokio::spawn(async move {
            if let Err(e) = peer::cancel(&client, address, attempt).await {
                log::debug!("event=cancel_failed attempt={attempt} error={:?}", e.to_string());
            }
        });
    }

    /// Drops an attempt's connection and the part of its answer that has arrived.
    pub fn forget(&mut self, attempt: id::AttemptId) {
        if let Some(pending) = self.remove(attempt) {
            pending.task.abort();
        }
    }

    /// Stores the status and media type of an attempt's answer.
    pub fn set_head(&mut self, attempt: id::AttemptId, head: wire::Head) {
        if let Some(pending) = self.attempts.get_mut(&attempt) {
            pending.head = Some(head);
        }
    }

    /// Returns the status and media type of an attempt's answer; `None` until they have arrived.
    pub fn head(&self, attempt: id::AttemptId) -> Option<wire::Head> {
        self.attempts.get(&attempt)?.head.clone()
    }

    /// Counts received bytes of an attempt's answer in the metrics.
    pub fn count_received(&self, attempt: id::AttemptId, bytes: u64) {
        if let Some(pending) = self.attempts.get(&attempt) {
            pending.route.count_bytes("down", bytes);
        }
    }

    /// Appends bytes to the buffered answer of an attempt. If the answers exceed the memory for them,
    /// returns the attempt with the largest one, which has to be ended. `largest` is the size of the
    /// largest answer that the configuration allows.
    pub fn append_answer(
        &mut self,
        attempt: id::AttemptId,
        data: &[u8],
        largest: u64,
    ) -> Option<id::AttemptId> {
        let pending = self.attempts.get_mut(&attempt)?;
        pending.answer.extend_from_slice(data);
        self.buffered += data.len() as u64;
        if self.buffered <= MAX_BUFFERED_BYTES.max(2 * largest) {
            return None;
        }
        let by_size = self.attempts.iter().max_by_key(|(_, pending)| pending.answer.len());
        by_size.map(|(attempt, _)| *attempt)
    }

    /// Removes an attempt from those in flight.
    fn remove(&mut self, attempt: id::AttemptId) -> Option<PendingAttempt> {
        let pending = self.attempts.remove(&attempt)?;
        self.buffered -= pending.answer.len() as u64;
        Some(pending)
    }

    /// Removes an attempt and returns its buffered answer; `None` if no head has arrived.
    pub fn take_answer(&mut self, attempt: id::AttemptId) -> Option<(wire::Head, bytes::Bytes)> {
        let pending = self.remove(attempt)?;
        Some((pending.head?, pending.answer.into()))
    }

    /// Notifies a sidecar that the instance list shows it as leaving.
    pub fn notify_leaving(&self, address: net::SocketAddr) {
        let client = self.client.clone();
        tokio::spawn(async move {
            let request = http::post(address, wire::LEAVE_PATH, "");
            // Failures are ignored: a sidecar that cannot be reached gets no attempts either.
            let _ = http::with_timeout(LEAVE_TIMEOUT, client.request(request)).await;
        });
    }

    /// Starts a task that sends a request to a sidecar and forwards the frames of its answer.
    fn spawn_request(
        &self,
        attempt: id::AttemptId,
        address: net::SocketAddr,
        path: &'static str,
        body: bytes::Bytes,
    ) -> tokio::task::AbortHandle {
        let (client, messages) = (self.client.clone(), self.messages.clone());
        let task = async move {
            let sent = match forward_frames(&client, address, path, body, attempt, &messages).await
            {
                Ok(()) => return,
                Err(peer::PeerError::NotSent { .. }) => false,
                Err(_) => true,
            };
            // The receiver is dropped only when the process ends.
            let _ = messages.send(Message::ConnectionLost { attempt, sent }).await;
        };
        tokio::spawn(task).abort_handle()
    }
}

/// Sends a request and forwards the frames of its answer until the last one.
async fn forward_frames(
    client: &http::Client,
    address: net::SocketAddr,
    path: &str,
    body: bytes::Bytes,
    attempt: id::AttemptId,
    messages: &mpsc::Sender<Message>,
) -> Result<(), peer::PeerError> {
    let mut frames = peer::request_frames(client, address, path, body).await?;
    loop {
        let frame = frames.next().await?;
        let is_last = matches!(frame, wire::Frame::End(_) | wire::Frame::Refused(_));
        if messages.send(Message::Frame(attempt, frame)).await.is_err() || is_last {
            return Ok(());
        }
    }
}
