//! Three model runners crash while requests that share a new part wait at all of them. In the same
//! moment, requests with a part that crashes runners come. Seconds later more of those come; the
//! system has to hold them back by then.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::engine::Engine;
use crate::http::{self, Connection, Request};
use crate::site::{self, Record, Route, Site};

const RUNNERS: usize = 12;
/// Number of runners that crash by themselves, and for how long.
const CRASHING: usize = 3;
const CRASH_LENGTH: Duration = Duration::from_secs(2);
/// Time for which a runner is away that the part has crashed.
const POISON_LENGTH: Duration = Duration::from_secs(4);
const EVENTS: u64 = 6;
/// Pause between two events of a stream.
const EVENT_PAUSE: Duration = Duration::from_millis(100);
/// Time to read a short prompt, and a long one.
const SHORT_READ: Duration = Duration::from_millis(150);
const LONG_READ: Duration = Duration::from_millis(2_500);
/// Number of requests with the new part, and the pause between them.
const LONG_REQUESTS: usize = 120;
const LONG_PAUSE: Duration = Duration::from_millis(4);
/// Usual sound requests: the pause between them, and the time for which they come.
const SOUND_PAUSE: Duration = Duration::from_millis(40);
const SPAN: Duration = Duration::from_secs(22);
/// When the requests with the new part come, and the time from then until three runners crash.
const BEGIN: Duration = Duration::from_secs(6);
const CRASH_AFTER: Duration = Duration::from_millis(700);
/// Requests with the part that crashes runners: the first ones, and the pause between them.
const FIRST_POISON: usize = 12;
const FIRST_PAUSE: Duration = Duration::from_millis(30);
/// The later ones: when they come after the first, how many, and the pause between them.
const LATER_AFTER: Duration = Duration::from_millis(6_000);
const LATER_POISON: usize = 12;
const LATER_PAUSE: Duration = Duration::from_millis(250);
/// `stable_window_ms` of the site.
const STABLE_WINDOW: Duration = Duration::from_secs(4);
/// Crashes after which the rule counts, and requests that it allows later than the window after them.
const CRASHES: usize = 5;
const MAX_LATE: usize = 3;
/// Id of the part that crashes runners, and of the new one, which is sound.
const POISON: &str = "badbad00";
const NEW_PART: &str = "900d0001";

const CHAT: Route = Route {
    prefix: "chat",
    kind: "streaming",
    service: "llm",
    timeout_ms: 6_000,
    target_ms: 1_700,
    max_attempts: 1,
    resume_streams: false,
    is_public: true,
};

#[derive(Clone)]
struct Shared {
    record: Record,
    /// When requests with the part that crashes runners reached them.
    arrivals: Arc<Mutex<Vec<Duration>>>,
    /// When that part crashed a runner.
    crashes: Arc<Mutex<Vec<Duration>>>,
    /// Runners that such a request has reached.
    hit: Arc<Mutex<BTreeSet<String>>>,
    has_trouble: bool,
}

fn serve(shared: &Shared, engine: &Engine, connection: &mut Connection, request: &Request) -> bool {
    let attempt = request.headers.get("x-attempt-id").to_owned();
    let parts = request.headers.get("x-prompt-prefix");
    let is_poison = parts.contains(POISON);
    if is_poison {
        shared.record.line(&format!("{attempt} with the bad part reaches {}", engine.id));
        shared.arrivals.lock().expect("no holder panics").push(shared.record.now());
        shared.hit.lock().expect("no holder panics").insert(engine.id.clone());
    }
    let read = if parts.contains(NEW_PART) { LONG_READ } else { SHORT_READ };
    stream(shared, engine, connection, &attempt, read, is_poison).is_ok()
}

fn stream(
    shared: &Shared,
    engine: &Engine,
    connection: &mut Connection,
    attempt: &str,
    read: Duration,
    is_poison: bool,
) -> io::Result<()> {
    engine.work(connection, read)?;
    engine.begin_stream(connection, attempt)?;
    if is_poison && shared.has_trouble {
        shared.crashes.lock().expect("no holder panics").push(shared.record.now());
        engine.crash(POISON_LENGTH);
        return Err(io::ErrorKind::Interrupted.into());
    }
    for event in 1..=EVENTS {
        engine.send_event(connection, attempt, event)?;
        engine.work(connection, EVENT_PAUSE)?;
    }
    engine.end_stream(connection)
}

