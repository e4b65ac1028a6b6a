//! A runner of a stage that hands out late extra answers, and model runners that check whose results they are
//! given.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::http::{self, Message, Server};
use crate::json::Json;
use crate::site::{self, Entry, Gateway, Random, Record};
use crate::store::Store;

const KEY: &str = "club-key-1";
/// Fixed time of a call, and additional time for each item, as the configuration states them.
const CALL_TIME: Duration = Duration::from_millis(150);
const ITEM_TIME: Duration = Duration::from_millis(16);
/// Time of a model runner until its first event: 9,000 tokens to read at 70 a millisecond, and the first step.
const MODEL_TIME: Duration = Duration::from_millis(240);
/// Time after an answer from which its extra copy is sent, once another call was answered in between.
const EXTRA_DELAY: Duration = Duration::from_millis(200);
/// Time for which a runner spoils answers, and the share of its answers that it spoils then, per cent.
const SPOILED_TIME: Duration = Duration::from_secs(5);
const SPOILED_SHARE: usize = 3;
const LENGTH: Duration = Duration::from_secs(88);
/// When the spoiled times begin.
const SPOILED_FROM: [u64; 12] = [3, 10, 17, 24, 31, 38, 45, 52, 59, 66, 73, 80];

/// What all runners of the case share.
struct Shared {
    record: Record,
    begin: Instant,
    has_trouble: bool,
    /// The request, stage and piece of each result.
    results: Mutex<BTreeMap<String, (String, u64, u64)>>,
    next_result: AtomicUsize,
    /// Answers of the faulty runner in the spoiled times, and those of them that it spoils.
    spoiled: Mutex<(usize, usize)>,
    extras: AtomicUsize,
    foreign: AtomicUsize,
    served: AtomicUsize,
    failed: AtomicUsize,
}

/// A runner of the stage: it works on one call at a time.
struct Stage {
    id: String,
    address: String,
    is_faulty: bool,
    turn: Mutex<bool>,
    free: Condvar,
    shared: Arc<Shared>,
}

/// The extra copy of an answer.
struct Extra {
    /// When it may be sent.
    at: Instant,
    bytes: Vec<u8>,
    /// Whether another call on the connection was answered since.
    is_overtaken: bool,
}

impl Stage {
    fn serve(&self, mut stream: TcpStream) {
        let Ok(clone) = stream.try_clone() else { return };
        let mut reader = BufReader::new(clone);
        let mut extra: Option<Extra> = None;
        while let Some(request) = http::read_message(&mut reader, false) {
            if request.header("x-expect-runner") != Some(&self.id) {
                let refusal = http::answer(421, &[("x-runner-id", &self.id)], b"");
                if stream.write_all(&refusal).is_err() {
                    return;
                }
                continue;
            }
            if request.target() != "/bramleyshelf/stage-run" {
                self.free(&request);
                if stream.write_all(&http::answer(200, &[], b"{}")).is_err() {
                    return;
                }
                continue;
            }
            let items = Json::parse(&request.text()).map(|body| body.list("items").to_vec());
            let items = items.unwrap_or_default();
            self.take_turn();
            let end = Instant::now() + CALL_TIME + ITEM_TIME * items.len() as u32;
            let names: Vec<_> =
                items.iter().map(|item| item.text("id").unwrap_or_default()).collect();
            if let Some(copy) = extra.take_if(|copy| copy.is_overtaken && copy.at < end) {
                thread::sleep(copy.at.saturating_duration_since(Instant::now()));
                self.shared.extras.fetch_add(1, Ordering::SeqCst);
                self.shared.record.line(&format!(
                    "{} sends the extra copy of an earlier answer while it works on the pieces of {names:?}",
                    self.id
                ));
                let _ = stream.write_all(&copy.bytes);
            }
            thread::sleep(end.saturating_duration_since(Instant::now()));
            let answer = self.run(&items);
            self.give_turn();
            if stream.write_all(&answer).is_err() {
                return;
            }
            if let Some(copy) = &mut extra {
                copy.is_overtaken = true;
            } else if self.spoils() {
                let at = Instant::now() + EXTRA_DELAY;
                extra = Some(Extra { at, bytes: answer, is_overtaken: false });
            }
        }
    }

    /// Returns whether the answer just given is sent once more later: no more than 3 in 100 of the answers given
    /// in the spoiled times so far.
    fn spoils(&self) -> bool {
        if !self.is_faulty || !self.shared.has_trouble {
            return false;
        }
        let now = self.shared.begin.elapsed();
        let is_spoiled_time = SPOILED_FROM.iter().any(|from| {
            let from = Duration::from_secs(*from);
            now >= from && now < from + SPOILED_TIME
        });
        if !is_spoiled_time {
            return false;
        }
        let mut spoiled = self.shared.spoiled.lock().unwrap();
        spoiled.0 += 1;
        let may = (spoiled.1 + 1) * 100 <= spoiled.0 * SPOILED_SHARE;
        spoiled.1 += usize::from(may);
        may
    }

