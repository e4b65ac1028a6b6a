//! Tests of the smaller modules: identifiers, queue, limits, templates, wire frames, ownership,
//! membership, routing and revisions.

use std::collections;
use std::time;

use bramleyshelf_lib::{
    check, claim, clock, config, id, limit, membership, outlier, ownership, queue, retry, revision,
    routing, template, unit, wire,
};
use bramleyshelf_testutils::values::name;

const CONFIG_TEXT: &str = include_str!("../../examples/takbaerer.json");

fn seconds(value: u64) -> time::Duration {
    time::Duration::from_secs(value)
}

#[test]
fn id_accepts_only_valid_names() {
    for good in ["a", "east-1", "A.b_c", "9"] {
        assert!(good.parse::<id::ServiceId>().is_ok(), "{good}");
    }
    for bad in ["", "-a", "a b", "a/b", "é", &"x".repeat(129)] {
        assert!(bad.parse::<id::ServiceId>().is_err(), "{bad}");
    }
}

#[test]
fn queue_shares_by_weight_and_priority() {
    let mut queue = queue::FairQueue::default();
    let (big, small, urgent) = (name("big"), name("small"), name("urgent"));
    for number in 0..30 {
        queue.push(id::AttemptId(number), &big, 1, 0);
    }
    for number in 100..130 {
        queue.push(id::AttemptId(number), &small, 2, 0);
    }
    queue.push(id::AttemptId(200), &urgent, 1, 9);
    assert_eq!(queue.pop(), Some(id::AttemptId(200)), "priority first");
    let popped: Vec<_> = (0..15).filter_map(|_| queue.pop()).collect();
    let small_count = popped.iter().filter(|attempt| attempt.0 >= 100).count();
    assert_eq!(small_count, 10, "weight 2 gets two of three pops");
}

quickcheck::quickcheck! {
    fn queue_pops_each_attempt_once(teams: Vec<u8>, removed: Vec<u8>) -> bool {
        let mut queue = queue::FairQueue::default();
        let mut expected = collections::BTreeSet::new();
        for (number, team) in teams.iter().enumerate() {
            let attempt = id::AttemptId(number as u128);
            let weight = u32::from(team % 3);
            queue.push(attempt, &name(&format!("t{}", team % 5)), weight, team % 2);
            expected.insert(attempt);
        }
        for index in removed {
            let attempt = id::AttemptId(u128::from(index));
            if queue.remove(attempt) != expected.remove(&attempt) {
                return false;
            }
        }
        let mut popped = collections::BTreeSet::new();
        while let Some(attempt) = queue.pop() {
            if !popped.insert(attempt) {
                return false;
            }
        }
        popped == expected && queue.is_empty()
    }

    fn wire_decodes_frames_split_anywhere(data: Vec<u8>, offset: u64, cuts: Vec<u8>) -> bool {
        let chunk = wire::Chunk { offset, data: data.into() };
        let bytes = wire::encode(&wire::Frame::Chunk(chunk.clone()));
        let mut decoder = wire::Decoder::new(1 << 20);
        let mut rest = &bytes[..];
        for cut in cuts {
            let (now, later) = rest.split_at(usize::from(cut).min(rest.len()));
            decoder.push(now);
            rest = later;
        }
        decoder.push(rest);
        let frame = decoder.read::<wire::Frame>().ok().flatten();
        matches!(frame, Some(wire::Frame::Chunk(read)) if read == chunk) && decoder.is_empty()
    }

    fn wire_does_not_panic_on_garbage(data: Vec<u8>) -> bool {
        let mut decoder = wire::Decoder::new(1 << 16);
        decoder.push(&data);
        let _ = decoder.read::<wire::OpenAttempt>();
        true
    }

    fn active_revision_never_decreases(received: Vec<(u8, bool)>) -> bool {
        let mut current = revision::ActiveConfig::default();
        for (number, valid) in received {
            let before = current.revision;
            let text = if valid { CONFIG_TEXT } else { "{}" }.to_owned();
            let stored = revision::StoredConfig { text, ..revision::StoredConfig::default() };
            let revision = id::Revision(u64::from(number));
            let verdict =
                revision::evaluate(&current, revision, stored, revision::Source::Peer);
            if let revision::Verdict::Activated(next) = verdict {
                current = next;
            }
            if current.revision < before || (!valid && current.revision != before) {
                return false;
            }
        }
        true
    }

    fn delta_reproduces_the_new_text(old: String, new: String, other: String) -> bool {
        let make_stored =
            |text: String| revision::StoredConfig { text, ..revision::StoredConfig::default() };
        let (old, new, other) = (make_stored(old), make_stored(new), make_stored(other));
        let delta = revision::Delta::between((id::Revision(1), &old), id::Revision(2), &new);
        let is_wrong = delta.apply(&other).is_some_and(|text| text != new);
        delta.apply(&old) == Some(new) && !is_wrong
    }

    fn retry_budget_limits_retries_to_a_share(attempts: Vec<bool>) -> bool {
        let mut budget = retry::Budget::default();
        let (mut first_attempts, mut retries) = (0_u32, 0_u32);
        for is_retry in attempts {
            if is_retry {
                retries += u32::from(budget.try_withdraw());
            } else {
                budget.deposit(0.25);
                first_attempts += 1;
            }
        }
        f64::from(retries) <= 10.0 + f64::from(first_attempts) * 0.25
    }
}

