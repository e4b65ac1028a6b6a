//! HTTP building blocks on `hyper` that all processes share: bodies, bounded reads, clients and a
//! server with a graceful stop.

use std::cell;
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
use hyper_util::server::conn::auto;
use tokio::sync::{oneshot, watch};

use crate::caller_socket;
use crate::memory_budget;
use crate::memory_budget::ledger;
use crate::server_connection;

/// Time within which a client has to send the head of its first request.
const HEAD_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// Time after which an idle connection is closed. It is longer than the usual idle timeout of
/// balancers, so that they close idle connections first.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(75);
/// Interval at which a head that has arrived in part is checked again.
const HEAD_POLL: time::Duration = time::Duration::from_millis(20);
/// The longest such interval. It doubles while no more of the head arrives.
const MAX_HEAD_POLL: time::Duration = time::Duration::from_millis(160);
/// Time that a connection which makes way for another one has to send its refusal.
const CLOSE_TIME: time::Duration = time::Duration::from_millis(500);
/// Time that a connection which was established before the stop has to send its first head.
const STOP_HEAD_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Pause without a new connection after which a stopping server closes its listener.
const STOP_ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(5);
/// Longest time that a stopping server continues to accept connections.
const STOP_ACCEPT_LIMIT: time::Duration = time::Duration::from_millis(200);
/// Response if the head does not arrive in time.
const HEAD_TIMEOUT_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
/// Time within which a TCP connection has to be established.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Largest request head, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Largest number of header fields in a request.
const MAX_HEADERS: usize = 64;
/// Largest number of concurrent streams on an HTTP/2 connection.
pub const MAX_STREAMS: u32 = 4_096;
/// The same on the connection of a caller.
const CALLER_STREAMS: u32 = 256;
/// Largest number of connections of one listener; further ones are closed at once.
pub const MAX_CONNECTIONS: usize = 8_192;
/// Interval at which HTTP/2 peers are pinged.
const PING_INTERVAL: time::Duration = time::Duration::from_secs(2);
/// Time within which a peer has to answer a ping before its connection is closed.
const PING_TIMEOUT: time::Duration = time::Duration::from_secs(3);

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
    /// the [`BodySender`] that the peer has disconnected.
    Stream(http_body_util::channel::Channel<bytes::Bytes, StreamAborted>, oneshot::Sender<()>),
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
        (BodySender { channel, dropped }, Self::Stream(body, guard))
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
            Self::Stream(body, _) => pin::Pin::new(body).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(body) => body.is_end_stream(),
            Self::Stream(body, _) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        match self {
            Self::Full(body) => body.size_hint(),
            Self::Stream(body, _) => body.size_hint(),
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
        .http2_adaptive_window(true)
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

/// Answers the requests of a server.
pub trait Handler: Clone + Send + 'static {
    /// Answers one request.
    fn handle(
        &self,
        request: hyper::Request<hyper::body::Incoming>,
    ) -> impl Future<Output = hyper::Response<Body>> + Send;
}

/// A server that runs in a task of its own.
#[derive(Debug)]
pub struct RunningServer {
    task: tokio::task::JoinHandle<()>,
    stop: watch::Sender<bool>,
}

impl RunningServer {
    /// Starts to serve a listener; see [`serve_within`].
    pub fn spawn<H: Handler>(
        listener: tokio::net::TcpListener,
        handler: H,
        limits: ServerLimits,
    ) -> Self {
        let (stop, stopping) = watch::channel(false);
        Self { task: tokio::spawn(serve_within(listener, handler, stopping, limits)), stop }
    }

    /// Stops to accept connections; requests in progress continue.
    pub fn close(&self) {
        self.stop.send_replace(true);
    }

    /// Waits until the last connection has ended after [`close`](Self::close). It can be cancelled
    /// and called again, but not after it has returned.
    pub async fn closed(&mut self) {
        // The task fails only if it panicked, and then it has no connections either.
        let _ = (&mut self.task).await;
    }
}

/// Limits of a server.
#[derive(Clone, Debug)]
pub struct ServerLimits {
    /// Largest number of connections.
    pub connections: usize,
    /// Largest number of concurrent requests on an HTTP/2 connection.
    pub streams: u32,
    /// Budget by whose use the server decides how long it waits for callers that do not read. If `None`,
    /// it does not depend on the use of memory.
    pub budget: Option<memory_budget::Budget>,
}

