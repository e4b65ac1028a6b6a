//! Parts of the gateway: batches, placement, admission, membership, leases and event streams.

use std::collections;

use bramleyshelf_lib::{
    admission, batch, clock, config_lease, event_stream, fleet, gateway, id, placement, pool_rate,
    roster, routing, table, unit,
};
use bramleyshelf_testutils::values::{ms, name};

fn regions() -> collections::BTreeMap<id::DomainId, id::RegionId> {
    [("a", "east"), ("b", "east"), ("c", "west")]
        .into_iter()
        .map(|(domain, region)| (name(domain), name(region)))
        .collect()
}

fn listed(instance: &str, domain: &str) -> fleet::ListEntry {
    fleet::ListEntry {
        instance: name(instance),
        service: name("encode"),
        address: "10.0.0.1:80".parse().expect("an address"),
        domain: name(domain),
        leaving: false,
        started_ms: None,
    }
}

fn fleet_of(instances: &[(&str, &str)]) -> fleet::Fleet {
    let mut fleet = fleet::Fleet::new(name("a"), regions());
    fleet.update(ms(0), instances.iter().map(|(i, d)| listed(i, d)).collect());
    fleet
}

fn pool() -> roster::PoolId {
    roster::PoolId { service: name("encode"), region: name("east") }
}

fn terms() -> table::Batching {
    table::Batching {
        slots: 1,
        max_queued: 2,
        max_pieces: 8,
        call_time: ms(150),
        piece_time: ms(16),
        result_memory: unit::ByteSize(40_000_000),
        retention: ms(4_000),
    }
}

fn push(queues: &mut batch::Queues, group: u64, pieces: u32, due: u64, size: u64) {
    push_near(queues, group, pieces, due, size, None);
}

/// Adds a group whose inputs are kept in a failure domain.
fn push_near(
    queues: &mut batch::Queues,
    group: u64,
    pieces: u32,
    due: u64,
    size: u64,
    inputs: Option<&str>,
) {
    for piece in 0..pieces {
        let id = batch::PieceId { group: batch::GroupId(group), piece };
        let (size, inputs) = (unit::ByteSize(size), inputs.map(name));
        queues.push(
            &pool(),
            batch::QueuedPiece {
                id,
                due: ms(due),
                rank: 0,
                result_size: size,
                input_domain: inputs,
            },
        );
    }
}

fn groups(dispatch: &batch::Dispatch) -> Vec<u64> {
    dispatch.pieces.iter().map(|waiting| waiting.id.group.0).collect()
}

#[test]
fn batch_gathers_pieces_of_many_requests_while_busy() {
    let mut fleet = fleet_of(&[("u1", "a")]);
    let mut queues = batch::Queues::default();
    push(&mut queues, 1, 2, 5_000, 8_000);
    let first = queues.dispatch(ms(0), &pool(), &terms(), &fleet).expect("an upstream is free");
    assert_eq!(groups(&first), [1, 1]);
    fleet.record_sent(&first.instance, 0);
    for group in 2..6 {
        push(&mut queues, group, 3, 5_000, 8_000);
        assert!(queues.dispatch(ms(10), &pool(), &terms(), &fleet).is_none(), "it is busy");
    }
    fleet.record_ended(&first.instance, 0);
    let next = queues.dispatch(ms(200), &pool(), &terms(), &fleet).expect("it is free again");
    assert_eq!(next.pieces.len(), 8, "the call is full");
}

#[test]
fn batch_takes_what_can_be_on_time_before_what_is_late() {
    let fleet = fleet_of(&[("u1", "a")]);
    let mut queues = batch::Queues::default();
    push(&mut queues, 1, 4, 1_000, 8_000);
    push(&mut queues, 2, 4, 9_000, 8_000);
    push(&mut queues, 3, 4, 8_000, 8_000);
    let call = queues.dispatch(ms(5_000), &pool(), &terms(), &fleet).expect("it is free");
    assert_eq!(groups(&call), [3, 3, 3, 3, 2, 2, 2, 2], "the late group 1 yields");
}

#[test]
fn batch_finishes_begun_groups_first() {
    let mut fleet = fleet_of(&[("u1", "a")]);
    let mut queues = batch::Queues::default();
    push(&mut queues, 1, 10, 1_000, 8_000);
    let first = queues.dispatch(ms(0), &pool(), &terms(), &fleet).expect("it is free");
    assert_eq!(first.pieces.len(), 8);
    fleet.record_sent(&first.instance, 0);
    push(&mut queues, 2, 8, 900, 8_000);
    fleet.record_ended(&first.instance, 0);
    // By now group 1 is late; its results would lie about if it yielded.
    let next = queues.dispatch(ms(5_000), &pool(), &terms(), &fleet).expect("it is free");
    assert_eq!(groups(&next)[..2], [1, 1]);
}

