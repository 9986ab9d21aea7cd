//! HTTP/1.1 over TCP for stand-ins and test clients.
//!
//! Heads and chunks are decoded by `monoio-http`. Requests and answers are written as plain text,
//! because a stand-in must also be able to send malformed ones.

mod conn;
mod framing;
mod message;

pub use conn::{Conn, WireError};
pub use framing::Framing;
pub use message::{Answer, answer_head, exchange, request_head};
