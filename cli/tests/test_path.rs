//! Requests through entries, sidecars and upstreams, with the configurations of both example
//! deployments.

use std::collections;

use bramleyshelf_lib::http;
use bramleyshelf_testutils::{cluster, engine, model};

const PROGRAM: &str = env!("CARGO_BIN_EXE_bramleyshelf");
const TAKBAERER: &str = include_str!("../../examples/takbaerer.json");
const PADDOCK_LANE: &str = include_str!("../../examples/paddock-lane.json");

fn question(number: u32) -> serde_json::Value {
    serde_json::json!({ "question": format!("question {number}") })
}

/// Returns the request body that the last of the four stages of the examples gets for a question.
fn expected_chat_body(question: &str) -> serde_json::Value {
    let input = serde_json::json!({ "input": question });
    let embedding =
        model::expected_answer("/v1/embeddings", &input)["data"][0]["embedding"].clone();
    let search = serde_json::json!({ "vector": embedding, "top": 8 });
    let documents = model::expected_answer("/retrieve", &search)["documents"].clone();
    let rank = serde_json::json!({ "query": question, "documents": documents });
    let results = model::expected_answer("/v1/rerank", &rank)["results"].clone();
    let content = format!("Question: {question}\nSources: {results}");
    serde_json::json!({
        "model": "assistant",
        "max_tokens": 24,
        "messages": [{ "role": "user", "content": content }],
    })
}

/// Checks the answers to pipeline requests, a stream and a booking that is sent to both entries.
async fn check_all_paths(name: &str, config: &str, pipeline: &str, team: &str) {
    let options = cluster::Options::default();
    let system = cluster::Cluster::start(PROGRAM, name, config, options).await;
    let client = http::client(true);
    for number in 0..6 {
        let entry = system.entries[number as usize % 2].address;
        let call = cluster::Call::new(pipeline, team, question(number));
        let answer = call.send(&client, entry).await.expect("a response");
        let expected = engine::expected_text(&expected_chat_body(&format!("question {number}")));
        assert_eq!(answer.status, 200, "{:?}", answer.json());
        assert_eq!(answer.json()["choices"][0]["message"]["content"], expected);
    }
    let mut body = question(7);
    body["stream"] = true.into();
    let call = cluster::Call::new(pipeline, team, body);
    let answer = call.send(&client, system.entries[0].address).await.expect("a response");
    let expected: Vec<u8> = engine::expected_events(&expected_chat_body("question 7")).concat();
    assert!(answer.is_complete && answer.body == expected);

    let key = cluster::new_key();
    let body = serde_json::json!({ "action": "b1" });
    let booking = cluster::Call::new("/services/bookings", team, body).with_key(&key);
    let mut answers = collections::BTreeSet::new();
    for entry in &system.entries {
        let answer = booking.send(&client, entry.address).await.expect("a response");
        assert_eq!(answer.status, 200, "{:?}", answer.json());
        answers.insert(answer.body);
    }
    assert_eq!(answers.len(), 1, "both entries return the same answer");
    assert_eq!(system.executions("bookings").len(), 1);
}

#[tokio::test]
async fn all_paths_serve_takbaerer() {
    check_all_paths("takbaerer", TAKBAERER, "/pipelines/fitting-guide", "counter").await;
}

#[tokio::test]
async fn all_paths_serve_paddock_lane() {
    check_all_paths("paddock", PADDOCK_LANE, "/pipelines/rule-answer", "marshals").await;
}

#[tokio::test]
async fn openai_paths_reach_their_services() {
    let options = cluster::Options { entries: 1, upstreams: 1, ..cluster::Options::default() };
    let system = cluster::Cluster::start(PROGRAM, "openai", TAKBAERER, options).await;
    let client = http::client(true);
    let entry = system.entries[0].address;
    let bodies = [
        ("/v1/embeddings", serde_json::json!({ "input": "a" })),
        ("/v1/rerank", serde_json::json!({ "query": "a", "documents": ["x", "y"] })),
    ];
    for (path, body) in bodies {
        let call = cluster::Call::new(path, "counter", body.clone());
        let answer = call.send(&client, entry).await.expect("a response");
        assert_eq!(answer.json(), model::expected_answer(path, &body), "{path}");
    }
    let body = serde_json::json!({ "messages": [{ "role": "user", "content": "hi" }] });
    let call = cluster::Call::new("/v1/chat/completions", "counter", body.clone());
    let answer = call.send(&client, entry).await.expect("a response");
    assert_eq!(answer.json()["choices"][0]["message"]["content"], engine::expected_text(&body));
}
