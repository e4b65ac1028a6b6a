//! Stop of the HTTP server under load: connections that were established before the stop, and
//! requests that cross it.

use std::io;
use std::net;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;
use std::time;

use bramleyshelf_lib::memory_budget::ledger;
use bramleyshelf_lib::{http, memory_budget, peer, telemetry, upstream_pool};
use tokio::io::{AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _};
use tokio::sync::watch;

/// Connections that are established before each stop.
const CONNECTIONS: usize = 24;
const HEAD: &[u8] = b"GET /a HTTP/1.1\r\nhost: a\r\n\r\n";
/// Time within which a stopped server without work has to end.
const END_LIMIT: time::Duration = time::Duration::from_secs(2);

#[derive(Clone)]
struct Echo;

impl http::Handler for Echo {
    async fn handle(
        &self,
        request: hyper::Request<hyper::body::Incoming>,
    ) -> hyper::Response<http::Body> {
        http::respond(200, "text/plain", request.uri().path().to_owned())
    }
}

async fn listen() -> (tokio::net::TcpListener, net::SocketAddr) {
    let listener = http::listen(([127, 0, 0, 1], 0).into()).await.expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    (listener, address)
}

/// Reads until the server closes the connection; empty if it closed without an answer.
async fn read_answer(mut stream: tokio::net::TcpStream) -> String {
    let mut answer = Vec::new();
    // A reset counts as no answer, like a close.
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

#[tokio::test]
async fn serve_answers_requests_established_before_the_stop() {
    let (listener, address) = listen().await;
    let mut clients = Vec::new();
    for _ in 0..CONNECTIONS {
        let mut stream = tokio::net::TcpStream::connect(address).await.expect("a backlog");
        stream.write_all(HEAD).await.expect("an open connection");
        clients.push(stream);
    }
    let (_stop, stopping) = watch::channel(true);
    let server = tokio::spawn(http::serve(listener, Echo, stopping));
    for (number, stream) in clients.into_iter().enumerate() {
        let answer = read_answer(stream).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "connection {number}: {answer:?}");
    }
    tokio::time::timeout(END_LIMIT, server).await.expect("it ends").expect("no panic");
}

#[tokio::test]
async fn serve_answers_heads_in_transit_at_the_stop() {
    let (listener, address) = listen().await;
    let (stop, stopping) = watch::channel(false);
    let server = tokio::spawn(http::serve(listener, Echo, stopping));
    let mut clients = Vec::new();
    for _ in 0..CONNECTIONS {
        let mut stream = tokio::net::TcpStream::connect(address).await.expect("a listener");
        stream.write_all(&HEAD[..10]).await.expect("an open connection");
        clients.push(stream);
    }
    tokio::time::sleep(time::Duration::from_millis(50)).await;
    stop.send_replace(true);
    tokio::time::sleep(time::Duration::from_millis(50)).await;
    for stream in &mut clients {
        stream.write_all(&HEAD[10..]).await.expect("an open connection");
    }
    for (number, stream) in clients.into_iter().enumerate() {
        let answer = read_answer(stream).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "connection {number}: {answer:?}");
    }
    tokio::time::timeout(END_LIMIT, server).await.expect("it ends").expect("no panic");
}

#[tokio::test]
async fn serve_ends_despite_silent_connections() {
    let (listener, address) = listen().await;
    let (stop, stopping) = watch::channel(false);
    let server = tokio::spawn(http::serve(listener, Echo, stopping));
    let silent = tokio::net::TcpStream::connect(address).await.expect("a listener");
    tokio::time::sleep(time::Duration::from_millis(50)).await;
    stop.send_replace(true);
    tokio::time::timeout(END_LIMIT, server).await.expect("it ends").expect("no panic");
    assert_eq!(read_answer(silent).await, "");
}

/// Answers after a pause and counts the requests that reached it.
#[derive(Clone, Default)]
struct SlowCounter {
    requests: sync::Arc<atomic::AtomicUsize>,
}

