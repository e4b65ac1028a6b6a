//! Connections that the server ends, over real sockets: no request that arrived whole goes without its
//! whole answer.

use std::io::{Read as _, Write as _};
use std::net;
use std::time;

use bramleyshelf_lib::{http, server_connection};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::sync::watch;

/// Bytes of an answer that no socket buffer holds.
const LARGE_ANSWER: usize = 32 << 20;
/// Pause of a caller that reads on: longer than a connection that makes way has.
const READER_PAUSE: time::Duration = time::Duration::from_millis(1_500);
/// Time within which an answer arrives.
const ANSWER_LIMIT: time::Duration = time::Duration::from_secs(10);

/// Answers with a body of [`LARGE_ANSWER`] bytes, or a small one.
#[derive(Clone)]
struct Answers;

impl http::Handler for Answers {
    async fn handle(
        &self,
        request: hyper::Request<hyper::body::Incoming>,
    ) -> hyper::Response<http::Body> {
        let body = match request.uri().path() {
            "/small" => b"small".to_vec(),
            _ => vec![b' '; LARGE_ANSWER],
        };
        http::respond(200, "text/plain", body)
    }
}

/// Starts a server for so many connections; returns its address.
async fn serve(connections: usize) -> (net::SocketAddr, watch::Sender<bool>) {
    let listener = http::listen(([127, 0, 0, 1], 0).into()).await.expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    let (stop, stopping) = watch::channel(false);
    let limits = http::ServerLimits { connections, ..http::ServerLimits::default() };
    tokio::spawn(http::serve_within(listener, Answers, stopping, limits));
    (address, stop)
}

fn head(path: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n").into_bytes()
}

async fn connect(address: net::SocketAddr) -> tokio::net::TcpStream {
    tokio::net::TcpStream::connect(address).await.expect("a listener")
}

/// Reads until the server closes the connection; returns the bytes and whether it was reset.
async fn read_rest(stream: &mut tokio::net::TcpStream) -> (Vec<u8>, bool) {
    let mut rest = Vec::new();
    let read = http::with_timeout(ANSWER_LIMIT, stream.read_to_end(&mut rest)).await;
    (rest, matches!(read, Some(Err(_))))
}

/// Reads a whole answer to `/small`, so that the connection is idle.
async fn get_small(stream: &mut tokio::net::TcpStream) {
    stream.write_all(&head("/small")).await.expect("an open connection");
    let mut answer = Vec::new();
    while !answer.ends_with(b"small") {
        assert_ne!(stream.read_buf(&mut answer).await.expect("an answer"), 0);
    }
}

/// Guards against a connection that counts as idle, and makes way, while the last bytes of an answer wait for
/// their caller: the end of the body is taken before them.
#[test]
fn connection_whose_caller_does_not_read_does_not_make_way() {
    let caller = net::IpAddr::from([127, 0, 0, 1]);
    let register = server_connection::Register::new(1);
    let connection = register.admit(caller).expect("room");
    let handle = connection.handle();
    let request = handle.begin_request(true);
    handle.write_blocked(true);
    drop(request);
    assert!(register.admit(caller).is_none(), "the answer is not sent");
    handle.write_blocked(false);
    assert!(register.admit(caller).is_some(), "it is idle");
}

/// Guards against bytes of a next request that make a connection count as waiting while its answer is sent.
#[tokio::test]
async fn answer_is_not_cut_because_the_next_request_has_begun() {
    let (address, _stop) = serve(1).await;
    let mut caller = connect(address).await;
    caller.write_all(&head("/")).await.expect("an open connection");
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    caller.write_all(&head("/small")[..10]).await.expect("an open connection");
    tokio::time::sleep(time::Duration::from_millis(100)).await;
    let _other = connect(address).await;
    tokio::time::sleep(READER_PAUSE).await;
    let mut answer = vec![0; LARGE_ANSWER];
    let read = http::with_timeout(ANSWER_LIMIT, caller.read_exact(&mut answer)).await;
    assert!(matches!(read, Some(Ok(_))), "{read:?}");
}

