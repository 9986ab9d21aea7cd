//! Checks and serialization of message heads.

use crate::{Framing, HttpError};
use bytes::{BufMut, BytesMut};
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, Method, StatusCode};

/// Most header fields in one head; the limit of the parser behind this crate.
pub const MAX_HEADERS: usize = 96;

/// Longest header name that the parser behind this crate takes.
const MAX_NAME: usize = 256;

/// Checks what the parser would let through: bare line feeds and carriage returns, folded lines,
/// NUL bytes, too many fields, overlong names.
///
/// `head` ends with its empty line.
///
/// # Errors
///
/// `BadHead` names the first fault found.
pub fn check_head(head: &[u8]) -> Result<(), HttpError> {
    let mut fields = 0;
    let mut lines = head.split(|&b| b == b'\n').peekable();
    while let Some(line) = lines.next() {
        if lines.peek().is_none() {
            break;
        }
        let Some(line) = line.strip_suffix(b"\r") else {
            return Err(HttpError::BadHead("a line ends without a carriage return"));
        };
        check_line(line, fields)?;
        fields += 1;
    }
    // The request line and the empty line are no fields.
    if fields > MAX_HEADERS + 2 {
        return Err(HttpError::BadHead("too many header fields"));
    }
    Ok(())
}

fn check_line(line: &[u8], number: usize) -> Result<(), HttpError> {
    if line.iter().any(|&b| b == b'\r' || b == 0) {
        return Err(HttpError::BadHead("a carriage return or NUL byte inside a line"));
    }
    if matches!(line.first(), Some(b' ' | b'\t')) {
        return Err(HttpError::BadHead("a line starts with white space"));
    }
    let name_len = line.iter().position(|&b| b == b':').unwrap_or(0);
    if number > 0 && name_len > MAX_NAME {
        return Err(HttpError::BadHead("a header name is too long"));
    }
    Ok(())
}

/// A header field that is written beside a header map, without a place in it.
///
/// Neither part may hold a carriage return, a line feed or a NUL byte.
#[derive(Clone, Copy, Debug)]
pub struct Field<'a> {
    /// Its name.
    pub name: &'static str,
    /// Its value.
    pub value: &'a str,
}

/// Appends a request head whose body will follow with `framing`. `fields` come after `headers`.
pub fn put_request(
    out: &mut BytesMut,
    method: &Method,
    path: &str,
    headers: &HeaderMap,
    fields: &[Field<'_>],
    framing: Framing,
) {
    out.put_slice(method.as_str().as_bytes());
    out.put_u8(b' ');
    out.put_slice(path.as_bytes());
    out.put_slice(b" HTTP/1.1\r\n");
    put_headers(out, headers);
    put_fields(out, fields);
    let may_have_body = matches!(*method, Method::POST | Method::PUT | Method::PATCH);
    put_framing(out, framing, may_have_body);
    out.put_slice(b"\r\n");
}

/// Appends a response head whose body will follow with `framing`. For `Framing::None` with
/// `length_of_nothing` the head says `Content-Length: 0`; without it, nothing (HEAD, 204, 304).
pub fn put_response(
    out: &mut BytesMut,
    status: StatusCode,
    headers: &HeaderMap,
    framing: Framing,
    length_of_nothing: bool,
) {
    out.put_slice(b"HTTP/1.1 ");
    out.put_slice(status.as_str().as_bytes());
    out.put_u8(b' ');
    out.put_slice(status.canonical_reason().unwrap_or("Unknown").as_bytes());
    out.put_slice(b"\r\n");
    put_headers(out, headers);
    put_framing(out, framing, length_of_nothing);
    out.put_slice(b"\r\n");
}

fn put_fields(out: &mut BytesMut, fields: &[Field<'_>]) {
    for field in fields {
        debug_assert!(!field.value.bytes().any(|b| matches!(b, b'\r' | b'\n' | 0)));
        out.put_slice(field.name.as_bytes());
        out.put_slice(b": ");
        out.put_slice(field.value.as_bytes());
        out.put_slice(b"\r\n");
    }
}

fn put_headers(out: &mut BytesMut, headers: &HeaderMap) {
    for (name, value) in headers {
        if name == CONTENT_LENGTH || name == TRANSFER_ENCODING {
            continue;
        }
        out.put_slice(name.as_str().as_bytes());
        out.put_slice(b": ");
        out.put_slice(value.as_bytes());
        out.put_slice(b"\r\n");
    }
}

fn put_framing(out: &mut BytesMut, framing: Framing, length_of_nothing: bool) {
    match framing {
        Framing::None if length_of_nothing => out.put_slice(b"content-length: 0\r\n"),
        Framing::None => {}
        Framing::Length(n) => out.put_slice(format!("content-length: {n}\r\n").as_bytes()),
        Framing::Chunked => out.put_slice(b"transfer-encoding: chunked\r\n"),
        Framing::UntilClose => out.put_slice(b"connection: close\r\n"),
    }
}
