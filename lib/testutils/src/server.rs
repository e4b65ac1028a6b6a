//! HTTP server that all stand-ins share. `POST /_fault` sets faults, `GET /_log` returns what the
//! stand-in received.

use std::net;
use std::time;

use bramleyshelf_lib::http;
use tokio::sync::watch;

use crate::fault;

/// Largest request body that a stand-in accepts.
const MAX_BODY_BYTES: u64 = 64 << 20;
/// Time within which a request body has to arrive.
const BODY_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Number of events of a streamed response that are buffered before the connection accepts them.
const STREAM_BUFFER_EVENTS: usize = 4;
/// Bytes that an endless response repeats.
const ENDLESS_BYTES: &[u8] = &[b'x'; 65_536];

/// A request to a stand-in.
#[derive(Debug)]
pub struct Request {
    /// HTTP method.
    pub method: hyper::Method,
    /// Path without the query.
    pub path: String,
    /// Query string; empty if there is none.
    pub query: String,
    /// Header fields of the request.
    pub headers: hyper::HeaderMap,
    /// Complete body.
    pub body: bytes::Bytes,
}

impl Request {
    /// Returns the value of a header field; empty if it is missing or not text.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }

    /// Returns the body as JSON, or null if it is not JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// Response of a stand-in.
#[derive(Debug)]
pub enum Response {
    /// JSON value with an HTTP status.
    Json(u16, serde_json::Value),
    /// Text with an HTTP status, sent as `application/json`.
    Text(u16, String),
    /// Stream of server-sent events.
    Events {
        /// Encoded events.
        events: Vec<bytes::Bytes>,
        /// Pause before each event.
        pause: time::Duration,
        /// Value of the `stream-offset` header of a resumed stream; `None` sends no such header.
        offset: Option<u64>,
    },
    /// Body that the stand-in writes itself; faults that shorten responses do not apply to it.
    Body(http::Body),
}

/// Behaviour of a stand-in behind the shared server.
pub trait StandIn: Clone + Send + Sync + 'static {
    /// Processes a request.
    fn respond(&self, request: Request) -> impl Future<Output = Response> + Send;

    /// Returns what was received so far, for `/_log`.
    fn log(&self) -> serde_json::Value;
}

#[derive(Clone)]
struct Server<S> {
    stand_in: S,
    faults: fault::Injector,
}

impl<S: StandIn> http::Handler for Server<S> {
    async fn handle(
        &self,
        request: hyper::Request<hyper::body::Incoming>,
    ) -> hyper::Response<http::Body> {
        let (parts, body) = request.into_parts();
        let Ok(body) = http::read_body(body, MAX_BODY_BYTES, BODY_TIMEOUT).await else {
            return http::respond(400, "text/plain", "incomplete body");
        };
        let path = parts.uri.path().to_owned();
        match path.as_str() {
            "/_log" => return http::respond_json(200, &self.stand_in.log()),
            "/_fault" => return self.set_faults(&body),
            _ => {}
        }
        let faults = self.faults.next();
        if faults.outage {
            return broken_response();
        }
        if faults.status > 0 {
            return http::respond_json(faults.status, &serde_json::json!({ "error": "fault" }));
        }
        fault::pause(&faults).await;
        let query = parts.uri.query().unwrap_or_default().to_owned();
        let (method, headers) = (parts.method, parts.headers);
        let request = Request { method, path, query, headers, body };
        let response = self.stand_in.respond(request).await;
        if faults.drop_answer {
            return broken_response();
        }
        if faults.endless {
            return endless_response();
        }
        if faults.status_after > 0 {
            return http::respond_json(faults.status_after, &serde_json::json!({}));
        }
        self.faults.wait_while_silent().await;
        build_response(response, SendLimit::new(&faults), &self.faults)
    }
}

impl<S: StandIn> Server<S> {
    fn set_faults(&self, body: &[u8]) -> hyper::Response<http::Body> {
        match serde_json::from_slice(body) {
            Ok(faults) => {
                self.faults.set(faults);
                http::respond_json(200, &serde_json::json!({}))
            }
            Err(e) => http::respond(400, "text/plain", e.to_string()),
        }
    }
}

/// Makes a response whose connection breaks before the first byte of its body.
fn broken_response() -> hyper::Response<http::Body> {
    let (sender, body) = http::Body::stream(1);
    sender.abort();
    let mut response = http::respond(200, "application/json", "");
    *response.body_mut() = body;
    response
}