impl http::Handler for SlowCounter {
    async fn handle(
        &self,
        _request: hyper::Request<hyper::body::Incoming>,
    ) -> hyper::Response<http::Body> {
        self.requests.fetch_add(1, atomic::Ordering::Relaxed);
        tokio::time::sleep(time::Duration::from_millis(30)).await;
        http::respond(200, "text/plain", "")
    }
}

#[tokio::test]
async fn request_frames_tells_whether_a_stopping_peer_processed_it() {
    for round in 0..20 {
        let (listener, address) = listen().await;
        let (stop, stopping) = watch::channel(false);
        let counter = SlowCounter::default();
        let server = tokio::spawn(http::serve(listener, counter.clone(), stopping));
        let client = http::peer_client();
        let mut requests = tokio::task::JoinSet::new();
        for number in 0..200 {
            let client = client.clone();
            requests.spawn(async move {
                let body = bytes::Bytes::from_static(b"x");
                peer::request_frames(&client, address, "/", body).await.map(|_| ())
            });
            if number == 100 {
                stop.send_replace(true);
            }
            if number % 4 == 0 {
                tokio::time::sleep(time::Duration::from_micros(200)).await;
            }
        }
        let mut answered = 0;
        while let Some(result) = requests.join_next().await {
            match result.expect("no panic") {
                Ok(()) => answered += 1,
                Err(peer::PeerError::NotSent { .. }) => {}
                Err(e) => panic!("round {round}: {e}"),
            }
        }
        assert_eq!(answered, counter.requests.load(atomic::Ordering::Relaxed), "round {round}");
        tokio::time::timeout(END_LIMIT, server).await.expect("it ends").expect("no panic");
    }
}

/// Serves one connection with header lines without end; returns the bytes that it could send before
/// the client closed.
async fn send_endless_head(listener: tokio::net::TcpListener) -> usize {
    let (mut stream, _) = listener.accept().await.expect("a client");
    let line = b"x-filler: 0123456789\r\n".repeat(64);
    let mut sent = stream.write(b"HTTP/1.1 200 OK\r\n").await.expect("an open connection");
    while let Ok(bytes) = stream.write(&line).await {
        sent += bytes;
    }
    sent
}

/// Bytes that a client may receive of a head that it does not accept, socket buffers included.
const HEAD_LIMIT: usize = 8 << 20;

#[tokio::test]
async fn client_ends_a_head_without_end() {
    let (listener, address) = listen().await;
    let server = tokio::spawn(send_endless_head(listener));
    let sent = http::client(true).request(http::post(address, "/a", "x")).await;
    assert!(sent.is_err(), "it is no answer");
    let bytes = tokio::time::timeout(END_LIMIT, server).await.expect("it is closed");
    assert!(bytes.expect("no panic") < HEAD_LIMIT);
}

#[tokio::test]
async fn pool_ends_a_head_without_end() {
    let (listener, address) = listen().await;
    let server = tokio::spawn(send_endless_head(listener));
    let pool = upstream_pool::Pool::default();
    let mut request = http::post(address, "/a", "x");
    *request.uri_mut() = hyper::Uri::from_static("/a");
    let sent = pool.send(address, 1, request).await;
    // The request was sent, so it may have run.
    assert!(matches!(sent, Err(upstream_pool::SendError::Broken)));
    let bytes = tokio::time::timeout(END_LIMIT, server).await.expect("it is closed");
    assert!(bytes.expect("no panic") < HEAD_LIMIT);
}

/// A connection that takes any request and ends with an error in place of an answer.
struct FailingStream(io::ErrorKind);

impl AsyncRead for FailingStream {
    fn poll_read(
        self: pin::Pin<&mut Self>,
        _: &mut task::Context<'_>,
        _: &mut tokio::io::ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        task::Poll::Ready(Err(self.0.into()))
    }
}

impl AsyncWrite for FailingStream {
    fn poll_write(
        self: pin::Pin<&mut Self>,
        _: &mut task::Context<'_>,
        data: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        task::Poll::Ready(Ok(data.len()))
    }

    fn poll_flush(
        self: pin::Pin<&mut Self>,
        _: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        task::Poll::Ready(Ok(()))
    }

