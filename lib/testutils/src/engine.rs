//! Model engine with the `OpenAI` chat interface, streams and resumption.
//!
//! The text is a function of the messages alone, so that a test knows the whole answer of each
//! request, and so that any engine continues a stream where another one broke off.

use std::sync;
use std::sync::atomic;
use std::time;

use crate::server;

/// Tokens of an answer for which the request sets no limit.
const DEFAULT_TOKENS: u64 = 16;

/// One received request.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct Run {
    /// Number of the request.
    pub request: String,
    /// Path.
    pub path: String,
    /// Position at which a stream was continued.
    pub offset: u64,
}

/// Stand-in for a model engine.
#[derive(Clone, Debug)]
pub struct Engine {
    token_pause: time::Duration,
    slots: sync::Arc<tokio::sync::Semaphore>,
    runs: sync::Arc<sync::Mutex<Vec<Run>>>,
    count: sync::Arc<atomic::AtomicU64>,
}

impl Engine {
    /// Makes an engine that takes `token_pause` for a token and runs `slots` requests at a time.
    pub fn new(token_pause: time::Duration, slots: usize) -> Self {
        Self {
            token_pause,
            slots: sync::Arc::new(tokio::sync::Semaphore::new(slots)),
            runs: sync::Arc::default(),
            count: sync::Arc::default(),
        }
    }

    /// Returns the number of requests received.
    pub fn count(&self) -> u64 {
        self.count.load(atomic::Ordering::Relaxed)
    }
}

fn token(prompt: &str, index: u64) -> String {
    format!("w{:04x} ", xxhash_rust::xxh3::xxh3_64_with_seed(prompt.as_bytes(), index) & 0xffff)
}

fn prompt_of(body: &serde_json::Value) -> (String, u64) {
    let prompt = body["messages"].to_string();
    let tokens = body["max_tokens"].as_u64().unwrap_or(DEFAULT_TOKENS);
    (prompt, tokens)
}

/// Returns the text that every engine generates for a body.
pub fn text_of(body: &serde_json::Value) -> String {
    let (prompt, tokens) = prompt_of(body);
    (0..tokens).map(|index| token(&prompt, index)).collect()
}

fn event(value: &serde_json::Value) -> bytes::Bytes {
    format!("data: {value}\n\n").into()
}

/// Returns the events of a streamed answer.
pub fn events_of(body: &serde_json::Value) -> Vec<bytes::Bytes> {
    let (prompt, tokens) = prompt_of(body);
    let mut events: Vec<_> = (0..tokens)
        .map(|index| {
            let delta = serde_json::json!({ "content": token(&prompt, index) });
            event(&serde_json::json!({ "choices": [{ "index": 0, "delta": delta }] }))
        })
        .collect();
    events.push("data: [DONE]\n\n".into());
    events
}

/// Leaves the first bytes of a stream out.
fn skip(events: Vec<bytes::Bytes>, mut offset: u64) -> Vec<bytes::Bytes> {
    let mut rest = Vec::new();
    for event in events {
        let cut = offset.min(event.len() as u64);
        offset -= cut;
        if cut < event.len() as u64 {
            rest.push(event.slice(cut as usize..));
        }
    }
    rest
}

impl server::Work for Engine {
    async fn answer(&self, request: server::Request) -> server::Answer {
        let offset = request.header("stream-offset").parse().unwrap_or(0);
        self.count.fetch_add(1, atomic::Ordering::Relaxed);
        let run = Run {
            request: request.header("x-request-id").to_owned(),
            path: request.path.clone(),
            offset,
        };
        self.runs.lock().expect("no holder panics").push(run);
        let body = request.json();
        let _slot = self.slots.acquire().await;
        if body["stream"] == true {
            let events = skip(events_of(&body), offset);
            let told = (offset > 0).then_some(offset);
            return server::Answer::Events { events, pause: self.token_pause, offset: told };
        }
        let text = text_of(&body);
        let tokens = u32::try_from(prompt_of(&body).1).unwrap_or(u32::MAX);
        tokio::time::sleep(self.token_pause * tokens).await;
        let message = serde_json::json!({ "role": "assistant", "content": text });
        let choices =
            serde_json::json!([{ "index": 0, "message": message, "finish_reason": "stop" }]);
        server::Answer::Json(
            200,
            serde_json::json!({ "object": "chat.completion", "choices": choices }),
        )
    }

    fn log(&self) -> serde_json::Value {
        serde_json::json!(*self.runs.lock().expect("no holder panics"))
    }
}
