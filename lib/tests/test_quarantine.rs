//! Prompts that crash engines: which parts gateways hold back, and how fast they agree.
//!
//! The simulation has many gateways that share only the reports that they write to a store and read
//! some time later, engines that crash when they begin to answer prompts with certain parts, and
//! sound prompts that share parts with those.

use std::collections;
use std::time;

use bramleyshelf_lib::quarantine::suspicion;
use bramleyshelf_lib::{crash_report, id, placement, quarantine};
use bramleyshelf_testutils::values::{ms, name};

fn prompt(parts: &[u64]) -> Vec<placement::PromptPart> {
    parts.iter().map(|id| placement::PromptPart { id: *id, tokens: 100 }).collect()
}

fn engine(number: u64) -> crash_report::EngineProcess {
    crash_report::EngineProcess { instance: name("e"), started_ms: Some(number) }
}

fn report(instance: &str, report: crash_report::Report) -> crash_report::GatewayReport {
    crash_report::GatewayReport { instance: name(instance), report }
}

/// Time after the start of a gateway from which it can judge crashes.
const READY: u64 = 10_000;
/// Time after which it has judged the latest crash.
const SETTLED: u64 = 2_000;

/// Returns a gateway that has run for a while and has seen sound answers with parts 1 and 2.
fn experienced() -> quarantine::Quarantine {
    let mut quarantine = quarantine::Quarantine::new(7);
    quarantine.record_sound(ms(0), &prompt(&[1, 2, 900]));
    quarantine
}

#[test]
fn part_that_explains_three_crashes_is_held() {
    let mut quarantine = experienced();
    for number in 0..3 {
        let now = ms(READY + number * 300);
        assert!(quarantine.update(now).is_empty());
        quarantine.record_crash(now, engine(number), None, &prompt(&[1, 66, 901 + number]));
    }
    let now = ms(READY + SETTLED);
    let changes = quarantine.update(now);
    assert_eq!(changes.len(), 1, "{changes:?}");
    assert_eq!((changes[0].suspect, changes[0].is_held), (66, true));
    assert_eq!(quarantine.held_parts(&prompt(&[2, 66, 950])), [66]);
    assert!(quarantine.held_parts(&prompt(&[1, 2, 950])).is_empty());
    // The last part belongs to the request itself.
    assert!(quarantine.held_parts(&prompt(&[1, 66])).is_empty());
}

/// A prompt of which the digest is known.
fn whole(parts: &[placement::PromptPart], content: u64) -> quarantine::Prompt<'_> {
    quarantine::Prompt { parts, content: Some(content) }
}

/// Guards against a request that crashes engines and is cleared by sound ones with the same parts.
#[test]
fn request_that_explains_three_crashes_is_held() {
    let mut quarantine = quarantine::Quarantine::new(7);
    let parts = prompt(&[1, 2, 940]);
    quarantine.record_sound(ms(0), whole(&parts, 8));
    for number in 0..3 {
        let now = ms(READY + number * 300);
        quarantine.record_crash(now, engine(number), None, whole(&parts, 9));
        // Requests with the same parts wait as well, each only once.
        quarantine.record_crash(now, engine(number), None, whole(&parts, 20 + number));
    }
    let now = ms(READY + SETTLED);
    let changes = quarantine.update(now);
    assert_eq!(changes.len(), 1, "{changes:?}");
    assert!(quarantine::is_request(changes[0].suspect) && changes[0].is_held);
    assert_eq!(quarantine.held_parts(whole(&parts, 9)).len(), 1);
    assert!(quarantine.held_parts(whole(&parts, 8)).is_empty(), "the parts are not held");
    quarantine.record_sound(now + ms(100), whole(&parts, 8));
    assert!(quarantine.update(now + ms(1_000)).is_empty(), "another request clears its parts only");
    assert_eq!(quarantine.held_parts(whole(&parts, 9)).len(), 1);
    quarantine.record_sound(now + ms(100), whole(&parts, 9));
    assert_eq!(quarantine.update(now + ms(2_000)).len(), 1);
    assert!(quarantine.held_parts(whole(&parts, 9)).is_empty());
}

/// A request without a prompt, by its digest.
fn plain(content: u64) -> quarantine::Prompt<'static> {
    quarantine::Prompt { parts: &[], content: Some(content) }
}

/// Guards against a request without a prompt that is passed on after it has crashed several upstreams.
#[test]
fn plain_request_that_explains_three_crashes_is_held() {
    let mut quarantine = experienced();
    for number in 0..3 {
        let now = ms(READY + number * 300);
        assert!(quarantine.update(now).is_empty());
        quarantine.record_crash(now, engine(number), None, plain(9));
        quarantine.record_crash(now, engine(number), None, plain(20 + number));
    }
    assert!(quarantine.is_suspect(plain(9)), "it is not tried at another upstream");
    assert!(!quarantine.is_suspect(plain(20)));
    let now = ms(READY + SETTLED);
    let changes = quarantine.update(now);
    assert_eq!(changes.len(), 1, "{changes:?}");
    assert_eq!(quarantine.held_parts(plain(9)), [quarantine::request_suspect(9)]);
    assert!(quarantine.held_parts(plain(20)).is_empty());
    quarantine.record_sound(now + ms(100), plain(9));
    assert_eq!(quarantine.update(now + ms(1_000)).len(), 1);
    assert!(quarantine.held_parts(plain(9)).is_empty());
}

