//! Errors of starting a gateway instance.

use std::net::SocketAddr;
use thiserror::Error;

/// Why an instance could not start.
#[derive(Debug, Error)]
pub enum GatewayError {
    /// Binding a listen address failed.
    #[error("cannot listen on {address} (listen.{key})")]
    Listen {
        /// Key of the setting under `listen`.
        key: &'static str,
        /// The address.
        address: SocketAddr,
    },
    /// Setting up another resource of the instance failed.
    #[error("cannot start {0}")]
    Start(&'static str),
}
