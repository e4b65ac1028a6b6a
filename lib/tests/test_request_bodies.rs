//! Bodies of requests that are refused while they arrive, over real sockets: the status that the caller
//! gets, and the end of its connection.

use std::net;
use std::sync;
use std::time;

use bramleyshelf_lib::memory_budget;
use bramleyshelf_lib::{http, server_connection};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::sync::watch;

/// Limit on bodies.
const LIMIT: usize = 1_000_000;
/// Time within which an answer arrives and the connection ends.
const ANSWER_LIMIT: time::Duration = time::Duration::from_secs(5);

/// Reads each body and answers 200, or the status of a refusal.
#[derive(Clone)]
struct Reader {
    budget: memory_budget::Budget,
    bodies: sync::Arc<sync::Mutex<Vec<bytes::Bytes>>>,
}

impl http::Handler for Reader {
    async fn handle(
        &self,
        request: hyper::Request<hyper::body::Incoming>,
    ) -> hyper::Response<http::Body> {
        let (head, body) = request.into_parts();
        let connection = head.extensions.get::<server_connection::Handle>();
        let limit = LIMIT as u64;
        let body = http::receive_body(body, limit, ANSWER_LIMIT, &self.budget, connection).await;
        let status = match body {
            Ok(body) => {
                self.bodies.lock().expect("no panic").push(body);
                200
            }
            Err(http::ReadError::TooLarge) => 413,
            Err(http::ReadError::OverBudget) => 503,
            Err(http::ReadError::Timeout | http::ReadError::Incomplete) => 408,
        };
        http::respond(status, "text/plain", "")
    }
}

/// Starts a server; returns its address and its handler.
async fn serve(limits: memory_budget::Limits) -> (net::SocketAddr, Reader) {
    let budget = memory_budget::Budget::with_limits(limits);
    let handler = Reader { budget: budget.clone(), bodies: sync::Arc::default() };
    let address = "127.0.0.1:0".parse().expect("an address");
    let listener = http::listen(address).await.expect("a free port");
    let address = listener.local_addr().expect("it listens");
    let (stop, stopping) = watch::channel(false);
    let server_limits = http::ServerLimits::for_callers(&budget);
    let server = handler.clone();
    tokio::spawn(async move {
        http::serve_within(listener, server, stopping, server_limits).await;
        drop(stop);
    });
    (address, handler)
}

fn limits(bytes: usize, callers: usize) -> memory_budget::Limits {
    memory_budget::Limits { bytes, callers, peers: 1 }
}

async fn send(address: net::SocketAddr, text: &[u8]) -> tokio::net::TcpStream {
    let mut stream = tokio::net::TcpStream::connect(address).await.expect("connected");
    stream.write_all(text).await.expect("sent");
    stream
}

/// Returns the answer that arrives before the end of the connection.
async fn read_to_end(stream: &mut tokio::net::TcpStream) -> String {
    let mut answer = Vec::new();
    let read = http::with_timeout(ANSWER_LIMIT, stream.read_to_end(&mut answer)).await;
    assert!(matches!(read, Some(Ok(_))), "the connection is closed, not reset: {read:?}");
    String::from_utf8_lossy(&answer).into_owned()
}

fn declared(length: usize) -> Vec<u8> {
    format!("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n\r\n").into_bytes()
}

/// Guards against a body over the limit whose bytes the server reads although the head declares them, and
/// against a refusal that is lost because the connection is reset.
#[tokio::test]
async fn declared_body_over_the_limit_gets_413_and_a_closed_connection() {
    let (address, _) = serve(limits(10 * LIMIT, 10)).await;
    let text = [declared(100 * LIMIT), vec![b' '; 100_000]].concat();
    let answer = read_to_end(&mut send(address, &text).await).await;
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
}

/// Guards against a caller that expects the invitation to send a body, and gets it for one that is refused.
#[tokio::test]
async fn expected_body_over_the_limit_is_refused_without_an_invitation() {
    let (address, _) = serve(limits(10 * LIMIT, 10)).await;
    let head = format!(
        "POST / HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\ncontent-length: {}\r\n\r\n",
        100 * LIMIT
    );
    let answer = read_to_end(&mut send(address, head.as_bytes()).await).await;
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
}

