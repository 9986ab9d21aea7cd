//! Validation and serialization of message heads.

use crate::{Framing, HttpError};
use bytes::{BufMut, BytesMut};
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, Method, StatusCode};

/// Maximum number of header fields in a head; a limit of `monoio-http`'s parser.
pub const MAX_HEADERS: usize = 96;

/// The highest status code of HTTP.
const MAX_STATUS: u16 = 599;

/// Maximum length of a header name, in bytes; a limit of `monoio-http`'s parser.
const MAX_NAME: usize = 256;

/// Rejects what `monoio-http`'s parser would accept: bare line feeds and carriage returns, folded
/// lines, NUL bytes, too many fields, and names that are too long.
///
/// `head` has to include the empty line at its end.
///
/// # Errors
///
/// `BadHead` with the first violation found.
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
    // The count includes the start line and the empty line.
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

/// Rejects status codes that an answer to one of our requests cannot have.
///
/// # Errors
///
/// `BadHead` for a code outside the classes of HTTP, and for a switch of protocols, which is never
/// requested: what follows it is not HTTP.
pub(crate) fn check_status(status: StatusCode) -> Result<(), HttpError> {
    if status.as_u16() > MAX_STATUS {
        return Err(HttpError::BadHead("not a status code of HTTP"));
    }
    if status == StatusCode::SWITCHING_PROTOCOLS {
        return Err(HttpError::BadHead("a switch of protocols that was not requested"));
    }
    Ok(())
}

/// A header field that is written in addition to those of a header map.
///
/// Neither name nor value may contain a carriage return, a line feed or a NUL byte.
#[derive(Clone, Copy, Debug)]
pub struct Field<'a> {
    /// Field name.
    pub name: &'static str,
    /// Field value.
    pub value: &'a str,
}

/// Appends the head of a request whose body has `framing`. `fields` are written after `headers`.
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

/// Appends the head of a response whose body has `framing`. With `Framing::None`,
/// `with_zero_length` decides whether the head contains `Content-Length: 0`; it has to be false for
/// responses to HEAD and for status 204 and 304.
pub fn put_response(
    out: &mut BytesMut,
    status: StatusCode,
    headers: &HeaderMap,
    framing: Framing,
    with_zero_length: bool,
) {
    out.put_slice(b"HTTP/1.1 ");
    out.put_slice(status.as_str().as_bytes());
    out.put_u8(b' ');
    out.put_slice(status.canonical_reason().unwrap_or("Unknown").as_bytes());
    out.put_slice(b"\r\n");
    put_headers(out, headers);
    put_framing(out, framing, with_zero_length);
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

fn put_framing(out: &mut BytesMut, framing: Framing, with_zero_length: bool) {
    match framing {
        Framing::None if with_zero_length => out.put_slice(b"content-length: 0\r\n"),
        Framing::None => {}
        Framing::Length(n) => out.put_slice(format!("content-length: {n}\r\n").as_bytes()),
        Framing::Chunked => out.put_slice(b"transfer-encoding: chunked\r\n"),
        Framing::UntilClose => out.put_slice(b"connection: close\r\n"),
    }
}

/// Index behind the empty line that ends a head, searched from index `from`.
pub(crate) fn find_head_end(input: &[u8], from: usize) -> Option<usize> {
    memchr::memmem::find(&input[from..], b"\r\n\r\n").map(|at| from + at + 4)
}

/// Fails early on a line feed without a carriage return, which no valid head contains.
pub(crate) fn reject_bare_line_feed(input: &[u8]) -> Result<(), HttpError> {
    let has_bare = memchr::memchr_iter(b'\n', input).any(|at| at > 0 && input[at - 1] != b'\r');
    if has_bare {
        return Err(HttpError::BadHead("a line ends without a carriage return"));
    }
    Ok(())
}
