//! Tests of load shedding: what callers lose under bursts of load, by due time and by loss.

mod shedding_replay;

use std::collections;
use std::time;

use bramleyshelf_lib::shedding::{loss, plan};
use bramleyshelf_lib::{
    batch, clock, fleet, gateway, handoff, id, pool_rate, refusal, roster, shedding, unit,
};
use bramleyshelf_testutils::values::{ms, name};

use shedding_replay::{Kind, Replay, Stage, Tally};

fn micros(value: u64) -> time::Duration {
    time::Duration::from_micros(value)
}

/// Stage services at a third of the size of a fleet whose trace showed the loss.
fn stages() -> Vec<Stage> {
    let stage = |service, upstreams, piece_us, max_pieces, memory| Stage {
        service,
        upstreams,
        piece_time: micros(piece_us),
        max_pieces,
        memory,
    };
    vec![
        stage("scan", 6, 13_000, 10, 53_000_000),
        stage("rank", 5, 2_600, 50, 8_800_000),
        stage("sort", 6, 1_500, 84, 1_500_000),
    ]
}

/// Kinds of requests that use the stages.
fn kinds() -> Vec<Kind> {
    let chain = vec![("scan", 1, 8_000), ("rank", 8, 6_000), ("sort", 16, 1_000)];
    vec![
        Kind {
            name: "image",
            rank: 0,
            target: ms(1_000),
            deadline: ms(6_000),
            stages: vec![("scan", 2, 3_000_000)],
            rate: 15.0,
        },
        Kind {
            name: "search",
            rank: 1,
            target: ms(2_000),
            deadline: ms(5_000),
            stages: chain.clone(),
            rate: 62.0,
        },
        Kind {
            name: "report",
            rank: 2,
            target: ms(5_000),
            deadline: ms(15_000),
            stages: chain,
            rate: 16.0,
        },
    ]
}

/// Replays two bursts of 2.5 times the usual load for 7 s.
fn replay_bursts(overload: shedding::Overload) -> collections::BTreeMap<&'static str, Tally> {
    let mut replay = Replay::new(overload, 4, &kinds(), &stages());
    for factor in [1.0, 2.5, 1.0, 2.5, 1.0] {
        replay.load(if factor > 1.0 { 7.0 } else { 4.0 }, |_| factor);
    }
    replay.finish();
    replay.tally((0, replay.caller_count()))
}

/// Guards against requests that are admitted although work that can be on time leaves no capacity for
/// them: they waited until their deadline, and the work of their first stages was thrown away.
#[test]
fn burst_holds_few_callers_in_vain() {
    let due = replay_bursts(shedding::Overload::Due);
    let loss = replay_bursts(shedding::Overload::Loss);
    for (kind, tally) in &loss {
        println!("{kind} due {:?} loss {tally:?}", due[kind]);
    }
    assert!(2 * loss["search"].in_vain < due["search"].in_vain, "{due:?} {loss:?}");
    assert!(2 * loss["report"].in_vain < due["report"].in_vain, "{due:?} {loss:?}");
    assert!(loss["search"].on_time >= due["search"].on_time, "{due:?} {loss:?}");
    assert!(loss["image"].served() > 0.99, "{loss:?}");
}

/// Guards against a kind that is starved under a lasting overload, and against a lower rank that is
/// served more often than a higher one because it can wait longer.
#[test]
fn lasting_overload_keeps_the_floor_and_the_order_of_ranks() {
    for factor in [1.6, 2.5] {
        let mut replay = Replay::new(shedding::Overload::Loss, 4, &kinds(), &stages());
        replay.load(3.0, |_| 1.0);
        let overload = replay.load(20.0, |_| factor);
        replay.finish();
        let tallies = replay.tally(overload);
        println!("{factor} {tallies:?}");
        let sum = |count: fn(&Tally) -> u32| f64::from(tallies.values().map(count).sum::<u32>());
        let share = sum(|tally| tally.on_time + tally.late) / sum(Tally::total);
        for (kind, tally) in &tallies {
            assert!(tally.served() >= share / 4.0, "{kind} {factor}: {tallies:?}");
        }
        let [image, search, report] = ["image", "search", "report"].map(|k| tallies[k].served());
        assert!(search <= image + 0.05, "{factor}: {tallies:?}");
        assert!(report <= search + 0.05, "{factor}: {tallies:?}");
    }
}

