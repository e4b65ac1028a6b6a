//! Stand-in for a model engine with the `OpenAI` chat interface, streaming and resumption.
//!
//! The generated text depends only on the messages. A test can thus compute the complete response
//! to each request, and any engine can resume a stream that another one began.

use std::collections;
use std::sync;
use std::sync::atomic;
use std::time;

use crate::server;

/// Number of tokens of a response if the request has no `max_tokens`.
const DEFAULT_MAX_TOKENS: u64 = 16;

/// Number of bytes at the start of a prompt that identify its prefix in the cache.
const PREFIX_BYTES: usize = 160;
/// Number of prefixes that an engine caches.
const MAX_CACHED_PREFIXES: usize = 8;

/// A received request, as listed by `/_log`.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct ReceivedRequest {
    /// Value of the header `x-request-id`.
    pub request: String,
    /// Path of the request.
    pub path: String,
    /// Byte offset at which a stream was resumed; zero for a new one.
    pub offset: u64,
}

/// An order that the engine accepted.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Order {
    /// Fencing token of the order.
    pub token: u64,
    /// Name of the model to load.
    pub model: String,
}

/// Stand-in for a model engine; clones share its state.
#[derive(Clone, Debug)]
pub struct Engine {
    token_pause: time::Duration,
    slots: sync::Arc<tokio::sync::Semaphore>,
    /// Time to process a prompt whose prefix is not cached.
    prefill: time::Duration,
    /// Hashes of cached prefixes, least recently used first.
    cached_prefixes: sync::Arc<sync::Mutex<collections::VecDeque<u64>>>,
    /// Whether orders with an outdated fencing token are rejected.
    is_fenced: bool,
    orders: sync::Arc<sync::Mutex<Vec<Order>>>,
    requests: sync::Arc<sync::Mutex<Vec<ReceivedRequest>>>,
    request_count: sync::Arc<atomic::AtomicU64>,
}

impl Engine {
    /// Makes an engine that takes `token_pause` for each token and runs `slots` requests
    /// concurrently.
    pub fn new(token_pause: time::Duration, slots: usize) -> Self {
        Self {
            token_pause,
            slots: sync::Arc::new(tokio::sync::Semaphore::new(slots)),
            prefill: time::Duration::ZERO,
            cached_prefixes: sync::Arc::default(),
            is_fenced: true,
            orders: sync::Arc::default(),
            requests: sync::Arc::default(),
            request_count: sync::Arc::default(),
        }
    }

    /// Sets the time that the engine takes to process a prompt whose prefix is not cached.
    #[must_use]
    pub fn with_prefill(mut self, prefill: time::Duration) -> Self {
        self.prefill = prefill;
        self
    }

    /// Makes the engine accept orders with any fencing token.
    #[must_use]
    pub fn without_fencing(mut self) -> Self {
        self.is_fenced = false;
        self
    }

    /// Returns the orders accepted so far.
    ///
    /// # Panics
    /// Panics if another holder of the lock panicked.
    pub fn orders(&self) -> Vec<Order> {
        self.orders.lock().expect("no holder panics").clone()
    }

    /// Accepts an order, or rejects it if its fencing token is older than that of an earlier one.
    fn take_order(&self, body: &serde_json::Value) -> server::Response {
        let token = body["token"].as_u64().unwrap_or(0);
        let model = body["order"]["model"].as_str().unwrap_or_default().to_owned();
        let mut orders = self.orders.lock().expect("no holder panics");
        let newest = orders.iter().map(|order| order.token).max().unwrap_or(0);
        if self.is_fenced && token < newest {
            return server::Response::Json(409, serde_json::json!({ "newest": newest }));
        }
        orders.push(Order { token, model });
        server::Response::Json(200, serde_json::json!({}))
    }

    /// Returns the time to process a prompt, and caches its prefix.
    fn prefill_time(&self, prompt: &str) -> time::Duration {
        let prefix = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
        let hash = xxhash_rust::xxh3::xxh3_64(prefix);
        let mut cached = self.cached_prefixes.lock().expect("no holder panics");
        let hit = cached.iter().position(|other| *other == hash);
        if let Some(position) = hit {
            cached.remove(position);
        }
        cached.push_back(hash);
        if cached.len() > MAX_CACHED_PREFIXES {
            cached.pop_front();
        }
        if hit.is_some() { time::Duration::ZERO } else { self.prefill }
    }

    /// Returns the number of generation requests received, without orders.
    pub fn request_count(&self) -> u64 {
        self.request_count.load(atomic::Ordering::Relaxed)
    }
}

/// Returns one generated token, a hash of the prompt and the index.
fn token(prompt: &str, index: u64) -> String {
    format!("w{:04x} ", xxhash_rust::xxh3::xxh3_64_with_seed(prompt.as_bytes(), index) & 0xffff)
}

/// Returns the prompt of a request body and the number of tokens to generate.
fn prompt_of(body: &serde_json::Value) -> (String, u64) {
    let prompt = body["messages"].to_string();
    let tokens = body["max_tokens"].as_u64().unwrap_or(DEFAULT_MAX_TOKENS);
    (prompt, tokens)
}

/// Returns the text that any engine generates for a request body.
pub fn expected_text(body: &serde_json::Value) -> String {
    let (prompt, tokens) = prompt_of(body);
    (0..tokens).map(|index| token(&prompt, index)).collect()
}

fn event(value: &serde_json::Value) -> bytes::Bytes {
    format!("data: {value}\n\n").into()
}

/// Returns the server-sent events of a streamed response to a request body.
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

/// Removes the first `offset` bytes of a stream.
fn skip_bytes(events: Vec<bytes::Bytes>, mut offset: u64) -> Vec<bytes::Bytes> {
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
        self.request_count.fetch_add(1, atomic::Ordering::Relaxed);
        let received = ReceivedRequest {
            request: request.header("x-request-id").to_owned(),
            path: request.path.clone(),
            offset,
        };
        self.requests.lock().expect("no holder panics").push(received);
        let body = request.json();
        let _slot = self.slots.acquire().await;
        tokio::time::sleep(self.prefill_time(&prompt_of(&body).0)).await;
        if body["stream"] == true {
            let events = skip_bytes(expected_events(&body), offset);
            let confirmed_offset = (offset > 0).then_some(offset);
            return server::Response::Events {
                events,
                pause: self.token_pause,
                offset: confirmed_offset,
            };
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
        serde_json::json!(*self.requests.lock().expect("no holder panics"))
    }
}
