//! Tests of reads that gateways pass on to each other: their age, and which gateway reads the
//! store.

use std::sync;
use std::time;

use bramleyshelf_lib::{clock, cold, fleet, relay, roster, store_era, table, unit};
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

fn entry(instance: &str) -> fleet::ListEntry {
    fleet::ListEntry {
        instance: instance.parse().expect("a name"),
        service: "encode".parse().expect("a name"),
        address: "10.0.0.1:80".parse().expect("an address"),
        domain: "a".parse().expect("a name"),
        version: "v1".parse().expect("a version"),
        leaving: false,
        started_ms: None,
        cold_left: None,
    }
}

fn snapshot(sent: clock::Now, version: u64, upstreams: &[&str]) -> relay::Snapshot {
    let version = table::Version(version);
    let table = sync::Arc::new(table::Table { version, ..table::Table::default() });
    let table = relay::KnownTable { table, revision: version.0, confirmed: Some(sent) };
    let fleet = upstreams.iter().map(|name| entry(name)).collect();
    relay::Snapshot::new(sent, store_era::Era(1), table, fleet, vec![peer("g1", "a")].into())
}

/// Guards against a bound that gets lost on the way to a gateway that reads through another one.
#[test]
fn response_keeps_the_bounds_of_routes_and_teams() {
    let bounds: [table::RegionBound; 3] = [
        table::RegionBound::default(),
        table::RegionBound::only(["east", "west"].map(|region| region.parse().expect("a name"))),
        table::RegionBound::only([]),
    ];
    for bound in bounds {
        let reads = snapshot(at(1_000), 3, &["u1"]);
        let team = table::Team {
            name: "ski".parse().expect("a name"),
            rank: None,
            allowed_regions: bound.clone(),
        };
        let teams = [(table::Credential("key".into()), team)].into_iter().collect();
        let table = table::Table { teams: Some(teams), ..(*reads.table.table).clone() };
        let table = relay::KnownTable { table: sync::Arc::new(table), ..reads.table };
        let fleet = reads.fleet.to_vec();
        let reads = relay::Snapshot::new(reads.sent, reads.era, table, fleet, reads.gateways);
        let request = relay::Snapshot::to_request(None);
        let response = reads.to_response(at(1_100), request).expect("it is fresh");
        let bytes = rmp_serde::to_vec(&response).expect("it can be encoded");
        let response = rmp_serde::from_slice(&bytes).expect("it can be decoded");
        let received =
            relay::Snapshot::from_response(at(1_100), response, None).expect("it is whole");
        let team = received.table.table.team(&table::Credential("key".into())).cloned();
        assert_eq!(team.map(|team| team.allowed_regions), Some(bound));
    }
}

#[test]
fn response_never_appears_younger_than_it_is() {
    quickcheck::quickcheck(is_conservative as fn(u32, u16, u16, u16) -> bool);
}

/// A read is sent at one time and passed on at a later one, to a gateway that sent its request
/// before that. The clocks of the two gateways are unrelated.
fn is_conservative(read: u32, waited: u16, travel_time: u16, offset: u16) -> bool {
    let (read, waited, travel_time) = (u64::from(read), u64::from(waited), u64::from(travel_time));
    let offset = u64::from(offset);
    let responded_at = read + waited;
    let Some(sent) = responded_at.checked_sub(travel_time) else { return true };
    let latest = snapshot(at(read + offset), 3, &["u1"]);
    let Some(response) =
        latest.to_response(at(responded_at + offset), relay::ReadsRequest::default())
    else {
        return ms(waited) > relay::MAX_AGE;
    };
    match relay::Snapshot::from_response(at(sent), response, None) {
        Some(received) => received.sent.mono <= ms(read) && received.sent.wall <= at(read).wall,
        // The read is older than the process that asks.
        None => sent <= waited + 1,
    }
}

/// Guards against a table that loses the difference between no credentials and no teams on its way.
#[test]
fn response_tells_no_credentials_from_no_teams() {
    for teams in [None, Some(std::collections::BTreeMap::new())] {
        let mut latest = snapshot(at(5_000), 3, &["u1"]);
        let table = table::Table { teams: teams.clone(), ..(*latest.table.table).clone() };
        latest.table.table = sync::Arc::new(table);
        let response = latest.to_response(at(5_100), relay::ReadsRequest::default());
        let bytes = rmp_serde::to_vec(&response.expect("it is recent")).expect("it is encoded");
        let response = rmp_serde::from_slice(&bytes).expect("it is decoded");
        let received = relay::Snapshot::from_response(at(5_100), response, None);
        assert_eq!(received.expect("all is there").table.table.teams, teams);
    }
}

