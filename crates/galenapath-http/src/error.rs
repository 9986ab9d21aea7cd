//! Errors of reading and writing HTTP.

use std::io;
use thiserror::Error;

/// Error while reading or writing a head or a body.
#[derive(Debug, Error)]
pub enum HttpError {
    /// The peer closed the connection before the first byte of a head, which is the normal end of a
    /// kept-alive connection.
    #[error("the connection was closed between messages")]
    Closed,
    /// The peer closed the connection within a head or a body.
    #[error("the connection was closed in the middle of a message")]
    Truncated,
    /// The head is larger than the limit.
    #[error("the head is larger than {limit} bytes")]
    HeadTooLarge {
        /// The limit in bytes.
        limit: usize,
    },
    /// A body that is not needed is larger than the limit.
    #[error("the body is larger than {limit} bytes")]
    BodyTooLarge {
        /// The limit in bytes.
        limit: usize,
    },
    /// The head is not valid HTTP/1.1.
    #[error("bad head: {0}")]
    BadHead(&'static str),
    /// The end of the body is ambiguous, or its chunked encoding is malformed.
    #[error("bad framing: {0}")]
    BadFraming(&'static str),
    /// The head did not arrive in time.
    #[error("the head did not arrive in time")]
    HeadTimeout,
    /// The socket failed.
    #[error("socket: {0}")]
    Io(#[from] io::Error),
}
