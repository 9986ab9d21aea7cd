//! Whether an idle connection can be used again.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

use galenapath_http::Connection;
use monoio::{LegacyDriver, RuntimeBuilder};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

/// Lets the peer of an idle connection act without the runtime waiting meanwhile; returns whether
/// the connection is stale then.
fn is_stale_after(act: impl FnOnce(TcpStream) -> Option<TcpStream>) -> bool {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build();
    runtime.unwrap().block_on(async {
        let io = monoio::net::TcpStream::connect_addr(address).await.unwrap();
        let (peer, _) = listener.accept().unwrap();
        let connection = Connection::new(io, 1024);
        assert!(!connection.is_stale());
        let _open = act(peer);
        // The bytes cross the loopback interface.
        std::thread::sleep(Duration::from_millis(20));
        connection.is_stale()
    })
}

#[test]
fn is_stale_with_bytes_that_the_runtime_has_not_seen() {
    assert!(is_stale_after(|mut peer| {
        peer.write_all(b"extra").unwrap();
        Some(peer)
    }));
}

#[test]
fn is_stale_closed_by_the_peer() {
    assert!(is_stale_after(|_| None));
}

#[test]
fn is_stale_not_while_idle() {
    assert!(!is_stale_after(Some));
}