/// Guards against a hold of a request that is often repeated and waits at many crashes by chance.
#[test]
fn plain_request_with_sound_answers_is_not_held_after_many_crashes() {
    let mut quarantine = quarantine::Quarantine::new(7);
    for number in 0..60 {
        let now = ms(READY + number * 500);
        quarantine.record_sound(now, plain(9));
        quarantine.record_crash(now + ms(100), engine(number), None, plain(9));
        assert!(quarantine.update(now + ms(400)).is_empty());
    }
    // All upstreams crash at once, so that no answer can show that it is sound.
    for number in 100..140 {
        quarantine.record_crash(ms(READY + 31_000), engine(number), None, plain(9));
    }
    assert!(quarantine.update(ms(READY + 31_000 + SETTLED)).is_empty());
}

/// Guards against a request that crashes upstreams from some time on and was sound before.
#[test]
fn plain_request_that_was_sound_is_held_after_more_crashes() {
    let mut quarantine = quarantine::Quarantine::new(7);
    quarantine.record_sound(ms(0), plain(9));
    for number in 0..5 {
        assert!(quarantine.update(ms(READY + 2_000 * number)).is_empty(), "{number}");
        quarantine.record_crash(ms(READY + 2_000 * number), engine(number), None, plain(9));
    }
    assert_eq!(quarantine.update(ms(READY + 8_000 + SETTLED)).len(), 1);
}

/// Guards against sound requests that take the place of parts in what gateways report as sound.
#[test]
fn sound_plain_requests_displace_no_sound_part_from_reports() {
    let mut quarantine = experienced();
    quarantine.record_crash(ms(READY), engine(1), None, &prompt(&[66, 950]));
    quarantine.record_sound(ms(READY + 100), &prompt(&[66, 951]));
    for content in 0..100 {
        quarantine.record_crash(ms(READY + 200), engine(2), None, plain(content));
        quarantine.record_sound(ms(READY + 300), plain(content));
    }
    let sound = quarantine.report(ms(READY + 300)).sound;
    assert!(sound.iter().any(|sound| sound.part == 66), "{sound:?}");
    assert!(sound.len() <= 64, "{}", sound.len());
}

/// Guards against a part that goes on to crash engines because a request with it is held.
#[test]
fn part_is_held_after_a_request_with_it() {
    let mut quarantine = experienced();
    let parts = prompt(&[1, 66, 941]);
    for number in 0..3 {
        quarantine.record_crash(ms(READY), engine(number), None, whole(&parts, 9));
    }
    let changes = quarantine.update(ms(READY + SETTLED));
    assert_eq!(changes.len(), 1, "{changes:?}");
    assert!(quarantine::is_request(changes[0].suspect), "one request explains all");
    let now = READY + 2 * SETTLED;
    quarantine.record_crash(ms(now), engine(3), None, whole(&parts, 10));
    let changes = quarantine.update(ms(now + SETTLED));
    assert_eq!(changes.iter().map(|change| change.suspect).collect::<Vec<_>>(), [66]);
}

fn crash(suspects: &[u64], held: &[u64]) -> suspicion::Evidence {
    let [suspects, held] = [suspects, held].map(<[u64]>::to_vec);
    suspicion::Evidence { suspects, held, is_early: false }
}

/// Guards against a hold that was made by mistake and takes the evidence from the culprit.
#[test]
fn part_is_held_that_explains_more_than_a_held_one() {
    let explained = vec![crash(&[38, 67], &[38]); 3];
    assert_eq!(suspicion::judge(&explained, |_| false), None, "the hold may be right");
    let evidence = [explained.clone(), vec![crash(&[67], &[])]].concat();
    let verdict = suspicion::Verdict { crashes: 4, suspects: vec![67] };
    assert_eq!(suspicion::judge(&evidence, |_| false), Some(verdict));
    let evidence = [explained, vec![crash(&[38], &[38]); 2], vec![crash(&[67], &[])]].concat();
    assert_eq!(suspicion::judge(&evidence, |_| false), None, "the held part explains more");
}

/// Guards against holds of parts that sound requests share and that waited at the engines that a
/// held request crashed. They delayed the hold of a part in run 32 with six kinds of disruptions.
#[test]
fn part_that_was_sound_is_not_held_for_crashes_by_a_request() {
    let request = quarantine::request_suspect(1);
    let by_request = vec![crash(&[50, request], &[request]); 4];
    let evidence = [by_request, vec![crash(&[50], &[])]].concat();
    assert_eq!(suspicion::judge(&evidence, |_| true), None);
    let evidence = [evidence, vec![crash(&[50], &[]); 4]].concat();
    let verdict = suspicion::Verdict { crashes: 5, suspects: vec![50] };
    assert_eq!(suspicion::judge(&evidence, |_| true), Some(verdict));
}

/// Guards against one request that crashes engines and delays the hold of another one, because both
/// wait at the same few engines.
#[test]
fn request_is_held_beside_one_that_explains_more() {
    let [first, second] = [1, 2].map(quarantine::request_suspect);
    let evidence =
        [vec![crash(&[first], &[first]); 6], vec![crash(&[second], &[first]); 3]].concat();
    let verdict = suspicion::Verdict { crashes: 3, suspects: vec![second] };
    assert_eq!(suspicion::judge(&evidence, |_| false), Some(verdict));
}

/// Guards against a part that stays held for what two requests did, so that sound requests with it
/// are refused.
#[test]
fn part_is_released_once_held_requests_explain_its_crashes() {
    let mut quarantine = experienced();
    let parts = prompt(&[1, 66, 944]);
    for number in 0..4 {
        let content = 9 + number % 2;
        quarantine.record_crash(ms(READY), engine(number), None, whole(&parts, content));
    }
    let changes = quarantine.update(ms(READY + SETTLED));
    assert_eq!(changes.iter().map(|change| change.suspect).collect::<Vec<_>>(), [66]);
    let now = READY + SETTLED;
    for number in 4..6 {
        let content = 9 + number % 2;
        quarantine.record_crash(ms(now), engine(number), None, whole(&parts, content));
    }
    quarantine.update(ms(now + SETTLED));
    assert!(quarantine.held_parts(whole(&parts, 8)).is_empty(), "the part is not to blame");
    assert_eq!(quarantine.held_parts(whole(&parts, 9)).len(), 1);
    assert_eq!(quarantine.held_parts(whole(&parts, 10)).len(), 1);
    // A crash of a further request shows that it is the part after all.
    quarantine.record_crash(ms(now + SETTLED), engine(6), None, whole(&parts, 11));
    quarantine.update(ms(now + 2 * SETTLED));
    assert_eq!(quarantine.held_parts(whole(&parts, 8)), [66]);
}