#[test]
fn batch_does_not_split_or_overtake_heavy_groups() {
    let mut fleet = fleet_of(&[("u1", "a")]);
    let upstream = fleet.get_mut(&name("u1")).expect("it is listed");
    upstream.add_result(gateway::Handle("h".into()), unit::ByteSize(30_000_000), ms(9_000));
    let mut queues = batch::Queues::default();
    push(&mut queues, 1, 4, 3_000, 3_000_000);
    push(&mut queues, 2, 2, 4_000, 3_000_000);
    push(&mut queues, 3, 2, 5_000, 8_000);
    let call = queues.dispatch(ms(0), &pool(), &terms(), &fleet).expect("it is free");
    assert_eq!(groups(&call), [3, 3], "room is left for three heavy ones only; light ones pass");
}

#[test]
fn batch_goes_where_its_inputs_are() {
    let mut fleet = fleet_of(&[("u1", "a"), ("u2", "b")]);
    let mut queues = batch::Queues::default();
    push_near(&mut queues, 1, 2, 5_000, 8_000, Some("b"));
    let call = queues.dispatch(ms(0), &pool(), &terms(), &fleet).expect("both are free");
    assert_eq!(call.instance, name("u2"));
    // Under load, each upstream takes what is near it first, and nothing is passed over for long.
    fleet.record_sent(&name("u2"), 0);
    push_near(&mut queues, 2, 6, 5_000, 8_000, Some("b"));
    push_near(&mut queues, 3, 6, 5_050, 8_000, Some("a"));
    let call = queues.dispatch(ms(0), &pool(), &terms(), &fleet).expect("one is free");
    assert_eq!(groups(&call)[..6], [3; 6]);
    push_near(&mut queues, 4, 8, 9_000, 8_000, Some("a"));
    let call = queues.dispatch(ms(0), &pool(), &terms(), &fleet).expect("one is free");
    assert_eq!(groups(&call)[0], 2, "it is due long before");
}

#[test]
fn batch_goes_elsewhere_if_there_is_no_room_near_its_inputs() {
    let mut fleet = fleet_of(&[("u1", "a"), ("u2", "b")]);
    let upstream = fleet.get_mut(&name("u2")).expect("it is listed");
    upstream.add_result(gateway::Handle("h".into()), unit::ByteSize(39_990_000), ms(9_000));
    let mut queues = batch::Queues::default();
    push_near(&mut queues, 1, 2, 5_000, 8_000, Some("b"));
    let call = queues.dispatch(ms(0), &pool(), &terms(), &fleet).expect("both are free");
    assert_eq!(call.instance, name("u1"));
}

#[test]
fn fleet_room_after_refusals_is_what_fitted() {
    // Results differ in size: a few of a full call's pieces find no room.
    let mut fleet = fleet_of(&[("u1", "a")]);
    let total = unit::ByteSize(40_000_000);
    let upstream = fleet.get_mut(&name("u1")).expect("it is listed");
    upstream.add_result(gateway::Handle("h".into()), unit::ByteSize(39_000_000), ms(9_000));
    upstream.record_full(ms(0), total);
    assert_eq!(upstream.usable_memory(total), unit::ByteSize(39_000_000));
}

#[test]
fn fleet_room_recovers_after_refusals() {
    // Other gateways' results filled an upstream that held nothing for this one.
    let mut fleet = fleet_of(&[("u1", "a")]);
    let total = unit::ByteSize(40_000_000);
    let upstream = fleet.get_mut(&name("u1")).expect("it is listed");
    for _ in 0..5 {
        upstream.record_full(ms(0), total);
    }
    assert!(upstream.usable_memory(total).0 >= total.0 / 3, "a few pieces still go out");
    for second in 1..8 {
        fleet.update(ms(second * 900), vec![listed("u1", "a")]);
    }
    assert_eq!(fleet.get(&name("u1")).expect("it is listed").usable_memory(total), total);
}

#[test]
fn batch_leaves_slow_upstream_alone_for_a_while() {
    let mut fleet = fleet_of(&[("u1", "a"), ("u2", "a")]);
    for _ in 0..4 {
        fleet.record_success(ms(100), &name("u1"), Some(5.0));
    }
    fleet.record_sent(&name("u2"), 0);
    let mut queues = batch::Queues::default();
    push(&mut queues, 1, 1, 5_000, 8_000);
    assert!(queues.dispatch(ms(200), &pool(), &terms(), &fleet).is_none());
    assert!(queues.dispatch(ms(20_000), &pool(), &terms(), &fleet).is_some(), "tried again");
}

