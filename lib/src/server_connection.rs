//! State of the connections of a listener, which the server, the handlers and the sockets share: what
//! each of them waits for, and which one has to make way for a new one.
//!
//! [`crate::memory_budget::connections`] decides; this module carries the decisions out.

pub mod cut;

use std::net;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;
use std::time;

use tokio::sync::{Notify, watch};

use crate::http;
use crate::memory_budget::connections;

/// Interval within which connections that are closed or refused for lack of room are logged once.
const LOG_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Connections of one listener; clones share it.
#[derive(Clone, Debug)]
pub struct Register {
    start: time::Instant,
    shared: sync::Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: sync::Mutex<State>,
    /// Notified when a connection has ended.
    ended: Notify,
}

#[derive(Debug)]
struct State {
    connections: connections::Connections,
    open: std::collections::BTreeMap<connections::ConnectionId, Open>,
    next: u64,
    cuts: cut::Cuts,
    /// When a line was last logged, and the connections closed and refused since then.
    logged: Option<time::Instant>,
    closed: u64,
    refused: u64,
}

/// An open connection.
#[derive(Debug)]
struct Open {
    closer: watch::Sender<bool>,
    requests: sync::Arc<Requests>,
}

impl Register {
    /// Makes a register for at most so many connections.
    pub fn new(limit: usize) -> Self {
        let state = State {
            connections: connections::Connections::new(limit),
            open: std::collections::BTreeMap::new(),
            next: 0,
            cuts: cut::Cuts::default(),
            logged: None,
            closed: 0,
            refused: 0,
        };
        let shared = Shared { state: sync::Mutex::new(state), ended: Notify::new() };
        Self { start: time::Instant::now(), shared: sync::Arc::new(shared) }
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.shared.state.lock().expect("no holder panics")
    }

    /// Adds a connection, closing another one if there is no room; `None` if it cannot be served.
    pub fn admit(&self, caller: net::IpAddr) -> Option<Connection> {
        let mut state = self.lock();
        state.cuts.log();
        let id = connections::ConnectionId(state.next);
        state.next += 1;
        let admission = state.connections.admit(self.start.elapsed(), id);
        match admission {
            connections::Admission::Admitted => {}
            connections::Admission::InPlaceOf(other) => {
                if let Some(open) = state.open.get(&other) {
                    open.closer.send_replace(true);
                }
                state.closed += 1;
                metrics::counter!("connections_closed_total", "reason" => "make_way").increment(1);
            }
            connections::Admission::Refused => {
                state.refused += 1;
                metrics::counter!("connections_closed_total", "reason" => "no_room").increment(1);
            }
        }
        if admission != connections::Admission::Admitted {
            state.log();
        }
        if admission == connections::Admission::Refused {
            return None;
        }
        let (closer, closing) = watch::channel(false);
        let requests = sync::Arc::new(Requests::default());
        state.open.insert(id, Open { closer, requests: requests.clone() });
        drop(state);
        Some(Connection(Handle {
            register: self.clone(),
            id,
            caller,
            closing,
            requests,
            head_bytes: 0,
        }))
    }

    /// Records the connections that are left when the server is dropped.
    pub fn cut_all(&self) {
        let mut state = self.lock();
        let unfinished = state.open.values().filter(|open| open.requests.is_unfinished()).count();
        state.cuts.record(cut::Reason::Stop, unfinished);
        state.cuts.log_now();
    }

    /// Waits until no connection is left.
    pub async fn all_ended(&self) {
        loop {
            let ended = self.shared.ended.notified();
            if self.lock().connections.count() == 0 {
                return;
            }
            ended.await;
        }
    }
}

impl State {
    /// Logs how many connections were closed or refused, at most once in [`LOG_INTERVAL`].
    fn log(&mut self) {
        if self.logged.is_some_and(|at| at.elapsed() < LOG_INTERVAL) {
            return;
        }
        let open = self.connections.count();
        log::warn!(
            "event=connections_limited open={open} closed={} refused={}",
            self.closed,
            self.refused
        );
        self.logged = Some(time::Instant::now());
        (self.closed, self.refused) = (0, 0);
    }
}

/// Place of a connection in the register. It is given back when this is dropped.
#[derive(Debug)]
pub struct Connection(Handle);

