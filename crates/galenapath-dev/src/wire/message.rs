//! Encoding of heads, and whole exchanges with small bodies.

use super::conn::{Conn, WireError};
use super::framing::Framing;
use http::{HeaderMap, Method, StatusCode};
use std::fmt::Write;
use std::net::SocketAddr;

/// Maximum length of an answer body that [`exchange`] reads.
const ANSWER_LIMIT: usize = 8 * 1024 * 1024;

/// An answer with its whole body.
#[derive(Debug)]
pub struct Answer {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Vec<u8>,
}

impl Answer {
    /// Returns the value of a header, or an empty string if it is missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
    }
}

/// Encodes the head of a request.
pub fn request_head(method: &str, path: &str, headers: &[(&str, &str)]) -> String {
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    push_headers(&mut head, headers);
    head
}

/// Encodes the head of an answer.
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

/// Sends one request on a new connection and reads the whole answer.
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
