//! Gateway processes in front of upstreams that become cold: how many requests arrive there.

use std::collections;
use std::net;
use std::sync;
use std::time;

use bramleyshelf_lib::http;
use bramleyshelf_platform_testutils::{gateways, standin};

const PROGRAM: &str = env!("CARGO_BIN_EXE_bramleyshelf");
/// Terms of the service, and the bound that follows: 17 x 1.5 + 5 in any second.
const COLD_RATE: f64 = 17.0;
const EXCESS: f64 = 1.5;
const SLACK: f64 = 5.0;
/// Time limit for a change in the store to be in force: the bound that the platform documents.
const PROPAGATION_LIMIT: time::Duration = time::Duration::from_millis(2_500);
/// Time for which the upstreams are cold.
const COLD_TIME: time::Duration = time::Duration::from_secs(10);
/// Time into that at which a gateway is restarted.
const RESTART_AT: time::Duration = time::Duration::from_secs(5);
/// Pause between two requests to one gateway. All together send several times what cold upstreams take.
const PAUSE: time::Duration = time::Duration::from_millis(16);
const GATEWAYS: usize = 4;

/// Statuses of the answers, by the id of the request.
type Statuses = sync::Arc<sync::Mutex<collections::BTreeMap<String, Option<u16>>>>;

/// Sends requests to a gateway at a steady rate, each in its own task.
async fn send_load(address: net::SocketAddr, gateway: usize, statuses: Statuses) {
    let client = http::client(false);
    for number in 0_u64.. {
        let (client, statuses) = (client.clone(), statuses.clone());
        tokio::spawn(async move {
            let id = format!("r-{gateway}-{number}");
            let answer =
                gateways::send_request(&client, address, "/stock/1", &id, gateways::CREDENTIAL);
            let status = answer.await.map(|answer| answer.status);
            statuses.lock().expect("no holder panics").insert(id, status);
        });
        tokio::time::sleep(PAUSE).await;
    }
}

/// Lets the upstreams of the service write how long they stay cold, as upstreams do.
fn write_cold_entries(system: &gateways::GatewayCluster, until: time::Instant, sequence: u64) {
    let left = until.saturating_duration_since(time::Instant::now());
    for upstream in system.upstreams.iter().filter(|upstream| upstream.service == "app") {
        let mut entry = standin::list_entry(upstream.service, upstream.address);
        entry["zone"] = upstream.domain.into();
        entry["born"] = upstream.start.into();
        entry["cold_left_ms"] = (left.as_secs_f64() * 1_000.0).into();
        entry["sequence"] = sequence.into();
        standin::put(&system.shared, &format!("servers/{}", upstream.id), entry.to_string());
    }
}

fn sorted(mut times: Vec<time::Instant>) -> Vec<time::Instant> {
    times.sort_unstable();
    times
}

fn most_in_a_second(times: &[time::Instant]) -> usize {
    let second = time::Duration::from_secs(1);
    let count = |start: &time::Instant| {
        times.iter().filter(|at| *at >= start && at.duration_since(*start) <= second).count()
    };
    times.iter().map(count).max().unwrap_or_default()
}

/// Guards against gateways that exceed the limit of a cold upstream together, and against one that has
/// forgotten by a restart what it sent.
#[tokio::test]
async fn gateways_stay_within_the_bound_of_cold_upstreams() {
    let mut system = gateways::GatewayCluster::start(PROGRAM, "cold", GATEWAYS).await;
    for index in 0..GATEWAYS {
        let gateway = &mut system.gateways[index];
        gateway.process = None;
        gateway.set("cold_excess", EXCESS);
        gateway.set("cold_slack", SLACK);
        system.start_gateway(index);
    }
    let config = gateways::config(4, gateways::CREDENTIAL);
    let mut config: serde_json::Value = serde_json::from_str(&config).expect("JSON");
    config["services"][0]["cold_per_s"] = COLD_RATE.into();
    standin::put(&system.shared, "op/config", config.to_string());
    for index in 0..GATEWAYS {
        system.wait_ready(index).await;
    }
    tokio::time::sleep(PROPAGATION_LIMIT).await;
    let statuses = Statuses::default();
    let mut loads = Vec::new();
    for index in 0..GATEWAYS {
        let address = system.gateways[index].address("listen");
        loads.push(tokio::spawn(send_load(address, index, statuses.clone())));
    }
    // The upstreams become cold while they are in use.
    let warm = time::Instant::now();
    tokio::time::sleep(PROPAGATION_LIMIT).await;
    let start = time::Instant::now();
    let end = start + COLD_TIME;
    let mut sequence = 2;
    let mut is_restarted = false;
    while time::Instant::now() < end {
        write_cold_entries(&system, end, sequence);
        sequence += 1;
        if !is_restarted && start.elapsed() >= RESTART_AT {
            is_restarted = true;
            system.gateways[0].process = None;
            system.start_gateway(0);
        }
        tokio::time::sleep(time::Duration::from_millis(400)).await;
    }
    write_cold_entries(&system, end, sequence);
    tokio::time::sleep(PROPAGATION_LIMIT).await;
    for load in loads {
        load.abort();
    }
    assert!(is_restarted && system.is_ready(0).await, "the gateway was restarted");
    let state = system.shared.lock().expect("no holder panics");
    let statuses = statuses.lock().expect("no holder panics");
    let bound = COLD_RATE * EXCESS + SLACK;
    let times_at = |upstream: &gateways::Upstream, from, to| -> Vec<_> {
        let at_upstream = state.arrivals.iter().filter(|run| run.instance == upstream.id);
        at_upstream.map(|run| run.arrival).filter(|at| *at >= from && *at < to).collect()
    };
    let all_before = system.upstreams.iter().flat_map(|up| times_at(up, warm, start)).collect();
    let before = most_in_a_second(&sorted(all_before));
    assert!(before as f64 > 3.0 * bound, "the load is too small: {before}");
    let upstreams = system.upstreams.iter().filter(|upstream| upstream.service == "app");
    for upstream in upstreams {
        let cold = times_at(upstream, start + PROPAGATION_LIMIT, end);
        let most = most_in_a_second(&cold);
        println!("{}: {most} in a second, {} in all; {before} before", upstream.id, cold.len());
        assert!(most as f64 <= bound, "{}: {most} in a second", upstream.id);
        assert!(cold.len() > 20, "{}: only {}", upstream.id, cold.len());
    }
    let ran: collections::BTreeSet<_> = state.runs.iter().map(|run| run.request.as_str()).collect();
    let refused = statuses.iter().filter(|(_, status)| **status == Some(503));
    let mut count = 0;
    for (request, _) in refused {
        assert!(!ran.contains(request.as_str()), "{request} was refused as not run");
        count += 1;
    }
    assert!(count > 0, "no request was refused");
}
