//! When a server is probed.
//!
//! Load pattern: spells of slowness of some tenths of a second. Requests ask the servers that they are
//! sent to, but nobody is sent to one that is slow: without a probe its slots stay empty until what is
//! known of the spell has faded, long after its end. Probes are paid for, so that they go where they
//! bring a slot that is wanted.

use super::placement::Placement;
use galenapath_protocol::{BackendId, Micros};

impl Placement {
    /// When a server is to be probed unless it is seen before; now where it was never seen.
    pub fn look_at(&self, now: Micros, id: &BackendId) -> Micros {
        let Some(seen) = self.seen(id) else { return now };
        let after = if self.is_limited(id) {
            self.cfg.look_at_limited
        } else if !seen.is_slow() {
            self.cfg.look_at_usual
        } else if self.is_scarce(now) {
            self.cfg.look_at_slow
        } else {
            self.cfg.look_at_slow_calm
        };
        seen.at + after
    }

    /// Whether so many of the good slots are taken that another server is worth a probe.
    fn is_scarce(&self, now: Micros) -> bool {
        let (mut taken, mut slots) = (0, 0);
        for server in self.servers.iter().filter(|server| server.is_good(now)) {
            if server.is_limited() {
                continue;
            }
            taken += server.load().min(server.slots);
            slots += server.slots;
        }
        taken as f32 > self.cfg.scarce_from * slots as f32 || slots == 0
    }
}
