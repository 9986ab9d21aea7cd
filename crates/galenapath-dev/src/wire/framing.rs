//! How the body that follows a head ends.

use http::{HeaderMap, Method, StatusCode, header};
use monoio_http::h1::codec::decoder::ChunkedBodyDecoder;

/// End of a message's body.
pub enum Framing {
    /// This many bytes are still to come.
    Length(u64),
    /// Chunks, the last of which is empty.
    Chunked(ChunkedBodyDecoder),
    /// Everything until the peer closes the connection.
    UntilClose,
    /// The body was read whole.
    Done,
}

impl Framing {
    /// Framing of a request's body.
    pub fn of_request(headers: &HeaderMap) -> Self {
        declared(headers).unwrap_or(Self::Done)
    }

    /// Framing of the body of an answer to a request with `method`.
    pub fn of_answer(method: &Method, status: StatusCode, headers: &HeaderMap) -> Self {
        let bodiless = status.is_informational()
            || status == StatusCode::NO_CONTENT
            || status == StatusCode::NOT_MODIFIED;
        if bodiless || method == Method::HEAD {
            return Self::Done;
        }
        declared(headers).unwrap_or(Self::UntilClose)
    }
}

fn declared(headers: &HeaderMap) -> Option<Framing> {
    if headers.contains_key(header::TRANSFER_ENCODING) {
        return Some(Framing::Chunked(ChunkedBodyDecoder::default()));
    }
    let text = headers.get(header::CONTENT_LENGTH)?.to_str().ok()?;
    match text.parse().ok()? {
        0 => Some(Framing::Done),
        n => Some(Framing::Length(n)),
    }
}
