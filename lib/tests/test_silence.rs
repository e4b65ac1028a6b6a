//! Tests of calls that fall silent: whether the gateway ends them, and what their requests get.

use std::sync;

use bramleyshelf_lib::{gateway, id, shedding, table};
use bramleyshelf_testutils::values::ms;
use gateway_harness::{Harness, batch_call, request_call, staged_route, table};

mod gateway_harness;

const BROKEN: gateway::Outcome =
    gateway::Outcome::Broken { last: Some(3), cause: gateway::BreakCause::Timeout };

/// Returns the call that is told to end, if one is.
fn ended_call(effects: &[gateway::Effect]) -> Option<gateway::CallId> {
    effects.iter().find_map(|effect| match effect {
        gateway::Effect::EndCall(call) => Some(*call),
        _ => None,
    })
}

/// Lets a stream arrive and begin. Returns its call.
fn begin_stream(harness: &mut Harness, path: &str) -> gateway::RequestCall {
    let (_, effects) = harness.arrive(path);
    let call = request_call(&effects).expect("it is sent").clone();
    harness.step(gateway::Event::AnswerStarted(call.call));
    call
}

/// Returns a table in which streams with stages may run twice.
fn table_with_resumable_stages() -> sync::Arc<table::Table> {
    let mut table = (*table(6, &["key"])).clone();
    let staged = staged_route();
    let kind = table::RequestKind::Resumable;
    *table.routes.last_mut().expect("the staged route") =
        sync::Arc::new(table::Route { kind, max_attempts: 2, ..(*staged).clone() });
    sync::Arc::new(table)
}

/// Lets a stream with two stages arrive and begin. Returns its call.
fn begin_staged_stream(harness: &mut Harness) -> gateway::CallId {
    harness.apply_table(&table_with_resumable_stages());
    let (_, effects) = harness.arrive("/guide/1");
    let effects = harness.complete_batch(&batch_call(&effects).clone());
    let effects = harness.complete_batch(&batch_call(&effects).clone());
    let call = request_call(&effects).expect("its stages are done").call;
    harness.step(gateway::Event::AnswerStarted(call));
    call
}

/// Lets a stream with two stages arrive and begin, and says that it is silent. Returns its call and the
/// effects.
fn silence_staged_stream(harness: &mut Harness) -> (gateway::CallId, Vec<gateway::Effect>) {
    let call = begin_staged_stream(harness);
    (call, harness.step(gateway::Event::CallSilent(call)))
}

#[test]
fn silent_call_ends_if_another_upstream_has_a_place() {
    for path in ["/again/1", "/stock/1"] {
        let mut harness = Harness::new();
        let (_, effects) = harness.arrive(path);
        let first = request_call(&effects).expect("it is sent").clone();
        let effects = harness.step(gateway::Event::CallSilent(first.call));
        assert_eq!(ended_call(&effects), Some(first.call), "{path}");
        // The decision is made once.
        let effects = harness.step(gateway::Event::CallSilent(first.call));
        assert_eq!(ended_call(&effects), None, "{path}");
        let mut effects = harness.end_call(first.call, BROKEN);
        effects.extend(harness.advance(ms(401)));
        let second = request_call(&effects).expect("it goes on elsewhere");
        assert_ne!(second.instance, first.instance, "{path}");
        assert_eq!(second.last_event, Some(3), "{path}");
    }
}

/// Guards against answers that end in a silence of their upstream although nobody else can go on with them.
#[test]
fn silent_call_is_kept_without_a_place_elsewhere() {
    type Prepare = fn(&mut Harness, &gateway::RequestCall);
    let cases: [(&str, Prepare); 5] = [
        ("no other upstream", |harness, call| {
            harness.advance(ms(2_100));
            harness.list_upstreams(&[call.instance.as_str()]);
        }),
        ("the other one is silent too", |harness, _| {
            for _ in 0..4 {
                let call = begin_stream(harness, "/chat/1").call;
                harness.step(gateway::Event::CallSilent(call));
            }
        }),
        ("no retry is left", |harness, _| use_up_retries(harness)),
        ("the credential was taken away", |harness, _| harness.apply_table(&table(7, &[]))),
        ("no time is left", |harness, _| drop(harness.advance(ms(3_600)))),
    ];
    for (case, prepare) in cases {
        let mut harness = Harness::new();
        let call = begin_stream(&mut harness, "/again/1");
        prepare(&mut harness, &call);
        let call = call.call;
        let before = harness.gateway.request_count();
        let effects = harness.step(gateway::Event::CallSilent(call));
        assert!(effects.is_empty(), "{case}: {effects:?}");
        assert_eq!(harness.gateway.request_count(), before, "{case}");
        harness.step(gateway::Event::CallResumed(call));
        harness.end_call(call, gateway::Outcome::Ended);
        assert_eq!(harness.gateway.request_count(), before - 1, "{case}");
    }
}

