//! Tests of the gateway's parts: batches, placement, admission, the fleet, the roster, leases and
//! event streams.

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

fn entry(instance: &str, domain: &str) -> fleet::ListEntry {
    fleet::ListEntry {
        instance: name(instance),
        service: name("encode"),
        address: "10.0.0.1:80".parse().expect("an address"),
        domain: name(domain),
        version: name("v1"),
        leaving: false,
        started_ms: None,
        cold_left: None,
    }
}

fn fleet_of(instances: &[(&str, &str)]) -> fleet::Fleet {
    let mut fleet = fleet::Fleet::new(name("a"), regions());
    fleet.update(ms(0), instances.iter().map(|(i, d)| entry(i, d)).collect());
    fleet
}

fn pool() -> roster::PoolId {
    roster::PoolId { service: name("encode"), region: name("east") }
}

fn batching() -> table::Batching {
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
    push_with_inputs(queues, group, pieces, due, size, None);
}

/// Queues a group whose inputs are stored in the given failure domain.
fn push_with_inputs(
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
                near_domain: inputs,
                terms: None,
            },
        );
    }
}

fn groups(dispatch: &batch::Dispatch) -> Vec<u64> {
    dispatch.pieces.iter().map(|piece| piece.id.group.0).collect()
}

#[test]
fn batch_combines_pieces_of_many_requests_while_busy() {
    let mut fleet = fleet_of(&[("u1", "a")]);
    let mut queues = batch::Queues::default();
    push(&mut queues, 1, 2, 5_000, 8_000);
    let first = queues.dispatch(ms(0), &pool(), &batching(), &fleet).expect("an upstream is idle");
    assert_eq!(groups(&first), [1, 1]);
    fleet.record_sent(&first.instance, 0);
    for group in 2..6 {
        push(&mut queues, group, 3, 5_000, 8_000);
        assert!(queues.dispatch(ms(10), &pool(), &batching(), &fleet).is_none(), "it is busy");
    }
    fleet.record_ended(&first.instance, 0);
    let next = queues.dispatch(ms(200), &pool(), &batching(), &fleet).expect("it is idle again");
    assert_eq!(next.pieces.len(), 8, "the call is full");
}

#[test]
fn batch_sends_on_time_groups_before_late_ones() {
    let fleet = fleet_of(&[("u1", "a")]);
    let mut queues = batch::Queues::default();
    push(&mut queues, 1, 4, 1_000, 8_000);
    push(&mut queues, 2, 4, 9_000, 8_000);
    push(&mut queues, 3, 4, 8_000, 8_000);
    let call = queues.dispatch(ms(5_000), &pool(), &batching(), &fleet).expect("it is idle");
    assert_eq!(groups(&call), [3, 3, 3, 3, 2, 2, 2, 2], "the late group 1 comes last");
}

#[test]
fn batch_sends_started_groups_first() {
    let mut fleet = fleet_of(&[("u1", "a")]);
    let mut queues = batch::Queues::default();
    push(&mut queues, 1, 10, 1_000, 8_000);
    let first = queues.dispatch(ms(0), &pool(), &batching(), &fleet).expect("it is idle");
    assert_eq!(first.pieces.len(), 8);
    fleet.record_sent(&first.instance, 0);
    push(&mut queues, 2, 8, 900, 8_000);
    fleet.record_ended(&first.instance, 0);
    // Group 1 is late by now. If it yielded, its results would occupy memory for longer.
    let next = queues.dispatch(ms(5_000), &pool(), &batching(), &fleet).expect("it is idle");
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
    let call = queues.dispatch(ms(0), &pool(), &batching(), &fleet).expect("it is idle");
    assert_eq!(groups(&call), [3, 3], "only three heavy results fit; light groups may overtake");
}

// Load pattern: a request has more pieces than one call carries, and upstreams always hold results
// of others. The group can only be split; it must not wait for an empty upstream until its caller
// gives up, nor keep other heavy groups waiting.
#[test]
fn batch_splits_heavy_groups_larger_than_a_call() {
    let mut fleet = fleet_of(&[("u1", "a")]);
    let upstream = fleet.get_mut(&name("u1")).expect("it is listed");
    upstream.add_result(gateway::Handle("h".into()), unit::ByteSize(3_000_000), ms(9_000));
    let mut queues = batch::Queues::default();
    push(&mut queues, 1, 10, 5_000, 3_000_000);
    push(&mut queues, 2, 2, 5_100, 3_000_000);
    let first = queues.dispatch(ms(0), &pool(), &batching(), &fleet).expect("it is idle");
    assert_eq!(groups(&first), [1; 8]);
    let rest = queues.dispatch(ms(0), &pool(), &batching(), &fleet).expect("it is idle");
    assert_eq!(groups(&rest), [1, 1, 2, 2]);
}

