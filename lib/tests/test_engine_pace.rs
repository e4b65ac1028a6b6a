//! Speeds of engines that gateways learn from their streams, and what they do with them.

use std::collections;
use std::net;
use std::time;

use bramleyshelf_lib::engine_pace::exchange;
use bramleyshelf_lib::{engine_pace, fleet, id, placement, relay, roster, stated_limits};

const SERVICE: &str = "models";

fn instance(name: &str) -> id::InstanceId {
    name.parse().expect("a valid name")
}

fn millis(value: u64) -> time::Duration {
    time::Duration::from_millis(value)
}

/// Streams of `events` events with the given pause between two.
fn record(paces: &mut engine_pace::Paces, engine: &str, pause_ms: u64, streams: usize) {
    for _ in 0..streams {
        let events = 11;
        paces.record_stream(millis(1), &instance(engine), events, millis(pause_ms * (events - 1)));
    }
}

fn entry(name: &str) -> fleet::ListEntry {
    fleet::ListEntry {
        instance: instance(name),
        service: SERVICE.parse().expect("a valid name"),
        address: net::SocketAddr::from(([127, 0, 0, 1], 1)),
        domain: "a".parse().expect("a valid name"),
        version: "v1".parse().expect("a version"),
        leaving: false,
        started_ms: None,
        cold_left: None,
    }
}

/// Guards against equal shares for engines of unequal speed: those of 0.6 times the usual speed
/// would be overloaded while those of 1.6 times the usual speed are idle.
#[test]
fn preferred_engines_share_parts_by_speed() {
    let speeds = [0.6, 1.0, 1.6];
    let engines: Vec<_> =
        (0..57).map(|index| (instance(&format!("e{index}")), speeds[index % 3])).collect();
    let mut parts = [0_u32; 3];
    for part in 0..3_000 {
        let prompt = [part, part + 1_000_000].map(|id| placement::PromptPart { id, tokens: 100 });
        let candidates = engines.iter().map(|(engine, speed)| (engine, 1.0 / speed));
        let preferred =
            placement::preferred_engine(&prompt, candidates).expect("there are engines");
        let index = engines.iter().position(|(engine, _)| engine == preferred).expect("listed");
        parts[index % 3] += 1;
    }
    // In proportion to speed, slow engines would get a fifth and fast ones a half.
    let share = |count: u32| f64::from(count) / 3_000.0;
    assert!(share(parts[0]) < 0.2, "slow engines get {}", share(parts[0]));
    assert!(share(parts[2]) > 0.45, "fast engines get {}", share(parts[2]));
}

/// Guards against parts that move between engines of equal speed, whose caches would be lost.
#[test]
fn preferred_engine_stays_with_small_differences() {
    let engines: Vec<_> = (0..20).map(|index| instance(&format!("e{index}"))).collect();
    for part in 0..200 {
        let prompt = [part, part + 1_000_000].map(|id| placement::PromptPart { id, tokens: 100 });
        let equal = engines.iter().map(|engine| (engine, 1.0));
        let noisy = engines.iter().enumerate().map(|(index, engine)| {
            let noise = if index % 2 == 0 { 0.9 } else { 1.1 };
            (engine, noise)
        });
        assert_eq!(
            placement::preferred_engine(&prompt, equal),
            placement::preferred_engine(&prompt, noisy)
        );
    }
}

/// Guards against a speed that is learned from the streams of one gateway only: each relays too few.
#[test]
fn measurements_of_other_gateways_count() {
    let mut own = engine_pace::Paces::new(1);
    let mut other = engine_pace::Paces::new(2);
    record(&mut other, "slow", 33, 3);
    record(&mut other, "usual", 20, 3);
    let request =
        engine_pace::exchange::Request { measured: other.take_unsent(), ..Default::default() };
    let shared = engine_pace::SharedPaces::new(own);
    let response = engine_pace::exchange::respond(
        millis(2),
        &shared,
        &stated_limits::StatedLimits::default(),
        &request,
    );
    assert_eq!(response.changed.len(), 2);
    own = engine_pace::Paces::new(3);
    for (engine, pace) in response.changed {
        own.adopt(millis(3), engine, pace);
    }
    let known: Vec<_> = own.prune_and_list(millis(4)).into_iter().map(|(_, pace)| pace).collect();
    let slowness = engine_pace::relative_slowness(&known);
    assert!(slowness[0] / slowness[1] > 1.3, "slowness {slowness:?}");
    assert!(other.take_unsent().is_empty(), "nothing is sent twice");
}

