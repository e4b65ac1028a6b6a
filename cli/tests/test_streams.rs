//! Streams that break, that end too early, or that cannot be resumed, with real processes.

use bramleyshelf_lib::http;
use bramleyshelf_testutils::{cluster, engine, fault};

const PROGRAM: &str = env!("CARGO_BIN_EXE_bramleyshelf");
const CONFIG: &str = include_str!("../../examples/takbaerer.json");

fn chat(number: u64) -> serde_json::Value {
    serde_json::json!({
        "messages": [{ "role": "user", "content": number.to_string() }],
        "max_tokens": 30,
        "stream": true,
    })
}

/// Sets the faults of all generators.
fn set_faults(system: &cluster::Cluster, faults: &fault::Faults) {
    for node in system.nodes.iter().filter(|node| node.service == "generator") {
        node.upstream.faults.set(faults.clone());
    }
}

async fn send_chat(system: &cluster::Cluster, body: &serde_json::Value) -> cluster::Response {
    let call = cluster::Call::new("/v1/chat/completions", "counter", body.clone());
    let client = http::client(true);
    call.send(&client, system.entries[0].address).await.expect("a response")
}

#[tokio::test]
async fn stream_cut_at_any_byte_is_resumed() {
    // With one upstream the stream resumes there; with three it resumes at other upstreams, up to three
    // times. The number of cuts per cluster stays within the reserve of its retry budget.
    let cases: [(usize, &[u64]); 2] =
        [(1, &[1, 2, 57, 58, 59, 500, 1_234, 1_700]), (3, &[1, 58, 500])];
    for (upstreams, cuts) in cases {
        let options = cluster::Options { work_ms: 1, upstreams, ..cluster::Options::default() };
        let system = cluster::Cluster::start(PROGRAM, "cut", CONFIG, options).await;
        check_resumed_streams(&system, cuts).await;
    }
}

async fn check_resumed_streams(system: &cluster::Cluster, cuts: &[u64]) {
    for (number, &cut_after) in (0..).zip(cuts) {
        let faults = fault::Faults { cut_after, times: Some(1), ..Default::default() };
        set_faults(system, &faults);
        let body = chat(number);
        let answer = send_chat(system, &body).await;
        let expected = engine::expected_events(&body).concat();
        assert_eq!(answer.status, 200, "{cut_after}");
        assert!(answer.is_complete && answer.body == expected, "cut after {cut_after} bytes");
        set_faults(system, &fault::Faults::default());
    }
}

#[tokio::test]
async fn stream_without_end_marker_is_reported_as_broken() {
    let config = CONFIG.replace("\"resumes\": true", "\"resumes\": false");
    let options = cluster::Options { work_ms: 1, ..cluster::Options::default() };
    let system = cluster::Cluster::start(PROGRAM, "short", &config, options).await;
    let cases = [
        ("broken", fault::Faults { cut_after: 300, ..Default::default() }),
        ("ended like a complete one", fault::Faults { end_after: 300, ..Default::default() }),
    ];
    for (number, (name, faults)) in (0..).zip(cases) {
        set_faults(&system, &faults);
        let answer = send_chat(&system, &chat(number)).await;
        assert!(!answer.is_complete, "{name}: the connection breaks");
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        assert!(text.contains("event: error") && !text.contains("[DONE]"), "{name}: {text}");
        set_faults(&system, &fault::Faults::default());
    }
}

#[tokio::test]
async fn truncated_answer_is_retried() {
    let options = cluster::Options { work_ms: 1, ..cluster::Options::default() };
    let system = cluster::Cluster::start(PROGRAM, "whole", CONFIG, options).await;
    for (number, cut_after) in (0..).zip([1, 10, 100]) {
        let faults = fault::Faults { cut_after, times: Some(1), ..Default::default() };
        set_faults(&system, &faults);
        let mut body = chat(number);
        body["stream"] = false.into();
        let answer = send_chat(&system, &body).await;
        assert_eq!(answer.status, 200, "{:?}", answer.json());
        assert_eq!(answer.json()["choices"][0]["message"]["content"], engine::expected_text(&body));
        set_faults(&system, &fault::Faults::default());
    }
}
