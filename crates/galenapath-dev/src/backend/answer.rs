//! Answers, right and wrong ones.

use super::body::{Pattern, pattern_seed};
use super::connection::Job;
use super::server::Server;
use super::slots::SlotGuard;
use crate::wire::{Conn, WireError, answer_head};
use galenapath_protocol::{REPORT_HEADER, REQUEST_ID_HEADER};
use http::StatusCode;

/// The backend server's own word that it did not run the request.
pub const NOT_RUN_HEADER: &str = "galenapath-not-run";

/// Bytes beyond the declared length that a server with the fault `too_much` sends.
const EXCESS: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nEXCESS";
/// What a server with the fault `garbage` sends.
const GARBAGE: &[u8] = b"\x16\x03\x01 this is no HTTP\r\n\r\n";

/// What becomes of the connection after an answer.
pub enum After {
    /// It serves the next request.
    KeepAlive,
    /// It closes.
    Close,
}

/// Answers a probe.
pub async fn report_only(conn: &mut Conn, server: &Server) -> Result<After, WireError> {
    send(conn, server, StatusCode::OK, &[], b"").await
}

/// Answers that the request failed.
pub async fn failed(conn: &mut Conn, server: &Server) -> Result<After, WireError> {
    send(conn, server, StatusCode::INTERNAL_SERVER_ERROR, &[], b"failed\n").await
}

/// Answers that there is no room; the request did not run.
pub async fn shed(conn: &mut Conn, server: &Server) -> Result<After, WireError> {
    let headers = [(NOT_RUN_HEADER, "1"), ("retry-after", "1")];
    send(conn, server, StatusCode::SERVICE_UNAVAILABLE, &headers, b"no room\n").await
}

/// Answers that the deadline passed, while waiting (`not_run`) or while running.
pub async fn expired(conn: &mut Conn, server: &Server, not_run: bool) -> Result<After, WireError> {
    let headers: &[_] = if not_run { &[(NOT_RUN_HEADER, "1")] } else { &[] };
    send(conn, server, StatusCode::GATEWAY_TIMEOUT, headers, b"deadline passed\n").await
}

/// Answers a request that ran. A long body holds the slot until it is sent.
pub async fn whole(
    conn: &mut Conn,
    server: &Server,
    job: &Job,
    guard: SlotGuard,
) -> Result<After, WireError> {
    let len = job.number("bytes");
    if len.is_none() {
        drop(guard);
    }
    let after = match len {
        Some(len) => stream(conn, server, job, len).await?,
        None => send(conn, server, StatusCode::OK, &[], summary(server, job).as_bytes()).await?,
    };
    server.counters.borrow_mut().answered += 1;
    Ok(after)
}

/// Body that names the server and the request that it answers.
fn summary(server: &Server, job: &Job) -> String {
    let id = job.head.headers.get(REQUEST_ID_HEADER).and_then(|v| v.to_str().ok()).unwrap_or("");
    let body = serde_json::json!({
        "server": server.spec.name,
        "service": server.spec.service,
        "path": job.path,
        "key": job.key,
        "id": id,
        "body": format!("{:016x}", job.body_hash),
    });
    format!("{body}\n")
}

async fn send(
    conn: &mut Conn,
    server: &Server,
    status: StatusCode,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Result<After, WireError> {
    server.pass_way().await;
    let mut buf = head(server, status, headers, body.len() as u64).into_bytes();
    let (halfway, garbage, too_much) = {
        let faults = server.faults.borrow();
        (faults.stop_halfway, faults.garbage, faults.too_much)
    };
    if garbage {
        conn.write(GARBAGE).await?;
        return Ok(After::Close);
    }
    let sent = if halfway { body.len() / 2 } else { body.len() };
    buf.extend_from_slice(&body[..sent]);
    if too_much {
        buf.extend_from_slice(EXCESS);
    }
    conn.write(buf).await?;
    Ok(after(server, halfway))
}

async fn stream(conn: &mut Conn, server: &Server, job: &Job, len: u64) -> Result<After, WireError> {
    server.pass_way().await;
    let halfway = server.faults.borrow().stop_halfway;
    let sent = if halfway { len / 2 } else { len };
    conn.write(head(server, StatusCode::OK, &[], len)).await?;
    for part in Pattern::new(pattern_seed(&job.path), sent) {
        conn.write_part(part).await?;
        server.thaw().await;
    }
    Ok(after(server, halfway))
}

fn head(server: &Server, status: StatusCode, headers: &[(&str, &str)], len: u64) -> String {
    let report = server.report().to_string();
    let len = len.to_string();
    let mut all = vec![("content-length", len.as_str()), (REPORT_HEADER, &report)];
    if server.leaving.get().is_some() {
        all.push(("connection", "close"));
    }
    all.extend_from_slice(headers);
    answer_head(status, &all)
}

fn after(server: &Server, halfway: bool) -> After {
    if halfway || server.leaving.get().is_some() { After::Close } else { After::KeepAlive }
}
