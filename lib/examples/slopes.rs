//! Measures how the cost of decisions and the size of state grow with the number of upstreams,
//! teams, pipelines and attempts, and prints tables.
//!
//! Run with `cargo run --release -p bramleyshelf-lib --example slopes`.

use std::collections;
use std::env;
use std::fs;
use std::hint;
use std::process;
use std::sync;
use std::time;

use bramleyshelf_lib::{
    attempt, auth, check, claim, clock, config, entry, id, key, membership, plan, refusal, request,
    revision, routing, sidecar, wire,
};

/// Configuration text that is varied.
const CONFIG_TEXT: &str = include_str!("../../examples/takbaerer.json");
const UPSTREAM_COUNTS: [usize; 4] = [50, 200, 850, 1_700];
const TEAM_COUNTS: [usize; 3] = [5, 61, 610];
const PIPELINE_COUNTS: [usize; 3] = [2, 8, 22];
const ATTEMPT_COUNTS: [usize; 3] = [10_000, 50_000, 100_000];
/// Number of calls of which the mean time is taken.
const CALL_COUNT: u32 = 20_000;

fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a valid name")
}

/// Returns the resident memory of this process in bytes; assumes pages of 4096 bytes.
fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").expect("the kernel provides it");
    text.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok()).unwrap_or(0) * 4_096
}

