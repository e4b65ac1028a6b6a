//! Answers that a sidecar keeps: what has arrived from the upstream so far, and who listens.

use tokio::sync::mpsc;

use crate::attempt;
use crate::wire;

/// Frames on their way to one entry. The channel is unbounded, because its content is bounded by
/// the answer, which is kept in memory anyway and shared by reference.
pub type FrameSender = mpsc::UnboundedSender<wire::Frame>;

/// A listener and the first byte that it still needs.
#[derive(Debug)]
struct Listener {
    conn: attempt::ConnId,
    frames: FrameSender,
}

/// Answer of one attempt.
#[derive(Debug, Default)]
pub struct Answer {
    started: bool,
    base: u64,
    head: Option<wire::Head>,
    chunks: Vec<wire::Chunk>,
    end: Option<wire::End>,
    listeners: Vec<Listener>,
}

impl Answer {
    /// Makes the answer of an attempt whose first byte has the given offset.
    pub fn new(base: u64) -> Self {
        Self { base, ..Self::default() }
    }

    /// Makes a whole answer that another sidecar kept.
    pub fn from_whole(head: wire::Head, body: wire::Chunk, load: wire::Load) -> Self {
        let total = body.offset + body.data.len() as u64;
        Self {
            started: true,
            base: body.offset,
            head: Some(head),
            chunks: vec![body],
            end: Some(wire::End { total, load }),
            listeners: Vec::new(),
        }
    }

    /// Returns the offset behind the last byte.
    pub fn end_offset(&self) -> u64 {
        self.chunks.last().map_or(self.base, |chunk| chunk.offset + chunk.data.len() as u64)
    }

    /// Returns the answer in one piece, if it is whole.
    pub fn to_whole(&self) -> Option<(wire::Head, wire::Chunk)> {
        self.end.as_ref()?;
        let mut data = Vec::new();
        for chunk in &self.chunks {
            data.extend_from_slice(&chunk.data);
        }
        let body = wire::Chunk { offset: self.base, data: data.into() };
        Some((self.head.clone()?, body))
    }

    /// Sends a listener what is there from its offset on, and all that follows.
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
            None => self.listeners.push(Listener { conn, frames }),
        }
    }

    /// Forgets a listener.
    pub fn unsubscribe(&mut self, conn: attempt::ConnId) {
        self.listeners.retain(|listener| listener.conn != conn);
    }

    /// Tells the listeners that the upstream has been asked.
    pub fn start(&mut self) {
        self.started = true;
        self.notify(&wire::Frame::Started);
    }

    /// Takes the beginning of the upstream's answer.
    pub fn set_head(&mut self, head: wire::Head) {
        self.notify(&wire::Frame::Head(head.clone()));
        self.head = Some(head);
    }

    /// Takes the next bytes of the upstream's answer.
    pub fn push(&mut self, data: bytes::Bytes) {
        let chunk = wire::Chunk { offset: self.end_offset(), data };
        self.notify(&wire::Frame::Chunk(chunk.clone()));
        self.chunks.push(chunk);
    }

    /// Marks the answer as whole.
    pub fn finish(&mut self, load: wire::Load) {
        let end = wire::End { total: self.end_offset(), load };
        self.notify(&wire::Frame::End(end.clone()));
        self.end = Some(end);
        self.listeners.clear();
    }

    /// Tells the listeners that there will be no whole answer.
    pub fn fail(&mut self, refused: wire::Refused) {
        self.notify(&wire::Frame::Refused(refused));
        self.listeners.clear();
    }

    fn notify(&self, frame: &wire::Frame) {
        for listener in &self.listeners {
            send(&listener.frames, frame.clone());
        }
    }
}

fn send(frames: &FrameSender, frame: wire::Frame) {
    // A listener that went away is told to the reducer by its connection.
    let _ = frames.send(frame);
}

/// Returns the part of a chunk from the offset on.
fn rest_from(chunk: &wire::Chunk, offset: u64) -> Option<wire::Chunk> {
    let skip = offset.saturating_sub(chunk.offset) as usize;
    if skip >= chunk.data.len() {
        return None;
    }
    Some(wire::Chunk { offset: chunk.offset + skip as u64, data: chunk.data.slice(skip..) })
}
