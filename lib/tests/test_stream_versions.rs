//! Tests of the versions at which streams go on: what one gateway may conclude from what it has seen.

mod gateway_harness;

use std::collections;

use bramleyshelf_lib::{clock, fleet, gateway, id, refusal, stream_versions, table, unit};
use bramleyshelf_testutils::values::{ms, name};
use gateway_harness::{Harness, refusal_of, request_call};
use stream_versions::{LoneVersion, Origin, SoftwareVersion, StreamKey, StreamVersions};

fn at(millis: u64) -> clock::Now {
    clock::Now { mono: ms(100_000 + millis), wall: ms(1_000_000 + millis) }
}

fn app() -> id::ServiceId {
    name("app")
}

fn version(text: &str) -> SoftwareVersion {
    name(text)
}

fn list(versions: &mut StreamVersions, now: clock::Now, listed: &[&str]) {
    let listed = listed.iter().map(|text| version(text)).collect();
    versions.update(now, &[(name("app"), listed)].into());
}

/// Lists the same versions every second of a time.
fn list_from(versions: &mut StreamVersions, from: u64, to: u64, listed: &[&str]) {
    for now in (from..=to).step_by(1_000) {
        list(versions, at(now), listed);
    }
}

fn origin(versions: &StreamVersions, now: u64, request: &str) -> Origin {
    versions.origin(at(now), &name("app"), Some(StreamKey::of(request)))
}

#[test]
fn origin_is_the_only_version_once_it_has_been_alone_for_long() {
    let mut versions = StreamVersions::default();
    list_from(&mut versions, 0, 29_000, &["v1"]);
    assert_eq!(origin(&versions, 29_500, "x"), Origin::Unknown);
    list(&mut versions, at(30_000), &["v1"]);
    assert_eq!(origin(&versions, 30_000, "x"), Origin::Version(version("v1")));
    assert_eq!(versions.origin(at(30_000), &name("app"), None), Origin::Version(version("v1")));
    // Without a recent list, another version may have come.
    assert_eq!(origin(&versions, 34_000, "x"), Origin::Unknown);
    list(&mut versions, at(35_000), &["v1"]);
    assert_eq!(origin(&versions, 35_000, "x"), Origin::Version(version("v1")));
}

#[test]
fn origin_waits_for_twice_the_longest_stream() {
    let mut versions = StreamVersions::default();
    versions.set_longest(ms(40_000));
    list_from(&mut versions, 0, 79_000, &["v1"]);
    assert_eq!(origin(&versions, 79_500, "x"), Origin::Unknown);
    list(&mut versions, at(80_000), &["v1"]);
    assert_eq!(origin(&versions, 80_000, "x"), Origin::Version(version("v1")));
}

#[test]
fn origin_after_a_freeze_needs_a_new_list() {
    let mut versions = StreamVersions::default();
    list_from(&mut versions, 0, 40_000, &["v1"]);
    let woken = clock::Now { wall: at(60_000).wall, ..at(40_500) };
    assert_eq!(versions.origin(woken, &name("app"), None), Origin::Unknown);
}

#[test]
fn origin_is_the_former_version_while_a_new_one_is_introduced() {
    let mut versions = StreamVersions::default();
    list_from(&mut versions, 0, 40_000, &["v1"]);
    list_from(&mut versions, 41_000, 45_000, &["v1", "v2"]);
    let (app, v2) = (app(), version("v2"));
    assert!(versions.is_new(at(45_500), &app, &v2), "it gets no streams that can be resumed");
    assert_eq!(origin(&versions, 45_500, "x"), Origin::Version(version("v1")));
    list(&mut versions, at(46_100), &["v1", "v2"]);
    assert!(!versions.is_new(at(46_100), &app, &v2));
    assert_eq!(origin(&versions, 46_100, "x"), Origin::Unknown);
}

#[test]
fn origin_is_where_the_stream_was_sent() {
    let mut versions = StreamVersions::default();
    list(&mut versions, at(0), &["v1", "v2"]);
    let app = app();
    versions.record_sent(at(10), &app, StreamKey::of("x"), &version("v2"));
    assert_eq!(origin(&versions, 20, "x"), Origin::Version(version("v2")));
    let mut other = StreamVersions::default();
    list(&mut other, at(0), &["v1", "v2"]);
    assert_eq!(origin(&other, 20, "x"), Origin::Unknown);
    other.adopt(at(30).mono, &versions.log(at(30)), &[].into());
    assert_eq!(origin(&other, 30, "x"), Origin::Unknown, "nobody has asked for it");
    other.adopt(at(30).mono, &versions.log(at(30)), &[StreamKey::of("x")].into());
    assert_eq!(origin(&other, 30, "x"), Origin::Version(version("v2")));
    assert!(other.log(at(30)).is_empty(), "each gateway logs its own streams");
    // The version has left; the other one did not begin the stream.
    list_from(&mut other, 1_000, 20_000, &["v1"]);
    assert_eq!(origin(&other, 20_000, "x"), Origin::Version(version("v2")));
}