/// Returns the mean duration of a call in microseconds.
fn mean_micros(calls: u32, mut call: impl FnMut(u32)) -> f64 {
    let start = time::Instant::now();
    for number in 0..calls {
        call(number);
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(calls)
}

/// Makes an instance list of one service with a number of upstreams in three domains.
fn instances(count: usize) -> membership::Instances {
    let domains = ["east-1", "east-2", "west-1"];
    let listed = |number: usize| membership::ListedInstance {
        service: name("generator"),
        address: ([10, 0, (number / 250) as u8, (number % 250) as u8], 7_000).into(),
        domain: name(domains[number % domains.len()]),
        leaving: false,
    };
    (0..count).map(|number| (name(&format!("generator-{number}")), listed(number))).collect()
}

fn load() -> wire::Load {
    wire::Load {
        incarnation: id::Incarnation(1),
        revision: id::Revision(1),
        running: 3,
        limit: 8,
        queued: 0,
        latency: bramleyshelf_lib::unit::Millis(20),
        draining: false,
    }
}

/// Measures the router by the number of upstreams of a service.
fn measure_routing(config: &config::Config) {
    println!(
        "\n| upstreams of a service | pick us | list update us | kB of state per 100 upstreams |"
    );
    println!("|---|---|---|---|");
    for count in UPSTREAM_COUNTS {
        let list = instances(count);
        let none = collections::BTreeSet::new();
        let bytes = measure_memory("router", count) / count as f64;
        let mut router = make_router(count, config);
        let service = name("generator");
        let args = routing::PickArgs { service: &service, tried: &none, prefix_hash: Some(5) };
        let now = time::Duration::from_secs(1);
        let pick = mean_micros(CALL_COUNT, |_| {
            hint::black_box(router.pick(now, config, &args));
        });
        let update = mean_micros(50, |_| router.update(config, &list, &none));
        println!("| {count} | {pick:.2} | {update:.0} | {:.1} |", bytes / 10.0);
    }
}

fn make_router(upstreams: usize, config: &config::Config) -> routing::Router {
    let mut router = routing::Router::new(name("entry-0"), name("east-1"), 1);
    let list = instances(upstreams);
    router.update(config, &list, &collections::BTreeSet::new());
    for instance in list.keys() {
        router.record_load(time::Duration::from_secs(1), instance, &load());
    }
    router
}

/// Returns the resident bytes of one copy of a state.
///
/// Runs this program with the argument `memory`, as memory freed earlier in a process would distort
/// the result.
fn measure_memory(kind: &str, size: usize) -> f64 {
    let program = env::current_exe().expect("a running program has a path");
    let output = process::Command::new(program).args(["memory", kind, &size.to_string()]).output();
    let text = String::from_utf8(output.expect("it runs").stdout).expect("a number");
    text.trim().parse().expect("a number")
}

/// Makes copies of a state and prints the mean resident bytes of one.
///
/// `kind` is `router`, `config`, or for a sidecar `keys` or `attempts`; `size` is the number of
/// upstreams, teams or attempts.
fn print_copy_bytes(kind: &str, size: usize) {
    let config = check::parse(CONFIG_TEXT).expect("valid");
    let text = if kind == "config" { config_text(size, 22) } else { String::new() };
    let copies = match kind {
        "router" => 50,
        "config" => 200,
        _ => 1,
    };
    let before = resident_bytes();
    let mut states: (Vec<routing::Router>, Vec<config::Config>, Vec<sidecar::Sidecar>) =
        (Vec::new(), Vec::new(), Vec::new());
    for _ in 0..copies {
        match kind {
            "router" => states.0.push(make_router(size, &config)),
            "config" => states.1.push(check::parse(&text).expect("valid")),
            "keys" => states.2.push(filled_sidecar(size as u32, true)),
            _ => states.2.push(filled_sidecar(size as u32, false)),
        }
    }
    println!("{}", (resident_bytes() - before) as f64 / f64::from(copies));
    drop(states);
}

/// Returns the configuration with a number of teams and of copies of one pipeline.
fn config_text(teams: usize, pipelines: usize) -> String {
    let mut value: serde_json::Value = serde_json::from_str(CONFIG_TEXT).expect("JSON");
    let team = value["teams"]["counter"].clone();
    let pipeline = value["pipelines"]["fitting-guide"].clone();
    value["teams"] = serde_json::json!({});
    value["pipelines"] = serde_json::json!({});
    for number in 0..teams {
        let mut team = team.clone();
        let digest = auth::digest(format!("team-{number}").as_bytes());
        let digits: Vec<String> = digest.iter().map(|byte| format!("{byte:02x}")).collect();
        team["credential_sha256"] = digits.concat().into();
        value["teams"][format!("team-{number}")] = team;
    }
    for number in 0..pipelines {
        value["pipelines"][format!("pipeline-{number}")] = pipeline.clone();
    }
    value.to_string()
}

/// Measures the configuration by the number of teams and pipelines.
fn measure_config() {
    println!(
        "\n| teams | pipelines | text kB | check ms | kB in memory | credential us | plan us |"
    );
    println!("|---|---|---|---|---|---|---|");
    for teams in TEAM_COUNTS {
        for pipelines in PIPELINE_COUNTS {
            let text = config_text(teams, pipelines);
            let check = mean_micros(10, |_| {
                hint::black_box(check::parse(&text).expect("valid"));
            });
            let memory = measure_memory("config", teams);
            let config = check::parse(&text).expect("valid");
            let credentials = auth::Credentials::new(&config);
            let credential = mean_micros(CALL_COUNT, |_| {
                hint::black_box(credentials.team("team-3"));
            });
            let target = plan::Target::Pipeline(name("pipeline-1"));
            let planned = mean_micros(CALL_COUNT, |_| {
                hint::black_box(plan::plan(&config, &target));
            });
            println!(
                "| {teams} | {pipelines} | {:.1} | {:.2} | {:.0} | {credential:.1} | {planned:.1} |",
                text.len() as f64 / 1e3,
                check / 1e3,
                memory / 1e3
            );
        }
    }
}

/// Makes an entry with a configuration and an instance list.
fn make_entry(upstreams: usize, teams: usize) -> entry::Entry {
    let address = ([127, 0, 0, 1], 8_000).into();
    let mut entry = entry::Entry::new(name("entry-0"), name("east-1"), address, 1);
    let active_config = revision::ActiveConfig {
        revision: id::Revision(1),
        stored: sync::Arc::default(),
        config: sync::Arc::new(check::parse(&config_text(teams, 22)).expect("valid")),
        source: revision::Source::Store,
        previous: Vec::new(),
    };
    let now = clock::Now::default();
    let mut effects = Vec::new();
    entry.step(now, entry::Event::Configured(active_config), &mut effects);
    entry.step(now, entry::Event::InstancesListed(instances(upstreams)), &mut effects);
    entry
}

fn arrival(number: u32, teams: usize) -> request::Arrival {
    request::Arrival {
        request: id::RequestId(u128::from(number) + 1),
        team: name(&format!("team-{}", number as usize % teams)),
        target: plan::Target::Service(name("generator")),
        budget: None,
        key: None,
        prefix_hash: Some(u64::from(number)),
        streaming: false,
    }
}

/// Starts a request in the entry's reducer and returns its first attempt.
fn start_request(
    entry: &mut entry::Entry,
    now: clock::Now,
    number: u32,
    teams: usize,
    effects: &mut Vec<entry::Effect>,
) -> id::AttemptId {
    effects.clear();
    entry.step(now, entry::Event::RequestArrived(arrival(number, teams)), effects);
    let sent = effects.iter().find_map(|effect| match effect {
        entry::Effect::SendAttempt { open, .. } => Some(open.attempt),
        _ => None,
    });
    sent.expect("the request is admitted")
}

/// Measures the entry by the number of upstreams, teams and requests in progress.
fn measure_requests() {
    println!("\n| upstreams | teams | open requests | full request us | tick us |");
    println!("|---|---|---|---|---|");
    for (upstreams, teams) in [(50, 5), (200, 61), (850, 610)] {
        for open in [0, 100, 1_000] {
            let mut entry = make_entry(upstreams, teams);
            let mut effects = Vec::new();
            let now = clock::Now { mono: time::Duration::from_secs(1), ..clock::Now::default() };
            for number in 0..open {
                start_request(&mut entry, now, 1_000_000 + number, teams, &mut effects);
            }
            let full_request = mean_micros(CALL_COUNT, |number| {
                let attempt = start_request(&mut entry, now, number, teams, &mut effects);
                for frame in [
                    entry::FrameInfo::Accepted(load()),
                    entry::FrameInfo::Started,
                    entry::FrameInfo::Head(200),
                    entry::FrameInfo::Chunk { offset: 0, bytes: 100 },
                    entry::FrameInfo::End { total: 100, load: load() },
                ] {
                    entry.step(now, entry::Event::Frame(attempt, frame), &mut effects);
                }
            });
            let tick = mean_micros(500, |_| entry.step(now, entry::Event::Tick, &mut effects));
            println!("| {upstreams} | {teams} | {open} | {full_request:.1} | {tick:.1} |");
        }
    }
}

fn open(number: u128, key: Option<wire::Key>) -> wire::OpenAttempt {
    wire::OpenAttempt {
        version: wire::MAJOR_VERSION,
        request: id::RequestId(number),
        attempt: id::AttemptId(number),
        sender: ([127, 0, 0, 1], 8_000).into(),
        incarnation: Some(id::Incarnation(1)),
        budget: time::Duration::from_secs(5).into(),
        sent: bramleyshelf_lib::unit::Millis(0),
        team: name("team-1"),
        revision: id::Revision(1),
        offset: 0,
        key,
        acks: Vec::new(),
    }
}

/// Makes a sidecar that owns all key ranges and has no attempts yet.
fn empty_sidecar() -> sidecar::Sidecar {
    let mut config = check::parse(&config_text(610, 22)).expect("valid");
    config.limits.ledger_entries = 200_000;
    let identity = sidecar::Identity {
        instance: name("bookings-0"),
        service: name("bookings"),
        address: ([127, 0, 0, 1], 7_000).into(),
        incarnation: id::Incarnation(1),
    };
    let mut sidecar = sidecar::Sidecar::new(identity);
    let now = clock::Now::default();
    let mut effects = Vec::new();
    let configured = sidecar::Event::Configured(sync::Arc::new(config), id::Revision(1));
    sidecar.step(now, configured, &mut effects);
    let ttl = time::Duration::from_secs(15);
    let lease = claim::Reply::LeaseGranted { id: 1, requested_at: now, ttl };
    sidecar.step(now, sidecar::Event::Ownership(lease), &mut effects);
    let ranges = (0..key::RANGE_COUNT).collect();
    let fence = id::FencingToken(1);
    let claimed = claim::Reply::Claimed { lease: 1, ranges, fence, never_owned: true };
    sidecar.step(now, sidecar::Event::Ownership(claimed), &mut effects);
    sidecar
}

/// Runs one attempt in the sidecar's reducer from its start to its end.
fn run_attempt(sidecar: &mut sidecar::Sidecar, number: u32, keyed: bool) {
    let now = clock::Now::default();
    let mut effects = Vec::new();
    let text = format!("team-1/{number:036}");
    let range = key::range_of(&text);
    let key = keyed.then_some(wire::Key { text, range, fence: id::FencingToken(0) });
    let number = u128::from(number);
    let conn = attempt::ConnId(number as u64);
    let event = sidecar::Event::Open { conn, open: open(number, key), digest: [1; 32] };
    sidecar.step(now, event, &mut effects);
    let attempt = id::AttemptId(number);
    sidecar.step(now, sidecar::Event::Progress(attempt, 200), &mut effects);
    sidecar.step(now, sidecar::Event::CallFinished(attempt, 200), &mut effects);
    sidecar.step(now, sidecar::Event::ConnectionClosed(conn), &mut effects);
}

/// Makes a sidecar whose ledger has a number of finished attempts.
fn filled_sidecar(attempts: u32, keyed: bool) -> sidecar::Sidecar {
    let mut sidecar = empty_sidecar();
    for number in 0..attempts {
        run_attempt(&mut sidecar, number, keyed);
    }
    sidecar
}

/// Measures the sidecar by the number of attempts in its ledger.
fn measure_ledgers() {
    println!("\n| attempts in the ledger | with keys | bytes each | attempt us | tick us |");
    println!("|---|---|---|---|---|");
    for keyed in [false, true] {
        for records in ATTEMPT_COUNTS {
            let kind = if keyed { "keys" } else { "attempts" };
            let base = measure_memory(kind, 1);
            let bytes = (measure_memory(kind, records) - base) / records as f64;
            let mut sidecar = filled_sidecar(records as u32, keyed);
            let attempt =
                mean_micros(5_000, |number| run_attempt(&mut sidecar, 1_000_000 + number, keyed));
            let mut now = clock::Now::default();
            let mut effects = Vec::new();
            let tick = mean_micros(200, |_| {
                now = now.after(time::Duration::from_millis(50));
                sidecar.step(now, sidecar::Event::Tick, &mut effects);
            });
            println!("| {records} | {keyed} | {bytes:.0} | {attempt:.1} | {tick:.1} |");
        }
    }
}

/// Measures the message that updates a process after a change of one limit in a large text.
fn measure_deltas() {
    println!("\n| teams | text kB | bytes of a delta for one limit |");
    println!("|---|---|---|");
    for teams in TEAM_COUNTS {
        let old = config_text(teams, 22);
        let new = old.replacen("9000", "8000", 1);
        let make_stored =
            |text: &str| revision::StoredConfig { text: text.to_owned(), ..Default::default() };
        let (old, new) = (make_stored(&old), make_stored(&new));
        let delta = revision::Delta::between((id::Revision(1), &old), id::Revision(2), &new);
        assert_eq!(delta.apply(&old).as_ref(), Some(&new));
        let bytes = wire::encode(&revision::Update::Delta(delta)).len();
        println!("| {teams} | {:.1} | {bytes} |", new.text.len() as f64 / 1e3);
    }
}

/// Measures the messages between processes.
fn measure_frames() {
    let chunk = wire::Chunk { offset: 9, data: vec![7; 60].into() };
    let frame = wire::Frame::Chunk(chunk);
    let refused = wire::Refused {
        kind: refusal::Kind::QueueFull,
        ran: refusal::Ran::No,
        owner: None,
        load: load(),
    };
    println!("\n| message | bytes |");
    println!("|---|---|");
    println!("| attempt without body | {} |", wire::encode(&open(1, None)).len());
    println!("| accepted, with load | {} |", wire::encode(&wire::Frame::Accepted(load())).len());
    println!("| chunk of 60 bytes | {} |", wire::encode(&frame).len());
    println!("| refused | {} |", wire::encode(&wire::Frame::Refused(refused)).len());
    println!("| request for a newer configuration | {} |", wire::encode(&id::Revision(900)).len());
    let encode = mean_micros(100_000, |_| {
        hint::black_box(wire::encode(&frame));
    });
    let bytes = wire::encode(&frame);
    let decode = mean_micros(100_000, |_| {
        let mut decoder = wire::Decoder::new(1 << 20);
        decoder.push(&bytes);
        hint::black_box(decoder.read::<wire::Frame>().expect("readable"));
    });
    println!("\nchunk frame: encode {encode:.2} us, decode {decode:.2} us");
}

fn main() {
    let arguments: Vec<String> = env::args().skip(1).collect();
    if let [command, kind, size] = arguments.as_slice()
        && command == "memory"
    {
        print_copy_bytes(kind, size.parse().expect("a number"));
        return;
    }
    let config = check::parse(CONFIG_TEXT).expect("valid");
    measure_frames();
    measure_deltas();
    measure_routing(&config);
    measure_config();
    measure_requests();
    measure_ledgers();
}
