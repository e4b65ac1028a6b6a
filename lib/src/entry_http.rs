//! HTTP handlers of an entry for callers and for other processes of the system.

use std::sync;
use std::time;

use hyper::header;
use tokio::sync::{mpsc, watch};

use crate::auth;
use crate::config;
use crate::drop_guard;
use crate::entry;
use crate::http;
use crate::id;
use crate::key;
use crate::memory_budget;
use crate::plan;
use crate::probe;
use crate::refusal;
use crate::registry;
use crate::request;
use crate::revision;
use crate::server_connection;
use crate::sidecar_http;
use crate::wire;

/// Header with the time that the caller allows, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Response header with the request's identifier.
pub const REQUEST_HEADER: &str = "x-request-id";
/// Header with the caller's idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";
/// Time within which a caller has to send its whole body.
const BODY_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Chunks of an answer that are buffered for a slow caller before its request is dropped.
pub const REPLY_BUFFER: usize = 512;
/// Time for which a broken stream's connection is kept open, so that its last event can be sent.
const FLUSH_TIME: time::Duration = time::Duration::from_millis(50);
/// Chunks that are buffered between the event loop's channel and the socket.
const BODY_BUFFER: usize = 16;

/// Part of a response, as sent by the event loop.
#[derive(Debug)]
pub enum Reply {
    /// A whole answer with its body.
    Whole(wire::Head, bytes::Bytes),
    /// Status and media type of a streamed answer.
    Begin(wire::Head),
    /// Next bytes of a streamed answer.
    Data(bytes::Bytes),
    /// End of a streamed answer that was sent whole.
    End,
    /// The request was refused or failed, possibly after a stream had begun.
    Refuse(refusal::Refusal),
}

/// A caller's request, as sent to the event loop.
#[derive(Debug)]
pub struct IncomingRequest {
    /// The parts of the request that the reducer decides by.
    pub arrival: request::Arrival,
    /// Body that the caller sent.
    pub body: bytes::Bytes,
    /// Whether the caller asks for a stream.
    pub wants_stream: bool,
    /// Receives the parts of the response.
    pub replies: ReplySender,
}

/// Sending end of the channel for the parts of one response. A place for the last part is kept
/// free, so that a whole answer is never reported as broken off because its caller is slow.
#[derive(Debug)]
pub struct ReplySender {
    parts: mpsc::Sender<Reply>,
    last: mpsc::OwnedPermit<Reply>,
}

impl ReplySender {
    /// Makes a channel that buffers `buffer` parts for a slow caller, besides the last one.
    ///
    /// # Panics
    /// Never: an empty channel has room for the last part.
    pub fn channel(buffer: usize) -> (Self, mpsc::Receiver<Reply>) {
        let (parts, inbox) = mpsc::channel(buffer + 1);
        let last = parts.clone().try_reserve_owned().expect("the channel is empty");
        (Self { parts, last }, inbox)
    }

    /// Sends a part that is not the last one; returns false if the caller has disconnected or its
    /// buffer is full.
    pub fn try_send(&self, part: Reply) -> bool {
        self.parts.try_send(part).is_ok()
    }

    /// Sends the last part, also if the caller's buffer is full.
    pub fn finish(self, last: Reply) {
        self.last.send(last);
    }
}

/// Message from the callers' connections to the event loop.
#[derive(Debug)]
pub enum Message {
    /// A request arrived with its whole body.
    RequestArrived(Box<IncomingRequest>),
    /// The connection of a request ended. It is also sent after the response was sent whole.
    CallerGone(id::RequestId),
}

/// HTTP handler for callers; cloned for each connection.
#[derive(Clone, Debug)]
pub struct CallerHandler {
    /// Channel to the event loop.
    pub messages: mpsc::Sender<Message>,
    /// Configuration in force; revision 0 until one is received.
    pub active_config: watch::Receiver<revision::ActiveConfig>,
    /// Decoded credentials of the configuration in force.
    pub credentials: watch::Receiver<sync::Arc<auth::Credentials>>,
    /// State of the process, for health probes.
    pub status: watch::Receiver<registry::Status>,
    /// Memory for bodies.
    pub budget: memory_budget::Budget,
}

