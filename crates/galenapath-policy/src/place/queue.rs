//! Queue of requests that wait for a server.
//!
//! Load pattern: a burst, or the loss of servers, which leaves more requests than slots. Without an
//! order, requests that can no longer meet their target hold the slots that others could still use
//! in time; without early rejections, callers wait in vain and retry too late.
//!
//! A workspace that sends many times its usual would fill the queue, and the few requests of the
//! others would wait behind all of its. Within a rank the workspaces therefore take turns.
//!
//! A request waits for as long as it can still meet its target. One that cannot, because it was
//! retried late after a rejection, waits behind all others for a slot that is not needed otherwise.

use galenapath_protocol::{Micros, WorkspaceId};
use std::collections::BTreeMap;

/// Thresholds of the queue.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueConfig {
    /// Largest number of waiting requests.
    pub max_waiting: usize,
    /// Fraction of the wait that a target allows up to which a new request is accepted; the rest
    /// covers errors of the prediction.
    pub margin: f32,
    /// Fraction of its remaining deadline that a late request may wait.
    pub late_share: f32,
    /// Time for which no late requests are accepted after a request was rejected that had waited.
    pub late_cooldown: Micros,
    /// Shortest retry delay for a rejected caller; in less time no slots become free.
    pub min_retry_after: Micros,
    /// Largest retry delay as a fraction of the caller's remaining deadline; callers ignore delays
    /// of more than a third.
    pub max_retry_share: f32,
}

impl Default for QueueConfig {
    fn default() -> Self {
        Self {
            max_waiting: 256,
            margin: 0.9,
            late_share: 0.25,
            late_cooldown: Micros::from_millis(500),
            min_retry_after: Micros::from_millis(40),
            max_retry_share: 0.3,
        }
    }
}

/// A request that waits or is offered to the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueEntry {
    /// The instance's number of the request.
    pub ticket: u64,
    /// Rank of its route or workspace; 0 is the most urgent.
    pub rank: u32,
    /// Workspace that it belongs to; `None` if there are none.
    pub workspace: Option<WorkspaceId>,
    /// When it arrived.
    pub arrived: Micros,
    /// Latency target.
    pub target: Micros,
    /// Time by which the caller gives up.
    pub deadline: Micros,
    /// Whether some servers are excluded for it, because it was sent there or they turned out
    /// unfit.
    pub has_exclusions: bool,
}

/// The rejection of a request, which has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueRejection {
    /// Time after which the caller may retry.
    pub retry_after: Micros,
    /// The predicted wait.
    pub predicted_wait: Micros,
}

/// Position in the queue: requests that can meet their target first, then by rank, then the first
/// waiting request of each workspace, the second ones and so on, then by age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    is_late: bool,
    rank: u32,
    turn: u32,
    arrived: Micros,
    ticket: u64,
}

/// The queue of one service at one instance.
#[derive(Clone, Debug)]
pub struct WaitQueue {
    cfg: QueueConfig,
    waiting: BTreeMap<Position, QueueEntry>,
    /// Time until which no late requests are accepted: a request was rejected after it had waited,
    /// so there are no spare slots.
    late_blocked_until: Micros,
}

