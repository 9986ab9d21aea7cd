//! Thresholds of failure detection by probes and gossip.

use galenapath_protocol::Micros;

/// Thresholds of failure detection by probes and gossip.
///
/// A failed instance is detected by some peer within about one probe interval. Since every instance
/// probes one peer per interval, all others learn of it within a few more. The suspicion timeout
/// has to exceed the pauses that a noisy neighbour causes, or instances would be removed and added
/// again all day.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct GossipConfig {
    /// Time between two probes that an instance sends. A fixed rate keeps the cost per instance
    /// independent of the number of instances.
    pub probe_interval: Micros,
    /// How long a suspect may still answer before it counts as gone, in a fleet of one.
    pub suspicion: Micros,
    /// Added to `suspicion` for each doubling of the number of members, since a refutation takes
    /// two rounds of gossip to arrive.
    pub suspicion_per_doubling: Micros,
    /// How long a member that is gone stays in the table, so that old updates do not restore it.
    pub tombstone_ttl: Micros,
    /// Each update is sent this many times for each doubling of the number of members.
    pub sends_per_doubling: u32,
    /// Maximum number of queued updates in one message; bounds its size.
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
    /// The suspicion timeout of a fleet whose size is one doubled `doublings` times.
    pub fn suspicion_timeout(&self, doublings: u32) -> Micros {
        Micros(self.suspicion.0 + self.suspicion_per_doubling.0 * u64::from(doublings))
    }
}
