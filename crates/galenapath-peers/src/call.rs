//! What passes between the plane's thread and the rest of the instance.

use crate::PeerError;
use crate::generated::{BackendsWire, ConfigWire, ExchangeWire, HandOverWire};
use flume::Sender;
use std::net::SocketAddr;

/// A call that the instance makes to a peer. The reply channel gets one answer.
pub enum PeerCall {
    /// Tell news and hear the peer's.
    Exchange {
        /// The peer's address.
        to: SocketAddr,
        /// News to tell.
        updates: ExchangeWire,
        /// Where the peer's news go.
        reply: Sender<Result<ExchangeWire, PeerError>>,
    },
    /// Ask for the peer's configuration.
    Config {
        /// The peer's address.
        to: SocketAddr,
        /// Version that the instance has.
        after: u64,
        /// Where it goes.
        reply: Sender<Result<ConfigWire, PeerError>>,
    },
    /// Ask for what the own list of backend servers lacks.
    Backends {
        /// The peer's address.
        to: SocketAddr,
        /// Position of the own list.
        after: u64,
        /// Where they go.
        reply: Sender<Result<BackendsWire, PeerError>>,
    },
    /// Hand over outcomes.
    HandOver {
        /// The peer's address.
        to: SocketAddr,
        /// The outcomes.
        outcomes: HandOverWire,
        /// Whether they were taken.
        reply: Sender<Result<bool, PeerError>>,
    },
}

/// A call that a peer makes to the instance. A dropped reply channel is an error for the peer.
pub enum PeerRequest {
    /// Hear news and tell the own.
    Exchange {
        /// The peer's news.
        updates: ExchangeWire,
        /// Where the own news go.
        reply: Sender<ExchangeWire>,
    },
    /// Tell the configuration.
    Config {
        /// Version that the peer has.
        after: u64,
        /// Where it goes.
        reply: Sender<ConfigWire>,
    },
    /// Tell what a peer's list of backend servers lacks.
    Backends {
        /// Position of the peer's list.
        after: u64,
        /// Where they go.
        reply: Sender<BackendsWire>,
    },
    /// Take over outcomes.
    HandOver {
        /// The outcomes.
        outcomes: HandOverWire,
        /// Whether they were taken.
        reply: Sender<bool>,
    },
}
