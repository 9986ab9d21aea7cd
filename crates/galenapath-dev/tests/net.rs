//! Allocation of addresses for a scenario.

use galenapath_dev::scenario::Net;
use std::net::TcpListener;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};

/// Threads that start processes meanwhile.
const STARTERS: usize = 4;
/// Addresses allocated in one run.
const ADDRESSES: usize = 15_000;

/// A process that is being started holds copies of all open sockets for a moment; a listener among
/// them kept its address in use for whoever it was allocated to.
#[test]
fn net_address_can_be_bound_while_processes_start() {
    let ended = AtomicBool::new(false);
    let program = std::env::current_exe().unwrap();
    let mut net = Net::on_random_ip();
    let refused: Vec<_> = std::thread::scope(|scope| {
        for _ in 0..STARTERS {
            scope.spawn(|| {
                while !ended.load(Ordering::Relaxed) {
                    let mut command = Command::new(&program);
                    command.arg("--list").stdout(Stdio::null()).status().unwrap();
                }
            });
        }
        let refused = (0..ADDRESSES)
            .filter_map(|_| {
                let address = net.address().unwrap();
                TcpListener::bind(address).err().map(|e| (address, e))
            })
            .collect();
        ended.store(true, Ordering::Relaxed);
        refused
    });
    assert!(refused.is_empty(), "{} of {ADDRESSES}, first {:?}", refused.len(), refused[0]);
}

#[test]
fn net_address_in_use_skipped() {
    let mut net = Net::on_random_ip();
    let first = net.address().unwrap();
    let (second, third) = (first.port() + 1, first.port() + 2);
    let _taken = TcpListener::bind((net.ip(), second)).unwrap();
    assert_eq!(net.address().unwrap().port(), third);
}
