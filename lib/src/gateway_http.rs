//! Callers' side of a gateway: heads, bodies and answers.

use std::sync;
use std::time;

use hyper::header;
use tokio::sync::{mpsc, oneshot, watch};

use crate::dialect;
use crate::drop_guard;
use crate::gateway;
use crate::http;
use crate::id;
use crate::refusal;
use crate::table;
use crate::telemetry;

/// Time that a caller has to send its body.
const BODY_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Pieces of a stream that wait for a slow caller before its upstream has to wait.
const STREAM_BUFFER: usize = 16;

/// A request on its way to the loop.
#[derive(Debug)]
pub struct IncomingRequest {
    /// Number of the request.
    pub request: id::RequestId,
    /// What decisions depend on.
    pub arrival: Box<gateway::Arrival>,
    /// Its head.
    pub head: sync::Arc<hyper::http::request::Parts>,
    /// Its body.
    pub body: bytes::Bytes,
    /// Where the answer goes.
    pub reply: oneshot::Sender<hyper::Response<http::Body>>,
}

/// What callers' connections tell the loop.
#[derive(Debug)]
pub enum Message {
    /// A request arrived.
    RequestArrived(Box<IncomingRequest>),
    /// The caller of a request went away.
    CallerGone(id::RequestId),
}

/// What the handlers of callers' connections share.
#[derive(Clone, Debug)]
pub struct CallerHandler<D> {
    /// Names of the wire.
    pub dialect: D,
    /// Way to the loop.
    pub messages: mpsc::Sender<Message>,
    /// Numbers of requests.
    pub serial: sync::Arc<sync::atomic::AtomicU64>,
    /// Limits on what callers send.
    pub limits: watch::Receiver<table::Limits>,
    /// Whether the process is about to stop.
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
        let body = http::read_body(body, limit, BODY_TIMEOUT).await.map_err(|e| {
            let kind = match e {
                http::ReadError::TooLarge => refusal::Kind::BodyTooLarge,
                _ => refusal::Kind::BodyIncomplete,
            };
            log_unread(&arrival.external_id, kind);
            not_run(kind, e.to_string())
        })?;
        // The body's time on the way counts against the caller's time.
        arrival.budget = arrival.budget.map(|budget| budget.saturating_sub(started.elapsed()));
        let number = self.serial.fetch_add(1, sync::atomic::Ordering::Relaxed);
        let number = id::RequestId(number.into());
        let (reply, answer) = oneshot::channel();
        let incoming = IncomingRequest {
            request: number,
            arrival: Box::new(arrival),
            head: sync::Arc::new(head),
            body,
            reply,
        };
        let gone = || not_run(refusal::Kind::Draining, "this gateway is shutting down");
        if self.messages.send(Message::RequestArrived(Box::new(incoming))).await.is_err() {
            return Err(gone());
        }
        let guard = drop_guard::DropGuard::new(self.messages.clone(), Message::CallerGone(number));
        let response = answer.await.map_err(|_| gone());
        guard.disarm();
        response
    }
}

fn log_unread(name: &str, kind: refusal::Kind) {
    let line = telemetry::Line::new("refuse").with("request", name).with("kind", kind);
    log::info!("{line}");
}

/// Makes the response that refuses a request.
pub fn refusal_response<D: dialect::Dialect>(
    dialect: &D,
    refusal: &refusal::Refusal,
    pause: Option<time::Duration>,
) -> hyper::Response<http::Body> {
    let status = dialect.refusal_status(refusal);
    let mut response = http::respond_json(status, &refusal.to_json());
    if let Some(pause) = pause {
        let text = format!("{:.2}", pause.as_secs_f64());
        if let Ok(value) = header::HeaderValue::from_str(&text) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}

/// A caller's stream. Unless it is finished, dropping it breaks the stream off.
#[derive(Debug)]
pub struct Stream {
    sender: Option<http::BodySender>,
}

impl Stream {
    /// Makes a stream and the body through which the caller reads it.
    pub fn new() -> (Self, http::Body) {
        let (sender, body) = http::Body::stream(STREAM_BUFFER);
        (Self { sender: Some(sender) }, body)
    }

    /// Sends bytes; returns whether the caller still reads.
    pub async fn send(&mut self, data: bytes::Bytes) -> bool {
        match &mut self.sender {
            Some(sender) => sender.send(data).await,
            None => false,
        }
    }

    /// Waits until the caller goes away.
    pub async fn closed(&mut self) {
        if let Some(sender) = &mut self.sender {
            sender.closed().await;
        }
    }

    /// Ends the stream; it is whole.
    pub fn finish(mut self) {
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

/// Where the answer of one request goes; a call takes it over and puts it back if another call may
/// go on with it.
#[derive(Debug)]
pub enum Reply {
    /// Nothing was sent.
    NotStarted(oneshot::Sender<hyper::Response<http::Body>>),
    /// The stream has begun.
    Streaming(Stream),
}

/// Shared place of a reply.
pub type ReplySlot = sync::Arc<sync::Mutex<Option<Reply>>>;

/// Takes the reply out of its place.
///
/// # Panics
/// Panics if another holder of the lock panicked.
pub fn take_reply(slot: &ReplySlot) -> Option<Reply> {
    slot.lock().expect("no holder panics").take()
}

/// Puts a reply back into its place.
///
/// # Panics
/// Panics if another holder of the lock panicked.
pub fn put_reply(slot: &ReplySlot, reply: Reply) {
    *slot.lock().expect("no holder panics") = Some(reply);
}

/// Checks the health of the process for the balancer, and serves its metrics.
#[derive(Clone, Debug)]
pub struct ProbeHandler {
    /// Whether new callers should come.
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
