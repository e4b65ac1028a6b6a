//! The frame that all stand-ins share: a server with `/_fault` and `/_log`.

use std::net;
use std::time;

use bramleyshelf_lib::http;
use tokio::sync::watch;

use crate::fault;

/// Largest body that a stand-in reads, in bytes.
const MAX_BODY_BYTES: u64 = 64 << 20;
/// Time that a body may take.
const BODY_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Pieces of a streamed answer that wait.
const STREAM_BUFFER: usize = 4;

/// A request as a stand-in sees it.
#[derive(Debug)]
pub struct Request {
    /// Method.
    pub method: hyper::Method,
    /// Path without the query.
    pub path: String,
    /// Query, or an empty text.
    pub query: String,
    /// Header fields.
    pub headers: hyper::HeaderMap,
    /// Whole body.
    pub body: bytes::Bytes,
}

impl Request {
    /// Returns a header field, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }

    /// Returns the body as JSON, or null.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// What a stand-in answers.
#[derive(Debug)]
pub enum Response {
    /// A JSON answer with a status.
    Json(u16, serde_json::Value),
    /// A JSON text that is there already.
    Text(u16, String),
    /// Server-sent events, with header fields and a pause before each.
    Events {
        /// Events as they go over the wire.
        events: Vec<bytes::Bytes>,
        /// Pause before each event.
        pause: time::Duration,
        /// Offset header to answer with.
        offset: Option<u64>,
    },
    /// An answer that the stand-in writes itself.
    Body(http::Body),
}

/// The work of a stand-in.
pub trait StandIn: Clone + Send + Sync + 'static {
    /// Answers a request.
    fn respond(&self, request: Request) -> impl Future<Output = Response> + Send;

    /// Returns what was received so far.
    fn log(&self) -> serde_json::Value;
}

#[derive(Clone)]
struct Server<W> {
    work: W,
    knobs: fault::Injector,
}

impl<W: StandIn> http::Handler for Server<W> {
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
            "/_log" => return http::respond_json(200, &self.work.log()),
            "/_fault" => return self.set_faults(&body),
            _ => {}
        }
        let faults = self.knobs.next();
        if faults.outage {
            return broken();
        }
        if faults.status > 0 {
            return http::respond_json(faults.status, &serde_json::json!({ "error": "fault" }));
        }
        fault::pause(&faults).await;
        let query = parts.uri.query().unwrap_or_default().to_owned();
        let (method, headers) = (parts.method, parts.headers);
        let request = Request { method, path, query, headers, body };
        let answer = self.work.respond(request).await;
        if faults.drop_answer {
            return broken();
        }
        respond(answer, Limit::new(&faults))
    }
}

impl<W: StandIn> Server<W> {
    fn set_faults(&self, body: &[u8]) -> hyper::Response<http::Body> {
        match serde_json::from_slice(body) {
            Ok(faults) => {
                self.knobs.set(faults);
                http::respond_json(200, &serde_json::json!({}))
            }
            Err(e) => http::respond(400, "text/plain", e.to_string()),
        }
    }
}

/// Makes a response whose connection breaks before the first byte of its body.
fn broken() -> hyper::Response<http::Body> {
    let (sender, body) = http::Body::stream(1);
    sender.abort();
    let mut response = http::respond(200, "application/json", "");
    *response.body_mut() = body;
    response
}

/// How much of an answer is sent.
#[derive(Clone, Copy, Debug)]
struct Limit {
    bytes: u64,
    /// Whether the connection breaks there, or the answer ends as if it were whole.
    breaks: bool,
}

impl Limit {
    fn new(faults: &fault::Faults) -> Self {
        let breaks = faults.end_after == 0;
        let bytes = if breaks { faults.cut_after } else { faults.end_after };
        Self { bytes: if bytes == 0 { u64::MAX } else { bytes }, breaks }
    }

    fn is_off(self) -> bool {
        self.bytes == u64::MAX
    }
}

fn respond(answer: Response, limit: Limit) -> hyper::Response<http::Body> {
    match answer {
        Response::Json(status, value) => whole(status, value.to_string(), limit),
        Response::Text(status, text) => whole(status, text, limit),
        Response::Events { events, pause, offset } => stream(events, pause, offset, limit),
        Response::Body(body) => {
            let mut response = http::respond(200, "application/json", "");
            *response.body_mut() = body;
            response
        }
    }
}

fn whole(status: u16, text: String, limit: Limit) -> hyper::Response<http::Body> {
    if limit.is_off() {
        return http::respond(status, "application/json", text);
    }
    let mut response = stream(vec![text.into()], time::Duration::ZERO, None, limit);
    *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    let media = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, media);
    response
}

fn stream(
    events: Vec<bytes::Bytes>,
    pause: time::Duration,
    offset: Option<u64>,
    limit: Limit,
) -> hyper::Response<http::Body> {
    let (sender, body) = http::Body::stream(STREAM_BUFFER);
    tokio::spawn(send_events(sender, events, pause, limit));
    let mut response = http::respond(200, "text/event-stream", "");
    *response.body_mut() = body;
    if let Some(offset) = offset {
        response.headers_mut().insert("stream-offset", offset.into());
    }
    response
}

async fn send_events(
    mut sender: http::BodySender,
    events: Vec<bytes::Bytes>,
    pause: time::Duration,
    limit: Limit,
) {
    let mut left = limit.bytes;
    for mut event in events {
        if !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
        let fits = left >= event.len() as u64;
        if !fits {
            event.truncate(left as usize);
        }
        left -= event.len() as u64;
        if !sender.send(event).await {
            return;
        }
        if !fits {
            // The last bytes have to leave before the connection breaks.
            tokio::time::sleep(time::Duration::from_millis(5)).await;
            if limit.breaks {
                sender.abort();
            }
            return;
        }
    }
}

/// A stand-in that runs in this process; dropping it stops it.
#[derive(Debug)]
pub struct Running {
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Its faults.
    pub faults: fault::Injector,
    task: tokio::task::JoinHandle<()>,
    _stop: watch::Sender<bool>,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts a stand-in on an address; port 0 takes a free one.
///
/// # Panics
/// Panics if the address cannot be listened on.
pub async fn start<W: StandIn>(address: net::SocketAddr, work: W) -> Running {
    let listener = http::listen(address).await.expect("the address is free");
    let address = listener.local_addr().expect("a listener has an address");
    let knobs = fault::Injector::default();
    let server = Server { work, knobs: knobs.clone() };
    let (stop, stopping) = watch::channel(false);
    let task = tokio::spawn(http::serve(listener, server, stopping));
    Running { address, faults: knobs, task, _stop: stop }
}