    fn run(&self, items: &[Json]) -> Vec<u8> {
        let mut outcomes = Vec::new();
        for item in items {
            let number = self.shared.next_result.fetch_add(1, Ordering::SeqCst);
            let handle = format!("{}/{number:08x}", self.address);
            let request = item.text("id").unwrap_or_default().to_owned();
            let (stage, piece) = (item.number("stage"), item.number("piece"));
            let owner = (request, stage.unwrap_or(0.0) as u64, piece.unwrap_or(0.0) as u64);
            self.shared.record.line(&format!(
                "{} makes {handle} for request {}, piece {}",
                self.id, owner.0, owner.2
            ));
            self.shared.results.lock().unwrap().insert(handle.clone(), owner);
            outcomes.push(format!("{{\"handle\":\"{handle}\"}}"));
        }
        let body = format!("{{\"items\":[{}]}}", outcomes.join(","));
        let headers = [
            ("content-type", "application/json"),
            ("x-runner-load", "0,0,1"),
            ("keep-alive", "timeout=10"),
        ];
        http::answer(200, &headers, body.as_bytes())
    }

    /// Frees the results that a call names.
    fn free(&self, request: &Message) {
        let body = Json::parse(&request.text()).unwrap_or(Json::Null);
        let mut results = self.shared.results.lock().unwrap();
        for handle in body.list("handles") {
            if let Json::Text(handle) = handle {
                results.remove(handle);
            }
        }
    }

    fn take_turn(&self) {
        let mut is_taken = self.turn.lock().unwrap();
        while *is_taken {
            is_taken = self.free.wait(is_taken).unwrap();
        }
        *is_taken = true;
    }

    fn give_turn(&self) {
        *self.turn.lock().unwrap() = false;
        self.free.notify_one();
    }
}

/// Serves a model runner's connection: a short stream of events.
fn serve_model(id: &str, shared: &Shared, mut stream: TcpStream) {
    let Ok(clone) = stream.try_clone() else { return };
    let mut reader = BufReader::new(clone);
    while let Some(request) = http::read_message(&mut reader, false) {
        if stream.write_all(&answer_model(id, shared, &request)).is_err() {
            return;
        }
    }
}