/// Guards against a report of an earlier process that outlasts the release of what it holds.
#[test]
fn restarted_gateway_reports_its_earlier_holds() {
    let mut quarantine = experienced();
    for number in 0..3 {
        quarantine.record_crash(ms(READY), engine(number), None, &prompt(&[1, 66, 945]));
    }
    quarantine.update(ms(READY + SETTLED));
    let held = quarantine.report(ms(READY + SETTLED));
    // The report of another gateway comes first.
    let reports = [report("g1", held.clone()), report("g2", held)];
    let mut started = quarantine::Quarantine::new(9);
    started.apply_reports(ms(50), &name("g2"), &reports);
    assert_eq!(started.report(ms(50)).held.len(), 1);
    started.record_sound(ms(60), &prompt(&[66, 946]));
    assert!(started.report(ms(60)).held.is_empty());
}

/// Guards against a request that other gateways, or those that start later, let go.
#[test]
fn reports_pass_held_requests_on() {
    let [mut first, mut second] = [1, 2].map(|_| experienced());
    let parts = prompt(&[1, 2, 942]);
    first.record_crash(ms(READY), engine(0), None, whole(&parts, 9));
    second.record_crash(ms(READY), engine(1), None, whole(&parts, 9));
    first.record_crash(ms(READY), engine(2), None, whole(&parts, 9));
    let reports = [report("g1", first.report(ms(READY))), report("g2", second.report(ms(READY)))];
    first.apply_reports(ms(READY), &name("g1"), &reports);
    assert_eq!(first.update(ms(READY + SETTLED)).len(), 1);
    let reports = [report("g1", first.report(ms(READY + SETTLED)))];
    let mut third = quarantine::Quarantine::new(8);
    third.apply_reports(ms(READY + SETTLED), &name("g3"), &reports);
    assert_eq!(third.held_parts(whole(&parts, 9)).len(), 1);
}

/// Guards against memory that grows with each request.
#[test]
fn endless_distinct_requests_are_not_remembered() {
    let mut quarantine = experienced();
    let parts = prompt(&[1, 2, 943]);
    for content in 0..50_000 {
        quarantine.record_sound(ms(READY + content), whole(&parts, content));
        quarantine.record_crash(
            ms(READY + content),
            engine(content % 600),
            None,
            whole(&parts, content),
        );
    }
    let report = quarantine.report(ms(READY + 50_000));
    let suspects: usize = report.crashes.iter().map(|crash| crash.suspects.len()).sum();
    assert!(report.crashes.len() <= 16 && suspects <= 16 * 48, "{suspects}");
    assert!(format!("{quarantine:?}").len() < 4 << 20, "its state is bounded");
}

/// Guards against memory that grows with each request without a prompt.
#[test]
fn endless_distinct_plain_requests_are_not_remembered() {
    let mut quarantine = experienced();
    for content in 0..50_000 {
        let now = ms(READY + content);
        quarantine.record_crash(now, engine(content % 600), None, plain(content));
        quarantine.record_sound(now + ms(1), plain(content));
        quarantine.record_sound(now + ms(1), plain(100_000 + content));
    }
    let report = quarantine.report(ms(READY + 50_000));
    let suspects: usize = report.crashes.iter().map(|crash| crash.suspects.len()).sum();
    assert!(report.crashes.len() <= 16 && suspects <= 16 * 48, "{suspects}");
    assert!(report.sound.len() <= 64, "{}", report.sound.len());
    assert!(format!("{quarantine:?}").len() < 4 << 20, "its state is bounded");
}

#[test]
fn sound_parts_are_not_held_after_many_engines_crash_at_once() {
    let mut quarantine = experienced();
    quarantine.record_sound(ms(READY), &prompt(&[1, 2, 902]));
    for number in 0..40 {
        quarantine.record_crash(ms(READY + 500), engine(number), None, &prompt(&[1, 2, 903]));
    }
    assert!(quarantine.update(ms(READY + SETTLED)).is_empty());
    // A gateway that has just started knows no sound part yet.
    let mut started = quarantine::Quarantine::new(7);
    for number in 0..40 {
        started.record_crash(ms(READY), engine(number), None, &prompt(&[1, 2, 903]));
    }
    assert!(started.update(ms(READY + SETTLED)).is_empty());
}

#[test]
fn answers_that_were_running_do_not_explain_crashes() {
    let mut quarantine = experienced();
    for number in 0..9 {
        let now = ms(READY + number * 3_000);
        let begun = Some(now.checked_sub(ms(900)).expect("a time"));
        quarantine.record_crash(now, engine(number), begun, &prompt(&[1, 5, 904]));
    }
    assert!(quarantine.update(ms(READY + 40_000)).is_empty());
}

#[test]
fn crash_that_a_held_part_explains_holds_no_other_part() {
    let mut quarantine = experienced();
    for number in 0..8 {
        let now = ms(READY + number * 100);
        quarantine.record_crash(now, engine(number), None, &prompt(&[1, 66, 905]));
        if number > 2 {
            // Another prompt waited at the same engine.
            quarantine.record_crash(now, engine(number), None, &prompt(&[1, 7, 906]));
        }
    }
    let changes = quarantine.update(ms(READY + 3_000));
    assert_eq!(changes.iter().map(|change| change.suspect).collect::<Vec<_>>(), [66]);
}