#[test]
fn wait_counts_work_ahead_by_rank() {
    let fleet = fleet_of(&[("u1", "a")]);
    let mut queues = batch::Queues::default();
    push(&mut queues, 1, 16, 60_000, 8_000);
    let wait = queues.estimate_wait(
        ms(0),
        &pool(),
        &terms(),
        &fleet,
        &[0, 8, 0, 0],
        pool_rate::RateFactor(1.0),
    );
    let call = terms().duration(8);
    assert_eq!(wait.on_time[0], call * 2);
    assert_eq!(wait.on_time[1], call * 3, "what is pledged at rank 1 is ahead of rank 1");
    assert_eq!(wait.late, call * 3);
}

#[test]
fn roster_agrees_on_batcher_and_moves_on_from_suspects() {
    let peers: Vec<_> = ["g1", "g2", "g3"]
        .into_iter()
        .map(|instance| roster::Peer {
            instance: name(instance),
            address: "10.0.0.1:81".parse().expect("an address"),
            domain: name("a"),
            weight: 100,
        })
        .collect();
    let mut one = roster::Roster::default();
    let mut two = roster::Roster::default();
    one.update(peers.clone());
    two.update(peers.into_iter().rev().collect());
    let first = one.batcher(ms(0), &pool(), &regions()).expect("one is alive").instance.clone();
    assert_eq!(two.batcher(ms(0), &pool(), &regions()).expect("one is alive").instance, first);
    one.mark_suspect(ms(0), &first);
    assert_ne!(one.batcher(ms(100), &pool(), &regions()).expect("two are").instance, first);
    assert_eq!(one.batcher(ms(5_000), &pool(), &regions()).expect("all are").instance, first);
    let west = roster::PoolId { service: name("encode"), region: name("west") };
    assert!(one.batcher(ms(0), &west, &regions()).is_none(), "none lives there");
}

#[test]
fn fleet_keeps_missing_upstreams_after_a_gap_only() {
    let mut fleet = fleet_of(&[("u1", "a"), ("u2", "a")]);
    // The store was away for five seconds; entries lapsed meanwhile.
    let change = fleet.update(ms(5_000), vec![listed("u1", "a")]);
    assert!(change.gone.is_empty(), "it has two seconds to come back");
    let change = fleet.update(ms(6_000), vec![listed("u1", "a")]);
    assert!(change.gone.is_empty());
    let change = fleet.update(ms(7_100), vec![listed("u1", "a")]);
    assert_eq!(change.gone, [name("u2")]);
    // Without a gap, missing is gone.
    let change = fleet.update(ms(8_000), vec![]);
    assert_eq!(change.gone, [name("u1")]);
}

#[test]
fn fleet_tells_another_life_and_leaving() {
    let mut fleet = fleet_of(&[("u1", "a")]);
    fleet.record_sent(&name("u1"), 7);
    let reborn = fleet::ListEntry { started_ms: Some(17), ..listed("u1", "a") };
    let change = fleet.update(ms(900), vec![reborn.clone()]);
    assert_eq!((change.gone, change.joined), (vec![name("u1")], vec![name("u1")]));
    assert_eq!(fleet.get(&name("u1")).expect("it is listed").in_flight, 0);
    let leaving = fleet::ListEntry { leaving: true, ..reborn };
    let change = fleet.update(ms(1_800), vec![leaving]);
    assert_eq!(change.leaving, [name("u1")]);
    assert_eq!(fleet.service_upstreams(&name("encode")).count(), 0, "no new work");
}

#[test]
fn fleet_never_ejects_all() {
    let mut fleet = fleet_of(&[("u1", "a"), ("u2", "a"), ("u3", "b")]);
    for instance in ["u1", "u2", "u3"] {
        for _ in 0..5 {
            fleet.record_failure(ms(10), &name(instance));
        }
    }
    let service = name("encode");
    assert!(fleet.service_upstreams(&service).any(|(_, up)| up.is_usable(ms(20))));
}

