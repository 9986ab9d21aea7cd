//! The RPC interface between entry instances.

use crate::generated::{BackendsWire, ConfigWire, ExchangeWire, HandOverWire};

/// Calls that an entry instance answers for its peers. All are idempotent.
///
/// The names of methods and arguments are part of the wire format and must not change.
#[tarpc::service]
pub(crate) trait Peer {
    /// Exchanges updates with the peer. Failure detection uses it as its probe.
    async fn exchange(news: ExchangeWire) -> ExchangeWire;
    /// Returns the changes to the peer's configuration after version `after`, or all of it.
    async fn config(after: u64) -> ConfigWire;
    /// Returns the changes to the peer's list of backend servers after position `after`, or the
    /// whole list.
    async fn backends(after: u64) -> BackendsWire;
    /// Takes over the outcomes of an incarnation that stops; returns whether they were accepted.
    async fn hand_over(outcomes: HandOverWire) -> bool;
}
