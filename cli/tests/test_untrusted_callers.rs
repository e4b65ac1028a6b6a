//! Callers that send or read more than a process has memory for: each crowd is larger than the memory or
//! the descriptors that the settings give the process.
//!
//! A test checks that the process lives, that its peak memory and its descriptors stay under what its
//! settings give it, and that an ordinary request is answered while the crowd keeps its connections
//! open. It checks no times and no share of answered requests.

use std::fs;
use std::net;
use std::sync;
use std::time;

use bramleyshelf_lib::{gateway_settings, http, wire};
use bramleyshelf_platform_testutils::{gateways, standin};
use bramleyshelf_testutils::{cluster, raw_server};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

const PROGRAM: &str = env!("CARGO_BIN_EXE_bramleyshelf");
const CONFIG: &str = include_str!("../../examples/takbaerer.json");

/// Memory that the settings give the process: that of the smallest instance.
const MEMORY_MB: u64 = 120;
/// Descriptors that the settings give the process: those of the smallest instance.
const MAX_FILES: usize = 3_075;
/// Descriptors that the settings give the process in the test of too many connections.
const FEW_FILES: usize = 256;
/// Limit on bodies, the default of the configuration.
const BODY_LIMIT: usize = 4 << 20;
/// Connections of a crowd. With bodies of the legal size, they hold twice the memory.
const CROWD: usize = 60;
/// Connections of a crowd that does not read its streams. Of each stream 16 events of 60 kB may be held,
/// together a quarter more than the memory.
const STREAM_CROWD: usize = 160;
/// Connections of a crowd that sends chunks of four bytes. If each chunk is kept as it was received, it
/// takes ten times its length: a reference of 32 bytes and the bytes of its framing.
const SMALL_CHUNKS_CROWD: usize = 40;
/// Small chunks that each of them sends. Kept as they were received, they exceed the memory.
const SMALL_CHUNKS: usize = 70_000;
/// Small chunks that are written at a time.
const SMALL_CHUNKS_AT_ONCE: usize = 1_000;
/// Size of pieces and of large chunks.
const PIECE: usize = 64 << 10;
/// Pieces of a body that ends just short of the legal size.
const PIECES: usize = BODY_LIMIT / PIECE - 1;
/// Pieces of a body far over the limit.
const EXCESS_PIECES: usize = 6 * BODY_LIMIT / PIECE;
/// Connections that stop inside a head. At 32 KiB each, they hold two fifths of the memory.
const HALF_HEADS: usize = 1_500;
/// Bytes of a head that stops in the middle, within the legal size of heads.
const HALF_HEAD_BYTES: usize = 16_000;
/// Connections of the crowd that exceeds the descriptors.
const MANY_CONNECTIONS: usize = 2 * FEW_FILES;
/// Time after which a caller sends no more; the process may have stopped reading.
const SEND_LIMIT: time::Duration = time::Duration::from_secs(4);
/// Time after which an ordinary caller gives up.
const CALLER_LIMIT: time::Duration = time::Duration::from_secs(5);

/// Shortest and longest time that a process has for what a crowd has sent, before the ordinary request.
const SETTLE_TIMES: (time::Duration, time::Duration) =
    (time::Duration::from_secs(1), time::Duration::from_secs(5));
/// A process that uses less processor time than this in [`IDLE_INTERVAL`] has processed what was sent.
const IDLE_USE: time::Duration = time::Duration::from_millis(40);
const IDLE_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Lets one test run at a time, so that the memory of their crowds does not add up.
static ONE_AT_A_TIME: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

/// What a caller sends before it keeps its connection open.
#[derive(Clone, Debug)]
struct Sent {
    head: String,
    piece: bytes::Bytes,
    count: usize,
    /// Whether each piece is received apart from the one before it.
    is_slow: bool,
    /// Pause before the request is sent.
    delay: time::Duration,
    /// Bytes after the pieces, with which the body ends or stops short.
    last: bytes::Bytes,
}

