//! Allocation of addresses for a scenario.

use super::error::ScenarioError;
use rand::RngExt;
use rustix::io::Errno;
use rustix::net::{AddressFamily, SocketFlags, SocketType, bind, socket_with, sockopt};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// First port to allocate. The ports are below the system's ephemeral range, so that no outgoing
/// connection takes one.
const FIRST_PORT: u16 = 10_000;
/// End of the range of ports, exclusive.
const LAST_PORT: u16 = 30_000;

/// Allocates addresses on a random loopback IP, so that scenarios can run in parallel without
/// sharing addresses.
pub struct Net {
    ip: IpAddr,
    next: u16,
}

impl Net {
    /// Selects a random loopback IP.
    pub fn on_random_ip() -> Self {
        let mut rng = rand::rng();
        let (a, b, c) =
            (rng.random_range(1..=254), rng.random_range(0..=255), rng.random_range(1..=254));
        Self { ip: IpAddr::V4(Ipv4Addr::new(127, a, b, c)), next: FIRST_PORT }
    }

    /// Returns the loopback IP.
    pub fn ip(&self) -> IpAddr {
        self.ip
    }

    /// Allocates an address that is free and was not allocated before.
    pub fn address(&mut self) -> Result<SocketAddr, ScenarioError> {
        while self.next < LAST_PORT {
            let addr = SocketAddr::new(self.ip, self.next);
            self.next += 1;
            if is_free(addr).map_err(ScenarioError::io("address"))? {
                return Ok(addr);
            }
        }
        Err(ScenarioError::bad("no free port"))
    }
}

/// Whether an address can be listened on. The socket that finds it out does not listen itself: a
/// process that another thread starts holds a copy of it for a moment, and a copy that listens
/// would keep the address in use.
fn is_free(addr: SocketAddr) -> io::Result<bool> {
    let socket = socket_with(AddressFamily::INET, SocketType::STREAM, SocketFlags::CLOEXEC, None)?;
    sockopt::set_socket_reuseaddr(&socket, true)?;
    match bind(&socket, &addr) {
        Ok(()) => Ok(true),
        Err(Errno::ADDRINUSE) => Ok(false),
        Err(e) => Err(e.into()),
    }
}