/// Guards against answers that are given up shortly before they must begin, when a next call would be too late.
#[test]
fn silent_call_is_kept_if_the_next_one_could_not_begin_in_time() {
    let mut harness = Harness::new();
    let (_, effects) = harness.arrive("/again/1");
    let call = request_call(&effects).expect("it is sent").call;
    // The caller waits for three seconds, and a next call is sent 0.4 s after the end of this one.
    harness.advance(ms(2_700));
    let effects = harness.step(gateway::Event::CallSilent(call));
    assert_eq!(ended_call(&effects), None);
    harness.step(gateway::Event::AnswerStarted(call));
    harness.end_call(call, gateway::Outcome::Ended);
    assert_eq!(harness.gateway.request_count(), 0);
}

/// Guards against streams that are given up in a planned stop whose time is over before they could go on.
#[test]
fn silent_call_is_kept_if_the_gateway_stops_before_the_next_one() {
    let mut harness = Harness::new();
    let call = begin_stream(&mut harness, "/again/1").call;
    harness.step(gateway::Event::Drain { left: ms(300) });
    let effects = harness.step(gateway::Event::CallSilent(call));
    assert_eq!(ended_call(&effects), None);
}

/// Guards against streams that break off because their stages are given up at the deadline for the start of
/// the answer, which has begun.
#[test]
fn begun_stream_computes_its_stages_again_after_its_start_deadline() {
    for overload in [shedding::Overload::Due, shedding::Overload::Loss] {
        let mut harness = Harness::with_overload(overload);
        let call = begin_staged_stream(&mut harness);
        harness.advance(ms(3_100));
        let mut effects = harness.end_call(call, LOST);
        for _ in 0..2 {
            effects.extend(harness.advance(ms(20)));
            let batch = find_batch(&effects).unwrap_or_else(|| panic!("{overload:?}"));
            assert!(batch.items.iter().all(|item| item.budget > ms(500)), "{overload:?}");
            effects = harness.complete_batch(&batch);
        }
        effects.extend(harness.advance(ms(20)));
        assert_eq!(request_call(&effects).expect("it goes on").last_event, Some(3));
    }
}

/// Guards against streams that break off because the results of a stage expire while they wait to go on.
#[test]
fn begun_stream_outlives_results_that_expired() {
    let mut harness = Harness::new();
    let call = begin_staged_stream(&mut harness);
    // The answer should have begun a second after the arrival.
    harness.advance(ms(1_500));
    let effects = harness.end_call(call, LOST);
    let effects = harness.complete_batch(&batch_call(&effects).clone());
    let second = batch_call(&effects).clone();
    let gone = vec![gateway::PieceOutcome::InputGone; second.items.len()];
    harness.end_batch(&second, gateway::BatchOutcome::Done(gone));
    assert_eq!(harness.gateway.request_count(), 1);
}

/// Guards against streams that break off because the table was not confirmed for a moment.
#[test]
fn begun_stream_waits_for_a_lease_on_the_table() {
    let mut harness = Harness::new();
    harness.advance(ms(2_900));
    let call = begin_stream(&mut harness, "/again/1");
    harness.advance(ms(2_200));
    harness.end_call(call.call, LOST);
    assert_eq!(harness.gateway.request_count(), 1);
    harness.apply_table(&table(6, &["key"]));
    let next = wait_for_call(&mut harness).expect("it goes on");
    assert_eq!(next.last_event, Some(3));
}

#[test]
fn silent_stream_ends_once_its_stages_are_computed_again() {
    let mut harness = Harness::new();
    let (call, effects) = silence_staged_stream(&mut harness);
    assert_eq!(ended_call(&effects), None);
    let effects = harness.complete_batch(&batch_call(&effects).clone());
    assert_eq!(ended_call(&effects), None);
    let effects = harness.complete_batch(&batch_call(&effects).clone());
    assert_eq!(ended_call(&effects), Some(call));
    let mut effects = harness.end_call(call, BROKEN);
    effects.extend(harness.advance(ms(401)));
    assert_eq!(request_call(&effects).expect("it goes on elsewhere").inputs.len(), 3);
}

