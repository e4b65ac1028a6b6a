//! Connections to upstreams: few, kept for reuse, and never a reason to send a request twice.
//!
//! Each connection carries one request at a time. A request that could not be written comes back as
//! [`SendError::Unsent`], all else that goes wrong as [`SendError::Broken`], because the upstream
//! may have begun to work on it.

use std::collections;
use std::net;
use std::sync;
use std::time;

use hyper::client::conn::http1;
use hyper_util::rt;

use crate::http;

/// Time for a connection to come about; a lost opening packet is sent again only after a second.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(600);
/// Time after which unacknowledged bytes break a connection, so that a silent peer is noticed.
const USER_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Time for which a connection may rest if the upstream does not say how long it keeps it.
const DEFAULT_REST: time::Duration = time::Duration::from_secs(1);
/// Time that a connection has to become free after its last answer was read.
const READY_TIMEOUT: time::Duration = time::Duration::from_millis(20);
/// Part of the time that the upstream states for which a connection may rest.
const REST_SHARE: f64 = 0.6;
/// Part of the connections of an upstream that one gateway may use.
const CONNECTION_SHARE: u32 = 8;
/// Connections that one gateway may always have to an upstream.
const LEAST_CONNECTIONS: u32 = 4;

/// A request that was not answered.
#[derive(Clone, Copy, Debug, derive_more::Display, derive_more::Error, Eq, PartialEq)]
pub enum SendError {
    /// No byte of it reached the upstream.
    #[display("the upstream could not be reached; the request did not run")]
    Unsent,
    /// It may have reached the upstream.
    #[display("the connection broke; the request may have run")]
    Broken,
}

#[derive(Debug)]
struct Connection {
    sender: http1::SendRequest<http::Body>,
    rested: time::Instant,
    rest: time::Duration,
    last_body: u64,
}

#[derive(Debug, Default)]
struct Peer {
    idle: Vec<Connection>,
    open: u32,
}

/// Connections to all upstreams.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    peers: sync::Arc<sync::Mutex<collections::BTreeMap<net::SocketAddr, Peer>>>,
}

/// A connection that carries a request; it is closed when dropped, unless it is given back.
#[derive(Debug)]
pub struct PooledConnection {
    pool: Pool,
    address: net::SocketAddr,
    connection: Option<Connection>,
    is_returned: bool,
}

impl Pool {
    fn peers(&self) -> sync::MutexGuard<'_, collections::BTreeMap<net::SocketAddr, Peer>> {
        self.peers.lock().expect("no holder panics")
    }

    /// Sends a request. `most` is the number of connections that the upstream accepts from all
    /// callers together.
    ///
    /// # Errors
    /// Tells whether the request can have reached the upstream.
    pub async fn send(
        &self,
        address: net::SocketAddr,
        most: u32,
        mut request: hyper::Request<http::Body>,
    ) -> Result<(hyper::Response<hyper::body::Incoming>, PooledConnection), SendError> {
        while let Some(mut lease) = self.take_idle(address) {
            match lease.try_send(request).await {
                Ok(response) => return Ok((response, lease)),
                // The upstream closed the connection while it rested.
                Err(Some(unsent)) => request = unsent,
                Err(None) => return Err(SendError::Broken),
            }
        }
        let mut lease = self.connect(address, most).await.ok_or(SendError::Unsent)?;
        match lease.try_send(request).await {
            Ok(response) => Ok((response, lease)),
            Err(Some(_)) => Err(SendError::Unsent),
            Err(None) => Err(SendError::Broken),
        }
    }

    /// Closes connections that have rested too long, and forgets peers without any.
    pub fn prune(&self) {
        self.peers().retain(|_, peer| {
            let before = peer.idle.len();
            peer.idle.retain(Connection::is_fresh);
            let closed = u32::try_from(before - peer.idle.len()).unwrap_or(0);
            peer.open = peer.open.saturating_sub(closed);
            peer.open > 0
        });
    }

    fn take_idle(&self, address: net::SocketAddr) -> Option<PooledConnection> {
        let mut peers = self.peers();
        let peer = peers.get_mut(&address)?;
        while let Some(connection) = peer.idle.pop() {
            if connection.is_fresh() {
                let pool = self.clone();
                let connection = Some(connection);
                return Some(PooledConnection { pool, address, connection, is_returned: false });
            }
            peer.open = peer.open.saturating_sub(1);
        }
        None
    }

    async fn connect(&self, address: net::SocketAddr, most: u32) -> Option<PooledConnection> {
        {
            let mut peers = self.peers();
            let peer = peers.entry(address).or_default();
            if peer.open >= (most / CONNECTION_SHARE).max(LEAST_CONNECTIONS) {
                return None;
            }
            peer.open += 1;
        }
        // From here on, dropping the lease corrects the count.
        let pool = self.clone();
        let mut lease = PooledConnection { pool, address, connection: None, is_returned: false };
        let stream =
            http::with_timeout(CONNECT_TIMEOUT, tokio::net::TcpStream::connect(address)).await;
        let stream = stream?.ok()?;
        set_socket_options(&stream).ok()?;
        let (sender, driver) = http1::handshake(rt::TokioIo::new(stream)).await.ok()?;
        tokio::spawn(async move {
            if let Err(e) = driver.await {
                log::debug!("event=upstream_connection_ended address={address} error={e:?}");
            }
        });
        metrics::counter!("gateway_upstream_connections_total").increment(1);
        let rested = time::Instant::now();
        lease.connection = Some(Connection { sender, rested, rest: DEFAULT_REST, last_body: 0 });
        Some(lease)
    }
}