/// Guards against an engine that counts as slow because it has much to do: its parts would move to
/// others, which then count as slow.
#[test]
fn load_hardly_changes_the_pace() {
    let mut paces = engine_pace::Paces::new(1);
    for _ in 0..10 {
        record(&mut paces, "idle", 20, 2);
        record(&mut paces, "loaded", 20, 1);
        record(&mut paces, "loaded", 60, 1);
    }
    let known: Vec<_> = paces.prune_and_list(millis(4)).into_iter().map(|(_, pace)| pace).collect();
    let slowness = engine_pace::relative_slowness(&known);
    assert!(slowness[1] / slowness[0] < 1.3, "slowness {slowness:?}");
}

/// Guards against gateways of several failure domains that learn different speeds, so that each domain
/// prefers other engines: the gateway that collects for a domain passes measurements on.
#[test]
fn measurements_of_a_domain_are_passed_on() {
    let mut member = engine_pace::Paces::new(1);
    record(&mut member, "slow", 33, 3);
    let request =
        engine_pace::exchange::Request { measured: member.take_unsent(), ..Default::default() };
    let collector = engine_pace::SharedPaces::new(engine_pace::Paces::new(2));
    engine_pace::exchange::respond(
        millis(2),
        &collector,
        &stated_limits::StatedLimits::default(),
        &request,
    );
    let passed_on = collector.with(engine_pace::Paces::take_unsent);
    assert_eq!(passed_on, request.measured);
}

/// Guards against measurements that circulate: following the targets from any gateway ends at the one
/// that collects for all, also if another one reads the store for its failure domain.
#[test]
fn targets_lead_to_one_collector() {
    for fleet in 0..50 {
        let peers: Vec<_> = (0..12)
            .map(|index| roster::Peer {
                instance: instance(&format!("g{fleet}-{index}")),
                address: net::SocketAddr::from(([127, 0, 0, 1], 1)),
                domain: ["a", "b", "c"][index % 3].parse().expect("a valid name"),
                weight: 100,
            })
            .collect();
        let target = |peer: &roster::Peer| {
            let readers = relay::ReaderSelector::new(peer.instance.clone(), peer.domain.clone());
            let target = exchange::target(millis(1), &peer.instance, &readers, &peers);
            target.map(|target| target.instance.clone())
        };
        let without_target = peers.iter().filter(|peer| target(peer).is_none()).count();
        assert_eq!(without_target, 1, "fleet {fleet}");
        for peer in &peers {
            let mut at = peer.instance.clone();
            let mut steps = 0;
            while let Some(next) = peers.iter().find(|peer| peer.instance == at).and_then(target) {
                at = next;
                steps += 1;
                assert!(steps <= 3, "fleet {fleet}: no end from {}", peer.instance);
            }
        }
    }
}

/// Guards against a gateway that keeps its measurements while nobody collects them, and later sends them
/// with a weight that new ones cannot change.
#[test]
fn measurements_without_a_collector_are_not_kept() {
    let mut paces = engine_pace::Paces::new(1);
    record(&mut paces, "a", 20, 1_000);
    paces.clear_unsent();
    record(&mut paces, "a", 20, 1);
    let sent = paces.take_unsent();
    assert!(sent[0].1.weight < 2.5, "weight {}", sent[0].1.weight);
}

/// Guards against a pace that others forget because it does not change.
#[test]
fn steady_pace_is_stated_again_after_a_while() {
    let mut paces = engine_pace::Paces::new(1);
    let stream = |paces: &mut engine_pace::Paces, at: u64| {
        paces.record_stream(millis(at), &instance("a"), 11, millis(200));
    };
    stream(&mut paces, 1_000);
    let (_, known) = paces.changes_since(engine_pace::KnownState::default());
    stream(&mut paces, 2_000);
    assert_eq!(paces.changes_since(known).0.len(), 0);
    stream(&mut paces, 22_000);
    assert_eq!(paces.changes_since(known).0.len(), 1);
}