/// During a rolling upgrade, newer peers send fields that older ones do not have.
#[test]
fn wire_ignores_unknown_fields() {
    #[derive(serde::Serialize)]
    struct Newer {
        attempt: id::AttemptId,
        added: u32,
    }
    let bytes = wire::encode(&Newer { attempt: id::AttemptId(3), added: 1 });
    let mut decoder = wire::Decoder::new(1 << 16);
    decoder.push(&bytes);
    let read: wire::CancelAttempt = decoder.read().expect("readable").expect("complete");
    assert_eq!(read.attempt, id::AttemptId(3));
}

/// Without the check, a wrong length would make the receiver buffer data without limit.
#[test]
fn wire_rejects_long_frame() {
    let mut decoder = wire::Decoder::new(10);
    decoder.push(&[0, 0, 1, 0]);
    assert!(matches!(decoder.read::<wire::CancelAttempt>(), Err(wire::WireError::TooLong { .. })));
}

/// The last four configurations that a process replaced are kept as bases, here revisions 3 to 6.
#[test]
fn update_is_a_delta_if_the_base_is_known() {
    let mut current = revision::ActiveConfig::default();
    for number in 1..=7 {
        let text = CONFIG_TEXT.replace("\"rate\": 200", &format!("\"rate\": 20{number}"));
        let stored = revision::StoredConfig { text, ..revision::StoredConfig::default() };
        let revision = id::Revision(number);
        let verdict = revision::evaluate(&current, revision, stored, revision::Source::Store);
        let revision::Verdict::Activated(next) = verdict else { panic!("{verdict:?}") };
        current = next;
    }
    let cases =
        [(0, "full"), (2, "full"), (3, "delta"), (6, "delta"), (7, "nothing"), (9, "nothing")];
    for (known, expected) in cases {
        let found = match revision::update_for(&current, id::Revision(known)) {
            None => "nothing",
            Some(revision::Update::Full { .. }) => "full",
            Some(revision::Update::Delta(delta)) => {
                assert!(wire::encode(&delta).len() < 500, "a delta is small");
                "delta"
            }
        };
        assert_eq!(found, expected, "known revision {known}");
    }
}