/// Asks for a stream and reads it. Returns its status and whether it was complete.
fn ask(front: SocketAddr, attempt: &str, parts: &str) -> io::Result<(u16, bool)> {
    let mut connection = Connection::open(front)?;
    connection.stream.set_read_timeout(Some(Duration::from_secs(7)))?;
    let fields = [
        ("Host", site::HOST),
        ("X-Attempt-Id", attempt),
        ("X-Deadline-Ms", "6000"),
        ("X-Model", "m"),
        ("X-Token-Count", "900,24"),
        ("X-Prompt-Prefix", parts),
    ];
    connection.write(&http::encode("POST /chat/1 HTTP/1.1", &fields, b"where is my buggy"))?;
    let (status, _) = connection.read_answer_head()?;
    if status != 200 {
        return Ok((status, false));
    }
    while connection.read_chunk()?.is_some() {}
    Ok((status, true))
}

/// Sends requests in threads of their own, one after the other at alternating gateways.
fn send_all(
    shared: &Shared,
    fronts: [SocketAddr; 2],
    name: &'static str,
    part: &'static str,
    count: usize,
    pause: Duration,
) {
    for number in 0..count {
        let shared = shared.clone();
        thread::spawn(move || {
            let attempt = format!("{name}{number}");
            shared.record.line(&format!("send {attempt}"));
            let own = format!("{}{number:x}", if name == "n" { "d1" } else { "d2" });
            let parts = format!("a0:40,{part}:40,{own}{}:800", if name == "q" { "7" } else { "" });
            let answer = ask(fronts[number % 2], &attempt, &parts);
            shared.record.line(&format!("answer {attempt}: {answer:?}"));
        });
        thread::sleep(pause);
    }
}

/// Lets three runners crash that no request with the bad part has reached.
fn crash_some(shared: &Shared, engines: &[Engine]) {
    let hit = shared.hit.lock().expect("no holder panics").clone();
    for engine in engines.iter().filter(|engine| !hit.contains(&engine.id)).take(CRASHING) {
        shared.record.line(&format!("{} crashes by itself", engine.id));
        engine.crash(CRASH_LENGTH);
    }
}

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let mut site = Site::new(record);
    let shared = Shared {
        record: record.clone(),
        arrivals: Arc::default(),
        crashes: Arc::default(),
        hit: Arc::default(),
        has_trouble,
    };
    let start_engine = |number: usize| {
        let (shared, id) = (shared.clone(), format!("i-{}", number + 1));
        Engine::start(&site.store, record, &id, "llm", move |engine, connection, request| {
            serve(&shared, engine, connection, request)
        })
    };
    let engines: Vec<_> = (0..RUNNERS).map(start_engine).collect();
    site.configure(&site::config(1, &[CHAT], &[("llm", 620)], &["key-of-the-club"]));
    if !site.start_gateways(2) {
        return Verdict::CouldNotRun;
    }
    let fronts = [site.gateways[0].front, site.gateways[1].front];
    let start = Instant::now();
    let sound = thread::spawn(move || {
        let mut requests = Vec::new();
        for number in 0_usize.. {
            if start.elapsed() > SPAN {
                break;
            }
            let parts = format!("a0:40,b{:x}:40,c{number:x}:800", number % 20);
            let front = fronts[number % 2];
            requests.push(thread::spawn(move || ask(front, &format!("s{number}"), &parts)));
            thread::sleep(SOUND_PAUSE);
        }
        let sent = requests.len();
        let answers = requests.into_iter().filter_map(|request| request.join().ok()?.ok());
        (sent, answers.filter(|(_, is_complete)| *is_complete).count())
    });
    thread::sleep(BEGIN);
    send_all(&shared, fronts, "n", NEW_PART, LONG_REQUESTS, LONG_PAUSE);
    thread::sleep((BEGIN + CRASH_AFTER).saturating_sub(start.elapsed()));
    if has_trouble {
        crash_some(&shared, &engines);
    }
    send_all(&shared, fronts, "p", POISON, FIRST_POISON, FIRST_PAUSE);
    thread::sleep(LATER_AFTER);
    send_all(&shared, fronts, "q", POISON, LATER_POISON, LATER_PAUSE);
    let (sent, complete) = sound.join().unwrap_or_default();
    let crashes = shared.crashes.lock().expect("no holder panics").clone();
    let arrivals = shared.arrivals.lock().expect("no holder panics").clone();
    let limit = crashes.get(CRASHES - 1).map(|fifth| *fifth + STABLE_WINDOW);
    let late = arrivals.iter().filter(|at| limit.is_some_and(|limit| **at > limit)).count();
    record.say(&format!(
        "{sent} sound requests, {complete} complete; the part crashed runners {} times; {} requests \
         with it reached runners, {late} of them later than {STABLE_WINDOW:?} after the fifth crash",
        crashes.len(),
        arrivals.len()
    ));
    match complete {
        0 => Verdict::CouldNotRun,
        _ if late > MAX_LATE => Verdict::Broken,
        _ => Verdict::Held,
    }
}
