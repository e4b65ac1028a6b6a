//! Stage upstreams, gateways and the store that are sound but silent for a second or so, with real
//! gateway processes.

use std::net;
use std::time;

use bramleyshelf_lib::http;
use bramleyshelf_platform_testutils::gateways;
use bramleyshelf_testutils::{cluster, link};

const PROGRAM: &str = env!("CARGO_BIN_EXE_bramleyshelf");
/// Number of gateways.
const GATEWAYS: usize = 3;
/// Length of a silence.
const SILENCE: time::Duration = time::Duration::from_millis(1_200);
/// Time after the first request at which a silence begins.
const SILENCE_DELAY: time::Duration = time::Duration::from_millis(400);
/// Requests of one case, and the pause between two of them.
const REQUESTS: usize = 120;
const REQUEST_PAUSE: time::Duration = time::Duration::from_millis(20);
/// Time within which a request is refused if it is not accepted.
const REFUSAL_TIME: time::Duration = time::Duration::from_millis(250);
/// Pause between two cases, in which ejected upstreams come back.
const RECOVERY_TIME: time::Duration = time::Duration::from_millis(1_500);

/// What falls silent.
#[derive(Clone, Copy, Debug)]
enum Silent {
    /// Upstreams of a service: how many of the three.
    Upstreams(&'static str, usize),
    /// One of the gateways, which gets no requests of its own then.
    Gateway(usize),
    /// The store.
    Store,
}

/// Holds back all data on links for [`SILENCE`].
async fn cut_for_a_while(links: &[link::Link]) {
    for link in links {
        link.set_cut(true);
    }
    tokio::time::sleep(SILENCE).await;
    for link in links {
        link.set_cut(false);
    }
}

async fn fall_silent(system: &gateways::GatewayCluster, silent: Silent) {
    match silent {
        Silent::Upstreams(service, count) => {
            let all = system.upstreams.iter().filter(|upstream| upstream.service == service);
            let links: Vec<_> = all.take(count).map(|upstream| upstream.link.clone()).collect();
            cut_for_a_while(&links).await;
        }
        Silent::Gateway(index) => {
            let process = system.gateways[index].process.as_ref().expect("it runs");
            process.signal(cluster::Signal::Stop);
            tokio::time::sleep(SILENCE).await;
            process.signal(cluster::Signal::Continue);
        }
        Silent::Store => {
            let links = system.gateways.iter().map(|gateway| gateway.store_link.clone());
            cut_for_a_while(&links.collect::<Vec<_>>()).await;
        }
    }
}

/// Sends a request to a gateway. Returns `None` if it was answered whole or refused at once, else how it
/// ended.
async fn ask(
    client: &http::Client,
    address: net::SocketAddr,
    path: &str,
    name: &str,
) -> Option<u16> {
    let started = time::Instant::now();
    let key = gateways::CREDENTIAL;
    let answer = gateways::send_request(client, address, path, name, key).await;
    let status = answer.as_ref().map_or(0, |answer| answer.status);
    let is_whole = status == 200 && answer.is_some_and(|answer| answer.body.is_some());
    let is_refused = status == 503 && started.elapsed() < REFUSAL_TIME;
    (!is_whole && !is_refused).then_some(status)
}

/// Sends requests before, within and after a silence; returns how those ended that were lost.
async fn play(system: &gateways::GatewayCluster, path: &'static str, silent: Silent) -> Vec<u16> {
    let client = http::client(false);
    let frozen = if let Silent::Gateway(index) = silent { Some(index) } else { None };
    let asked = (0..GATEWAYS).filter(|index| Some(*index) != frozen);
    let addresses: Vec<_> = asked.map(|index| system.gateways[index].address("listen")).collect();
    let requests = (0..REQUESTS).map(|number| {
        let (client, address) = (client.clone(), addresses[number % addresses.len()]);
        let name = format!("{path}-{silent:?}-{number}");
        tokio::spawn(async move {
            tokio::time::sleep(REQUEST_PAUSE * number as u32).await;
            ask(&client, address, path, &name).await
        })
    });
    let requests: Vec<_> = requests.collect();
    tokio::time::sleep(SILENCE_DELAY).await;
    fall_silent(system, silent).await;
    let mut lost = Vec::new();
    for request in requests {
        lost.extend(request.await.expect("no panic"));
    }
    println!("{path}, {silent:?}: {} of {REQUESTS} lost", lost.len());
    lost
}

/// Plays a silence of each kind and checks that no request that was accepted is lost.
async fn check_silences(name: &str, path: &'static str, silences: &[Silent]) {
    let system = gateways::GatewayCluster::start(PROGRAM, name, GATEWAYS).await;
    for silent in silences {
        let lost = play(&system, path, *silent).await;
        assert!(lost.is_empty(), "{path}, {silent:?}: {lost:?}");
        tokio::time::sleep(RECOVERY_TIME).await;
    }
}

#[tokio::test]
async fn silent_stage_upstreams_lose_no_accepted_request() {
    let silences = [Silent::Upstreams("scan", 1), Silent::Upstreams("scan", 3)];
    check_silences("silent-stages", "/guide/1", &silences).await;
}

#[tokio::test]
async fn silent_gateways_lose_no_accepted_request_of_others() {
    let silences: Vec<_> = (0..GATEWAYS).map(Silent::Gateway).collect();
    check_silences("silent-gateways", "/guide/1", &silences).await;
}

#[tokio::test]
async fn silent_store_loses_no_request() {
    check_silences("silent-store", "/guide/1", &[Silent::Store]).await;
}

/// Guards against idempotent calls that were given up at silent upstreams before it was known whether a
/// retry was left.
#[tokio::test]
async fn silent_upstreams_lose_no_accepted_request() {
    for (name, path) in [("silent-calls", "/stock/1"), ("silent-final-calls", "/guide/1")] {
        let silences = [Silent::Upstreams("app", 1), Silent::Upstreams("app", 3)];
        check_silences(name, path, &silences).await;
    }
}
