//! Whether a connection to a backend server broke because this instance has lost its own paths.
//!
//! Load pattern: an instance loses its links to all backend servers for some seconds. The same
//! common lookups are in flight on many of them, and all connections break at once. Taken for
//! crashes, these lookups would be rejected by all instances for minutes.

use super::plane::DataPlane;
use super::probes::query_load;
use super::service::Service;
use futures::FutureExt;
use futures::future::{LocalBoxFuture, Shared, select_ok};
use std::net::SocketAddr;
use std::time::Duration;

/// Number of other servers that are tried.
const MAX_OTHERS: usize = 3;

/// Time within which one of the servers has to answer: several round trips between failure domains,
/// and the wait of a load query at a busy server.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);

/// A check that several requests wait for which were lost with the same server.
pub(super) type PathCheck = Shared<LocalBoxFuture<'static, bool>>;

/// Begins to check whether any backend server answers this instance on a new connection: the one at
/// `lost`, whose connection broke, or another one. If there is no other, the paths count as good.
pub(super) fn begin_check(plane: &DataPlane, service: &Service, lost: SocketAddr) -> PathCheck {
    let mut others = other_servers(service, lost);
    if others.is_empty() {
        others = plane.services().iter().flat_map(|s| other_servers(s, lost)).collect();
    }
    others.truncate(MAX_OTHERS);
    is_any_reached(lost, others).boxed_local().shared()
}

fn other_servers(service: &Service, lost: SocketAddr) -> Vec<SocketAddr> {
    service.addresses().into_iter().filter(|address| *address != lost).collect()
}

async fn is_any_reached(lost: SocketAddr, others: Vec<SocketAddr>) -> bool {
    if others.is_empty() {
        return true;
    }
    let attempts = others.into_iter().chain([lost]).map(|address| reach(address).boxed_local());
    select_ok(attempts).await.is_ok()
}

/// A server does not answer this instance.
struct NotReached;

async fn reach(address: SocketAddr) -> Result<(), NotReached> {
    match monoio::time::timeout(ANSWER_TIMEOUT, query_load(address)).await {
        Ok(Ok(_)) => Ok(()),
        Ok(Err(_)) | Err(_) => Err(NotReached),
    }
}