#[test]
fn template_fills_references() {
    let context = serde_json::json!({
        "request": { "q": "hi" }, "stages": { "a": { "n": [1, 2] } },
    });
    let cases = [
        (
            serde_json::json!({ "x": { "from": "/request/q" } }),
            Some(serde_json::json!({ "x": "hi" })),
        ),
        (serde_json::json!([{ "from": "/stages/a/n/1" }]), Some(serde_json::json!([2]))),
        (
            serde_json::json!({ "text": ["q=", { "from": "/request/q" }, " n=", { "from": "/stages/a/n" }] }),
            Some(serde_json::json!("q=hi n=[1,2]")),
        ),
        (serde_json::json!({ "from": "/request/missing" }), None),
        (
            serde_json::json!({ "from": "/x", "other": 1 }),
            Some(serde_json::json!({ "from": "/x", "other": 1 })),
        ),
    ];
    for (template, expected) in cases {
        assert_eq!(template::fill(&template, &context).ok(), expected, "{template}");
    }
}

/// Records calls that ran at the limit with the given latencies; returns the limit afterwards.
fn run_calls(
    limit: &mut limit::ConcurrencyLimit,
    calls: u32,
    latency_ms: impl Fn(u32) -> u64,
) -> u32 {
    for call in 0..calls {
        let running = limit.limit();
        limit.record_success(time::Duration::from_millis(latency_ms(call)), running);
    }
    limit.limit()
}

#[test]
fn concurrency_falls_with_latency_and_recovers() {
    let mut limit = limit::ConcurrencyLimit::new(32);
    assert_eq!(run_calls(&mut limit, 400, |_| 10), 32);
    let reduced = run_calls(&mut limit, 80, |_| 100);
    assert!(reduced <= 16, "{reduced}");
    assert_eq!(run_calls(&mut limit, 600, |_| 10), 32);
}

#[test]
fn concurrency_stays_high_with_uneven_latencies() {
    // Most calls are short, some generate for a long time, and the first call is the shortest.
    let mut limit = limit::ConcurrencyLimit::new(32);
    let least = (0..50)
        .map(|_| {
            run_calls(&mut limit, 40, |call| if call % 8 == 3 { 900 } else { 1 + u64::from(call) })
        })
        .min();
    assert!(least >= Some(24), "{least:?}");
}

#[test]
fn concurrency_falls_with_failures_to_a_floor() {
    let mut limit = limit::ConcurrencyLimit::new(32);
    for second in 1..100 {
        limit.record_failure(seconds(second));
    }
    assert_eq!(limit.limit(), 4);
}

#[test]
fn token_bucket_limits_the_rate() {
    let mut bucket = limit::TokenBucket::new(seconds(0), 10.0);
    let mut taken = 0;
    for tick in 0..1_000 {
        let now = time::Duration::from_millis(tick * 10);
        taken += u32::from(bucket.try_take(now, 20.0, 10.0, 1.0));
    }
    assert!((200..=210).contains(&taken), "{taken} in 10 s at 20/s with a burst of 10");
}

#[test]
fn ejected_upstream_returns_slowly_and_is_ejected_longer() {
    let rule = outlier::Rule { failures: 3, base_time: seconds(2), warmup: seconds(5) };
    let mut health = outlier::Health::default();
    let ejected: Vec<_> = (0..3).map(|_| health.record_failure(seconds(10), rule)).collect();
    assert_eq!(ejected, [false, false, true]);
    assert!(health.is_ejected(seconds(11)) && !health.is_ejected(seconds(12)));
    assert!(health.traffic_share(seconds(12), rule) < 0.2);
    assert!(health.traffic_share(seconds(17), rule) >= 1.0);
    assert!(
        health.record_failure(seconds(12), rule),
        "one failure after the end of the ejection is enough"
    );
    assert!(health.is_ejected(seconds(15)), "the second ejection is longer");
}

fn lease_reply(sent: clock::Now) -> claim::Reply {
    claim::Reply::LeaseGranted { id: 1, requested_at: sent, ttl: seconds(15) }
}

