//! Log lines of gateways: a failed request's id leads to its cause, and an unread standard output does
//! no harm.

use std::io::Read as _;
use std::process;
use std::time;

use bramleyshelf_lib::http;
use bramleyshelf_platform_testutils::{gateways, standin};
use bramleyshelf_testutils::cluster;

const PROGRAM: &str = env!("CARGO_BIN_EXE_bramleyshelf");
/// Growth of resident memory that the allocator and the connections may cause.
const MAX_GROWTH_BYTES: u64 = 6 << 20;

async fn send(
    system: &gateways::GatewayCluster,
    index: usize,
    path: &str,
    request_id: &str,
) -> gateways::Answer {
    let address = system.gateways[index].address("listen");
    let client = http::client(false);
    let answer =
        gateways::send_request(&client, address, path, request_id, gateways::CREDENTIAL).await;
    answer.expect("a response")
}

/// Switches on a fault of all upstreams.
fn set_fault(system: &gateways::GatewayCluster, fault: standin::Fault) {
    let mut state = system.shared.lock().expect("no holder panics");
    for upstream in &system.upstreams {
        state.faults.insert(upstream.id.clone(), fault);
    }
}

/// Whether the log gives overload as the reason for the refusal of a request.
async fn is_overload_refusal(system: &gateways::GatewayCluster, request: &str) -> bool {
    let lines = wait_for_lines(system, request, "refuse").await;
    field(&lines, "refuse", "kind").as_deref() == Some("overloaded")
}

/// Returns the value of a field in the first line of an event.
fn field(lines: &[String], event: &str, name: &str) -> Option<String> {
    let event = format!("event={event} ");
    let line = lines.iter().find(|line| line.contains(&event))?;
    let (_, rest) = line.split_once(&format!(" {name}="))?;
    Some(rest.split(' ').next()?.to_owned())
}

/// Whether a gateway has a metric that starts like this and is not zero.
async fn has_metric(system: &gateways::GatewayCluster, index: usize, start: &str) -> bool {
    let address = system.gateways[index].address("metrics_listen");
    let answer = cluster::get(address, "/metrics").await.expect("metrics are served");
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    text.lines().any(|line| line.starts_with(start) && !line.ends_with(" 0"))
}

/// Waits up to 5 s for a log line of the given event and request, then returns all lines about the
/// request.
async fn wait_for_lines(
    system: &gateways::GatewayCluster,
    request: &str,
    event: &str,
) -> Vec<String> {
    let event = format!("event={event} ");
    let has_event = async || system.log_lines_of(request).iter().any(|line| line.contains(&event));
    cluster::wait_until(time::Duration::from_secs(5), has_event).await;
    system.log_lines_of(request)
}

#[tokio::test]
async fn log_explains_refusal_under_load() {
    let system = gateways::GatewayCluster::start(PROGRAM, "lines-load", 2).await;
    // The upstreams of the stage take ten times longer than the configuration says.
    for upstream in system.upstreams.iter().filter(|upstream| upstream.service == "scan") {
        upstream.link.set_delay(time::Duration::from_millis(100));
    }
    let mut refused = None;
    for round in 0..6 {
        let names: Vec<_> = (0..150).map(|number| format!("load-{round}-{number:03}")).collect();
        let mut tasks = tokio::task::JoinSet::new();
        for (index, name) in names.into_iter().enumerate() {
            let address = system.gateways[index % 2].address("listen");
            tasks.spawn(async move {
                let client = http::client(false);
                let key = gateways::CREDENTIAL;
                let answer = gateways::send_request(&client, address, "/guide/1", &name, key).await;
                (name, index % 2, answer.map(|answer| answer.status))
            });
            tokio::time::sleep(time::Duration::from_millis(4)).await;
        }
        while let Some(ended) = tasks.join_next().await {
            let (name, index, status) = ended.expect("no panic");
            if refused.is_none() && status == Some(503) && is_overload_refusal(&system, &name).await
            {
                refused.get_or_insert((name, index));
            }
        }
        if refused.is_some() {
            break;
        }
    }
    let (name, index) = refused.expect("the stage can serve only a few requests per second");
    let lines = wait_for_lines(&system, &name, "refuse").await;
    assert_eq!(field(&lines, "refuse", "kind").as_deref(), Some("overloaded"), "{lines:?}");
    assert_eq!(field(&lines, "refuse", "ran").as_deref(), Some("no"));
    assert!(lines.iter().any(|line| line.contains("an answer is expected after")), "{lines:?}");
    // The lines of the stage's batches show the cause: far longer than expected.
    let all = [system.read_log(0), system.read_log(1)].concat();
    let all: Vec<String> = all.lines().map(str::to_owned).collect();
    let number = |event, name| field(&all, event, name).and_then(|v| v.parse::<u64>().ok());
    assert!(number("batch_ended", "took_ms") > number("batch", "expected_ms").map(|ms| ms * 5));
    assert!(has_metric(&system, index, "gateway_refusals_total{kind=\"overloaded\"}").await);
}

