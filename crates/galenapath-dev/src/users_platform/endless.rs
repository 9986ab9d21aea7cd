//! Answers without end.

use super::server::{Inner, lock};
use super::server_fault::EndlessPart;
use crate::wire::{Conn, WireError};
use std::sync::Mutex;

/// Bytes written at a time.
const BLOCK: usize = 16 * 1024;

/// Counts a connection on which bytes without end are being sent, until dropped.
struct Sending<'a>(&'a Mutex<Inner>);

impl<'a> Sending<'a> {
    fn begin(inner: &'a Mutex<Inner>) -> Self {
        lock(inner).endless += 1;
        Self(inner)
    }
}

impl Drop for Sending<'_> {
    fn drop(&mut self) {
        lock(self.0).endless -= 1;
    }
}

/// Sends the answer to the request `id` until the other end closes the connection.
pub(super) async fn send(
    inner: &Mutex<Inner>,
    conn: &mut Conn,
    part: EndlessPart,
    id: &str,
) -> Result<(), WireError> {
    let _sending = Sending::begin(inner);
    let head = format!(
        "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-signature: 3e1b.07\r\n\
         x-backend-load: 0,0,6,100\r\n"
    );
    let chunked = format!("{head}transfer-encoding: chunked\r\n\r\n");
    let (start, unit) = match part {
        EndlessPart::StatusLine => ("HTTP/1.1 200 ".to_owned(), "x"),
        EndlessPart::Fields => (head, "x-more: x\r\n"),
        EndlessPart::Interim => (String::new(), "HTTP/1.1 103 Early Hints\r\n\r\n"),
        EndlessPart::Body => (format!("{head}\r\n"), "x"),
        EndlessPart::Chunks => (chunked, "4\r\nxxxx\r\n"),
        EndlessPart::Extension => (format!("{chunked}4;x="), "x"),
        EndlessPart::Trailers => (format!("{chunked}0\r\n"), "x-more: x\r\n"),
    };
    conn.write(start).await?;
    let block = unit.repeat(BLOCK / unit.len());
    loop {
        conn.write(block.clone()).await?;
    }
}
