//! Tests of the gateway's reducer: which upstreams run a request, how often, and what the caller is
//! told.

use std::sync;

use bramleyshelf_lib::{batch, gateway, handoff, id, refusal, roster, table, unit};
use bramleyshelf_testutils::values::{ms, name};
use gateway_harness::{Harness, batch_call, refusal_of, request_call, route, staged_route, table};

mod gateway_harness;

#[test]
fn request_is_retried_only_if_its_kind_allows() {
    // A request that may have run is sent again only if its route allows it, and its caller is
    // never told that it did not run.
    use gateway::Outcome;
    let not_run = Outcome::NotRun { elsewhere: false, inputs_gone: false };
    let broken = Outcome::Broken { last: None, cause: gateway::BreakCause::ConnectionLost };
    // Path, outcome of the first call, whether a second call follows, and otherwise whether the
    // request may have run.
    let cases = [
        ("/book/1", Outcome::Unsent, true, None),
        ("/book/1", not_run, true, None),
        ("/book/1", broken, false, Some(refusal::Ran::Unknown)),
        ("/book/1", Outcome::Answered { status: 500 }, false, None),
        ("/stock/1", broken, true, None),
        ("/stock/1", Outcome::Answered { status: 500 }, true, None),
        ("/stock/1", Outcome::Answered { status: 200 }, false, None),
        ("/chat/1", broken, false, Some(refusal::Ran::Unknown)),
        ("/chat/1", not_run, true, None),
        (
            "/again/1",
            Outcome::Broken { last: Some(3), cause: gateway::BreakCause::ConnectionLost },
            true,
            None,
        ),
    ];
    for (path, outcome, is_retried, ran) in cases {
        let mut harness = Harness::new();
        let (_, effects) = harness.arrive(path);
        let first = request_call(&effects).expect("it is sent").clone();
        let effects = harness.end_call(first.call, outcome);
        let second = request_call(&effects);
        assert_eq!(second.is_some(), is_retried, "{path} {outcome:?}");
        if let Some(second) = second {
            assert_ne!(second.instance, first.instance, "{path} {outcome:?}");
            let last = if let Outcome::Broken { last, .. } = outcome { last } else { None };
            assert_eq!(
                second.last_event, last,
                "it resumes after the last event that the caller has"
            );
        }
        assert_eq!(refusal_of(&effects).map(|(_, ran)| ran), ran, "{path} {outcome:?}");
    }
}

/// Guards against an upstream's status that reaches the caller as the promise that nothing ran.
#[test]
fn answer_that_only_looks_like_a_refusal_is_not_delivered() {
    for status in [408, 421, 429, 503] {
        let answered = gateway::Outcome::Answered { status };
        for (path, calls) in [("/book/1", 1), ("/chat/1", 1), ("/stock/1", 2), ("/again/1", 2)] {
            let mut harness = Harness::new();
            let (_, mut effects) = harness.arrive(path);
            for _ in 0..calls {
                let call = request_call(&effects).expect("it is sent").call;
                effects = harness.end_call(call, answered);
            }
            assert!(request_call(&effects).is_none(), "{path} {status}");
            let delivered = effects.iter().any(|e| matches!(e, gateway::Effect::DeliverAnswer(..)));
            assert!(!delivered, "{path} {status}");
            let refused = Some((refusal::Kind::UpstreamBroken, refusal::Ran::Unknown));
            assert_eq!(refusal_of(&effects), refused, "{path} {status}");
            let invites = effects.iter().any(
                |e| matches!(e, gateway::Effect::Refuse { retry_after, .. } if retry_after.is_some()),
            );
            assert!(!invites, "{path} {status}: only a request that did not run is sent again");
        }
    }
}

/// Ends the only call of a request to a route with this path.
fn break_call(harness: &mut Harness, path: &str, cause: gateway::BreakCause) -> id::RequestId {
    let (request, effects) = harness.arrive(path);
    let call = request_call(&effects).expect("it is sent").call;
    let effects = harness.end_call(call, gateway::Outcome::Broken { last: Some(3), cause });
    assert!(request_call(&effects).is_none(), "{path} {cause}: it waits");
    assert!(refusal_of(&effects).is_none(), "{path} {cause}");
    request
}