#[test]
fn batch_prefers_upstreams_near_its_inputs() {
    let mut fleet = fleet_of(&[("u1", "a"), ("u2", "b")]);
    let mut queues = batch::Queues::default();
    push_with_inputs(&mut queues, 1, 2, 5_000, 8_000, Some("b"));
    let call = queues.dispatch(ms(0), &pool(), &batching(), &fleet).expect("both are idle");
    assert_eq!(call.instance, name("u2"));
    // Under load, each upstream gets groups with local inputs first, but no group is overtaken when
    // it could be late.
    fleet.record_sent(&name("u2"), 0);
    push_with_inputs(&mut queues, 2, 6, 5_000, 8_000, Some("b"));
    push_with_inputs(&mut queues, 3, 6, 5_050, 8_000, Some("a"));
    let call = queues.dispatch(ms(0), &pool(), &batching(), &fleet).expect("one is idle");
    assert_eq!(groups(&call)[..6], [3; 6]);
    push_with_inputs(&mut queues, 4, 8, 9_000, 8_000, Some("a"));
    let call = queues.dispatch(ms(4_500), &pool(), &batching(), &fleet).expect("one is idle");
    assert_eq!(groups(&call)[0], 2, "it is due long before group 4, and soon");
}

// Load pattern: the upstreams next to the inputs are busy for a moment while others are idle. Each
// piece of the next stage would fetch all results over the links between failure domains.
#[test]
fn batch_waits_for_the_failure_domain_of_the_inputs() {
    // Group, due time, size of a result, failure domain of the inputs, whether it waits.
    let cases = [
        ("it has time", 1_000, 8_000, "a", true),
        ("it could be late", 480, 8_000, "a", false),
        ("its results are heavy", 1_000, 3_000_000, "a", false),
        ("its inputs are here", 1_000, 8_000, "b", false),
        ("no upstream is next to the inputs", 1_000, 8_000, "c", false),
    ];
    for (case, due, size, inputs, waits) in cases {
        let mut fleet = fleet_of(&[("u1", "a"), ("u2", "b")]);
        fleet.record_sent(&name("u1"), 0);
        let mut queues = batch::Queues::default();
        push_with_inputs(&mut queues, 1, 4, due, size, Some(inputs));
        let call = queues.dispatch(ms(0), &pool(), &batching(), &fleet);
        assert_eq!(call.is_none(), waits, "{case}");
        // A group that waits does not hold others up.
        push(&mut queues, 2, 4, due + 100, 8_000);
        let call = queues.dispatch(ms(0), &pool(), &batching(), &fleet);
        assert!(call.is_some_and(|call| groups(&call) == [2; 4]), "{case}");
    }
}

#[test]
fn batch_leaves_no_upstream_idle_with_a_backlog() {
    let mut fleet = fleet_of(&[("u1", "a"), ("u2", "b")]);
    fleet.record_sent(&name("u1"), 0);
    let mut queues = batch::Queues::default();
    // Calls carry 8 pieces, and there are two upstreams.
    push_with_inputs(&mut queues, 1, 8, 5_000, 8_000, Some("a"));
    assert!(queues.dispatch(ms(0), &pool(), &batching(), &fleet).is_none(), "it waits");
    push_with_inputs(&mut queues, 2, 1, 5_000, 8_000, Some("a"));
    assert!(queues.dispatch(ms(0), &pool(), &batching(), &fleet).is_some());
}

#[test]
fn batch_keeps_a_split_group_in_one_failure_domain() {
    let mut fleet = fleet_of(&[("u1", "a"), ("u2", "b")]);
    let mut queues = batch::Queues::default();
    push(&mut queues, 1, 10, 5_000, 8_000);
    let first = queues.dispatch(ms(0), &pool(), &batching(), &fleet).expect("both are idle");
    assert_eq!(first.pieces.len(), 8);
    fleet.record_sent(&first.instance, 0);
    assert!(queues.dispatch(ms(0), &pool(), &batching(), &fleet).is_none(), "the rest waits");
    fleet.record_ended(&first.instance, 0);
    let rest = queues.dispatch(ms(280), &pool(), &batching(), &fleet).expect("both are idle");
    assert_eq!((rest.instance, rest.pieces.len()), (first.instance, 2));
}

