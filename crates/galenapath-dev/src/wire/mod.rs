//! HTTP/1.1 on a plain connection, for stand-ins.
//!
//! Heads and chunks are decoded by `monoio-http`. Answers and requests are written by hand, since a
//! stand-in must also be able to write wrong ones.

mod conn;
mod framing;
mod message;

pub use conn::{Conn, WireError};
pub use framing::Framing;
pub use message::{Answer, answer_head, exchange, request_head};
