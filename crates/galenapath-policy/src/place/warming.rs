//! How many requests a cold server gets.
//!
//! Load pattern: a failure domain whose servers come back cold at a peak. Each of them has free slots and is
//! the emptiest of its service, so that all instances send what they have there: a cold server can take a few
//! requests a second, and one that gets many more crashes and comes back cold again. Instances know
//! nothing of what the others have sent within the last tenth of a second, so that a part of the rate for
//! each does not add up to the rate. So one instance, the one that probes it, warms a server; the others leave it
//! alone until it is warm.

use super::placement::Placement;
use super::server::Server;
use crate::measure::TokenBucket;
use galenapath_protocol::{BackendId, Micros};

/// Seconds of its rate that a cold server may get at once, or one request: with those that an instance sends
/// that has just handed the server over, the sum stays well below one and a half times the rate.
const SAVED: f32 = 0.1;

/// How the servers of a service warm up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUp {
    /// How long a server stays cold that has not said.
    pub lasts: Micros,
    /// Requests a second that a cold server can take.
    pub per_second: f64,
}

/// What one instance may send to one server while it is cold.
#[derive(Clone, Debug)]
pub(super) struct Warming {
    /// Whether it falls to this instance to warm the server.
    is_ours: bool,
    budget: TokenBucket,
}

impl Default for Warming {
    fn default() -> Self {
        Self { is_ours: false, budget: TokenBucket::with_burst(Micros::ZERO, 0.0, SAVED) }
    }
}

impl Server {
    pub(super) fn is_cold(&self, now: Micros) -> bool {
        self.cold_until > now
    }

    /// Whether it falls to this instance to warm the server.
    pub(super) fn is_ours_to_warm(&self) -> bool {
        self.warming.is_ours
    }

    /// Whether a cold server may get one more request of this instance now.
    fn may_warm(&self, now: Micros) -> bool {
        self.warming.is_ours && self.warming.budget.has_token(now)
    }

    fn assign(&mut self, now: Micros, is_ours: bool, rate: f64) {
        if is_ours && !self.warming.is_ours {
            self.warming.budget = TokenBucket::with_burst(now, rate, SAVED);
        }
        self.warming.is_ours = is_ours;
        self.warming.budget.set_rate(now, rate);
    }
}

impl Placement {
    /// Takes over how the servers warm up; without it a cold one gets as much as any other.
    pub fn set_warm_up(&mut self, warm_up: Option<WarmUp>) {
        self.warm_up = warm_up;
    }

    /// Takes over which servers this instance warms, of those that are cold.
    pub fn share_warming(&mut self, now: Micros, is_ours: impl Fn(&BackendId) -> bool) {
        let Some(WarmUp { per_second, .. }) = self.warm_up else { return };
        for server in self.servers.iter_mut().filter(|server| server.is_cold(now)) {
            let is_ours = is_ours(&server.id);
            server.assign(now, is_ours, per_second);
        }
    }

    /// A server has said how much longer it stays cold. Returns until when, where that is news: it has turned
    /// cold, or is cold no more.
    pub fn set_cold(&mut self, now: Micros, id: &BackendId, left: Micros) -> Option<Micros> {
        let server = self.server_mut(id)?;
        let was_cold = server.is_cold(now);
        server.cold_until = now + left;
        (was_cold != server.is_cold(now)).then_some(server.cold_until)
    }

    /// Servers that are cold.
    pub fn cold_count(&self, now: Micros) -> usize {
        self.servers.iter().filter(|server| server.is_cold(now)).count()
    }

    /// Whether a server can take one more request of this instance now.
    pub(super) fn can_take(&self, now: Micros, index: usize) -> bool {
        let server = &self.servers[index];
        let is_warm_enough = self.warm_up.is_none() || !server.is_cold(now) || server.may_warm(now);
        is_warm_enough && server.limited.has_room(now)
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

    /// How long a server is taken to be cold that has said nothing since it was out of use.
    pub(super) fn unknown_cold_for(&self) -> Micros {
        self.warm_up.map_or(Micros::ZERO, |warm_up| warm_up.lasts)
    }
}