#[test]
fn response_omits_what_the_requester_has() {
    let latest = snapshot(at(5_000), 3, &["u1", "u2"]);
    let available = snapshot(at(4_000), 3, &["u1", "u2"]);
    let response = latest
        .to_response(at(5_100), relay::Snapshot::to_request(Some(&available)))
        .expect("it is fresh");
    assert!(response.table.is_none() && response.fleet.is_none());
    let received = relay::Snapshot::from_response(at(5_100), response.clone(), Some(&available))
        .expect("the table and list are available");
    assert_eq!((received.table.table.version, received.fleet.len()), (table::Version(3), 2));
    assert!(
        relay::Snapshot::from_response(at(5_100), response, None).is_none(),
        "no snapshot is available"
    );
    let older = snapshot(at(4_000), 2, &["u1"]);
    let response = latest
        .to_response(at(5_100), relay::Snapshot::to_request(Some(&older)))
        .expect("it is fresh");
    assert!(response.table.is_some() && response.fleet.is_some());
}

/// Guards against an upstream that counts as ready again, because another gateway passes on a list from
/// before the one in which it leaves.
#[test]
fn older_reads_of_another_gateway_replace_no_newer_lists() {
    let own = snapshot(at(2_000), 3, &["u1"]);
    let other = snapshot(at(1_000), 4, &["u1", "u2"]);
    let request = relay::Snapshot::to_request(Some(&own));
    let response = other.to_response(at(2_100), request).expect("it is fresh");
    let received = relay::Snapshot::from_response(at(2_050), response, Some(&own));
    let received = received.expect("it is whole");
    assert_eq!(received.fleet.len(), 1, "its own list is newer");
    assert_eq!(received.sent, own.sent);
    assert_eq!(received.table.table.version, table::Version(4), "the other table is newer");
    // After a restore, what was read before counts no more.
    let mut restored = other;
    restored.era = "9".parse().expect("an era");
    assert_eq!(restored.following(Some(&own)).fleet.len(), 2);
}

#[test]
fn response_states_changes_since_a_known_list() {
    let first = snapshot(at(1_000), 3, &["u1", "u2", "u3", "u4", "u6", "u7"]);
    let second = snapshot(at(2_000), 3, &["u1", "u3", "u4", "u5", "u6", "u7"]);
    let second = second.following(Some(&first));
    let mut leaving = snapshot(at(3_000), 3, &["u1", "u3", "u4", "u6", "u7"]);
    let mut list = leaving.fleet.to_vec();
    list[0].leaving = true;
    leaving =
        relay::Snapshot::new(at(3_000), store_era::Era(1), leaving.table, list, leaving.gateways);
    let latest = leaving.following(Some(&second));
    for available in [&first, &second] {
        let request = relay::Snapshot::to_request(Some(available));
        let response = latest.to_response(at(3_100), request).expect("it is fresh");
        assert!(response.fleet.is_none() && response.gateways.is_none());
        let changes = response.changes.clone().expect("the list is known");
        assert_eq!(changes.changed.len(), 1, "{changes:?}");
        let received = relay::Snapshot::from_response(at(3_100), response.clone(), Some(available))
            .expect("the changes apply");
        assert_eq!(received.fleet, latest.fleet);
        // The changes do not apply to any other list.
        let other = snapshot(at(2_500), 3, &["u1", "u9", "u6"]);
        assert!(relay::Snapshot::from_response(at(3_100), response, Some(&other)).is_none());
    }
    let unknown = snapshot(at(500), 3, &["u8"]);
    let request = relay::Snapshot::to_request(Some(&unknown));
    let response = latest.to_response(at(3_100), request).expect("it is fresh");
    assert!(response.fleet.is_some() && response.changes.is_none());
}

// Load pattern: every gateway of a failure domain asks its reader twice a second. The lists of the
// planned fleet have hundreds of kilobytes, and a small instance has a link of 10 Mbit/s.
#[test]
fn response_is_short_in_a_large_fleet() {
    /// Bytes of a response: with two a second, the 2 kB a second that control may take.
    const MAX_BYTES: usize = 1_000;
    let names: Vec<_> = (0..3_000).map(|number| format!("upstream-{number:04}")).collect();
    let names: Vec<_> = names.iter().map(String::as_str).collect();
    let peers: Vec<_> = (0..360).map(|number| peer(&format!("g-{number}"), "a")).collect();
    let of = |names: &[&str]| {
        let reads = snapshot(at(5_000), 3, names);
        relay::Snapshot::new(
            reads.sent,
            reads.era,
            reads.table,
            reads.fleet.to_vec(),
            peers.clone().into(),
        )
    };
    let available = of(&names[1..]);
    let latest = of(&names[..2_999]).following(Some(&available));
    let request = relay::Snapshot::to_request(Some(&available));
    let response = latest.to_response(at(5_100), request).expect("it is fresh");
    let bytes = rmp_serde::to_vec(&response).expect("it can be encoded").len();
    assert!(bytes < MAX_BYTES, "{bytes} bytes");
}