impl ServerLimits {
    /// Returns the limits of a listener for callers.
    pub fn for_callers(budget: &memory_budget::Budget) -> Self {
        let connections = budget.limits().callers;
        let budget = Some(budget.clone());
        Self { connections, streams: CALLER_STREAMS, budget }
    }

    /// Returns the limits of a listener for other processes of the system.
    pub fn for_peers(budget: &memory_budget::Budget) -> Self {
        let connections = budget.limits().peers;
        Self { connections, streams: MAX_STREAMS, budget: Some(budget.clone()) }
    }
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self { connections: MAX_CONNECTIONS, streams: MAX_STREAMS, budget: None }
    }
}

/// Serves a listener with the default limits; see [`serve_within`].
pub async fn serve<H: Handler>(
    listener: tokio::net::TcpListener,
    handler: H,
    stop: watch::Receiver<bool>,
) {
    serve_within(listener, handler, stop, ServerLimits::default()).await;
}

/// Serves a listener until `stop` turns true, and then lets requests in progress finish.
///
/// Connections that were established before the stop are served too, as their clients may have sent
/// a request. Returns when the last connection has ended.
pub async fn serve_within<H: Handler>(
    listener: tokio::net::TcpListener,
    handler: H,
    mut stop: watch::Receiver<bool>,
    limits: ServerLimits,
) {
    let register = server_connection::Register::new(limits.connections);
    let server = Server { handler, limits, register, stop: stop.clone() };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => break,
        };
        if let Err(e) = &accepted {
            log::warn!("event=accept_failed error={e:?}");
            tokio::time::sleep(time::Duration::from_millis(50)).await;
            continue;
        }
        server.spawn_connection(accepted);
    }
    let end = tokio::time::Instant::now() + STOP_ACCEPT_LIMIT;
    while tokio::time::Instant::now() < end
        && let Ok(accepted) = tokio::time::timeout(STOP_ACCEPT_PAUSE, listener.accept()).await
    {
        server.spawn_connection(accepted);
    }
    drop(listener);
    server.register.all_ended().await;
}

/// What the connections of a listener share.
struct Server<H> {
    handler: H,
    limits: ServerLimits,
    register: server_connection::Register,
    stop: watch::Receiver<bool>,
}

impl<H: Handler> Server<H> {
    /// Serves an accepted connection in a task of its own. Closes it if there is no room for it.
    fn spawn_connection(&self, accepted: io::Result<(tokio::net::TcpStream, net::SocketAddr)>) {
        // The connection was reset before it was accepted.
        let Ok((stream, address)) = accepted else { return };
        let Some(connection) = self.register.admit(address.ip()) else { return };
        let (handler, stop, limits) =
            (self.handler.clone(), self.stop.clone(), self.limits.clone());
        tokio::spawn(async move {
            serve_connection(stream, handler, stop, limits, connection.handle()).await;
            drop(connection);
        });
    }
}

thread_local! {
    /// Buffer into which all connections of a thread peek, one after the other, so that a head that has
    /// arrived in part holds no memory of the process.
    static PEEKED: cell::RefCell<Vec<u8>> = cell::RefCell::new(vec![0; MAX_HEAD_BYTES]);
}

/// Looks at the received bytes of a socket without consuming them. Returns their number, and whether a
/// head ends among them. Bytes before `seen` were examined before.
async fn peek_head(stream: &tokio::net::TcpStream, seen: usize) -> io::Result<(usize, bool)> {
    future::poll_fn(|cx| {
        PEEKED.with_borrow_mut(|buffer| {
            let mut peeked = tokio::io::ReadBuf::new(buffer);
            let bytes = std::task::ready!(stream.poll_peek(cx, &mut peeked))?;
            // The end of the head may begin in the last three bytes examined before.
            let new = &peeked.filled()[seen.saturating_sub(3).min(bytes)..];
            let is_whole = new.windows(4).any(|window| window == b"\r\n\r\n");
            task::Poll::Ready(Ok((bytes, is_whole)))
        })
    })
    .await
}

/// Waits until the socket has received a whole head, without consuming it. Returns false if the
/// peer disconnects first.
async fn wait_for_head(stream: &tokio::net::TcpStream) -> bool {
    let (mut seen, mut pause) = (0, HEAD_POLL);
    loop {
        let Ok((bytes, is_whole)) = peek_head(stream, seen).await else { return false };
        // The HTTP server refuses a head that exceeds its limit.
        if is_whole || bytes == MAX_HEAD_BYTES {
            return true;
        }
        if bytes == 0 {
            return false;
        }
        pause = if bytes == seen { (pause * 2).min(MAX_HEAD_POLL) } else { HEAD_POLL };
        seen = bytes;
        tokio::time::sleep(pause).await;
    }
}

