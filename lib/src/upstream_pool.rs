//! Connection pool for upstreams. It keeps few connections, reuses them, and never sends a request
//! twice.
//!
//! Each connection carries one request at a time. A request of which no byte was written fails with
//! [`SendError::Unsent`]. Every other failure is [`SendError::Broken`], because the upstream may
//! have begun to process the request.

use std::collections;
use std::net;
use std::sync;
use std::time;

use hyper::client::conn::http1;
use hyper_util::rt;

use crate::http;

mod socket;

/// Time within which a connection has to be established. A lost SYN packet is retransmitted only
/// after a second.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(600);
/// Time after which unacknowledged bytes break a connection, so that an unresponsive peer is
/// detected.
const TCP_USER_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Idle time after which a connection is closed if the upstream does not state its own timeout.
const DEFAULT_IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Time within which a connection has to become ready after its last answer was read.
const READY_TIMEOUT: time::Duration = time::Duration::from_millis(20);
/// Share of the upstream's stated idle timeout after which this side closes the connection, so that
/// a request does not meet a connection that the upstream is closing.
const IDLE_TIMEOUT_SHARE: f64 = 0.6;
/// Largest read buffer of a connection, in bytes, which also limits the head of an answer.
const MAX_READ_BYTES: usize = 64 << 10;
/// Divisor of an upstream's connection limit: one gateway may use one eighth of its connections.
const CONNECTION_DIVISOR: u32 = 8;
/// Connections that a gateway may always open to an upstream, however low its limit.
const MIN_CONNECTIONS: u32 = 4;

/// Why a request got no answer.
#[derive(Clone, Copy, Debug, derive_more::Display, derive_more::Error, Eq, PartialEq)]
pub enum SendError {
    /// No byte of the request reached the upstream.
    #[display("the upstream could not be reached; the request did not run")]
    Unsent,
    /// The request may have reached the upstream.
    #[display("the connection broke; the request may have run")]
    Broken,
    /// The same, and the network broke the connection, not the upstream.
    #[display("the connection timed out; the request may have run")]
    TimedOut,
}

/// Why a connection gave no answer.
#[derive(Debug)]
enum TrySendError {
    /// No byte of the request was written.
    Unsent(Box<hyper::Request<http::Body>>),
    /// The request may have reached the upstream.
    Failed(SendError),
}

#[derive(Debug)]
struct Connection {
    sender: http1::SendRequest<http::Body>,
    in_use: socket::InUse,
    idle_since: time::Instant,
    idle_timeout: time::Duration,
    /// Hash of the last body that was checked for duplicates.
    body_hash: u64,
}

#[derive(Debug, Default)]
struct Upstream {
    idle: Vec<Connection>,
    /// Number of connections, idle or in use.
    open: u32,
}

/// Pool of connections to all upstreams; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    upstreams: sync::Arc<sync::Mutex<collections::BTreeMap<net::SocketAddr, Upstream>>>,
}

/// A connection in use. It is reset when dropped unless it is released to the pool.
#[derive(Debug)]
pub struct PooledConnection {
    pool: Pool,
    address: net::SocketAddr,
    connection: Option<Connection>,
    is_returned: bool,
}

