//! Tests of the limits that upstreams state: which statement counts, and what all gateways send
//! together.

mod gateway_harness;

use std::time;

use bramleyshelf_lib::{fleet, gateway, id, refusal, roster, stated_limits, unit, upstream_notice};
use bramleyshelf_testutils::values::{ms, name};
use gateway_harness::{Harness, refusal_of};
use stated_limits::{LimitNotice, Selection, StatedLimits};

/// Time over which calls are counted, and what the platform allows in it: a multiple of the rate and
/// some calls more.
const WINDOW: time::Duration = time::Duration::from_secs(4);
const EXCESS: f64 = 1.5;
const SLACK: f64 = 5.0;
/// Time that is simulated, and its steps.
const SIMULATED: time::Duration = time::Duration::from_secs(12);
const STEP: time::Duration = time::Duration::from_millis(50);

fn process() -> upstream_notice::Process {
    upstream_notice::Process { instance: name("u1"), started_ms: Some(1) }
}

fn rate(per_second: f64) -> LimitNotice {
    LimitNotice::Rate(unit::PerSecond(per_second))
}

fn known(limits: &StatedLimits) -> Option<f64> {
    Some(limits.get(&process())?.rate?.0)
}

#[test]
fn record_keeps_the_limit_until_a_later_call_shows_that_it_is_over() {
    let mut limits = StatedLimits::default();
    assert!(!limits.record(ms(5), ms(1), &process(), LimitNotice::Absent));
    assert!(limits.record(ms(10), ms(1), &process(), rate(2.0)));
    // It was sent before the limit was received, and may have been answered before it was stated.
    assert!(!limits.record(ms(20), ms(9), &process(), LimitNotice::Absent));
    assert!(!limits.record(ms(21), ms(9), &process(), rate(8.0)));
    assert!(!limits.record(ms(22), ms(9), &process(), LimitNotice::Unreadable));
    assert_eq!(known(&limits), Some(2.0));
    assert!(limits.record(ms(30), ms(9), &process(), rate(0.5)), "a lower one counts at once");
    assert!(limits.record(ms(50), ms(31), &process(), rate(3.0)));
    assert!(limits.record(ms(60), ms(51), &process(), LimitNotice::Absent));
    assert_eq!(known(&limits), None);
}

#[test]
fn record_of_another_process_changes_nothing() {
    let mut limits = StatedLimits::default();
    limits.record(ms(10), ms(1), &process(), rate(2.0));
    let restarted = upstream_notice::Process { started_ms: Some(2), ..process() };
    assert!(limits.get(&restarted).is_none(), "a process that has restarted has stated nothing");
}

#[test]
fn adopt_follows_the_latest_statement_of_any_gateway() {
    let mut rng = fastrand::Rng::with_seed(1);
    let (mut near, mut far) = (StatedLimits::default(), StatedLimits::default());
    near.record(ms(1_000), ms(900), &process(), rate(2.0));
    let sent = near.select(ms(1_100), Selection::News, &mut rng);
    // The clock of the other one began later.
    assert!(far.adopt(ms(600), &sent[0].to_relayed(ms(500)).expect("a rate")));
    assert_eq!(known(&far), Some(2.0));
    near.record(ms(2_000), ms(1_900), &process(), LimitNotice::Absent);
    let over = near.select(ms(2_000), Selection::News, &mut rng);
    assert!(far.adopt(ms(1_500), &over[0].to_relayed(ms(1_500)).expect("a rate")));
    assert!(!far.adopt(ms(1_600), &sent[0].to_relayed(ms(500)).expect("a rate")), "it is older");
    assert_eq!(known(&far), None);
    assert!(near.select(ms(9_000), Selection::News, &mut rng).is_empty());
    assert_eq!(near.select(ms(9_000), Selection::All, &mut rng).len(), 1);
}

#[test]
fn adopt_ignores_what_is_no_rate() {
    for rate in [f64::NAN, -1.0] {
        let message = stated_limits::LimitMessage {
            instance: name("u1"),
            started_ms: None,
            rate: Some(unit::PerSecond(rate)),
            age_ms: unit::Millis(0),
        };
        assert_eq!(message.to_relayed(ms(10)), None);
    }
}

/// A fleet of gateway `index` with all gateways in its roster and one upstream.
fn fleet_of(index: usize, gateways: usize) -> fleet::Fleet {
    let regions = [(name("a"), name("east"))].into();
    let mut fleet = fleet::Fleet::new(name("a"), regions);
    let peer = |index: usize| roster::Peer {
        instance: name(&format!("g{index}")),
        address: "10.0.0.1:81".parse().expect("an address"),
        domain: name("a"),
        weight: 100,
    };
    let mut roster = roster::Roster::default();
    roster.update(ms(0), (0..gateways).map(peer).collect());
    fleet.set_gateways(ms(0), &name(&format!("g{index}")), &roster);
    fleet.update(
        ms(0),
        vec![fleet::ListEntry {
            instance: name("u1"),
            service: name("app"),
            address: "10.0.0.1:80".parse().expect("an address"),
            domain: name("a"),
            version: name("v1"),
            leaving: false,
            started_ms: Some(1),
            cold_left: None,
        }],
    );
    fleet
}

/// Guards against a part of the rate for each gateway, be it one call, which exceeds it once there are
/// many, and against a rate below one a second that is no call at all.
#[test]
fn rate_holds_for_any_number_of_gateways() {
    let upstream: id::InstanceId = name("u1");
    for gateways in [1, 3, 40, 360] {
        for per_second in [0.0, 0.2, 1.0, 1.7, 2.9, 7.0, 60.0, 300.0] {
            let mut fleets: Vec<_> = (0..gateways).map(|index| fleet_of(index, gateways)).collect();
            let mut sent: Vec<time::Duration> = Vec::new();
            let start = ms(10_000);
            let mut now = start;
            while now < start + SIMULATED {
                now += STEP;
                for fleet in &mut fleets {
                    fleet.record_limit(now, now, &process(), rate(per_second));
                    while fleet.may_send(now, &upstream) {
                        fleet.record_limited_send(now, &upstream);
                        sent.push(now);
                    }
                }
            }
            let counts = sent.iter().enumerate().map(|(index, first)| {
                sent[index..].iter().take_while(|at| **at <= *first + WINDOW).count()
            });
            let most = counts.max().unwrap_or_default();
            let allowed = EXCESS * per_second * WINDOW.as_secs_f64() + SLACK;
            assert!(most as f64 <= allowed, "{gateways} at {per_second}: {most} calls");
            let share = (per_second * SIMULATED.as_secs_f64() / 2.0).max(1.0);
            let count = sent.len();
            assert!(count as f64 >= share, "{gateways} at {per_second}: {count} calls");
        }
    }
}

/// Guards against stages that are run for a request which this gateway may not send anywhere.
#[test]
fn request_is_refused_before_its_stages_without_a_part_of_any_rate() {
    let mut harness = Harness::new();
    for upstream in ["u1", "u2"] {
        let process = upstream_notice::Process { instance: name(upstream), started_ms: None };
        let notice = upstream_notice::Notice { limit: rate(1.0), ..Default::default() };
        let sent_at = harness.now.mono;
        harness.step(gateway::Event::UpstreamNoticed { process, notice, sent_at });
    }
    let (_, effects) = harness.arrive("/guide/1");
    assert_eq!(refusal_of(&effects), Some((refusal::Kind::NoUpstream, refusal::Ran::No)));
}
