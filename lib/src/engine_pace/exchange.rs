//! Exchange of paces between gateways, and of the limits that upstreams have stated. Each gateway sends
//! what it has measured and received to the one that reads the store for its failure domain, which sends it
//! on to one gateway of the whole fleet; the way back brings what has changed there.
//!
//! If one of these gateways fails, the others go on with what they know and measure, until another
//! one is chosen. A message that is lost loses some measurements; limits are sent again.

use std::time;

use tokio::sync::{mpsc, watch};

use crate::clock;
use crate::clock::Clock as _;
use crate::engine_pace;
use crate::gateway;
use crate::gateway_peers;
use crate::gateway_reads;
use crate::gateway_settings;
use crate::id;
use crate::relay;
use crate::roster;
use crate::stated_limits;
use crate::upstream_pool;

/// Version of the messages; a gateway refuses other versions.
pub const VERSION: u16 = 2;
/// Path for messages of type `Request`.
pub const PATH: &str = "/relay/paces";
/// Seed of the rendezvous hash that chooses the gateway which collects the measurements of all.
const COLLECTOR_SEED: u64 = 0x7061_6365;
/// Pause between two exchanges.
const INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Number of exchanges of which one contains all limits, and the others those that have changed.
const ALL_LIMITS_PERIOD: u32 = 5;

/// Measurements of a gateway.
#[derive(Clone, Debug, Default, serde::Deserialize, serde::Serialize)]
pub struct Request {
    /// Version of the message format.
    pub version: u16,
    /// State of the receiver's paces that the sender knows.
    pub known: engine_pace::KnownState,
    /// What the sender has measured since its last message.
    pub measured: Vec<(id::InstanceId, engine_pace::Pace)>,
    /// Limits that the sender knows.
    pub limits: Vec<stated_limits::LimitMessage>,
    /// Whether the response should contain all limits.
    pub wants_all: bool,
}

/// Paces that have changed at the receiver of a [`Request`].
#[derive(Clone, Debug, Default, serde::Deserialize, serde::Serialize)]
pub struct Response {
    /// Version of the message format.
    pub version: u16,
    /// State to name in the next request.
    pub known: engine_pace::KnownState,
    /// Paces that have changed after the state that the request named.
    pub changed: Vec<(id::InstanceId, engine_pace::Pace)>,
    /// Limits that the receiver knows.
    pub limits: Vec<stated_limits::LimitMessage>,
}

/// Handles the measurements of another gateway. `stated` are the limits that this one knows.
pub fn respond(
    now: time::Duration,
    paces: &engine_pace::SharedPaces,
    stated: &stated_limits::StatedLimits,
    request: &Request,
) -> Response {
    let limits = stated.select(now, selection(request.wants_all), &mut fastrand::Rng::new());
    paces.with(|paces| {
        for (engine, pace) in &request.measured {
            paces.record_relayed(now, engine, *pace);
        }
        let (changed, known) = paces.changes_since(request.known);
        Response { version: VERSION, known, changed, limits }
    })
}

fn selection(wants_all: bool) -> stated_limits::Selection {
    if wants_all { stated_limits::Selection::All } else { stated_limits::Selection::News }
}

/// Returns limits of a message, by the clock of this process.
pub fn to_relayed(
    now: time::Duration,
    limits: &[stated_limits::LimitMessage],
) -> Vec<stated_limits::RelayedLimit> {
    limits.iter().filter_map(|limit| limit.to_relayed(now)).collect()
}

/// Starts the task that exchanges paces with another gateway and passes them to the event loop.
pub fn spawn(
    settings: &gateway_settings::Settings,
    clock: clock::SystemClock,
    paces: engine_pace::SharedPaces,
    newest: watch::Receiver<Option<relay::Snapshot>>,
    stated: watch::Receiver<stated_limits::StatedLimits>,
    events: mpsc::Sender<gateway::Event>,
) {
    let me = gateway_reads::own_peer(settings);
    tokio::spawn(run(me, clock, paces, newest, stated, events));
}

/// Returns the gateway to exchange paces with: the reader of the own failure domain, and for that one
/// the gateway which collects the measurements of all. The collector has none, as its measurements
/// would come back to it.
pub fn target<'a>(
    now: time::Duration,
    me: &id::InstanceId,
    readers: &relay::ReaderSelector,
    peers: &'a [roster::Peer],
) -> Option<&'a roster::Peer> {
    let score = |peer: &roster::Peer| roster::rendezvous_score(peer, COLLECTOR_SEED);
    let collector = peers.iter().max_by(|a, b| score(a).total_cmp(&score(b)))?;
    if collector.instance == *me {
        return None;
    }
    Some(readers.reader(now, peers).unwrap_or(collector))
}

async fn run(
    me: roster::Peer,
    clock: clock::SystemClock,
    paces: engine_pace::SharedPaces,
    newest: watch::Receiver<Option<relay::Snapshot>>,
    stated: watch::Receiver<stated_limits::StatedLimits>,
    events: mpsc::Sender<gateway::Event>,
) {
    let pool = upstream_pool::Pool::default();
    let readers = relay::ReaderSelector::new(me.instance.clone(), me.domain);
    let mut known = engine_pace::KnownState::default();
    // Exchanges until one contains all limits.
    let mut until_all = 0;
    loop {
        tokio::time::sleep(INTERVAL).await;
        let peers =
            newest.borrow().as_ref().map(|reads| reads.gateways.peers.clone()).unwrap_or_default();
        if let Some(peer) = target(clock.now().mono, &me.instance, &readers, &peers) {
            let measured = paces.with(engine_pace::Paces::take_unsent);
            let wants_all = until_all == 0;
            let sent = clock.now().mono;
            let limits =
                stated.borrow().select(sent, selection(wants_all), &mut fastrand::Rng::new());
            let request = Request { version: VERSION, known, measured, limits, wants_all };
            let response = gateway_peers::exchange_paces(&pool, peer.address, &request).await;
            until_all = if wants_all { ALL_LIMITS_PERIOD } else { until_all }.saturating_sub(1);
            if let Some(response) = response {
                let relayed = gateway::Event::LimitsRelayed(to_relayed(sent, &response.limits));
                if !response.limits.is_empty() && events.send(relayed).await.is_err() {
                    return;
                }
                known = response.known;
                paces.with(|paces| {
                    for (engine, pace) in response.changed {
                        paces.adopt(clock.now().mono, engine, pace);
                    }
                });
            } else {
                until_all = 0;
            }
        } else {
            paces.with(engine_pace::Paces::clear_unsent);
        }
        let listed = paces.with(|paces| paces.prune_and_list(clock.now().mono));
        if events.send(gateway::Event::EnginesPaced(listed)).await.is_err() {
            return;
        }
    }
}