#[test]
fn engine_that_answers_again_has_not_crashed() {
    let mut quarantine = experienced();
    for number in 0..3 {
        quarantine.record_crash(ms(READY), engine(number), None, &prompt(&[1, 66, 907]));
    }
    let earlier = report("g1", quarantine.report(ms(READY)));
    quarantine.record_alive(ms(READY + 100), &engine(1));
    // A report from before does not bring the crash back.
    quarantine.apply_reports(ms(READY + 200), &name("g1"), &[earlier]);
    assert!(quarantine.update(ms(READY + SETTLED)).is_empty());
    assert_eq!(quarantine.report(ms(READY + 200)).crashes.len(), 2);
}

#[test]
fn latest_crashes_are_reported() {
    let mut quarantine = experienced();
    for number in 0..40 {
        let now = ms(READY + number);
        quarantine.record_crash(now, engine(number), None, &prompt(&[66, 933 + number]));
    }
    let crashes = quarantine.report(ms(READY + 40)).crashes;
    assert_eq!(crashes.first().map(|crash| &crash.engine), Some(&engine(39)));
    assert!(crashes.iter().all(|crash| crash.engine > engine(20)), "{crashes:?}");
}

#[test]
fn reports_pass_crashes_holds_and_sound_parts_on() {
    let [mut first, mut second, mut third] = [1, 2, 3].map(|_| experienced());
    let names: [id::InstanceId; 3] = ["g1", "g2", "g3"].map(name);
    let now = ms(READY);
    first.record_crash(now, engine(1), None, &prompt(&[1, 66, 908]));
    second.record_crash(now, engine(2), None, &prompt(&[2, 66, 909]));
    second.record_crash(now, engine(3), None, &prompt(&[66, 1, 910]));
    let reports = [report("g1", first.report(now)), report("g2", second.report(now))];
    for (gateway, own) in [(&mut first, &names[0]), (&mut second, &names[1])] {
        gateway.apply_reports(now, own, &reports);
        let changes = gateway.update(ms(READY + SETTLED));
        assert_eq!(changes.iter().map(|change| change.suspect).collect::<Vec<_>>(), [66]);
    }
    // A gateway that starts later, also under a name that it had, holds what was held.
    let now = ms(READY + SETTLED);
    let reports = [report("g1", first.report(now)), report("g3", third.report(now))];
    for own in &names {
        let mut started = quarantine::Quarantine::new(9);
        started.apply_reports(ms(50), own, &reports);
        assert_eq!(started.update(ms(50)).len(), 1);
        assert_eq!(started.held_parts(&prompt(&[66, 911])), [66]);
    }
    third.apply_reports(now, &names[2], &reports);
    // One prompt is let through after a while, and its answer turns out to be sound.
    let now = ms(READY + 60_000);
    assert!(first.take_probe(now, 66));
    assert!(!first.take_probe(now, 66), "one prompt only");
    first.record_sound(now, &prompt(&[66, 912]));
    assert!(first.held_parts(&prompt(&[66, 913])).is_empty());
    let held_by_second = report("g2", second.report(now));
    let reports = [report("g1", first.report(now)), held_by_second];
    for _ in 0..2 {
        third.apply_reports(now + ms(1), &names[2], &reports);
    }
    assert!(third.held_parts(&prompt(&[66, 914])).is_empty());
}

#[test]
fn hold_of_a_gateway_without_engines_is_not_taken_over() {
    let [mut severed, mut other] = [1, 2].map(|_| experienced());
    // All connections of the first gateway are reset, again and again.
    for number in 0..9 {
        let now = ms(READY + number * 400);
        severed.record_crash(now, engine(number), None, &prompt(&[1, 2, 916 + number]));
    }
    let now = ms(READY + 6_000);
    assert_eq!(severed.update(now).len(), 2);
    other.record_sound(ms(READY + 5_000), &prompt(&[1, 2, 930]));
    let reports = [report("g1", severed.report(now))];
    other.apply_reports(now, &name("g2"), &reports);
    assert!(other.update(now).is_empty());
    // The next sound answers there release the parts.
    other.record_sound(ms(READY + 6_100), &prompt(&[1, 2, 931]));
    let reports = [report("g2", other.report(now))];
    severed.apply_reports(ms(READY + 7_000), &name("g1"), &reports);
    assert!(severed.held_parts(&prompt(&[1, 2, 932])).is_empty());
}

#[test]
fn holds_end_and_old_crashes_do_not_start_them_again() {
    let mut quarantine = experienced();
    for number in 0..3 {
        quarantine.record_crash(ms(READY), engine(number), None, &prompt(&[1, 66, 915]));
    }
    assert_eq!(quarantine.update(ms(READY + SETTLED)).len(), 1);
    let reports = [report("g1", quarantine.report(ms(READY + SETTLED)))];
    let later = ms(READY + SETTLED) + time::Duration::from_mins(10);
    let changes = quarantine.update(later);
    assert_eq!((changes.len(), changes[0].is_held), (1, false));
    quarantine.apply_reports(later, &name("g2"), &reports);
    assert!(quarantine.update(later + ms(SETTLED)).is_empty());
}

/// Time after the fifth crash by a part from which gateways in touch send no more than
/// [`MAX_LATE_SENDS`] prompts with it: the bounds that the platform documents.
const STABLE_WINDOW: u64 = 4_000;
const MAX_LATE_SENDS: usize = 3;
/// Share of sound prompts whose answer has to begin at the first attempt, twice the window later,
/// relative to that before the crashes.
const MIN_BEGUN_SHARE: f64 = 0.5;