impl WaitQueue {
    /// Creates an empty queue.
    pub fn new(cfg: QueueConfig) -> Self {
        Self { cfg, waiting: BTreeMap::new(), late_blocked_until: Micros::ZERO }
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether a waiting request goes before one that arrives now.
    pub fn has_earlier(&self, now: Micros, entry: &QueueEntry) -> bool {
        let own = self.position(entry, entry.target <= now);
        self.waiting.range(..own).next().is_some()
    }

    /// Queues a request, or rejects it at once if its predicted wait is too long. `start_interval`
    /// is the mean time between two starts at this instance, `work` the mean work time.
    ///
    /// # Errors
    ///
    /// The rejection.
    pub fn offer(
        &mut self,
        now: Micros,
        entry: QueueEntry,
        start_interval: Micros,
        work: Micros,
    ) -> Result<(), QueueRejection> {
        let on_time = self.position(&entry, false);
        let predicted_wait = self.predict_wait(&on_time, start_interval);
        let allowed = scaled(entry.target - now - work, self.cfg.margin);
        if self.waiting.len() < self.cfg.max_waiting
            && now + work <= entry.target
            && predicted_wait <= allowed
        {
            self.waiting.insert(on_time, entry);
            return Ok(());
        }
        let late = self.position(&entry, true);
        let predicted_wait = self.predict_wait(&late, start_interval);
        let allowed = scaled(entry.deadline - now, self.cfg.late_share);
        let misses_deadline = now + predicted_wait + work > entry.deadline;
        let is_full = self.waiting.len() >= self.cfg.max_waiting || now < self.late_blocked_until;
        if misses_deadline || is_full || predicted_wait > allowed {
            return Err(self.rejection(now, &entry, predicted_wait));
        }
        self.waiting.insert(late, entry);
        Ok(())
    }

    /// The position of a request that is not in the queue.
    fn position(&self, entry: &QueueEntry, is_late: bool) -> Position {
        let QueueEntry { rank, arrived, ticket, .. } = *entry;
        let turn = entry.workspace.map_or(0, |workspace| self.next_turn(workspace, is_late));
        Position { is_late, rank, turn, arrived, ticket }
    }

    /// The turn of the workspace's next request: behind its last one that waits.
    fn next_turn(&self, workspace: WorkspaceId, is_late: bool) -> u32 {
        let waiting = self.waiting.iter().filter(|(position, entry)| {
            position.is_late == is_late && entry.workspace == Some(workspace)
        });
        waiting.map(|(position, _)| position.turn + 1).max().unwrap_or(0)
    }

    /// Predicted time until all requests before `position` and one more have started.
    fn predict_wait(&self, position: &Position, start_interval: Micros) -> Micros {
        let ahead = self.waiting.range(..position).count();
        Micros(start_interval.0.saturating_mul(ahead as u64 + 1))
    }

    /// The rejection of a request with the given predicted wait.
    fn rejection(&self, now: Micros, entry: &QueueEntry, predicted_wait: Micros) -> QueueRejection {
        let remaining = entry.deadline - now;
        let max_retry_after =
            scaled(remaining, self.cfg.max_retry_share).max(self.cfg.min_retry_after);
        let retry_after = predicted_wait.clamp(self.cfg.min_retry_after, max_retry_after);
        QueueRejection { retry_after, predicted_wait }
    }

    /// Requests that may start next, in order. Of the requests that can meet their target: the
    /// first one that any server can take, which stands for all behind it, and those with
    /// exclusions before it, which must not block it. Then the same of the late requests, which may
    /// take a server that is too slow for the others.
    pub fn candidates(&self) -> impl Iterator<Item = &QueueEntry> {
        let first = |is_late: bool| {
            let mut is_found = false;
            let side = self.waiting.iter().filter(move |(position, _)| position.is_late == is_late);
            side.map(|(_, entry)| entry)
                .take_while(move |entry| !std::mem::replace(&mut is_found, !entry.has_exclusions))
        };
        first(false).chain(first(true))
    }

    /// Removes a request, because it starts or its caller has left.
    pub fn remove(&mut self, ticket: u64) -> Option<QueueEntry> {
        let position = *self.waiting.iter().find(|(_, entry)| entry.ticket == ticket)?.0;
        self.waiting.remove(&position)
    }

    /// Removes requests that have waited too long.
    pub fn expired(&mut self, now: Micros, work: Micros) -> Vec<(QueueEntry, QueueRejection)> {
        let share = self.cfg.late_share;
        let is_over = |position: &Position, entry: &QueueEntry| {
            let waited = now - entry.arrived;
            let late_limit = scaled(entry.deadline - entry.arrived, share);
            let is_over =
                if position.is_late { waited > late_limit } else { now + work > entry.target };
            is_over || now + work > entry.deadline
        };
        let expired: Vec<Position> =
            self.waiting.iter().filter(|(p, e)| is_over(p, e)).map(|(p, _)| *p).collect();
        let mut rejections = Vec::with_capacity(expired.len());
        for position in expired {
            if let Some(entry) = self.waiting.remove(&position) {
                self.late_blocked_until = now + self.cfg.late_cooldown;
                let rejection = self.rejection(now, &entry, work);
                rejections.push((entry, rejection));
            }
        }
        rejections
    }
}

fn scaled(span: Micros, part: f32) -> Micros {
    Micros((span.0 as f64 * f64::from(part)) as u64)
}
