//! Orders to engines: tokens, leases, and upstreams that ignore tokens.

use std::time;

use bramleyshelf_lib::{check, claim, clock, config, id, order};

const TEXT: &str = include_str!("../../examples/takbaerer.json");
const LEASE: claim::LeaseId = 4;
const TOKEN: id::FencingToken = id::FencingToken(17);

fn service(fenced: bool, model: &str) -> config::Service {
    let config = check::parse(TEXT).expect("valid");
    let mut service = config.services["generator"].clone();
    service.fenced = fenced;
    service.order = Some(config::Order { model: model.to_owned(), ..config::Order::default() });
    service
}

fn at(seconds: u64) -> clock::Now {
    let span = time::Duration::from_secs(100 + seconds);
    clock::Now { mono: span, wall: span }
}

fn lease(sent: u64) -> claim::Lease {
    let ttl = time::Duration::from_secs(15);
    claim::Lease { id: LEASE, requested_at: at(sent), ttl }
}

/// Returns orders that hold the upstream's key since second zero.
fn held(service: &config::Service) -> order::Orders {
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
    // Whether the upstream checks tokens, the second, and whether the order goes out.
    let cases = [
        ("checked, lease fresh", true, 1, true),
        ("checked, lease short", true, 13, true),
        ("checked, lease over", true, 15, false),
        ("unchecked, lease fresh", false, 1, true),
        ("unchecked, lease shorter than the order", false, 13, false),
        ("unchecked, lease over", false, 15, false),
    ];
    for (name, fenced, second, sent) in cases {
        let service = service(fenced, "base-7");
        let call = held(&service).tick(at(second), Some(lease(0)), &service);
        assert_eq!(call, sent.then(|| send(&service)), "{name}");
    }
}

#[test]
fn order_is_sent_once_and_again_when_it_changes() {
    let first = service(true, "base-7");
    let mut orders = held(&first);
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
    // What the first order leads to, and what is due two seconds later.
    let service = service(true, "base-7");
    let cases = [
        (order::Reply::Failed, send(&service)),
        (order::Reply::Outdated, order::Call::ClaimKey(LEASE)),
    ];
    for (reply, expected) in cases {
        let mut orders = held(&service);
        orders.tick(at(1), Some(lease(0)), &service);
        orders.reply(at(1), reply.clone());
        assert_eq!(orders.tick(at(1), Some(lease(0)), &service), None, "{reply:?}: not at once");
        assert_eq!(orders.tick(at(3), Some(lease(0)), &service), Some(expected), "{reply:?}");
    }
}

#[test]
fn new_lease_needs_a_new_token() {
    let service = service(true, "base-7");
    let mut orders = held(&service);
    let ttl = time::Duration::from_secs(15);
    let other = Some(claim::Lease { id: LEASE + 1, requested_at: at(20), ttl });
    assert_eq!(orders.tick(at(21), other, &service), Some(order::Call::ClaimKey(LEASE + 1)));
}