#[test]
fn freshness_ends_by_whichever_clock_says_more() {
    let start = clock::Now { mono: ms(1_000), wall: ms(50_000) };
    let mut lease = config_lease::ConfigLease::new(Some(ms(5_000)));
    assert!(!lease.is_valid(start), "never confirmed");
    lease.confirm(start);
    assert!(lease.is_valid(start.after(ms(4_800))));
    assert!(!lease.is_valid(start.after(ms(4_900))), "a margin is kept");
    let frozen = clock::Now { mono: ms(1_100), wall: ms(56_000) };
    assert!(!lease.is_valid(frozen), "the monotonic clock stood still");
    let stepped = clock::Now { mono: ms(7_000), wall: ms(48_000) };
    assert!(!lease.is_valid(stepped), "the wall clock was set back");
    lease.confirm(clock::Now { mono: ms(500), wall: ms(49_500) });
    assert_eq!(lease.age(start), Some(ms(0)), "an older read confirms nothing");
    assert!(!lease.is_recent(start.after(ms(3_500))), "callers should go elsewhere in time");
}

fn candidate(instance: &str, flying: u32) -> placement::Candidate {
    placement::Candidate {
        instance: name(instance),
        tier: routing::Tier::Domain,
        in_flight: flying,
        unread_tokens: 0,
        slowness: 1.0,
        region_bytes: unit::ByteSize(0),
        remote_bytes: unit::ByteSize(0),
    }
}

const PARTS: [placement::PromptPart; 3] = [
    placement::PromptPart { id: 1, tokens: 2_500 },
    placement::PromptPart { id: 2, tokens: 3_800 },
    placement::PromptPart { id: 3, tokens: 2_900 },
];

#[test]
fn place_goes_where_shared_parts_are_until_it_is_loaded() {
    let mut placement = placement::Placement::default();
    let idle = [candidate("e1", 0), candidate("e2", 0), candidate("e3", 0)];
    let first = placement.pick(ms(0), &PARTS, &idle).expect("there are engines").instance;
    placement.record(ms(0), &first, &PARTS);
    let again = placement.pick(ms(100), &PARTS, &idle).expect("there are engines");
    assert_eq!(again.instance, first);
    assert_eq!(again.tokens, 0, "all parts are in its cache");
    let loaded: Vec<_> = ["e1", "e2", "e3"]
        .into_iter()
        .map(|e| candidate(e, if first == name(e) { 120 } else { 0 }))
        .collect();
    let spread = placement.pick(ms(200), &PARTS, &loaded).expect("there are engines").instance;
    assert_ne!(spread, first, "a hot key spreads");
    placement.remove_engine(&first);
    assert_eq!(placement.pick(ms(300), &PARTS, &idle).expect("there are engines").tokens, 9_200);
}

#[test]
fn place_keeps_heavy_results_in_their_region() {
    let placement = placement::Placement::default();
    let far =
        placement::Candidate { remote_bytes: unit::ByteSize(3_000_000), ..candidate("e1", 0) };
    let near = candidate("e2", 40);
    let choice = placement.pick(ms(0), &PARTS, &[far, near]).expect("there are engines");
    assert_eq!(choice.instance, name("e2"));
}

fn load(estimate: u64, late: u64) -> admission::LatencyEstimate {
    admission::LatencyEstimate {
        on_time: ms(estimate),
        late: ms(late),
        target: ms(1_700),
        budget: ms(6_000),
        is_retry: false,
    }
}

#[test]
fn admission_table() {
    let back = |load| admission::LatencyEstimate { is_retry: true, ..load };
    let cases = [
        ("on time", load(1_000, 1_000), true),
        ("on time, though late work waits", load(1_400, 5_900), true),
        ("on time only if nothing goes wrong, late work waits", load(1_650, 5_900), false),
        ("nearly on time", load(1_900, 1_950), true),
        ("late", load(2_500, 3_000), false),
        ("late, but it came back", back(load(2_500, 3_000)), true),
        ("hopeless, though it came back", back(load(5_000, 5_500)), false),
    ];
    for (case, load, taken) in cases {
        assert_eq!(admission::decide(&load).is_ok(), taken, "{case}");
    }
    let taken = |load| admission::decide(&load).expect("it is taken in");
    assert_eq!(taken(load(1_400, 1_500)), admission::Class::OnTime);
    assert_eq!(taken(load(1_650, 1_700)), admission::Class::Late, "it yields to others");
    let refused = admission::decide(&load(2_500, 3_000)).expect_err("it is late");
    assert_eq!(refused.refusal.ran.to_string(), "no");
    assert_eq!(refused.retry_after, Some(ms(1_300)), "when the work ahead has gone down");
}