/// Guards against a stream that breaks off because stages cannot be computed again for another upstream.
#[test]
fn silent_stream_is_kept_if_its_stages_fail() {
    let mut harness = Harness::new();
    let (call, mut effects) = silence_staged_stream(&mut harness);
    for _ in 0..20 {
        while let Some(batch) = find_batch(&effects) {
            effects = harness.end_batch(&batch, gateway::BatchOutcome::Broken);
        }
        assert_eq!(ended_call(&effects), None);
        assert_eq!(harness.gateway.request_count(), 1);
        effects = harness.advance(ms(100));
    }
    harness.end_call(call, gateway::Outcome::Ended);
    assert_eq!(harness.gateway.request_count(), 0);
}

/// Guards against a stream that breaks off because its stages are given up, though its upstream may go on.
#[test]
fn silent_stream_is_kept_if_its_stages_are_given_up() {
    let mut harness = Harness::with_overload(shedding::Overload::Loss);
    let call = begin_staged_stream(&mut harness);
    // Half a second is left, which is too little for both stages.
    harness.advance(ms(3_500));
    let mut effects = harness.step(gateway::Event::CallSilent(call));
    for _ in 0..20 {
        effects.extend(harness.advance(ms(20)));
    }
    assert!(find_batch(&effects).is_none(), "it is given up");
    assert_eq!(ended_call(&effects), None);
    assert_eq!(harness.gateway.request_count(), 1);
    harness.end_call(call, gateway::Outcome::Ended);
    assert_eq!(harness.gateway.request_count(), 0);
}

#[test]
fn resumed_stream_drops_stages_that_are_computed_again() {
    let mut harness = Harness::new();
    let (call, effects) = silence_staged_stream(&mut harness);
    let batch = batch_call(&effects).clone();
    harness.step(gateway::Event::CallResumed(call));
    let mut effects = harness.complete_batch(&batch);
    effects.extend(harness.advance(ms(20)));
    assert!(find_batch(&effects).is_none(), "the next stage is not started");
    let is_freed = |effect: &gateway::Effect| matches!(effect, gateway::Effect::FreeResults { .. });
    assert!(effects.iter().any(is_freed), "{effects:?}");
    harness.end_call(call, gateway::Outcome::Ended);
    assert_eq!(harness.gateway.request_count(), 0);
}

/// Returns the batch call that is sent, if one is.
fn find_batch(effects: &[gateway::Effect]) -> Option<gateway::BatchCall> {
    effects.iter().find_map(|effect| match effect {
        gateway::Effect::SendBatch(call) => Some((**call).clone()),
        _ => None,
    })
}

/// Guards against requests that are sent to an upstream which has no connection for them.
#[test]
fn silent_calls_end_only_as_far_as_there_are_places() {
    let mut harness = Harness::new();
    // A gateway has eight connections to each upstream.
    let calls: Vec<_> = (0..12).map(|_| begin_stream(&mut harness, "/again/1")).collect();
    let at = |instance: &id::InstanceId| calls.iter().filter(|c| c.instance == *instance).count();
    let silent = calls[0].instance.clone();
    let other = calls.iter().find(|call| call.instance != silent).expect("both are used");
    let places = 8 - at(&other.instance);
    let mut ended = 0;
    for call in calls.iter().filter(|call| call.instance == silent) {
        let effects = harness.step(gateway::Event::CallSilent(call.call));
        ended += usize::from(ended_call(&effects).is_some());
    }
    assert_eq!(ended, places.min(at(&silent)));
    assert!(ended < at(&silent), "not all have a place");
}

const LOST: gateway::Outcome =
    gateway::Outcome::Broken { last: Some(3), cause: gateway::BreakCause::ConnectionLost };
const NOT_RUN: gateway::Outcome = gateway::Outcome::NotRun { elsewhere: false, inputs_gone: false };

/// Uses up the retries of the service by requests whose first call fails.
fn use_up_retries(harness: &mut Harness) {
    for _ in 0..11 {
        let (_, effects) = harness.arrive("/stock/1");
        let call = request_call(&effects).expect("it is sent").call;
        let effects = harness.end_call(call, gateway::Outcome::Answered { status: 500 });
        if let Some(retry) = request_call(&effects) {
            let call = retry.call;
            harness.end_call(call, gateway::Outcome::Answered { status: 200 });
        }
    }
}

