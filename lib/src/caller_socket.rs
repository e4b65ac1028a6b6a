//! Socket of a caller's connection. It is reset if an answer that only the end of the connection
//! ends breaks off.

use std::io;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;
use std::time;

use tokio::io::{AsyncRead, AsyncWrite};

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
}

impl CallerSocket {
    /// Wraps the socket of a connection.
    pub fn new(stream: tokio::net::TcpStream, unframed: Unframed) -> Self {
        Self { stream, unframed, is_shut_down: false }
    }

    fn stream(self: pin::Pin<&mut Self>) -> pin::Pin<&mut tokio::net::TcpStream> {
        pin::Pin::new(&mut self.get_mut().stream)
    }
}

impl Drop for CallerSocket {
    fn drop(&mut self) {
        if self.unframed.is_set() && !self.is_shut_down {
            // Without a linger time, the socket is reset. It fails only for a socket that is
            // already closed.
            let _ = socket2::SockRef::from(&self.stream).set_linger(Some(time::Duration::ZERO));
        }
    }
}

impl AsyncRead for CallerSocket {
    fn poll_read(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buffer: &mut tokio::io::ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        self.stream().poll_read(cx, buffer)
    }
}

impl AsyncWrite for CallerSocket {
    fn poll_write(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        data: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        self.stream().poll_write(cx, data)
    }

    fn poll_write_vectored(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        self.stream().poll_write_vectored(cx, slices)
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
        self.is_shut_down = true;
        self.stream().poll_shutdown(cx)
    }
}
