//! Callers.

use crate::http::{Conn, Head};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Time within which a connection has to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A request of a caller.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Method.
    pub method: &'a str,
    /// Path.
    pub path: &'a str,
    /// Host.
    pub host: &'a str,
    /// The identifier of the attempt.
    pub id: &'a str,
    /// How long the caller waits, in milliseconds.
    pub limit_ms: u64,
    /// Body.
    pub body: &'a str,
}

impl Request<'_> {
    /// The bytes of the request.
    pub fn bytes(&self) -> Vec<u8> {
        let Self { method, path, host, id, limit_ms, body } = self;
        let mut text = format!(
            "{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Attempt-Id: {id}\r\n\
             X-Request-Deadline-Ms: {limit_ms}\r\n"
        );
        if !body.is_empty() {
            text.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        text.push_str("\r\n");
        text.push_str(body);
        text.into_bytes()
    }
}

/// Opens a connection.
pub fn connect(to: SocketAddr) -> io::Result<Conn> {
    Ok(Conn::new(TcpStream::connect_timeout(&to, CONNECT_TIMEOUT)?))
}

/// Sends a request on a new connection and reads the answer, for as long as the caller waits.
pub fn send(to: SocketAddr, request: Request<'_>) -> io::Result<(Head, Vec<u8>)> {
    send_on(&mut connect(to)?, request)
}

/// Sends a request on an open connection and reads the answer, for as long as the caller waits.
pub fn send_on(conn: &mut Conn, request: Request<'_>) -> io::Result<(Head, Vec<u8>)> {
    let limit = Duration::from_millis(request.limit_ms);
    conn.stream.set_read_timeout(Some(limit))?;
    conn.write(&request.bytes())?;
    let head = conn.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let body = conn.read_body(&head)?;
    Ok((head, body))
}

/// The status of the answer to a plain GET; `None` without an answer.
pub fn get_status(to: SocketAddr, path: &str) -> Option<u16> {
    let mut conn = connect(to).ok()?;
    conn.stream.set_read_timeout(Some(CONNECT_TIMEOUT)).ok()?;
    let text = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    conn.write(text.as_bytes()).ok()?;
    conn.read_head().ok()?.map(|head| head.status())
}
