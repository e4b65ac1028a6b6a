//! Reads of the store passed on between gateways: their age, and who reads for whom.

use std::sync;
use std::time;

use bramleyshelf_lib::{clock, fleet, relay, roster, table};
use bramleyshelf_testutils::values::ms;

fn at(millis: u64) -> clock::Now {
    clock::Now { mono: ms(millis), wall: time::Duration::from_secs(1_700_000_000) + ms(millis) }
}

fn peer(instance: &str, domain: &str) -> roster::Peer {
    roster::Peer {
        instance: instance.parse().expect("a name"),
        address: "10.0.0.1:81".parse().expect("an address"),
        domain: domain.parse().expect("a name"),
        weight: 100,
    }
}

fn listed(instance: &str) -> fleet::ListEntry {
    fleet::ListEntry {
        instance: instance.parse().expect("a name"),
        service: "encode".parse().expect("a name"),
        address: "10.0.0.1:80".parse().expect("an address"),
        domain: "a".parse().expect("a name"),
        leaving: false,
        started_ms: None,
    }
}

fn reads(asked: clock::Now, version: u64, upstreams: &[&str]) -> relay::Snapshot {
    let version = table::Version(version);
    let table = sync::Arc::new(table::Table { version, ..table::Table::default() });
    let fleet = upstreams.iter().map(|name| listed(name)).collect();
    relay::Snapshot::new(asked, table, fleet, vec![peer("g1", "a")])
}

#[test]
fn passed_read_never_looks_younger_than_it_is() {
    quickcheck::quickcheck(is_conservative as fn(u32, u16, u16, u16) -> bool);
}

/// A read sent at one moment is told at a later one; the question was asked before it was
/// told, and the two clocks have nothing in common.
fn is_conservative(read: u32, waited: u16, way: u16, offset: u16) -> bool {
    let (read, waited, way) = (u64::from(read), u64::from(waited), u64::from(way));
    let offset = u64::from(offset);
    let told_at = read + waited;
    let Some(asked) = told_at.checked_sub(way) else { return true };
    let own = reads(at(read + offset), 3, &["u1"]);
    let Some(told) = own.to_response(at(told_at + offset), relay::ReadsRequest::default()) else {
        return ms(waited) > relay::MAX_AGE;
    };
    match relay::Snapshot::from_response(at(asked), told, None) {
        Some(passed) => passed.sent.mono <= ms(read) && passed.sent.wall <= at(read).wall,
        // It is older than the asker's process.
        None => asked <= waited + 1,
    }
}

#[test]
fn told_leaves_out_what_the_asker_has() {
    let own = reads(at(5_000), 3, &["u1", "u2"]);
    let known = reads(at(4_000), 3, &["u1", "u2"]);
    let told =
        own.to_response(at(5_100), relay::Snapshot::to_request(Some(&known))).expect("it is fresh");
    assert!(told.table.is_none() && told.fleet.is_none());
    let passed =
        relay::Snapshot::from_response(at(5_100), told.clone(), Some(&known)).expect("known");
    assert_eq!((passed.table.version, passed.fleet.len()), (table::Version(3), 2));
    assert!(relay::Snapshot::from_response(at(5_100), told, None).is_none(), "nothing is at hand");
    let older = reads(at(4_000), 2, &["u1"]);
    let told =
        own.to_response(at(5_100), relay::Snapshot::to_request(Some(&older))).expect("it is fresh");
    assert!(told.table.is_some() && told.fleet.is_some());
}

#[test]
fn told_survives_the_way() {
    let own = reads(at(5_000), 3, &["u1"]);
    let told = own.to_response(at(5_100), relay::ReadsRequest::default()).expect("it is fresh");
    let body = rmp_serde::to_vec(&told).expect("a plain form");
    let told: relay::ReadsResponse = rmp_serde::from_slice(&body).expect("the same form");
    assert_eq!(told.fleet, Some(vec![listed("u1")]));
}

#[test]
fn reader_is_one_for_each_domain() {
    let peers = [peer("g1", "a"), peer("g2", "a"), peer("g3", "a"), peer("g4", "b")];
    let choose = |me: &str, domain: &str| {
        let readers = relay::ReaderSelector::new(
            me.parse().expect("a name"),
            domain.parse().expect("a name"),
        );
        readers.reader(ms(0), &peers).map(|peer| peer.instance.to_string())
    };
    let asked: Vec<_> = ["g1", "g2", "g3"].into_iter().map(|me| choose(me, "a")).collect();
    let reader = asked.iter().flatten().next().expect("two of three ask").clone();
    assert_eq!(asked.iter().flatten().collect::<Vec<_>>(), [&reader, &reader]);
    assert_eq!(choose(&reader, "a"), None, "it reads itself");
    assert_eq!(choose("g4", "b"), None, "it is alone there");
    assert_eq!(choose("new", "c"), None);
}

#[test]
fn reader_without_fresh_reads_is_avoided_for_a_while() {
    let peers = [peer("g1", "a"), peer("g2", "a"), peer("g3", "a")];
    let mut readers =
        relay::ReaderSelector::new("x".parse().expect("a name"), "a".parse().expect("a name"));
    let first = readers.reader(ms(0), &peers).expect("there are three").instance.clone();
    readers.avoid(ms(0), &first);
    assert_ne!(readers.reader(ms(100), &peers).expect("two are left").instance, first);
    for draw in [0.0, 0.5, 0.99] {
        let helper = readers.fallback(ms(100), &peers, draw).expect("two are left");
        assert_ne!(helper.instance, first);
    }
    assert_eq!(readers.reader(ms(10_000), &peers).expect("all are").instance, first);
}