/// Pause between pieces that are to be received apart.
const PIECE_PAUSE: time::Duration = time::Duration::from_millis(2);
/// Pause between the starts of two callers that are to be answered one after the other.
const START_PAUSE: time::Duration = time::Duration::from_millis(25);

impl Sent {
    fn new(head: String, piece: impl Into<bytes::Bytes>, count: usize) -> Self {
        Self {
            head,
            piece: piece.into(),
            count,
            is_slow: false,
            delay: time::Duration::ZERO,
            last: bytes::Bytes::new(),
        }
    }

    async fn write(&self, stream: &mut tokio::net::TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        stream.write_all(self.head.as_bytes()).await?;
        for _ in 0..self.count {
            stream.write_all(&self.piece).await?;
            if self.is_slow {
                tokio::time::sleep(PIECE_PAUSE).await;
            }
        }
        stream.write_all(&self.last).await
    }
}

fn spaces(count: usize) -> Vec<u8> {
    vec![b' '; count]
}

/// Returns a chunk of a chunked body with its length and its line ends.
fn chunk(size: usize) -> Vec<u8> {
    [format!("{size:x}\r\n").as_bytes(), &spaces(size), b"\r\n"].concat()
}

/// Sends a crowd's requests at the same time. Returns its connections, which stay open.
async fn send_crowd(
    address: net::SocketAddr,
    count: usize,
    sent: impl Fn(usize) -> Sent,
) -> Vec<tokio::net::TcpStream> {
    let mut callers = tokio::task::JoinSet::new();
    for number in 0..count {
        let sent = sent(number);
        callers.spawn(async move {
            tokio::time::sleep(sent.delay).await;
            let mut stream = tokio::net::TcpStream::connect(address).await.ok()?;
            // The process may refuse the request and close the connection at any time.
            let _ = tokio::time::timeout(SEND_LIMIT, sent.write(&mut stream)).await;
            Some(stream)
        });
    }
    callers.join_all().await.into_iter().flatten().collect()
}

/// Most descriptors that a process has had open, counted until this is dropped.
struct Descriptors {
    most: sync::Arc<sync::atomic::AtomicUsize>,
    task: tokio::task::JoinHandle<()>,
}

impl Descriptors {
    fn count(id: u32) -> Self {
        let most = sync::Arc::new(sync::atomic::AtomicUsize::new(0));
        let seen = most.clone();
        let task = tokio::spawn(async move {
            loop {
                let open = fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count);
                seen.fetch_max(open, sync::atomic::Ordering::Relaxed);
                tokio::time::sleep(time::Duration::from_millis(50)).await;
            }
        });
        Self { most, task }
    }
}

