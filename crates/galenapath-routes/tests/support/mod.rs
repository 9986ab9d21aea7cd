//! Entries of servers for the tests of the list.

use galenapath_protocol::{BackendId, DomainId};
use galenapath_routes::{ServerRecord, ServerState, StartedAt};
use std::net::SocketAddr;
use std::time::Duration;

/// Failure domain of all servers.
pub const DOMAIN: &str = "d1";

/// The entry of server `n` in its run that started at `started`.
pub fn record(n: u64, started: u64, state: ServerState) -> ServerRecord {
    ServerRecord {
        id: BackendId(format!("s{n}").into()),
        started: StartedAt(started),
        service: "s".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1_000)),
        domain: DomainId(DOMAIN.into()),
        slots: 6,
        state,
        cold_for: Duration::ZERO,
    }
}
