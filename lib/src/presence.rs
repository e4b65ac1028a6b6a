//! Tells a loop when whoever waits for an answer goes away.

use tokio::sync::mpsc;

/// Someone who waits. Dropping it before it is answered sends a message to the loop.
#[derive(Debug)]
pub struct Presence<M> {
    messages: mpsc::Sender<M>,
    gone: Option<M>,
}

impl<M> Presence<M> {
    /// Makes a presence whose end is told by `gone`.
    pub fn new(messages: mpsc::Sender<M>, gone: M) -> Self {
        Self { messages, gone: Some(gone) }
    }

    /// Ends it without a message.
    pub fn answered(mut self) {
        self.gone = None;
    }
}

impl<M> Drop for Presence<M> {
    fn drop(&mut self) {
        if let Some(gone) = self.gone.take() {
            // If the loop is that busy, the deadline ends the work.
            let _ = self.messages.try_send(gone);
        }
    }
}