impl Drop for Descriptors {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Waits until a process has processed what a crowd has sent.
async fn settle(process: Option<&cluster::Child>) {
    let process = process.expect("runs");
    let start = time::Instant::now();
    let mut used = process.resource_usage().0;
    loop {
        tokio::time::sleep(IDLE_INTERVAL).await;
        let now = process.resource_usage().0;
        let is_idle = now.saturating_sub(used) < IDLE_USE && start.elapsed() > SETTLE_TIMES.0;
        if is_idle || start.elapsed() > SETTLE_TIMES.1 {
            return;
        }
        used = now;
    }
}

/// Checks what holds for each process that a crowd has called.
fn assert_bounded(
    name: &str,
    process: &mut cluster::Child,
    descriptors: &Descriptors,
    max_files: usize,
) {
    assert!(!process.has_exited(), "{name}: the process has ended");
    let (peak, (_, now)) = (process.peak_memory(), process.resource_usage());
    let files = descriptors.most.load(sync::atomic::Ordering::Relaxed);
    println!("{name}: peak {} kB, after it {} kB, {files} descriptors", peak / 1_000, now / 1_000);
    assert!(peak < MEMORY_MB * 1_000_000, "{name}: peak memory {} kB", peak / 1_000);
    assert!(files < max_files, "{name}: {files} descriptors");
}

fn capacity(max_files: usize) -> gateway_settings::Capacity {
    gateway_settings::Capacity { memory_mb: MEMORY_MB, max_files, ..Default::default() }
}

/// Text of a large answer.
const LARGE_ANSWER: usize = 4 << 20;
/// Size of an event of a large stream, and the number of its events.
const EVENT_BYTES: usize = 60_000;
const EVENTS: usize = 90;

/// Writes the answer of an upstream to a request: large for paths that say so.
fn answer(head: &str) -> raw_server::Written {
    let id = raw_server::header(head, "x-attempt-id");
    let begin = format!("HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-server-seal: s\r\n");
    if head.contains("/stream/") {
        let data = "x".repeat(EVENT_BYTES);
        let events: Vec<_> =
            (1..=EVENTS).map(|number| format!("id: {number}\ndata: {data}\n\n")).collect();
        let events = events.concat();
        let length = events.len();
        let text = format!(
            "{begin}content-type: text/event-stream\r\ncontent-length: {length}\r\n\r\n{events}"
        );
        return raw_server::Written { text, is_last: false };
    }
    let body = if head.contains("/large") { "x".repeat(LARGE_ANSWER) } else { "answer".to_owned() };
    let text = format!("{begin}content-length: {}\r\n\r\n{body}", body.len());
    raw_server::Written { text, is_last: false }
}

/// Returns a configuration in which the crowds have a service of their own, so that the ordinary request
/// needs no upstream and no connection that a crowd uses.
fn config() -> String {
    let text = gateways::config(4, gateways::CREDENTIAL);
    let mut config: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    let route = |prefix: &str, kind: &str| {
        serde_json::json!({
            "name": prefix, "host": "shop", "prefix": prefix, "kind": kind, "timeout_ms": 3_000,
            "latency_target_ms": 500, "service": "bulk", "max_attempts": 2, "gap_aim_ms": 250,
        })
    };
    let routes = config["routes"].as_array_mut().expect("a list");
    routes.extend([route("/bulk/", "safe"), route("/stream/", "streaming")]);
    let services = config["services"].as_array_mut().expect("a list");
    services.push(serde_json::json!({ "name": "bulk", "max_conns": 8_000 }));
    config.to_string()
}

/// Starts a gateway with little memory in front of upstreams that read whole requests.
async fn start_gateway(name: &str, max_files: usize) -> gateways::GatewayCluster {
    let mut system = gateways::GatewayCluster::start(PROGRAM, name, 1).await;
    standin::put(&system.shared, "op/config", config());
    for id in ["i-7", "i-8", "i-9"] {
        let address = raw_server::serve_kept(|head, _| answer(head)).await;
        let mut entry = standin::list_entry("bulk", address);
        entry["slots"] = STREAM_CROWD.into();
        standin::put(&system.shared, &format!("servers/{id}"), entry.to_string());
    }
    system.gateways[0].process = None;
    system.gateways[0].set("capacity", serde_json::json!(capacity(max_files)));
    system.start_gateway(0);
    system.wait_ready(0).await;
    system
}

fn gateway_head(path: &str, number: usize, framing: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: shop\r\nx-attempt-id: c{number}\r\nx-deadline-ms: 3000\r\n\
         authorization: Bearer {}\r\n{framing}\r\n\r\n",
        gateways::CREDENTIAL
    )
}

/// Guards against a gateway that ends, or exceeds its instance, because of what a crowd makes it hold.
async fn assert_gateway_survives(
    name: &str,
    max_files: usize,
    count: usize,
    sent: impl Fn(usize) -> Sent,
) {
    let _alone = ONE_AT_A_TIME.lock().await;
    let mut system = start_gateway(name, max_files).await;
    let address = system.gateways[0].address("listen");
    let descriptors = Descriptors::count(system.gateways[0].process.as_ref().expect("runs").id());
    let crowd = send_crowd(address, count, sent).await;
    settle(system.gateways[0].process.as_ref()).await;
    let client = http::client(false);
    let call =
        gateways::send_request(&client, address, "/stock/1", "ordinary", gateways::CREDENTIAL);
    let ordinary = http::with_timeout(CALLER_LIMIT, call).await.flatten();
    let process = system.gateways[0].process.as_mut().expect("runs");
    assert_bounded(name, process, &descriptors, max_files);
    assert_eq!(ordinary.map(|answer| answer.status), Some(200), "{name}: the ordinary request");
    drop(crowd);
}

