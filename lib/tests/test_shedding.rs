//! Tests of load shedding: what callers lose under bursts of load, by due time and by loss.

mod shedding_replay;

use std::collections;
use std::time;

use bramleyshelf_lib::shedding::{loss, plan};
use bramleyshelf_lib::{batch, handoff, shedding, unit};
use bramleyshelf_testutils::values::ms;

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
    }
}

const CAPACITY: plan::Capacity = plan::Capacity { start: time::Duration::ZERO, spare_share: 0.5 };

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
