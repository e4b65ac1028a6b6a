//! What gateways make of a store that was restored from an older copy.

use std::collections;

use bramleyshelf_lib::{fleet, roster, store_era, table};
use bramleyshelf_testutils::values::ms;

fn entry(instance: &str, started_ms: u64) -> fleet::ListEntry {
    fleet::ListEntry {
        instance: instance.parse().expect("a name"),
        service: "app".parse().expect("a name"),
        address: "10.0.0.1:80".parse().expect("an address"),
        domain: "a".parse().expect("a name"),
        version: "v1".parse().expect("a version"),
        leaving: false,
        started_ms: Some(started_ms),
        cold_left: None,
    }
}

fn leaving(instance: &str, started_ms: u64) -> fleet::ListEntry {
    fleet::ListEntry { leaving: true, ..entry(instance, started_ms) }
}

/// Returns a fleet that has seen `u1` ready, `u2` leaving and `u3` gone.
fn fleet() -> fleet::Fleet {
    let domain: bramleyshelf_lib::id::DomainId = "a".parse().expect("a name");
    let region = "east".parse().expect("a name");
    let regions = collections::BTreeMap::from([(domain.clone(), region)]);
    let mut fleet = fleet::Fleet::new(domain, regions);
    fleet.update(ms(0), vec![entry("u1", 1), entry("u2", 1), entry("u3", 1)]);
    fleet.update(ms(900), vec![entry("u1", 1), leaving("u2", 1)]);
    fleet
}

fn ready(fleet: &fleet::Fleet) -> Vec<String> {
    let service = "app".parse().expect("a name");
    fleet.service_upstreams(&service).map(|(instance, _)| instance.to_string()).collect()
}

#[test]
fn era_of_a_read_table() {
    use store_era::Relation::{Latest, Outdated, Restored};
    let mut tracker = store_era::Tracker::default();
    for (era, expected) in [(3, Latest), (3, Latest), (4, Restored), (3, Outdated), (6, Restored)] {
        assert_eq!(tracker.enter(ms(0), store_era::Era(era)), expected, "{era}");
    }
}

fn stored(version: u64, revision: u64) -> store_era::StoredVersion {
    store_era::StoredVersion { version: table::Version(version), revision }
}

/// Returns a tracker that has read version 5 at revision 30 in the first era.
fn tracker() -> store_era::Tracker {
    let mut tracker = store_era::Tracker::default();
    tracker.enter(ms(0), store_era::Era(1));
    tracker.record_stated(None);
    assert!(tracker.record_read(ms(0), stored(5, 30)));
    tracker
}

/// A read of the second era, which begins at 10 s: time, version, revision, whether it confirms.
type Read = (u64, u64, u64, bool);

#[test]
fn read_after_a_restore_confirms_table() {
    let cases: [(&str, &[Read]); 7] = [
        ("the operator wrote again at once", &[(10_000, 5, 29, true)]),
        ("the same item may be the copy", &[(10_000, 5, 30, false), (11_900, 5, 30, false)]),
        ("until they had the time", &[(10_000, 5, 30, false), (12_000, 5, 30, true)]),
        ("an older one never", &[(10_000, 4, 28, false), (13_000, 4, 28, false)]),
        ("written later", &[(10_000, 4, 28, false), (10_900, 5, 29, true), (11_800, 5, 29, true)]),
        ("a newer one may be of the copy", &[(10_000, 6, 31, false), (10_900, 7, 32, true)]),
        ("older ones written first", &[(10_000, 3, 27, false), (10_900, 4, 28, false)]),
    ];
    for (case, reads) in cases {
        let mut tracker = tracker();
        assert_eq!(
            tracker.enter(ms(10_000), store_era::Era(2)),
            store_era::Relation::Restored,
            "{case}"
        );
        for (at, version, revision, expected) in reads {
            let is_confirmed = tracker.record_read(ms(*at), stored(*version, *revision));
            assert_eq!(is_confirmed, *expected, "{case} at {at}");
        }
    }
}