/// Three of four bodies stop just short of their end.
fn is_short(number: usize) -> bool {
    !number.is_multiple_of(4)
}

/// A body of legal size with a declared length, sent in one piece.
fn whole_body(head: impl Fn(usize, &str) -> String, number: usize) -> Sent {
    let framing = format!("content-length: {BODY_LIMIT}");
    let length = if is_short(number) { BODY_LIMIT - 1 } else { BODY_LIMIT };
    Sent::new(head(number, &framing), spaces(length), 1)
}

/// A body of legal size with a declared length, sent piece by piece.
fn body_in_pieces(head: impl Fn(usize, &str) -> String, number: usize) -> Sent {
    let framing = format!("content-length: {BODY_LIMIT}");
    let mut sent = Sent::new(head(number, &framing), spaces(PIECE), PIECES);
    sent.is_slow = true;
    sent.last = spaces(if is_short(number) { PIECE - 1 } else { PIECE }).into();
    sent
}

/// A chunked body of legal size in large chunks.
fn large_chunks(head: impl Fn(usize, &str) -> String, number: usize) -> Sent {
    let mut sent = Sent::new(head(number, "transfer-encoding: chunked"), chunk(PIECE), PIECES);
    sent.last = if is_short(number) { "".into() } else { "0\r\n\r\n".into() };
    sent
}

/// A chunked body in chunks of four bytes.
fn small_chunks(head: impl Fn(usize, &str) -> String, number: usize) -> Sent {
    let piece = chunk(4).repeat(SMALL_CHUNKS_AT_ONCE);
    let count = SMALL_CHUNKS / SMALL_CHUNKS_AT_ONCE;
    let mut sent = Sent::new(head(number, "transfer-encoding: chunked"), piece, count);
    sent.last = if is_short(number) { "".into() } else { "0\r\n\r\n".into() };
    sent
}

fn bulk_head(number: usize, framing: &str) -> String {
    gateway_head("/bulk/1", number, framing)
}

#[tokio::test]
async fn gateway_survives_whole_bodies() {
    assert_gateway_survives("whole", MAX_FILES, CROWD, |n| whole_body(bulk_head, n)).await;
}

#[tokio::test]
async fn gateway_survives_bodies_in_pieces() {
    assert_gateway_survives("pieces", MAX_FILES, CROWD, |n| body_in_pieces(bulk_head, n)).await;
}

#[tokio::test]
async fn gateway_survives_large_chunks() {
    assert_gateway_survives("chunks", MAX_FILES, CROWD, |n| large_chunks(bulk_head, n)).await;
}

#[tokio::test]
async fn gateway_survives_small_chunks() {
    let sent = |number| small_chunks(bulk_head, number);
    assert_gateway_survives("small-chunks", MAX_FILES, SMALL_CHUNKS_CROWD, sent).await;
}

#[tokio::test]
async fn gateway_survives_bodies_announced_over_the_limit() {
    let framing = format!("content-length: {}", 100 * BODY_LIMIT);
    let sent = |n| Sent::new(bulk_head(n, &framing), spaces(PIECE), EXCESS_PIECES);
    assert_gateway_survives("announced", MAX_FILES, CROWD, sent).await;
}

#[tokio::test]
async fn gateway_survives_chunks_over_the_limit() {
    let framing = "transfer-encoding: chunked";
    let sent = |n| Sent::new(bulk_head(n, framing), chunk(PIECE), EXCESS_PIECES);
    assert_gateway_survives("excess", MAX_FILES, CROWD, sent).await;
}