/// Kinds of disruptions, without and with gateways whose connections to engines are reset.
const DISRUPTIONS: u32 = 6;
const ALL_DISRUPTIONS: u32 = 7;
/// Number of simulated runs of each test.
const SEEDS: u64 = 12;
const STEP_MS: u64 = 20;
/// Length of a run, the start of the prompts that crash engines, and that of the disruptions.
const END_MS: u64 = 90_000;
const CRASH_START_MS: u64 = 12_000;
/// Pause between two reads of the reports, and between two writes of one gateway.
const READ_PAUSE_MS: u64 = 900;
const WRITE_PAUSE_MS: u64 = 600;
/// Largest additional age of reads that another gateway passes on.
const RELAY_AGE_MS: u64 = 700;
/// Time that a crashed engine, and a killed gateway, is away.
const ENGINE_DOWN_MS: u64 = 3_000;
const GATEWAY_DOWN_MS: u64 = 1_000;

/// Shared parts of the requests that crash engines as a whole, and the share of steps in which a
/// sound request with the same ones arrives.
const REQUEST_PARTS: [u64; 3] = [1, 10, 69];
const BESIDE_SHARE: f64 = 0.1;

/// Digests from here on belong to requests without a prompt.
const FIRST_PLAIN: u64 = 1 << 40;
/// Number of sound requests without a prompt that arrive again and again, and of those that arrive in
/// each step if some requests without a prompt crash upstreams.
const REPEATED_PLAIN: u64 = 6;
const MAX_PLAIN_ARRIVALS: u64 = 4;

/// Returns the suspect that is a request without a prompt.
fn plain_suspect(number: u64) -> u64 {
    quarantine::request_suspect(FIRST_PLAIN + number)
}

/// Returns whether a suspect is a request without a prompt.
fn is_plain(suspect: u64) -> bool {
    quarantine::is_request(suspect) && suspect >= plain_suspect(0)
}

/// Returns the suspects of a request that crashes engines.
fn crashing_request(suspect: u64) -> Vec<u64> {
    if is_plain(suspect) {
        return vec![suspect];
    }
    [&REQUEST_PARTS[..], &[500, suspect]].concat()
}

/// A gateway of the simulation.
struct Node {
    name: id::InstanceId,
    quarantine: quarantine::Quarantine,
    /// Time at which it is up again.
    up_at: u64,
    /// Whether it has read the store since its start. Before that, it refuses all requests.
    has_read: bool,
    /// Time until which it does not reach the store.
    cut_until: u64,
    /// Time until which its connections to engines are reset.
    severed_until: u64,
    read_due: u64,
    /// Reads that were passed on, with the time at which they arrive.
    read: Option<(u64, Vec<crash_report::GatewayReport>)>,
    write_due: u64,
    written: crash_report::Report,
}

impl Node {
    /// Returns whether the bounds hold for what it sends now.
    fn is_in_touch(&self, now: u64) -> bool {
        let disturbed = self.up_at.max(self.cut_until).max(self.severed_until);
        now >= disturbed + STABLE_WINDOW
    }
}

/// A call in flight.
struct Call {
    node: usize,
    engine: usize,
    process: u64,
    sent: u64,
    begin: u64,
    end: u64,
    has_begun: bool,
    is_sound_recorded: bool,
    /// Its prompt parts and, as the last one, the suspect that is the request itself.
    suspects: Vec<u64>,
    attempts: u32,
}

