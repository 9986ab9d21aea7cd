//! Thresholds of failure detection.

use galenapath_protocol::Micros;

/// Thresholds of failure detection and gossip.
///
/// An instance that fails is noticed by some peer within about one probe interval and, with every
/// instance probing one peer per interval, told to all within a few more. Suspicion has to be
/// longer than the pauses of a noisy neighbour, or instances would come and go all day.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct GossipConfig {
    /// Time between two probes that an instance sends. One probe a second keeps the cost of
    /// control flat in the number of instances.
    pub probe_interval: Micros,
    /// How long a suspect may still answer before it counts as gone, in a fleet of one.
    pub suspicion: Micros,
    /// Added to `suspicion` for each doubling of the number of members, since a refutation takes
    /// two spreads of gossip.
    pub suspicion_per_doubling: Micros,
    /// How long a member that is gone stays known, so that old rumors do not bring it back.
    pub tombstone_ttl: Micros,
    /// Each rumor is sent this many times for each doubling of the number of members.
    pub sends_per_doubling: u32,
    /// Most rumors in one message; bounds its size.
    pub max_updates_per_message: usize,
}

impl Default for GossipConfig {
    fn default() -> Self {
        Self {
            probe_interval: Micros::from_millis(500),
            suspicion: Micros::from_secs(3),
            suspicion_per_doubling: Micros::from_millis(500),
            tombstone_ttl: Micros::from_secs(600),
            sends_per_doubling: 3,
            max_updates_per_message: 8,
        }
    }
}

impl GossipConfig {
    /// The suspicion in a fleet whose size is one doubled `doublings` times.
    pub fn suspicion_timeout(&self, doublings: u32) -> Micros {
        Micros(self.suspicion.0 + self.suspicion_per_doubling.0 * u64::from(doublings))
    }
}