#[test]
fn batch_prefers_free_memory_to_near_inputs() {
    let mut fleet = fleet_of(&[("u1", "a"), ("u2", "b")]);
    let upstream = fleet.get_mut(&name("u2")).expect("it is listed");
    upstream.add_result(gateway::Handle("h".into()), unit::ByteSize(39_990_000), ms(9_000));
    let mut queues = batch::Queues::default();
    push_with_inputs(&mut queues, 1, 2, 5_000, 8_000, Some("b"));
    let call = queues.dispatch(ms(0), &pool(), &batching(), &fleet).expect("both are idle");
    assert_eq!(call.instance, name("u1"));
}

/// Guards against calls to an upstream that is slow at this moment while another one is idle, and
/// against figures that stay in use although paces change many times a second.
#[test]
fn batch_prefers_the_lowest_recent_pace() {
    // Paces of u1 and u2, age of the reports, upstream that is called. Without a difference, u1 is
    // called, as it holds fewer results.
    let cases = [
        (Some(250), Some(100), 300, "u2"),
        (Some(250), Some(100), 301, "u1"),
        (Some(250), None, 0, "u2"),
        (None, Some(60), 0, "u2"),
        (None, Some(250), 0, "u1"),
        (Some(108), Some(101), 0, "u1"),
    ];
    for (first, second, age, expected) in cases {
        let mut fleet = fleet_of(&[("u1", "a"), ("u2", "a")]);
        let upstream = fleet.get_mut(&name("u2")).expect("it is listed");
        upstream.add_result(gateway::Handle("h".into()), unit::ByteSize(8_000), ms(9_000));
        for (instance, pace) in [("u1", first), ("u2", second)] {
            let load = fleet::Load { slots: 1, pace, ..fleet::Load::default() };
            fleet.record_load(ms(1_000), &name(instance), load);
        }
        let mut queues = batch::Queues::default();
        push(&mut queues, 1, 2, 5_000, 8_000);
        let call = queues.dispatch(ms(1_000 + age), &pool(), &batching(), &fleet);
        let called = call.expect("both are idle").instance;
        assert_eq!(called, name(expected), "{first:?} {second:?} {age}");
    }
}

#[test]
fn fleet_memory_share_falls_to_what_fitted() {
    // Results differ in size, so that some pieces of a full call find no memory.
    let mut fleet = fleet_of(&[("u1", "a")]);
    let total = unit::ByteSize(40_000_000);
    let upstream = fleet.get_mut(&name("u1")).expect("it is listed");
    upstream.add_result(gateway::Handle("h".into()), unit::ByteSize(39_000_000), ms(9_000));
    upstream.record_full(ms(0), total);
    assert_eq!(upstream.usable_memory(total), unit::ByteSize(39_000_000));
}

#[test]
fn fleet_memory_recovers_after_rejections() {
    // Results of other gateways filled an upstream that stores nothing for this gateway.
    let mut fleet = fleet_of(&[("u1", "a")]);
    let total = unit::ByteSize(40_000_000);
    let upstream = fleet.get_mut(&name("u1")).expect("it is listed");
    for _ in 0..5 {
        upstream.record_full(ms(0), total);
    }
    assert!(upstream.usable_memory(total).0 >= total.0 / 3, "a few pieces are still sent");
    for second in 1..8 {
        fleet.update(ms(second * 900), vec![entry("u1", "a")]);
    }
    assert_eq!(fleet.get(&name("u1")).expect("it is listed").usable_memory(total), total);
}

#[test]
fn batch_avoids_slow_upstream_for_a_while() {
    let mut fleet = fleet_of(&[("u1", "a"), ("u2", "a")]);
    for _ in 0..4 {
        fleet.record_success(ms(100), &name("u1"), Some(5.0));
    }
    fleet.record_sent(&name("u2"), 0);
    let mut queues = batch::Queues::default();
    push(&mut queues, 1, 1, 5_000, 8_000);
    assert!(queues.dispatch(ms(200), &pool(), &batching(), &fleet).is_none());
    assert!(
        queues.dispatch(ms(20_000), &pool(), &batching(), &fleet).is_some(),
        "it is tried again"
    );
}