/// Guards against a stream that goes on at another upstream while the one before is still at work.
#[test]
fn stream_moves_once_its_upstream_has_ended() {
    for cause in [gateway::BreakCause::Timeout, gateway::BreakCause::Invalid] {
        let mut harness = Harness::new();
        break_call(&mut harness, "/again/1", cause);
        assert!(request_call(&harness.advance(ms(399))).is_none(), "{cause}");
        let effects = harness.advance(ms(1));
        let next = request_call(&effects).expect("it moves after 400 ms");
        assert_eq!(next.last_event, Some(3), "{cause}");
        assert!(request_call(&harness.advance(ms(400))).is_none(), "it moves once");
    }
}

/// Guards against a wait that delays requests whose upstream is known to have ended, or that no
/// stream is moved for.
#[test]
fn only_moves_of_streams_at_work_wait() {
    use gateway::BreakCause;
    let cases = [
        ("/again/1", BreakCause::ConnectionLost),
        ("/again/1", BreakCause::InsideEvent),
        ("/stock/1", BreakCause::Timeout),
    ];
    for (path, cause) in cases {
        let mut harness = Harness::new();
        let (_, effects) = harness.arrive(path);
        let call = request_call(&effects).expect("it is sent").call;
        let effects = harness.end_call(call, gateway::Outcome::Broken { last: None, cause });
        assert!(request_call(&effects).is_some(), "{path} {cause}");
    }
}

#[test]
fn stream_does_not_move_for_a_caller_that_has_left() {
    let mut harness = Harness::new();
    let request = break_call(&mut harness, "/again/1", gateway::BreakCause::Timeout);
    harness.step(gateway::Event::CallerGone(request));
    assert!(request_call(&harness.advance(ms(400))).is_none());
}

#[test]
fn request_runs_on_max_attempts_upstreams_at_most() {
    let mut harness = Harness::new();
    harness.list_upstreams(&["u1", "u2", "u3", "u4"]);
    let (_, effects) = harness.arrive("/stock/1");
    let first = request_call(&effects).expect("it is sent").call;
    let effects = harness.end_call(
        first,
        gateway::Outcome::Broken { last: None, cause: gateway::BreakCause::ConnectionLost },
    );
    let second = request_call(&effects).expect("one repeat is allowed").call;
    let effects = harness.end_call(
        second,
        gateway::Outcome::Broken { last: None, cause: gateway::BreakCause::ConnectionLost },
    );
    assert!(request_call(&effects).is_none());
    assert_eq!(refusal_of(&effects).map(|(_, ran)| ran), Some(refusal::Ran::Unknown));
}

#[test]
fn arrival_is_refused_without_a_valid_lease() {
    let mut harness = Harness::new();
    harness.now = harness.now.after(ms(4_900));
    let (_, effects) = harness.arrive("/book/1");
    assert_eq!(refusal_of(&effects), Some((refusal::Kind::NotReady, refusal::Ran::No)));
    // A suspended instance: only the wall clock advanced.
    let mut harness = Harness::new();
    harness.now.wall += ms(6_000);
    let (_, effects) = harness.arrive("/book/1");
    assert_eq!(refusal_of(&effects), Some((refusal::Kind::NotReady, refusal::Ran::No)));
}

#[test]
fn arrival_is_refused_with_the_matching_kind() {
    // The refusal tells callers whether the route, the credential or the gateway is at fault.
    use refusal::Kind;
    let mut harness = Harness::new();
    let (_, effects) = harness.arrive("/nowhere/1");
    assert_eq!(refusal_of(&effects), Some((Kind::NotFound, refusal::Ran::No)));
    harness.apply_table(&table(6, &["other"]));
    let (_, effects) = harness.arrive("/book/1");
    assert_eq!(refusal_of(&effects), Some((Kind::Unauthorized, refusal::Ran::No)));
    // A read with an older version neither puts its table into force nor renews the lease.
    harness.now = harness.now.after(ms(4_000));
    harness.apply_table(&table(5, &["key"]));
    assert_eq!(harness.gateway.table_version(), table::Version(6));
    harness.now = harness.now.after(ms(1_000));
    let (_, effects) = harness.arrive("/book/1");
    assert_eq!(refusal_of(&effects), Some((Kind::NotReady, refusal::Ran::No)));
}

