//! Body framing: how the end of a message's body is determined.

use crate::HttpError;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, Method, StatusCode, Version};

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    None,
    /// The body has this many bytes; never zero.
    Length(u64),
    /// The body uses the chunked transfer encoding.
    Chunked,
    /// The body ends with the connection; only for responses.
    UntilClose,
}

/// Determines the framing of a request's body.
///
/// # Errors
///
/// `BadFraming` if the head has both `Content-Length` and `Transfer-Encoding`, a repeated or
/// invalid length, or an encoding other than `chunked`, because two implementations could disagree
/// on where such a request ends (request smuggling).
pub fn request_framing(version: Version, headers: &HeaderMap) -> Result<Framing, HttpError> {
    let explicit = explicit_framing(headers)?;
    if version == Version::HTTP_10 && explicit == Some(Framing::Chunked) {
        return Err(HttpError::BadFraming("Transfer-Encoding in HTTP/1.0"));
    }
    Ok(explicit.unwrap_or(Framing::None))
}

/// Determines the framing of the body of a response to a request with `method`.
///
/// # Errors
///
/// `BadFraming` as in [`request_framing`].
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
        (true, false) => parse_content_length(headers).map(Some),
        (false, true) => parse_transfer_encoding(headers).map(Some),
        (false, false) => Ok(None),
    }
}

fn parse_content_length(headers: &HeaderMap) -> Result<Framing, HttpError> {
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

fn parse_transfer_encoding(headers: &HeaderMap) -> Result<Framing, HttpError> {
    let mut values = headers.get_all(TRANSFER_ENCODING).iter();
    let (Some(value), None) = (values.next(), values.next()) else {
        return Err(HttpError::BadFraming("Transfer-Encoding is repeated"));
    };
    if value.as_bytes().eq_ignore_ascii_case(b"chunked") {
        return Ok(Framing::Chunked);
    }
    Err(HttpError::BadFraming("Transfer-Encoding other than chunked"))
}
