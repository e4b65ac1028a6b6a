//! The only key of the only tenant is taken away. Requests that still carry it, and requests with a
//! key that no configuration ever held, must not run later than the bound after that.

use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::http;
use crate::runs::{Run, Runs};
use crate::site::{self, Record, Site};

const KEY: &str = "key-of-the-club";
const UNKNOWN_KEY: &str = "key-of-nobody";
/// `revoke_ms` of the site.
const REVOKE_LIMIT: Duration = Duration::from_secs(5);
/// Time for which requests are sent before and after the change.
const SPAN: Duration = Duration::from_secs(4);
/// Time that a request takes at its runner.
const WORK: Duration = Duration::from_millis(30);
const PAUSE: Duration = Duration::from_millis(100);

fn start_runner(site: &Site, id: &str, runs: &Runs) {
    let (listener, address) = http::listen();
    let (own_id, runs, record) = (id.to_owned(), runs.clone(), site.record.clone());
    http::serve(listener, move |connection, request| {
        let attempt = request.headers.get("x-attempt-id");
        if request.headers.get("x-expect-runner") != own_id {
            let fields = [("X-Attempt-Id", attempt), ("X-Not-Run", "1")];
            return connection.write(&http::answer(421, &fields, b"")).is_ok();
        }
        let tenant = request.headers.get("x-tenant");
        record.line(&format!("run {attempt} at {own_id}, tenant {tenant:?}"));
        runs.add(attempt, Run { runner: own_id.clone(), at: record.now() });
        thread::sleep(WORK);
        let fields = [("X-Attempt-Id", attempt), ("X-Server-Seal", "seal")];
        connection.write(&http::answer(200, &fields, attempt.as_bytes())).is_ok()
    });
    site::register(&site.store, id, "hire", address, 6, None);
}

/// Sends requests with both keys to all gateways for a while. Returns how many ran with the known
/// key and how many with the unknown one.
fn send_for_a_while(site: &Site, runs: &Runs, phase: &str) -> (usize, usize) {
    let (mut known, mut unknown) = (0, 0);
    let until = Instant::now() + SPAN;
    for number in 0.. {
        if Instant::now() > until {
            break;
        }
        let gateway = &site.gateways[number % site.gateways.len()];
        for (key, count) in [(KEY, &mut known), (UNKNOWN_KEY, &mut unknown)] {
            let attempt = format!("{phase}-{number}-{key}");
            site.record.line(&format!("send {attempt} to {}", gateway.name));
            let status = site::send_booking(gateway.front, &attempt, key).map(|a| a.status);
            site.record.line(&format!("answer {attempt}: {status:?}"));
            *count += usize::from(!runs.of(&attempt).is_empty());
        }
        thread::sleep(PAUSE);
    }
    (known, unknown)
}

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let config =
        |version, keys: &[&str]| site::config(version, &[site::BOOKINGS], &[("hire", 110)], keys);
    let mut site = Site::new(record);
    let runs = Runs::default();
    for id in ["i-1", "i-2"] {
        start_runner(&site, id, &runs);
    }
    site.configure(&config(1, &[KEY]));
    if !site.start_gateways(2) {
        return Verdict::CouldNotRun;
    }
    let (known, unknown) = send_for_a_while(&site, &runs, "before");
    record.say(&format!("before: {known} runs with the key, {unknown} with one that never was"));
    if known == 0 {
        return Verdict::CouldNotRun;
    }
    let keys: &[_] = if has_trouble { &[] } else { &[KEY] };
    site.configure(&config(5, keys));
    record.say(&format!("version 5 is acknowledged; keys of the tenant: {keys:?}"));
    thread::sleep(REVOKE_LIMIT + Duration::from_millis(500));
    let (known, never) = send_for_a_while(&site, &runs, "after");
    record.say(&format!(
        "later than {REVOKE_LIMIT:?} after the ack: {known} runs with the key, {never} with one that \
         never was"
    ));
    let revoked = if has_trouble { known } else { 0 };
    if revoked + never + unknown > 0 { Verdict::Broken } else { Verdict::Held }
}