/// Guards against an engine that is avoided, so that no stream shows that it is fast again.
#[test]
fn engine_without_measurements_has_the_usual_speed() {
    let mut fleet =
        fleet::Fleet::new("a".parse().expect("a valid name"), collections::BTreeMap::new());
    fleet.update(millis(1), vec![entry("a"), entry("b"), entry("c")]);
    let mut paces = engine_pace::Paces::new(1);
    for (engine, pause_ms) in [("a", 20), ("b", 20), ("c", 80)] {
        record(&mut paces, engine, pause_ms, 10);
    }
    fleet.record_paces(paces.prune_and_list(millis(2)));
    let pace = |fleet: &fleet::Fleet| fleet.get(&instance("c")).expect("listed").relative_pace();
    assert!(pace(&fleet) > 2.0);
    fleet.record_paces(paces.prune_and_list(millis(100_000)));
    assert!((pace(&fleet) - 1.0).abs() < 0.01);
}

/// Guards against parts that move because engines of equal speed have unequal load.
#[test]
fn small_differences_count_as_equal_speed() {
    let pace = |ln_seconds| engine_pace::Pace { ln_seconds, weight: 50.0 };
    let slowness = engine_pace::relative_slowness(&[pace(-4.0), pace(-4.15), pace(-3.85)]);
    assert_eq!(slowness, [1.0, 1.0, 1.0]);
}

/// Guards against changes that are never sent again after the gateway that collects them restarted.
#[test]
fn changes_since_state_of_earlier_process_are_complete() {
    let mut before = engine_pace::Paces::new(1);
    record(&mut before, "a", 20, 1);
    record(&mut before, "b", 20, 1);
    let (_, known) = before.changes_since(engine_pace::KnownState::default());
    let mut restarted = engine_pace::Paces::new(2);
    record(&mut restarted, "c", 20, 1);
    let (changed, _) = restarted.changes_since(known);
    assert_eq!(changed.len(), 1);
    assert_eq!(before.changes_since(known).0.len(), 0);
}

/// Guards against the whole list in each message of the steady state.
#[test]
fn steady_paces_are_not_sent_again() {
    let mut paces = engine_pace::Paces::new(1);
    record(&mut paces, "a", 20, 5);
    let (_, known) = paces.changes_since(engine_pace::KnownState::default());
    record(&mut paces, "a", 20, 5);
    assert_eq!(paces.changes_since(known).0, Vec::new());
}

/// Guards against streams that say nothing, and against numbers of a faulty gateway.
#[test]
fn implausible_measurements_are_ignored() {
    let mut paces = engine_pace::Paces::new(1);
    paces.record_stream(millis(1), &instance("short"), 2, millis(100));
    paces.record_stream(millis(1), &instance("instant"), 10, time::Duration::ZERO);
    for (ln_seconds, weight) in [(f64::NAN, 1.0), (1e9, 1.0), (-3.0, f64::INFINITY), (-3.0, -1.0)] {
        paces.record_relayed(millis(1), &instance("odd"), engine_pace::Pace { ln_seconds, weight });
        paces.adopt(millis(1), instance("odd"), engine_pace::Pace { ln_seconds, weight });
    }
    assert_eq!(paces.prune_and_list(millis(2)), Vec::new());
}

/// Guards against engines that are compared with those of another service.
#[test]
fn slowness_is_relative_to_own_service() {
    let regions = collections::BTreeMap::new();
    let mut fleet = fleet::Fleet::new("a".parse().expect("a valid name"), regions);
    let other = |name| {
        let service = "others".parse().expect("a valid name");
        fleet::ListEntry { service, ..entry(name) }
    };
    fleet.update(millis(1), vec![entry("a"), entry("b"), entry("c"), other("x"), other("y")]);
    let mut paces = engine_pace::Paces::new(1);
    for (engine, pause_ms) in [("a", 20), ("b", 20), ("c", 40), ("x", 200), ("y", 200)] {
        record(&mut paces, engine, pause_ms, 10);
    }
    fleet.record_paces(paces.prune_and_list(millis(2)));
    let slowness = |name| fleet.get(&instance(name)).expect("listed").relative_pace();
    assert!((slowness("x") - 1.0).abs() < 0.01);
    assert!((slowness("a") - 1.0).abs() < 0.01);
    assert!(slowness("c") > 1.7);
}
