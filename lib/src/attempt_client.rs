//! Attempts of an entry that are under way: their connections, and what has arrived of them.

use std::collections;
use std::net;
use std::time;

use tokio::sync::mpsc;

use crate::http;
use crate::id;
use crate::peer;
use crate::routing;
use crate::wire;

/// Time that a sidecar has to take the word that it is leaving.
const LEAVE_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// What a connection to a sidecar brings.
#[derive(Debug)]
pub enum Message {
    /// A frame arrived.
    Frame(id::AttemptId, wire::Frame),
    /// The connection broke.
    ConnectionLost {
        /// The attempt.
        attempt: id::AttemptId,
        /// Whether any byte may have reached the sidecar.
        sent: bool,
    },
}

/// Where an attempt goes, for the count of bytes.
#[derive(Clone, Debug)]
pub struct Route {
    /// Address of the sidecar.
    pub address: net::SocketAddr,
    /// How far the sidecar is.
    pub tier: routing::Tier,
    /// Service of the upstream.
    pub service: String,
}

impl Route {
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
    answer: Vec<u8>,
}

/// All attempts under way.
#[derive(Debug)]
pub struct AttemptClient {
    client: http::Client,
    messages: mpsc::Sender<Message>,
    open: collections::BTreeMap<id::AttemptId, PendingAttempt>,
}

impl AttemptClient {
    /// Makes an empty set whose connections report to `messages`.
    pub fn new(messages: mpsc::Sender<Message>) -> Self {
        Self { client: http::peer_client(), messages, open: collections::BTreeMap::new() }
    }

    /// Sends an attempt with its body; returns the bytes sent.
    pub fn send(&mut self, open: &wire::OpenAttempt, body: &[u8], route: Route) -> u64 {
        let message = peer::encode_with_body(open, body);
        let bytes = message.len() as u64;
        route.count_bytes("up", bytes);
        let task = self.spawn_request(open.attempt, route.address, wire::ATTEMPT_PATH, message);
        let flight = PendingAttempt { task, route, head: None, answer: Vec::new() };
        self.open.insert(open.attempt, flight);
        bytes
    }

    /// Asks a sidecar what became of an attempt and reads its answer on.
    pub fn attach(&mut self, address: net::SocketAddr, attach: &wire::AttachAttempt) {
        let attempt = attach.attempt;
        if !self.open.contains_key(&attempt) {
            return;
        }
        let task = self.spawn_request(attempt, address, wire::ATTACH_PATH, wire::encode(attach));
        if let Some(flight) = self.open.get_mut(&attempt) {
            flight.task.abort();
            flight.task = task;
        }
    }

    /// Drops an attempt's connection and tells the sidecar that nobody waits for it.
    pub fn cancel(&mut self, address: net::SocketAddr, attempt: id::AttemptId) {
        self.forget(attempt);
        let client = self.client.clone();
        tokio::spawn(async move {
            if let Err(e) = peer::cancel(&client, address, attempt).await {
                log::debug!("event=cancel_failed attempt={attempt} error={:?}", e.to_string());
            }
        });
    }

    /// Drops an attempt's connection and what arrived of it.
    pub fn forget(&mut self, attempt: id::AttemptId) {
        if let Some(flight) = self.open.remove(&attempt) {
            flight.task.abort();
        }
    }

    /// Takes in the beginning of an answer.
    pub fn set_head(&mut self, attempt: id::AttemptId, head: wire::Head) {
        if let Some(flight) = self.open.get_mut(&attempt) {
            flight.head = Some(head);
        }
    }

    /// Returns the beginning of an attempt's answer.
    pub fn head(&self, attempt: id::AttemptId) -> Option<wire::Head> {
        self.open.get(&attempt)?.head.clone()
    }

    /// Counts bytes that arrived.
    pub fn count_received(&self, attempt: id::AttemptId, bytes: u64) {
        if let Some(flight) = self.open.get(&attempt) {
            flight.route.count_bytes("down", bytes);
        }
    }

    /// Keeps bytes of an answer.
    pub fn append_body(&mut self, attempt: id::AttemptId, data: &[u8]) {
        if let Some(flight) = self.open.get_mut(&attempt) {
            flight.answer.extend_from_slice(data);
        }
    }

    /// Takes out what was kept of an answer.
    pub fn take_answer(&mut self, attempt: id::AttemptId) -> Option<(wire::Head, bytes::Bytes)> {
        let flight = self.open.remove(&attempt)?;
        Some((flight.head?, flight.answer.into()))
    }

    /// Tells a sidecar that the instance list shows it as leaving.
    pub fn notify_leaving(&self, address: net::SocketAddr) {
        let client = self.client.clone();
        tokio::spawn(async move {
            let request = http::post(address, wire::LEAVE_PATH, "");
            // A sidecar that does not answer gets no work through its broken connection either.
            let _ = http::with_timeout(LEAVE_TIMEOUT, client.request(request)).await;
        });
    }

    /// Starts a task that asks a sidecar and passes its frames on.
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
            // Fails only when the process ends.
            let _ = messages.send(Message::ConnectionLost { attempt, sent }).await;
        };
        tokio::spawn(task).abort_handle()
    }
}

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