    fn poll_shutdown(
        self: pin::Pin<&mut Self>,
        _: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        task::Poll::Ready(Ok(()))
    }
}

/// A crash of the peer ends its connections; a cut network only lets them time out.
#[tokio::test]
async fn is_timed_out_tells_the_network_from_the_peer() {
    let cases = [
        (io::ErrorKind::TimedOut, true),
        (io::ErrorKind::HostUnreachable, true),
        (io::ErrorKind::ConnectionReset, false),
        (io::ErrorKind::BrokenPipe, false),
    ];
    for (kind, is_timed_out) in cases {
        let stream = hyper_util::rt::TokioIo::new(FailingStream(kind));
        let (_sender, connection) =
            hyper::client::conn::http1::handshake::<_, http::Body>(stream).await.expect("a client");
        let error = connection.await.expect_err("it ends with an error");
        assert_eq!(http::is_timed_out(&error), is_timed_out, "{kind:?} {error:?}");
    }
}

/// Bytes of an answer that no socket buffer holds.
const LARGE_ANSWER: usize = 64 << 20;

/// Answers by path: never, with a body that is aborted, or with a large one.
#[derive(Clone)]
struct Unfinished;

impl http::Handler for Unfinished {
    async fn handle(
        &self,
        request: hyper::Request<hyper::body::Incoming>,
    ) -> hyper::Response<http::Body> {
        match request.uri().path() {
            "/never" => std::future::pending().await,
            "/aborted" => {
                let (mut sender, body) = http::Body::stream(1);
                sender.send("begun".into()).await;
                sender.abort();
                hyper::Response::new(body)
            }
            _ => http::respond(200, "text/plain", vec![b' '; LARGE_ANSWER]),
        }
    }
}

async fn send_get(address: net::SocketAddr, path: &str) -> tokio::net::TcpStream {
    let mut stream = tokio::net::TcpStream::connect(address).await.expect("a listener");
    let head = format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n");
    stream.write_all(head.as_bytes()).await.expect("an open connection");
    stream
}

