//! Guard that reports to an event loop when the client of a pending request disconnects.

use tokio::sync::mpsc;

/// Sends a message to the event loop when dropped, unless it was disarmed. An HTTP handler holds it
/// while it waits for an answer: the server drops the handler when the client disconnects.
#[derive(Debug)]
pub struct DropGuard<M> {
    messages: mpsc::Sender<M>,
    message: Option<M>,
}

impl<M> DropGuard<M> {
    /// Makes a guard that sends `message` when it is dropped.
    pub fn new(messages: mpsc::Sender<M>, message: M) -> Self {
        Self { messages, message: Some(message) }
    }

    /// Drops the guard without sending its message.
    pub fn disarm(mut self) {
        self.message = None;
    }
}

impl<M> Drop for DropGuard<M> {
    fn drop(&mut self) {
        if let Some(message) = self.message.take() {
            // The message is lost if the channel is full; the request's deadline then ends the
            // work.
            let _ = self.messages.try_send(message);
        }
    }
}
