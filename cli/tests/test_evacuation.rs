//! Evacuation of a failure domain, over real gateway processes: what its upstreams get while gateways
//! are cut off from the store, are started again, or read the store through others.

use std::sync;
use std::time;

use bramleyshelf_lib::http;
use bramleyshelf_platform_testutils::{gateways, kv, standin};
use bramleyshelf_testutils::cluster;

const PROGRAM: &str = env!("CARGO_BIN_EXE_bramleyshelf");
/// Time after which an evacuated domain may get nothing more.
const EVACUATION_LIMIT: time::Duration = time::Duration::from_secs(5);
/// Key that evacuates failure domain `b`.
const KEY: &str = "op/evacuate/b";
/// Paths of a repeatable request, a stream and a request with a stage.
const PATHS: [&str; 3] = ["/stock/1", "/chat/1", "/guide/1"];

async fn start(name: &str) -> gateways::GatewayCluster {
    let limit = EVACUATION_LIMIT.as_millis() as u64;
    // Without a limit on revocations, a gateway serves also while it can confirm no table.
    let changes = serde_json::json!({ "evacuation_ms": limit, "revocation_ms": null });
    gateways::GatewayCluster::start_with(PROGRAM, name, 4, &changes).await
}

/// Sends requests of all kinds to a gateway. Returns how many of them were answered.
async fn send_some(system: &gateways::GatewayCluster, index: usize) -> usize {
    static SERIAL: sync::atomic::AtomicU64 = sync::atomic::AtomicU64::new(0);
    let address = system.gateways[index].address("listen");
    let client = http::client(false);
    let mut answered = 0;
    for path in PATHS {
        let serial = SERIAL.fetch_add(1, sync::atomic::Ordering::Relaxed);
        let id = format!("r{serial}");
        let answer =
            gateways::send_request(&client, address, path, &id, gateways::CREDENTIAL).await;
        answered += usize::from(answer.is_some_and(|answer| answer.status == 200));
    }
    answered
}