/// Waits for the head of a connection's first request. A connection on which none arrives must not
/// hold its slot for long, and even less once the server stops.
async fn wait_for_first_head(
    stream: &tokio::net::TcpStream,
    stop: &mut watch::Receiver<bool>,
) -> Result<bool, tokio::time::error::Elapsed> {
    let head = tokio::time::timeout(HEAD_TIMEOUT, wait_for_head(stream));
    tokio::pin!(head);
    tokio::select! {
        head = &mut head => return head,
        _ = stop.wait_for(|stop| *stop) => {}
    }
    tokio::time::timeout(STOP_HEAD_TIMEOUT, head).await.unwrap_or(Ok(false))
}

/// Memory of a header besides its name and its value.
const HEADER_BYTES: usize = 96;

/// Returns about how much memory the head of a request takes.
fn head_size<B>(request: &hyper::Request<B>) -> usize {
    let headers = request.headers().iter();
    let size = |name: &str, value: &hyper::header::HeaderValue| name.len() + value.len();
    let bytes: usize = headers.map(|(name, value)| size(name.as_str(), value) + HEADER_BYTES).sum();
    bytes + request.uri().path().len()
}

async fn serve_connection<H: Handler>(
    stream: tokio::net::TcpStream,
    handler: H,
    mut stop: watch::Receiver<bool>,
    limits: ServerLimits,
    handle: server_connection::Handle,
) {
    let head = tokio::select! {
        head = wait_for_first_head(&stream, &mut stop) => head.ok(),
        () = handle.closing() => None,
    };
    match head {
        Some(true) => {}
        Some(false) => return,
        None => {
            // A failure is ignored, because the connection is closed anyway.
            let _ = stream.try_write(HEAD_TIMEOUT_RESPONSE);
            return;
        }
    }
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut builder = auto::Builder::new(rt::TokioExecutor::new());
    builder
        .http1()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .max_headers(MAX_HEADERS);
    builder
        .http2()
        .timer(rt::TokioTimer::new())
        .adaptive_window(true)
        .max_header_list_size(MAX_HEAD_BYTES as u32)
        .max_concurrent_streams(limits.streams);
    let unframed = caller_socket::Unframed::default();
    let socket =
        caller_socket::CallerSocket::new(stream, unframed.clone(), handle.clone(), limits.budget);
    let served = handle.clone();
    let service = hyper::service::service_fn(move |mut request: hyper::Request<_>| {
        unframed.note(request.version());
        let handler = handler.clone();
        let running = served.begin_request(hyper::body::Body::is_end_stream(request.body()));
        let head_bytes = head_size(&request);
        request.extensions_mut().insert(served.clone().with_head(head_bytes));
        async move {
            let response = handler.handle(request).await;
            running.answer_begins();
            let response = response.map(|body| server_connection::AnswerBody::new(body, running));
            Ok::<_, std::convert::Infallible>(response)
        }
    });
    let connection = builder.serve_connection(rt::TokioIo::new(socket), service);
    tokio::pin!(connection);
    let mut stopping = false;
    let mut close_at = None;
    loop {
        let close_time = close_at.unwrap_or_else(tokio::time::Instant::now);
        tokio::select! {
            // The connection goes first, so that it reads a request that has arrived before it is
            // told to accept no more.
            biased;
            ended = connection.as_mut() => {
                if let Err(e) = ended {
                    log::debug!("event=connection_ended error={:?}", e.to_string());
                }
                return;
            }
            _ = stop.wait_for(|stop| *stop), if !stopping => {
                stopping = true;
                connection.as_mut().graceful_shutdown();
            }
            () = handle.closing(), if close_at.is_none() => {
                close_at = Some(tokio::time::Instant::now() + CLOSE_TIME);
                connection.as_mut().graceful_shutdown();
            }
            // A request that arrived whole just before the decision still gets its answer.
            () = tokio::time::sleep_until(close_time), if close_at.is_some() => {
                if !handle.is_running() {
                    return;
                }
                close_at = Some(tokio::time::Instant::now() + CLOSE_TIME);
            }
        }
    }
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
