//! Answers to sidecars and to gateways whose connection ends early, or that end with their
//! connection.

use std::time;

use bramleyshelf_lib::{gateway_peers, http, id, relay, sidecar, upstream, upstream_pool};
use bramleyshelf_testutils::raw_server;
use bramleyshelf_testutils::values::name;
use raw_server::{Answer, End, Framing};
use tokio::sync::mpsc;

const EVENT_STREAM: &str = "content-type: text/event-stream\r\n";

/// Runs a call of a sidecar and returns how its answer ended.
async fn run_call(answer: Answer) -> Result<u16, sidecar::CallError> {
    let address = raw_server::serve(move |_| answer.clone()).await;
    let attempt = id::AttemptId(1);
    let call = upstream::Call {
        attempt,
        address,
        path: "/run".to_owned(),
        body: "{}".into(),
        request: id::RequestId(1),
        team: name("ski"),
        key: None,
        offset: 0,
        budget: time::Duration::from_secs(3),
        repeatable: true,
    };
    let (parts, mut inbox) = mpsc::channel(16);
    tokio::spawn(upstream::run(http::client(false), call, parts));
    while let Some((_, part)) = inbox.recv().await {
        match part {
            upstream::Part::End(status) => return Ok(status),
            upstream::Part::Failed(error) => return Err(error),
            upstream::Part::Head(_) | upstream::Part::Data(_) => {}
        }
    }
    panic!("the call reports no end");
}

#[tokio::test]
async fn stream_that_ends_inside_its_last_event_is_not_complete() {
    use Framing::{Chunks, Connection, Length};
    let cases = [
        ("data: 1\n\ndata: [DONE]\n\n", true),
        ("data: 1\r\n\r\ndata: [DONE]\r\n\r\n", true),
        ("data: [DONE]\n\n", true),
        ("event: end\ndata: [DONE]\n\n\n", true),
        ("data: 1\n\n", false),
        ("", false),
        ("data: 1\n\ndata: [DONE]", false),
        ("data: 1\n\ndata: [DONE]\n", false),
        ("data: 1\n\ndata: write data: [DONE]\n\n", false),
        ("data: 1\n\ndata: {\"text\": \"data: [DONE]\n\n", false),
    ];
    for (body, is_complete) in cases {
        for framing in [Length, Chunks, Connection] {
            let answer = Answer {
                headers: EVENT_STREAM.to_owned(),
                framing,
                body: body.to_owned(),
                end: End::Close,
            };
            let ended = run_call(answer).await;
            assert_eq!(ended.is_ok(), is_complete, "{framing:?} {body:?} {ended:?}");
        }
    }
}

#[tokio::test]
async fn answer_cut_by_its_connection_is_not_complete() {
    let cases = [
        (Framing::Connection, End::Close, true),
        (Framing::Connection, End::Reset, false),
        (Framing::MissingChunk, End::Close, false),
        (Framing::MissingChunk, End::Reset, false),
    ];
    for (headers, body) in [("", "{}"), (EVENT_STREAM, "data: 1\n\ndata: [DONE]\n\n")] {
        for (framing, end, is_complete) in cases {
            let answer =
                Answer { headers: headers.to_owned(), framing, body: body.to_owned(), end };
            let ended = run_call(answer).await;
            assert_eq!(ended.is_ok(), is_complete, "{framing:?} {end:?} {body:?} {ended:?}");
        }
    }
}

/// Reads of the store that another gateway passes on are used only if they are whole.
#[tokio::test]
async fn relayed_reads_cut_anywhere_are_not_used() {
    let address = raw_server::serve(|_| Answer {
        headers: "content-type: application/vnd.msgpack\r\n".to_owned(),
        framing: Framing::Connection,
        // An array of eight values that ends after the second one.
        body: "\u{18}\u{2}\u{1}".to_owned(),
        end: End::Close,
    })
    .await;
    let pool = upstream_pool::Pool::default();
    let request = relay::ReadsRequest { version: relay::VERSION, ..Default::default() };
    assert!(gateway_peers::fetch_reads(&pool, address, request).await.is_none());
}

#[tokio::test]
async fn endless_answer_of_a_gateway_ends() {
    let address = raw_server::serve_without_end().await;
    let pool = upstream_pool::Pool::default();
    let request = relay::ReadsRequest { version: relay::VERSION, ..Default::default() };
    let reads = gateway_peers::fetch_reads(&pool, address, request);
    let reads = http::with_timeout(time::Duration::from_secs(1), reads).await.expect("it ends");
    assert!(reads.is_none());
}
