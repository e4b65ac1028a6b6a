//! HTTP building blocks on `hyper` that all processes share: bodies, bounded reads, clients and a
//! server with a graceful stop.

mod server;

use std::error;
use std::future;
use std::io;
use std::net;
use std::pin;
use std::task;
use std::time;

use http_body_util::BodyExt as _;
use hyper::body::Body as _;
use hyper_util::client::legacy;
use hyper_util::rt;
use tokio::sync::oneshot;

use crate::cancellation;
use crate::memory_budget;
use crate::memory_budget::ledger;
use crate::server_connection;

pub use server::{
    Handler, MAX_CONNECTIONS, MAX_STREAMS, RunningServer, ServerLimits, serve, serve_within,
};

/// Largest status in the protocol.
const MAX_STATUS: u16 = 599;
/// Time within which a TCP connection has to be established.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Interval at which HTTP/2 peers are pinged.
const PING_INTERVAL: time::Duration = time::Duration::from_secs(2);
/// Time within which a peer has to answer a ping before its connection is closed.
const PING_TIMEOUT: time::Duration = time::Duration::from_secs(3);
/// Bytes that a peer may send on one stream before this process has read them.
const STREAM_WINDOW: u32 = 64 << 10;
/// The same for all streams of a connection. The HTTP/2 library derives from it how many small chunks it
/// holds: one more closes the connection with all its streams.
const CONNECTION_WINDOW: u32 = 4 << 20;

/// Error with which a body that cannot be sent whole is aborted; the peer receives a broken stream.
#[derive(Clone, Copy, Debug, derive_more::Display, derive_more::Error)]
#[display("the answer broke off; ask again")]
pub struct StreamAborted;

/// Body of a message that this process sends.
#[derive(Debug)]
pub enum Body {
    /// All bytes are in memory.
    Full(http_body_util::Full<bytes::Bytes>),
    /// Bytes arrive through a channel. Dropping the body drops the one-shot sender, which notifies
    /// the [`BodySender`] that the peer has disconnected, and the guard of the request, if any.
    Stream(
        http_body_util::channel::Channel<bytes::Bytes, StreamAborted>,
        oneshot::Sender<()>,
        Option<cancellation::Guard>,
    ),
}

/// Sending end of a streamed body.
#[derive(Debug)]
pub struct BodySender {
    channel: http_body_util::channel::Sender<bytes::Bytes, StreamAborted>,
    dropped: oneshot::Receiver<()>,
}

impl BodySender {
    /// Sends bytes; returns whether the peer is still connected.
    pub async fn send(&mut self, data: bytes::Bytes) -> bool {
        self.channel.send_data(data).await.is_ok()
    }

    /// Waits until the peer disconnects.
    pub async fn closed(&mut self) {
        // The other half never sends; it is only dropped.
        let _ = (&mut self.dropped).await;
    }

    /// Aborts the body, so that the peer does not take it for a whole one.
    pub fn abort(self) {
        self.channel.abort(StreamAborted);
    }
}

impl Body {
    /// Makes a body from bytes in memory.
    pub fn full(data: impl Into<bytes::Bytes>) -> Self {
        Self::Full(http_body_util::Full::new(data.into()))
    }

    /// Makes a streamed body whose channel holds at most `buffer` chunks.
    pub fn stream(buffer: usize) -> (BodySender, Self) {
        let (channel, body) = http_body_util::channel::Channel::new(buffer);
        let (guard, dropped) = oneshot::channel();
        (BodySender { channel, dropped }, Self::Stream(body, guard, None))
    }

    /// Takes over the guard of the request that this body answers. A body in memory is the whole
    /// answer, so the request has ended.
    pub fn take_guard(&mut self, guard: cancellation::Guard) {
        match self {
            Self::Full(_) => guard.disarm(),
            Self::Stream(_, _, slot) => *slot = Some(guard),
        }
    }
}

impl hyper::body::Body for Body {
    type Data = bytes::Bytes;
    type Error = StreamAborted;