fn answer_model(id: &str, shared: &Shared, request: &Message) -> Vec<u8> {
    if request.header("x-expect-runner") != Some(id) {
        return http::answer(421, &[("x-runner-id", id)], b"");
    }
    let attempt = request.header("x-attempt-id").unwrap_or_default();
    let Some(inputs) = request.header("x-inputs") else {
        return http::answer(400, &[("x-attempt-id", attempt), ("x-not-run", "1")], b"");
    };
    let results = shared.results.lock().unwrap();
    let inputs: Vec<_> = inputs.split(',').collect();
    if inputs.iter().any(|handle| !results.contains_key(*handle)) {
        shared
            .record
            .line(&format!("{id} refuses request {attempt}, as one of {inputs:?} is freed"));
        return http::answer(409, &[("x-attempt-id", attempt), ("x-not-run", "1")], b"");
    }
    for handle in inputs {
        let owner = &results[handle].0;
        let is_own = owner == attempt;
        let mark = if is_own { "" } else { " - IT IS ANOTHER REQUEST'S" };
        shared
            .record
            .line(&format!("{id} runs request {attempt} with {handle} of request {owner}{mark}"));
        if !is_own {
            shared.foreign.fetch_add(1, Ordering::SeqCst);
        }
    }
    drop(results);
    thread::sleep(MODEL_TIME);
    let body = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    let headers = [
        ("content-type", "text/event-stream"),
        ("x-attempt-id", attempt),
        ("x-server-seal", "stand-in"),
        ("x-runner-id", id),
        ("keep-alive", "timeout=10"),
    ];
    http::answer(200, &headers, body.as_bytes())
}

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let store = Store::new();
    store.put("op/config", CONFIG);
    let shared = Arc::new(Shared {
        record: record.clone(),
        begin: Instant::now() + Duration::from_secs(6),
        has_trouble,
        results: Mutex::default(),
        next_result: AtomicUsize::new(1),
        spoiled: Mutex::new((0, 0)),
        extras: AtomicUsize::new(0),
        foreign: AtomicUsize::new(0),
        served: AtomicUsize::new(0),
        failed: AtomicUsize::new(0),
    });
    let mut entries = Vec::new();
    for (index, zone) in ["seq-a", "seq-b"].into_iter().enumerate() {
        let id = format!("w-{index}");
        let address = http::free_address();
        let stage = Stage {
            id: id.clone(),
            address: address.to_string(),
            is_faulty: index == 0,
            turn: Mutex::new(false),
            free: Condvar::new(),
            shared: shared.clone(),
        };
        let server =
            Server::start(address, move |stream| stage.serve(stream)).expect("a free port");
        entries.push((entry(&id, "workshop", zone, 1, server.address), server));
        let id = format!("m-{index}");
        let (name, model) = (id.clone(), shared.clone());
        let address = http::free_address();
        let server = Server::start(address, move |stream| serve_model(&name, &model, stream));
        entries.push((entry(&id, "pool", zone, 128, address), server.expect("a free port")));
    }
    let mut beats: Vec<_> = entries.iter().map(|(entry, _)| entry.clone()).collect();
    let beating = store.clone();
    thread::spawn(move || {
        loop {
            beats.iter_mut().for_each(|entry| entry.write(&beating));
            thread::sleep(Duration::from_millis(1_200));
        }
    });
    let zones = "{\"seq-a\":\"seq\",\"seq-b\":\"seq\"}";
    let gateways: Vec<_> = ["seq-a", "seq-b"]
        .into_iter()
        .enumerate()
        .map(|(index, zone)| {
            Gateway::start(&format!("edge-{zone}-1"), zone, zones, store.listen(index))
        })
        .collect();
    if !gateways.iter().all(|gateway| gateway.wait_until_ready(Duration::from_secs(5))) {
        return Verdict::CouldNotRun;
    }
    thread::sleep(shared.begin.saturating_duration_since(Instant::now()));
    record.line("two gateways are ready; traffic begins");
    let mut callers = Vec::new();
    for (index, front) in gateways.iter().map(|gateway| gateway.front).cycle().take(8).enumerate() {
        let shared = shared.clone();
        callers.push(thread::spawn(move || {
            let mut random = Random::new();
            let mut number = 0;
            while shared.begin.elapsed() < LENGTH {
                number += 1;
                let id = format!("{index:04x}{:04x}{number:08x}", random.below(65_536));
                let is_served = send(front, &id).is_some_and(|answer| answer.status() == 200);
                let count = if is_served { &shared.served } else { &shared.failed };
                count.fetch_add(1, Ordering::SeqCst);
                thread::sleep(Duration::from_millis(50 + random.below(300)));
            }
        }));
    }
    for caller in callers {
        let _ = caller.join();
    }
    drop(gateways);
    let count = |count: &AtomicUsize| count.load(Ordering::SeqCst);
    let (extras, foreign) = (count(&shared.extras), count(&shared.foreign));
    let (served, failed) = (count(&shared.served), count(&shared.failed));
    record.say(&format!(
        "{served} requests were served, {failed} not; {extras} extra answers; {foreign} results of another \
         request were given to a model runner"
    ));
    if served == 0 || has_trouble && extras == 0 {
        return Verdict::CouldNotRun;
    }
    if foreign > 0 { Verdict::Broken } else { Verdict::Held }
}

fn entry(id: &str, service: &str, zone: &str, slots: u32, address: std::net::SocketAddr) -> Entry {
    let (id, service, zone) = (id.to_owned(), service.to_owned(), zone.to_owned());
    Entry { id, service, address, zone, slots, born: site::unix_ms(), state: "ready", sequence: 0 }
}

fn send(front: std::net::SocketAddr, id: &str) -> Option<Message> {
    let authorization = format!("Bearer {KEY}");
    let prefix = format!("5c1e07a2:6300,{id}:2890");
    let headers = [
        ("host", "pool.example"),
        ("x-attempt-id", id),
        ("x-model", "m"),
        ("x-token-count", "9190,8"),
        ("x-prompt-prefix", prefix.as_str()),
        ("x-pieces", "1"),
        ("x-piece-key", id),
        ("x-deadline-ms", "6000"),
        ("authorization", authorization.as_str()),
    ];
    let bytes = http::request("POST", "/pool/2f", &headers, b"prompt");
    http::call(front, &bytes, Duration::from_secs(7))
}

pub const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-pool","host":"pool.example","prefix":"/pool/",
"kind":"streaming","timeout_ms":6000,"latency_target_ms":1700,"priority":0,"service":"pool","max_attempts":2,
"stages":[{"service":"workshop","after":[],"bytes":8000}],"public":false,"affinity":true,
"resume_streams":true,"gap_aim_ms":250}],
"services":[{"name":"pool","health_path":"/health","max_conns":620,"engine":{"slots":128,"kv_capacity":444000}},
{"name":"workshop","health_path":"/health","max_conns":620,"pieces":{"slots":1,"queue":2,"batch":8,
"call_ms":150.0,"item_ms":16.0,"headroom_mb":42.0,"handle_s":4.0,"link_mbps":10000}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"club","api_keys":["club-key-1"]}]}"#;