/// Guards against an estimate that goes on refusing requests after a burst.
#[test]
fn nothing_stays_shed_after_a_burst() {
    let mut replay = Replay::new(shedding::Overload::Loss, 4, &kinds(), &stages());
    replay.load(3.0, |_| 1.0);
    replay.load(7.0, |_| 2.5);
    // Callers that were refused in the burst return for a while.
    replay.load(8.0, |_| 0.8);
    let after = replay.load(4.0, |_| 0.8);
    replay.finish();
    for (kind, tally) in replay.tally(after) {
        assert_eq!(tally.total(), tally.on_time, "{kind}: {tally:?}");
    }
}

/// Guards against a large team of the lowest rank that pushes out requests of higher ranks.
#[test]
fn large_team_of_the_lowest_rank_pushes_nobody_out() {
    let mut replay = Replay::new(shedding::Overload::Loss, 4, &kinds(), &stages());
    replay.load(3.0, |_| 0.8);
    let surge = replay.load(8.0, |kind| if kind.rank == 2 { 6.0 } else { 0.8 });
    replay.finish();
    let tallies = replay.tally(surge);
    for kind in ["image", "search"] {
        assert!(tallies[kind].on_time * 100 >= tallies[kind].total() * 97, "{tallies:?}");
    }
    let all = tallies.values().map(Tally::total).sum::<u32>();
    let served: u32 = tallies.values().map(|tally| tally.on_time + tally.late).sum();
    let share = f64::from(served) / f64::from(all);
    assert!(tallies["report"].served() >= share / 4.0, "{tallies:?}");
}

/// A gateway that knows one other one, whose pools are formed by either.
struct Pair {
    gateway: gateway::Gateway,
    now: time::Duration,
}

impl Pair {
    fn new(overload: shedding::Overload) -> Self {
        let mut pair = Self { gateway: shedding_replay::new_gateway(overload, 0), now: ms(10_000) };
        let table = shedding_replay::make_table(&kinds(), &stages());
        let confirmed = Some(clock::Now { mono: pair.now, wall: pair.now });
        pair.step(gateway::Event::TableRead { confirmed, table });
        let upstreams = shedding_replay::list_upstreams(&stages());
        pair.step(gateway::Event::UpstreamsListed(upstreams));
        // The gateway itself is left out, so that all pools are formed by the other one.
        let peers = shedding_replay::list_gateways(2).split_off(1);
        pair.step(gateway::Event::GatewaysListed(peers.into()));
        pair
    }

    fn step(&mut self, event: gateway::Event) -> Vec<gateway::Effect> {
        let mut effects = Vec::new();
        let now = clock::Now { mono: self.now, wall: self.now };
        self.gateway.step(now, event, &mut effects);
        effects.retain(|effect| !matches!(effect, gateway::Effect::Log(_)));
        effects
    }

    /// Lets a request of the kind `search` arrive, and returns the handover of its first stage.
    fn arrive(&mut self, budget: time::Duration) -> (batch::GroupId, handoff::Handover) {
        let arrival = gateway::Arrival {
            external_id: "x".to_owned(),
            host: "shop.example".to_owned(),
            path: "/search/1".to_owned(),
            budget: Some(budget),
            piece_counts: vec![1, 8, 16],
            input_key: Some("k".to_owned()),
            ..gateway::Arrival::default()
        };
        let request = id::RequestId(budget.as_millis());
        let effects = self.step(gateway::Event::RequestArrived(request, Box::new(arrival)));
        let handed_over = effects.into_iter().find_map(|effect| match effect {
            gateway::Effect::HandOver { group, message, .. } => Some((group, *message)),
            _ => None,
        });
        handed_over.expect("the first stage is handed over")
    }
}