    fn poll_frame(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<hyper::body::Frame<bytes::Bytes>, StreamAborted>>> {
        match self.get_mut() {
            Self::Full(body) => pin::Pin::new(body).poll_frame(cx).map_err(|never| match never {}),
            Self::Stream(body, ..) => pin::Pin::new(body).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(body) => body.is_end_stream(),
            Self::Stream(body, ..) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        match self {
            Self::Full(body) => body.size_hint(),
            Self::Stream(body, ..) => body.size_hint(),
        }
    }
}

/// A body that could not be read whole.
#[derive(Clone, Copy, Debug, derive_more::Display, derive_more::Error, Eq, PartialEq)]
pub enum ReadError {
    /// The body exceeds the limit.
    #[display("the body is too large; send less")]
    TooLarge,
    /// The bodies that are being read exceed the memory for them.
    #[display("too many large bodies are being read; try again later")]
    OverBudget,
    /// The body did not arrive in time.
    #[display("the body did not arrive in time; send it without pauses")]
    Timeout,
    /// The connection broke inside the body.
    #[display("the body ended early; send all of it")]
    Incomplete,
}

impl ReadError {
    /// Returns the label of the metric.
    fn reason(self) -> &'static str {
        match self {
            Self::TooLarge => "too_large",
            Self::OverBudget => "over_budget",
            Self::Timeout => "timeout",
            Self::Incomplete => "incomplete",
        }
    }
}

/// Returns whether a status exists in the protocol. The HTTP library accepts any of three digits.
pub fn is_status(status: u16) -> bool {
    status <= MAX_STATUS
}

/// Returns whether the network, not the peer, ended a connection: bytes were not acknowledged in
/// time, or the peer cannot be reached any more.
pub fn is_timed_out(error: &(dyn error::Error + 'static)) -> bool {
    let chain = std::iter::successors(Some(error), |error| error.source());
    chain.filter_map(|error| error.downcast_ref::<io::Error>()).any(|error| {
        matches!(
            error.kind(),
            io::ErrorKind::TimedOut
                | io::ErrorKind::HostUnreachable
                | io::ErrorKind::NetworkUnreachable
        )
    })
}

/// Reads a whole body.
///
/// # Errors
/// Fails if the body has more than `limit` bytes, takes longer than `timeout` or breaks off.
pub async fn read_body(
    body: hyper::body::Incoming,
    limit: u64,
    timeout: time::Duration,
) -> Result<bytes::Bytes, ReadError> {
    // If the head declares the length, it is checked before any of the body is read.
    if body.size_hint().lower() > limit {
        return Err(ReadError::TooLarge);
    }
    let limit = usize::try_from(limit).unwrap_or(usize::MAX);
    with_timeout(timeout, collect_unaccounted(body, limit)).await.unwrap_or(Err(ReadError::Timeout))
}

async fn collect_unaccounted(
    mut body: hyper::body::Incoming,
    limit: usize,
) -> Result<bytes::Bytes, ReadError> {
    let mut collected = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| read_error(&e))?;
        let Ok(data) = frame.into_data() else { continue };
        if collected.len() + data.len() > limit {
            return Err(ReadError::TooLarge);
        }
        collected.extend_from_slice(&data);
    }
    Ok(collected.into())
}

/// Reads a whole body like [`read_body`], within the memory budget of the process.
///
/// # Errors
/// Fails also if the budget stays used up for [`MEMORY_WAIT`].
pub async fn read_body_within(
    body: hyper::body::Incoming,
    limit: u64,
    timeout: time::Duration,
    budget: &memory_budget::Budget,
) -> Result<bytes::Bytes, ReadError> {
    if body.size_hint().lower() > limit {
        return Err(ReadError::TooLarge);
    }
    let mut share = budget.share(ledger::Purpose::Receiving, None);
    let read = collect(body, limit, &mut share, MEMORY_WAIT);
    with_timeout(timeout, read).await.unwrap_or(Err(ReadError::Timeout))?;
    share.into_bytes(ledger::Purpose::Answer).map_err(|_| ReadError::OverBudget)
}

/// Reads the whole body of a request within the memory budget of the process. `connection` is that of
/// the request, `None` if no server of this module received it.
///
/// # Errors
/// Fails if the body has more than `limit` bytes, takes longer than `timeout` or breaks off, or if the
/// budget is used up or the connection has to make way for another one. The rest of the body is not read,
/// and the connection is closed after the answer.
pub async fn receive_body(
    body: hyper::body::Incoming,
    limit: u64,
    timeout: time::Duration,
    budget: &memory_budget::Budget,
    connection: Option<&server_connection::Handle>,
) -> Result<bytes::Bytes, ReadError> {
    let result = if body.size_hint().lower() > limit {
        Err(ReadError::TooLarge)
    } else {
        let caller = connection.map(server_connection::Handle::caller);
        let mut share = budget.share(ledger::Purpose::Arriving, caller);
        let evicted = share.evicted();
        let head = share.add_extra(connection.map_or(0, server_connection::Handle::head_bytes));
        let read = async {
            head.map_err(|_| ReadError::OverBudget)?;
            collect(body, limit, &mut share, time::Duration::ZERO).await
        };
        let read = tokio::select! {
            read = with_timeout(timeout, read) => read.unwrap_or(Err(ReadError::Timeout)),
            () = evicted => Err(ReadError::OverBudget),
            () = server_connection::closing(connection) => Err(ReadError::OverBudget),
        };
        read.and_then(|()| {
            share.into_bytes(ledger::Purpose::Kept).map_err(|_| ReadError::OverBudget)
        })
    };
    if let Some(connection) = connection {
        connection.end_body(result.is_ok());
    }
    if let Err(e) = &result {
        metrics::counter!("bodies_refused_total", "reason" => e.reason()).increment(1);
    }
    result
}

