//! Cancellation of a gateway's work on a request whose caller disconnects: one signal per request,
//! from its head to its end.
//!
//! A [`Guard`] stands for the caller's connection. The HTTP handler holds it until the response begins,
//! and the body of a streamed response from then on; the HTTP server drops them when the caller
//! disconnects. Whoever works on the request holds a [`Signal`]. Only `http`, `gateway_http`
//! and `gateway_calls` import this module.

use std::future;
use std::sync;
use std::sync::atomic;

use tokio::sync::{mpsc, watch};

use crate::id;

/// The caller's side of a request. Dropping it cancels the request unless it has ended.
#[derive(Debug)]
pub struct Guard {
    request: id::RequestId,
    is_ended: sync::Arc<atomic::AtomicBool>,
    cancelled: watch::Sender<bool>,
    /// Unbounded, because a cancellation must not be lost. It carries one message per request at most.
    messages: mpsc::UnboundedSender<id::RequestId>,
}

/// Tells whether a request was cancelled; clones belong to the same request.
#[derive(Clone, Debug)]
pub struct Signal {
    is_ended: sync::Arc<atomic::AtomicBool>,
    cancelled: watch::Receiver<bool>,
}

/// Makes the guard and the signal of a request. A cancellation is also sent to the event loop.
pub fn channel(
    request: id::RequestId,
    messages: mpsc::UnboundedSender<id::RequestId>,
) -> (Guard, Signal) {
    let is_ended = sync::Arc::<atomic::AtomicBool>::default();
    let (sender, receiver) = watch::channel(false);
    let guard = Guard { request, is_ended: is_ended.clone(), cancelled: sender, messages };
    (guard, Signal { is_ended, cancelled: receiver })
}

impl Guard {
    /// Drops the guard of a request that has ended, without cancelling it.
    pub fn disarm(self) {
        self.is_ended.store(true, atomic::Ordering::Relaxed);
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if self.is_ended.load(atomic::Ordering::Relaxed) {
            return;
        }
        // The signal is set before the message is sent, so that the event loop sees it if the request
        // itself arrives after the message.
        self.cancelled.send_replace(true);
        // Fails only while the process stops.
        let _ = self.messages.send(self.request);
    }
}

impl Signal {
    /// Returns whether the request was cancelled.
    pub fn is_cancelled(&self) -> bool {
        *self.cancelled.borrow()
    }

    /// Waits until the request is cancelled; forever if it ends otherwise.
    pub async fn cancelled(&mut self) {
        if self.cancelled.wait_for(|is_cancelled| *is_cancelled).await.is_err() {
            future::pending::<()>().await;
        }
    }

    /// Records that the answer is complete, so that dropping its body cancels nothing.
    pub fn end(&self) {
        self.is_ended.store(true, atomic::Ordering::Relaxed);
    }
}