#[test]
fn event_stream_passes_whole_events_only() {
    let mut splitter = event_stream::Splitter::default();
    assert_eq!(splitter.push(b"id: 1\ndata: a\n"), Ok(None));
    let events = splitter.push(b"\nid: 2\ndata: b\n\nid: 3\nda").expect("in order");
    assert_eq!(events.as_deref(), Some(&b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"[..]));
    assert_eq!(splitter.last_id(), Some(2), "event 3 was cut");
}

#[test]
fn event_stream_refuses_doubled_events() {
    let mut splitter = event_stream::Splitter::resume_after(Some(4));
    assert_eq!(splitter.push(b"id: 4\ndata: x\n\n"), Err(event_stream::StreamError::OutOfOrder));
    let mut splitter = event_stream::Splitter::resume_after(Some(4));
    assert!(splitter.push(b"id: 5\ndata: x\n\n").expect("in order").is_some());
}

#[test]
fn engine_near_heavy_results_goes_before_the_favourite_of_short_prompts() {
    let placement = placement::Placement::default();
    let parts = [part(1, 100), part(2, 70), part(3, 540)];
    let engines = ["e1", "e2", "e3"].map(|engine| candidate(engine, 0));
    let favourite = placement.pick(ms(0), &parts, &engines).expect("three are there").instance;
    let away = engines.map(|candidate| {
        let near = if candidate.instance == favourite { 5_000_000 } else { 0 };
        placement::Candidate { region_bytes: unit::ByteSize(near), ..candidate }
    });
    let choice = placement.pick(ms(0), &parts, &away).expect("three are there");
    assert_ne!(choice.instance, favourite, "170 shared tokens are read again in 3 ms");
}

fn part(id: u64, tokens: u64) -> placement::PromptPart {
    placement::PromptPart { id, tokens }
}

#[test]
fn batch_group_without_a_place_is_not_begun() {
    let mut fleet = fleet_of(&[("u1", "a")]);
    let handle = gateway::Handle("h".into());
    let upstream = fleet.get_mut(&name("u1")).expect("it is listed");
    upstream.add_result(handle.clone(), unit::ByteSize(39_992_000), ms(9_000));
    let mut queues = batch::Queues::default();
    push(&mut queues, 1, 2, 1_000, 8_000);
    push(&mut queues, 2, 2, 9_000, 8_000);
    let call = queues.dispatch(ms(5_000), &pool(), &terms(), &fleet).expect("it is free");
    assert_eq!(groups(&call), [2], "there is room for one result");
    fleet.get_mut(&name("u1")).expect("it is listed").remove_result(&handle);
    push(&mut queues, 3, 2, 8_000, 8_000);
    let call = queues.dispatch(ms(5_100), &pool(), &terms(), &fleet).expect("it is free");
    assert_eq!(groups(&call), [2, 3, 3, 1, 1], "the late group still yields");
}

#[test]
fn pace_follows_calls_while_pieces_wait() {
    let mut pace = pool_rate::RateFactor::default();
    for _ in 0..60 {
        pace.record(&terms(), 4, terms().duration(8));
    }
    assert!((pace.0 - 0.5).abs() < 0.02, "half-full calls do half of the work: {pace:?}");
    let fleet = fleet_of(&[("u1", "a")]);
    let mut queues = batch::Queues::default();
    push(&mut queues, 1, 16, 60_000, 8_000);
    let none = batch::PiecesByRank::default();
    let nominal =
        queues.estimate_wait(ms(0), &pool(), &terms(), &fleet, &none, pool_rate::RateFactor(1.0));
    let slow =
        queues.estimate_wait(ms(0), &pool(), &terms(), &fleet, &none, pool_rate::RateFactor(0.5));
    assert_eq!(slow.on_time[0], nominal.on_time[0] * 2);
}

#[test]
fn wait_of_late_work_counts_on_what_is_left_over() {
    // Two requests for each that a call carries: nothing is left for late ones.
    let fleet = fleet_of(&[("u1", "a")]);
    let mut queues = batch::Queues::default();
    let none = batch::PiecesByRank::default();
    push(&mut queues, 1, 8, 100, 8_000);
    let wait = |queues: &batch::Queues| {
        queues.estimate_wait(
            ms(50_000),
            &pool(),
            &terms(),
            &fleet,
            &none,
            pool_rate::RateFactor(1.0),
        )
    };
    let before = wait(&queues);
    for group in 0..30 {
        push(&mut queues, 100 + 2 * group, 8, 90_000, 8_000);
        push(&mut queues, 101 + 2 * group, 8, 90_000, 8_000);
        let call = queues.dispatch(ms(50_000), &pool(), &terms(), &fleet).expect("it is free");
        assert!(!groups(&call).contains(&1), "the late group yields");
    }
    let behind = wait(&queues);
    let own = terms().duration(8);
    assert!(before.late < own * 2, "{before:?}");
    assert!(behind.late > behind.on_time[0] + own * 8, "{behind:?}");
}
