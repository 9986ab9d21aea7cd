//! Callers that connect and send nothing.

use super::error::ScenarioError;
use crate::wire::Conn;
use std::net::{IpAddr, SocketAddr};

/// Number of connections opened at once. The next batch starts after all of them are connected, so
/// that the listener can accept them.
const CONNECT_BATCH: usize = 64;

/// Opens `count` connections to `addr`.
pub async fn open(addr: SocketAddr, count: usize) -> Result<Vec<Conn>, ScenarioError> {
    let what = |n: usize| format!("idle connection {n} to {}", IpAddr::to_string(&addr.ip()));
    let mut conns = Vec::with_capacity(count);
    while conns.len() < count {
        let batch = CONNECT_BATCH.min(count - conns.len());
        let opened = futures::future::join_all((0..batch).map(|_| Conn::connect(addr))).await;
        for conn in opened {
            conns.push(conn.map_err(ScenarioError::io(what(conns.len())))?);
        }
    }
    Ok(conns)
}
