//! The pieces of a request crash each runner of a stage that begins to work on them, and the request comes again.

use std::collections::BTreeSet;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::http::{self, Message, Server};
use crate::json::Json;
use crate::site::{self, Entry, Gateway, Random, Record};
use crate::store::Store;

const KEY: &str = "club-key-1";
/// Key of the pieces that crash runners.
const DEADLY: &str = "dead0000";
/// `stable_window_ms` of the site.
const STABLE_WINDOW: Duration = Duration::from_millis(4_000);
/// Retries that the rule allows later than that after the third crash.
const ALLOWED_RETRIES: usize = 3;
/// Time for which a runner is away after a crash.
const DOWN: Duration = Duration::from_millis(3_000);
/// Time between two requests with the deadly pieces.
const PERIOD: Duration = Duration::from_secs(4);
const LENGTH: Duration = Duration::from_secs(50);

/// A crash of a runner, and the request whose piece caused it.
struct Crash {
    at: Instant,
    request: String,
}

/// What all runners of the case share.
struct Shared {
    record: Record,
    store: Store,
    has_trouble: bool,
    crashes: Mutex<Vec<Crash>>,
    next_result: AtomicUsize,
}

/// A runner of the stage: it works on one call at a time.
struct Stage {
    entry: Mutex<Entry>,
    id: String,
    address: SocketAddr,
    turn: Mutex<()>,
    server: Mutex<Option<Server>>,
    shared: Arc<Shared>,
}

impl Stage {
    /// Starts the process of the runner: it listens, and writes its entry at once and every 1.2 s.
    fn boot(self: &Arc<Self>) {
        let stage = self.clone();
        let server = Server::start(self.address, move |stream| stage.serve(stream));
        *self.server.lock().unwrap() = server.ok();
        let mut entry = self.entry.lock().unwrap();
        entry.born = site::unix_ms();
        entry.sequence = 0;
        entry.write(&self.shared.store);
    }

    fn beat(self: Arc<Self>) {
        loop {
            thread::sleep(Duration::from_millis(1_200));
            if self.server.lock().unwrap().is_some() {
                self.entry.lock().unwrap().write(&self.shared.store);
            }
        }
    }

    fn serve(self: &Arc<Self>, mut stream: TcpStream) {
        let Ok(clone) = stream.try_clone() else { return };
        let mut reader = BufReader::new(clone);
        while let Some(request) = http::read_message(&mut reader, false) {
            let answer = if request.header("x-expect-runner") != Some(&self.id) {
                http::answer(421, &[("x-runner-id", &self.id)], b"")
            } else if request.target() == "/bramleyshelf/stage-run" {
                match self.run(&request) {
                    Some(answer) => answer,
                    None => return,
                }
            } else {
                http::answer(200, &[], b"{}")
            };
            if stream.write_all(&answer).is_err() {
                return;
            }
        }
    }

    /// Works on a call; `None` if the runner crashes.
    fn run(self: &Arc<Self>, request: &Message) -> Option<Vec<u8>> {
        let items = Json::parse(&request.text()).map(|body| body.list("items").to_vec());
        let items = items.unwrap_or_default();
        let _turn = self.turn.lock().unwrap();
        let deadly = items.iter().find(|item| item.text("key") == Some(DEADLY));
        if let Some(item) = deadly.filter(|_| self.shared.has_trouble) {
            self.crash(item.text("id").unwrap_or_default());
            return None;
        }
        thread::sleep(Duration::from_millis(150 + 16 * items.len() as u64));
        let handles: Vec<_> = items
            .iter()
            .map(|_| {
                let number = self.shared.next_result.fetch_add(1, Ordering::SeqCst);
                format!("{{\"handle\":\"{}/{number:08x}\"}}", self.address)
            })
            .collect();
        let body = format!("{{\"items\":[{}]}}", handles.join(","));
        let headers = [("content-type", "application/json"), ("x-runner-load", "0,0,1")];
        Some(http::answer(200, &headers, body.as_bytes()))
    }

    /// Ends the process, which starts again under its id after some seconds.
    fn crash(self: &Arc<Self>, request: &str) {
        let Some(server) = self.server.lock().unwrap().take() else { return };
        server.crash();
        self.shared.record.line(&format!("{} crashes on a piece of request {request}", self.id));
        let crash = Crash { at: Instant::now(), request: request.to_owned() };
        self.shared.crashes.lock().unwrap().push(crash);
        let stage = self.clone();
        thread::spawn(move || {
            thread::sleep(DOWN);
            stage.boot();
        });
    }
}