/// Guards against a server that goes on to read a chunked body without an end.
#[tokio::test]
async fn endless_chunks_get_413_and_a_closed_connection() {
    let (address, _) = serve(limits(10 * LIMIT, 10)).await;
    let head = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
    let (mut read, mut write) = send(address, head).await.into_split();
    let sender = tokio::spawn(async move {
        let chunk = [b"10000\r\n".as_slice(), &vec![b' '; 65_536], b"\r\n"].concat();
        // Ends when the server has closed the connection.
        while write.write_all(&chunk).await.is_ok() {}
    });
    let mut answer = [0; 12];
    let received = http::with_timeout(ANSWER_LIMIT, read.read_exact(&mut answer)).await;
    assert!(matches!(received, Some(Ok(_))), "{received:?}");
    assert_eq!(&answer, b"HTTP/1.1 413");
    assert!(http::with_timeout(ANSWER_LIMIT, sender).await.is_some(), "the server still reads");
}

/// Guards against an evicted body whose caller gets no refusal, or one that does not say "not run".
#[tokio::test]
async fn evicted_body_gets_503_and_a_closed_connection() {
    let (address, handler) = serve(limits(LIMIT, 10)).await;
    let text = [declared(LIMIT / 2), vec![b' '; LIMIT / 2 - 1]].concat();
    let mut stalled = send(address, &text).await;
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    let text = [declared(LIMIT / 2), vec![b' '; LIMIT / 2]].concat();
    let mut whole = send(address, &text).await;
    let answer = read_to_end(&mut stalled).await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    let mut answer = [0; 12];
    whole.read_exact(&mut answer).await.expect("an answer");
    assert_eq!(&answer, b"HTTP/1.1 200");
    assert_eq!(handler.bodies.lock().expect("no panic").len(), 1);
}

/// Guards against a body that is kept out for good by one that is running, and a caller that is not told.
#[tokio::test]
async fn body_beside_running_work_gets_503() {
    let (address, _handler) = serve(limits(LIMIT, 10)).await;
    let text = [declared(LIMIT / 2), vec![b' '; LIMIT / 2]].concat();
    let mut first = send(address, &text).await;
    let mut answer = [0; 12];
    first.read_exact(&mut answer).await.expect("an answer");
    // The handler keeps the first body.
    let answer = read_to_end(&mut send(address, &text).await).await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
}

/// Guards against a connection limit that keeps new callers out while others stop inside a body.
#[tokio::test]
async fn connection_inside_a_body_makes_way_with_a_refusal() {
    let (address, _) = serve(limits(10 * LIMIT, 2)).await;
    let mut first = send(address, &[declared(10), b"short".to_vec()].concat()).await;
    tokio::time::sleep(time::Duration::from_millis(100)).await;
    let _second = send(address, b"POST / HTTP/1.1\r\nhost:").await;
    tokio::time::sleep(time::Duration::from_millis(100)).await;
    let mut third = send(address, &[declared(5), b"whole".to_vec()].concat()).await;
    let answer = read_to_end(&mut first).await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    let mut answer = [0; 12];
    third.read_exact(&mut answer).await.expect("an answer");
    assert_eq!(&answer, b"HTTP/1.1 200");
}

/// Requests on one HTTP/2 connection, and the bytes of each of their heads: together twice the memory.
const STREAMS: usize = 200;
const HEAD_BYTES: usize = 10_000;

/// Guards against the heads of unfinished requests on one connection, of which each takes as much memory as
/// a connection of its own.
#[tokio::test]
async fn heads_of_unfinished_requests_count() {
    let (address, _) = serve(limits(LIMIT, 10)).await;
    let client = http::peer_client();
    let mut requests = tokio::task::JoinSet::new();
    for _ in 0..STREAMS {
        let (sender, body) = http::Body::stream(1);
        let request = hyper::Request::post(format!("http://{address}/"))
            .header("x-long", "x".repeat(HEAD_BYTES))
            .body(body)
            .expect("a request");
        let client = client.clone();
        requests.spawn(async move {
            let response = http::with_timeout(2 * ANSWER_LIMIT, client.request(request)).await;
            drop(sender);
            response.map(|response| response.map(|response| response.status().as_u16()))
        });
    }
    let answers: Vec<_> = requests.join_all().await;
    let count = |expected: u16| {
        let has =
            |status: &&Option<Result<u16, _>>| matches!(status, Some(Ok(s)) if *s == expected);
        answers.iter().filter(has).count()
    };
    // A request that is held until its time is over gets 408.
    let (refused, held) = (count(503), count(408));
    assert!(held * HEAD_BYTES <= LIMIT, "{held} heads were held");
    assert_eq!(refused + held, STREAMS, "{answers:?}");
}
