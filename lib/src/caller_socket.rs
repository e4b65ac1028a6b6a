//! Socket of a caller's connection. It is reset if an answer that only the end of the connection
//! ends breaks off.

use std::future::Future as _;
use std::io;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;
use std::time;

use tokio::io::{AsyncRead, AsyncWrite};

use crate::http;
use crate::memory_budget;
use crate::server_connection;

/// Whether a connection carries answers that have neither a length nor chunks; clones share it.
///
/// Callers that speak HTTP/1.0 do not know chunks, so to them a stream ends with its connection.
#[derive(Clone, Debug, Default)]
pub struct Unframed(sync::Arc<atomic::AtomicBool>);

impl Unframed {
    /// Notes the version of a request, which decides how its answer is framed.
    pub fn note(&self, version: hyper::Version) {
        if version < hyper::Version::HTTP_11 {
            self.0.store(true, atomic::Ordering::Relaxed);
        }
    }

    fn is_set(&self) -> bool {
        self.0.load(atomic::Ordering::Relaxed)
    }
}

/// A caller's socket. The HTTP server shuts it down after the last answer, unless that one broke
/// off.
#[derive(Debug)]
pub struct CallerSocket {
    stream: tokio::net::TcpStream,
    unframed: Unframed,
    is_shut_down: bool,
    connection: server_connection::Handle,
    budget: Option<memory_budget::Budget>,
    /// Fires when a peer that does not read is checked again.
    stall_check: Option<pin::Pin<Box<tokio::time::Sleep>>>,
    /// When the peer last took enough bytes, and the bytes that it has taken since.
    progress: (time::Instant, usize),
    /// What is left of the time and of the bytes for which the end of a refused body is awaited.
    linger: Option<(pin::Pin<Box<tokio::time::Sleep>>, usize)>,
}

/// Time without progress after which a peer that does not read loses its connection while memory is
/// short.
const STALL_LIMIT: time::Duration = time::Duration::from_secs(1);
/// The same while there is memory.
const LONG_STALL_LIMIT: time::Duration = time::Duration::from_secs(30);
/// Interval at which a peer that does not read is checked.
const STALL_POLL: time::Duration = time::Duration::from_millis(250);
/// Bytes that a peer has to take to make progress. One that takes a few now and then never gets its answer
/// in time.
const PROGRESS_BYTES: usize = 16 << 10;
/// Time and bytes for which the end of a refused body is awaited. If the socket were closed with unread
/// bytes, it would be reset, and the caller might not get the refusal (RFC 9112, section 9.6).
const LINGER_TIME: time::Duration = time::Duration::from_millis(200);
const LINGER_BYTES: usize = 1 << 20;

impl CallerSocket {
    /// Wraps the socket of a connection.
    pub fn new(
        stream: tokio::net::TcpStream,
        unframed: Unframed,
        connection: server_connection::Handle,
        budget: Option<memory_budget::Budget>,
    ) -> Self {
        Self {
            stream,
            unframed,
            is_shut_down: false,
            connection,
            budget,
            stall_check: None,
            progress: (time::Instant::now(), 0),
            linger: None,
        }
    }

    /// Follows the result of a write; fails if the peer has not read for too long.
    fn after_write(
        &mut self,
        cx: &mut task::Context<'_>,
        result: task::Poll<io::Result<usize>>,
    ) -> task::Poll<io::Result<usize>> {
        let task::Poll::Pending = result else {
            let taken = result_bytes(&result);
            self.progress.1 += taken;
            if self.stall_check.is_none() || self.progress.1 >= PROGRESS_BYTES {
                self.progress = (time::Instant::now(), 0);
            }
            if self.stall_check.take().is_some() {
                self.connection.write_blocked(false);
            }
            return result;
        };
        if self.stall_check.is_none() {
            self.connection.write_blocked(true);
        }
        let check =
            self.stall_check.get_or_insert_with(|| Box::pin(tokio::time::sleep(STALL_POLL)));
        while check.as_mut().poll(cx).is_ready() {
            let is_short = self.budget.as_ref().is_some_and(memory_budget::Budget::is_short);
            let limit = if is_short { STALL_LIMIT } else { LONG_STALL_LIMIT };
            if self.progress.0.elapsed() >= limit {
                metrics::counter!("connections_closed_total", "reason" => "slow_reader")
                    .increment(1);
                return task::Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
            }
            check.as_mut().reset(tokio::time::Instant::now() + STALL_POLL);
        }
        task::Poll::Pending
    }

    /// Discards what arrives of a refused body, within the limits on time and bytes.
    fn poll_linger(&mut self, cx: &mut task::Context<'_>) -> task::Poll<()> {
        let (sleep, left) = self
            .linger
            .get_or_insert_with(|| (Box::pin(tokio::time::sleep(LINGER_TIME)), LINGER_BYTES));
        let mut buffer = [0; 4_096];
        loop {
            if sleep.as_mut().poll(cx).is_ready() {
                return task::Poll::Ready(());
            }
            let mut read = tokio::io::ReadBuf::new(&mut buffer);
            let result =
                std::task::ready!(pin::Pin::new(&mut self.stream).poll_read(cx, &mut read));
            let bytes = read.filled().len();
            *left = left.saturating_sub(bytes);
            if result.is_err() || bytes == 0 || *left == 0 {
                return task::Poll::Ready(());
            }
        }
    }

    fn stream(self: pin::Pin<&mut Self>) -> pin::Pin<&mut tokio::net::TcpStream> {
        pin::Pin::new(&mut self.get_mut().stream)
    }
}

fn result_bytes(result: &task::Poll<io::Result<usize>>) -> usize {
    if let task::Poll::Ready(Ok(bytes)) = result { *bytes } else { 0 }
}

impl Drop for CallerSocket {
    fn drop(&mut self) {
        if self.unframed.is_set() && !self.is_shut_down {
            http::reset_on_close(&self.stream);
        }
    }
}

impl AsyncRead for CallerSocket {
    fn poll_read(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buffer: &mut tokio::io::ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buffer.filled().len();
        let result = pin::Pin::new(&mut this.stream).poll_read(cx, buffer);
        if buffer.filled().len() > before {
            this.connection.received();
        }
        result
    }
}

impl AsyncWrite for CallerSocket {
    fn poll_write(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        data: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let this = self.get_mut();
        let result = pin::Pin::new(&mut this.stream).poll_write(cx, data);
        this.after_write(cx, result)
    }

    fn poll_write_vectored(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        let this = self.get_mut();
        let result = pin::Pin::new(&mut this.stream).poll_write_vectored(cx, slices);
        this.after_write(cx, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        self.stream().poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        if !self.is_shut_down {
            std::task::ready!(self.as_mut().stream().poll_shutdown(cx))?;
            self.is_shut_down = true;
        }
        if self.connection.has_unread_body() {
            std::task::ready!(self.get_mut().poll_linger(cx));
        }
        task::Poll::Ready(Ok(()))
    }
}
