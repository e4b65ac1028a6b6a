//! Routes and teams that are bound to regions, over real gateway processes in two regions.

use std::time;

use bramleyshelf_lib::http;
use bramleyshelf_platform_testutils::{gateways, standin};

const PROGRAM: &str = env!("CARGO_BIN_EXE_bramleyshelf");
/// Paths of a repeatable request, a stream and a request with a stage.
const PATHS: [&str; 3] = ["/stock/1", "/chat/1", "/guide/1"];

/// Starts a gateway in each of the regions `east` (failure domain `a`) and `west` (`b`).
async fn start(name: &str) -> gateways::GatewayCluster {
    let changes = serde_json::json!({ "regions": { "a": "east", "b": "west" } });
    gateways::GatewayCluster::start_with(PROGRAM, name, 2, &changes).await
}

/// Puts a configuration into force whose routes and team have these lists of regions.
async fn bind(
    system: &gateways::GatewayCluster,
    version: u64,
    of_routes: &[&str],
    of_team: &[&str],
) {
    let text = gateways::config(version, gateways::CREDENTIAL);
    let mut config: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    for route in config["routes"].as_array_mut().expect("routes") {
        route["allowed_regions"] = of_routes.into();
    }
    config["tenants"][0]["allowed_regions"] = of_team.into();
    standin::put(&system.shared, "op/config", config.to_string());
    system.wait_for_table(version).await;
    // Calls that were made before have ended by then.
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    system.shared.lock().expect("no holder panics").arrivals.clear();
}

async fn send(
    system: &gateways::GatewayCluster,
    index: usize,
    path: &str,
    request_id: &str,
) -> gateways::Answer {
    let address = system.gateways[index].address("listen");
    let client = http::client(false);
    let answer =
        gateways::send_request(&client, address, path, request_id, gateways::CREDENTIAL).await;
    answer.expect("a response")
}

/// Returns what arrived at upstreams in a failure domain.
fn arrivals_in(system: &gateways::GatewayCluster, domain: &str) -> Vec<String> {
    let ids: Vec<_> =
        system.upstreams.iter().filter(|up| up.domain == domain).map(|up| &up.id).collect();
    let state = system.shared.lock().expect("no holder panics");
    let there = state.arrivals.iter().filter(|run| ids.contains(&&run.instance));
    there.map(|run| format!("{} at {}", run.request, run.instance)).collect()
}

/// Guards against a restriction that is lost between the configuration, the gateways that pass it on
/// and those that run each other's pieces.
#[tokio::test]
async fn bound_requests_reach_only_the_allowed_region() {
    let system = start("bounds").await;
    for (version, of_routes, of_team) in [(11, &["west"][..], &[][..]), (12, &[], &["west"])] {
        bind(&system, version, of_routes, of_team).await;
        for number in 0..8 {
            for (index, path) in
                [0, 1].into_iter().flat_map(|index| PATHS.map(|path| (index, path)))
            {
                let id = format!("v{version}g{index}n{number}{}", &path[1..3]);
                let answer = send(&system, index, path, &id).await;
                assert_eq!(answer.status, 200, "{id}: {answer:?}");
            }
        }
        assert_eq!(arrivals_in(&system, "a"), Vec::<String>::new());
        let served = arrivals_in(&system, "b");
        assert!(served.iter().any(|arrival| arrival.contains("stage-run")), "stages ran there");
    }
    // Retries stay there as well, and the requests are refused when these are used up.
    system
        .shared
        .lock()
        .expect("no holder panics")
        .faults
        .extend([("i-3".to_owned(), standin::Fault::RefuseAll)]);
    for path in ["/stock/1", "/guide/1"] {
        let answer = send(&system, 0, path, &format!("refused{}", &path[1..3])).await;
        assert_eq!(answer.status, 503, "{answer:?}");
    }
    assert_eq!(arrivals_in(&system, "a"), Vec::<String>::new());
}

/// Guards against requests that wait, or run their stages, although no region may serve them.
#[tokio::test]
async fn bound_requests_are_refused_at_once_without_an_allowed_region() {
    let system = start("no-region").await;
    for (version, of_routes, of_team) in [(11, &["north"][..], &[][..]), (12, &["east"], &["west"])]
    {
        bind(&system, version, of_routes, of_team).await;
        for (index, path) in [0, 1].into_iter().flat_map(|index| PATHS.map(|path| (index, path))) {
            let begun = time::Instant::now();
            let answer = send(&system, index, path, &format!("v{version}g{index}")).await;
            assert_eq!(answer.status, 503, "{path}: {answer:?}");
            // The caller allows 3 s.
            assert!(begun.elapsed() < time::Duration::from_secs(2), "{path}");
        }
        assert_eq!(arrivals_in(&system, "a"), Vec::<String>::new());
        assert_eq!(arrivals_in(&system, "b"), Vec::<String>::new());
    }
}