impl Pool {
    fn upstreams(&self) -> sync::MutexGuard<'_, collections::BTreeMap<net::SocketAddr, Upstream>> {
        self.upstreams.lock().expect("no holder panics")
    }

    /// Sends a request on an idle or a new connection. `max_connections` is the number of
    /// connections that the upstream accepts from all gateways together.
    ///
    /// # Errors
    /// The error states whether the request may have reached the upstream.
    pub async fn send(
        &self,
        address: net::SocketAddr,
        max_connections: u32,
        mut request: hyper::Request<http::Body>,
    ) -> Result<(hyper::Response<hyper::body::Incoming>, PooledConnection), SendError> {
        while let Some(mut connection) = self.take_idle(address) {
            match connection.try_send(request).await {
                Ok(response) => return Ok((response, connection)),
                // The upstream closed the connection while it was idle.
                Err(TrySendError::Unsent(unsent)) => request = *unsent,
                Err(TrySendError::Failed(e)) => return Err(e),
            }
        }
        let mut connection =
            self.connect(address, max_connections).await.ok_or(SendError::Unsent)?;
        match connection.try_send(request).await {
            Ok(response) => Ok((response, connection)),
            Err(TrySendError::Unsent(_)) => Err(SendError::Unsent),
            Err(TrySendError::Failed(e)) => Err(e),
        }
    }

    /// Closes connections that were idle for too long, and drops upstreams without connections.
    pub fn prune(&self) {
        self.upstreams().retain(|_, upstream| {
            let before = upstream.idle.len();
            upstream.idle.retain(Connection::is_reusable);
            let closed = u32::try_from(before - upstream.idle.len()).unwrap_or(0);
            upstream.open = upstream.open.saturating_sub(closed);
            upstream.open > 0
        });
    }

    fn take_idle(&self, address: net::SocketAddr) -> Option<PooledConnection> {
        let mut upstreams = self.upstreams();
        let upstream = upstreams.get_mut(&address)?;
        while let Some(connection) = upstream.idle.pop() {
            if connection.is_reusable() {
                let pool = self.clone();
                let connection = Some(connection);
                return Some(PooledConnection { pool, address, connection, is_returned: false });
            }
            upstream.open = upstream.open.saturating_sub(1);
        }
        None
    }

    async fn connect(
        &self,
        address: net::SocketAddr,
        max_connections: u32,
    ) -> Option<PooledConnection> {
        {
            let mut upstreams = self.upstreams();
            let upstream = upstreams.entry(address).or_default();
            if upstream.open >= connection_limit(max_connections) {
                return None;
            }
            upstream.open += 1;
        }
        // From here on, dropping `pooled` decrements the count.
        let pool = self.clone();
        let mut pooled = PooledConnection { pool, address, connection: None, is_returned: false };
        let stream =
            http::with_timeout(CONNECT_TIMEOUT, tokio::net::TcpStream::connect(address)).await;
        let stream = stream?.ok()?;
        set_socket_options(&stream).ok()?;
        let in_use = socket::InUse::default();
        let stream = socket::UpstreamSocket::new(stream, in_use.clone());
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(MAX_READ_BYTES)
            .handshake(rt::TokioIo::new(stream))
            .await
            .ok()?;
        tokio::spawn(async move {
            if let Err(e) = driver.await {
                log::debug!("event=upstream_connection_ended address={address} error={e:?}");
            }
        });
        metrics::counter!("gateway_upstream_connections_total").increment(1);
        let idle_since = time::Instant::now();
        pooled.connection = Some(Connection {
            sender,
            in_use,
            idle_since,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            body_hash: 0,
        });
        Some(pooled)
    }
}

/// Returns how many connections a gateway may have to an upstream that accepts so many from all gateways
/// together.
pub fn connection_limit(max_connections: u32) -> u32 {
    (max_connections / CONNECTION_DIVISOR).max(MIN_CONNECTIONS)
}

/// Sets the socket options of a connection: no delay of small packets, and a time-out by which an
/// unresponsive peer is detected.
///
/// # Errors
/// Fails if the system refuses an option.
pub fn set_socket_options(stream: &tokio::net::TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    socket2::SockRef::from(stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}

impl Connection {
    fn is_reusable(&self) -> bool {
        !self.sender.is_closed() && self.idle_since.elapsed() < self.idle_timeout
    }
}

impl PooledConnection {
    /// Sends a request on this connection.
    async fn try_send(
        &mut self,
        request: hyper::Request<http::Body>,
    ) -> Result<hyper::Response<hyper::body::Incoming>, TrySendError> {
        let Some(connection) = &mut self.connection else {
            return Err(TrySendError::Unsent(Box::new(request)));
        };
        let ready = http::with_timeout(READY_TIMEOUT, connection.sender.ready()).await;
        if !matches!(ready, Some(Ok(()))) {
            return Err(TrySendError::Unsent(Box::new(request)));
        }
        connection.in_use.set(true);
        match connection.sender.try_send_request(request).await {
            Ok(response) => {
                if let Some(timeout) = keep_alive_timeout(response.headers()) {
                    connection.idle_timeout = timeout.mul_f64(IDLE_TIMEOUT_SHARE);
                }
                Ok(response)
            }
            Err(mut e) => Err(match e.take_message() {
                Some(unsent) => TrySendError::Unsent(Box::new(unsent)),
                None if http::is_timed_out(e.error()) => TrySendError::Failed(SendError::TimedOut),
                None => TrySendError::Failed(SendError::Broken),
            }),
        }
    }

    /// Records the hash of a body; returns whether it equals that of the last body recorded on this
    /// connection.
    pub fn is_duplicate(&mut self, body: &[u8]) -> bool {
        let Some(connection) = &mut self.connection else { return false };
        let hash = xxhash_rust::xxh3::xxh3_64(body);
        std::mem::replace(&mut connection.body_hash, hash) == hash
    }

    /// Returns the connection to the pool. Its answer must have been read whole.
    pub fn release(mut self) {
        let Some(mut connection) = self.connection.take() else { return };
        connection.in_use.set(false);
        connection.idle_since = time::Instant::now();
        self.is_returned = true;
        self.pool.upstreams().entry(self.address).or_default().idle.push(connection);
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        // A released connection stays open.
        if self.is_returned {
            return;
        }
        let mut upstreams = self.pool.upstreams();
        if let Some(upstream) = upstreams.get_mut(&self.address) {
            upstream.open = upstream.open.saturating_sub(1);
        }
    }
}

/// Returns the upstream's idle timeout from the `Keep-Alive` header.
fn keep_alive_timeout(headers: &hyper::HeaderMap) -> Option<time::Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.parse::<u32>().ok().map(|seconds| time::Duration::from_secs(seconds.into()))
}
