//! Writing heads, and a whole exchange for calls with small bodies.

use super::conn::{Conn, WireError};
use super::framing::Framing;
use http::{HeaderMap, Method, StatusCode};
use std::fmt::Write;
use std::net::SocketAddr;

/// Largest body of an answer that [`exchange`] takes.
const ANSWER_LIMIT: usize = 8 * 1024 * 1024;

/// A whole answer.
#[derive(Debug)]
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its whole body.
    pub body: Vec<u8>,
}

impl Answer {
    /// A header's text, empty where it is missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
    }
}

/// Text of a request's head.
pub fn request_head(method: &str, path: &str, headers: &[(&str, &str)]) -> String {
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    push_headers(&mut head, headers);
    head
}

/// Text of an answer's head.
pub fn answer_head(status: StatusCode, headers: &[(&str, &str)]) -> String {
    let reason = status.canonical_reason().unwrap_or("Unknown");
    let mut head = format!("HTTP/1.1 {} {reason}\r\n", status.as_u16());
    push_headers(&mut head, headers);
    head
}

fn push_headers(head: &mut String, headers: &[(&str, &str)]) {
    for (name, value) in headers {
        // Writing to a `String` cannot fail.
        let _ = write!(head, "{name}: {value}\r\n");
    }
    head.push_str("\r\n");
}

/// One request and its answer on a connection of their own.
pub async fn exchange(
    addr: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
) -> Result<Answer, WireError> {
    let mut conn = Conn::connect(addr).await?;
    let host = addr.to_string();
    let len = body.len().to_string();
    let headers = [("host", host.as_str()), ("content-length", &len), ("connection", "close")];
    let mut buf = request_head(method, path, &headers).into_bytes();
    buf.extend_from_slice(body);
    conn.write(buf).await?;
    let head = conn.read_answer().await?;
    let method = Method::from_bytes(method.as_bytes()).unwrap_or_default();
    let mut framing = Framing::of_answer(&method, head.status, &head.headers);
    let body = conn.read_body(&mut framing, ANSWER_LIMIT).await?;
    Ok(Answer { status: head.status, headers: head.headers, body })
}
