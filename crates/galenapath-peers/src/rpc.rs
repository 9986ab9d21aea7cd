//! The calls between entry instances.

use crate::generated::{BackendsWire, ConfigWire, ExchangeWire, HandOverWire};

/// Calls that an entry instance answers to its peers. All are idempotent.
#[tarpc::service]
pub(crate) trait Peer {
    /// Tells news and hears the peer's; also the probe of failure detection.
    async fn exchange(news: ExchangeWire) -> ExchangeWire;
    /// What the peer's configuration has beyond version `after`, or all of it.
    async fn config(after: u64) -> ConfigWire;
    /// What the peer's list of backend servers has beyond position `after`, or all of it.
    async fn backends(after: u64) -> BackendsWire;
    /// Takes over the outcomes of an incarnation that stops; whether they were taken.
    async fn hand_over(outcomes: HandOverWire) -> bool;
}
