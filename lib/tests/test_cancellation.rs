//! The signal that ends all work on a request whose caller disconnects.

use std::time;

use bramleyshelf_lib::{cancellation, gateway_http, http, id};
use tokio::sync::mpsc;

const REQUEST: id::RequestId = id::RequestId(7);

/// Guards against a cancellation that overtakes its request and is forgotten, so that the request would
/// run for a caller that has left.
#[test]
fn signal_is_set_before_the_event_loop_is_told() {
    let (messages, mut inbox) = mpsc::unbounded_channel();
    let (guard, signal) = cancellation::channel(REQUEST, messages);
    assert!(!signal.is_cancelled());
    drop(guard);
    assert!(signal.is_cancelled());
    assert_eq!(inbox.try_recv(), Ok(REQUEST));
}

#[tokio::test]
async fn clones_of_the_signal_wake_up() {
    let (messages, _inbox) = mpsc::unbounded_channel();
    let (guard, signal) = cancellation::channel(REQUEST, messages);
    let waiters: Vec<_> = std::iter::repeat_with(|| {
        let mut signal = signal.clone();
        tokio::spawn(async move { signal.cancelled().await })
    })
    .take(3)
    .collect();
    tokio::task::yield_now().await;
    drop(guard);
    for waiter in waiters {
        let ended = http::with_timeout(time::Duration::from_secs(2), waiter).await;
        ended.expect("it wakes up").expect("no panic");
    }
}

/// Guards against a request that was answered whole and is then taken for an abandoned one.
#[test]
fn answered_request_is_not_cancelled() {
    let (messages, mut inbox) = mpsc::unbounded_channel();
    let (guard, signal) = cancellation::channel(REQUEST, messages.clone());
    http::Body::full("answer").take_guard(guard);
    assert!(!signal.is_cancelled());

    let (guard, signal) = cancellation::channel(REQUEST, messages);
    let (stream, mut body) = gateway_http::Stream::new();
    body.take_guard(guard);
    stream.finish(&signal);
    drop(body);
    assert!(!signal.is_cancelled());
    assert!(inbox.try_recv().is_err());
}

#[test]
fn dropping_the_body_of_an_unfinished_stream_cancels() {
    let (messages, mut inbox) = mpsc::unbounded_channel();
    let (guard, signal) = cancellation::channel(REQUEST, messages);
    let (_stream, mut body) = gateway_http::Stream::new();
    body.take_guard(guard);
    assert!(!signal.is_cancelled());
    drop(body);
    assert!(signal.is_cancelled());
    assert_eq!(inbox.try_recv(), Ok(REQUEST));
}
