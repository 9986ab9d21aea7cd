//! HTTP/1.1 on one connection: strict parsing of heads, bodies in pieces of bounded size,
//! cancellation.
//!
//! Heads are parsed by `monoio-http`. Its body decoders hold a whole body (or chunk) in memory and
//! its head reader has no size limit, so this crate implements body framing and size limits itself.

mod body;
mod connection;
mod error;
mod framing;
mod head;
mod hop_by_hop;
mod request;

pub use body::BodyState;
pub use connection::{CloseEnd, Connection, HeadTimeouts};
pub use error::HttpError;
pub use framing::{Framing, request_framing, response_framing};
pub use head::{Field, MAX_HEADERS, check_head, put_request, put_response};
pub use hop_by_hop::{has_connection_option, strip_hop_by_hop};
pub use monoio_http::common::request::RequestHead;
pub use monoio_http::common::response::ResponseHead;
pub use request::{BadRequest, expects_continue, is_keep_alive, request_host};
