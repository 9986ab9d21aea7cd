//! Serves requests and load queries of a server of the users' platform.

use super::endless;
use super::server::{ExecutedRequest, Inner, lock};
use super::server_fault::ServerFault;
use super::thread::{DOWN_POLL, wait_forever};
use crate::wire::{Conn, Framing, WireError, answer_head};
use http::{HeaderMap, StatusCode, Uri};
use monoio::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Largest request body, in bytes.
const BODY_LIMIT: usize = 8 << 20;

/// Idle time after which [`ServerFault::ForgetsIdle`] closes a connection.
const IDLE_LIMIT: Duration = Duration::from_millis(300);

/// Ends the count of a running request when dropped.
struct Running<'a>(&'a Mutex<Inner>);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        lock(self.0).running -= 1;
    }
}

/// What a request asks of the server in its query, as `work_ms=N` and `bytes=N`.
#[derive(Clone, Copy, Debug, Default)]
struct Wanted {
    /// Time that the work takes.
    work: Option<Duration>,
    /// Length of the answer's body.
    bytes: Option<usize>,
}

impl Wanted {
    fn of(uri: &Uri) -> Self {
        let mut wanted = Self::default();
        for pair in uri.query().unwrap_or_default().split('&') {
            match pair.split_once('=') {
                Some(("work_ms", n)) => wanted.work = n.parse().ok().map(Duration::from_millis),
                Some(("bytes", n)) => wanted.bytes = n.parse().ok(),
                _ => {}
            }
        }
        wanted
    }
}

/// Serves one connection until it closes.
pub(super) async fn serve(inner: Arc<Mutex<Inner>>, io: TcpStream) {
    let accept_delay = {
        let mut inner = lock(&inner);
        inner.connections += 1;
        inner.accept_delay
    };
    monoio::time::sleep(accept_delay).await;
    let mut conn = Conn::new(io);
    let mut use_of = Use { last: Instant::now(), owes_copy: false };
    while serve_one(&inner, &mut conn, &mut use_of).await.is_ok() {
        use_of.last = Instant::now();
    }
}

/// How a connection was used.
struct Use {
    /// When its last answer was sent.
    last: Instant,
    /// Whether a second copy of a rejection is sent before the next answer.
    owes_copy: bool,
}

async fn serve_one(
    inner: &Mutex<Inner>,
    conn: &mut Conn,
    use_of: &mut Use,
) -> Result<(), WireError> {
    let head = conn.read_request().await?;
    let mut framing = Framing::of_request(&head.headers);
    let body = conn.read_body(&mut framing, BODY_LIMIT).await?;
    let fault = lock(inner).fault;
    if lock(inner).is_down() {
        return Err(WireError::Closed);
    }
    if fault == ServerFault::ForgetsIdle && use_of.last.elapsed() > IDLE_LIMIT {
        return Err(WireError::Closed);
    }
    lock(inner).pause.record_arrival();
    if head.uri.path() == "/health" {
        lock(inner).probes += 1;
        if let ServerFault::EndlessProbes(part) = fault {
            return endless::send(inner, conn, part, "").await;
        }
        return health(inner, conn).await;
    }
    let header = |name: &str| text(&head.headers, name).to_owned();
    let id = header("x-attempt-id");
    let expected = header("x-expected-instance");
    if fault == ServerFault::Other || (!expected.is_empty() && expected != lock(inner).id) {
        return send_plain(conn, StatusCode::MISDIRECTED_REQUEST, &[("x-instance-id", "i-other")])
            .await;
    }
    if std::mem::take(&mut use_of.owes_copy) {
        send_plain(conn, StatusCode::SERVICE_UNAVAILABLE, &[("x-not-executed", "1")]).await?;
    } else if fault == ServerFault::ShedWithLateCopy {
        use_of.owes_copy = true;
        return send_plain(conn, StatusCode::SERVICE_UNAVAILABLE, &[("x-not-executed", "1")]).await;
    }
    if fault == ServerFault::Shed {
        let mut headers = vec![("x-not-executed", "1")];
        headers.extend(leaving_header(inner));
        let pause = lock(inner).pause.begin();
        headers.extend(pause.as_deref().map(|seconds| ("retry-after", seconds)));
        return send_plain(conn, StatusCode::SERVICE_UNAVAILABLE, &headers).await;
    }
    let line = format!("{} {}", head.method, head.uri);
    let left_ms = header("x-request-deadline-ms").parse().unwrap_or(0);
    let workspace = head.headers.get("x-tenant").and_then(|v| v.to_str().ok()).map(str::to_owned);
    let has_key = head.headers.contains_key("authorization");
    let wanted = Wanted::of(&head.uri);
    let (run_number, work) = {
        let mut inner = lock(inner);
        inner.record_request();
        if inner.is_down() {
            return Err(WireError::Closed);
        }
        let (id, began, ended) = (id.clone(), Instant::now(), None);
        let req = ExecutedRequest { line, id, left_ms, body, workspace, has_key, began, ended };
        inner.executed.push(req);
        inner.running += 1;
        (inner.executed.len() - 1, wanted.work.unwrap_or(inner.work) * inner.slowdown / 100)
    };
    let running = Running(inner);
    let is_poison = head.uri.path().contains("poison");
    if is_poison && fault == ServerFault::CrashesOnAbandonedPoison {
        monoio::time::sleep(work).await;
    } else {
        run(inner, conn, work).await?;
    }
    lock(inner).executed[run_number].ended = Some(Instant::now());
    if is_poison && crashes_on_poison(fault) {
        lock(inner).crash();
    }
    if lock(inner).is_down() {
        // In a crash, no connection breaks before the address refuses new ones.
        monoio::time::sleep(2 * DOWN_POLL).await;
        return Err(WireError::Closed);
    }
    drop(running);
    answer(inner, conn, fault, &id, wanted.bytes).await
}

