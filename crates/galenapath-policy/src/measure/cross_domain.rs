//! Whether an instance sends a significant part of its requests to other failure domains.
//!
//! Load pattern: many instances that observe the load of servers, and traffic between failure
//! domains that is billed. While every domain has enough free slots, load observations are useful
//! only to the instances of the server's own domain; sending them to all serving instances
//! multiplies the cross-domain traffic by their number. Once a domain runs short of slots, its
//! instances need fresh observations of the servers of other domains, or they send there without
//! knowing the load. Each instance therefore reports which of the two cases holds, based on its
//! sends of the last second.

use galenapath_protocol::Micros;

/// Length of a counting window.
const WINDOW: Micros = Micros::from_secs(1);

/// An instance counts as sending across domains if at least one in this many sends does. Fewer are
/// occasional sends, for which a load query to the server suffices.
const MAX_SENDS_PER_REMOTE: u32 = 8;

/// Time for which the state lasts after the last such window: bursts come in waves of a few
/// seconds.
const STATE_DURATION: Micros = Micros::from_secs(3);

/// Sends of an instance, by whether they leave its failure domain.
#[derive(Clone, Copy, Debug, Default)]
pub struct CrossDomainSends {
    window_start: Micros,
    sends: u32,
    remote_sends: u32,
    /// Time until which the instance counts as sending across domains.
    active_until: Micros,
}

impl CrossDomainSends {
    /// Counts one send.
    #[must_use]
    pub fn with_send(self, now: Micros, is_remote: bool) -> Self {
        let mut next = if now - self.window_start >= WINDOW {
            Self { window_start: now, sends: 0, remote_sends: 0, ..self }
        } else {
            self
        };
        next.sends += 1;
        next.remote_sends += u32::from(is_remote);
        // One remote send alone does not count: the first sends of a window are too small a sample.
        if is_remote
            && next.remote_sends > 1
            && next.remote_sends * MAX_SENDS_PER_REMOTE >= next.sends
        {
            next.active_until = now + STATE_DURATION;
        }
        next
    }

    /// Whether the instance currently counts as sending across domains.
    pub fn is_cross_domain(&self, now: Micros) -> bool {
        now < self.active_until
    }
}
