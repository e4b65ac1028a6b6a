//! The callers' interface with malformed input, slow callers and callers that disconnect.

use std::io;
use std::time;

use bramleyshelf_lib::http;
use bramleyshelf_testutils::cluster;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

const PROGRAM: &str = env!("CARGO_BIN_EXE_bramleyshelf");
const CONFIG: &str = include_str!("../../examples/takbaerer.json");

async fn start(name: &str) -> cluster::Cluster {
    let options =
        cluster::Options { entries: 1, upstreams: 1, work_ms: 20, ..cluster::Options::default() };
    cluster::Cluster::start(PROGRAM, name, CONFIG, options).await
}

/// Sends raw bytes and returns the status of the answer, or 0 if there is none. With `is_last` the
/// sending side of the connection is closed afterwards.
async fn send_raw(address: std::net::SocketAddr, bytes: &[u8], is_last: bool) -> u16 {
    let limit = time::Duration::from_secs(20);
    let exchange = async {
        let mut stream = tokio::net::TcpStream::connect(address).await?;
        stream.write_all(bytes).await?;
        if is_last {
            stream.shutdown().await?;
        }
        let mut answer = vec![0; 4_096];
        let read = stream.read(&mut answer).await?;
        let text = String::from_utf8_lossy(&answer[..read]).into_owned();
        io::Result::Ok(text.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0))
    };
    tokio::time::timeout(limit, exchange).await.map_or(0, |status| status.unwrap_or(0))
}

fn head(method: &str, path: &str, extra_headers: &str, length: usize) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer counter-demo\r\n{extra_headers}\
         content-length: {length}\r\n\r\n"
    )
}

#[tokio::test]
async fn malformed_requests_are_refused() {
    let system = start("bad-input").await;
    let address = system.entries[0].address;
    let path = "/services/availability";
    let large = "x".repeat(1_000_001);
    let headers = "x-a: b\r\n".repeat(200);
    let cases: [(&str, String, &[u16]); 11] = [
        ("not JSON", format!("{}{{\"a\":", head("POST", path, "", 5)), &[400]),
        ("empty", head("POST", path, "", 0), &[400]),
        ("wrong method", head("GET", path, "", 0), &[405]),
        ("unknown path", format!("{}{{}}", head("POST", "/nothing", "", 2)), &[404]),
        ("private service", format!("{}{{}}", head("POST", "/services/encoder", "", 2)), &[404]),
        (
            "bad deadline",
            format!("{}{{}}", head("POST", path, "x-deadline-ms: soon\r\n", 2)),
            &[400],
        ),
        ("zero deadline", format!("{}{{}}", head("POST", path, "x-deadline-ms: 0\r\n", 2)), &[400]),
        ("bad key", format!("{}{{}}", head("POST", path, "idempotency-key: a b\r\n", 2)), &[400]),
        ("too large", format!("{}{large}", head("POST", path, "", large.len())), &[413]),
        ("many headers", format!("{}{{}}", head("POST", path, &headers, 2)), &[400, 431]),
        ("not HTTP", "hello\r\n\r\n".to_owned(), &[400]),
    ];
    for (name, bytes, expected) in cases {
        let status = send_raw(address, bytes.as_bytes(), false).await;
        assert!(expected.contains(&status), "{name}: {status}");
    }
    let not_text = [head("POST", path, "", 3).as_bytes(), b"\"\xff\""].concat();
    assert_eq!(send_raw(address, &not_text, false).await, 400, "not UTF-8");
    let truncated = format!("{}{{}}", head("POST", path, "", 50));
    let status = send_raw(address, truncated.as_bytes(), true).await;
    assert!([0, 400, 408].contains(&status), "a truncated body: {status}");
    let call = cluster::Call::new(path, "counter", serde_json::json!({}));
    let answer = call.send(&http::client(false), address).await.expect("a response");
    assert_eq!(answer.status, 200, "the entry still serves");
    assert_eq!(system.executions("availability").len(), 1, "nothing else reached an upstream");
}

#[tokio::test]
async fn oversized_content_length_is_refused_at_once() {
    let system = start("declared").await;
    let start = time::Instant::now();
    let request = head("POST", "/services/availability", "", 99_999_999_999);
    let status = send_raw(system.entries[0].address, request.as_bytes(), false).await;
    assert_eq!(status, 413);
    assert!(start.elapsed() < time::Duration::from_secs(2), "{:?}", start.elapsed());
}