/// Guards against messages that earlier releases cannot decode while the rule is by due time.
#[test]
fn handover_has_terms_only_if_requests_are_shed_by_loss() {
    let (_, message) = Pair::new(shedding::Overload::Due).arrive(ms(5_000));
    assert_eq!(message.shedding, None);
    let (_, message) = Pair::new(shedding::Overload::Loss).arrive(ms(5_000));
    let terms = message.shedding.expect("it has terms");
    // The later stages take at least 171 ms and 174 ms, and the engine some time.
    assert!(terms.latest_ms <= unit::Millis(5_000 - 345), "{terms:?}");
    assert!(terms.work_us > 0 && !terms.is_raised, "{terms:?}");
}

/// Guards against a caller that is held, or whose stage is handed over again, after the gateway that
/// forms the batches has given its pieces up.
#[test]
fn owner_refuses_at_once_what_the_batcher_gives_up() {
    let mut pair = Pair::new(shedding::Overload::Loss);
    let (group, message) = pair.arrive(ms(5_000));
    let result = handoff::HandoverResult {
        outcomes: vec![handoff::Outcome::Failed; message.pieces.len()],
        wait: batch::WaitEstimate::default(),
        retry_ms: Some(unit::Millis(900)),
    };
    let effects = pair.step(gateway::Event::HandoverEnded(group, Some(result)));
    let refusals: Vec<_> = effects
        .iter()
        .filter_map(|effect| match effect {
            gateway::Effect::Refuse { refusal, retry_after, .. } => {
                Some((refusal.kind, refusal.ran, *retry_after))
            }
            _ => None,
        })
        .collect();
    assert_eq!(refusals, [(refusal::Kind::Overloaded, refusal::Ran::No, Some(ms(900)))]);
    assert!(!effects.iter().any(|effect| matches!(effect, gateway::Effect::HandOver { .. })));
    assert_eq!(pair.gateway.request_count(), 0);
}

/// Guards against pieces that stay queued until their deadline although the queue before them shows
/// that they cannot be done, and against giving up those of gateways that would not understand it.
#[test]
fn batcher_gives_up_at_once_what_cannot_be_done() {
    for (overload, has_terms, expected) in [
        (shedding::Overload::Loss, true, true),
        (shedding::Overload::Loss, false, false),
        (shedding::Overload::Due, true, false),
    ] {
        let (_, template) = Pair::new(shedding::Overload::Loss).arrive(ms(5_000));
        let mut pair = Pair::new(overload);
        pair.now += ms(1_000);
        let mut given_up = 0;
        // Each handover is due now and fills half of a call. Only the first ones can be done in the
        // 600 ms that their requests allow.
        for handover in 0..60 {
            let terms = handoff::SheddingTerms {
                latest_ms: unit::Millis(600),
                work_us: 1_000,
                is_raised: false,
            };
            let message = handoff::Handover {
                pieces: (0..5).collect(),
                due_ms: 0,
                budget_ms: unit::Millis(4_000),
                shedding: has_terms.then_some(terms),
                ..template.clone()
            };
            let handover = gateway::HandoverId(handover);
            pair.step(gateway::Event::HandoverReceived(handover, Box::new(message)));
        }
        pair.now += ms(30);
        for effect in pair.step(gateway::Event::Tick) {
            if let gateway::Effect::AnswerHandover(_, result) = effect {
                let delay = result.retry_ms.expect("nothing was computed yet");
                assert!(delay >= unit::Millis(200), "{delay:?}");
                assert_eq!(result.outcomes, [const { handoff::Outcome::Failed }; 5]);
                given_up += 1;
            }
        }
        assert_eq!(given_up > 0, expected, "{overload:?} {has_terms}");
        assert!(given_up < 50, "{overload:?} {has_terms}: some can be done");
    }
}

