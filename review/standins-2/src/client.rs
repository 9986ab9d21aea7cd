//! Stand-ins of consumers.

use crate::gateway::connect;
use crate::http::{Conn, Message};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A new identifier of a consumer attempt.
pub fn new_id() -> String {
    let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{number:08x}", std::process::id())
}

/// The head of a request with a body of `length` bytes.
pub fn head(
    method: &str,
    host: &str,
    path: &str,
    id: &str,
    limit_ms: u64,
    length: usize,
) -> String {
    let mut text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Attempt-Id: {id}\r\n\
         X-Request-Deadline-Ms: {limit_ms}\r\n"
    );
    if method != "GET" {
        text.push_str(&format!("Content-Length: {length}\r\n"));
    }
    text + "\r\n"
}

/// Opens a connection on which a consumer waits for at most `limit` for an answer.
pub fn open(address: SocketAddr, limit: Duration) -> io::Result<Conn> {
    let io = connect(address)?;
    io.set_read_timeout(Some(limit))?;
    Ok(Conn::new(io))
}

/// Sends a request on a connection of its own and returns the answer.
pub fn send(
    address: SocketAddr,
    (method, host, path): (&str, &str, &str),
    id: &str,
    limit_ms: u64,
    body: &[u8],
) -> io::Result<Message> {
    let mut conn = open(address, Duration::from_millis(limit_ms))?;
    let head = head(method, host, path, id, limit_ms, body.len());
    conn.write(&[head.as_bytes(), body].concat())?;
    conn.read(true)
}

/// Status of the answer to a GET request without headers of the system.
pub fn get_status(address: SocketAddr, target: &str) -> Option<u16> {
    get(address, target).ok().map(|answer| answer.status())
}

/// Answer to a GET request without headers of the system.
pub fn get(address: SocketAddr, target: &str) -> io::Result<Message> {
    let mut conn = open(address, Duration::from_secs(1))?;
    conn.write(
        format!("GET {target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").as_bytes(),
    )?;
    conn.read(true)
}

/// The addresses that a node names for a host and a zone.
pub fn resolve(directory: SocketAddr, host: &str, zone: &str) -> io::Result<Vec<SocketAddr>> {
    let answer = get(directory, &format!("/-/resolve?name={host}&region=region&zone={zone}"))?;
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    Ok(text.split('"').filter_map(|part| part.parse().ok()).collect())
}