/// Guards against an answer that is cut because its request arrived whole just when its connection was told
/// to make way, and its caller has not read it after the time for a refusal.
#[tokio::test]
async fn answer_on_a_connection_that_makes_way_is_not_cut() {
    let (address, _stop) = serve(1).await;
    let mut caller = connect(address).await;
    get_small(&mut caller).await;
    tokio::time::sleep(time::Duration::from_millis(50)).await;
    // The server sees the request and the new connection at the same time.
    let mut caller = caller.into_std().expect("a socket");
    caller.set_nonblocking(false).expect("a socket");
    let _other = net::TcpStream::connect(address).expect("a listener");
    caller.write_all(&head("/")).expect("an open connection");
    tokio::time::sleep(READER_PAUSE).await;
    let read = tokio::task::spawn_blocking(move || {
        let mut answer = vec![0; LARGE_ANSWER];
        caller.read_exact(&mut answer)
    });
    let read = http::with_timeout(ANSWER_LIMIT, read).await.expect("an end").expect("no panic");
    assert!(read.is_ok(), "{read:?}");
}

/// Guards against a request on a kept connection that arrived before the stop and is thrown away unread.
#[tokio::test]
async fn request_sent_before_the_stop_on_a_kept_connection_is_answered() {
    let (address, stop) = serve(10).await;
    let mut caller = connect(address).await;
    get_small(&mut caller).await;
    tokio::time::sleep(time::Duration::from_millis(50)).await;
    let mut caller = caller.into_std().expect("a socket");
    caller.write_all(&head("/small")).expect("an open connection");
    stop.send_replace(true);
    let mut caller = tokio::net::TcpStream::from_std(caller).expect("a socket");
    let (rest, is_reset) = read_rest(&mut caller).await;
    assert!(rest.ends_with(b"small"), "{} bytes, reset: {is_reset}", rest.len());
}

/// Guards against the same for a connection that makes way.
#[tokio::test]
async fn request_sent_before_its_connection_makes_way_is_answered() {
    let (address, _stop) = serve(1).await;
    let mut caller = connect(address).await;
    get_small(&mut caller).await;
    tokio::time::sleep(time::Duration::from_millis(50)).await;
    let mut caller = caller.into_std().expect("a socket");
    let _other = net::TcpStream::connect(address).expect("a listener");
    caller.write_all(&head("/small")).expect("an open connection");
    let mut caller = tokio::net::TcpStream::from_std(caller).expect("a socket");
    let (rest, is_reset) = read_rest(&mut caller).await;
    assert!(rest.ends_with(b"small"), "{} bytes, reset: {is_reset}", rest.len());
}

/// Guards against the same over HTTP/2, whose streams have windows of their own.
#[tokio::test]
async fn answer_over_http2_on_a_connection_that_makes_way_is_not_cut() {
    let (address, _stop) = serve(1).await;
    let client = http::peer_client();
    let request = hyper::Request::get(format!("http://{address}/"));
    let request = request.body(http::Body::full("")).expect("a request");
    let response = client.request(request).await.expect("an answer");
    let _other = connect(address).await;
    tokio::time::sleep(READER_PAUSE).await;
    let body = http::read_body(response.into_body(), u64::MAX, ANSWER_LIMIT).await;
    assert_eq!(body.map(|body| body.len()), Ok(LARGE_ANSWER));
}

/// Guards against a request on a kept connection whose head has arrived in part at the stop, and whose rest
/// meets a closed connection.
#[tokio::test]
async fn head_in_transit_at_the_stop_on_a_kept_connection_is_answered() {
    let (address, stop) = serve(10).await;
    let mut caller = connect(address).await;
    get_small(&mut caller).await;
    let head = head("/small");
    caller.write_all(&head[..10]).await.expect("an open connection");
    tokio::time::sleep(time::Duration::from_millis(50)).await;
    stop.send_replace(true);
    tokio::time::sleep(time::Duration::from_millis(100)).await;
    caller.write_all(&head[10..]).await.expect("an open connection");
    let (rest, is_reset) = read_rest(&mut caller).await;
    assert!(rest.ends_with(b"small"), "{} bytes, reset: {is_reset}", rest.len());
}
