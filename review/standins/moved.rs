//! A model runner turns slow. Its streams go on at other runners while it still works on them.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::engine::Engine;
use crate::http::{self, Connection, Request};
use crate::site::{self, Record, Route, Site};

const RUNNERS: usize = 7;
const STREAMS: usize = 42;
const EVENTS: u64 = 30;
/// Time to the first event of a stream, and pause between two events.
const EVENT_PAUSE: Duration = Duration::from_millis(240);
/// Factor by which the slow runner takes longer.
const SLOWNESS: u32 = 5;
/// Time from the first stream until one runner turns slow, and for which it is.
const SLOW_AFTER: Duration = Duration::from_secs(4);
const SLOW_LENGTH: Duration = Duration::from_millis(6_500);
/// Time for which the runner before may still be at work.
const OVERLAP_LIMIT: Duration = Duration::from_millis(400);

const CHAT: Route = Route {
    prefix: "chat",
    kind: "streaming",
    service: "llm",
    timeout_ms: 15_000,
    target_ms: 920,
    max_attempts: 2,
    resume_streams: true,
    is_public: true,
};

/// Work of a runner on a request.
#[derive(Clone, Debug)]
struct Work {
    runner: String,
    begin: Duration,
    end: Duration,
}

#[derive(Clone)]
struct Shared {
    record: Record,
    works: Arc<Mutex<BTreeMap<String, Vec<Work>>>>,
    /// Start and end of the slow time, once it is known.
    window: Arc<Mutex<Option<(Instant, Instant)>>>,
}

impl Shared {
    fn is_slow(&self) -> bool {
        let window = *self.window.lock().expect("no holder panics");
        window.is_some_and(|(begin, end)| (begin..end).contains(&Instant::now()))
    }
}

fn serve(shared: &Shared, engine: &Engine, connection: &mut Connection, request: &Request) -> bool {
    let attempt = request.headers.get("x-attempt-id").to_owned();
    let last = request.headers.find("last-event-id").and_then(|id| id.parse().ok());
    shared.record.line(&format!("run {attempt} at {} after event {last:?}", engine.id));
    let begin = shared.record.now();
    let ended = stream(shared, engine, connection, &attempt, last.unwrap_or(0));
    let end = shared.record.now();
    shared.record.line(&format!("end {attempt} at {}: {ended:?}", engine.id));
    let work = Work { runner: engine.id.clone(), begin, end };
    shared.works.lock().expect("no holder panics").entry(attempt).or_default().push(work);
    ended.is_ok()
}

/// Writes a stream. The runner finds out that the connection is closed when it writes to it.
fn stream(
    shared: &Shared,
    engine: &Engine,
    connection: &mut Connection,
    attempt: &str,
    last: u64,
) -> io::Result<()> {
    engine.begin_stream(connection, attempt)?;
    for event in last + 1..=EVENTS {
        let factor = if engine.id == "i-1" && shared.is_slow() { SLOWNESS } else { 1 };
        thread::sleep(EVENT_PAUSE * factor);
        engine.send_event(connection, attempt, event)?;
    }
    engine.end_stream(connection)
}

/// Asks for a stream and reads it. Returns whether it was complete.
fn ask(front: SocketAddr, attempt: &str) -> io::Result<bool> {
    let mut connection = Connection::open(front)?;
    connection.stream.set_read_timeout(Some(Duration::from_millis(3_680)))?;
    let fields = [("Host", site::HOST), ("X-Attempt-Id", attempt), ("X-Deadline-Ms", "15000")];
    connection.write(&http::encode("POST /chat/1 HTTP/1.1", &fields, b"where is my buggy"))?;
    let (status, _) = connection.read_answer_head()?;
    if status != 200 {
        return Ok(false);
    }
    while connection.read_chunk()?.is_some() {}
    Ok(true)
}

/// Counts requests that went on at another runner while the one before still worked on them later
/// than the limit.
fn check(shared: &Shared) -> usize {
    let works = shared.works.lock().expect("no holder panics").clone();
    let mut twice = 0;
    for (attempt, works) in &works {
        let overlaps = works.iter().any(|first| {
            let is_next = |next: &Work| next.begin > first.begin && next.runner != first.runner;
            works.iter().any(|next| is_next(next) && first.end > next.begin + OVERLAP_LIMIT)
        });
        if overlaps {
            twice += 1;
            shared.record.line(&format!("TWICE {attempt}: {works:?}"));
        }
    }
    twice
}

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let mut site = Site::new(record);
    let shared = Shared { record: record.clone(), works: Arc::default(), window: Arc::default() };
    for number in 0..RUNNERS {
        let (shared, id) = (shared.clone(), format!("i-{}", number + 1));
        Engine::start(&site.store, record, &id, "llm", move |engine, connection, request| {
            serve(&shared, engine, connection, request)
        });
    }
    site.configure(&site::config(1, &[CHAT], &[("llm", 620)], &["key-of-the-club"]));
    if !site.start_gateways(2) {
        return Verdict::CouldNotRun;
    }
    let start = Instant::now();
    if has_trouble {
        let begin = start + SLOW_AFTER;
        *shared.window.lock().expect("no holder panics") = Some((begin, begin + SLOW_LENGTH));
    }
    let mut requesters = Vec::new();
    for number in 0..STREAMS {
        let front = site.gateways[number % site.gateways.len()].front;
        let record = shared.record.clone();
        requesters.push(thread::spawn(move || {
            let attempt = format!("c{number}");
            record.line(&format!("send {attempt}"));
            let read = ask(front, &attempt);
            record.line(&format!("answer {attempt}: complete {read:?}"));
            read.unwrap_or(false)
        }));
        thread::sleep(Duration::from_millis(60));
    }
    let complete = requesters.into_iter().filter_map(|r| r.join().ok()).filter(|c| *c).count();
    thread::sleep(Duration::from_secs(3));
    let twice = check(&shared);
    record.say(&format!(
        "{STREAMS} streams, {complete} complete; {twice} went on at another runner while the one before \
         still worked on them {OVERLAP_LIMIT:?} later"
    ));
    match complete {
        0 => Verdict::CouldNotRun,
        _ if twice > 0 => Verdict::Broken,
        _ => Verdict::Held,
    }
}
