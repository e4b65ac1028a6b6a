//! Model engine with the `OpenAI` chat interface, streams and resumption.
//!
//! The text is a function of the messages alone, so that a test knows the whole answer of each
//! request, and so that any engine continues a stream where another one broke off.

use std::collections;
use std::sync;
use std::sync::atomic;
use std::time;

use crate::server;

/// Tokens of an answer for which the request sets no limit.
const DEFAULT_TOKENS: u64 = 16;

/// Bytes of a prompt that have to be the same for its prefix to be reused.
const PREFIX_BYTES: usize = 160;
/// Prefixes that an engine remembers.
const CACHED_PREFIXES: usize = 8;

/// One received request.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct ReceivedRequest {
    /// Number of the request.
    pub request: String,
    /// Path.
    pub path: String,
    /// Position at which a stream was continued.
    pub offset: u64,
}

/// One order that the engine carried out.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Order {
    /// Fencing token of the order.
    pub token: u64,
    /// Model to load.
    pub model: String,
}

/// Stand-in for a model engine.
#[derive(Clone, Debug)]
pub struct Engine {
    token_pause: time::Duration,
    slots: sync::Arc<tokio::sync::Semaphore>,
    prefill: time::Duration,
    cached: sync::Arc<sync::Mutex<collections::VecDeque<u64>>>,
    checks_tokens: bool,
    orders: sync::Arc<sync::Mutex<Vec<Order>>>,
    runs: sync::Arc<sync::Mutex<Vec<ReceivedRequest>>>,
    count: sync::Arc<atomic::AtomicU64>,
}

impl Engine {
    /// Makes an engine that takes `token_pause` for a token and runs `slots` requests at a time.
    pub fn new(token_pause: time::Duration, slots: usize) -> Self {
        Self {
            token_pause,
            slots: sync::Arc::new(tokio::sync::Semaphore::new(slots)),
            prefill: time::Duration::ZERO,
            cached: sync::Arc::default(),
            checks_tokens: true,
            orders: sync::Arc::default(),
            runs: sync::Arc::default(),
            count: sync::Arc::default(),
        }
    }

    /// Adds a time that a prompt takes whose prefix is not among the last few.
    #[must_use]
    pub fn with_prefill(mut self, prefill: time::Duration) -> Self {
        self.prefill = prefill;
        self
    }

    /// Makes the engine ignore fencing tokens.
    #[must_use]
    pub fn without_fencing(mut self) -> Self {
        self.checks_tokens = false;
        self
    }

    /// Returns the orders carried out so far.
    ///
    /// # Panics
    /// Panics if another holder of the lock panicked.
    pub fn orders(&self) -> Vec<Order> {
        self.orders.lock().expect("no holder panics").clone()
    }

    fn take_order(&self, body: &serde_json::Value) -> server::Response {
        let token = body["token"].as_u64().unwrap_or(0);
        let model = body["order"]["model"].as_str().unwrap_or_default().to_owned();
        let mut orders = self.orders.lock().expect("no holder panics");
        let newest = orders.iter().map(|order| order.token).max().unwrap_or(0);
        if self.checks_tokens && token < newest {
            return server::Response::Json(409, serde_json::json!({ "newest": newest }));
        }
        orders.push(Order { token, model });
        server::Response::Json(200, serde_json::json!({}))
    }

    /// Looks a prompt's prefix up and remembers it; returns the time that it takes.
    fn prefill_of(&self, prompt: &str) -> time::Duration {
        let prefix = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
        let hash = xxhash_rust::xxh3::xxh3_64(prefix);
        let mut cached = self.cached.lock().expect("no holder panics");
        let hit = cached.iter().position(|other| *other == hash);
        if let Some(position) = hit {
            cached.remove(position);
        }
        cached.push_back(hash);
        if cached.len() > CACHED_PREFIXES {
            cached.pop_front();
        }
        if hit.is_some() { time::Duration::ZERO } else { self.prefill }
    }

    /// Returns the number of requests received.
    pub fn request_count(&self) -> u64 {
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
pub fn expected_text(body: &serde_json::Value) -> String {
    let (prompt, tokens) = prompt_of(body);
    (0..tokens).map(|index| token(&prompt, index)).collect()
}

fn event(value: &serde_json::Value) -> bytes::Bytes {
    format!("data: {value}\n\n").into()
}

/// Returns the events of a streamed answer.
pub fn expected_events(body: &serde_json::Value) -> Vec<bytes::Bytes> {
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

impl server::StandIn for Engine {
    async fn respond(&self, request: server::Request) -> server::Response {
        if request.path == "/orders" {
            return self.take_order(&request.json());
        }
        let offset = request.header("stream-offset").parse().unwrap_or(0);
        self.count.fetch_add(1, atomic::Ordering::Relaxed);
        let run = ReceivedRequest {
            request: request.header("x-request-id").to_owned(),
            path: request.path.clone(),
            offset,
        };
        self.runs.lock().expect("no holder panics").push(run);
        let body = request.json();
        let _slot = self.slots.acquire().await;
        tokio::time::sleep(self.prefill_of(&prompt_of(&body).0)).await;
        if body["stream"] == true {
            let events = skip(expected_events(&body), offset);
            let told = (offset > 0).then_some(offset);
            return server::Response::Events { events, pause: self.token_pause, offset: told };
        }
        let text = expected_text(&body);
        let tokens = u32::try_from(prompt_of(&body).1).unwrap_or(u32::MAX);
        tokio::time::sleep(self.token_pause * tokens).await;
        let message = serde_json::json!({ "role": "assistant", "content": text });
        let choices =
            serde_json::json!([{ "index": 0, "message": message, "finish_reason": "stop" }]);
        server::Response::Json(
            200,
            serde_json::json!({ "object": "chat.completion", "choices": choices }),
        )
    }

    fn log(&self) -> serde_json::Value {
        serde_json::json!(*self.runs.lock().expect("no holder panics"))
    }
}