/// Request head after authentication and parsing.
struct Head {
    team: id::TeamId,
    target: plan::Target,
    budget: Option<time::Duration>,
    key: Option<String>,
}

fn not_run(kind: refusal::Kind, message: &str) -> refusal::Refusal {
    refusal::Refusal::new(kind, refusal::Ran::No, message)
}

impl http::Handler for CallerHandler {
    async fn handle(
        &self,
        request: hyper::Request<hyper::body::Incoming>,
    ) -> hyper::Response<http::Body> {
        if let Some(response) = probe::respond(request.uri().path(), &self.status.borrow()) {
            return response;
        }
        let number = id::RequestId(uuid::Uuid::new_v4().as_u128());
        let has_key = request.headers().contains_key(KEY_HEADER);
        let mut response = match self.serve(number, request).await {
            Ok(response) => response,
            Err(mut refusal) => {
                if has_key && entry::leaves_outcome_unknown(refusal.kind) {
                    refusal.ran = refusal::Ran::Unknown;
                }
                metrics::counter!("refusals", "kind" => refusal.kind.to_string()).increment(1);
                refusal_response(&refusal, has_key)
            }
        };
        let value = header::HeaderValue::from_str(&number.to_string())
            .expect("hexadecimal digits are a header value");
        response.headers_mut().insert(REQUEST_HEADER, value);
        response
    }
}

/// Makes the response that refuses a request, with `Retry-After` in seconds if its kind has one and
/// sending it again cannot run it twice.
fn refusal_response(refusal: &refusal::Refusal, has_key: bool) -> hyper::Response<http::Body> {
    let mut response = http::respond_json(refusal.status(), &refusal.to_json());
    let is_safe = has_key || refusal.ran == refusal::Ran::No;
    if let Some(retry_after) = refusal.kind.retry_after().filter(|_| is_safe) {
        let seconds = retry_after.0.div_ceil(1_000);
        response.headers_mut().insert(header::RETRY_AFTER, seconds.into());
    }
    response
}

impl CallerHandler {
    async fn serve(
        &self,
        number: id::RequestId,
        request: hyper::Request<hyper::body::Incoming>,
    ) -> Result<hyper::Response<http::Body>, refusal::Refusal> {
        let config = self.active_config.borrow().config.clone();
        let head = self.read_head(&config, &request)?;
        let (parts, body) = request.into_parts();
        let connection = parts.extensions.get::<server_connection::Handle>();
        let body = read_body(&config, body, &self.budget, connection).await?;
        let streaming = wants_stream(&body).map_err(|e| {
            not_run(refusal::Kind::BadRequest, &format!("the body is not JSON: {e}"))
        })?;
        let prefix_hash = prefix_hash(&config, &head.team, &body);
        let arrival = request::Arrival {
            request: number,
            team: head.team,
            target: head.target,
            budget: head.budget,
            key: head.key,
            prefix_hash,
            streaming,
        };
        let (replies, inbox) = ReplySender::channel(REPLY_BUFFER);
        let guard = drop_guard::DropGuard::new(self.messages.clone(), Message::CallerGone(number));
        let incoming =
            Box::new(IncomingRequest { arrival, body, wants_stream: streaming, replies });
        self.messages
            .try_send(Message::RequestArrived(incoming))
            .map_err(|_| not_run(refusal::Kind::Overloaded, "this entry is overloaded"))?;
        build_response(inbox, guard).await
    }

    /// Authenticates a request and parses its head.
    fn read_head<B>(
        &self,
        config: &config::Config,
        request: &hyper::Request<B>,
    ) -> Result<Head, refusal::Refusal> {
        if self.active_config.borrow().revision == id::Revision(0) {
            return Err(not_run(refusal::Kind::NotReady, "no configuration is known yet"));
        }
        let team = self.read_team(request.headers())?;
        let target = read_target(config, request.uri().path())
            .ok_or_else(|| not_run(refusal::Kind::NotFound, "nothing is served under this path"))?;
        if request.method() != hyper::Method::POST {
            let message = format!("{} is not allowed here", request.method());
            return Err(not_run(refusal::Kind::MethodNotAllowed, &message));
        }
        let budget = read_budget(request.headers())?;
        let key = read_key(request.headers(), &team)?;
        Ok(Head { team, target, budget, key })
    }

