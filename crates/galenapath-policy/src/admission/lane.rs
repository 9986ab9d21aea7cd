//! The requests of one work length: their queue, their drain rate and whether they are overloaded.

use super::drain::DrainRate;
use super::fair_queue::{FairQueue, Waiting};
use super::offer::{Ticket, WorkspaceIndex};
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
    /// When the queue last became empty or non-empty.
    changed_at: Micros,
    /// Whether something has waited without a break for the configured time, and nothing has since
    /// waited for as long.
    overloaded: bool,
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
            self.changed(now, true);
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

    /// Whether the queue has stood for `after`; ends once it has been empty for as long.
    pub fn is_overloaded(&mut self, now: Micros, after: Micros) -> bool {
        if now - self.changed_at >= after {
            self.overloaded = !self.queue.is_empty();
        }
        self.overloaded
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
            self.changed(now, false);
        }
    }

    fn changed(&mut self, now: Micros, busy: bool) {
        self.drain.set_busy(now, busy);
        self.changed_at = now;
    }
}