/// Time for which an answer waits for memory before it is given up.
const MEMORY_WAIT: time::Duration = time::Duration::from_millis(300);
/// Interval at which an answer that waits asks for memory again.
const MEMORY_POLL: time::Duration = time::Duration::from_millis(20);

/// Copies the chunks of a body into the buffer of a share, so that no chunk keeps a read buffer alive.
async fn collect(
    mut body: hyper::body::Incoming,
    limit: u64,
    share: &mut memory_budget::Share,
    memory_wait: time::Duration,
) -> Result<(), ReadError> {
    let limit = usize::try_from(limit).unwrap_or(usize::MAX);
    let declared = body.size_hint().exact().and_then(|length| usize::try_from(length).ok());
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| read_error(&e))?;
        let Ok(data) = frame.into_data() else { continue };
        length += data.len();
        if length > limit {
            return Err(ReadError::TooLarge);
        }
        let until = time::Instant::now() + memory_wait;
        while share.append(&data, declared.unwrap_or(limit)).is_err() {
            if time::Instant::now() >= until {
                return Err(ReadError::OverBudget);
            }
            tokio::time::sleep(MEMORY_POLL).await;
        }
    }
    Ok(())
}

fn read_error(error: &hyper::Error) -> ReadError {
    if is_timed_out(error) { ReadError::Timeout } else { ReadError::Incomplete }
}

/// Reads a body and drops its bytes; returns whether it ended in time and within the limit.
pub async fn skip_body(
    mut body: hyper::body::Incoming,
    limit: u64,
    timeout: time::Duration,
) -> bool {
    let skip = async {
        let mut length = 0;
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else { return false };
            length += frame.data_ref().map_or(0, bytes::Bytes::len) as u64;
            if length > limit {
                return false;
            }
        }
        true
    };
    with_timeout(timeout, skip).await.unwrap_or(false)
}

/// HTTP client with a connection pool.
pub type Client = legacy::Client<legacy::connect::HttpConnector, Body>;

fn connector() -> legacy::connect::HttpConnector {
    let mut connector = legacy::connect::HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector
}

/// Makes an HTTP/1.1 client. Without `reuse`, every request opens its own connection, so that a
/// request is never sent on a connection that the server is just closing.
pub fn client(reuse: bool) -> Client {
    let idle = if reuse { usize::MAX } else { 0 };
    legacy::Client::builder(rt::TokioExecutor::new())
        .pool_timer(rt::TokioTimer::new())
        .pool_max_idle_per_host(idle)
        .retry_canceled_requests(false)
        .build(connector())
}

/// Makes an HTTP/2 client for requests to other processes of the system.
pub fn peer_client() -> Client {
    legacy::Client::builder(rt::TokioExecutor::new())
        .pool_timer(rt::TokioTimer::new())
        .timer(rt::TokioTimer::new())
        .http2_only(true)
        .http2_initial_stream_window_size(STREAM_WINDOW)
        .http2_initial_connection_window_size(CONNECTION_WINDOW)
        .http2_keep_alive_interval(PING_INTERVAL)
        .http2_keep_alive_timeout(PING_TIMEOUT)
        .retry_canceled_requests(false)
        .build(connector())
}

/// Makes a POST request with a body in memory.
///
/// # Panics
/// Panics if the address and path do not form a URI; callers check that first.
pub fn post(
    address: net::SocketAddr,
    path: &str,
    body: impl Into<bytes::Bytes>,
) -> hyper::Request<Body> {
    hyper::Request::post(format!("http://{address}{path}"))
        .body(Body::full(body))
        .expect("addresses and paths are checked when settings are read")
}

/// Makes a response with a body in memory.
///
/// # Panics
/// Never: the media types are constants of this crate or were parsed as header values.
pub fn respond(status: u16, media: &str, body: impl Into<bytes::Bytes>) -> hyper::Response<Body> {
    hyper::Response::builder()
        .status(status)
        .header(hyper::header::CONTENT_TYPE, media)
        .body(Body::full(body))
        .expect("statuses and media types are valid")
}

/// Makes a JSON response.
pub fn respond_json(status: u16, value: &serde_json::Value) -> hyper::Response<Body> {
    respond(status, "application/json", value.to_string())
}

/// Lets a socket be reset when it is closed, by taking its linger time away.
pub fn reset_on_close(stream: &tokio::net::TcpStream) {
    // Fails only for a socket that is already closed.
    let _ = socket2::SockRef::from(stream).set_linger(Some(time::Duration::ZERO));
}

/// Listens on an address.
///
/// # Errors
/// Fails if the address is in use or does not belong to this instance.
pub async fn listen(address: net::SocketAddr) -> io::Result<tokio::net::TcpListener> {
    tokio::net::TcpListener::bind(address).await
}

/// Waits for a future for at most `limit`; `None` if it has not completed by then.
pub async fn with_timeout<T>(
    limit: time::Duration,
    work: impl future::Future<Output = T>,
) -> Option<T> {
    tokio::time::timeout(limit, work).await.ok()
}
