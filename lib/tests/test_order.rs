//! Orders to engines: fencing tokens, leases, and upstreams that do not check tokens.

use std::time;

use bramleyshelf_lib::{check, claim, clock, config, id, order};

const CONFIG_TEXT: &str = include_str!("../../examples/takbaerer.json");
const LEASE: claim::LeaseId = 4;
const TOKEN: id::FencingToken = id::FencingToken(17);

fn service(fenced: bool, model: &str) -> config::Service {
    let config = check::parse(CONFIG_TEXT).expect("valid");
    let mut service = config.services["generator"].clone();
    service.fenced = fenced;
    service.order = Some(config::Order { model: model.to_owned(), ..config::Order::default() });
    service
}

fn at(seconds: u64) -> clock::Now {
    let span = time::Duration::from_secs(100 + seconds);
    clock::Now { mono: span, wall: span }
}

fn lease(requested_at: u64) -> claim::Lease {
    let ttl = time::Duration::from_secs(15);
    claim::Lease { id: LEASE, requested_at: at(requested_at), ttl }
}

/// Returns orders whose sidecar holds the upstream's key since second zero.
fn with_claimed_key(service: &config::Service) -> order::Orders {
    let mut orders = order::Orders::default();
    assert_eq!(orders.tick(at(0), Some(lease(0)), service), Some(order::Call::ClaimKey(LEASE)));
    orders.reply(at(0), order::Reply::Held(LEASE, TOKEN));
    orders
}

fn send(service: &config::Service) -> order::Call {
    order::Call::Send { token: TOKEN, order: service.order.clone().expect("an order") }
}

#[test]
fn tick_table() {
    // Name, whether the upstream checks tokens, time in seconds, and whether the order is sent.
    let cases = [
        ("checked, lease fresh", true, 1, true),
        ("checked, lease short", true, 13, true),
        ("checked, lease over", true, 15, false),
        ("unchecked, lease fresh", false, 1, true),
        ("unchecked, lease shorter than the order", false, 13, false),
        ("unchecked, lease over", false, 15, false),
    ];
    for (name, fenced, second, is_sent) in cases {
        let service = service(fenced, "base-7");
        let call = with_claimed_key(&service).tick(at(second), Some(lease(0)), &service);
        assert_eq!(call, is_sent.then(|| send(&service)), "{name}");
    }
}

#[test]
fn order_is_sent_once_and_again_when_it_changes() {
    let first = service(true, "base-7");
    let mut orders = with_claimed_key(&first);
    assert_eq!(orders.tick(at(1), Some(lease(0)), &first), Some(send(&first)));
    assert_eq!(orders.tick(at(1), Some(lease(0)), &first), None, "one call at a time");
    orders.reply(at(1), order::Reply::Done(first.order.clone().expect("an order")));
    assert!(orders.is_applied(&first));
    assert_eq!(orders.tick(at(2), Some(lease(0)), &first), None);
    let next = service(true, "base-8");
    assert!(!orders.is_applied(&next));
    assert_eq!(orders.tick(at(3), Some(lease(0)), &next), Some(send(&next)));
}

#[test]
fn reply_table() {
    // Result of the first order, and the call that is due two seconds later.
    let service = service(true, "base-7");
    let cases = [
        (order::Reply::Failed, send(&service)),
        (order::Reply::Outdated, order::Call::ClaimKey(LEASE)),
    ];
    for (reply, expected) in cases {
        let mut orders = with_claimed_key(&service);
        orders.tick(at(1), Some(lease(0)), &service);
        orders.reply(at(1), reply.clone());
        assert_eq!(orders.tick(at(1), Some(lease(0)), &service), None, "{reply:?}: not at once");
        assert_eq!(orders.tick(at(3), Some(lease(0)), &service), Some(expected), "{reply:?}");
    }
}

#[test]
fn new_lease_requires_new_claim() {
    // The claim of the upstream's key ended with the old lease; another sidecar may hold it now.
    let service = service(true, "base-7");
    let mut orders = with_claimed_key(&service);
    let ttl = time::Duration::from_secs(15);
    let other = Some(claim::Lease { id: LEASE + 1, requested_at: at(20), ttl });
    assert_eq!(orders.tick(at(21), other, &service), Some(order::Call::ClaimKey(LEASE + 1)));
}