/// Returns what a quarantine is told of a request with these suspects.
fn with_prompt<T>(suspects: &[u64], run: impl FnOnce(quarantine::Prompt<'_>) -> T) -> T {
    let (content, parts) = suspects.split_last().expect("a request");
    run(whole(&prompt(parts), *content))
}

impl Call {
    fn process(&self) -> crash_report::EngineProcess {
        let instance = name(&format!("e{}", self.engine));
        crash_report::EngineProcess { instance, started_ms: Some(self.process) }
    }
}

/// A sound prompt at a gateway in touch.
struct SoundPrompt {
    at: u64,
    /// Whether its first attempt began.
    has_begun: bool,
    /// Whether all its shared parts are those of the requests that crash engines.
    is_beside: bool,
}

/// A simulated system and what it has done.
struct Simulation {
    rng: fastrand::Rng,
    now: u64,
    nodes: Vec<Node>,
    /// Start number of each engine and the time at which it is up.
    engines: Vec<(u64, u64)>,
    calls: Vec<Call>,
    store: collections::BTreeMap<id::InstanceId, crash_report::GatewayReport>,
    /// Parts and requests that crash engines.
    crashing: Vec<u64>,
    crashes: collections::BTreeMap<u64, Vec<u64>>,
    /// Times at which gateways in touch sent a prompt to an engine, by the part that crashes it.
    sends: collections::BTreeMap<u64, Vec<u64>>,
    /// Sound prompts at gateways in touch.
    sound: Vec<SoundPrompt>,
    next_own: u64,
}

impl Simulation {
    fn new(seed: u64, nodes: usize, engines: usize, crashing: &[u64]) -> Self {
        let node = |number: usize| Node {
            name: name(&format!("g{number}")),
            quarantine: quarantine::Quarantine::new(number as u64 * 1_000),
            up_at: 0,
            has_read: true,
            cut_until: 0,
            severed_until: 0,
            read_due: number as u64 * 37 % READ_PAUSE_MS,
            read: None,
            write_due: 0,
            written: crash_report::Report::default(),
        };
        Self {
            rng: fastrand::Rng::with_seed(seed),
            now: 0,
            nodes: (0..nodes).map(node).collect(),
            engines: vec![(1, 0); engines],
            calls: Vec::new(),
            store: collections::BTreeMap::new(),
            crashing: crashing.to_vec(),
            crashes: collections::BTreeMap::new(),
            sends: collections::BTreeMap::new(),
            sound: Vec::new(),
            next_own: 1_000_000,
        }
    }

    /// Lets a prompt with these shared parts arrive at any gateway.
    fn arrive(&mut self, shared: &[u64]) {
        self.next_own += 1;
        let own = self.next_own;
        self.arrive_whole([shared, &[own, quarantine::request_suspect(own)]].concat());
    }

    /// Lets a sound request without a prompt arrive: one that arrives only once, or a repeated one.
    fn arrive_plain(&mut self) {
        self.next_own += 1;
        let repeated = plain_suspect(self.rng.u64(..REPEATED_PLAIN));
        let suspect = if self.rng.bool() { repeated } else { plain_suspect(self.next_own) };
        self.arrive_whole(vec![suspect]);
    }

    /// Lets a request arrive at any gateway.
    fn arrive_whole(&mut self, suspects: Vec<u64>) {
        let node = self.rng.usize(..self.nodes.len());
        let is_sound = self.cause(&suspects).is_none();
        let is_counted = is_sound && self.nodes[node].is_in_touch(self.now);
        let is_beside = suspects.starts_with(&REQUEST_PARTS) || is_plain(suspects[0]);
        let has_begun = self.send(node, suspects, 1);
        // A sound prompt that was sent counts as begun; it is taken back if its engine crashes.
        if is_counted {
            self.sound.push(SoundPrompt { at: self.now, has_begun, is_beside });
        }
    }

    /// Returns what of a request crashes engines.
    fn cause(&self, suspects: &[u64]) -> Option<u64> {
        suspects.iter().find(|suspect| self.crashing.contains(suspect)).copied()
    }

    /// Sends a prompt to an engine unless a part is held; returns whether it was sent.
    fn send(&mut self, node: usize, suspects: Vec<u64>, attempts: u32) -> bool {
        let (now, is_up) = (self.now, self.nodes[node].has_read);
        let quarantine = &self.nodes[node].quarantine;
        let held = with_prompt(&suspects, |prompt| quarantine.held_parts(prompt));
        let may_run = match held[..] {
            [] => true,
            [part] => {
                let is_owner = part as usize % self.nodes.len() == node;
                is_owner && self.nodes[node].quarantine.take_probe(ms(now), part)
            }
            _ => false,
        };
        if !is_up || !may_run {
            return false;
        }
        let up: Vec<_> =
            (0..self.engines.len()).filter(|engine| self.engines[*engine].1 <= now).collect();
        let Some(engine) = self.rng.choice(up) else { return false };
        if let Some(cause) = self.cause(&suspects)
            && self.nodes[node].is_in_touch(now)
        {
            self.sends.entry(cause).or_default().push(now);
        }
        let begin = now + self.rng.u64(60..400);
        let end = begin + self.rng.u64(200..3_000);
        let process = self.engines[engine].0;
        self.calls.push(Call {
            node,
            engine,
            process,
            sent: now,
            begin,
            end,
            has_begun: false,
            is_sound_recorded: false,
            suspects,
            attempts,
        });
        true
    }

    /// Ends an engine's process and breaks its calls.
    fn crash(&mut self, engine: usize) {
        let now = self.now;
        self.engines[engine] = (self.engines[engine].0 + 1, now + ENGINE_DOWN_MS);
        self.break_calls(|call| call.engine == engine);
    }

    /// Breaks calls. Those that may be repeated are sent again.
    fn break_calls(&mut self, is_broken: impl Fn(&Call) -> bool) {
        let now = ms(self.now);
        let all = std::mem::take(&mut self.calls);
        let (broken, rest) = all.into_iter().partition::<Vec<_>, _>(is_broken);
        self.calls = rest;
        for call in broken {
            let begun = call.has_begun.then(|| ms(call.begin));
            let process = call.process();
            let quarantine = &mut self.nodes[call.node].quarantine;
            let is_suspect = with_prompt(&call.suspects, |prompt| {
                quarantine.record_crash(now, process, begun, prompt);
                quarantine.is_suspect(prompt)
            });
            if call.attempts < 2 && !is_suspect {
                self.send(call.node, call.suspects, call.attempts + 1);
            }
        }
    }

    /// Advances the calls in flight by one step.
    fn run_calls(&mut self) {
        let now = self.now;
        let severed: Vec<_> = self.nodes.iter().map(|node| node.severed_until > now).collect();
        // A call that is sent again is broken in the next step.
        self.break_calls(|call| severed[call.node] && call.sent < now);
        for index in 0..self.calls.len() {
            let process = self.calls[index].process();
            let call = &mut self.calls[index];
            let quarantine = &mut self.nodes[call.node].quarantine;
            if call.begin <= now && !call.has_begun {
                if call.suspects.iter().any(|suspect| self.crashing.contains(suspect)) {
                    continue;
                }
                call.has_begun = true;
                quarantine.record_alive(ms(call.sent), &process);
            }
            let is_shown = call.end <= now || now >= call.begin + 500;
            if call.has_begun && is_shown && !call.is_sound_recorded {
                call.is_sound_recorded = true;
                let begun = ms(call.begin);
                with_prompt(&call.suspects, |prompt| quarantine.record_sound(begun, prompt));
            }
        }
        self.calls.retain(|call| !call.has_begun || call.end > now);
        while let Some(call) = self.calls.iter().find(|call| call.begin <= now && !call.has_begun) {
            let engine = call.engine;
            let cause = self.cause(&call.suspects).expect("it crashes");
            self.crashes.entry(cause).or_default().push(now);
            self.crash(engine);
        }
    }

    /// Lets the gateways read and write reports and decide.
    fn run_nodes(&mut self) {
        let now = self.now;
        for node in &mut self.nodes {
            if now < node.up_at {
                continue;
            }
            if let Some((_, reports)) = node.read.take_if(|(arrival, _)| *arrival <= now) {
                node.has_read = true;
                node.quarantine.apply_reports(ms(now), &node.name, &reports);
            }
            if now >= node.read_due && now >= node.cut_until && node.read.is_none() {
                node.read_due = now + READ_PAUSE_MS;
                let delay = self.rng.u64(5..RELAY_AGE_MS);
                node.read = Some((now + delay, self.store.values().cloned().collect()));
            }
            node.quarantine.update(ms(now));
            let report = node.quarantine.report(ms(now));
            if report != node.written && now >= node.write_due && now >= node.cut_until {
                node.write_due = now + WRITE_PAUSE_MS;
                node.written = report.clone();
                let instance = node.name.clone();
                self.store
                    .insert(instance.clone(), crash_report::GatewayReport { instance, report });
            }
        }
    }

    fn kill(&mut self, node: usize) {
        let now = self.now;
        self.calls.retain(|call| call.node != node);
        let node = &mut self.nodes[node];
        let origin = self.rng.u64(..);
        node.quarantine = quarantine::Quarantine::new(origin);
        node.up_at = now + GATEWAY_DOWN_MS;
        node.read = None;
        node.has_read = false;
        node.read_due = node.up_at;
        node.written = crash_report::Report::default();
    }

    /// Injects a disruption that has nothing to do with prompts.
    fn disrupt(&mut self, kinds: u32) {
        let node = self.rng.usize(..self.nodes.len());
        match self.rng.u32(..kinds) {
            0 => self.kill(node),
            1 => (0..self.nodes.len()).for_each(|node| self.kill(node)),
            2 => self.nodes[node].cut_until = self.now + self.rng.u64(2_000..9_000),
            3 => {
                let share = self.rng.f64() * 0.4;
                for engine in 0..self.engines.len() {
                    if self.rng.f64() < share {
                        self.crash(engine);
                    }
                }
            }
            4 => self.break_calls(|call| call.node == node),
            6 => self.nodes[node].severed_until = self.now + self.rng.u64(1_000..6_000),
            _ => {
                let engine = self.rng.usize(..self.engines.len());
                self.crash(engine);
            }
        }
    }

    /// Runs the simulation with that many kinds of disruptions.
    fn run(&mut self, disruptions: u32) {
        let mut disrupt_at = CRASH_START_MS;
        while self.now < END_MS {
            self.now += STEP_MS;
            for _ in 0..self.rng.u32(0..4) {
                let shared =
                    [1 + self.rng.u64(..2), 10 + self.rng.u64(..8), 30 + self.rng.u64(..30)];
                let length = self.rng.usize(1..=shared.len());
                self.arrive(&shared[..length]);
            }
            if self.now > CRASH_START_MS && self.rng.f64() < 0.08 {
                let suspect = self.crashing[self.rng.usize(..self.crashing.len())];
                if quarantine::is_request(suspect) {
                    self.arrive_whole(crashing_request(suspect));
                } else {
                    let mut shared = vec![1 + self.rng.u64(..2), 10 + self.rng.u64(..8)];
                    shared.insert(self.rng.usize(..=shared.len()), suspect);
                    self.arrive(&shared);
                }
            }
            if self
                .crashing
                .iter()
                .any(|suspect| quarantine::is_request(*suspect) && !is_plain(*suspect))
                && self.rng.f64() < BESIDE_SHARE
            {
                self.arrive(&REQUEST_PARTS);
            }
            if self.crashing.iter().any(|suspect| is_plain(*suspect)) {
                for _ in 0..self.rng.u64(..MAX_PLAIN_ARRIVALS) {
                    self.arrive_plain();
                }
            }
            if disruptions > 0 && self.now >= disrupt_at {
                disrupt_at = self.now + self.rng.u64(1_000..6_000);
                self.disrupt(disruptions);
            }
            self.run_calls();
            self.run_nodes();
        }
    }

    /// Returns which of the documented bounds were broken.
    fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let mut settled = 0;
        for suspect in &self.crashing {
            let crashes = self.crashes.get(suspect).cloned().unwrap_or_default();
            let last = crashes.iter().take(5).next_back().copied().unwrap_or_default();
            settled = settled.max(last + 2 * STABLE_WINDOW);
            // The bound counts from an earlier crash for requests without a prompt.
            let bound_crash = if is_plain(*suspect) { 2 } else { 4 };
            let Some(counted) = crashes.get(bound_crash) else { continue };
            let sends = self.sends.get(suspect).into_iter().flatten();
            let late = sends.filter(|at| **at > counted + STABLE_WINDOW).count();
            if late > MAX_LATE_SENDS {
                faults.push(format!("suspect {suspect:x}: {late} late, {crashes:?}"));
            }
        }
        for is_beside in [false, true] {
            // The bound holds for 20 sound prompts or more.
            let share = |from: u64, until: u64| {
                let is_meant = |sound: &&SoundPrompt| {
                    (from..until).contains(&sound.at) && (sound.is_beside || !is_beside)
                };
                let sound: Vec<_> = self.sound.iter().filter(is_meant).collect();
                let begun = sound.iter().filter(|sound| sound.has_begun).count();
                (sound.len() >= 20).then(|| begun as f64 / sound.len() as f64)
            };
            let Some(calm) = share(0, CRASH_START_MS) else { continue };
            let Some(later) = share(settled, END_MS) else { continue };
            if later < calm * MIN_BEGUN_SHARE {
                faults.push(format!("beside {is_beside}: {later} after {calm}"));
            }
        }
        faults
    }
}