/// Serves a model runner's connection: a short stream of events.
fn serve_model(id: &str, mut stream: TcpStream) {
    let Ok(clone) = stream.try_clone() else { return };
    let mut reader = BufReader::new(clone);
    while let Some(request) = http::read_message(&mut reader, false) {
        let attempt = request.header("x-attempt-id").unwrap_or_default();
        let answer = if request.header("x-expect-runner") == Some(id) {
            thread::sleep(Duration::from_millis(240));
            let headers = [
                ("content-type", "text/event-stream"),
                ("x-attempt-id", attempt),
                ("x-server-seal", "stand-in"),
                ("x-runner-id", id),
            ];
            http::answer(200, &headers, b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
        } else {
            http::answer(421, &[("x-attempt-id", attempt), ("x-runner-id", id)], b"")
        };
        if stream.write_all(&answer).is_err() {
            return;
        }
    }
}

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let store = Store::new();
    store.put("op/config", CONFIG);
    let shared = Arc::new(Shared {
        record: record.clone(),
        store: store.clone(),
        has_trouble,
        crashes: Mutex::default(),
        next_result: AtomicUsize::new(1),
    });
    for (index, zone) in ["seq-a", "seq-a", "seq-b", "seq-b"].into_iter().enumerate() {
        let (id, address) = (format!("w-{index}"), http::free_address());
        let entry = Mutex::new(entry(&id, "workshop", zone, 1, address));
        let (turn, server, shared) = (Mutex::new(()), Mutex::new(None), shared.clone());
        let stage = Arc::new(Stage { entry, id, address, turn, server, shared });
        stage.boot();
        thread::spawn(move || stage.beat());
    }
    let mut models = Vec::new();
    for (index, zone) in ["seq-a", "seq-b"].into_iter().enumerate() {
        let (id, address) = (format!("m-{index}"), http::free_address());
        let mut entry = entry(&id, "pool", zone, 128, address);
        models.push(Server::start(address, move |stream| serve_model(&id, stream)));
        let store = store.clone();
        thread::spawn(move || {
            loop {
                entry.write(&store);
                thread::sleep(Duration::from_millis(1_200));
            }
        });
    }
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
    thread::sleep(Duration::from_secs(5));
    record.line("two gateways are ready; traffic begins");
    let begin = Instant::now();
    let sound: Arc<[AtomicUsize; 2]> = Arc::default();
    let fronts: Vec<_> = gateways.iter().map(|gateway| gateway.front).collect();
    let mut callers = Vec::new();
    for (index, front) in fronts.iter().copied().cycle().take(6).enumerate() {
        let sound = sound.clone();
        callers.push(thread::spawn(move || {
            let mut random = Random::new();
            let mut number = 0;
            while begin.elapsed() < LENGTH {
                number += 1;
                let id = format!("{index:08x}{number:08x}");
                let is_served = send(front, &id, &id) == Some(200);
                sound[usize::from(is_served)].fetch_add(1, Ordering::SeqCst);
                thread::sleep(Duration::from_millis(300 + random.below(400)));
            }
        }));
    }
    let mut number = 0;
    while begin.elapsed() < LENGTH {
        number += 1;
        let front = fronts[number % fronts.len()];
        let status = send(front, &format!("dead{number:012x}"), DEADLY);
        record.line(&format!("request dead{number:012x} got {status:?}"));
        thread::sleep(PERIOD);
    }
    for caller in callers {
        let _ = caller.join();
    }
    drop(gateways);
    let [unserved, served] = [0, 1].map(|index: usize| sound[index].load(Ordering::SeqCst));
    let crashes = shared.crashes.lock().unwrap();
    let third = crashes.get(2).map(|crash| crash.at);
    let late = crashes.iter().filter(|crash| third.is_some_and(|at| crash.at > at + STABLE_WINDOW));
    let requests: BTreeSet<_> = late.clone().map(|crash| crash.request.as_str()).collect();
    let late = late.count();
    record.say(&format!(
        "the request was sent {number} times and crashed {} runners; later than 4 s after the third crash it \
         reached runners {late} times (allowed: {ALLOWED_RETRIES}), in {} requests; of the sound requests \
         {served} were served, {unserved} not",
        crashes.len(),
        requests.len()
    ));
    if served == 0 || has_trouble && crashes.len() < 3 {
        return Verdict::CouldNotRun;
    }
    if late > ALLOWED_RETRIES { Verdict::Broken } else { Verdict::Held }
}

fn entry(id: &str, service: &str, zone: &str, slots: u32, address: SocketAddr) -> Entry {
    let (id, service, zone) = (id.to_owned(), service.to_owned(), zone.to_owned());
    Entry { id, service, address, zone, slots, born: site::unix_ms(), state: "ready", sequence: 0 }
}

/// Sends a request with one piece; returns the status of the answer.
fn send(front: SocketAddr, id: &str, piece_key: &str) -> Option<u16> {
    let authorization = format!("Bearer {KEY}");
    let prefix = format!("5c1e07a2:6300,{piece_key}:2890");
    let headers = [
        ("host", "pool.example"),
        ("x-attempt-id", id),
        ("x-model", "m"),
        ("x-token-count", "9190,8"),
        ("x-prompt-prefix", prefix.as_str()),
        ("x-pieces", "1"),
        ("x-piece-key", piece_key),
        ("x-deadline-ms", "6000"),
        ("authorization", authorization.as_str()),
    ];
    let bytes = http::request("POST", "/pool/2f", &headers, b"prompt");
    http::call(front, &bytes, Duration::from_secs(7)).map(|answer| answer.status())
}

const CONFIG: &str = crate::pieces::CONFIG;