impl Connection {
    /// Returns a handle of the connection.
    pub fn handle(&self) -> Handle {
        self.0.clone()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut state = self.0.register.lock();
        state.connections.remove(self.0.id);
        state.open.remove(&self.0.id);
        drop(state);
        self.0.register.shared.ended.notify_waiters();
    }
}

/// Requests on a connection.
#[derive(Debug, Default)]
struct Requests {
    /// Requests whose answers have not been sent whole.
    open: atomic::AtomicUsize,
    /// Whether a request has arrived whole and its answer has not been sent whole.
    is_running: atomic::AtomicBool,
    /// Whether the body of a request was refused before its end.
    has_unread_body: atomic::AtomicBool,
    /// Whether the peer takes no more bytes at present.
    is_blocked: atomic::AtomicBool,
    /// Whether bytes have arrived since the last request.
    is_inside_head: atomic::AtomicBool,
    /// Whether the peer speaks HTTP/2, in which other frames arrive between requests.
    is_http2: atomic::AtomicBool,
}

impl Requests {
    /// Returns whether a request has arrived whole and the peer has not taken all bytes of its answer.
    fn is_unfinished(&self) -> bool {
        self.is_running.load(atomic::Ordering::Relaxed)
            || self.is_blocked.load(atomic::Ordering::Relaxed)
    }
}

/// Handle of a connection; clones belong to the same one.
#[derive(Clone, Debug)]
pub struct Handle {
    register: Register,
    id: connections::ConnectionId,
    caller: net::IpAddr,
    closing: watch::Receiver<bool>,
    requests: sync::Arc<Requests>,
    /// Memory of the head of the request that has this handle.
    head_bytes: usize,
}

impl Handle {
    /// Returns a handle for a request whose head has so many bytes.
    #[must_use]
    pub fn with_head(mut self, bytes: usize) -> Self {
        self.head_bytes = bytes;
        self
    }

    /// Returns the memory of the head of the request that has this handle.
    pub fn head_bytes(&self) -> usize {
        self.head_bytes
    }

    /// Returns the address of the peer.
    pub fn caller(&self) -> net::IpAddr {
        self.caller
    }

