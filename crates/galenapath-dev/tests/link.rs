//! Faults of a relay for single processes.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use galenapath_dev::link::{LinkFault, Relay};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// A server that returns what it receives.
fn start_echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for io in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || std::io::copy(&mut &io, &mut &io));
        }
    });
    address
}

fn connect(relay: &Relay) -> TcpStream {
    let io = TcpStream::connect(relay.addr).unwrap();
    io.set_read_timeout(Some(Duration::from_millis(300))).unwrap();
    io
}

/// Sends a byte; returns how many come back, or `None` if nothing does in time.
fn echo(io: &mut TcpStream) -> Option<usize> {
    // A write to a connection that the relay has closed may fail at once.
    let _ = io.write_all(b"x");
    match io.read(&mut [0]) {
        Ok(n) => Some(n),
        Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => None,
        Err(_) => Some(0),
    }
}

#[test]
fn set_fault_of_process_leaves_others_alone() {
    let relay = Relay::start_on_thread(start_echo()).unwrap();
    let mut open = connect(&relay);
    assert_eq!(echo(&mut open), Some(1));
    let other = std::os::unix::process::parent_id();
    relay.set_fault_of(other, LinkFault::Cut);
    assert_eq!(echo(&mut open), Some(1));
    assert_eq!(echo(&mut connect(&relay)), Some(1));
    relay.set_fault_of(std::process::id(), LinkFault::CutNew);
    assert_eq!(echo(&mut open), Some(1));
    assert_eq!(echo(&mut connect(&relay)), Some(0));
    relay.set_fault_of(std::process::id(), LinkFault::HoldReplies);
    assert_eq!(echo(&mut open), None);
    relay.set_fault_of(std::process::id(), LinkFault::Cut);
    assert_eq!(echo(&mut connect(&relay)), Some(0));
    relay.set_fault_of(std::process::id(), LinkFault::None);
    assert_eq!(echo(&mut connect(&relay)), Some(1));
}
