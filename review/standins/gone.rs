//! A runner crashes in the middle of its streams. The system goes on with them at other runners, which
//! have to read the prompts first. Requesters abandon a stream after the pause that the pages state;
//! work on it has to end soon after.

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

const RUNNERS: usize = 4;
const STREAMS: usize = 48;
const EVENTS: u64 = 30;
/// Pause between two events of a stream.
const EVENT_PAUSE: Duration = Duration::from_millis(240);
/// Time to the first event of a stream that its runner begins with cached parts.
const CACHED_READ: Duration = Duration::from_millis(200);
/// Time to read a whole prompt and what was generated, without cached parts.
const FULL_READ: Duration = Duration::from_millis(3_000);
/// Gap after which requesters abandon a stream: two seconds, four times the objective of 500 ms and
/// eight times the pause of 250 ms.
const PATIENCE: Duration = Duration::from_secs(2);
/// Time after a requester has left for which runners may still be at work.
const GONE_LIMIT: Duration = Duration::from_millis(500);
/// Time from the first stream until the crash, and for which it lasts.
const CRASH_AFTER: Duration = Duration::from_secs(4);
const CRASH_LENGTH: Duration = Duration::from_secs(2);

const CHAT: Route = Route {
    prefix: "chat",
    kind: "streaming",
    service: "llm",
    timeout_ms: 15_000,
    target_ms: 500,
    max_attempts: 3,
    resume_streams: true,
    is_public: true,
};

/// Work of a runner on a request.
#[derive(Clone, Debug)]
struct Work {
    attempt: String,
    runner: String,
    begin: Duration,
    end: Duration,
    /// Whether the runner would have worked longer, had its caller not closed the connection.
    is_cut: bool,
}

#[derive(Clone)]
struct Shared {
    record: Record,
    works: Arc<Mutex<Vec<Work>>>,
    /// When requesters left, by attempt.
    left: Arc<Mutex<BTreeMap<String, Duration>>>,
}

/// Answers one request at a runner.
fn serve(shared: &Shared, engine: &Engine, connection: &mut Connection, request: &Request) -> bool {
    let attempt = request.headers.get("x-attempt-id").to_owned();
    let last = request.headers.find("last-event-id").and_then(|id| id.parse().ok());
    shared.record.line(&format!("run {attempt} at {} after event {last:?}", engine.id));
    let begin = shared.record.now();
    let ended = stream(engine, connection, &attempt, last);
    let end = shared.record.now();
    let has_crashed = engine.has_crashed();
    let outcome = match &ended {
        Ok(()) => "whole".to_owned(),
        Err(_) if has_crashed => "crashed".to_owned(),
        Err(e) => format!("connection closed: {e}"),
    };
    shared.record.line(&format!("end {attempt} at {}: {outcome}", engine.id));
    let is_cut = ended.is_err() && !has_crashed;
    let work = Work { attempt, runner: engine.id.clone(), begin, end, is_cut };
    shared.works.lock().expect("no holder panics").push(work);
    ended.is_ok()
}

fn stream(
    engine: &Engine,
    connection: &mut Connection,
    attempt: &str,
    last: Option<u64>,
) -> io::Result<()> {
    engine.work(connection, if last.is_some() { FULL_READ } else { CACHED_READ })?;
    engine.begin_stream(connection, attempt)?;
    for event in last.unwrap_or(0) + 1..=EVENTS {
        engine.send_event(connection, attempt, event)?;
        engine.work(connection, EVENT_PAUSE)?;
    }
    engine.end_stream(connection)
}