#[tokio::test]
async fn gateway_survives_heads_that_stop() {
    let sent = |number| {
        let head = bulk_head(number, "x-long: ").trim_end().to_owned();
        Sent::new(head, "x".repeat(HALF_HEAD_BYTES), 1)
    };
    assert_gateway_survives("heads", MAX_FILES, HALF_HEADS, sent).await;
}

#[tokio::test]
async fn gateway_survives_readers_that_stop() {
    let sent = |number: usize| {
        let mut sent = Sent::new(gateway_head("/bulk/large", number, "content-length: 0"), "", 0);
        sent.delay = START_PAUSE * u32::try_from(number).expect("a small number");
        sent
    };
    assert_gateway_survives("readers", MAX_FILES, CROWD, sent).await;
}

#[tokio::test]
async fn gateway_survives_readers_that_stop_inside_streams() {
    let sent = |n| Sent::new(gateway_head("/stream/1", n, "content-length: 0"), "", 0);
    assert_gateway_survives("stream-readers", MAX_FILES, STREAM_CROWD, sent).await;
}

#[tokio::test]
async fn gateway_survives_more_connections_than_descriptors() {
    // Each has been answered once, and then stops inside its next body.
    let sent = |number| {
        let first = gateway_head("/nothing", number, "content-length: 0");
        Sent::new(first + &bulk_head(number, "content-length: 10"), "short", 1)
    };
    assert_gateway_survives("connections", FEW_FILES, MANY_CONNECTIONS, sent).await;
}

/// Guards against a budget that refuses what an ordinary caller may send, when it is the only one.
#[tokio::test]
async fn smallest_gateway_serves_a_body_and_an_answer_of_legal_size() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let mut system = start_gateway("legal", MAX_FILES).await;
    let address = system.gateways[0].address("listen");
    let descriptors = Descriptors::count(system.gateways[0].process.as_ref().expect("runs").id());
    for chunked in [false, true] {
        let framing = if chunked {
            "transfer-encoding: chunked\r\nconnection: close".to_owned()
        } else {
            format!("content-length: {BODY_LIMIT}\r\nconnection: close")
        };
        let head = gateway_head("/bulk/large", usize::from(chunked), &framing);
        let piece = if chunked { chunk(BODY_LIMIT / 64) } else { spaces(BODY_LIMIT / 64) };
        let mut sent = Sent::new(head, piece, 64);
        sent.last = if chunked { "0\r\n\r\n".into() } else { "".into() };
        let mut stream = tokio::net::TcpStream::connect(address).await.expect("connected");
        sent.write(&mut stream).await.expect("sent");
        let mut answer = Vec::new();
        let read = http::with_timeout(CALLER_LIMIT, stream.read_to_end(&mut answer)).await;
        assert!(matches!(read, Some(Ok(_))), "{read:?}");
        assert!(answer.starts_with(b"HTTP/1.1 200"), "chunked: {chunked}");
        assert!(answer.len() > LARGE_ANSWER, "chunked: {chunked}: {} bytes", answer.len());
    }
    let process = system.gateways[0].process.as_mut().expect("runs");
    assert_bounded("legal", process, &descriptors, MAX_FILES);
}

#[tokio::test]
async fn gateway_survives_unfinished_messages_of_peers() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let mut system = start_gateway("peers", MAX_FILES).await;
    let (address, peers) =
        (system.gateways[0].address("listen"), system.gateways[0].address("peer_listen"));
    let descriptors = Descriptors::count(system.gateways[0].process.as_ref().expect("runs").id());
    let head =
        |_, framing: &str| format!("POST /handoff/pieces HTTP/1.1\r\nhost: g\r\n{framing}\r\n\r\n");
    let crowd = send_crowd(peers, CROWD, |number| whole_body(head, number)).await;
    settle(system.gateways[0].process.as_ref()).await;
    let key = gateways::CREDENTIAL;
    let client = http::client(false);
    let call = gateways::send_request(&client, address, "/stock/1", "ordinary", key);
    let ordinary = http::with_timeout(CALLER_LIMIT, call).await.flatten();
    let process = system.gateways[0].process.as_mut().expect("runs");
    assert_bounded("peers", process, &descriptors, MAX_FILES);
    assert_eq!(ordinary.map(|answer| answer.status), Some(200), "the ordinary request");
    drop(crowd);
}