#[test]
fn ownership_ends_with_the_lease() {
    let me: id::InstanceId = name("s-0");
    let address = ([127, 0, 0, 1], 9_000).into();
    let mut ownership = ownership::Ownership::new(me, address, id::Incarnation(1));
    let (mut calls, mut changes) = (Vec::new(), Vec::new());
    let start = clock::Now { mono: seconds(100), wall: seconds(1_000) };
    ownership.reply(start, lease_reply(start), &mut calls, &mut changes);
    let fence = id::FencingToken(4);
    let claimed = claim::Reply::Claimed { lease: 1, ranges: vec![3], fence, never_owned: true };
    ownership.reply(start, claimed, &mut calls, &mut changes);
    assert!(ownership.owns(start, 3));
    let late = start.after(seconds(15));
    assert!(!ownership.owns(late, 3), "the lease has expired, although no event has reported that");
    ownership.tick(late, |_| true, &mut calls);
    assert_eq!(ownership.range_count(), 0);
    ownership.reply(late, lease_reply(late), &mut calls, &mut changes);
    assert!(
        !ownership.owns(late, 3),
        "a new lease alone does not restore the ownership of the range"
    );
}

fn snapshot_of(owners: &wire::Owners, members: &claim::Members) -> claim::Reply {
    let ever_owned = owners.keys().copied().collect();
    claim::Reply::Snapshot { owners: owners.clone(), members: members.clone(), ever_owned }
}

#[test]
fn ownership_suspends_a_range_while_its_handover_is_unconfirmed() {
    let me: id::InstanceId = name("s-0");
    let address = ([127, 0, 0, 1], 9_000).into();
    let mut ownership = ownership::Ownership::new(me.clone(), address, id::Incarnation(1));
    let (mut calls, mut changes) = (Vec::new(), Vec::new());
    let now = clock::Now { mono: seconds(100), wall: seconds(1_000) };
    ownership.reply(now, lease_reply(now), &mut calls, &mut changes);
    let all: Vec<_> = (0..bramleyshelf_lib::key::RANGE_COUNT).collect();
    let fence = id::FencingToken(4);
    let claimed = claim::Reply::Claimed { lease: 1, ranges: all.clone(), fence, never_owned: true };
    ownership.reply(now, claimed, &mut calls, &mut changes);
    let member = |port: u16, incarnation| claim::Member {
        address: ([127, 0, 0, 1], port).into(),
        incarnation: id::Incarnation(incarnation),
    };
    let members = collections::BTreeMap::from([
        (me.clone(), member(9_000, 1)),
        (name("s-1"), member(9_001, 2)),
    ]);
    let owner = |fence: u64| wire::Owner {
        instance: me.clone(),
        address,
        incarnation: id::Incarnation(1),
        fence: id::FencingToken(fence),
    };
    let owners: wire::Owners = all.iter().map(|range| (*range, owner(4))).collect();
    let snapshot = snapshot_of(&owners, &members);
    ownership.reply(now, snapshot, &mut calls, &mut changes);
    calls.clear();
    ownership.tick(now, |_| true, &mut calls);
    let Some(claim::Call::Offer { ranges, .. }) = calls.pop() else {
        panic!("the owner of all ranges offers some to the other member")
    };
    assert_eq!(ranges.len(), 32, "half of them");
    let range = *ranges.keys().next().expect("not empty");
    let offered = ranges.keys().copied().collect();
    let unconfirmed = claim::Reply::OfferEnded { ranges: offered, accepted: false };
    ownership.reply(now, unconfirmed, &mut calls, &mut changes);
    assert!(
        !ownership.owns(now, range),
        "the other member may still take it, with an older ledger"
    );
    ownership.reply(now, snapshot_of(&owners, &members), &mut calls, &mut changes);
    let retake = calls.pop();
    let expected = claim::Call::Take { lease: 1, ranges: ranges.clone(), offered: false };
    assert_eq!(retake, Some(expected), "taking it back with a new token rules that out");
    let fence = id::FencingToken(5);
    let ranges = ranges.into_keys().collect();
    let taken = claim::Reply::Taken { lease: 1, ranges, fence, offered: false };
    ownership.reply(now, taken, &mut calls, &mut changes);
    assert!(ownership.owns(now, range));
}