/// Asks for a stream and reads it. Abandons it after a gap. Returns whether it was complete.
fn ask(shared: &Shared, front: SocketAddr, attempt: &str) -> io::Result<bool> {
    let mut connection = Connection::open(front)?;
    let fields = [("Host", site::HOST), ("X-Attempt-Id", attempt), ("X-Deadline-Ms", "15000")];
    connection.write(&http::encode("POST /chat/1 HTTP/1.1", &fields, b"where is my buggy"))?;
    connection.stream.set_read_timeout(Some(PATIENCE))?;
    let read = read_stream(&mut connection);
    match &read {
        Err(e) if [io::ErrorKind::WouldBlock, io::ErrorKind::TimedOut].contains(&e.kind()) => {
            drop(connection);
            let now = shared.record.now();
            shared.record.line(&format!("leave {attempt}: nothing for {PATIENCE:?}"));
            shared.left.lock().expect("no holder panics").insert(attempt.to_owned(), now);
        }
        _ => shared.record.line(&format!("answer {attempt}: complete {read:?}")),
    }
    read
}

fn read_stream(connection: &mut Connection) -> io::Result<bool> {
    let (status, _) = connection.read_answer_head()?;
    if status != 200 {
        return Ok(false);
    }
    while connection.read_chunk()?.is_some() {}
    Ok(true)
}

/// Counts, of the streams that requesters have left, those at which a runner would have worked for
/// longer than the limit, and those at which it did; and requests that reached a runner later than
/// the limit.
fn check(shared: &Shared) -> (usize, usize, usize) {
    let left = shared.left.lock().expect("no holder panics").clone();
    let works = shared.works.lock().expect("no holder panics").clone();
    let (mut lasting, mut at_work, mut late) = (0, 0, 0);
    for (attempt, left) in &left {
        let limit = *left + GONE_LIMIT;
        let of_attempt: Vec<_> = works.iter().filter(|work| work.attempt == *attempt).collect();
        let was_at_work = of_attempt.iter().any(|work| work.begin < limit && work.end > limit);
        let was_cut = of_attempt.iter().any(|work| work.end > *left && work.is_cut);
        late += of_attempt.iter().filter(|work| work.begin > limit).count();
        lasting += usize::from(was_at_work || was_cut);
        at_work += usize::from(was_at_work);
        if was_at_work {
            let ends: Vec<_> = of_attempt
                .iter()
                .map(|work| (&work.runner, work.end.saturating_sub(*left)))
                .collect();
            shared
                .record
                .line(&format!("GONE {attempt}: left at {left:?}; ends after that {ends:?}"));
        }
    }
    (lasting, at_work, late)
}

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let mut site = Site::new(record);
    let shared = Shared { record: record.clone(), works: Arc::default(), left: Arc::default() };
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
    let start = Instant::now();
    let mut requesters = Vec::new();
    for number in 0..STREAMS {
        let front = site.gateways[number % site.gateways.len()].front;
        let shared = shared.clone();
        requesters.push(thread::spawn(move || {
            let attempt = format!("c{number}");
            shared.record.line(&format!("send {attempt}"));
            ask(&shared, front, &attempt).unwrap_or(false)
        }));
        thread::sleep(Duration::from_millis(60));
    }
    thread::sleep(CRASH_AFTER.saturating_sub(start.elapsed()));
    if has_trouble {
        engines[0].crash(CRASH_LENGTH);
    }
    let complete = requesters.into_iter().filter_map(|r| r.join().ok()).filter(|c| *c).count();
    // Runs that nobody waits for any more end within the time to read a prompt.
    thread::sleep(FULL_READ + Duration::from_secs(2));
    let (lasting, at_work, late) = check(&shared);
    let left = shared.left.lock().expect("no holder panics").len();
    record.say(&format!(
        "{STREAMS} streams, {complete} complete, {left} abandoned; of {lasting} abandoned ones that \
         would have lasted for longer, runners were at work on {at_work} later than {GONE_LIMIT:?} \
         after that; {late} requests reached a runner later than that"
    ));
    match complete {
        0 => Verdict::CouldNotRun,
        _ if 4 * at_work > lasting || late > 3 => Verdict::Broken,
        _ => Verdict::Held,
    }
}
