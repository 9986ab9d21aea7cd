//! Registers a server with the platform and keeps the registration current.

use super::server::Server;
use crate::wire::exchange;
use monoio::time::{sleep, timeout};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Interval at which the server's state is compared with the one last registered.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which an unchanged state is registered again, in case the platform lost it.
const RENEW_INTERVAL: Duration = Duration::from_secs(5);
/// Time-out of a call to the platform.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Registers the server's state with `store` at the start, at each change and every
/// [`RENEW_INTERVAL`].
pub async fn keep_registered(server: Rc<Server>, store: SocketAddr) {
    let mut registered: Option<(bool, Instant)> = None;
    loop {
        let leaving = server.leaving.get().is_some();
        let is_current =
            registered.is_some_and(|(l, at)| l == leaving && at.elapsed() < RENEW_INTERVAL);
        if !is_current && register(&server, store, leaving).await {
            registered = Some((leaving, Instant::now()));
        }
        sleep(CHECK_INTERVAL).await;
    }
}

async fn register(server: &Server, store: SocketAddr, leaving: bool) -> bool {
    let addr = server.spec.advertise.unwrap_or(server.addr);
    let body = serde_json::json!({
        "ID": server.spec.name,
        "Name": "backend",
        "Address": addr.ip().to_string(),
        "Port": addr.port(),
        "Meta": {
            "service": server.spec.service,
            "domain": server.spec.domain,
            "state": if leaving { "leaving" } else { "live" },
            "started": server.started_ms.to_string(),
        },
    })
    .to_string();
    put(store, "/v1/agent/service/register", body.as_bytes()).await
}

/// Removes the server from the platform's list.
pub async fn deregister(server: &Server, store: SocketAddr) -> bool {
    put(store, &format!("/v1/agent/service/deregister/{}", server.spec.name), b"").await
}

async fn put(store: SocketAddr, path: &str, body: &[u8]) -> bool {
    let answer = timeout(CALL_TIMEOUT, exchange(store, "PUT", path, body)).await;
    matches!(answer, Ok(Ok(answer)) if answer.status.is_success())
}
