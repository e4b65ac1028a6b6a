//! Bookings, which may run once at most, while some runners have a fault.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::http::{self, Connection, Request};
use crate::runs::{Run, Runs};
use crate::site::{self, Record, Site};

const KEY: &str = "key-of-the-club";
/// Time that a request takes at its runner.
const WORK: Duration = Duration::from_millis(30);
/// Statuses by which requesters know that their request has not run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// What faulty runners do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// They run a share of the requests and answer these with 503, without `X-Not-Run`.
    UnmarkedRefusal,
    /// They send a second response after a share of their answers, late: when the next request has
    /// arrived on the connection. It names no request.
    LateExtra,
}

/// One experiment.
pub struct Plan {
    pub fault: Fault,
    pub runners: usize,
    /// Number of runners with the fault.
    pub faulty: usize,
    /// Share of the requests of faulty runners, in hundredths.
    pub percent: u32,
    /// Time from the start of the requests until the fault begins.
    pub begin: Duration,
    /// Time for which the fault lasts.
    pub length: Duration,
    /// Pause between two requests.
    pub pause: Duration,
    /// Time for which requests are sent.
    pub span: Duration,
}

impl Plan {
    /// Runners answer requests that they have run with 503. The doses are those of `srv_grey`.
    pub fn unmarked_refusals() -> Self {
        Self {
            fault: Fault::UnmarkedRefusal,
            runners: 8,
            faulty: 1,
            percent: 45,
            begin: Duration::from_secs(2),
            length: Duration::from_millis(6_500),
            pause: Duration::from_millis(20),
            span: Duration::from_secs(11),
        }
    }

    /// Runners send additional bytes after an answer. The doses are those of `garble`, extra late.
    pub fn late_extras() -> Self {
        Self {
            fault: Fault::LateExtra,
            runners: 5,
            faulty: 3,
            percent: 3,
            begin: Duration::from_secs(2),
            length: Duration::from_secs(5),
            pause: Duration::from_millis(10),
            span: Duration::from_secs(10),
        }
    }
}

/// State that the runners share.
struct Shared {
    runs: Runs,
    record: Record,
    /// Start and end of the fault, once it is known.
    window: Mutex<Option<(Instant, Instant)>>,
    /// Requests that faulty runners have run while the fault lasted.
    count: AtomicU32,
    plan: Plan,
}

impl Shared {
    /// Returns whether the fault hits the request that a faulty runner runs now. The hit ones are
    /// spread evenly.
    fn is_hit(&self) -> bool {
        let now = Instant::now();
        let window = *self.window.lock().expect("no holder panics");
        if window.is_none_or(|(begin, end)| now < begin || now >= end) {
            return false;
        }
        let number = self.count.fetch_add(1, Ordering::Relaxed);
        (number + 1) * self.plan.percent / 100 > number * self.plan.percent / 100
    }
}

/// A runner.
struct Runner {
    id: String,
    is_faulty: bool,
    shared: Arc<Shared>,
    /// Connections, by the peer's address, on which a second response is due.
    extras: Mutex<BTreeMap<SocketAddr, String>>,
}

/// Additional bytes: a response that names no request.
const EXTRA: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";

impl Runner {
    fn start(site: &Site, shared: &Arc<Shared>, number: usize) {
        let (listener, address) = http::listen();
        let (id, is_faulty) = (format!("i-{}", number + 1), number < shared.plan.faulty);
        site::register(&site.store, &id, "hire", address, 6, None);
        let (shared, extras) = (Arc::clone(shared), Mutex::default());
        let runner = Self { id, is_faulty, shared, extras };
        http::serve(listener, move |connection, request| runner.handle(connection, &request));
    }

    fn handle(&self, connection: &mut Connection, request: &Request) -> bool {
        let record = &self.shared.record;
        let attempt = request.headers.get("x-attempt-id");
        if request.target == "/health" {
            return connection.write(&http::answer(200, &[("X-Runner-Id", &self.id)], b"")).is_ok();
        }
        if request.headers.get("x-expect-runner") != self.id {
            let fields = [("X-Attempt-Id", attempt), ("X-Not-Run", "1")];
            return connection.write(&http::answer(421, &fields, b"")).is_ok();
        }
        let peer = connection.stream.peer_addr().ok();
        let extra = peer.and_then(|p| self.extras.lock().expect("no holder panics").remove(&p));
        record.line(&format!("run {attempt} at {}", self.id));
        self.shared.runs.add(attempt, Run { runner: self.id.clone(), at: record.now() });
        if let Some(earlier) = extra {
            record.line(&format!("{}: a second response after {earlier}, late", self.id));
            if connection.write(EXTRA).is_err() {
                return false;
            }
        }
        thread::sleep(WORK);
        let is_hit = self.is_faulty && self.shared.is_hit();
        if is_hit && self.shared.plan.fault == Fault::UnmarkedRefusal {
            record.line(&format!("{} answers {attempt} with 503 without X-Not-Run", self.id));
            let fields = [("X-Attempt-Id", attempt)];
            return connection.write(&http::answer(503, &fields, b"the ledger is away")).is_ok();
        }
        if is_hit && let Some(peer) = peer {
            self.extras.lock().expect("no holder panics").insert(peer, attempt.to_owned());
        }
        let fields = [("X-Attempt-Id", attempt), ("X-Server-Seal", "seal")];
        connection.write(&http::answer(200, &fields, attempt.as_bytes())).is_ok()
    }
}

