//! Keeps a server in the platform's list.

use super::server::Server;
use crate::wire::exchange;
use monoio::time::{sleep, timeout};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How often the state is compared with what the platform was last told.
const CHECK_EVERY: Duration = Duration::from_millis(50);
/// How often an unchanged state is told again, in case the platform forgot it.
const RENEW_EVERY: Duration = Duration::from_secs(5);
/// Longest wait for the platform.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Tells `store` the server's state at the start, at each change and now and then.
pub async fn keep_registered(server: Rc<Server>, store: SocketAddr) {
    let mut told: Option<(bool, Instant)> = None;
    loop {
        let leaving = server.leaving.get().is_some();
        let current = told.is_some_and(|(l, at)| l == leaving && at.elapsed() < RENEW_EVERY);
        if !current && register(&server, store, leaving).await {
            told = Some((leaving, Instant::now()));
        }
        sleep(CHECK_EVERY).await;
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

/// Takes the server out of the platform's list.
pub async fn deregister(server: &Server, store: SocketAddr) -> bool {
    put(store, &format!("/v1/agent/service/deregister/{}", server.spec.name), b"").await
}

async fn put(store: SocketAddr, path: &str, body: &[u8]) -> bool {
    let answer = timeout(CALL_TIMEOUT, exchange(store, "PUT", path, body)).await;
    matches!(answer, Ok(Ok(answer)) if answer.status.is_success())
}
