//! How a server of the users' platform answers requests and questions.

use super::server::{DOWN, Inner, Seen, ServerTrouble, lock};
use super::thread::never;
use crate::wire::{Conn, Framing, WireError, answer_head};
use http::{HeaderMap, StatusCode};
use monoio::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Largest body that is read.
const BODY_LIMIT: usize = 8 << 20;

/// Idle time after which a server that forgets does so.
const IDLE: Duration = Duration::from_millis(300);

/// Counts a running request; dropping it takes it off.
struct Running<'a>(&'a Mutex<Inner>);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        lock(self.0).running -= 1;
    }
}

/// Serves one connection until it ends.
pub(super) async fn serve(inner: Arc<Mutex<Inner>>, io: TcpStream) {
    let greeting = {
        let mut inner = lock(&inner);
        inner.connections += 1;
        inner.greeting
    };
    monoio::time::sleep(greeting).await;
    let mut conn = Conn::new(io);
    let mut used = Instant::now();
    while serve_one(&inner, &mut conn, used).await.is_ok() {
        used = Instant::now();
    }
}

async fn serve_one(inner: &Mutex<Inner>, conn: &mut Conn, used: Instant) -> Result<(), WireError> {
    let head = conn.read_request().await?;
    let mut framing = Framing::of_request(&head.headers);
    let body = conn.read_body(&mut framing, BODY_LIMIT).await?;
    let trouble = lock(inner).trouble;
    if lock(inner).down_until.is_some_and(|until| Instant::now() < until) {
        return Err(WireError::Closed);
    }
    if trouble == ServerTrouble::ForgetsIdle && used.elapsed() > IDLE {
        return Err(WireError::Closed);
    }
    lock(inner).pause.arrived();
    if head.uri.path() == "/health" {
        lock(inner).probes += 1;
        return health(inner, conn).await;
    }
    let told = |name: &str| text(&head.headers, name).to_owned();
    let id = told("x-attempt-id");
    let expected = told("x-expected-instance");
    if trouble == ServerTrouble::Other || (!expected.is_empty() && expected != lock(inner).id) {
        return plain(conn, StatusCode::MISDIRECTED_REQUEST, &[("x-instance-id", "i-other")]).await;
    }
    if trouble == ServerTrouble::Shed {
        let mut headers = vec![("x-not-executed", "1")];
        headers.extend(leaving(inner));
        let pause = lock(inner).pause.begin();
        headers.extend(pause.as_deref().map(|seconds| ("retry-after", seconds)));
        return plain(conn, StatusCode::SERVICE_UNAVAILABLE, &headers).await;
    }
    let line = format!("{} {}", head.method, head.uri);
    let left_ms = told("x-request-deadline-ms").parse().unwrap_or(0);
    let work = {
        let mut inner = lock(inner);
        inner.press();
        if inner.down_until.is_some_and(|until| Instant::now() < until) {
            return Err(WireError::Closed);
        }
        inner.seen.push(Seen { line, id: id.clone(), left_ms, body });
        inner.running += 1;
        inner.work * inner.pace / 100
    };
    let running = Running(inner);
    if trouble == ServerTrouble::CrashesOnPoison && head.uri.path().contains("poison") {
        lock(inner).down_until = Some(Instant::now() + DOWN);
        return Err(WireError::Closed);
    }
    run(inner, conn, work).await?;
    drop(running);
    answer(inner, conn, trouble, &id).await
}

/// Works, unless the connection closes first.
async fn run(inner: &Mutex<Inner>, conn: &mut Conn, work: Duration) -> Result<(), WireError> {
    let worked = std::pin::pin!(monoio::time::sleep(work));
    let closed = std::pin::pin!(conn.wait_closed());
    match futures::future::select(worked, closed).await {
        futures::future::Either::Left(_) => Ok(()),
        futures::future::Either::Right(_) => {
            lock(inner).cancelled += 1;
            Err(WireError::Closed)
        }
    }
}

async fn answer(
    inner: &Mutex<Inner>,
    conn: &mut Conn,
    trouble: ServerTrouble,
    id: &str,
) -> Result<(), WireError> {
    let body = "x".repeat(lock(inner).body);
    let good = whole(inner, StatusCode::OK, id, &body);
    match trouble {
        ServerTrouble::Mute => Err(WireError::Closed),
        ServerTrouble::Hang => never().await,
        ServerTrouble::Errors => {
            conn.write(whole(inner, StatusCode::INTERNAL_SERVER_ERROR, id, "failed")).await
        }
        ServerTrouble::Busy => {
            let pause = lock(inner).pause.begin();
            let headers: Vec<_> = pause.iter().map(|s| ("retry-after", s.as_str())).collect();
            plain(conn, StatusCode::SERVICE_UNAVAILABLE, &headers).await
        }
        ServerTrouble::Unsigned => plain(conn, StatusCode::OK, &[("x-attempt-id", id)]).await,
        ServerTrouble::BreaksOff => {
            conn.write(good[..good.len() - 1].to_owned()).await?;
            Err(WireError::Closed)
        }
        ServerTrouble::Extra => conn.write(good.clone() + &good).await,
        ServerTrouble::Foreign => {
            conn.write(whole(inner, StatusCode::OK, "another", "not yours") + &good).await
        }
        ServerTrouble::None
        | ServerTrouble::Shed
        | ServerTrouble::Other
        | ServerTrouble::CrashesOnPoison
        | ServerTrouble::ForgetsIdle => conn.write(good).await,
    }
}

fn whole(inner: &Mutex<Inner>, status: StatusCode, id: &str, body: &str) -> String {
    let load = load(inner);
    let length = body.len().to_string();
    let mut headers = vec![
        ("x-attempt-id", id),
        ("x-response-signature", "3e1b.07"),
        ("x-backend-load", load.as_str()),
        ("content-length", length.as_str()),
    ];
    let limit = lock(inner).limit.text();
    headers.extend(limit.as_deref().map(|limit| ("server-limit", limit)));
    headers.extend(leaving(inner));
    answer_head(status, &headers) + body
}

async fn plain(
    conn: &mut Conn,
    status: StatusCode,
    headers: &[(&str, &str)],
) -> Result<(), WireError> {
    let mut all = vec![("content-length", "0")];
    all.extend_from_slice(headers);
    conn.write(answer_head(status, &all)).await
}

async fn health(inner: &Mutex<Inner>, conn: &mut Conn) -> Result<(), WireError> {
    let load = load(inner);
    let (id, cold_ms) = {
        let inner = lock(inner);
        (inner.id.clone(), inner.cold.left().as_millis().to_string())
    };
    let mut headers = vec![
        ("x-instance-id", id.as_str()),
        ("x-backend-load", load.as_str()),
        ("x-warmup-ms", cold_ms.as_str()),
    ];
    let leaving = leaving(inner);
    let limit = lock(inner).limit.text();
    if lock(inner).tells_askers {
        headers.extend(leaving);
        headers.extend(limit.as_deref().map(|limit| ("server-limit", limit)));
    }
    let status = leaving.map_or(StatusCode::OK, |_| StatusCode::SERVICE_UNAVAILABLE);
    plain(conn, status, &headers).await
}

/// The header of a server that leaves.
fn leaving(inner: &Mutex<Inner>) -> Option<(&'static str, &'static str)> {
    lock(inner).is_leaving.then_some(("server-leaving", "1"))
}

fn load(inner: &Mutex<Inner>) -> String {
    let inner = lock(inner);
    format!("{},0,6,{}", inner.running, inner.pace)
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
}
