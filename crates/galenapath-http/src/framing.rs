//! Where the body of a message ends.

use crate::HttpError;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, Method, StatusCode, Version};

/// How the end of a body is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    None,
    /// The body has this many bytes; never zero.
    Length(u64),
    /// The body comes in chunks.
    Chunked,
    /// The body ends with the connection; answers only.
    UntilClose,
}

/// Framing of a request's body.
///
/// # Errors
///
/// `BadFraming` when the head has both lengths, a repeated or bad length, or an encoding other than
/// `chunked`: two readers could disagree about where such a request ends.
pub fn request_framing(version: Version, headers: &HeaderMap) -> Result<Framing, HttpError> {
    let explicit = explicit_framing(headers)?;
    if version == Version::HTTP_10 && explicit == Some(Framing::Chunked) {
        return Err(HttpError::BadFraming("Transfer-Encoding in HTTP/1.0"));
    }
    Ok(explicit.unwrap_or(Framing::None))
}

/// Framing of the body of an answer to a request with `method`.
///
/// # Errors
///
/// `BadFraming` as for requests.
pub fn response_framing(
    method: &Method,
    status: StatusCode,
    headers: &HeaderMap,
) -> Result<Framing, HttpError> {
    let explicit = explicit_framing(headers)?;
    let bodiless = method == Method::HEAD
        || status.is_informational()
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED;
    if bodiless {
        return Ok(Framing::None);
    }
    Ok(explicit.unwrap_or(Framing::UntilClose))
}

fn explicit_framing(headers: &HeaderMap) -> Result<Option<Framing>, HttpError> {
    let has_length = headers.contains_key(CONTENT_LENGTH);
    let has_encoding = headers.contains_key(TRANSFER_ENCODING);
    match (has_length, has_encoding) {
        (true, true) => {
            Err(HttpError::BadFraming("both Content-Length and Transfer-Encoding are set"))
        }
        (true, false) => length(headers).map(Some),
        (false, true) => chunked(headers).map(Some),
        (false, false) => Ok(None),
    }
}

fn length(headers: &HeaderMap) -> Result<Framing, HttpError> {
    let mut values = headers.get_all(CONTENT_LENGTH).iter();
    let (Some(value), None) = (values.next(), values.next()) else {
        return Err(HttpError::BadFraming("Content-Length is repeated"));
    };
    let digits = value.as_bytes();
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return Err(HttpError::BadFraming("Content-Length is not a number"));
    }
    let text = value.to_str().unwrap_or_default();
    match text.parse::<u64>() {
        Ok(0) => Ok(Framing::None),
        Ok(n) => Ok(Framing::Length(n)),
        Err(_) => Err(HttpError::BadFraming("Content-Length is out of range")),
    }
}

fn chunked(headers: &HeaderMap) -> Result<Framing, HttpError> {
    let mut values = headers.get_all(TRANSFER_ENCODING).iter();
    let (Some(value), None) = (values.next(), values.next()) else {
        return Err(HttpError::BadFraming("Transfer-Encoding is repeated"));
    };
    if value.as_bytes().eq_ignore_ascii_case(b"chunked") {
        return Ok(Framing::Chunked);
    }
    Err(HttpError::BadFraming("Transfer-Encoding other than chunked"))
}