/// Guards against a whole queue that is given up while all upstreams are full for a moment.
#[test]
fn nothing_is_given_up_while_all_upstreams_are_full_for_a_moment() {
    let pool = roster::PoolId { service: name("scan"), region: name("east") };
    let table = shedding_replay::make_table(&kinds(), &stages());
    let batching = table.services[&pool.service].batching.expect("it is a stage");
    let regions = collections::BTreeMap::from([(name("a"), name("east"))]);
    let mut fleet = fleet::Fleet::new(name("a"), regions);
    fleet.update(ms(0), shedding_replay::list_upstreams(&stages()));
    for index in 0..6 {
        let upstream = fleet.get_mut(&name(&format!("scan{index}"))).expect("it is listed");
        upstream.backoff_until = ms(1_060);
    }
    let mut queues = batch::Queues::new(shedding::Overload::Loss);
    for group in 0..12 {
        let id = batch::PieceId { group: batch::GroupId(group), piece: 0 };
        let terms = loss::Terms { latest: ms(1_700), work: ms(10), is_raised: false };
        let result_size = unit::ByteSize(8_000);
        let (due, near_domain, terms) = (ms(1_300), None, Some(terms));
        let piece = batch::QueuedPiece { id, due, rank: 1, result_size, near_domain, terms };
        queues.push(&pool, piece);
    }
    let given_up = queues.give_up(ms(1_000), &pool, &batching, &fleet);
    assert_eq!(given_up.groups, []);
}

/// Guards against a caller that loses its place in the queues when it returns after a refusal.
#[test]
fn returning_request_keeps_its_place() {
    let mut pair = Pair::new(shedding::Overload::Loss);
    let (_, first) = pair.arrive(ms(5_000));
    let (_, returning) = pair.arrive(ms(3_500));
    // Callers of the route start with 4.6 s on average, so this one has spent about 1.1 s.
    let spent = first.due_ms - returning.due_ms;
    assert!((1_000..1_300).contains(&spent), "{spent}");
}

/// Guards against an estimate for late work that ignores what on-time work takes in the meantime. It
/// admitted requests that then waited until their deadline.
#[test]
fn estimate_for_late_work_follows_the_batcher() {
    let mut waits = Vec::new();
    for overload in [shedding::Overload::Due, shedding::Overload::Loss] {
        let pool = roster::PoolId { service: name("sort"), region: name("east") };
        let stage = Stage { upstreams: 1, ..stages().remove(2) };
        let table = shedding_replay::make_table(&kinds(), std::slice::from_ref(&stage));
        let batching = table.services[&pool.service].batching.expect("it is a stage");
        let regions = collections::BTreeMap::from([(name("a"), name("east"))]);
        let mut fleet = fleet::Fleet::new(name("a"), regions);
        fleet.update(ms(0), shedding_replay::list_upstreams(&[stage]));
        let mut queues = batch::Queues::new(overload);
        // For 3 s, on-time groups fill each call. A late one is queued after 1 s.
        let late = batch::GroupId(1_000);
        let (mut now, mut sent_late) = (ms(0), false);
        let mut estimate = None;
        let push = |queues: &mut batch::Queues, group, due| {
            for piece in 0..28 {
                let id = batch::PieceId { group, piece };
                let terms = loss::Terms { latest: ms(60_000), work: ms(10), is_raised: false };
                let result_size = unit::ByteSize(1_000);
                let (near_domain, terms) = (None, Some(terms));
                let piece =
                    batch::QueuedPiece { id, due, rank: 1, result_size, near_domain, terms };
                queues.push(&pool, piece);
            }
        };
        for call in 0..10 {
            for group in 0..4 {
                push(&mut queues, batch::GroupId(call * 4 + group), now + ms(1_500));
            }
            if now >= ms(1_000) && estimate.is_none() {
                let (upcoming, rate) = ([0; batch::RANK_COUNT], pool_rate::RateFactor(1.0));
                let wait = queues.estimate_wait(now, &pool, &batching, &fleet, &upcoming, rate);
                estimate = Some(wait.late);
                push(&mut queues, late, ms(0));
            }
            let sent = queues.dispatch(now, &pool, &batching, &fleet).expect("it is idle");
            sent_late |= sent.pieces.iter().any(|piece| piece.id.group == late);
            now += batching.duration(sent.pieces.len());
        }
        assert!(!sent_late, "on-time work leaves nothing to late work");
        waits.push(estimate.expect("it was estimated"));
    }
    assert!(waits[1] > ms(2_000) && waits[1] > waits[0], "{waits:?}");
}

