//! Server side of the HTTP building blocks: accepts connections within limits, waits for their heads, and
//! stops gracefully.

use std::cell;
use std::future;
use std::io;
use std::net;
use std::task;
use std::time;

use hyper_util::rt;
use hyper_util::server::conn::auto;
use tokio::sync::watch;

use crate::caller_socket;
use crate::http;
use crate::memory_budget;
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
/// Largest request head, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Largest number of header fields in a request.
const MAX_HEADERS: usize = 64;
/// Largest number of concurrent streams on an HTTP/2 connection.
pub const MAX_STREAMS: u32 = 4_096;
/// The same on the connection of a caller.
const CALLER_STREAMS: u32 = 256;
/// Largest number of connections of a listener whose limits do not follow from a memory budget.
pub const MAX_CONNECTIONS: usize = 8_192;

/// Answers the requests of a server.
pub trait Handler: Clone + Send + 'static {
    /// Answers one request.
    fn handle(
        &self,
        request: hyper::Request<hyper::body::Incoming>,
    ) -> impl Future<Output = hyper::Response<http::Body>> + Send;
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
    let target = request.uri().path_and_query().map_or("", |target| target.as_str());
    bytes + target.len()
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
        .max_concurrent_streams(limits.streams)
        // A process that was frozen finds requests together with their cancellations; they take no
        // more memory than as many open ones.
        .max_pending_accept_reset_streams(limits.streams as usize);
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