/// Guards against a table without credentials that counts as one without teams.
#[test]
fn arrival_is_refused_when_no_credential_is_left() {
    let mut harness = Harness::new();
    harness.apply_table(&table(6, &[]));
    let (_, effects) = harness.arrive("/book/1");
    let refused = Some((refusal::Kind::Unauthorized, refusal::Ran::No));
    assert_eq!(refusal_of(&effects), refused);
    let open = table::Table { teams: None, ..(*table(7, &[])).clone() };
    harness.apply_table(&sync::Arc::new(open));
    let (_, effects) = harness.arrive("/book/1");
    assert!(request_call(&effects).is_some(), "no credential is needed");
}

#[test]
fn route_with_unusable_stages_is_refused_alone() {
    // Dependencies of the two stages.
    let cases: [[&[usize]; 2]; 4] = [[&[1], &[0]], [&[0], &[]], [&[], &[2]], [&[], &[1]]];
    for dependencies in cases {
        let mut harness = Harness::new();
        let mut table = (*table(6, &["key"])).clone();
        let mut guide = (*staged_route()).clone();
        for (stage, depends_on) in guide.stages.iter_mut().zip(dependencies) {
            stage.depends_on = depends_on.to_vec();
        }
        let last = table.routes.last_mut().expect("the staged route");
        *last = sync::Arc::new(guide);
        harness.apply_table(&sync::Arc::new(table));
        let (_, effects) = harness.arrive("/guide/1");
        let refused = Some((refusal::Kind::NoUpstream, refusal::Ran::No));
        assert_eq!(refusal_of(&effects), refused, "{dependencies:?}");
        let (_, effects) = harness.arrive("/stock/1");
        assert!(request_call(&effects).is_some(), "other routes are served");
    }
}

#[test]
fn find_route_ignores_the_port() {
    let route = table::Route {
        host: "[2001:db8::1]".to_owned(),
        ..(*route("/a/", table::RequestKind::Idempotent, 1)).clone()
    };
    let routes = vec![sync::Arc::new(route)];
    let table = table::Table { routes, ..table::Table::default() };
    for host in ["[2001:db8::1]", "[2001:db8::1]:8080", "[2001:DB8::1]:80"] {
        assert!(table.find_route(host, "/a/1").is_some(), "{host}");
    }
}

#[test]
fn tick_ends_requests_at_their_deadline() {
    let mut harness = Harness::new();
    let (request, effects) = harness.arrive("/chat/1");
    let call = request_call(&effects).expect("it is sent").call;
    let effects = harness.advance(ms(3_001));
    assert_eq!(refusal_of(&effects).map(|(_, ran)| ran), Some(refusal::Ran::Unknown));
    assert!(effects.iter().any(|e| matches!(e, gateway::Effect::CancelCall(c) if *c == call)));
    assert!(effects.iter().any(|e| matches!(e, gateway::Effect::DropRequest(r) if *r == request)));
    // A request whose answer has begun may go on until the route's timeout, and then breaks off.
    harness.apply_table(&table(5, &["key"]));
    let (request, effects) = harness.arrive("/chat/1");
    harness.step(gateway::Event::AnswerStarted(request_call(&effects).expect("it is sent").call));
    assert!(harness.advance(ms(3_500)).is_empty());
    let effects = harness.advance(ms(600));
    assert!(refusal_of(&effects).is_none(), "the answer has already begun");
    assert!(effects.iter().any(|e| matches!(e, gateway::Effect::DropRequest(r) if *r == request)));
    assert_eq!(harness.gateway.request_count(), 0);
}

/// Guards against requests that come late in a short stop and are cut at its end.
#[test]
fn drain_admits_requests_in_the_first_third_of_a_stop() {
    let mut harness = Harness::new();
    harness.step(gateway::Event::Drain { left: ms(3_000) });
    harness.advance(ms(1_000));
    let (_, effects) = harness.arrive("/book/1");
    assert!(request_call(&effects).is_some());
    harness.advance(ms(1));
    let (_, effects) = harness.arrive("/book/1");
    assert_eq!(refusal_of(&effects), Some((refusal::Kind::Draining, refusal::Ran::No)));
}