/// Returns the seeds of a test: those given, or those of `SIMULATION_SEEDS=FROM..TO`.
fn seeds(usual: impl IntoIterator<Item = u64>) -> Vec<u64> {
    let Ok(range) = std::env::var("SIMULATION_SEEDS") else { return usual.into_iter().collect() };
    let (from, to) = range.split_once("..").expect("a range");
    (from.parse().expect("a number")..to.parse().expect("a number")).collect()
}

/// Runs the simulation with each seed and checks the documented bounds. `make` returns the numbers
/// of gateways and engines, and the suspects that crash engines.
fn check_runs(seeds: Vec<u64>, disruptions: u32, make: impl Fn(u64) -> ((usize, usize), Vec<u64>)) {
    let mut faults = Vec::new();
    for seed in seeds {
        let ((nodes, engines), crashing) = make(seed);
        let mut simulation = Simulation::new(seed, nodes, engines, &crashing);
        simulation.run(disruptions);
        faults.extend(simulation.faults().into_iter().map(|fault| format!("seed {seed}: {fault}")));
    }
    assert!(faults.is_empty(), "{} faults:\n{}", faults.len(), faults.join("\n"));
}

/// Returns the numbers of gateways and engines of a run, and the parts that crash engines.
fn parts_run(seed: u64, least: (usize, usize)) -> ((usize, usize), Vec<u64>) {
    let sizes = [least, (5, 9), (24, 60)][seed as usize / 3 % 3];
    (sizes, [66, 67, 68][..=(seed as usize % 3)].to_vec())
}