#[tokio::test]
async fn unknown_credential_reaches_no_upstream() {
    let system = start("credential").await;
    let client = http::client(true);
    for credential in ["", "nobody-demo", "counter-dem", "counter-demo2"] {
        let body = serde_json::json!({});
        let mut call = cluster::Call::new("/services/availability", "counter", body);
        call.credential = credential.to_owned();
        let answer = call.send(&client, system.entries[0].address).await.expect("a response");
        assert_eq!((answer.status, answer.ran().as_str()), (401, "no"), "{credential}");
    }
    assert!(system.executions("availability").is_empty());
}

#[tokio::test]
async fn incomplete_requests_time_out() {
    let system = start("slow").await;
    let address = system.entries[0].address;
    let start = time::Instant::now();
    let half_head = send_raw(address, b"POST /services/availability HTTP/1.1\r\nhost:", false);
    let body = head("POST", "/services/availability", "", 10);
    let half_body = send_raw(address, body.as_bytes(), false);
    let silent = send_raw(address, b"", false);
    let (half_head, half_body, silent) = tokio::join!(half_head, half_body, silent);
    assert_eq!((half_head, half_body, silent), (408, 408, 408));
    assert!(start.elapsed() < time::Duration::from_secs(15));
}

#[tokio::test]
async fn idle_connection_stays_open() {
    // Load balancers keep connections open between requests. Closing one just as it is reused would
    // lose a request that the balancer cannot repeat.
    let system = start("idle").await;
    let client = http::client(true);
    let call = cluster::Call::new("/services/availability", "counter", serde_json::json!({}));
    for _ in 0..2 {
        let answer = call.send(&client, system.entries[0].address).await;
        assert!(answer.is_some_and(|answer| answer.status == 200));
        tokio::time::sleep(time::Duration::from_secs(5)).await;
    }
    let mut stream = tokio::net::TcpStream::connect(system.entries[0].address).await.expect("open");
    let request = format!("{}{{}}", head("POST", "/services/availability", "", 2));
    let mut answer = [0; 1_024];
    for _ in 0..2 {
        stream.write_all(request.as_bytes()).await.expect("sent");
        assert!(stream.read(&mut answer).await.is_ok_and(|bytes| bytes > 0));
        tokio::time::sleep(time::Duration::from_secs(6)).await;
    }
}

#[tokio::test]
async fn disconnected_caller_frees_the_engine() {
    let system = start("gone").await;
    let address = system.entries[0].address;
    let body = r#"{"stream":true,"max_tokens":2000,"messages":[]}"#;
    let request = format!("{}{body}", head("POST", "/v1/chat/completions", "", body.len()));
    let mut stream = tokio::net::TcpStream::connect(address).await.expect("connected");
    stream.write_all(request.as_bytes()).await.expect("sent");
    let mut received = [0; 1_024];
    stream.read_exact(&mut received).await.expect("the stream has begun");
    let sidecar = system.nodes[system.node_index("generator-0")].address;
    let open_requests = async || {
        let status = cluster::get(sidecar, "/status").await.expect("a status").json();
        status["open"].as_u64().expect("a number")
    };
    assert_eq!(open_requests().await, 1);
    drop(stream);
    let freed =
        cluster::wait_until(time::Duration::from_secs(2), async || open_requests().await == 0)
            .await;
    assert!(freed, "the request of a disconnected caller is cancelled");
}

#[tokio::test]
async fn every_process_serves_metrics_and_probes() {
    let system = start("probes").await;
    let client = http::client(true);
    let call = cluster::Call::new("/services/availability", "counter", serde_json::json!({}));
    call.send(&client, system.entries[0].address).await.expect("a response");
    let entry = &system.entries[0];
    let sidecar = system.nodes[0].address;
    for address in [entry.address, entry.peer_address, sidecar] {
        for path in ["/livez", "/readyz", "/metrics", "/status"] {
            let answer = cluster::get(address, path).await.expect("a response");
            assert_eq!(answer.status, 200, "{address}{path}");
        }
    }
    let metrics = cluster::get(entry.address, "/metrics").await.expect("a response");
    let text = String::from_utf8_lossy(&metrics.body).into_owned();
    for name in ["requests{", "stage_bytes{", "config_revision"] {
        assert!(text.contains(name), "{name} is missing");
    }
}
