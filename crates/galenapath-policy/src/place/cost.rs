//! Estimated cost of sending a request to a server.

use super::placement::Placement;
use galenapath_protocol::Micros;

impl Placement {
    /// Whether an answer from the server is expected too late although that of a better server
    /// could be in time. For a request that is late anyway: whether the server is slower than twice
    /// the mean work time.
    ///
    /// A server with a stale observation is queried before a request is sent there, so it does not
    /// count as too late until then.
    pub(super) fn is_too_late(&self, now: Micros, index: usize, time_left: Micros) -> bool {
        if self.stale_queries.are_worthwhile() && !self.servers[index].is_fresh(now, &self.cfg) {
            return false;
        }
        let delay = self.expected_delay(now, index);
        let work = self.work().0 as f32;
        let time_left = time_left.0 as f32;
        if time_left > work { delay + work > time_left } else { delay > work }
    }

    /// Expected time of an answer from the server beyond the mean work time.
    pub(super) fn expected_delay(&self, now: Micros, index: usize) -> f32 {
        let server = &self.servers[index];
        let cold = if server.is_cold(now) { self.work().0 as f32 } else { 0.0 };
        server.delay(now, self.work(), self.average_delay, &self.cfg) + cold
    }

    /// Cost of a request at the server: its expected delay, plus penalties for load, recent
    /// failures, cross-domain sends and new connections.
    pub(super) fn cost(&self, now: Micros, index: usize, is_large: bool) -> f32 {
        let cfg = &self.cfg;
        let server = &self.servers[index];
        let work = self.work().0 as f32;
        let fill = server.fill();
        let cross_domain_cost =
            if is_large { cfg.cross_domain_cost_large } else { cfg.cross_domain_cost };
        let mut cost = self.expected_delay(now, index);
        cost += fill * fill * cfg.fill_cost * work;
        if fill > cfg.contended_from {
            cost += (self.contention() - 1.0).max(0.0) * work;
        }
        cost += server.failure_weight(now, cfg) * cfg.failure_cost * work;
        cost += if server.is_local { 0.0 } else { cross_domain_cost * work };
        cost += if server.is_connected { 0.0 } else { cfg.connect_cost * work };
        cost
    }
}