#[test]
fn ownership_reads_the_store_before_repeating_a_declined_offer() {
    // The other member may be leaving, which this sidecar has not read yet.
    let (me, incarnation) = (name::<id::InstanceId>("s-0"), id::Incarnation(1));
    let address = ([127, 0, 0, 1], 9_000).into();
    let mut ownership = ownership::Ownership::new(me.clone(), address, incarnation);
    let (mut calls, mut changes) = (Vec::new(), Vec::new());
    let mut now = clock::Now { mono: seconds(100), wall: seconds(1_000) };
    ownership.reply(now, lease_reply(now), &mut calls, &mut changes);
    let ranges: Vec<_> = (0..bramleyshelf_lib::key::RANGE_COUNT).collect();
    let fence = id::FencingToken(4);
    let owner = wire::Owner { instance: me.clone(), address, incarnation, fence };
    let owners: wire::Owners = ranges.iter().map(|range| (*range, owner.clone())).collect();
    let claimed = claim::Reply::Claimed { lease: 1, ranges, fence, never_owned: true };
    ownership.reply(now, claimed, &mut calls, &mut changes);
    let member = claim::Member { address, incarnation };
    let other = claim::Member { incarnation: id::Incarnation(2), ..member.clone() };
    let members = collections::BTreeMap::from([(me, member), (name("s-1"), other)]);
    ownership.reply(now, snapshot_of(&owners, &members), &mut calls, &mut changes);
    calls.clear();
    ownership.tick(now, |_| true, &mut calls);
    let Some(claim::Call::Offer { ranges, .. }) = calls.pop() else { panic!("an offer") };
    let ranges = ranges.into_keys().collect();
    let declined = claim::Reply::OfferEnded { ranges, accepted: false };
    ownership.reply(now, declined, &mut calls, &mut changes);
    now = now.after(time::Duration::from_millis(50));
    ownership.tick(now, |_| true, &mut calls);
    assert_eq!(calls, [claim::Call::Read]);
}

#[test]
fn ownership_offers_no_ranges_on_a_stale_snapshot() {
    // Otherwise two sidecars could pass ranges back and forth, each with an outdated snapshot in
    // which the other one owns fewer ranges.
    let me: id::InstanceId = name("s-0");
    let address = ([127, 0, 0, 1], 9_000).into();
    let mut ownership = ownership::Ownership::new(me.clone(), address, id::Incarnation(1));
    let (mut calls, mut changes) = (Vec::new(), Vec::new());
    let mut now = clock::Now { mono: seconds(100), wall: seconds(1_000) };
    ownership.reply(now, lease_reply(now), &mut calls, &mut changes);
    let member = claim::Member { address, incarnation: id::Incarnation(1) };
    let other = claim::Member { incarnation: id::Incarnation(2), ..member.clone() };
    let members = collections::BTreeMap::from([(me, member), (name("s-1"), other)]);
    ownership.reply(now, snapshot_of(&wire::Owners::new(), &members), &mut calls, &mut changes);
    let fence = id::FencingToken(4);
    let all: Vec<_> = (0..bramleyshelf_lib::key::RANGE_COUNT).collect();
    let taken = claim::Reply::Taken { lease: 1, ranges: all, fence, offered: true };
    ownership.reply(now, taken, &mut calls, &mut changes);
    calls.clear();
    ownership.reply(now, claim::Reply::Failed, &mut calls, &mut changes);
    now = now.after(time::Duration::from_millis(50));
    ownership.tick(now, |_| true, &mut calls);
    assert!(!calls.iter().any(|call| matches!(call, claim::Call::Offer { .. })), "{calls:?}");
}

fn listed_instance(
    service: &str,
    number: u16,
    domain: &str,
) -> (id::InstanceId, membership::ListedInstance) {
    let listed = membership::ListedInstance {
        service: name(service),
        address: ([127, 0, 0, 1], 9_000 + number).into(),
        domain: name(domain),
        leaving: false,
    };
    (name(&format!("{service}-{number}")), listed)
}