#[test]
fn read_after_several_restores_confirms_only_what_was_written_since() {
    let mut tracker = tracker();
    tracker.enter(ms(10_000), store_era::Era(2));
    assert!(tracker.record_read(ms(10_000), stored(5, 29)));
    // The next copies are those of the first and of the second era.
    for (era, revision) in [(3, 30), (4, 29)] {
        tracker.enter(ms(11_000), store_era::Era(era));
        assert!(!tracker.record_read(ms(11_000), stored(5, revision)), "{era}");
    }
    assert!(tracker.record_read(ms(11_100), stored(5, 28)));
}

#[test]
fn start_in_a_restored_store_confirms_once_it_is_settled() {
    // The era that the store states as settled, and whether a first read in era 2 confirms.
    for (stated, expected) in [(None, true), (Some(1), false), (Some(2), true)] {
        let mut tracker = store_era::Tracker::default();
        tracker.enter(ms(0), store_era::Era(2));
        tracker.record_stated(stated.map(store_era::Era));
        assert_eq!(tracker.record_read(ms(0), stored(5, 30)), expected, "{stated:?}");
        assert_eq!(tracker.is_settled(), expected, "{stated:?}");
    }
    // Another gateway knows a newer one, which settles the era only if it is confirmed.
    for is_confirmed in [false, true] {
        let mut tracker = store_era::Tracker::default();
        tracker.enter(ms(0), store_era::Era(2));
        assert_eq!(tracker.record_relayed(stored(7, 33), is_confirmed), is_confirmed);
        assert_eq!(tracker.is_settled(), is_confirmed);
        assert!(!tracker.record_read(ms(100), stored(5, 30)), "it is older than the other one");
    }
}

#[test]
fn fleet_ignores_what_the_copy_says_of_upstreams_that_left() {
    let copy = vec![entry("u1", 1), entry("u2", 1), entry("u3", 1)];
    let mut fleet = fleet();
    fleet.record_restore(ms(3_000));
    fleet.update(ms(3_000), copy.clone());
    assert_eq!(ready(&fleet), ["u1"]);
    // A new process with the same id is another upstream.
    fleet.update(ms(3_900), vec![entry("u1", 1), leaving("u2", 1), entry("u3", 2)]);
    assert_eq!(ready(&fleet), ["u1", "u3"]);
    // The store was restored again before the upstream could say anew that it leaves.
    fleet.record_restore(ms(4_500));
    fleet.update(ms(4_500), copy.clone());
    fleet.update(ms(9_400), copy.clone());
    assert_eq!(ready(&fleet), ["u1", "u3"]);
    // Upstreams that are still listed much later are alive.
    fleet.update(ms(10_300), copy);
    assert_eq!(ready(&fleet), ["u1", "u2", "u3"]);
}

#[test]
fn fleet_keeps_upstreams_that_the_copy_lacks_for_a_while() {
    let mut fleet = fleet();
    fleet.record_restore(ms(1_800));
    // It is listed at first, and then the lease of its entry ends.
    for (at, list) in [(1_800, vec![entry("u1", 1)]), (2_700, vec![]), (3_700, vec![])] {
        fleet.update(ms(at), list);
        assert_eq!(ready(&fleet), ["u1"], "{at}");
    }
    fleet.update(ms(3_900), vec![]);
    assert!(ready(&fleet).is_empty());
}

#[test]
fn roster_keeps_gateways_that_the_copy_lacks_for_a_while() {
    let peer = |name: &str| roster::Peer {
        instance: name.parse().expect("a name"),
        address: "10.0.0.1:80".parse().expect("an address"),
        domain: "a".parse().expect("a name"),
        weight: 100,
    };
    let mut roster = roster::Roster::default();
    roster.update(ms(0), vec![peer("g1"), peer("g2")]);
    roster.record_restore(ms(900));
    assert_eq!(roster.update(ms(900), vec![peer("g3")]).1, []);
    assert_eq!(roster.len(), 3);
    let (_, left) = roster.update(ms(2_900), vec![peer("g3"), peer("g1")]);
    assert_eq!(left, ["g2".parse().expect("a name")]);
}