/// Makes a response whose body goes on until the peer disconnects.
fn endless_response() -> hyper::Response<http::Body> {
    let (mut sender, body) = http::Body::stream(STREAM_BUFFER_EVENTS);
    tokio::spawn(async move { while sender.send(ENDLESS_BYTES.into()).await {} });
    let mut response = http::respond(200, "application/json", "");
    *response.body_mut() = body;
    response
}

/// Number of bytes of a response that are sent.
#[derive(Clone, Copy, Debug)]
struct SendLimit {
    /// `u64::MAX` for no limit.
    bytes: u64,
    /// Whether the connection breaks at the limit; otherwise the response ends as if it were
    /// complete.
    is_cut: bool,
}

impl SendLimit {
    fn new(faults: &fault::Faults) -> Self {
        let is_cut = faults.end_after == 0;
        let bytes = if is_cut { faults.cut_after } else { faults.end_after };
        Self { bytes: if bytes == 0 { u64::MAX } else { bytes }, is_cut }
    }

    fn is_unlimited(self) -> bool {
        self.bytes == u64::MAX
    }
}

fn build_response(
    response: Response,
    limit: SendLimit,
    faults: &fault::Injector,
) -> hyper::Response<http::Body> {
    match response {
        Response::Json(status, value) => full_body(status, value.to_string(), limit, faults),
        Response::Text(status, text) => full_body(status, text, limit, faults),
        Response::Events { events, pause, offset } => {
            let mut response = stream_events(events, pause, limit, faults);
            if let Some(offset) = offset {
                response.headers_mut().insert("stream-offset", offset.into());
            }
            response
        }
        Response::Body(body) => {
            let mut response = http::respond(200, "application/json", "");
            *response.body_mut() = body;
            response
        }
    }
}

fn full_body(
    status: u16,
    text: String,
    limit: SendLimit,
    faults: &fault::Injector,
) -> hyper::Response<http::Body> {
    if limit.is_unlimited() {
        return http::respond(status, "application/json", text);
    }
    let mut response = stream_events(vec![text.into()], time::Duration::ZERO, limit, faults);
    *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    let media = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, media);
    response
}

fn stream_events(
    events: Vec<bytes::Bytes>,
    pause: time::Duration,
    limit: SendLimit,
    faults: &fault::Injector,
) -> hyper::Response<http::Body> {
    let (sender, body) = http::Body::stream(STREAM_BUFFER_EVENTS);
    tokio::spawn(send_events(sender, events, pause, limit, faults.clone()));
    let mut response = http::respond(200, "text/event-stream", "");
    *response.body_mut() = body;
    response
}

async fn send_events(
    mut sender: http::BodySender,
    events: Vec<bytes::Bytes>,
    pause: time::Duration,
    limit: SendLimit,
    faults: fault::Injector,
) {
    let mut remaining = limit.bytes;
    for mut event in events {
        if !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
        faults.wait_while_silent().await;
        let fits = remaining >= event.len() as u64;
        if !fits {
            event.truncate(remaining as usize);
        }
        remaining -= event.len() as u64;
        if !sender.send(event).await {
            return;
        }
        if !fits {
            // Give the last bytes time to be sent before the connection breaks.
            tokio::time::sleep(time::Duration::from_millis(5)).await;
            if limit.is_cut {
                sender.abort();
            }
            return;
        }
    }
}

/// A stand-in that runs in the test's process until it is dropped.
#[derive(Debug)]
pub struct Running {
    /// Address on which it listens.
    pub address: net::SocketAddr,
    /// Handle that injects faults into it.
    pub faults: fault::Injector,
    task: tokio::task::JoinHandle<()>,
    _stop: watch::Sender<bool>,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts a stand-in on an address; port 0 selects a free port.
///
/// # Panics
/// Panics if the address cannot be listened on.
pub async fn start<S: StandIn>(address: net::SocketAddr, stand_in: S) -> Running {
    let listener = http::listen(address).await.expect("the address is free");
    let address = listener.local_addr().expect("a listener has an address");
    let faults = fault::Injector::default();
    let server = Server { stand_in, faults: faults.clone() };
    let (stop, stopping) = watch::channel(false);
    let task = tokio::spawn(http::serve(listener, server, stopping));
    Running { address, faults, task, _stop: stop }
}
