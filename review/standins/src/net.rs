//! Loopback addresses of a case: each process has one of its own, as machines do.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};

/// The first of the ports that are tried.
const FIRST_PORT: u16 = 21_000;

/// Ports that are free on all addresses of the case.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    /// Where callers connect.
    pub callers: u16,
    /// Where the platform asks whether an instance is ready.
    pub readiness: u16,
    /// Where callers ask for addresses.
    pub addresses: u16,
    /// Traffic between instances.
    pub peers: u16,
}

/// The loopback address number `n` of this process.
pub fn ip(n: u8) -> Ipv4Addr {
    let pid = std::process::id();
    let part = |value: u32| u8::try_from(value % 200 + 20).unwrap_or(20);
    Ipv4Addr::new(127, part(pid), part(pid / 200), n)
}

/// Finds ports that are free on the addresses with these numbers.
pub fn free_ports(numbers: &[u8]) -> io::Result<Ports> {
    for base in (FIRST_PORT..FIRST_PORT + 4_000).step_by(8) {
        let is_free = |port: u16| {
            numbers.iter().all(|n| {
                let at = SocketAddr::from((ip(*n), port));
                TcpListener::bind(at).is_ok() && UdpSocket::bind(at).is_ok()
            })
        };
        if (base..base + 4).all(is_free) {
            return Ok(Ports {
                callers: base,
                readiness: base + 1,
                addresses: base + 2,
                peers: base + 3,
            });
        }
    }
    Err(io::Error::other("no free ports"))
}