#[tokio::test]
async fn log_names_upstream_of_broken_stream() {
    let system = gateways::GatewayCluster::start(PROGRAM, "lines-stream", 2).await;
    set_fault(&system, standin::Fault::CutStream);
    let answer = send(&system, 0, "/chat/once/1", "stream-1").await;
    assert_eq!((answer.status, answer.body), (200, None));
    let lines = wait_for_lines(&system, "stream-1", "call_ended").await;
    let upstream = field(&lines, "send", "upstream");
    assert!(upstream.is_some(), "{lines:?}");
    assert_eq!(field(&lines, "call_ended", "upstream"), upstream);
    assert_eq!(field(&lines, "call_ended", "outcome").as_deref(), Some("broken"));
    assert!(lines.iter().any(|line| line.contains("last: Some(2)")), "{lines:?}");
    // The caller got no refusal, but a stream without its end.
    let lines = wait_for_lines(&system, "stream-1", "cut").await;
    assert_eq!(field(&lines, "cut", "kind").as_deref(), Some("upstream_broken"), "{lines:?}");
    assert_eq!(field(&lines, "cut", "events").as_deref(), Some("2"), "{lines:?}");
    assert!(!lines.iter().any(|line| line.contains("event=refuse ")), "{lines:?}");
    assert!(has_metric(&system, 0, "gateway_cut_streams_total{kind=\"upstream_broken\"}").await);
}

#[tokio::test]
async fn log_names_upstream_of_unknown_outcome() {
    let system = gateways::GatewayCluster::start(PROGRAM, "lines-once", 2).await;
    set_fault(&system, standin::Fault::CutAnswer);
    let answer = send(&system, 1, "/book/1", "once-1").await;
    assert_eq!(answer.status, 502);
    let lines = wait_for_lines(&system, "once-1", "refuse").await;
    let upstream = field(&lines, "send", "upstream").expect("it was sent");
    assert_eq!(lines.iter().filter(|line| line.contains("event=send ")).count(), 1);
    assert_eq!(field(&lines, "refuse", "ran").as_deref(), Some("unknown"), "{lines:?}");
    let state = system.shared.lock().expect("no holder panics");
    let run = state.runs.iter().find(|run| run.request == "once-1").expect("it ran");
    assert_eq!(run.instance, upstream);
}

#[tokio::test]
async fn log_follows_pieces_to_other_gateway() {
    let system = gateways::GatewayCluster::start(PROGRAM, "lines-pieces", 2).await;
    let are_connected = async || {
        let has_line = |index: usize, peer: &str| system.read_log(index).contains(peer);
        (0..2).all(|i| {
            has_line(i, "event=peer_came peer=g0") && has_line(i, "event=peer_came peer=g1")
        })
    };
    assert!(
        cluster::wait_until(time::Duration::from_secs(10), are_connected).await,
        "the gateways have not found each other"
    );
    for (index, name) in ["pieces-0", "pieces-1"].into_iter().enumerate() {
        assert_eq!(send(&system, index, "/guide/1", name).await.status, 200);
        wait_for_lines(&system, name, "served").await;
    }
    let logs = [system.read_log(0), system.read_log(1)];
    let find = |event: &str, name: &str| {
        let event = format!("event={event} request={name}");
        logs.iter().position(|log| log.contains(&event))
    };
    // One of the two gateways forms the batches of both.
    let handovers: Vec<_> = ["pieces-0", "pieces-1"]
        .into_iter()
        .filter_map(|name| Some((find("hand_over", name)?, find("take_over", name)?)))
        .collect();
    assert_eq!(handovers.len(), 1, "{handovers:?}");
    assert_ne!(handovers[0].0, handovers[0].1);
}

/// Returns the resident memory of a process, in bytes.
fn resident_bytes(id: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{id}/statm")).expect("it runs");
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.expect("the format of the kernel") * 4_096
}

#[tokio::test]
async fn unread_output_neither_blocks_nor_leaks() {
    let mut system = gateways::GatewayCluster::start(PROGRAM, "lines-blocked", 1).await;
    system.gateways[0].process = None;
    let settings = system.directory.join("g0.json");
    let mut child = process::Command::new(PROGRAM)
        .args(["gateway", "--settings", &settings.to_string_lossy()])
        .stdout(process::Stdio::piped())
        .spawn()
        .expect("the program is built");
    system.wait_ready(0).await;
    let mut sizes = Vec::new();
    for round in 0..8 {
        for number in 0..500 {
            let name = format!("blocked-{round}-{number:04}");
            assert_eq!(send(&system, 0, "/stock/1", &name).await.status, 200, "{name}");
        }
        sizes.push(resident_bytes(child.id()));
    }
    let growth = sizes[7].saturating_sub(sizes[3]);
    assert!(growth < MAX_GROWTH_BYTES, "memory grew by {growth} bytes: {sizes:?}");
    // A reader that starts again finds a line with the number of dropped lines.
    let mut output = child.stdout.take().expect("it is piped");
    let reading = tokio::task::spawn_blocking(move || {
        let mut text = Vec::new();
        let mut chunk = vec![0; 65_536];
        while let Ok(bytes) = output.read(&mut chunk) {
            text.extend_from_slice(&chunk[..bytes]);
            if bytes == 0 || String::from_utf8_lossy(&text).contains("event=log_lines_dropped") {
                break;
            }
        }
        String::from_utf8_lossy(&text).into_owned()
    });
    let text = http::with_timeout(time::Duration::from_secs(10), reading).await;
    child.kill().expect("it runs");
    child.wait().expect("it ended");
    let text = text.expect("lines arrive again").expect("no panic");
    assert!(text.contains("event=log_lines_dropped"), "{} bytes", text.len());
}
