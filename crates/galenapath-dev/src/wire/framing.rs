//! Framing of HTTP/1.1 bodies.

use http::{HeaderMap, Method, StatusCode, header};
use monoio_http::h1::codec::decoder::ChunkedBodyDecoder;

/// How the end of a message body is determined.
pub enum Framing {
    /// This many bytes remain.
    Length(u64),
    /// Chunked encoding.
    Chunked(ChunkedBodyDecoder),
    /// The body ends when the peer closes the connection.
    UntilClose,
    /// The body is complete.
    Done,
}

impl Framing {
    /// Returns the framing of a request body.
    pub fn of_request(headers: &HeaderMap) -> Self {
        from_headers(headers).unwrap_or(Self::Done)
    }

    /// Returns the framing of the body of an answer to a request with `method`.
    pub fn of_answer(method: &Method, status: StatusCode, headers: &HeaderMap) -> Self {
        let bodiless = status.is_informational()
            || status == StatusCode::NO_CONTENT
            || status == StatusCode::NOT_MODIFIED;
        if bodiless || method == Method::HEAD {
            return Self::Done;
        }
        from_headers(headers).unwrap_or(Self::UntilClose)
    }
}

fn from_headers(headers: &HeaderMap) -> Option<Framing> {
    if headers.contains_key(header::TRANSFER_ENCODING) {
        return Some(Framing::Chunked(ChunkedBodyDecoder::default()));
    }
    let text = headers.get(header::CONTENT_LENGTH)?.to_str().ok()?;
    match text.parse().ok()? {
        0 => Some(Framing::Done),
        n => Some(Framing::Length(n)),
    }
}
