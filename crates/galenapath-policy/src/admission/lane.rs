//! The requests of one work length: their queue, their drain rate and whether they are overloaded.

use super::drain::DrainRate;
use super::fair_queue::{FairQueue, Waiting};
use super::offer::{Ticket, WorkspaceIndex};
use super::overload::Overload;
use galenapath_protocol::Micros;

/// Waiting and running requests of one work length.
#[derive(Clone, Debug, Default)]
pub struct Lane {
    queue: FairQueue,
    drain: DrainRate,
    /// Requests of the lane in flight.
    pub in_flight: u32,
    /// Running mean of the lane's latencies, in microseconds; zero while unknown.
    mean: f64,
    overload: Overload,
}

impl Lane {
    /// Weight of one latency in the running mean.
    const MEAN_WEIGHT: f64 = 1.0 / 32.0;

    /// The queue, to look at.
    pub fn queue(&self) -> &FairQueue {
        &self.queue
    }

    /// Appends a request.
    pub fn push(&mut self, now: Micros, workspace: WorkspaceIndex, waiting: Waiting) {
        if self.queue.is_empty() {
            self.drain.set_busy(now, true);
        }
        self.queue.push(workspace, waiting);
    }

    /// Takes out the request that starts next.
    pub fn pop(&mut self, now: Micros) -> Option<Waiting> {
        let waiting = self.queue.pop()?;
        self.drain.left(now);
        self.after_removal(now);
        Some(waiting)
    }

    /// Takes out the newest request of `workspace`, which will not start.
    pub fn take_newest(&mut self, now: Micros, workspace: WorkspaceIndex) -> Option<Waiting> {
        let waiting = self.queue.take_newest(workspace)?;
        self.after_removal(now);
        Some(waiting)
    }

    /// Takes out a request by its ticket, which will not start.
    pub fn remove(
        &mut self,
        now: Micros,
        workspace: WorkspaceIndex,
        ticket: Ticket,
    ) -> Option<Waiting> {
        let waiting = self.queue.remove(workspace, ticket)?;
        self.after_removal(now);
        Some(waiting)
    }

    /// A request of the lane was answered.
    pub fn answered(&mut self, latency: Micros) {
        let x = latency.0 as f64;
        let weight = if self.mean == 0.0 { 1.0 } else { Self::MEAN_WEIGHT };
        self.mean += (x - self.mean) * weight;
    }

    /// Whether the lane is overloaded, see [`Overload`].
    pub fn is_overloaded(&self) -> bool {
        self.overload.is_on()
    }

    /// Notes whether the predicted wait for the whole queue exceeds the short allowance.
    pub fn note_wait(&mut self, now: Micros, is_long: bool, after: Micros) {
        self.overload.note(now, is_long, after);
    }

    /// Requests per microsecond that leave the queue for `slots` slots.
    pub fn drain_rate(&self, now: Micros, slots: u32) -> f64 {
        self.drain.per_micro(now, slots, Micros(self.mean as u64))
    }

    /// Time until `position` requests have left the queue.
    pub fn wait(&self, now: Micros, position: usize, slots: u32) -> Micros {
        Micros((position as f64 / self.drain_rate(now, slots)) as u64)
    }

    fn after_removal(&mut self, now: Micros) {
        if self.queue.is_empty() {
            self.drain.set_busy(now, false);
        }
    }
}
