//! Answers that a sidecar retains: the part that has arrived from the upstream, and the connections
//! that receive it.

use tokio::sync::mpsc;

use crate::attempt;
use crate::wire;

/// Channel of frames to one entry. It is unbounded, because its content is bounded by the answer,
/// whose bytes are retained in memory anyway and shared by reference.
pub type FrameSender = mpsc::UnboundedSender<wire::Frame>;

/// A connection that receives the answer.
#[derive(Debug)]
struct Subscriber {
    conn: attempt::ConnId,
    frames: FrameSender,
}

/// Answer of one attempt and its subscribers.
#[derive(Debug, Default)]
pub struct Answer {
    started: bool,
    /// Offset of the answer's first byte; above 0 for a resumed stream.
    base_offset: u64,
    head: Option<wire::Head>,
    chunks: Vec<wire::Chunk>,
    /// Set once the answer is whole.
    end: Option<wire::End>,
    subscribers: Vec<Subscriber>,
}

impl Answer {
    /// Makes the answer of a new attempt, whose first byte has the given offset.
    pub fn new(base_offset: u64) -> Self {
        Self { base_offset, ..Self::default() }
    }

    /// Makes a whole answer that was received in a handover.
    pub fn from_whole(head: wire::Head, body: wire::Chunk, load: wire::Load) -> Self {
        let total = body.offset + body.data.len() as u64;
        Self {
            started: true,
            base_offset: body.offset,
            head: Some(head),
            chunks: vec![body],
            end: Some(wire::End { total, load }),
            subscribers: Vec::new(),
        }
    }

    /// Returns the offset after the last byte that has arrived.
    pub fn end_offset(&self) -> u64 {
        self.chunks.last().map_or(self.base_offset, |chunk| chunk.offset + chunk.data.len() as u64)
    }

    /// Returns the head and the body as one chunk; `None` until the answer is whole.
    pub fn to_whole(&self) -> Option<(wire::Head, wire::Chunk)> {
        self.end.as_ref()?;
        let mut data = Vec::new();
        for chunk in &self.chunks {
            data.extend_from_slice(&chunk.data);
        }
        let body = wire::Chunk { offset: self.base_offset, data: data.into() };
        Some((self.head.clone()?, body))
    }

    /// Sends a connection the part of the answer from `offset` on, and then all that follows.
    pub fn subscribe(&mut self, conn: attempt::ConnId, frames: FrameSender, offset: u64) {
        if self.started {
            send(&frames, wire::Frame::Started);
        }
        if let Some(head) = &self.head {
            send(&frames, wire::Frame::Head(head.clone()));
        }
        for chunk in &self.chunks {
            if let Some(rest) = rest_from(chunk, offset) {
                send(&frames, wire::Frame::Chunk(rest));
            }
        }
        match &self.end {
            Some(end) => send(&frames, wire::Frame::End(end.clone())),
            None => self.subscribers.push(Subscriber { conn, frames }),
        }
    }

    /// Removes the subscription of a connection.
    pub fn unsubscribe(&mut self, conn: attempt::ConnId) {
        self.subscribers.retain(|subscriber| subscriber.conn != conn);
    }

    /// Notifies the subscribers that the attempt was sent to the upstream.
    pub fn mark_started(&mut self) {
        self.started = true;
        self.notify(&wire::Frame::Started);
    }

    /// Stores the head of the upstream's answer and sends it to the subscribers.
    pub fn set_head(&mut self, head: wire::Head) {
        self.notify(&wire::Frame::Head(head.clone()));
        self.head = Some(head);
    }

    /// Stores the next bytes of the upstream's answer and sends them to the subscribers.
    pub fn push(&mut self, data: bytes::Bytes) {
        let chunk = wire::Chunk { offset: self.end_offset(), data };
        self.notify(&wire::Frame::Chunk(chunk.clone()));
        self.chunks.push(chunk);
    }

    /// Marks the answer as whole and ends the subscriptions.
    pub fn finish(&mut self, load: wire::Load) {
        let end = wire::End { total: self.end_offset(), load };
        self.notify(&wire::Frame::End(end.clone()));
        self.end = Some(end);
        self.subscribers.clear();
    }

    /// Notifies the subscribers that the attempt failed, and ends the subscriptions.
    pub fn fail(&mut self, refused: wire::Refused) {
        self.notify(&wire::Frame::Refused(refused));
        self.subscribers.clear();
    }

    fn notify(&self, frame: &wire::Frame) {
        for subscriber in &self.subscribers {
            send(&subscriber.frames, frame.clone());
        }
    }
}

fn send(frames: &FrameSender, frame: wire::Frame) {
    // Fails if the connection has closed, which its task reports to the reducer.
    let _ = frames.send(frame);
}

/// Returns the part of a chunk from the offset on; `None` if the chunk ends before it.
fn rest_from(chunk: &wire::Chunk, offset: u64) -> Option<wire::Chunk> {
    let skip = offset.saturating_sub(chunk.offset) as usize;
    if skip >= chunk.data.len() {
        return None;
    }
    Some(wire::Chunk { offset: chunk.offset + skip as u64, data: chunk.data.slice(skip..) })
}