/// A fault of the platform's list must not take working instances out of use.
#[test]
fn membership_keeps_briefly_missing_instances() {
    type Snapshot<'a> = (u64, &'a membership::Instances);
    let three: membership::Instances =
        (0..3).map(|number| listed_instance("encoder", number, "east-1")).collect();
    let two: membership::Instances =
        (0..2).map(|number| listed_instance("encoder", number, "east-1")).collect();
    // Instance lists with the second at which they are read, and the resulting number of instances.
    let cases: [(&str, Vec<Snapshot<'_>>, usize); 5] = [
        ("steady", vec![(0, &three), (60, &three)], 3),
        ("one missing for a short time", vec![(0, &three), (1, &two), (10, &two)], 3),
        ("one removed", vec![(0, &three), (1, &two), (17, &two)], 2),
        ("flapping", vec![(0, &three), (1, &two), (10, &three), (11, &two), (20, &two)], 3),
        ("empty by mistake", vec![(0, &three), (1, &EMPTY), (300, &EMPTY)], 3),
    ];
    for (name, snapshots, expected) in cases {
        let mut membership = membership::Membership::default();
        for (at, list) in snapshots {
            membership.update(seconds(at), list.clone());
        }
        assert_eq!(membership.instances().len(), expected, "{name}");
    }
}

static EMPTY: membership::Instances = membership::Instances::new();

#[test]
fn membership_reads_endpoint_slices() {
    let text = br#"{"kind":"EndpointSliceList","items":[{"metadata":{"labels":
        {"kubernetes.io/service-name":"encoder"}},"ports":[{"name":"sidecar","port":7000}],
        "endpoints":[
          {"addresses":["10.0.0.1"],"conditions":{"ready":true},"zone":"east-1","targetRef":{"name":"e-0"}},
          {"addresses":["10.0.0.2"],"conditions":{"ready":false,"serving":true,"terminating":true},"zone":"east-1","targetRef":{"name":"e-1"}},
          {"addresses":["10.0.0.3"],"conditions":{"ready":false},"zone":"east-1","targetRef":{"name":"e-2"}},
          {"addresses":["10.0.0.4"],"conditions":{"ready":true}}]}]}"#;
    let mut slices = membership::EndpointSlices::parse(text).expect("a list");
    let list = slices.instances();
    let leaving: Vec<_> = list.iter().map(|(n, l)| (n.to_string(), l.leaving)).collect();
    assert_eq!(leaving, [("e-0".to_owned(), false), ("e-1".to_owned(), true)]);
    assert!(membership::EndpointSlices::parse(b"[]").is_err());
    let changed = br#"{"type":"MODIFIED","object":{"metadata":{"name":"s","labels":
        {"kubernetes.io/service-name":"encoder"}},"ports":[{"name":"sidecar","port":7000}],
        "endpoints":[{"addresses":["10.0.0.9"],"zone":"east-1","targetRef":{"name":"e-9"}}]}}"#;
    slices.apply(changed).expect("an event");
    assert_eq!(slices.instances().len(), 3);
    let removed = br#"{"type":"DELETED","object":{"metadata":{"name":"s"}}}"#;
    slices.apply(removed).expect("an event");
    assert_eq!(slices.instances().len(), 2);
    let expired = br#"{"type":"ERROR","object":{"code":410}}"#;
    assert!(slices.apply(expired).is_err(), "the list has to be read again");
}

fn router(upstreams: u16, config: &config::Config) -> routing::Router {
    let domains = ["east-1", "east-2", "west-1"];
    let list = (0..upstreams)
        .map(|number| listed_instance("encoder", number, domains[usize::from(number) % 3]))
        .collect();
    let mut router = routing::Router::new(name("entry-0"), name("east-1"), 7);
    router.update(config, &list, &collections::BTreeSet::new());
    router
}