    fn read_team(&self, headers: &header::HeaderMap) -> Result<id::TeamId, refusal::Refusal> {
        let value = headers.get(header::AUTHORIZATION).and_then(|value| value.to_str().ok());
        let credential = value.and_then(|text| text.strip_prefix("Bearer "));
        let credentials = self.credentials.borrow().clone();
        // A team may have the digest of the empty text, but a missing credential belongs to nobody.
        credential
            .filter(|credential| !credential.is_empty())
            .and_then(|credential| credentials.team(credential).cloned())
            .ok_or_else(|| not_run(refusal::Kind::Unauthorized, "the credential is unknown"))
    }
}

/// Returns what a path requests: a pipeline, a public service, or the service configured for an
/// endpoint in the style of `OpenAI`.
fn read_target(config: &config::Config, path: &str) -> Option<plan::Target> {
    let service = |name: &Option<id::ServiceId>| name.clone().map(plan::Target::Service);
    match path {
        "/v1/chat/completions" => return service(&config.openai.chat),
        "/v1/embeddings" => return service(&config.openai.embeddings),
        "/v1/rerank" => return service(&config.openai.rerank),
        _ => {}
    }
    if let Some(name) = path.strip_prefix("/pipelines/") {
        let (name, _) = config.pipelines.get_key_value(name)?;
        return Some(plan::Target::Pipeline(name.clone()));
    }
    let (name, service) = config.services.get_key_value(path.strip_prefix("/services/")?)?;
    service.public.then(|| plan::Target::Service(name.clone()))
}

fn read_budget(headers: &header::HeaderMap) -> Result<Option<time::Duration>, refusal::Refusal> {
    let Some(value) = headers.get(DEADLINE_HEADER) else {
        return Ok(None);
    };
    let millis = value.to_str().ok().and_then(|text| text.parse().ok()).filter(|ms| *ms > 0);
    let message = "x-deadline-ms is not a positive number of milliseconds";
    millis
        .map(|ms| Some(time::Duration::from_millis(ms)))
        .ok_or_else(|| not_run(refusal::Kind::BadRequest, message))
}

fn read_key(
    headers: &header::HeaderMap,
    team: &id::TeamId,
) -> Result<Option<String>, refusal::Refusal> {
    let Some(value) = headers.get(KEY_HEADER) else {
        return Ok(None);
    };
    let text = value
        .to_str()
        .ok()
        .filter(|text| !text.is_empty() && text.len() <= key::MAX_KEY_BYTES && !text.contains(' '));
    // The team's prefix keeps teams from seeing or blocking each other's keys.
    let message = "the idempotency key is empty, longer than 255 bytes or has spaces";
    text.map(|text| Some(format!("{team}/{text}")))
        .ok_or_else(|| not_run(refusal::Kind::BadRequest, message))
}

async fn read_body(
    config: &config::Config,
    body: hyper::body::Incoming,
    budget: &memory_budget::Budget,
    connection: Option<&server_connection::Handle>,
) -> Result<bytes::Bytes, refusal::Refusal> {
    let limit = config.limits.body_bytes.0;
    let body = http::receive_body(body, limit, BODY_TIMEOUT, budget, connection);
    body.await.map_err(|e| {
        let kind = match e {
            http::ReadError::TooLarge => refusal::Kind::BodyTooLarge,
            http::ReadError::OverBudget => refusal::Kind::Overloaded,
            http::ReadError::Timeout | http::ReadError::Incomplete => refusal::Kind::BodyIncomplete,
        };
        not_run(kind, &e.to_string())
    })
}

/// Checks that a body is JSON and returns whether it asks for a stream. The values of the body are not
/// kept, as they may take many times its length.
fn wants_stream(body: &[u8]) -> Result<bool, String> {
    #[derive(serde::Deserialize)]
    struct Fields<'a> {
        #[serde(borrow, default)]
        stream: Option<&'a serde_json::value::RawValue>,
    }
    // Values that are skipped are not checked for this.
    let body = std::str::from_utf8(body).map_err(|e| e.to_string())?;
    serde_json::from_str::<serde::de::IgnoredAny>(body).map_err(|e| e.to_string())?;
    // A body that is no object has no such field.
    let fields = serde_json::from_str::<Fields<'_>>(body).ok();
    Ok(fields.and_then(|fields| fields.stream).is_some_and(|stream| stream.get() == "true"))
}

