//! The requests of one work length: their queue, drain rate and overload state.

use super::drain::DrainRate;
use super::fair_queue::{FairQueue, QueuedRequest};
use super::offer::{Ticket, WorkspaceIndex};
use super::overload::OverloadDetector;
use galenapath_protocol::Micros;

/// Queued and running requests of one work length.
#[derive(Clone, Debug, Default)]
pub struct Lane {
    queue: FairQueue,
    drain: DrainRate,
    /// Number of the lane's requests in flight.
    pub in_flight: u32,
    /// Moving average of the lane's latencies in microseconds; zero while unknown.
    mean_micros: f64,
    overload: OverloadDetector,
}

impl Lane {
    /// Weight of one latency in the moving average.
    const MEAN_WEIGHT: f64 = 1.0 / 32.0;

    /// Returns the queue for reading.
    pub fn queue(&self) -> &FairQueue {
        &self.queue
    }

    /// Appends a request to the queue.
    pub fn push(&mut self, now: Micros, workspace: WorkspaceIndex, req: QueuedRequest) {
        if self.queue.is_empty() {
            self.drain.set_busy(now, true);
        }
        self.queue.push(workspace, req);
    }

    /// Removes the request that starts next.
    pub fn pop(&mut self, now: Micros) -> Option<QueuedRequest> {
        let req = self.queue.pop()?;
        self.drain.record_departure(now);
        self.after_removal(now);
        Some(req)
    }

    /// Removes the newest request of `workspace`, which is not started.
    pub fn remove_newest(
        &mut self,
        now: Micros,
        workspace: WorkspaceIndex,
    ) -> Option<QueuedRequest> {
        let req = self.queue.remove_newest(workspace)?;
        self.after_removal(now);
        Some(req)
    }

    /// Removes a request by its ticket, which is not started.
    pub fn remove(
        &mut self,
        now: Micros,
        workspace: WorkspaceIndex,
        ticket: Ticket,
    ) -> Option<QueuedRequest> {
        let req = self.queue.remove(workspace, ticket)?;
        self.after_removal(now);
        Some(req)
    }

    /// Records the latency of an answered request.
    pub fn observe_latency(&mut self, latency: Micros) {
        let x = latency.0 as f64;
        let weight = if self.mean_micros == 0.0 { 1.0 } else { Self::MEAN_WEIGHT };
        self.mean_micros += (x - self.mean_micros) * weight;
    }

    /// Returns whether the lane is overloaded, see [`OverloadDetector`].
    pub fn is_overloaded(&self) -> bool {
        self.overload.is_overloaded()
    }

    /// Records whether the predicted wait for the whole queue exceeds the overload limit;
    /// `interval` as in [`OverloadDetector::observe`].
    pub fn observe_wait(&mut self, now: Micros, is_above: bool, interval: Micros) {
        self.overload.observe(now, is_above, interval);
    }

    /// Returns the requests per microsecond that leave the queue for `slots` slots.
    pub fn drain_rate(&self, now: Micros, slots: u32) -> f64 {
        self.drain.per_micro(now, slots, Micros(self.mean_micros as u64))
    }

    /// Returns the predicted time until `position` requests have left the queue.
    pub fn wait(&self, now: Micros, position: usize, slots: u32) -> Micros {
        Micros((position as f64 / self.drain_rate(now, slots)) as u64)
    }

    fn after_removal(&mut self, now: Micros) {
        if self.queue.is_empty() {
            self.drain.set_busy(now, false);
        }
    }
}