fn pick(router: &mut routing::Router, config: &config::Config, now: u64) -> routing::Pick {
    let service = name("encoder");
    let tried = collections::BTreeSet::new();
    let args = routing::PickArgs { service: &service, tried: &tried, prefix_hash: None };
    router.pick(seconds(now), config, &args).expect("an upstream")
}

fn example_config() -> config::Config {
    check::parse(CONFIG_TEXT).expect("valid")
}

#[test]
fn router_prefers_near_upstreams_until_they_are_busy() {
    let config = example_config();
    let mut router = router(9, &config);
    for _ in 0..50 {
        assert_eq!(pick(&mut router, &config, 1).tier, routing::Tier::Domain);
    }
    // All upstreams in the entry's region report long queues.
    for (number, domain) in (0..9).zip(["east-1", "east-2", "west-1"].into_iter().cycle()) {
        if domain == "west-1" {
            continue;
        }
        let load = wire::Load {
            incarnation: id::Incarnation(1),
            revision: id::Revision(1),
            running: 4,
            limit: 4,
            queued: 400,
            latency: unit::Millis(20),
            draining: false,
        };
        router.record_load(seconds(2), &name(&format!("encoder-{number}")), &load);
    }
    assert_eq!(pick(&mut router, &config, 2).tier, routing::Tier::Remote);
    router.charge_link(seconds(2), &config, routing::Tier::Remote, 10_000_000);
    assert_ne!(
        pick(&mut router, &config, 2).tier,
        routing::Tier::Remote,
        "the bandwidth of the link is used up"
    );
}

/// An entry whose subset had near upstreams only could reach none if all of these were lost.
#[test]
fn router_subset_includes_remote_upstreams() {
    let mut config = example_config();
    config.policy.subset = 12;
    config.policy.balance = config::Balance::Random;
    let mut router = router(300, &config);
    let mut instances = collections::BTreeSet::new();
    let mut tiers = collections::BTreeSet::new();
    for _ in 0..2_000 {
        let pick = pick(&mut router, &config, 1);
        instances.insert(pick.instance);
        tiers.insert(pick.tier);
    }
    assert_eq!(instances.len(), 12);
    assert!(tiers.contains(&routing::Tier::Remote));
}

/// A fault that all upstreams share must not leave an entry without any upstream.
#[test]
fn router_ejects_no_more_than_the_configured_share() {
    let config = example_config();
    let mut router = router(6, &config);
    let ejected = (0..6)
        .filter(|number| {
            let instance = name(&format!("encoder-{number}"));
            (0..10).any(|_| router.record_failure(seconds(1), &config, &instance))
        })
        .count();
    assert_eq!(ejected, 3, "half may be ejected; the rest stays in use");
}

#[test]
fn router_follows_prefix_affinity_until_the_upstream_is_busy() {
    let config = example_config();
    let mut router = router(9, &config);
    let service = name("encoder");
    let tried = collections::BTreeSet::new();
    let args = routing::PickArgs { service: &service, tried: &tried, prefix_hash: Some(99) };
    let pick = |router: &mut routing::Router| {
        router.pick(seconds(1), &config, &args).expect("an upstream").instance
    };
    let preferred = pick(&mut router);
    for _ in 0..20 {
        assert_eq!(pick(&mut router), preferred);
    }
    for _ in 0..30 {
        router.attempt_sent(&preferred);
    }
    let others = (0..20).filter(|_| pick(&mut router) != preferred).count();
    assert_eq!(others, 20);
}

/// The monotonic clock stops while an instance is frozen, and the wall clock can be set back. Either
/// one alone could keep a lease valid that the store has already ended.
#[test]
fn lease_expires_by_the_faster_clock() {
    let sent = clock::Now { mono: seconds(10), wall: seconds(1_000) };
    let lease = claim::Lease { id: 1, requested_at: sent, ttl: seconds(15) };
    let cases = [(0, 0, true), (14, 14, true), (15, 0, false), (0, 15, false), (3, 0, true)];
    for (mono, wall, valid) in cases {
        let now = clock::Now { mono: sent.mono + seconds(mono), wall: sent.wall + seconds(wall) };
        assert_eq!(lease.is_valid(now), valid, "{mono} {wall}");
    }
}