/// Sets the options of a connection under which a silent peer is noticed.
///
/// # Errors
/// Fails if the system refuses an option.
pub fn set_socket_options(stream: &tokio::net::TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    socket2::SockRef::from(stream).set_tcp_user_timeout(Some(USER_TIMEOUT))
}

impl Connection {
    fn is_fresh(&self) -> bool {
        !self.sender.is_closed() && self.rested.elapsed() < self.rest
    }
}

impl PooledConnection {
    /// Sends a request; an error holds the request if no byte of it was written.
    async fn try_send(
        &mut self,
        request: hyper::Request<http::Body>,
    ) -> Result<hyper::Response<hyper::body::Incoming>, Option<hyper::Request<http::Body>>> {
        let Some(connection) = &mut self.connection else { return Err(Some(request)) };
        let ready = http::with_timeout(READY_TIMEOUT, connection.sender.ready()).await;
        if !matches!(ready, Some(Ok(()))) {
            return Err(Some(request));
        }
        match connection.sender.try_send_request(request).await {
            Ok(response) => {
                if let Some(rest) = stated_rest(response.headers()) {
                    connection.rest = rest.mul_f64(REST_SHARE);
                }
                Ok(response)
            }
            Err(mut e) => Err(e.take_message()),
        }
    }

    /// Takes note of a body that must not come again; returns whether it is the last one again.
    pub fn is_duplicate(&mut self, body: &[u8]) -> bool {
        let Some(connection) = &mut self.connection else { return false };
        let hash = xxhash_rust::xxh3::xxh3_64(body);
        std::mem::replace(&mut connection.last_body, hash) == hash
    }

    /// Keeps the connection for other requests; its answer has been read whole.
    pub fn release(mut self) {
        let Some(mut connection) = self.connection.take() else { return };
        connection.rested = time::Instant::now();
        self.is_returned = true;
        self.pool.peers().entry(self.address).or_default().idle.push(connection);
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        // A connection that was given back stays open.
        if self.is_returned {
            return;
        }
        let mut peers = self.pool.peers();
        if let Some(peer) = peers.get_mut(&self.address) {
            peer.open = peer.open.saturating_sub(1);
        }
    }
}

/// Returns the time for which the upstream keeps a connection that rests.
fn stated_rest(headers: &hyper::HeaderMap) -> Option<time::Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.parse::<u32>().ok().map(|seconds| time::Duration::from_secs(seconds.into()))
}
