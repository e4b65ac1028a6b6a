//! Parts of a response on their way from the event loop to a slow caller.

use bramleyshelf_lib::entry_http;

#[test]
fn finish_reaches_a_caller_whose_buffer_is_full() {
    let (replies, mut inbox) = entry_http::ReplySender::channel(3);
    let data = || entry_http::Reply::Data("event".into());
    for _ in 0..3 {
        assert!(replies.try_send(data()));
    }
    assert!(!replies.try_send(data()), "the buffer is full");
    replies.finish(entry_http::Reply::End);
    let parts: Vec<_> = std::iter::from_fn(|| inbox.blocking_recv()).collect();
    assert_eq!(parts.len(), 4);
    assert!(matches!(parts[3], entry_http::Reply::End), "the stream ends whole");
}