#[test]
fn wait_counts_earlier_work_by_rank() {
    let fleet = fleet_of(&[("u1", "a")]);
    let mut queues = batch::Queues::default();
    push(&mut queues, 1, 16, 60_000, 8_000);
    let wait = queues.estimate_wait(
        ms(0),
        &pool(),
        &batching(),
        &fleet,
        &[0, 8, 0, 0],
        pool_rate::RateFactor(1.0),
    );
    let call = batching().duration(8);
    assert_eq!(wait.on_time[0], call * 2);
    assert_eq!(wait.on_time[1], call * 3, "upcoming pieces of rank 1 come first");
    assert_eq!(wait.late, call * 3);
}

#[test]
fn roster_chooses_one_batcher_and_excludes_suspects() {
    let peers: Vec<_> = ["g1", "g2", "g3"]
        .into_iter()
        .map(|instance| roster::Peer {
            instance: name(instance),
            address: "10.0.0.1:81".parse().expect("an address"),
            domain: name("a"),
            weight: 100,
        })
        .collect();
    let mut first_view = roster::Roster::default();
    let mut second_view = roster::Roster::default();
    first_view.update(ms(0), peers.clone());
    second_view.update(ms(0), peers.into_iter().rev().collect());
    let batcher =
        first_view.batcher(ms(0), &pool(), &regions()).expect("one is alive").instance.clone();
    assert_eq!(
        second_view.batcher(ms(0), &pool(), &regions()).expect("one is alive").instance,
        batcher
    );
    first_view.mark_suspect(ms(0), &batcher);
    assert_ne!(
        first_view.batcher(ms(100), &pool(), &regions()).expect("two are left").instance,
        batcher
    );
    assert_eq!(
        first_view.batcher(ms(5_000), &pool(), &regions()).expect("all are eligible").instance,
        batcher
    );
    let west = roster::PoolId { service: name("encode"), region: name("west") };
    assert!(first_view.batcher(ms(0), &west, &regions()).is_none(), "the region has no gateway");
}

#[test]
fn fleet_keeps_missing_upstreams_after_a_gap_only() {
    let mut fleet = fleet_of(&[("u1", "a"), ("u2", "a")]);
    // The store was unavailable for five seconds, and registrations expired.
    let change = fleet.update(ms(5_000), vec![entry("u1", "a")]);
    assert!(change.gone.is_empty(), "it has two seconds to register again");
    let change = fleet.update(ms(6_000), vec![entry("u1", "a")]);
    assert!(change.gone.is_empty());
    let change = fleet.update(ms(7_100), vec![entry("u1", "a")]);
    assert_eq!(change.gone, [name("u2")]);
    // Without a gap, an upstream that is not listed is gone.
    let change = fleet.update(ms(8_000), vec![]);
    assert_eq!(change.gone, [name("u1")]);
}

#[test]
fn fleet_detects_restarted_and_leaving_upstreams() {
    let mut fleet = fleet_of(&[("u1", "a")]);
    fleet.record_sent(&name("u1"), 7);
    let restarted = fleet::ListEntry { started_ms: Some(17), ..entry("u1", "a") };
    let change = fleet.update(ms(900), vec![restarted.clone()]);
    assert_eq!((change.gone, change.joined), (vec![name("u1")], vec![name("u1")]));
    assert_eq!(fleet.get(&name("u1")).expect("it is listed").in_flight, 0);
    let leaving = fleet::ListEntry { leaving: true, ..restarted };
    let change = fleet.update(ms(1_800), vec![leaving]);
    assert_eq!(change.leaving, [name("u1")]);
    assert_eq!(fleet.service_upstreams(&name("encode")).count(), 0, "it gets no new calls");
}

