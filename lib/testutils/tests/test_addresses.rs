//! Addresses that tests give to the processes that they start.

use std::net;
use std::process;
use std::sync::atomic;
use std::thread;

use bramleyshelf_testutils::cluster;

/// Number of threads that start programs meanwhile.
const STARTERS: usize = 3;
/// Number of addresses that are taken meanwhile.
const ADDRESSES: usize = 10_000;

/// Guards against a probe of the address. A program that another thread starts at that moment holds
/// the probe's listener until it has replaced its image, and the address is in use meanwhile.
#[test]
fn free_address_can_be_listened_on_while_programs_start() {
    let is_done = atomic::AtomicBool::new(false);
    let failed: Vec<_> = thread::scope(|scope| {
        for _ in 0..STARTERS {
            scope.spawn(|| {
                while !is_done.load(atomic::Ordering::Relaxed) {
                    let status = process::Command::new("true").status();
                    assert!(status.is_ok_and(|status| status.success()), "the program runs");
                }
            });
        }
        let addresses = std::iter::repeat_with(cluster::free_address).take(ADDRESSES);
        let failed = addresses.filter_map(|address| Some((address, listen_error(address)?)));
        let failed = failed.collect();
        is_done.store(true, atomic::Ordering::Relaxed);
        failed
    });
    assert!(failed.is_empty(), "{} of {ADDRESSES}, the first {:?}", failed.len(), failed[0]);
}

fn listen_error(address: net::SocketAddr) -> Option<std::io::ErrorKind> {
    net::TcpListener::bind(address).err().map(|e| e.kind())
}

/// Guards against an address that is given out twice, so that two processes would share it.
#[test]
fn free_addresses_differ() {
    let addresses: std::collections::BTreeSet<_> =
        std::iter::repeat_with(cluster::free_address).take(1_000).collect();
    assert_eq!(addresses.len(), 1_000);
}
