//! Pool of idle connections by address.

use crate::wire::Conn;
use galenapath_protocol::FastMap;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Idle time after which a connection is closed instead of reused.
const IDLE_LIMIT: Duration = Duration::from_secs(5);

/// Idle connections, ready for the next request.
#[derive(Default)]
pub struct Pool {
    idle: RefCell<FastMap<SocketAddr, Vec<(Instant, Conn)>>>,
}

impl Pool {
    /// Takes an idle connection to `addr` or opens a new one.
    pub async fn take(&self, addr: SocketAddr) -> io::Result<Conn> {
        let idle = self.idle.borrow_mut().get_mut(&addr).and_then(Vec::pop);
        match idle {
            Some((since, conn)) if since.elapsed() < IDLE_LIMIT => Ok(conn),
            _ => Conn::connect(addr).await,
        }
    }

    /// Returns a connection whose last answer was read completely.
    pub fn put(&self, addr: SocketAddr, conn: Conn) {
        self.idle.borrow_mut().entry(addr).or_default().push((Instant::now(), conn));
    }
}
