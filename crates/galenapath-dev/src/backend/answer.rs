//! Answers to requests, correct or altered by faults.

use super::body::{Pattern, pattern_seed};
use super::connection::Job;
use super::server::Server;
use super::slots::SlotGuard;
use crate::wire::{Conn, WireError, answer_head};
use galenapath_protocol::{REPORT_HEADER, REQUEST_ID_HEADER};
use http::StatusCode;

/// Header by which the backend server states that it did not run the request.
pub const NOT_RUN_HEADER: &str = "galenapath-not-run";

/// Bytes that a server with the fault `too_much` sends beyond the declared length.
const EXCESS: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nEXCESS";
/// Bytes that a server with the fault `garbage` sends instead of an answer.
const GARBAGE: &[u8] = b"\x16\x03\x01 this is no HTTP\r\n\r\n";

/// What to do with the connection after an answer.
pub enum ConnectionAction {
    /// Read the next request.
    KeepAlive,
    /// Close the connection.
    Close,
}

/// Answers a load query with the load report alone.
pub async fn send_report(conn: &mut Conn, server: &Server) -> Result<ConnectionAction, WireError> {
    send(conn, server, StatusCode::OK, &[], b"").await
}

/// Answers that the request failed.
pub async fn send_failure(conn: &mut Conn, server: &Server) -> Result<ConnectionAction, WireError> {
    send(conn, server, StatusCode::INTERNAL_SERVER_ERROR, &[], b"failed\n").await
}

/// Answers that the queue is full and the request did not run.
pub async fn send_shed(conn: &mut Conn, server: &Server) -> Result<ConnectionAction, WireError> {
    let headers = [(NOT_RUN_HEADER, "1"), ("retry-after", "1")];
    send(conn, server, StatusCode::SERVICE_UNAVAILABLE, &headers, b"no room\n").await
}

/// Answers that the deadline passed, while queued (`not_run`) or while running.
pub async fn send_expired(
    conn: &mut Conn,
    server: &Server,
    not_run: bool,
) -> Result<ConnectionAction, WireError> {
    let headers: &[_] = if not_run { &[(NOT_RUN_HEADER, "1")] } else { &[] };
    send(conn, server, StatusCode::GATEWAY_TIMEOUT, headers, b"deadline passed\n").await
}

/// Answers a request that ran. A body of requested length holds the slot until it is sent.
pub async fn send_success(
    conn: &mut Conn,
    server: &Server,
    job: &Job,
    guard: SlotGuard,
) -> Result<ConnectionAction, WireError> {
    let len = job.query_number("bytes");
    if len.is_none() {
        drop(guard);
    }
    let action = match len {
        Some(len) => stream(conn, server, job, len).await?,
        None => send(conn, server, StatusCode::OK, &[], summary(server, job).as_bytes()).await?,
    };
    server.counters.borrow_mut().answered += 1;
    Ok(action)
}

/// JSON body that identifies the server and the request.
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
) -> Result<ConnectionAction, WireError> {
    server.apply_delay().await;
    let mut buf = head(server, status, headers, body.len() as u64).into_bytes();
    let (halfway, garbage, too_much) = {
        let faults = server.faults.borrow();
        (faults.stop_halfway, faults.garbage, faults.too_much)
    };
    if garbage {
        conn.write(GARBAGE).await?;
        return Ok(ConnectionAction::Close);
    }
    let sent_len = if halfway { body.len() / 2 } else { body.len() };
    buf.extend_from_slice(&body[..sent_len]);
    if too_much {
        buf.extend_from_slice(EXCESS);
    }
    conn.write(buf).await?;
    Ok(action_after_answer(server, halfway))
}

async fn stream(
    conn: &mut Conn,
    server: &Server,
    job: &Job,
    len: u64,
) -> Result<ConnectionAction, WireError> {
    server.apply_delay().await;
    let halfway = server.faults.borrow().stop_halfway;
    let sent_len = if halfway { len / 2 } else { len };
    conn.write(head(server, StatusCode::OK, &[], len)).await?;
    for part in Pattern::new(pattern_seed(&job.path), sent_len) {
        conn.write_part(part).await?;
        server.wait_while_frozen().await;
    }
    Ok(action_after_answer(server, halfway))
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

fn action_after_answer(server: &Server, halfway: bool) -> ConnectionAction {
    if halfway || server.leaving.get().is_some() {
        ConnectionAction::Close
    } else {
        ConnectionAction::KeepAlive
    }
}