#[test]
fn log_contains_streams_from_before_a_second_version() {
    let mut versions = StreamVersions::default();
    list_from(&mut versions, 0, 40_000, &["v1"]);
    versions.record_sent(at(40_100), &name("app"), StreamKey::of("x"), &version("v1"));
    assert!(versions.log(at(40_200)).is_empty(), "nobody has to look it up");
    list(&mut versions, at(41_000), &["v1", "v2"]);
    assert_eq!(versions.log(at(41_000)).len(), 1);
}

#[test]
fn recorded_version_counts_only_while_it_is_the_one_that_is_listed_first() {
    let record = |text| LoneVersion { version: version(text), since_ms: unit::Millis(900_000) };
    let recorded = |text| collections::BTreeMap::from([(app(), record(text))]);
    for (first, text, is_known) in [("v1", "v1", true), ("v1", "v2", false)] {
        let mut versions = StreamVersions::default();
        versions.apply_lone_versions(at(0), recorded(text));
        list(&mut versions, at(10), &[first]);
        assert_eq!(origin(&versions, 20, "x") != Origin::Unknown, is_known, "{first} {text}");
    }
    // What this process has seen since its first list counts more.
    let mut versions = StreamVersions::default();
    list(&mut versions, at(0), &["v1", "v2"]);
    list(&mut versions, at(1_000), &["v1"]);
    versions.apply_lone_versions(at(1_100), recorded("v1"));
    assert_eq!(origin(&versions, 1_200, "x"), Origin::Unknown);
    assert!(versions.lone_versions()[&app()].since_ms.0 >= 1_001_000);
}

fn list_versions(harness: &mut Harness, apps: &[(&str, &str)]) {
    let list = apps.iter().map(|(instance, text)| fleet::ListEntry {
        instance: name(instance),
        service: name("app"),
        address: "10.0.0.1:80".parse().expect("an address"),
        domain: name("a"),
        version: version(text),
        leaving: false,
        started_ms: None,
        cold_left: None,
    });
    harness.step(gateway::Event::UpstreamsListed(list.collect()));
}

fn resume(harness: &mut Harness, request: u128) -> Vec<gateway::Effect> {
    let arrival = gateway::Arrival {
        external_id: format!("y{request}"),
        host: "shop.example:80".to_owned(),
        path: "/again/1".to_owned(),
        credential: Some(table::Credential("key".to_owned())),
        budget: Some(ms(4_000)),
        last_event: Some(3),
        resumes: Some("x".to_owned()),
        ..gateway::Arrival::default()
    };
    let request = id::RequestId(1_000 + request);
    harness.step(gateway::Event::RequestArrived(request, Box::new(arrival)))
}

fn is_lookup(effect: &gateway::Effect) -> bool {
    matches!(effect, gateway::Effect::FindStreams)
}

#[test]
fn resumed_stream_that_nobody_has_logged_is_refused_after_two_lookups() {
    let mut harness = Harness::new();
    list_versions(&mut harness, &[("u1", "v1"), ("u2", "v2")]);
    let effects = resume(&mut harness, 1);
    assert!(effects.iter().any(is_lookup) && request_call(&effects).is_none());
    // A second caller waits for the same lookup.
    assert!(!resume(&mut harness, 2).iter().any(is_lookup));
    harness.step(gateway::Event::StreamsFound(Vec::new()));
    assert!(harness.advance(ms(100)).iter().any(is_lookup));
    harness.step(gateway::Event::StreamsFound(Vec::new()));
    let refusal = refusal_of(&harness.advance(ms(100)));
    assert_eq!(refusal, Some((refusal::Kind::NoUpstream, refusal::Ran::No)));
}

#[test]
fn resumed_stream_goes_on_at_the_version_that_was_logged() {
    let mut harness = Harness::new();
    for (text, upstream) in [("v1", "u1"), ("v2", "u2")] {
        list_versions(&mut harness, &[("u1", "v1"), ("u2", "v2")]);
        let logged = stream_versions::LoggedStreams {
            service: name("app"),
            version: version(text),
            streams: vec![StreamKey::of("x")],
        };
        resume(&mut harness, 3);
        harness.step(gateway::Event::StreamsFound(vec![logged]));
        let effects = harness.advance(ms(100));
        assert_eq!(request_call(&effects).expect("a call").instance, name(upstream));
        // Without that version, it is refused at once.
        let other = collections::BTreeMap::from([("v1", ("u2", "v2")), ("v2", ("u1", "v1"))]);
        list_versions(&mut harness, &[other[text]]);
        assert!(refusal_of(&resume(&mut harness, 4)).is_some());
        harness = Harness::new();
    }
}