/// Sends requests to all gateways that run for a while. Returns how many of them were answered.
async fn send_for(system: &gateways::GatewayCluster, duration: time::Duration) -> usize {
    let until = time::Instant::now() + duration;
    let mut answered = 0;
    while time::Instant::now() < until {
        for index in 0..system.gateways.len() {
            if system.gateways[index].process.is_some() {
                answered += send_some(system, index).await;
            }
        }
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    answered
}

/// Returns what arrived after a time at upstreams of failure domain `b`, with the delay.
fn arrivals_after(system: &gateways::GatewayCluster, from: time::Instant) -> Vec<String> {
    let there: Vec<_> =
        system.upstreams.iter().filter(|up| up.domain == "b").map(|up| &up.id).collect();
    let state = system.shared.lock().expect("no holder panics");
    let late = state.arrivals.iter().filter(|run| run.arrival >= from);
    late.filter(|run| there.contains(&&run.instance))
        .map(|run| format!("{} at {} after {:?}", run.request, run.instance, run.arrival - from))
        .collect()
}

fn evacuate(system: &gateways::GatewayCluster) -> time::Instant {
    standin::put(&system.shared, KEY, "{}");
    time::Instant::now()
}

fn take_back(system: &gateways::GatewayCluster) {
    system.shared.lock().expect("no holder panics").store.remove(KEY);
}

/// Waits until the domain gets requests again. As gateways prefer upstreams that were fast lately, the
/// other domain is evacuated.
async fn wait_for_return(system: &gateways::GatewayCluster) -> bool {
    standin::put(&system.shared, "op/evacuate/a", "{}");
    let from = time::Instant::now();
    cluster::wait_until(2 * EVACUATION_LIMIT, async || {
        send_some(system, 1).await;
        !arrivals_after(system, from).is_empty()
    })
    .await
}

/// Guards against gateways that go on sending because they read the store through others.
#[tokio::test]
async fn evacuated_domain_gets_nothing_until_it_is_taken_back() {
    let system = start("evacuated").await;
    let before = time::Instant::now();
    assert!(send_for(&system, time::Duration::from_secs(1)).await > 0);
    assert!(!arrivals_after(&system, before).is_empty(), "it is used otherwise");
    let begun = evacuate(&system);
    send_for(&system, EVACUATION_LIMIT).await;
    let served = send_for(&system, time::Duration::from_secs(2)).await;
    assert!(served > 0, "the other domain serves");
    assert_eq!(arrivals_after(&system, begun + EVACUATION_LIMIT), Vec::<String>::new());
    take_back(&system);
    assert!(wait_for_return(&system).await);
}

/// Guards against a gateway that is cut off from the store and learns of no evacuation.
#[tokio::test]
async fn gateway_cut_off_from_the_store_follows_an_evacuation() {
    let system = start("evacuated-cut").await;
    send_for(&system, time::Duration::from_millis(1_500)).await;
    for index in [1, 2] {
        system.gateways[index].store_link.set_cut(true);
    }
    send_for(&system, time::Duration::from_millis(500)).await;
    let begun = evacuate(&system);
    send_for(&system, EVACUATION_LIMIT).await;
    let mut served = 0;
    for index in [1, 2] {
        served += send_some(&system, index).await;
    }
    assert!(served > 0, "they serve through the other domain");
    send_for(&system, time::Duration::from_secs(2)).await;
    assert_eq!(arrivals_after(&system, begun + EVACUATION_LIMIT), Vec::<String>::new());
    take_back(&system);
    assert!(wait_for_return(&system).await, "it learns of the end as well");
}

/// Guards against a gateway that sends to an evacuated domain before it knows of the evacuation.
#[tokio::test]
async fn gateway_that_starts_again_follows_an_evacuation() {
    let mut system = start("evacuated-start").await;
    let begun = evacuate(&system);
    send_for(&system, EVACUATION_LIMIT).await;
    for index in [1, 3] {
        let process = system.gateways[index].process.take().expect("it runs");
        process.signal(cluster::Signal::Kill);
        drop(process);
        system.start_gateway(index);
        // Requests arrive before it is ready as well.
        let until = time::Instant::now() + time::Duration::from_secs(3);
        while time::Instant::now() < until {
            send_some(&system, index).await;
        }
        assert!(send_some(&system, index).await > 0, "it serves again");
    }
    assert_eq!(arrivals_after(&system, begun + EVACUATION_LIMIT), Vec::<String>::new());
    take_back(&system);
    assert!(wait_for_return(&system).await);
}

/// Guards against a restored copy of the store that lacks the key, and against an evacuation that no
/// longer ends after a restore.
#[tokio::test]
async fn restored_store_does_not_reopen_an_evacuated_domain() {
    let system = start("evacuated-restored").await;
    // The copy has the key of the other domain instead, so that without the lost key everything would
    // be sent to this one.
    standin::put(&system.shared, "op/evacuate/a", "{}");
    let copy = system.shared.lock().expect("no holder panics").store.copy();
    system.shared.lock().expect("no holder panics").store.remove("op/evacuate/a");
    let begun = evacuate(&system);
    send_for(&system, EVACUATION_LIMIT).await;
    let leases = kv::RestoredLeases::Continued;
    system.shared.lock().expect("no holder panics").store.restore(copy, leases);
    send_for(&system, time::Duration::from_millis(1_500)).await;
    // Operators write the key again before the restored store counts.
    standin::put(&system.shared, KEY, "{}");
    send_for(&system, time::Duration::from_secs(4)).await;
    assert_eq!(arrivals_after(&system, begun + EVACUATION_LIMIT), Vec::<String>::new());
    take_back(&system);
    assert!(wait_for_return(&system).await);
}

/// Guards against a configuration that cannot be decoded and hides the keys beside it.
#[tokio::test]
async fn evacuation_is_followed_beside_an_undecodable_configuration() {
    let system = start("evacuated-odd").await;
    standin::put(&system.shared, "op/config", "no configuration");
    standin::put(&system.shared, "op/evacuate/", "{}");
    standin::put(&system.shared, "op/other", "{}");
    let begun = evacuate(&system);
    send_for(&system, EVACUATION_LIMIT).await;
    assert!(send_for(&system, time::Duration::from_secs(1)).await > 0, "they serve");
    assert_eq!(arrivals_after(&system, begun + EVACUATION_LIMIT), Vec::<String>::new());
}