/// Guards against requests that end with the process and without an answer.
#[test]
fn stop_answers_all_requests() {
    let mut harness = Harness::new();
    let (_, effects) = harness.arrive("/book/1");
    assert!(request_call(&effects).is_some());
    let (_, effects) = harness.arrive("/guide/1");
    assert!(request_call(&effects).is_none(), "its stages come first");
    let effects = harness.step(gateway::Event::Stop);
    let refused: Vec<_> = effects
        .iter()
        .filter_map(|effect| match effect {
            gateway::Effect::Refuse { refusal, .. } => Some(refusal.ran),
            _ => None,
        })
        .collect();
    assert_eq!(refused, [refusal::Ran::Unknown, refusal::Ran::No]);
    assert_eq!(harness.gateway.request_count(), 0);
}

#[test]
fn drain_admits_only_requests_that_can_end() {
    // Guards against a stream that was admitted 3.02 s after the start of a drain and was cut off
    // when the process stopped.
    let mut harness = Harness::new();
    harness.step(gateway::Event::Drain { left: ms(7_600) });
    assert!(!harness.gateway.is_ready(harness.now));
    harness.advance(ms(2_400));
    let (_, effects) = harness.arrive("/chat/1");
    assert!(request_call(&effects).is_some(), "requests are still admitted");
    harness.advance(ms(200));
    let (_, effects) = harness.arrive("/chat/1");
    assert_eq!(refusal_of(&effects), Some((refusal::Kind::Draining, refusal::Ran::No)));
}

#[test]
fn caller_gone_cancels_calls() {
    let mut harness = Harness::new();
    let (request, effects) = harness.arrive("/chat/1");
    let call = request_call(&effects).expect("it is sent").call;
    let effects = harness.step(gateway::Event::CallerGone(request));
    assert!(effects.iter().any(|e| matches!(e, gateway::Effect::CancelCall(c) if *c == call)));
}

#[test]
fn stages_use_results_and_free_them() {
    let mut harness = Harness::new();
    let (_, effects) = harness.arrive("/guide/1");
    let scan = batch_call(&effects).clone();
    assert_eq!(scan.items.len(), 1);
    assert_eq!(scan.items[0].input, gateway::PieceInput::Key("k".to_owned()));
    let effects = harness.complete_batch(&scan);
    let rank = batch_call(&effects).clone();
    assert_eq!(rank.items.len(), 3);
    let input = gateway::Handle("r1/0/0".to_owned());
    assert_eq!(rank.items[0].input, gateway::PieceInput::Results(vec![input.clone()]));
    let effects = harness.complete_batch(&rank);
    let send = request_call(&effects).expect("all stages are done").clone();
    assert_eq!(send.inputs.len(), 3);
    let freed = harness.advance(ms(20));
    assert!(
        matches!(&freed[..], [gateway::Effect::FreeResults { handles, .. }] if *handles == [input])
    );
    harness.step(gateway::Event::AnswerStarted(send.call));
    let freed = harness.advance(ms(20));
    assert!(
        matches!(&freed[..], [gateway::Effect::FreeResults { handles, .. }] if handles.len() == 3)
    );
}

#[test]
fn stages_compute_lost_inputs_again() {
    let mut harness = Harness::new();
    let (_, effects) = harness.arrive("/guide/1");
    let scan = batch_call(&effects).clone();
    let effects = harness.complete_batch(&scan);
    let rank = batch_call(&effects).clone();
    let lost_inputs = vec![gateway::PieceOutcome::InputGone; 3];
    let effects = harness.end_batch(&rank, gateway::BatchOutcome::Done(lost_inputs));
    let retried_scan = batch_call(&effects).clone();
    assert_eq!(
        (retried_scan.items.len(), retried_scan.items[0].stage),
        (1, 0),
        "the first stage runs again"
    );
    let effects = harness.complete_batch(&retried_scan);
    assert_eq!(
        batch_call(&effects).items.len(),
        3,
        "the second stage runs again with all its pieces"
    );
}

#[test]
fn stages_free_results_of_dropped_requests() {
    let mut harness = Harness::new();
    let (request, effects) = harness.arrive("/guide/1");
    let scan = batch_call(&effects).clone();
    harness.step(gateway::Event::CallerGone(request));
    harness.complete_batch(&scan);
    let freed = harness.advance(ms(20));
    assert!(
        matches!(&freed[..], [gateway::Effect::FreeResults { handles, .. }] if handles.len() == 1)
    );
}

