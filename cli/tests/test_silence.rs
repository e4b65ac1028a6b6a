//! Upstreams and sidecars that are sound but send nothing for a second or so and then go on, with real
//! processes.

use std::time;

use bramleyshelf_lib::http;
use bramleyshelf_testutils::{cluster, engine};

const PROGRAM: &str = env!("CARGO_BIN_EXE_bramleyshelf");
const CONFIG: &str = include_str!("../../examples/takbaerer.json");

/// Length of a silence.
const SILENCE: time::Duration = time::Duration::from_millis(1_200);
/// Time after the first request at which a silence begins.
const SILENCE_DELAY: time::Duration = time::Duration::from_millis(150);
/// Requests of one case; more than the balance of a retry budget.
const REQUESTS: usize = 80;

/// What falls silent.
#[derive(Clone, Copy, Debug)]
enum Silent {
    Upstreams,
    Sidecars,
    /// The platform's store and instance list.
    Platform,
}

/// Requests of one case.
#[derive(Clone, Copy, Debug)]
enum Load {
    /// Calls of a service that may repeat them.
    Repeatable,
    /// Calls that may run only once, with idempotency keys.
    Keyed,
    /// Calls that may run only once, without idempotency keys.
    Once,
    /// Streams that any upstream can resume.
    Streams,
}

impl Load {
    fn service(self) -> &'static str {
        match self {
            Self::Repeatable => "encoder",
            Self::Keyed => "bookings",
            Self::Once => "deposits",
            Self::Streams => "generator",
        }
    }

    fn call(self, number: usize) -> cluster::Call {
        let (path, body) = match self {
            Self::Repeatable => ("/v1/embeddings", serde_json::json!({ "input": number })),
            Self::Keyed => ("/services/bookings", serde_json::json!({ "action": number })),
            Self::Once => ("/services/deposits", serde_json::json!({ "action": number })),
            Self::Streams => ("/v1/chat/completions", chat(number)),
        };
        let call = cluster::Call::new(path, "counter", body);
        match self {
            Self::Keyed => call.with_key(&cluster::new_key()),
            _ => call,
        }
    }

    fn is_whole(self, number: usize, answer: &cluster::Response) -> bool {
        let is_success = answer.status == 200 && answer.is_complete;
        match self {
            Self::Streams => {
                is_success && answer.body == engine::expected_events(&chat(number)).concat()
            }
            _ => is_success,
        }
    }
}

fn chat(number: usize) -> serde_json::Value {
    serde_json::json!({
        "messages": [{ "role": "user", "content": number.to_string() }],
        "max_tokens": 24,
        "stream": true,
    })
}

/// Makes some instances of a service send nothing for [`SILENCE`].
async fn fall_silent(system: &cluster::Cluster, service: &str, silent: Silent, count: usize) {
    let nodes: Vec<_> =
        system.nodes.iter().filter(|node| node.service == service).take(count).collect();
    match silent {
        Silent::Upstreams => {
            for node in nodes {
                node.upstream.faults.fall_silent(SILENCE);
            }
        }
        Silent::Platform => {
            system.store.faults.fall_silent(SILENCE);
            system.list.faults.fall_silent(SILENCE);
        }
        Silent::Sidecars => {
            let sidecars: Vec<_> = nodes.iter().filter_map(|node| node.sidecar.as_ref()).collect();
            for sidecar in &sidecars {
                sidecar.signal(cluster::Signal::Stop);
            }
            tokio::time::sleep(SILENCE).await;
            for sidecar in &sidecars {
                sidecar.signal(cluster::Signal::Continue);
            }
        }
    }
}

/// Sends requests, half of them before a silence, the others within and after it; returns how many got their
/// whole answers, and what the others got.
async fn play(
    system: &cluster::Cluster,
    load: Load,
    silent: Silent,
    count: usize,
) -> (usize, Vec<String>) {
    let client = http::client(true);
    let entry = system.entries[0].address;
    let requests = (0..REQUESTS).map(|number| {
        let (client, call) = (client.clone(), load.call(number));
        async move {
            match number % 4 {
                0 | 1 => {}
                2 => tokio::time::sleep(SILENCE_DELAY * 2).await,
                _ => tokio::time::sleep(SILENCE_DELAY + SILENCE).await,
            }
            let answer = call.send(&client, entry).await;
            match answer {
                Some(answer) if load.is_whole(number, &answer) => Ok(()),
                Some(answer) => Err(format!("{} {}", answer.status, answer.kind())),
                None => Err("no response".to_owned()),
            }
        }
    });
    let requests: Vec<_> = requests.map(tokio::spawn).collect();
    tokio::time::sleep(SILENCE_DELAY).await;
    fall_silent(system, load.service(), silent, count).await;
    let mut whole = 0;
    let mut others = Vec::new();
    for request in requests {
        match request.await.expect("no panic") {
            Ok(()) => whole += 1,
            Err(other) => others.push(other),
        }
    }
    (whole, others)
}

/// Plays each kind of requests with one and with all instances silent.
async fn check_silence(silent: Silent) {
    let options = cluster::Options { work_ms: 25, entries: 1, ..cluster::Options::default() };
    let name = format!("silence-{silent:?}").to_lowercase();
    for count in [1, 3] {
        let system = cluster::Cluster::start(PROGRAM, &name, CONFIG, options.clone()).await;
        for load in [Load::Repeatable, Load::Keyed, Load::Once, Load::Streams] {
            let (whole, others) = play(&system, load, silent, count).await;
            println!("{load:?}, {count} silent {silent:?}: {whole} of {REQUESTS}, {others:?}");
            assert!(others.is_empty(), "{load:?}, {count} silent {silent:?}: {others:?}");
        }
    }
}

#[tokio::test]
async fn silent_upstreams_lose_no_request() {
    check_silence(Silent::Upstreams).await;
}

#[tokio::test]
async fn silent_store_and_list_lose_no_request() {
    check_silence(Silent::Platform).await;
}

/// Guards against calls that were given up at silent sidecars before it was known whether they could be
/// sent again.
#[tokio::test]
async fn silent_sidecars_lose_no_request() {
    check_silence(Silent::Sidecars).await;
}
