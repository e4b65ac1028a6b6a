//! Socket of a connection to an upstream. It is reset if it is closed while an answer is awaited.
//!
//! An upstream that finds out about a closed connection when it writes would otherwise notice only
//! with its second write, and work on the request until then. Only the pool imports this module.

use std::io;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;

use tokio::io::{AsyncRead, AsyncWrite};

use crate::http;

/// Whether a connection carries a request; clones share it.
#[derive(Clone, Debug, Default)]
pub struct InUse(sync::Arc<atomic::AtomicBool>);

impl InUse {
    /// Sets whether the connection carries a request.
    pub fn set(&self, is_in_use: bool) {
        self.0.store(is_in_use, atomic::Ordering::Relaxed);
    }

    fn is_set(&self) -> bool {
        self.0.load(atomic::Ordering::Relaxed)
    }
}

/// A socket that is reset if it is dropped in use.
#[derive(Debug)]
pub struct UpstreamSocket {
    stream: tokio::net::TcpStream,
    in_use: InUse,
}

impl UpstreamSocket {
    /// Wraps the socket of a connection.
    pub fn new(stream: tokio::net::TcpStream, in_use: InUse) -> Self {
        Self { stream, in_use }
    }

    fn stream(self: pin::Pin<&mut Self>) -> pin::Pin<&mut tokio::net::TcpStream> {
        pin::Pin::new(&mut self.get_mut().stream)
    }
}

impl Drop for UpstreamSocket {
    fn drop(&mut self) {
        if self.in_use.is_set() {
            http::reset_on_close(&self.stream);
        }
    }
}

impl AsyncRead for UpstreamSocket {
    fn poll_read(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buffer: &mut tokio::io::ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        self.stream().poll_read(cx, buffer)
    }
}

impl AsyncWrite for UpstreamSocket {
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
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        self.stream().poll_shutdown(cx)
    }
}