/// Returns the hash of the body's first `policy.prefix_bytes` bytes, by which requests are routed
/// to engines that have cached the prefix; `None` if that is switched off. The hash is seeded with
/// the team, so that equal prefixes of two teams differ.
fn prefix_hash(config: &config::Config, team: &id::TeamId, body: &[u8]) -> Option<u64> {
    let bytes = config.policy.prefix_bytes.0 as usize;
    if bytes == 0 {
        return None;
    }
    let seed = xxhash_rust::xxh3::xxh3_64(team.as_str().as_bytes());
    let prefix = &body[..body.len().min(bytes)];
    Some(xxhash_rust::xxh3::xxh3_64_with_seed(prefix, seed))
}

/// Waits for the first part of the response; a streamed body follows in a task of its own.
async fn build_response(
    mut inbox: mpsc::Receiver<Reply>,
    guard: drop_guard::DropGuard<Message>,
) -> Result<hyper::Response<http::Body>, refusal::Refusal> {
    match inbox.recv().await {
        Some(Reply::Whole(head, body)) => Ok(http::respond(head.status, &head.media, body)),
        Some(Reply::Begin(head)) => {
            let (sender, body) = http::Body::stream(BODY_BUFFER);
            tokio::spawn(forward_stream(inbox, sender, guard));
            let mut response = http::respond(head.status, &head.media, "");
            *response.body_mut() = body;
            Ok(response)
        }
        Some(Reply::Refuse(refusal)) => Err(refusal),
        Some(Reply::Data(_) | Reply::End) | None => {
            let message = "the entry stopped";
            let kind = refusal::Kind::SidecarLost;
            Err(refusal::Refusal::new(kind, refusal::Ran::Unknown, message))
        }
    }
}

/// Relays a stream to the caller. A stream that fails ends with an error event and a broken
/// connection, so that no caller can take it for a whole one.
async fn forward_stream(
    mut inbox: mpsc::Receiver<Reply>,
    mut sender: http::BodySender,
    guard: drop_guard::DropGuard<Message>,
) {
    loop {
        let reply = tokio::select! {
            reply = inbox.recv() => reply,
            () = sender.closed() => break,
        };
        match reply {
            Some(Reply::Data(data)) => {
                if !sender.send(data).await {
                    break;
                }
            }
            Some(Reply::End) => break,
            Some(Reply::Refuse(refusal)) => {
                let event = format!("event: error\ndata: {}\n\n", refusal.to_json());
                sender.send(event.into()).await;
                // Breaking the connection discards bytes that have not been sent yet.
                tokio::time::sleep(FLUSH_TIME).await;
                sender.abort();
                break;
            }
            Some(Reply::Whole(..) | Reply::Begin(_)) | None => {
                sender.abort();
                break;
            }
        }
    }
    // The event loop drops the request if its stream has not ended.
    drop(guard);
}

/// HTTP handler for other processes of the system, which ask for the configuration.
#[derive(Clone, Debug)]
pub struct PeerHandler {
    /// Configuration in force; revision 0 until one is received.
    pub active_config: watch::Receiver<revision::ActiveConfig>,
    /// State of the process, for health probes.
    pub status: watch::Receiver<registry::Status>,
}

impl http::Handler for PeerHandler {
    async fn handle(
        &self,
        request: hyper::Request<hyper::body::Incoming>,
    ) -> hyper::Response<http::Body> {
        let path = request.uri().path().to_owned();
        if let Some(response) = probe::respond(&path, &self.status.borrow()) {
            return response;
        }
        if path != wire::CONFIG_PATH {
            return http::respond(404, "text/plain", "no such path");
        }
        let mut decoder = wire::Decoder::new(64);
        if let Ok(body) = http::read_body(request.into_body(), 64, BODY_TIMEOUT).await {
            decoder.push(&body);
        }
        match decoder.read() {
            Ok(Some(known)) => sidecar_http::config_response(&self.active_config.borrow(), known),
            _ => http::respond(400, "text/plain", "send the revision that is known"),
        }
    }
}
