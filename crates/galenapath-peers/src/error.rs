//! Errors of the peers' plane.

use galenapath_protocol::Verdict;
use std::net::SocketAddr;
use thiserror::Error;

/// A call to a peer that failed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum PeerError {
    /// No connection could be made.
    #[error("no connection to peer {to}: {reason}")]
    Unreachable {
        /// The peer.
        to: SocketAddr,
        /// What the operating system said.
        reason: String,
    },
    /// The connection broke, or the answer did not come in time.
    #[error("peer {to} did not answer: {reason}")]
    NoAnswer {
        /// The peer.
        to: SocketAddr,
        /// What went wrong.
        reason: String,
    },
    /// The plane has stopped.
    #[error("the peers' plane has stopped")]
    Stopped,
}

impl PeerError {
    /// Whether the peer may have acted on the call.
    pub const fn verdict(&self) -> Verdict {
        match self {
            Self::Unreachable { .. } => Verdict::NotRun,
            Self::NoAnswer { .. } | Self::Stopped => Verdict::MayHaveRun,
        }
    }
}

/// A message from a peer whose content makes no sense; it is dropped.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum InvalidMessage {
    /// An address is not IP and port.
    #[error("peer sent `{0}` where an address was expected")]
    Address(String),
    /// A number or body is not hexadecimal.
    #[error("peer sent `{0}` where hexadecimal digits were expected")]
    Hex(String),
}