/// Sends a booking, and once more under another id if it is said not to have run, as requesters do.
fn book(record: &Record, fronts: [SocketAddr; 2], number: usize, answers: &Answers) {
    for (retry, front) in fronts.into_iter().enumerate() {
        let attempt = format!("b{number}-{retry}");
        record.line(&format!("send {attempt}"));
        let answer = site::send_booking(front, &attempt, KEY);
        let status = answer.as_ref().map(|answer| answer.status);
        record.line(&format!("answer {attempt}: {status:?}"));
        answers.lock().expect("no holder panics").insert(attempt, status);
        if status.is_none_or(|status| !NOT_RUN.contains(&status)) {
            return;
        }
        let wait: Option<f64> =
            answer.and_then(|answer| answer.headers.get("retry-after").parse().ok());
        thread::sleep(Duration::from_secs_f64(wait.unwrap_or(0.0).clamp(0.0, 1.0)));
    }
}

/// Statuses of answers by attempt; `None` for one that got none.
type Answers = Arc<Mutex<BTreeMap<String, Option<u16>>>>;

/// Counts attempts that were said not to have run and have, attempts that ran more than once, and
/// bookings that ran more than once over all attempts.
fn check(shared: &Shared, answers: &Answers) -> (usize, usize, usize) {
    let answers = answers.lock().expect("no holder panics").clone();
    let runs = shared.runs.all();
    let (mut refused, mut twice) = (0, 0);
    let mut bookings: BTreeMap<&str, usize> = BTreeMap::new();
    for (attempt, runs) in &runs {
        let status = answers.get(attempt).copied().flatten();
        if status.is_some_and(|status| NOT_RUN.contains(&status)) {
            refused += 1;
            shared.record.line(&format!("REFUSED {attempt}: answered {status:?}, ran {runs:?}"));
        }
        if runs.len() > 1 {
            twice += 1;
            shared.record.line(&format!("TWICE {attempt}: ran {runs:?}"));
        }
        let booking = attempt.split_once('-').map_or(attempt.as_str(), |(booking, _)| booking);
        *bookings.entry(booking).or_default() += runs.len();
    }
    (refused, twice, bookings.values().filter(|count| **count > 1).count())
}

pub fn run(record: &Record, plan: Plan, has_trouble: bool) -> Verdict {
    let mut site = Site::new(record);
    let (runs, record, window) = (Runs::default(), record.clone(), Mutex::new(None));
    let shared = Arc::new(Shared { runs, record, window, count: AtomicU32::new(0), plan });
    let plan = &shared.plan;
    for number in 0..plan.runners {
        Runner::start(&site, &shared, number);
    }
    site.configure(&site::config(1, &[site::BOOKINGS], &[("hire", 110)], &[KEY]));
    if !site.start_gateways(2) {
        return Verdict::CouldNotRun;
    }
    let start = Instant::now();
    if has_trouble {
        let begin = start + plan.begin;
        *shared.window.lock().expect("no holder panics") = Some((begin, begin + plan.length));
    }
    let answers = Answers::default();
    let mut requesters = Vec::new();
    for number in 0.. {
        if start.elapsed() > plan.span {
            break;
        }
        let count = site.gateways.len();
        let fronts = [0, 1].map(|next| site.gateways[(number + next) % count].front);
        let (record, answers) = (shared.record.clone(), Arc::clone(&answers));
        requesters.push(thread::spawn(move || book(&record, fronts, number, &answers)));
        thread::sleep(plan.pause);
    }
    let sent = requesters.len();
    for requester in requesters {
        let _ = requester.join();
    }
    let (refused, twice, bookings) = check(&shared, &answers);
    let served = answers.lock().expect("no holder panics");
    let served = served.values().filter(|status| **status == Some(200)).count();
    shared.record.say(&format!(
        "{sent} bookings, {served} answered with 200; REFUSED: {refused} attempts were said not to \
         have run and have; TWICE: {twice} attempts ran more than once; {bookings} bookings were made \
         more than once"
    ));
    match plan.fault {
        _ if served == 0 => Verdict::CouldNotRun,
        Fault::UnmarkedRefusal if refused > 0 => Verdict::Broken,
        Fault::LateExtra if refused + twice > 0 => Verdict::Broken,
        _ => Verdict::Held,
    }
}
