//! Splits a stream of server-sent events into whole events and checks that their ids increase.

/// Media type of streams of server-sent events.
pub const MEDIA_TYPE: &str = "text/event-stream";
/// Longest accepted event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// A stream that violates the protocol.
#[derive(Clone, Copy, Debug, derive_more::Display, derive_more::Error, Eq, PartialEq)]
pub enum StreamError {
    /// An event exceeds the longest that is accepted.
    #[display("an event is too long; the upstream's stream was dropped")]
    TooLong,
    /// An event's id is not above the id before it.
    #[display("event ids do not increase; the upstream's stream was dropped")]
    OutOfOrder,
}

/// Collects bytes into whole events.
///
/// Bytes after the last whole event are held back, so that if the stream breaks off inside an
/// event, another upstream can resume it after the last whole one.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: bytes::BytesMut,
    last_id: Option<u64>,
}

impl Splitter {
    /// Makes a splitter for a stream that resumes after the event with the given id.
    pub fn resume_after(last_id: Option<u64>) -> Self {
        Self { buffer: bytes::BytesMut::new(), last_id }
    }

    /// Returns the id of the last whole event that had one.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Adds bytes and returns all events that are now whole, in one buffer.
    ///
    /// # Errors
    /// Fails if an event is too long, repeated or out of order.
    pub fn push(&mut self, data: &[u8]) -> Result<Option<bytes::Bytes>, StreamError> {
        // A separator may begin in the last three bytes of the earlier data.
        let searched = self.buffer.len().saturating_sub(3);
        self.buffer.extend_from_slice(data);
        let mut start = 0;
        let mut from = searched;
        while let Some(end) = find_end(&self.buffer[from..]).map(|at| from + at) {
            self.check_id(start, end)?;
            start = end;
            from = end;
        }
        if self.buffer.len() - start > MAX_EVENT_BYTES {
            return Err(StreamError::TooLong);
        }
        Ok((start > 0).then(|| self.buffer.split_to(start).freeze()))
    }

    /// Returns the number of bytes after the last whole event.
    pub fn held_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Returns whether more than line ends followed the last whole event. A stream that ends there
    /// has broken off.
    pub fn is_inside_event(&self) -> bool {
        self.buffer.iter().any(|byte| !byte.is_ascii_whitespace())
    }

    /// Returns the bytes after the last whole event.
    pub fn rest(&mut self) -> bytes::Bytes {
        self.buffer.split().freeze()
    }

    fn check_id(&mut self, start: usize, end: usize) -> Result<(), StreamError> {
        let Some(id) = event_id(&self.buffer[start..end]) else { return Ok(()) };
        if self.last_id.is_some_and(|last| id <= last) {
            return Err(StreamError::OutOfOrder);
        }
        self.last_id = Some(id);
        Ok(())
    }
}

/// Returns the position after the first blank line, which ends an event.
fn find_end(data: &[u8]) -> Option<usize> {
    let lf = data.windows(2).position(|pair| pair == b"\n\n").map(|at| at + 2);
    let crlf = data.windows(4).position(|four| four == b"\r\n\r\n").map(|at| at + 4);
    match (lf, crlf) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

/// Returns the id of an event, if it has a numeric one.
fn event_id(event: &[u8]) -> Option<u64> {
    event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|value| std::str::from_utf8(value).ok())
        .and_then(|text| text.trim().parse().ok())
}