#[test]
fn router_gives_same_picks_for_same_inputs() {
    let config = example_config();
    let run = || {
        let mut router = router(30, &config);
        (0..100).map(|_| pick(&mut router, &config, 1).instance).collect::<Vec<_>>()
    };
    assert_eq!(run(), run());
}

/// Guards against a list of instances that is not followed any more because of one entry.
#[test]
fn endpoint_slices_skip_odd_entries() {
    let deep = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    let endpoint = |name: &str, address: &str| {
        format!(
            "{{\"addresses\":[\"{address}\"],\"zone\":\"a\",\"targetRef\":{{\"name\":\"{name}\"}}}}"
        )
    };
    let slice = |name: &str, endpoints: &[String], port: &str| {
        format!(
            "{{\"metadata\":{{\"name\":\"{name}\",\"labels\":{{\"kubernetes.io/service-name\":\"s\"}}}},\
             \"endpoints\":[{}],\"ports\":[{{\"name\":\"web\",\"port\":99999}},{{\"name\":\"sidecar\",\"port\":{port}}}]}}",
            endpoints.join(",")
        )
    };
    let odd_endpoints = [
        "7".to_owned(),
        "null".to_owned(),
        deep.clone(),
        endpoint("i-0", "10.0.0.300"),
        endpoint("i-0", "host.example"),
        endpoint("i-0", "0.0.0.0"),
        format!("{{\"addresses\":{deep}}}"),
        "{\"addresses\":[\"10.0.0.1\"],\"zone\":\"a\",\"targetRef\":{\"name\":1e999}}".to_owned(),
    ];
    let names = |slices: &membership::EndpointSlices| {
        slices.instances().keys().map(ToString::to_string).collect::<Vec<_>>()
    };
    let list = |items: &[String]| {
        let text = format!(
            "{{\"metadata\":{{\"resourceVersion\":\"1\"}},\"items\":[{}]}}",
            items.join(",")
        );
        membership::EndpointSlices::parse(text.as_bytes())
    };
    for odd in &odd_endpoints {
        let endpoints = [endpoint("i-1", "10.0.0.1"), odd.clone(), endpoint("i-2", "10.0.0.2")];
        let slices = list(&[slice("s1", &endpoints, "80")]).expect("a list");
        assert_eq!(names(&slices), ["i-1", "i-2"], "{}", &odd[..odd.len().min(80)]);
    }
    let sound = [endpoint("i-1", "10.0.0.1")];
    let other = [endpoint("i-2", "10.0.0.2")];
    let odd_slices = ["7".to_owned(), deep.clone(), format!("{{\"metadata\":{deep}}}")];
    let odd_ports = ["0", "70000", "-1", "1e999", "\"80\"", "null"];
    let odd_ports = odd_ports.map(|port| slice("s2", &other, port));
    for odd in odd_slices.iter().chain(&odd_ports) {
        let slices = list(&[slice("s1", &sound, "80"), odd.clone()]).expect("a list");
        assert_eq!(names(&slices), ["i-1"], "{}", &odd[..odd.len().min(80)]);
        let mut slices = list(&[slice("s1", &sound, "80")]).expect("a list");
        let event = format!("{{\"type\":\"MODIFIED\",\"object\":{odd}}}");
        slices.apply(event.as_bytes()).expect("the watch goes on");
        assert_eq!(names(&slices), ["i-1"], "{}", &odd[..odd.len().min(80)]);
        let event = format!("{{\"type\":\"ADDED\",\"object\":{}}}", slice("s3", &other, "80"));
        slices.apply(event.as_bytes()).expect("an event");
        assert_eq!(names(&slices), ["i-1", "i-2"]);
    }
}
