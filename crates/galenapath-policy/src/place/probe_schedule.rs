//! When a server is probed.
//!
//! Load pattern: slow periods of some tenths of a second. Requests query the servers that they are
//! sent to, but none is sent to a slow server: without probes its slots stay unused until the
//! observation of the slow period has lost its weight, long after the end of the period. Probes
//! have a cost, so they are sent where they can make a slot available that is needed.

use super::placement::Placement;
use galenapath_protocol::{BackendId, Micros};

impl Placement {
    /// Time at which a server is probed unless it is observed before; now if it was never observed.
    pub fn next_probe_at(&self, now: Micros, id: &BackendId) -> Micros {
        let Some(observation) = self.last_observation(id) else { return now };
        let after = if self.is_limited(id) {
            self.cfg.probe_after_limited
        } else if !observation.is_slow() {
            self.cfg.probe_after_usual
        } else if self.is_scarce(now) {
            self.cfg.probe_after_slow
        } else {
            self.cfg.probe_after_slow_idle
        };
        observation.at + after
    }

    /// Whether so many of the good slots are taken that a probe is worthwhile to gain another
    /// server.
    fn is_scarce(&self, now: Micros) -> bool {
        let (mut taken, mut slots) = (0, 0);
        for server in self.servers.iter().filter(|server| server.is_good(now)) {
            if server.is_limited() {
                continue;
            }
            taken += server.load().min(server.slots);
            slots += server.slots;
        }
        taken as f32 > self.cfg.scarcity_threshold * slots as f32 || slots == 0
    }
}