const fn crashes_on_poison(fault: ServerFault) -> bool {
    matches!(fault, ServerFault::CrashesOnPoison | ServerFault::CrashesOnAbandonedPoison)
}

/// Waits for the work time; fails if the connection closes first.
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
    fault: ServerFault,
    id: &str,
    bytes: Option<usize>,
) -> Result<(), WireError> {
    let body = "x".repeat(bytes.unwrap_or(lock(inner).body));
    let success = signed_answer(inner, StatusCode::OK, id, &body);
    match fault {
        ServerFault::Mute => Err(WireError::Closed),
        ServerFault::Hang => wait_forever().await,
        ServerFault::Errors => {
            conn.write(signed_answer(inner, StatusCode::INTERNAL_SERVER_ERROR, id, "failed")).await
        }
        ServerFault::Busy => {
            let pause = lock(inner).pause.begin();
            let headers: Vec<_> = pause.iter().map(|s| ("retry-after", s.as_str())).collect();
            send_plain(conn, StatusCode::SERVICE_UNAVAILABLE, &headers).await
        }
        ServerFault::Unsigned => send_plain(conn, StatusCode::OK, &[("x-attempt-id", id)]).await,
        ServerFault::BreaksOff => {
            conn.write(success[..success.len() - 1].to_owned()).await?;
            Err(WireError::Closed)
        }
        ServerFault::BreaksOffAfter(bytes) => {
            conn.write(success[..bytes.min(success.len())].to_owned()).await?;
            Err(WireError::Closed)
        }
        ServerFault::CrashesInAnswer => {
            conn.write(success[..success.len() / 2].to_owned()).await?;
            lock(inner).crash();
            monoio::time::sleep(2 * DOWN_POLL).await;
            Err(WireError::Closed)
        }
        ServerFault::Endless(part) => endless::send(inner, conn, part, id).await,
        ServerFault::StatusText(text) => conn.write(success.replacen("200", text, 1)).await,
        ServerFault::Extra => conn.write(success.clone() + &success).await,
        ServerFault::Foreign => {
            conn.write(signed_answer(inner, StatusCode::OK, "another", "not yours") + &success)
                .await
        }
        ServerFault::None
        | ServerFault::Shed
        | ServerFault::ShedWithLateCopy
        | ServerFault::Other
        | ServerFault::CrashesOnPoison
        | ServerFault::CrashesOnAbandonedPoison
        | ServerFault::EndlessProbes(_)
        | ServerFault::ForgetsIdle => conn.write(success).await,
    }
}

fn signed_answer(inner: &Mutex<Inner>, status: StatusCode, id: &str, body: &str) -> String {
    let load = load(inner);
    let length = body.len().to_string();
    let mut headers = vec![
        ("x-attempt-id", id),
        ("x-response-signature", "3e1b.07"),
        ("x-backend-load", load.as_str()),
        ("content-length", length.as_str()),
    ];
    let limit = lock(inner).limit.header_value();
    headers.extend(limit.as_deref().map(|limit| ("server-limit", limit)));
    headers.extend(leaving_header(inner));
    answer_head(status, &headers) + body
}

async fn send_plain(
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
        (inner.id.clone(), inner.cold.time_left().as_millis().to_string())
    };
    let mut headers = vec![
        ("x-instance-id", id.as_str()),
        ("x-backend-load", load.as_str()),
        ("x-warmup-ms", cold_ms.as_str()),
    ];
    let leaving_header = leaving_header(inner);
    let limit = lock(inner).limit.header_value();
    if lock(inner).reports_state_in_probes {
        headers.extend(leaving_header);
        headers.extend(limit.as_deref().map(|limit| ("server-limit", limit)));
    }
    let status = leaving_header.map_or(StatusCode::OK, |_| StatusCode::SERVICE_UNAVAILABLE);
    send_plain(conn, status, &headers).await
}

/// Returns the header by which the server states that it is leaving.
fn leaving_header(inner: &Mutex<Inner>) -> Option<(&'static str, &'static str)> {
    lock(inner).is_leaving.then_some(("server-leaving", "1"))
}

fn load(inner: &Mutex<Inner>) -> String {
    let inner = lock(inner);
    format!("{},0,6,{}", inner.running, inner.slowdown)
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
}
