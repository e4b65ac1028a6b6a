//! A runner reports that it leaves, and the store is down soon after. Gateways that have read the report go on
//! with what others had read before.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::http;
use crate::runner::{Arrival, Runner, Terms};
use crate::site::{Gateway, Random, Record};
use crate::store::{Mode, Store};

/// `drain_ms` of the site.
const DRAIN: Duration = Duration::from_millis(2_500);
/// Time from a report to the outage of the store.
const BEFORE_OUTAGE: Duration = Duration::from_millis(300);
/// Length of an outage of the store.
const OUTAGE: Duration = Duration::from_millis(3_200);
/// Time for which a runner serves after its report.
const SERVES: Duration = Duration::from_millis(3_600);
/// Time without impairment before the next report; the site's `stable_window_ms` is 4 s.
const CALM: Duration = Duration::from_millis(4_500);
const ROUNDS: usize = 10;
/// Zones of the gateways.
const ZONES: [&str; 3] = ["seq-a", "fnq-a", "seq-b"];

/// Number of deployments that the case runs beside each other, each with its own store.
const DEPLOYMENTS: usize = 4;

/// What was seen in one deployment: requests sent late, and those of them that broke the rule.
struct Seen {
    sent: usize,
    broken: usize,
}

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let deployments: Vec<_> = (0..DEPLOYMENTS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || run_deployment(number, &record, has_trouble))
        })
        .collect();
    let (mut sent, mut broken) = (0, 0);
    for deployment in deployments {
        let Ok(Some(seen)) = deployment.join() else { return Verdict::CouldNotRun };
        sent += seen.sent;
        broken += seen.broken;
    }
    record.say(&format!(
        "{sent} requests were sent later than {} ms after a report; {broken} of them reached the leaving runner \
         from a gateway that had read the report",
        DRAIN.as_millis()
    ));
    if broken > 0 { Verdict::Broken } else { Verdict::Held }
}

/// Runs the rounds of one deployment; `None` if it could not run.
fn run_deployment(number: usize, record: &Record, has_trouble: bool) -> Option<Seen> {
    let store = Store::new();
    store.put("op/config", CONFIG);
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    let terms = Terms { work: Duration::from_millis(30) };
    let start = |id: &str| Runner::start(id, "desk", "seq-b", &store, &arrivals, terms);
    let _stays = start("r-z");
    let mut leaver = start(&format!("r-{ROUNDS:02}"));
    let zones = "{\"seq-a\":\"seq\",\"fnq-a\":\"fnq\",\"seq-b\":\"seq\"}";
    let mut random = Random::new();
    let mut broken = 0;
    let mut sent = 0;
    for round in (0..ROUNDS).rev() {
        // The gateways of a round start at different moments, as they do when they are replaced one by one.
        let mut gateways = Vec::new();
        for (index, zone) in ZONES.iter().enumerate() {
            gateways.push(Gateway::start(
                &format!("edge-{number}-{index}"),
                zone,
                zones,
                store.listen(index),
            ));
            thread::sleep(Duration::from_millis(random.below(900)));
        }
        if !gateways.iter().all(|gateway| gateway.wait_until_ready(Duration::from_secs(5))) {
            return None;
        }
        thread::sleep(CALM);
        for (index, gateway) in gateways.iter().enumerate() {
            ask(gateway.front, &format!("{index:x}00{round:013x}"));
        }
        // The next runner of the release starts first.
        let next = start(&format!("r-{round:02}"));
        leaver.drain();
        let report = Instant::now();
        record.line(&format!("deployment {number}: {} reports that it leaves", leaver.id()));
        let mut own_readers: Vec<_> = (0..ZONES.len()).collect();
        if has_trouble {
            thread::sleep(BEFORE_OUTAGE);
            store.set_mode(Mode::Busy);
            own_readers = store.readers_since(report);
            record
                .line(&format!("deployment {number}: the store is down; gateways {own_readers:?} have read the report"));
        }
        for wait in [DRAIN + Duration::from_millis(200), DRAIN + Duration::from_millis(1_200)] {
            thread::sleep((report + wait).saturating_duration_since(Instant::now()));
            // Two callers ask at each gateway.
            let mut callers = Vec::new();
            for (index, gateway) in gateways.iter().enumerate() {
                for caller in 0..2 {
                    let id = format!("{index:x}{:x}{caller}{round:013x}", wait.as_millis() / 1_000);
                    let front = gateway.front;
                    sent += 1;
                    callers.push(thread::spawn(move || ask(front, &id)));
                }
            }
            for caller in callers {
                let _ = caller.join();
            }
        }
        let late: BTreeMap<_, _> = arrivals
            .lock()
            .unwrap()
            .iter()
            .filter(|arrival| arrival.runner == leaver.id() && arrival.at > report + DRAIN)
            .map(|arrival| (arrival.request.clone(), arrival.at))
            .collect();
        for (request, at) in late {
            let gateway = usize::from_str_radix(&request[..1], 16).unwrap_or(0);
            let is_bound = own_readers.contains(&gateway);
            broken += usize::from(is_bound);
            record.line(&format!(
                "deployment {number}: {} gets request {request} from gateway {gateway} {} ms after its report; the gateway {}",
                leaver.id(),
                at.duration_since(report).as_millis(),
                if is_bound { "had read the report" } else { "had not read the report" }
            ));
        }
        thread::sleep((report + OUTAGE).saturating_duration_since(Instant::now()));
        store.set_mode(Mode::Up);
        thread::sleep((report + SERVES).saturating_duration_since(Instant::now()));
        leaver.end();
        leaver = next;
    }
    Some(Seen { sent, broken })
}

fn ask(front: SocketAddr, id: &str) {
    let headers = [("host", "desk.example"), ("x-attempt-id", id), ("x-deadline-ms", "4000")];
    let bytes = http::request("GET", &format!("/desk/{id}"), &headers, b"");
    http::call(front, &bytes, Duration::from_secs(4));
}

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-desk","host":"desk.example","prefix":"/desk/",
"kind":"safe","timeout_ms":2000,"latency_target_ms":250,"priority":2,"service":"desk","max_attempts":2,
"stages":[],"public":true}],"services":[{"name":"desk","health_path":"/health","max_conns":110}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"club","api_keys":["desk-key-1"]}]}"#;
