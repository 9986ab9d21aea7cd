//! Requests that wait for a server.
//!
//! Load pattern: a burst, or the loss of servers, that leaves more requests than slots. Without an
//! order, requests that can no longer meet their target hold the slots that others still could;
//! without early refusals callers wait for nothing and come back too late.

use galenapath_protocol::Micros;
use std::collections::BTreeMap;

/// Thresholds of the queue; the defaults are the ones measured.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueConfig {
    /// Most requests that wait at once.
    pub most: usize,
    /// Part of the target that a request may wait before it counts as late and stands behind all
    /// that are not.
    pub wait_share: f32,
    /// Part of the target that a late request may wait; refusals after that come too late for the
    /// caller to try elsewhere.
    pub late_share: f32,
    /// Shortest time that a refused caller is told to stay away.
    pub least_retry_after: Micros,
    /// Part of the caller's time left that it may be told to stay away; callers do not heed more
    /// than a third.
    pub retry_share: f32,
}

impl Default for QueueConfig {
    fn default() -> Self {
        Self {
            most: 256,
            wait_share: 0.4,
            late_share: 0.12,
            least_retry_after: Micros::from_millis(40),
            retry_share: 0.3,
        }
    }
}

/// A request that waits or asks to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The instance's number of the request.
    pub ticket: u64,
    /// Rank of its route; 0 is the most urgent.
    pub rank: u32,
    /// When it arrived.
    pub arrived: Micros,
    /// Time within which its answer is worth most, from its arrival.
    pub target: Micros,
    /// When its caller has no more use for an answer.
    pub deadline: Micros,
}

/// A refusal: the request has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// When the caller may come back, from now.
    pub retry_after: Micros,
    /// Wait that was predicted for it.
    pub predicted: Micros,
}

/// Place in the order: those that can meet their target first, then by rank, then by age.
type Place = (bool, u32, Micros, u64);

/// The queue of one service at one instance.
#[derive(Clone, Debug)]
pub struct WaitQueue {
    cfg: QueueConfig,
    waiting: BTreeMap<Place, Entry>,
}

impl WaitQueue {
    /// An empty queue.
    pub fn new(cfg: QueueConfig) -> Self {
        Self { cfg, waiting: BTreeMap::new() }
    }

    /// Number of requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Lets a request wait, or refuses it at once where its wait is predicted to be too long.
    /// `pace` is the mean time between two starts at this instance, `work` the time it then takes.
    ///
    /// # Errors
    ///
    /// The refusal.
    pub fn offer(
        &mut self,
        now: Micros,
        entry: Entry,
        pace: Micros,
        work: Micros,
    ) -> Result<(), Refusal> {
        let ahead = self.waiting.values().filter(|w| w.rank <= entry.rank).count();
        let predicted = Micros(pace.0.saturating_mul(ahead as u64 + 1));
        let ends = now + predicted + work;
        let on_time = ends <= entry.arrived + entry.target;
        let is_hopeless = ends > entry.deadline;
        let too_late = !on_time && predicted > scaled(entry.target, self.cfg.late_share);
        if is_hopeless || too_late || self.waiting.len() >= self.cfg.most {
            return Err(self.refusal(now, &entry, predicted));
        }
        self.waiting.insert(place(&entry, !on_time), entry);
        Ok(())
    }

    /// The refusal of a request whose wait would be `predicted`.
    pub fn refusal(&self, now: Micros, entry: &Entry, predicted: Micros) -> Refusal {
        let left = entry.deadline - now;
        let most = scaled(left, self.cfg.retry_share).max(self.cfg.least_retry_after);
        let retry_after = predicted.clamp(self.cfg.least_retry_after, most);
        Refusal { retry_after, predicted }
    }

    /// Who goes next, without taking it out.
    pub fn first(&self) -> Option<&Entry> {
        self.waiting.values().next()
    }

    /// Whether a request has waited so long that it takes a bad server rather than wait on.
    pub fn is_urgent(&self, now: Micros, entry: &Entry) -> bool {
        now - entry.arrived > scaled(entry.target, self.cfg.wait_share / 2.0)
    }

    /// Takes a request out, because it starts or its caller has gone.
    pub fn remove(&mut self, ticket: u64) -> Option<Entry> {
        let place = *self.waiting.iter().find(|(_, entry)| entry.ticket == ticket)?.0;
        self.waiting.remove(&place)
    }

    /// Takes out those whose wait has become too long.
    pub fn expired(&mut self, now: Micros, work: Micros) -> Vec<(Entry, Refusal)> {
        let is_over = |(place, entry): (&Place, &Entry)| {
            let share = if place.0 { self.cfg.late_share } else { self.cfg.wait_share };
            now - entry.arrived > scaled(entry.target, share) || now + work > entry.deadline
        };
        let over: Vec<Place> = self
            .waiting
            .iter()
            .filter(|(place, entry)| is_over((place, entry)))
            .map(|(place, _)| *place)
            .collect();
        let mut out = Vec::with_capacity(over.len());
        for place in over {
            if let Some(entry) = self.waiting.remove(&place) {
                let refusal = self.refusal(now, &entry, work);
                out.push((entry, refusal));
            }
        }
        out
    }
}

fn place(entry: &Entry, is_late: bool) -> Place {
    (is_late, entry.rank, entry.arrived, entry.ticket)
}

fn scaled(span: Micros, part: f32) -> Micros {
    Micros((span.0 as f64 * f64::from(part)) as u64)
}