fn job(due: u64, rank: u8) -> plan::Job {
    plan::Job {
        is_started: false,
        rank,
        order: ms(due),
        due: ms(due),
        latest: ms(due + 3_000),
        run_time: ms(200),
        pool_time: ms(100),
        work: ms(100),
        is_raised: false,
    }
}

const CAPACITY: plan::Capacity = plan::Capacity {
    start: time::Duration::ZERO,
    call_time: time::Duration::from_millis(100),
    spare_share: 0.5,
};

/// Guards against a queue in which each group is a little late.
#[test]
fn plan_sheds_the_group_with_the_lowest_loss_per_work() {
    use plan::Place::{OnTime, Yielding};
    // The third group would end at 400 ms; one of the three has to yield.
    let jobs = [job(300, 1), job(320, 2), job(340, 1)];
    assert_eq!(plan::plan(ms(0), CAPACITY, &jobs), [OnTime, Yielding(0), OnTime]);
    // What was done for a request makes its rest cheaper.
    let cheap = plan::Job { work: ms(10), ..job(320, 2) };
    let jobs = [job(300, 1), cheap, job(340, 1)];
    assert_eq!(plan::plan(ms(0), CAPACITY, &jobs), [OnTime, OnTime, Yielding(0)]);
    // A started group goes first, and a late one does not push others out.
    let started = plan::Job { is_started: true, ..job(100, 2) };
    let jobs = [started, job(100, 0), job(300, 2)];
    assert_eq!(plan::plan(ms(0), CAPACITY, &jobs), [plan::Place::Started, Yielding(0), OnTime]);
}

/// Guards against groups that wait until their callers give up.
#[test]
fn plan_gives_up_what_cannot_be_done_before_its_deadline() {
    let late = plan::Job { latest: ms(500), ..job(100, 1) };
    let hopeless = plan::Job { latest: ms(199), ..job(100, 1) };
    // Groups that yield get half of the pool, so that each takes 200 ms and then runs for 200 ms.
    let places = plan::plan(ms(0), CAPACITY, &[late, late, hopeless]);
    assert_eq!(places, [plan::Place::Yielding(0), plan::Place::GivenUp, plan::Place::GivenUp]);
}

/// Guards against a loss that rises when a request can only be late, or with a lower rank.
#[test]
fn loss_falls_with_rank_lateness_and_hopelessness() {
    let prospect = |rank, end| loss::Prospect { rank, end: ms(end), due: ms(10), latest: ms(20) };
    assert!(prospect(0, 5).loss() > prospect(1, 5).loss());
    assert!(prospect(1, 5).loss() > prospect(1, 15).loss());
    assert!(prospect(1, 15).loss() > 0.0);
    assert!(prospect(0, 25).loss() <= 0.0);
}

/// The answer to a handover as earlier releases decode it.
#[derive(Debug, serde::Deserialize)]
struct EarlierResult {
    #[serde(rename = "pieces")]
    outcomes: Vec<handoff::Outcome>,
    wait: batch::WaitEstimate,
}

/// Guards against answers that gateways of an earlier release cannot decode while the rule is by due
/// time, and against the belief that they could ignore the new field.
#[test]
fn earlier_releases_decode_answers_without_the_new_field() {
    let result = |retry_ms| {
        let outcomes = vec![handoff::Outcome::Failed];
        let wait = batch::WaitEstimate::default();
        rmp_serde::to_vec(&handoff::HandoverResult { outcomes, wait, retry_ms }).expect("encoded")
    };
    let decoded: EarlierResult = rmp_serde::from_slice(&result(None)).expect("it is decoded");
    assert_eq!((decoded.outcomes.len(), decoded.wait), (1, batch::WaitEstimate::default()));
    let with_field = result(Some(unit::Millis(900)));
    assert!(rmp_serde::from_slice::<EarlierResult>(&with_field).is_err());
    let decoded: handoff::HandoverResult = rmp_serde::from_slice(&with_field).expect("decoded");
    assert_eq!(decoded.retry_ms, Some(unit::Millis(900)));
}
