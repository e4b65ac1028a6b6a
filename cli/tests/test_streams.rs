//! Streams that are cut, that end too early, or that cannot be resumed, over real processes.

use bramleyshelf_lib::http;
use bramleyshelf_testutils::{cluster, engine, fault};

const PROGRAM: &str = env!("CARGO_BIN_EXE_bramleyshelf");
const TEXT: &str = include_str!("../../examples/takbaerer.json");

fn chat(number: u64) -> serde_json::Value {
    serde_json::json!({
        "messages": [{ "role": "user", "content": number.to_string() }],
        "max_tokens": 30,
        "stream": true,
    })
}

fn strike_all(system: &cluster::Cluster, faults: &fault::Faults) {
    for node in system.nodes.iter().filter(|node| node.service == "generator") {
        node.upstream.faults.set(faults.clone());
    }
}

async fn ask(system: &cluster::Cluster, body: &serde_json::Value) -> cluster::Response {
    let call = cluster::Call::new("/v1/chat/completions", "counter", body.clone());
    let client = http::client(true);
    call.send(&client, system.entries[0].address).await.expect("a response")
}

#[tokio::test]
async fn stream_cut_at_any_byte_is_continued() {
    // With one upstream the stream goes on there, with three it goes on elsewhere, up to three times.
    // The cuts of each system stay within the reserve of its retry budget.
    let cases: [(usize, &[u64]); 2] =
        [(1, &[1, 2, 57, 58, 59, 500, 1_234, 1_700]), (3, &[1, 58, 500])];
    for (upstreams, cuts) in cases {
        let shape = cluster::Options { work_ms: 1, upstreams, ..cluster::Options::default() };
        let system = cluster::Cluster::start(PROGRAM, "cut", TEXT, shape).await;
        continue_streams(&system, cuts).await;
    }
}

async fn continue_streams(system: &cluster::Cluster, cuts: &[u64]) {
    for (number, &cut_after) in (0..).zip(cuts) {
        let faults = fault::Faults { cut_after, times: Some(1), ..Default::default() };
        strike_all(system, &faults);
        let body = chat(number);
        let answer = ask(system, &body).await;
        let expected = engine::expected_events(&body).concat();
        assert_eq!(answer.status, 200, "{cut_after}");
        assert!(answer.is_complete && answer.body == expected, "cut after {cut_after} bytes");
        strike_all(system, &fault::Faults::default());
    }
}

#[tokio::test]
async fn stream_that_ends_without_its_mark_is_never_whole() {
    let text = TEXT.replace("\"resumes\": true", "\"resumes\": false");
    let shape = cluster::Options { work_ms: 1, ..cluster::Options::default() };
    let system = cluster::Cluster::start(PROGRAM, "short", &text, shape).await;
    let cases = [
        ("broken", fault::Faults { cut_after: 300, ..Default::default() }),
        ("ended as if whole", fault::Faults { end_after: 300, ..Default::default() }),
    ];
    for (number, (name, faults)) in (0..).zip(cases) {
        strike_all(&system, &faults);
        let answer = ask(&system, &chat(number)).await;
        assert!(!answer.is_complete, "{name}: the connection breaks");
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        assert!(text.contains("event: error") && !text.contains("[DONE]"), "{name}: {text}");
        strike_all(&system, &fault::Faults::default());
    }
}

#[tokio::test]
async fn answer_cut_short_is_tried_elsewhere() {
    let shape = cluster::Options { work_ms: 1, ..cluster::Options::default() };
    let system = cluster::Cluster::start(PROGRAM, "whole", TEXT, shape).await;
    for (number, cut_after) in (0..).zip([1, 10, 100]) {
        let faults = fault::Faults { cut_after, times: Some(1), ..Default::default() };
        strike_all(&system, &faults);
        let mut body = chat(number);
        body["stream"] = false.into();
        let answer = ask(&system, &body).await;
        assert_eq!(answer.status, 200, "{:?}", answer.json());
        assert_eq!(answer.json()["choices"][0]["message"]["content"], engine::expected_text(&body));
        strike_all(&system, &fault::Faults::default());
    }
}