fn peers_listed(instances: &[&str]) -> gateway::Event {
    let peer = |instance: &&str| roster::Peer {
        instance: name(instance),
        address: "10.0.0.9:81".parse().expect("an address"),
        domain: name("a"),
        weight: 100,
    };
    gateway::Event::GatewaysListed(instances.iter().map(peer).collect::<Vec<_>>().into())
}

fn handed_over(effects: &[gateway::Effect]) -> Option<batch::GroupId> {
    effects.iter().find_map(|effect| match effect {
        gateway::Effect::HandOver { group, .. } => Some(*group),
        _ => None,
    })
}

#[test]
fn handover_is_taken_back_when_its_holder_is_lost() {
    let mut harness = Harness::new();
    // Only the other gateway is listed as alive, so it forms all batches.
    harness.step(peers_listed(&["g2"]));
    let (_, effects) = harness.arrive("/guide/1");
    let group = handed_over(&effects).expect("the pieces are handed over");
    let effects = harness.advance(ms(300));
    assert!(
        effects.iter().any(|e| matches!(e, gateway::Effect::ProbePeer { .. })),
        "the holder is probed"
    );
    let effects = harness.step(gateway::Event::PeerProbed { peer: name("g2"), is_alive: false });
    assert!(effects.iter().any(|e| matches!(e, gateway::Effect::CancelHandover(g) if *g == group)));
    assert_eq!(batch_call(&effects).items.len(), 1, "the piece runs here");
    // A late answer to the handover has no effect.
    assert!(harness.step(gateway::Event::HandoverEnded(group, None)).is_empty());
}

#[test]
fn handover_stays_with_a_gateway_that_shuts_down() {
    // A gateway that is stopped as planned leaves the list of live gateways immediately, but
    // finishes the pieces that it holds. Computing these again elsewhere doubled the work during
    // each rolling restart.
    let mut harness = Harness::new();
    harness.step(peers_listed(&["g2"]));
    let (_, effects) = harness.arrive("/guide/1");
    let group = handed_over(&effects).expect("the pieces are handed over");
    harness.step(peers_listed(&["g1"]));
    let effects = harness.advance(ms(100));
    assert!(effects.is_empty(), "the handover is not cancelled: {effects:?}");
    harness.advance(ms(300));
    let effects = harness.step(gateway::Event::PeerProbed { peer: name("g2"), is_alive: true });
    assert!(effects.is_empty(), "the holder is alive: {effects:?}");
    let handle = gateway::Handle("h".to_owned());
    let outcomes = vec![handoff::Outcome::Done { instance: name("s1"), handle }];
    let result =
        handoff::HandoverResult { outcomes, wait: batch::WaitEstimate::default(), retry_ms: None };
    let effects = harness.step(gateway::Event::HandoverEnded(group, Some(result)));
    assert_eq!(batch_call(&effects).items[0].stage, 1, "the result is used by the next stage");
}

#[test]
fn handover_returns_results() {
    let mut harness = Harness::new();
    harness.step(peers_listed(&["g2"]));
    let (_, effects) = harness.arrive("/guide/1");
    let group = handed_over(&effects).expect("the pieces are handed over");
    let handle = gateway::Handle("h".to_owned());
    let outcomes = vec![handoff::Outcome::Done { instance: name("s1"), handle }];
    let result =
        handoff::HandoverResult { outcomes, wait: batch::WaitEstimate::default(), retry_ms: None };
    let effects = harness.step(gateway::Event::HandoverEnded(group, Some(result)));
    assert!(handed_over(&effects).is_some(), "the next stage is handed over");
}

#[test]
fn handover_times_out_after_the_request() {
    // If the handover timed out together with the request, the holder would count as lost, and all
    // its pieces would be computed twice under the highest load.
    let mut harness = Harness::new();
    harness.step(peers_listed(&["g2"]));
    let (_, effects) = harness.arrive("/guide/1");
    let timeout = effects.iter().find_map(|effect| match effect {
        gateway::Effect::HandOver { timeout, .. } => Some(*timeout),
        _ => None,
    });
    assert!(timeout.expect("the pieces are handed over") > ms(3_000));
    let effects = harness.advance(ms(3_001));
    assert!(effects.iter().any(|e| matches!(e, gateway::Effect::CancelHandover(_))));
    assert_eq!(refusal_of(&effects).map(|(_, ran)| ran), Some(refusal::Ran::No));
}

