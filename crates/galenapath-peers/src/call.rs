//! Messages between the peer plane's thread and the rest of the instance.

use crate::PeerError;
use crate::generated::{BackendsWire, ConfigWire, ExchangeWire, HandOverWire};
use flume::Sender;
use std::net::SocketAddr;

/// A call that the instance makes to a peer. The reply channel receives one result.
pub enum PeerCall {
    /// Send updates and receive the peer's.
    Exchange {
        /// The peer's address.
        to: SocketAddr,
        /// The updates to send.
        updates: ExchangeWire,
        /// Receives the peer's updates.
        reply: Sender<Result<ExchangeWire, PeerError>>,
    },
    /// Fetch the peer's configuration.
    Config {
        /// The peer's address.
        to: SocketAddr,
        /// Version that the instance already has.
        after: u64,
        /// Receives the configuration.
        reply: Sender<Result<ConfigWire, PeerError>>,
    },
    /// Fetch the changes to the list of backend servers that the instance does not have yet.
    Backends {
        /// The peer's address.
        to: SocketAddr,
        /// Position of the instance's list.
        after: u64,
        /// Receives the changes.
        reply: Sender<Result<BackendsWire, PeerError>>,
    },
    /// Hand over the outcomes of filings to a peer before this instance stops.
    HandOver {
        /// The peer's address.
        to: SocketAddr,
        /// The outcomes.
        outcomes: HandOverWire,
        /// Receives whether the peer accepted them.
        reply: Sender<Result<bool, PeerError>>,
    },
}

/// A call that a peer makes to the instance. If the reply channel is dropped, the peer's call fails
/// by its deadline.
pub enum PeerRequest {
    /// Receive updates and reply with this instance's.
    Exchange {
        /// The peer's updates.
        updates: ExchangeWire,
        /// Reply channel for this instance's updates.
        reply: Sender<ExchangeWire>,
    },
    /// Reply with the configuration.
    Config {
        /// Version that the peer already has.
        after: u64,
        /// Reply channel for the configuration.
        reply: Sender<ConfigWire>,
    },
    /// Reply with the changes to the list of backend servers that the peer does not have yet.
    Backends {
        /// Position of the peer's list.
        after: u64,
        /// Reply channel for the changes.
        reply: Sender<BackendsWire>,
    },
    /// Take over the outcomes of filings from a peer that stops.
    HandOver {
        /// The outcomes.
        outcomes: HandOverWire,
        /// Reply channel for whether the outcomes were accepted.
        reply: Sender<bool>,
    },
}
