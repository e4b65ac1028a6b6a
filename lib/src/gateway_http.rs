//! HTTP handlers of a gateway for callers and for health probes.

use std::sync;
use std::time;

use hyper::header;
use tokio::sync::{mpsc, oneshot, watch};

use crate::cancellation;
use crate::dialect;
use crate::gateway;
use crate::http;
use crate::id;
use crate::memory_budget;
use crate::refusal;
use crate::server_connection;
use crate::table;
use crate::telemetry;

/// Time within which a caller has to send its whole body.
const BODY_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Chunks of a stream that are buffered for a slow caller before reading from the upstream stops, and their
/// largest size in bytes.
const STREAM_BUFFER: usize = 2;
const STREAM_CHUNK: usize = 16 << 10;

/// A caller's request, as sent to the event loop.
#[derive(Debug)]
pub struct IncomingRequest {
    /// Identifier of the request within this process.
    pub request: id::RequestId,
    /// The parts of the request that the reducer decides by.
    pub arrival: Box<gateway::Arrival>,
    /// Method, path and headers that the caller sent.
    pub head: sync::Arc<hyper::http::request::Parts>,
    /// Body that the caller sent.
    pub body: bytes::Bytes,
    /// Receives the response; a streamed body follows through the response.
    pub reply: oneshot::Sender<hyper::Response<http::Body>>,
    /// Whether the caller has disconnected.
    pub signal: cancellation::Signal,
}

/// HTTP handler for callers; cloned for each connection.
#[derive(Clone, Debug)]
pub struct CallerHandler<D> {
    /// Headers and bodies of the platform's protocol.
    pub dialect: D,
    /// Channel to the event loop, for requests that have arrived with their whole bodies.
    pub arrivals: mpsc::Sender<Box<IncomingRequest>>,
    /// Channel to the event loop, for requests whose callers have disconnected.
    pub cancellations: mpsc::UnboundedSender<id::RequestId>,
    /// Number of the next request.
    pub serial: sync::Arc<sync::atomic::AtomicU64>,
    /// Limits on what callers send, from the routing table in force.
    pub limits: watch::Receiver<table::Limits>,
    /// Memory for bodies.
    pub budget: memory_budget::Budget,
    /// Whether the process is stopping; responses then ask callers to close their connections.
    pub stopping: watch::Receiver<bool>,
}