#[test]
fn fleet_does_not_eject_all_upstreams() {
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
fn config_lease_ends_by_the_faster_clock() {
    let start = clock::Now { mono: ms(1_000), wall: ms(50_000) };
    let mut lease = config_lease::ConfigLease::new(Some(ms(5_000)));
    assert!(!lease.is_valid(start), "no read has confirmed it yet");
    lease.confirm(start);
    assert!(lease.is_valid(start.after(ms(4_800))));
    assert!(
        !lease.is_valid(start.after(ms(4_900))),
        "it ends before the bound, because clock rates differ"
    );
    let frozen = clock::Now { mono: ms(1_100), wall: ms(56_000) };
    assert!(!lease.is_valid(frozen), "the monotonic clock stopped");
    let stepped = clock::Now { mono: ms(7_000), wall: ms(48_000) };
    assert!(!lease.is_valid(stepped), "the wall clock was set back");
    lease.confirm(clock::Now { mono: ms(500), wall: ms(49_500) });
    assert_eq!(lease.age(start), Some(ms(0)), "an earlier read has no effect");
    assert!(
        !lease.is_recent(start.after(ms(3_500))),
        "new callers should go elsewhere before it ends"
    );
}

fn candidate(instance: &str, in_flight: u32) -> placement::Candidate {
    placement::Candidate {
        instance: name(instance),
        tier: routing::Tier::Domain,
        in_flight,
        pace: 1.0,
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
fn placement_follows_shared_parts_up_to_a_load() {
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
    assert_ne!(spread, first, "a hot prompt moves to another engine");
    placement.remove_engine(&first);
    assert_eq!(placement.pick(ms(300), &PARTS, &idle).expect("there are engines").tokens, 9_200);
}

#[test]
fn placement_keeps_heavy_results_in_their_region() {
    let placement = placement::Placement::default();
    let far =
        placement::Candidate { remote_bytes: unit::ByteSize(3_000_000), ..candidate("e1", 0) };
    let near = candidate("e2", 40);
    let choice = placement.pick(ms(0), &PARTS, &[far, near]).expect("there are engines");
    assert_eq!(choice.instance, name("e2"));
}

fn estimate(on_time: u64, late: u64) -> admission::LatencyEstimate {
    admission::LatencyEstimate {
        on_time: ms(on_time),
        late: ms(late),
        target: ms(1_700),
        budget: ms(6_000),
        is_retry: false,
    }
}

#[test]
fn admission_table() {
    let retry = |estimate| admission::LatencyEstimate { is_retry: true, ..estimate };
    let cases = [
        ("on time", estimate(1_000, 1_000), true),
        ("on time, late work is queued", estimate(1_400, 5_900), true),
        ("on time by a narrow margin, late work is queued", estimate(1_650, 5_900), false),
        ("nearly on time", estimate(1_900, 1_950), true),
        ("late", estimate(2_500, 3_000), false),
        ("late, but a retry", retry(estimate(2_500, 3_000)), true),
        ("too late even for a retry", retry(estimate(5_000, 5_500)), false),
    ];
    for (case, estimate, is_admitted) in cases {
        assert_eq!(admission::decide(&estimate).is_ok(), is_admitted, "{case}");
    }
    let class_of = |estimate| admission::decide(&estimate).expect("it is admitted");
    assert_eq!(class_of(estimate(1_400, 1_500)), admission::Class::OnTime);
    assert_eq!(class_of(estimate(1_650, 1_700)), admission::Class::Late, "it yields to others");
    let refused = admission::decide(&estimate(2_500, 3_000)).expect_err("it is late");
    assert_eq!(refused.refusal.ran.to_string(), "no");
    assert_eq!(refused.retry_after, Some(ms(1_300)), "the excess over the target");
}

#[test]
fn event_stream_passes_only_complete_events() {
    let mut splitter = event_stream::Splitter::default();
    assert_eq!(splitter.push(b"id: 1\ndata: a\n"), Ok(None));
    let events = splitter.push(b"\nid: 2\ndata: b\n\nid: 3\nda").expect("in order");
    assert_eq!(events.as_deref(), Some(&b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"[..]));
    assert_eq!(splitter.last_id(), Some(2), "event 3 is incomplete");
}

#[test]
fn event_stream_rejects_repeated_events() {
    let mut splitter = event_stream::Splitter::resume_after(Some(4));
    assert_eq!(splitter.push(b"id: 4\ndata: x\n\n"), Err(event_stream::StreamError::OutOfOrder));
    let mut splitter = event_stream::Splitter::resume_after(Some(4));
    assert!(splitter.push(b"id: 5\ndata: x\n\n").expect("in order").is_some());
}

#[test]
fn placement_prefers_engine_near_heavy_results_for_short_prompts() {
    let placement = placement::Placement::default();
    let parts = [part(1, 100), part(2, 70), part(3, 540)];
    let engines = ["e1", "e2", "e3"].map(|engine| candidate(engine, 0));
    let preferred = placement.pick(ms(0), &parts, &engines).expect("there are engines").instance;
    let remote = engines.map(|candidate| {
        let bytes = if candidate.instance == preferred { 5_000_000 } else { 0 };
        placement::Candidate { region_bytes: unit::ByteSize(bytes), ..candidate }
    });
    let choice = placement.pick(ms(0), &parts, &remote).expect("there are engines");
    assert_ne!(choice.instance, preferred, "reading 170 shared tokens again takes only 3 ms");
}

fn part(id: u64, tokens: u64) -> placement::PromptPart {
    placement::PromptPart { id, tokens }
}

#[test]
fn batch_group_without_sent_pieces_is_not_started() {
    let mut fleet = fleet_of(&[("u1", "a")]);
    let handle = gateway::Handle("h".into());
    let upstream = fleet.get_mut(&name("u1")).expect("it is listed");
    upstream.add_result(handle.clone(), unit::ByteSize(39_992_000), ms(9_000));
    let mut queues = batch::Queues::default();
    push(&mut queues, 1, 2, 1_000, 8_000);
    push(&mut queues, 2, 2, 9_000, 8_000);
    let call = queues.dispatch(ms(5_000), &pool(), &batching(), &fleet).expect("it is idle");
    assert_eq!(groups(&call), [2], "there is room for one result");
    fleet.get_mut(&name("u1")).expect("it is listed").remove_result(&handle);
    push(&mut queues, 3, 2, 8_000, 8_000);
    let call = queues.dispatch(ms(5_100), &pool(), &batching(), &fleet).expect("it is idle");
    assert_eq!(groups(&call), [2, 3, 3, 1, 1], "the late group comes last");
}

#[test]
fn pool_rate_follows_calls_with_a_backlog() {
    let mut rate = pool_rate::RateFactor::default();
    for _ in 0..60 {
        rate.record(&batching(), 4, batching().duration(8));
    }
    assert!((rate.0 - 0.5).abs() < 0.02, "half-full calls have half of the nominal rate: {rate:?}");
    let fleet = fleet_of(&[("u1", "a")]);
    let mut queues = batch::Queues::default();
    push(&mut queues, 1, 16, 60_000, 8_000);
    let no_upcoming = batch::PiecesByRank::default();
    let nominal = queues.estimate_wait(
        ms(0),
        &pool(),
        &batching(),
        &fleet,
        &no_upcoming,
        pool_rate::RateFactor(1.0),
    );
    let slow = queues.estimate_wait(
        ms(0),
        &pool(),
        &batching(),
        &fleet,
        &no_upcoming,
        pool_rate::RateFactor(0.5),
    );
    assert_eq!(slow.on_time[0], nominal.on_time[0] * 2);
}

#[test]
fn wait_of_late_work_depends_on_spare_capacity() {
    // Twice the pieces that calls can carry are on time, so that no capacity is left for late ones.
    let fleet = fleet_of(&[("u1", "a")]);
    let mut queues = batch::Queues::default();
    let no_upcoming = batch::PiecesByRank::default();
    push(&mut queues, 1, 8, 100, 8_000);
    let wait = |queues: &batch::Queues| {
        queues.estimate_wait(
            ms(50_000),
            &pool(),
            &batching(),
            &fleet,
            &no_upcoming,
            pool_rate::RateFactor(1.0),
        )
    };
    let without_backlog = wait(&queues);
    for group in 0..30 {
        push(&mut queues, 100 + 2 * group, 8, 90_000, 8_000);
        push(&mut queues, 101 + 2 * group, 8, 90_000, 8_000);
        let call = queues.dispatch(ms(50_000), &pool(), &batching(), &fleet).expect("it is idle");
        assert!(!groups(&call).contains(&1), "the late group is not sent");
    }
    let with_backlog = wait(&queues);
    let call = batching().duration(8);
    assert!(without_backlog.late < call * 2, "{without_backlog:?}");
    assert!(with_backlog.late > with_backlog.on_time[0] + call * 8, "{with_backlog:?}");
}