/// Waits until so many connections were cut for a reason.
async fn wait_for_cuts(reason: &str, expected: u64) {
    let end = time::Instant::now() + 2 * END_LIMIT;
    while cuts(reason) != expected {
        assert!(time::Instant::now() < end, "{reason}: {} cut", cuts(reason));
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
}

/// Returns how many connections were cut for a reason.
fn cuts(reason: &str) -> u64 {
    let start = format!("connections_cut_total{{reason=\"{reason}\"}} ");
    let text = telemetry::render();
    let value = text.lines().find_map(|line| line.strip_prefix(&start));
    value.map_or(0, |value| value.parse().expect("a number"))
}

/// Guards against answers that this process breaks off without a trace, and against callers that leave and
/// are counted as cut.
#[tokio::test]
async fn serve_counts_connections_that_it_cuts_by_reason() {
    telemetry::install();
    let (listener, address) = listen().await;
    let (_stop, stopping) = watch::channel(false);
    let limits = memory_budget::Limits { bytes: 1_000, callers: 10, peers: 1 };
    let budget = memory_budget::Budget::with_limits(limits);
    // A slow reader has less time while memory is short.
    let data = bytes::Bytes::from_static(&[0; 800]);
    let _held = budget.hold(data, ledger::Purpose::Answer).expect("room");
    let server_limits = http::ServerLimits::for_callers(&budget);
    let server = tokio::spawn(http::serve_within(listener, Unfinished, stopping, server_limits));
    let aborted = send_get(address, "/aborted").await;
    assert!(!read_answer(aborted).await.ends_with("0\r\n\r\n"), "it looks whole");
    wait_for_cuts("aborted_body", 1).await;
    let _slow = send_get(address, "/large").await;
    wait_for_cuts("slow_reader", 1).await;
    drop(send_get(address, "/never").await);
    let mut reset = send_get(address, "/large").await;
    reset.read_exact(&mut [0; 100]).await.expect("an answer");
    http::reset_on_close(&reset);
    drop(reset);
    let _waiting = send_get(address, "/never").await;
    tokio::time::sleep(time::Duration::from_millis(100)).await;
    server.abort();
    assert!(server.await.expect_err("it is aborted").is_cancelled());
    wait_for_cuts("stop", 1).await;
    let cuts = ["aborted_body", "slow_reader", "server_error", "stop"].map(cuts);
    assert_eq!(cuts, [1, 1, 0, 1], "callers that left are not counted");
}

/// Requests that a client drops while the server is frozen.
const DROPPED: usize = 100;
/// Time for which the server is frozen.
const FREEZE: time::Duration = time::Duration::from_millis(600);

/// A handler whose process freezes on one path and takes a while on another one.
#[derive(Clone)]
struct Freezing;

impl http::Handler for Freezing {
    async fn handle(
        &self,
        request: hyper::Request<hyper::body::Incoming>,
    ) -> hyper::Response<http::Body> {
        match request.uri().path() {
            "/freeze" => std::thread::sleep(FREEZE),
            "/slow" => tokio::time::sleep(2 * FREEZE).await,
            _ => {}
        }
        http::respond(200, "text/plain", "whole")
    }
}

/// Guards against requests that were lost with their connection because the client had dropped others
/// while the server was frozen.
#[tokio::test]
async fn requests_dropped_at_a_frozen_server_do_not_end_the_others() {
    let (address, started) = tokio::sync::oneshot::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        runtime.expect("a runtime").block_on(async {
            let (listener, bound) = listen().await;
            address.send(bound).expect("the test waits");
            let (_stop, stopping) = watch::channel(false);
            http::serve(listener, Freezing, stopping).await;
        });
    });
    let address = started.await.expect("it listens");
    let client = http::peer_client();
    let send = |path: &'static str| tokio::spawn(client.request(http::post(address, path, "")));
    let slow = send("/slow");
    tokio::time::sleep(FREEZE / 4).await;
    let freeze = send("/freeze");
    tokio::time::sleep(FREEZE / 4).await;
    let dropped: Vec<_> = (0..DROPPED).map(|_| send("/dropped")).collect();
    tokio::time::sleep(FREEZE / 4).await;
    for request in dropped {
        request.abort();
    }
    for request in [slow, freeze] {
        let response = request.await.expect("no panic").expect("a response");
        assert_eq!(response.status(), 200);
    }
}

/// Streams on one connection, and the small chunks that each of them has.
const STREAMS: usize = 50;
const CHUNKS: usize = 40;

/// A handler that answers with a stream of small chunks.
#[derive(Clone)]
struct Streaming;

impl http::Handler for Streaming {
    async fn handle(
        &self,
        _request: hyper::Request<hyper::body::Incoming>,
    ) -> hyper::Response<http::Body> {
        let (mut sender, body) = http::Body::stream(1);
        tokio::spawn(async move {
            for _ in 0..CHUNKS {
                tokio::time::sleep(FREEZE / CHUNKS as u32).await;
                sender.send("a small chunk".into()).await;
            }
        });
        hyper::Response::new(body)
    }
}

/// Guards against streams that were lost with their connection because many small chunks had arrived
/// while the client was frozen.
#[tokio::test]
async fn chunks_that_arrive_at_a_frozen_client_do_not_end_their_streams() {
    let (listener, address) = listen().await;
    let listener = listener.into_std().expect("a listener");
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        runtime.expect("a runtime").block_on(async {
            let listener = tokio::net::TcpListener::from_std(listener).expect("a listener");
            let (_stop, stopping) = watch::channel(false);
            http::serve(listener, Streaming, stopping).await;
        });
    });
    let client = http::peer_client();
    let streams: Vec<_> = (0..STREAMS)
        .map(|_| {
            let response = client.request(http::post(address, "/", ""));
            tokio::spawn(async move {
                let body = response.await.expect("a response").into_body();
                http::read_body(body, 1 << 20, 10 * FREEZE).await.map(|body| body.len())
            })
        })
        .collect();
    tokio::time::sleep(FREEZE / 4).await;
    std::thread::sleep(FREEZE);
    let length = "a small chunk".len() * CHUNKS;
    for stream in streams {
        assert_eq!(stream.await.expect("no panic"), Ok(length));
    }
}
