//! Allocation of addresses for a scenario.

use super::error::ScenarioError;
use rand::RngExt;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};

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
    pub fn new() -> Self {
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
            if TcpListener::bind(addr).is_ok() {
                return Ok(addr);
            }
        }
        Err(ScenarioError::bad("no free port"))
    }
}