#[test]
fn handover_received_is_answered_once() {
    let mut harness = Harness::new();
    let message = handoff::Handover {
        version: handoff::VERSION,
        from: name("g2"),
        upcoming: batch::PiecesByRank::default(),
        external_id: "x".to_owned(),
        service: name("scan"),
        region: name("east"),
        stage: 0,
        pieces: vec![0, 1],
        due_ms: 500,
        budget_ms: unit::Millis(2_000),
        rank: 0,
        result_size: unit::ByteSize(8_000),
        input: gateway::PieceInput::Key("k".to_owned()),
        near_domain: None,
        shedding: None,
    };
    let handover = gateway::HandoverId(4);
    let effects =
        harness.step(gateway::Event::HandoverReceived(handover, Box::new(message.clone())));
    let first = batch_call(&effects).clone();
    let effects = harness.complete_batch(&first);
    assert!(matches!(
        &effects[..],
        [gateway::Effect::AnswerHandover(id, result)]
            if *id == handover && result.outcomes.len() == 2
    ));
    // Results of a cancelled handover are freed.
    let handover = gateway::HandoverId(5);
    let effects = harness.step(gateway::Event::HandoverReceived(handover, Box::new(message)));
    let second = batch_call(&effects).clone();
    harness.step(gateway::Event::HandoverCancelled(handover));
    let effects = harness.complete_batch(&second);
    assert!(!effects.iter().any(|e| matches!(e, gateway::Effect::AnswerHandover(..))));
    let freed = harness.advance(ms(20));
    assert!(
        matches!(&freed[..], [gateway::Effect::FreeResults { handles, .. }] if handles.len() == 2)
    );
}

quickcheck::quickcheck! {
    /// Whatever the outcomes of its calls, a request that may run only once is never sent again
    /// after it may have run, and its caller is then never told that it did not run.
    fn once_request_runs_at_most_once(outcomes: Vec<u8>) -> bool {
        let mut harness = Harness::new();
        harness.list_upstreams(&["u1", "u2", "u3"]);
        let (_, mut effects) = harness.arrive("/book/1");
        let mut may_have_run = false;
        for outcome in outcomes {
            let Some(call) = request_call(&effects).map(|send| send.call) else { break };
            if may_have_run {
                return false;
            }
            let outcome = match outcome % 4 {
                0 => gateway::Outcome::Unsent,
                1 => gateway::Outcome::NotRun { elsewhere: false, inputs_gone: false },
                2 => gateway::Outcome::Broken { last: None, cause: gateway::BreakCause::ConnectionLost },
                _ => gateway::Outcome::Answered { status: 503 },
            };
            may_have_run = matches!(
                outcome,
                gateway::Outcome::Broken { .. } | gateway::Outcome::Answered { .. }
            );
            effects = harness.end_call(call, outcome);
            if refusal_of(&effects)
                .is_some_and(|(_, ran)| may_have_run && ran == refusal::Ran::No)
            {
                return false;
            }
        }
        true
    }
}

/// Crashes engines until the gateway holds part 66 back. Each prompt goes to an engine of its own,
/// which is started again.
fn crash_engines(harness: &mut Harness) {
    for number in 0..4_u64 {
        let instances = [format!("u{}", 2 * number), format!("u{}", 2 * number + 1)];
        harness.list_upstreams(&instances.each_ref().map(String::as_str));
        let (_, effects) = harness.arrive_with("/chat/1", &[1, 66, 100 + number]);
        let Some(sent) = request_call(&effects) else { return };
        let cause = gateway::BreakCause::ConnectionLost;
        harness.end_call(sent.call, gateway::Outcome::Broken { last: None, cause });
        wait(harness, 700);
    }
    wait(harness, 2_000);
}

/// Lets time pass in which the table is confirmed.
fn wait(harness: &mut Harness, millis: u64) {
    harness.advance(ms(millis));
    harness.apply_table(&table(5, &["key"]));
}

/// Serves a sound prompt with part 1.
fn serve_sound_prompt(harness: &mut Harness, own: u64) -> bool {
    let (_, effects) = harness.arrive_with("/chat/1", &[1, 2, own]);
    let Some(sent) = request_call(&effects) else { return false };
    harness.step(gateway::Event::AnswerStarted(sent.call));
    harness.end_call(sent.call, gateway::Outcome::Ended);
    true
}