/// Process of a cluster that a crowd calls.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Target {
    Entry,
    Sidecar,
}

fn entry_head(_: usize, framing: &str) -> String {
    format!(
        "POST /services/availability HTTP/1.1\r\nhost: e\r\nauthorization: Bearer counter-demo\r\n\
         {framing}\r\n\r\n"
    )
}

fn sidecar_head(_: usize, framing: &str) -> String {
    let path = wire::ATTEMPT_PATH;
    format!("POST {path} HTTP/1.1\r\nhost: s\r\n{framing}\r\n\r\n")
}

/// Guards against an entry or a sidecar that ends, or exceeds its instance, because of a crowd.
async fn assert_cluster_survives(name: &str, target: Target, sent: impl Fn(usize) -> Sent) {
    let _alone = ONE_AT_A_TIME.lock().await;
    let mut config: serde_json::Value = serde_json::from_str(CONFIG).expect("JSON");
    config["limits"]["body_bytes"] = BODY_LIMIT.into();
    let capacity = Some(capacity(MAX_FILES));
    let options =
        cluster::Options { entries: 1, upstreams: 1, capacity, ..cluster::Options::default() };
    let mut system = cluster::Cluster::start(PROGRAM, name, &config.to_string(), options).await;
    let entry = system.entries[0].address;
    let node = system.node_index("availability-0");
    let address = if target == Target::Entry { entry } else { system.nodes[node].address };
    let process = match target {
        Target::Entry => &system.entries[0].process,
        Target::Sidecar => &system.nodes[node].sidecar,
    };
    let descriptors = Descriptors::count(process.as_ref().expect("runs").id());
    let crowd = send_crowd(address, CROWD, sent).await;
    settle(process.as_ref()).await;
    let call = cluster::Call::new("/services/availability", "counter", serde_json::json!({}));
    let client = http::client(false);
    let call = call.send(&client, entry);
    let ordinary = http::with_timeout(CALLER_LIMIT, call).await.flatten();
    let process = match target {
        Target::Entry => &mut system.entries[0].process,
        Target::Sidecar => &mut system.nodes[node].sidecar,
    };
    assert_bounded(name, process.as_mut().expect("runs"), &descriptors, MAX_FILES);
    assert_eq!(ordinary.map(|answer| answer.status), Some(200), "{name}: the ordinary request");
    drop(crowd);
}

#[tokio::test]
async fn entry_survives_whole_bodies() {
    let sent = |number| whole_body(entry_head, number);
    assert_cluster_survives("entry-whole", Target::Entry, sent).await;
}

#[tokio::test]
async fn entry_survives_large_chunks() {
    let sent = |number| large_chunks(entry_head, number);
    assert_cluster_survives("entry-chunks", Target::Entry, sent).await;
}

#[tokio::test]
async fn entry_survives_bodies_of_many_values() {
    // A number of a JSON list takes two bytes of the body, and many times that once it is parsed.
    let framing = format!("content-length: {BODY_LIMIT}");
    let text = format!("[{}0 ]", "0,".repeat(BODY_LIMIT / 2 - 2));
    let text = bytes::Bytes::from(text);
    let sent = |number| Sent::new(entry_head(number, &framing), text.clone(), 1);
    assert_cluster_survives("entry-values", Target::Entry, sent).await;
}

#[tokio::test]
async fn sidecar_survives_whole_bodies() {
    let sent = |number| whole_body(sidecar_head, number);
    assert_cluster_survives("sidecar-whole", Target::Sidecar, sent).await;
}

#[tokio::test]
async fn sidecar_survives_chunks_over_the_limit() {
    let framing = "transfer-encoding: chunked";
    let sent = |n| Sent::new(sidecar_head(n, framing), chunk(PIECE), EXCESS_PIECES);
    assert_cluster_survives("sidecar-excess", Target::Sidecar, sent).await;
}