impl<D: dialect::Dialect> http::Handler for CallerHandler<D> {
    async fn handle(
        &self,
        request: hyper::Request<hyper::body::Incoming>,
    ) -> hyper::Response<http::Body> {
        let mut response = match self.serve(request).await {
            Ok(response) => response,
            Err(refusal) => refusal_response(&self.dialect, &refusal, None),
        };
        if *self.stopping.borrow() {
            let close = header::HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }
}

fn not_run(kind: refusal::Kind, message: impl Into<String>) -> refusal::Refusal {
    refusal::Refusal::new(kind, refusal::Ran::No, message)
}

impl<D: dialect::Dialect> CallerHandler<D> {
    async fn serve(
        &self,
        request: hyper::Request<hyper::body::Incoming>,
    ) -> Result<hyper::Response<http::Body>, refusal::Refusal> {
        let started = time::Instant::now();
        let (head, body) = request.into_parts();
        let mut arrival =
            self.dialect.read_request(&head).map_err(|m| not_run(refusal::Kind::BadRequest, m))?;
        let limit = self.limits.borrow().max_body.0;
        let connection = head.extensions.get::<server_connection::Handle>();
        let body = http::receive_body(body, limit, BODY_TIMEOUT, &self.budget, connection);
        let body = body.await.map_err(|e| {
            let kind = match e {
                http::ReadError::TooLarge => refusal::Kind::BodyTooLarge,
                http::ReadError::OverBudget => refusal::Kind::Overloaded,
                _ => refusal::Kind::BodyIncomplete,
            };
            log_unread_body(&arrival.external_id, kind);
            not_run(kind, e.to_string())
        })?;
        arrival.content = Some(content_digest(&head, &arrival, &body));
        // The time that the body took to arrive counts against the caller's budget.
        arrival.budget = arrival.budget.map(|budget| budget.saturating_sub(started.elapsed()));
        let number = self.serial.fetch_add(1, sync::atomic::Ordering::Relaxed);
        let number = id::RequestId(number.into());
        let (reply, answer) = oneshot::channel();
        let (guard, signal) = cancellation::channel(number, self.cancellations.clone());
        let incoming = IncomingRequest {
            request: number,
            arrival: Box::new(arrival),
            head: sync::Arc::new(head),
            body,
            reply,
            signal,
        };
        let shutting_down = || not_run(refusal::Kind::Draining, "this gateway is shutting down");
        if self.arrivals.send(Box::new(incoming)).await.is_err() {
            return Err(shutting_down());
        }
        // The event loop had the request and may have sent it to an upstream.
        let mut response = answer.await.map_err(|_| {
            let kind = refusal::Kind::UpstreamBroken;
            refusal::Refusal::new(kind, refusal::Ran::Unknown, "this gateway stopped")
        })?;
        response.body_mut().take_guard(guard);
        Ok(response)
    }
}

/// Returns a digest of what a request asks for: not its id, its credential or its deadline.
fn content_digest(
    head: &hyper::http::request::Parts,
    arrival: &gateway::Arrival,
    body: &[u8],
) -> u64 {
    let mut hash = xxhash_rust::xxh3::Xxh3::new();
    let target = head.uri.path_and_query().map_or("", |target| target.as_str());
    for text in [head.method.as_str(), target, arrival.input_key.as_deref().unwrap_or_default()] {
        hash.update(text.as_bytes());
        hash.update(&[0]);
    }
    for part in &arrival.prompt_parts {
        hash.update(&part.id.to_le_bytes());
        hash.update(&part.tokens.to_le_bytes());
    }
    hash.update(body);
    hash.digest()
}

/// Logs a request that is refused before the reducer receives it.
fn log_unread_body(name: &str, kind: refusal::Kind) {
    let line = telemetry::Line::new("refuse").with("request", name).with("kind", kind);
    log::info!("{line}");
}

/// Makes the response that refuses a request, with `Retry-After` in seconds if it is given.
pub fn refusal_response<D: dialect::Dialect>(
    dialect: &D,
    refusal: &refusal::Refusal,
    retry_after: Option<time::Duration>,
) -> hyper::Response<http::Body> {
    let status = dialect.refusal_status(refusal);
    let mut response = http::respond_json(status, &refusal.to_json());
    if let Some(retry_after) = retry_after {
        let text = format!("{:.2}", retry_after.as_secs_f64());
        if let Ok(value) = header::HeaderValue::from_str(&text) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}

/// A stream to a caller. If it is dropped before it is finished, the caller sees it break off.
#[derive(Debug)]
pub struct Stream {
    sender: Option<http::BodySender>,
}

impl Stream {
    /// Makes a stream and the response body from which the caller reads it.
    pub fn new() -> (Self, http::Body) {
        let (sender, body) = http::Body::stream(STREAM_BUFFER);
        (Self { sender: Some(sender) }, body)
    }

    /// Sends bytes; returns whether the caller is still connected.
    pub async fn send(&mut self, data: bytes::Bytes) -> bool {
        let Some(sender) = &mut self.sender else { return false };
        for chunk in data.chunks(STREAM_CHUNK) {
            // Copied, so that no chunk keeps the whole block alive.
            if !sender.send(bytes::Bytes::copy_from_slice(chunk)).await {
                return false;
            }
        }
        true
    }

    /// Ends a stream that has been sent whole, and with it the request of `signal`.
    pub fn finish(mut self, signal: &cancellation::Signal) {
        signal.end();
        drop(self.sender.take());
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        if let Some(sender) = self.sender.take() {
            sender.abort();
        }
    }
}

/// Way to answer a caller. The call that answers takes it out of its slot, and puts it back if it
/// fails in a way after which another call may continue.
#[derive(Debug)]
pub enum Reply {
    /// The response has not begun.
    NotStarted(oneshot::Sender<hyper::Response<http::Body>>),
    /// The response has begun, and its body is a stream.
    Streaming(Stream),
}

/// Place of a request's reply, shared by its calls; `None` while a call holds the reply.
pub type ReplySlot = sync::Arc<sync::Mutex<Option<Reply>>>;

/// Takes the reply out of its slot; `None` if another call holds it or it has been used.
///
/// # Panics
/// Panics if another holder of the lock panicked.
pub fn take_reply(slot: &ReplySlot) -> Option<Reply> {
    slot.lock().expect("no holder panics").take()
}

/// Puts a reply back into its slot.
///
/// # Panics
/// Panics if another holder of the lock panicked.
pub fn put_reply(slot: &ReplySlot, reply: Reply) {
    *slot.lock().expect("no holder panics") = Some(reply);
}

/// HTTP handler for the balancer's health probes and for metrics.
#[derive(Clone, Debug)]
pub struct ProbeHandler {
    /// Whether the balancer should send new requests to this process.
    pub ready: watch::Receiver<bool>,
    /// Path under which metrics are served.
    pub metrics_path: &'static str,
}

impl http::Handler for ProbeHandler {
    async fn handle(
        &self,
        request: hyper::Request<hyper::body::Incoming>,
    ) -> hyper::Response<http::Body> {
        if request.uri().path() == self.metrics_path {
            return http::respond(200, "text/plain; version=0.0.4", telemetry::render());
        }
        let status = if *self.ready.borrow() { 200 } else { 503 };
        http::respond(status, "text/plain", "")
    }
}
