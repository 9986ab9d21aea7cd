//! Warm-up of cold servers.
//!
//! Load pattern: a failure domain whose servers come back cold at a peak. Each of them has free
//! slots and is the emptiest of its service, so that all instances send it everything. A cold
//! server can take only a few requests per second; one that gets many more crashes and comes back
//! cold again. Instances do not know what the others have sent within the last tenth of a second,
//! so shares of the rate would not add up to the rate. Therefore one instance, the one that probes
//! the server, warms it; the others send it nothing until it is warm.

use super::placement::Placement;
use super::server::Server;
use crate::measure::TokenBucket;
use galenapath_protocol::{BackendId, Micros};

/// Seconds of its rate, or one request, that a cold server may get at once. Together with the
/// requests of an instance that has just handed the server over, the sum stays well below one and a
/// half times the rate.
const BURST_SECS: f32 = 0.1;

/// Warm-up parameters of a service's servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUp {
    /// How long a server stays cold if it has not stated it.
    pub duration: Micros,
    /// Requests per second that a cold server can take.
    pub per_second: f64,
}

/// Warm-up state of one server at one instance.
#[derive(Clone, Debug)]
pub(super) struct Warming {
    /// Whether this instance warms the server.
    is_assigned: bool,
    budget: TokenBucket,
}

impl Default for Warming {
    fn default() -> Self {
        Self { is_assigned: false, budget: TokenBucket::with_burst(Micros::ZERO, 0.0, BURST_SECS) }
    }
}

impl Server {
    pub(super) fn is_cold(&self, now: Micros) -> bool {
        self.cold_until > now
    }

    /// Whether this instance warms the server.
    pub(super) fn is_assigned_to_warm(&self) -> bool {
        self.warming.is_assigned
    }

    /// Whether a cold server may get one more request of this instance now.
    fn has_warming_budget(&self, now: Micros) -> bool {
        self.warming.is_assigned && self.warming.budget.has_token(now)
    }

    fn assign_warming(&mut self, now: Micros, is_assigned: bool, rate: f64) {
        if is_assigned && !self.warming.is_assigned {
            self.warming.budget = TokenBucket::with_burst(now, rate, BURST_SECS);
        }
        self.warming.is_assigned = is_assigned;
        self.warming.budget.set_rate(now, rate);
    }
}

impl Placement {
    /// Sets the warm-up parameters; without them a cold server gets as many requests as any other.
    pub fn set_warm_up(&mut self, warm_up: Option<WarmUp>) {
        self.warm_up = warm_up;
    }

    /// Sets which cold servers this instance warms.
    pub fn assign_warming(&mut self, now: Micros, is_assigned: impl Fn(&BackendId) -> bool) {
        let Some(WarmUp { per_second, .. }) = self.warm_up else { return };
        for server in self.servers.iter_mut().filter(|server| server.is_cold(now)) {
            let is_assigned = is_assigned(&server.id);
            server.assign_warming(now, is_assigned, per_second);
        }
    }

    /// Sets how much longer a server stays cold, as it stated. Returns the end if the server turned
    /// cold or warm by it.
    pub fn set_cold(&mut self, now: Micros, id: &BackendId, remaining: Micros) -> Option<Micros> {
        let server = self.server_mut(id)?;
        let was_cold = server.is_cold(now);
        server.cold_until = now + remaining;
        (was_cold != server.is_cold(now)).then_some(server.cold_until)
    }

    /// Number of cold servers.
    pub fn cold_count(&self, now: Micros) -> usize {
        self.servers.iter().filter(|server| server.is_cold(now)).count()
    }

    /// Whether a server accepts one more request of this instance now.
    pub(super) fn can_accept(&self, now: Micros, index: usize) -> bool {
        let server = &self.servers[index];
        let is_warm_enough =
            self.warm_up.is_none() || !server.is_cold(now) || server.has_warming_budget(now);
        is_warm_enough && server.limited.has_budget(now)
    }

    /// Counts a request that is sent to a server. Returns whether the server is cold.
    pub(super) fn count_warming(&mut self, now: Micros, index: usize) -> bool {
        let server = &mut self.servers[index];
        let is_cold = server.is_cold(now);
        if is_cold {
            server.warming.budget.take(now);
        }
        is_cold
    }

    /// How long a server counts as cold that was out of use and has not stated it.
    pub(super) fn default_cold_for(&self) -> Micros {
        self.warm_up.map_or(Micros::ZERO, |warm_up| warm_up.duration)
    }
}