    /// Waits until the connection has to make way for another one.
    pub async fn closing(&self) {
        let mut closing = self.closing.clone();
        if closing.wait_for(|closing| *closing).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    fn set_state(&self, state: connections::State) {
        let now = self.register.start.elapsed();
        self.register.lock().connections.set_state(now, self.id, state);
    }

    /// Records what the connection waits for if there is no request on it and the peer has taken all bytes
    /// of the last answer; returns whether that is so.
    fn set_state_between_requests(&self, state: connections::State) -> bool {
        let is_between = self.requests.open.load(atomic::Ordering::Relaxed) == 0
            && !self.requests.is_blocked.load(atomic::Ordering::Relaxed);
        if is_between {
            self.set_state(state);
        }
        is_between
    }

    /// Records that bytes arrived: on an idle connection, they begin a head.
    pub fn received(&self) {
        if self.set_state_between_requests(connections::State::Receiving) {
            self.requests.is_inside_head.store(true, atomic::Ordering::Relaxed);
        }
    }

    /// Returns whether a part of the head of the next request has arrived; never on an HTTP/2 connection,
    /// whose other frames look the same.
    pub fn is_inside_head(&self) -> bool {
        self.requests.is_inside_head.load(atomic::Ordering::Relaxed)
            && !self.requests.is_http2.load(atomic::Ordering::Relaxed)
    }

    /// Notes the version of a request.
    pub fn note_version(&self, version: hyper::Version) {
        self.requests.is_http2.store(version == hyper::Version::HTTP_2, atomic::Ordering::Relaxed);
    }

    /// Records whether the peer takes no more bytes of an answer, which may have left its body already.
    pub fn write_blocked(&self, is_blocked: bool) {
        self.requests.is_blocked.store(is_blocked, atomic::Ordering::Relaxed);
        if is_blocked {
            self.set_state(connections::State::Running);
        } else {
            self.set_state_between_requests(connections::State::Idle);
        }
    }

    /// Records that a request has begun.
    pub fn begin_request(&self, is_whole: bool) -> OpenRequest {
        let others = self.requests.open.fetch_add(1, atomic::Ordering::Relaxed);
        self.requests.is_inside_head.store(false, atomic::Ordering::Relaxed);
        if is_whole || others > 0 {
            self.requests.is_running.store(true, atomic::Ordering::Relaxed);
            self.set_state(connections::State::Running);
        }
        OpenRequest(self.clone())
    }

    /// Records that a body arrived whole, or that its rest is not read.
    pub fn end_body(&self, is_whole: bool) {
        if !is_whole {
            self.requests.has_unread_body.store(true, atomic::Ordering::Relaxed);
        }
        self.requests.is_running.fetch_or(is_whole, atomic::Ordering::Relaxed);
        self.set_state(connections::State::Running);
    }

    /// Records that this process ends the connection, if an answer on it is unfinished.
    pub fn record_cut(&self, reason: cut::Reason) {
        if self.is_unfinished() {
            self.register.lock().cuts.record(reason, 1);
        }
    }

    /// Records that the connection ended with an error.
    pub fn record_error(&self, error: &(dyn std::error::Error + 'static)) {
        match cut::Reason::of_error(error) {
            // Its request ended together with its body.
            Some(cut::Reason::AbortedBody) => {
                self.register.lock().cuts.record(cut::Reason::AbortedBody, 1);
            }
            Some(reason) => self.record_cut(reason),
            None => {}
        }
    }

    /// Returns whether a request has arrived whole and the peer has not taken all bytes of its answer.
    pub fn is_unfinished(&self) -> bool {
        self.requests.is_unfinished()
    }

    /// Returns whether the body of a request was refused before its end.
    pub fn has_unread_body(&self) -> bool {
        self.requests.has_unread_body.load(atomic::Ordering::Relaxed)
    }
}

/// Waits until a connection has to make way for another one; forever if there is none.
pub async fn closing(connection: Option<&Handle>) {
    match connection {
        Some(connection) => connection.closing().await,
        None => std::future::pending().await,
    }
}

/// A request whose answer has not been sent whole. The connection is idle when the last one is dropped.
#[derive(Debug)]
pub struct OpenRequest(Handle);

impl OpenRequest {
    /// Records that the answer begins.
    pub fn answer_begins(&self) {
        self.0.set_state(connections::State::Running);
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        if self.0.requests.open.fetch_sub(1, atomic::Ordering::Relaxed) == 1 {
            self.0.requests.is_running.store(false, atomic::Ordering::Relaxed);
            self.0.set_state_between_requests(connections::State::Idle);
        }
    }
}

/// Largest piece in which a body is given to the HTTP server. An HTTP/2 server takes the next piece only once
/// the window of the stream is open, so a request stays open until its caller has made room for nearly all of
/// its answer.
const PIECE_BYTES: usize = 16 << 10;

/// Body of an answer with the request that it belongs to.
#[derive(Debug)]
pub struct AnswerBody {
    body: http::Body,
    /// What is left of a chunk of the body.
    rest: bytes::Bytes,
    _request: OpenRequest,
}

impl AnswerBody {
    /// Makes the body of the answer to a request.
    pub fn new(body: http::Body, request: OpenRequest) -> Self {
        Self { body, rest: bytes::Bytes::new(), _request: request }
    }
}

impl hyper::body::Body for AnswerBody {
    type Data = bytes::Bytes;
    type Error = http::StreamAborted;

    fn poll_frame(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<hyper::body::Frame<bytes::Bytes>, http::StreamAborted>>> {
        let this = self.get_mut();
        if this.rest.is_empty() {
            let frame = task::ready!(pin::Pin::new(&mut this.body).poll_frame(cx));
            match frame.map(|frame| frame.map(hyper::body::Frame::into_data)) {
                Some(Ok(Ok(data))) => this.rest = data,
                Some(Ok(Err(trailers))) => return task::Poll::Ready(Some(Ok(trailers))),
                Some(Err(e)) => return task::Poll::Ready(Some(Err(e))),
                None => return task::Poll::Ready(None),
            }
        }
        let piece = this.rest.split_to(this.rest.len().min(PIECE_BYTES));
        task::Poll::Ready(Some(Ok(hyper::body::Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        let (of_body, rest) = (self.body.size_hint(), self.rest.len() as u64);
        let mut hint = hyper::body::SizeHint::new();
        hint.set_lower(of_body.lower() + rest);
        if let Some(upper) = of_body.upper() {
            hint.set_upper(upper + rest);
        }
        hint
    }
}
