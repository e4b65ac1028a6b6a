//! Stand-in for encoders, retrievers and rerankers.

use std::sync;
use std::sync::atomic;
use std::time;

use crate::server;

/// Number of elements of an embedding.
const DIMENSION_COUNT: u64 = 8;

/// Stand-in for an encoder, retriever or reranker; the request path selects which.
#[derive(Clone, Debug)]
pub struct Model {
    latency: time::Duration,
    slots: sync::Arc<tokio::sync::Semaphore>,
    request_count: sync::Arc<atomic::AtomicU64>,
}

impl Model {
    /// Makes a model that takes `latency` for a request and runs `slots` requests concurrently.
    pub fn new(latency: time::Duration, slots: usize) -> Self {
        let slots = sync::Arc::new(tokio::sync::Semaphore::new(slots));
        Self { latency, slots, request_count: sync::Arc::default() }
    }
}

fn embed(text: &str) -> Vec<u64> {
    let hash = |index| xxhash_rust::xxh3::xxh3_64_with_seed(text.as_bytes(), index) % 1_000;
    (0..DIMENSION_COUNT).map(hash).collect()
}

/// Returns the response of any model to a request body on a path.
pub fn expected_answer(path: &str, body: &serde_json::Value) -> serde_json::Value {
    match path {
        "/v1/embeddings" => {
            let vector = embed(&body["input"].to_string());
            serde_json::json!({ "object": "list", "data": [{ "index": 0, "embedding": vector }] })
        }
        "/v1/rerank" => {
            let documents = body["documents"].as_array().cloned().unwrap_or_default();
            let mut ranked: Vec<_> = documents.iter().map(ToString::to_string).collect();
            ranked.sort_by_key(|text| xxhash_rust::xxh3::xxh3_64(text.as_bytes()));
            serde_json::json!({ "query": body["query"], "results": ranked })
        }
        _ => {
            let seed = embed(&body.to_string());
            let documents: Vec<_> =
                seed.iter().map(|number| format!("document {number}")).collect();
            serde_json::json!({ "documents": documents })
        }
    }
}

impl server::StandIn for Model {
    async fn respond(&self, request: server::Request) -> server::Response {
        self.request_count.fetch_add(1, atomic::Ordering::Relaxed);
        let _slot = self.slots.acquire().await;
        tokio::time::sleep(self.latency).await;
        server::Response::Json(200, expected_answer(&request.path, &request.json()))
    }

    fn log(&self) -> serde_json::Value {
        serde_json::json!({ "count": self.request_count.load(atomic::Ordering::Relaxed) })
    }
}