#[test]
fn prompt_with_a_part_that_crashes_engines_is_refused_as_not_run() {
    use refusal::{Kind, Ran};
    let mut harness = Harness::new();
    wait(&mut harness, 2_000);
    assert!(serve_sound_prompt(&mut harness, 200));
    // A prompt waits at an engine while its part is not held yet.
    let (_, effects) = harness.arrive_with("/chat/1", &[2, 66, 300]);
    let waiting = request_call(&effects).expect("a call").call;
    crash_engines(&mut harness);
    let (_, effects) = harness.arrive_with("/chat/1", &[2, 66, 301]);
    assert_eq!(refusal_of(&effects), Some((Kind::PromptHeld, Ran::No)));
    assert!(request_call(&effects).is_none());
    // The waiting one was ended and may have run; the end of its call changes nothing.
    assert!(harness.end_call(waiting, gateway::Outcome::Ended).is_empty());
    // Prompts that share the other parts are served.
    assert!(serve_sound_prompt(&mut harness, 201));
    // After a while one prompt is let through, in case the part is sound.
    wait(&mut harness, 21_000);
    let (_, effects) = harness.arrive_with("/chat/1", &[2, 66, 302]);
    let probe = request_call(&effects).expect("a call").call;
    let (_, effects) = harness.arrive_with("/chat/1", &[2, 66, 303]);
    assert_eq!(refusal_of(&effects), Some((Kind::PromptHeld, Ran::No)));
    harness.step(gateway::Event::AnswerStarted(probe));
    harness.end_call(probe, gateway::Outcome::Ended);
    let (_, effects) = harness.arrive_with("/chat/1", &[2, 66, 304]);
    assert!(request_call(&effects).is_some(), "{effects:?}");
}

#[test]
fn held_prompt_is_refused_before_its_stages_run() {
    let mut harness = Harness::new();
    wait(&mut harness, 2_000);
    assert!(serve_sound_prompt(&mut harness, 200));
    // It has a stage to run first.
    let (_, effects) = harness.arrive_with("/guide/1", &[2, 66, 300]);
    let batch = batch_call(&effects).clone();
    crash_engines(&mut harness);
    assert!(request_call(&harness.complete_batch(&batch)).is_none());
    let (_, effects) = harness.arrive_with("/guide/1", &[2, 66, 301]);
    assert_eq!(refusal_of(&effects), Some((refusal::Kind::PromptHeld, refusal::Ran::No)));
    assert!(!effects.iter().any(|effect| matches!(effect, gateway::Effect::SendBatch(_))));
}

/// Guards against a request without a prompt that is passed on after it has crashed several upstreams,
/// also once the credential of its caller has changed.
#[test]
fn plain_request_that_crashes_upstreams_is_refused_as_not_run() {
    use refusal::{Kind, Ran};
    let mut harness = Harness::new();
    wait(&mut harness, 2_000);
    for number in 0..3_u64 {
        harness.list_upstreams(&[&*format!("u{number}")]);
        let (_, effects) = harness.arrive_as("key", "/book/1", &[], Some(9));
        let sent = request_call(&effects).expect("a call");
        let cause = gateway::BreakCause::ConnectionLost;
        let effects = harness.end_call(sent.call, gateway::Outcome::Broken { last: None, cause });
        assert_eq!(refusal_of(&effects), Some((Kind::UpstreamBroken, Ran::Unknown)));
        wait(&mut harness, 700);
    }
    harness.list_upstreams(&["u8", "u9"]);
    // One waits at an upstream when the request is held.
    let (_, effects) = harness.arrive_as("key", "/book/1", &[], Some(9));
    assert!(request_call(&effects).is_some());
    let effects = harness.advance(ms(1_000));
    assert_eq!(refusal_of(&effects), Some((Kind::PromptHeld, Ran::Unknown)));
    harness.apply_table(&table(6, &["key", "next"]));
    for credential in ["key", "next"] {
        let (_, effects) = harness.arrive_as(credential, "/book/1", &[], Some(9));
        assert_eq!(refusal_of(&effects), Some((Kind::PromptHeld, Ran::No)));
        assert!(request_call(&effects).is_none());
        let (_, effects) = harness.arrive_as(credential, "/book/1", &[], Some(10));
        assert!(request_call(&effects).is_some(), "another request");
    }
}