#[test]
fn response_is_equal_after_encoding() {
    let latest = snapshot(at(5_000), 3, &["u1"]);
    let response =
        latest.to_response(at(5_100), relay::ReadsRequest::default()).expect("it is fresh");
    let body = rmp_serde::to_vec(&response).expect("it can be encoded");
    let response: relay::ReadsResponse = rmp_serde::from_slice(&body).expect("it can be decoded");
    assert_eq!(response.fleet, Some(vec![entry("u1")]));
}

#[test]
fn reader_is_one_per_failure_domain() {
    let peers = [peer("g1", "a"), peer("g2", "a"), peer("g3", "a"), peer("g4", "b")];
    let choose = |instance: &str, domain: &str| {
        let readers = relay::ReaderSelector::new(
            instance.parse().expect("a name"),
            domain.parse().expect("a name"),
        );
        readers.reader(ms(0), &peers).map(|peer| peer.instance.to_string())
    };
    let chosen: Vec<_> =
        ["g1", "g2", "g3"].into_iter().map(|instance| choose(instance, "a")).collect();
    let reader = chosen.iter().flatten().next().expect("two of three ask").clone();
    assert_eq!(chosen.iter().flatten().collect::<Vec<_>>(), [&reader, &reader]);
    assert_eq!(choose(&reader, "a"), None, "it reads the store itself");
    assert_eq!(choose("g4", "b"), None, "it is alone there");
    assert_eq!(choose("new", "c"), None);
}

#[test]
fn reader_without_recent_reads_is_excluded_for_a_while() {
    let peers = [peer("g1", "a"), peer("g2", "a"), peer("g3", "a")];
    let mut readers =
        relay::ReaderSelector::new("x".parse().expect("a name"), "a".parse().expect("a name"));
    let reader = readers.reader(ms(0), &peers).expect("there are three").instance.clone();
    readers.avoid(ms(0), &reader);
    assert_ne!(readers.reader(ms(100), &peers).expect("two are left").instance, reader);
    for draw in [0.0, 0.5, 0.99] {
        let fallback = readers.fallback(ms(100), &peers, draw).expect("two are left");
        assert_ne!(fallback.instance, reader);
    }
    assert_eq!(readers.reader(ms(10_000), &peers).expect("all are eligible").instance, reader);
}

#[test]
fn newer_table_is_kept_and_passed_on_with_its_age() {
    let earlier = snapshot(at(1_000), 7, &["u1"]);
    let mut restored = snapshot(at(2_000), 5, &["u1"]);
    restored.table.confirmed = None;
    let kept = restored.following(Some(&earlier));
    assert_eq!(kept.table.table.version, table::Version(7));
    assert_eq!(kept.table.confirmed, Some(at(1_000)));
    let response = kept.to_response(at(2_500), relay::ReadsRequest::default()).expect("fresh");
    let received = relay::Snapshot::from_response(at(9_000), response, None).expect("a whole one");
    assert_eq!(received.table.table.version, table::Version(7));
    // It does not appear younger than it is, although the other reads are.
    assert!(received.table.confirmed.expect("it was confirmed").mono <= ms(9_000 - 1_500));
    assert!(received.sent.mono > ms(9_000 - 600));
    // The same table that is read again without a confirmation keeps the earlier one.
    let mut same = snapshot(at(3_000), 7, &["u1"]);
    same.table.confirmed = None;
    assert_eq!(same.following(Some(&kept)).table.confirmed, Some(at(1_000)));
}

/// Guards against lists that are sent again each second because of times that count down.
#[test]
fn only_entries_of_cold_upstreams_are_sent_again() {
    let names = ["u1", "u2", "u3"];
    let cold = |at_ms: u64, time, sequence| {
        let mut snapshot = snapshot(at(at_ms), 3, &names);
        let mut list = snapshot.fleet.to_vec();
        list[1].cold_left = Some(cold::Left { time: unit::Millis(time), sequence });
        let table = snapshot.table.clone();
        snapshot = relay::Snapshot::new(at(at_ms), snapshot.era, table, list, snapshot.gateways);
        snapshot
    };
    let response = |earlier: &relay::Snapshot, later: relay::Snapshot| {
        let later = later.following(Some(earlier));
        later.to_response(later.sent, relay::Snapshot::to_request(Some(earlier))).expect("fresh")
    };
    let warm = snapshot(at(1_000), 3, &names);
    let steady = response(&warm, snapshot(at(2_000), 3, &names));
    assert!(steady.fleet.is_none() && steady.changes.is_none());
    let changes = response(&warm, cold(2_000, 3_000, 5)).changes.expect("one entry differs");
    assert_eq!(changes.changed.len(), 1);
    let same = response(&cold(2_000, 3_000, 5), cold(3_000, 3_000, 5));
    assert!(same.fleet.is_none() && same.changes.is_none());
}