/// Returns the same for runs in which one request, two with the same shared parts, or one beside a
/// part crash engines.
fn requests_run(seed: u64) -> ((usize, usize), Vec<u64>) {
    let (sizes, _) = parts_run(seed, (4, 8));
    let [first, second] = [1, 2].map(quarantine::request_suspect);
    let crashing = [vec![first], vec![first, second], vec![first, 66]];
    (sizes, crashing[seed as usize % 3].clone())
}

/// Returns the same for runs in which one request without a prompt, two, or one beside a part crash
/// engines.
fn plain_run(seed: u64) -> ((usize, usize), Vec<u64>) {
    let (sizes, _) = parts_run(seed, (4, 8));
    let [first, second] = [REPEATED_PLAIN, REPEATED_PLAIN + 1].map(plain_suspect);
    let crashing = [vec![first], vec![first, second], vec![first, 66]];
    (sizes, crashing[seed as usize % 3].clone())
}

#[test]
fn many_gateways_hold_crashing_parts_back_and_serve_the_rest() {
    check_runs(seeds(0..SEEDS), 0, |seed| parts_run(seed, (1, 6)));
}

/// In this run a part of prompts that waited at several crashing engines is held first.
#[test]
fn hold_of_a_bystander_does_not_delay_that_of_the_culprit() {
    check_runs(vec![172], DISRUPTIONS, |seed| parts_run(seed, (4, 8)));
}

#[test]
fn three_parts_at_eight_engines_are_held_in_time() {
    check_runs(vec![128], ALL_DISRUPTIONS, |seed| parts_run(seed, (4, 8)));
}

#[test]
fn disrupted_gateways_hold_crashing_parts_back_and_serve_the_rest() {
    check_runs(seeds(0..SEEDS), DISRUPTIONS, |seed| parts_run(seed, (4, 8)));
}

#[test]
fn severed_gateways_hold_crashing_parts_back_and_serve_the_rest() {
    // In run 127, a hold of a severed gateway once took sound prompts from all others.
    let seeds = seeds((0..SEEDS).chain([127]));
    check_runs(seeds, ALL_DISRUPTIONS, |seed| parts_run(seed, (4, 8)));
}

/// Guards against a request that is let go again, or whose parts are held, because sound requests
/// share all of its parts but the last one. Its callers send it again and again under new ids.
#[test]
fn crashing_requests_are_held_back_and_those_beside_them_served() {
    check_runs(seeds(0..SEEDS), 0, requests_run);
}

#[test]
fn disrupted_gateways_hold_crashing_requests_back_and_serve_those_beside_them() {
    // In these runs, a part that the requests share was held for good once all gateways had restarted.
    check_runs(seeds((0..SEEDS).chain([187, 271])), DISRUPTIONS, requests_run);
}

#[test]
fn severed_gateways_hold_crashing_requests_back_and_serve_those_beside_them() {
    // In runs 67 and 193 the second request was held too late, in run 100 a shared part for good.
    check_runs(seeds((0..SEEDS).chain([67, 100, 193])), ALL_DISRUPTIONS, requests_run);
}

/// In these runs gateways hold parts that sound prompts share, and all gateways restart before the
/// release of the parts is reported.
#[test]
fn mistaken_hold_does_not_outlast_a_restart_of_all_gateways() {
    check_runs(vec![258, 267], ALL_DISRUPTIONS, requests_run);
}

/// Guards against a request without a prompt that its callers send again and again, beside sound ones
/// that are repeated as well.
#[test]
fn crashing_plain_requests_are_held_back_and_others_served() {
    check_runs(seeds(0..SEEDS), 0, plain_run);
}

#[test]
fn disrupted_gateways_hold_crashing_plain_requests_back_and_serve_others() {
    check_runs(seeds(0..SEEDS), DISRUPTIONS, plain_run);
}

#[test]
fn severed_gateways_hold_crashing_plain_requests_back_and_serve_others() {
    check_runs(seeds(0..SEEDS), ALL_DISRUPTIONS, plain_run);
}