/// Lets time pass tick by tick until a call is sent, for at most two seconds.
fn wait_for_call(harness: &mut Harness) -> Option<gateway::RequestCall> {
    (0..100).find_map(|_| request_call(&harness.advance(ms(20))).cloned())
}

/// Guards against streams that break off because no retry is left at the moment in which their upstream
/// ends.
#[test]
fn begun_stream_waits_for_a_retry() {
    let mut harness = Harness::new();
    let call = begin_stream(&mut harness, "/again/1");
    use_up_retries(&mut harness);
    let effects = harness.end_call(call.call, LOST);
    assert!(effects.is_empty(), "{effects:?}");
    assert!(wait_for_call(&mut harness).is_none(), "no retry is left");
    // Each request adds a tenth of a retry.
    for _ in 0..10 {
        let (_, effects) = harness.arrive("/chat/1");
        let call = request_call(&effects).expect("it is sent").call;
        harness.end_call(call, gateway::Outcome::Ended);
    }
    let next = wait_for_call(&mut harness).expect("it goes on");
    assert_eq!((next.request, next.last_event), (call.request, Some(3)));
    harness.end_call(next.call, gateway::Outcome::Ended);
    assert_eq!(harness.gateway.request_count(), 0);
}

/// Guards against streams that break off because no upstream has a place at the moment.
#[test]
fn begun_stream_waits_for_a_place() {
    let mut harness = Harness::new();
    let call = begin_stream(&mut harness, "/again/1");
    let mut effects = harness.end_call(call.call, LOST);
    let mut calls = 0;
    // More calls than a request gets whose answer has not begun.
    while calls < 8 {
        let next = request_call(&effects).cloned().or_else(|| wait_for_call(&mut harness));
        effects = harness.end_call(next.expect("it is tried again").call, NOT_RUN);
        assert_eq!(harness.gateway.request_count(), 1);
        calls += 1;
    }
    let next = request_call(&effects).cloned().or_else(|| wait_for_call(&mut harness));
    harness.end_call(next.expect("it is tried again").call, gateway::Outcome::Ended);
    assert_eq!(harness.gateway.request_count(), 0);
}

#[test]
fn begun_stream_breaks_off_at_its_deadline() {
    let mut harness = Harness::new();
    let call = begin_stream(&mut harness, "/again/1");
    use_up_retries(&mut harness);
    harness.end_call(call.call, LOST);
    assert_eq!(harness.gateway.request_count(), 1);
    harness.advance(ms(4_001));
    assert_eq!(harness.gateway.request_count(), 0);
}

/// Guards against retries that are used up by calls which never reached an upstream.
#[test]
fn unsent_call_returns_its_retry() {
    let mut harness = Harness::new();
    for _ in 0..20 {
        let (_, effects) = harness.arrive("/stock/1");
        let call = request_call(&effects).expect("it is sent").call;
        let effects = harness.end_call(call, gateway::Outcome::Answered { status: 500 });
        let call = request_call(&effects).expect("a retry is left").call;
        let effects = harness.end_call(call, gateway::Outcome::Unsent);
        let call = request_call(&effects).expect("the retry is still there").call;
        harness.end_call(call, gateway::Outcome::Answered { status: 200 });
        // What the third call took.
        for _ in 0..10 {
            let (_, effects) = harness.arrive("/chat/1");
            let call = request_call(&effects).expect("it is sent").call;
            harness.end_call(call, gateway::Outcome::Ended);
        }
    }
}

/// Guards against one stuck call that bars a sound upstream from taking over streams of a hung one.
#[test]
fn silent_call_ends_although_one_is_stuck_at_the_other_upstream() {
    let mut harness = Harness::new();
    let calls: Vec<_> = (0..6).map(|_| begin_stream(&mut harness, "/again/1")).collect();
    let hung = &calls[0].instance;
    let at_hung: Vec<_> = calls.iter().filter(|call| call.instance == *hung).collect();
    // One that may run only once, so that it stays where it is.
    let once: Vec<_> = (0..2).map(|_| begin_stream(&mut harness, "/chat/1")).collect();
    let stuck = once.iter().find(|call| call.instance != *hung).expect("both upstreams are used");
    harness.step(gateway::Event::CallSilent(stuck.call));
    let ended = at_hung.iter().filter(|call| {
        let effects = harness.step(gateway::Event::CallSilent(call.call));
        ended_call(&effects).is_some()
    });
    assert_eq!(ended.count(), at_hung.len());
}
