//! Errors of the peer plane.

use galenapath_protocol::Verdict;
use std::net::SocketAddr;
use thiserror::Error;

/// A call to a peer that failed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum PeerError {
    /// The connection could not be established.
    #[error("no connection to peer {to}: {reason}")]
    Unreachable {
        /// The peer.
        to: SocketAddr,
        /// The operating system's error, or that connecting timed out.
        reason: String,
    },
    /// This instance's queue of calls to the peer was full, so the call was not sent.
    #[error("the queue of calls to peer {to} is full")]
    QueueFull {
        /// The peer.
        to: SocketAddr,
    },
    /// The connection broke, or the answer did not arrive in time.
    #[error("peer {to} did not answer: {reason}")]
    NoAnswer {
        /// The peer.
        to: SocketAddr,
        /// The cause.
        reason: String,
    },
    /// The peer plane has stopped.
    #[error("the peer plane has stopped")]
    Stopped,
}

impl PeerError {
    /// Whether the peer may have executed the call.
    pub const fn verdict(&self) -> Verdict {
        match self {
            Self::Unreachable { .. } | Self::QueueFull { .. } => Verdict::NotRun,
            Self::NoAnswer { .. } | Self::Stopped => Verdict::MayHaveRun,
        }
    }
}

/// Content of a message from a peer that cannot be parsed; it is dropped.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum InvalidMessage {
    /// An address that is not of the form `IP:PORT`.
    #[error("peer sent `{0}` where an address was expected")]
    Address(String),
    /// A number or body that is not hexadecimal.
    #[error("peer sent `{0}` where hexadecimal digits were expected")]
    Hex(String),
}
