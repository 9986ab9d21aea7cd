//! Errors of starting a gateway instance.

use std::net::SocketAddr;
use thiserror::Error;

/// Why an instance could not start.
#[derive(Debug, Error)]
pub enum GatewayError {
    /// An address cannot be listened on.
    #[error("cannot listen on {address} (listen.{key})")]
    Listen {
        /// Key of the setting.
        key: &'static str,
        /// The address.
        address: SocketAddr,
    },
    /// Something else that the instance needs cannot be had.
    #[error("cannot start {0}")]
    Start(&'static str),
}
