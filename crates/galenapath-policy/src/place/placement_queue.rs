//! Assigns, queues and rejects the requests of one service at one instance.
//!
//! Load pattern: a burst, slow periods or the loss of servers, which leave more requests than
//! slots. [`Placement`] selects servers and [`WaitQueue`] keeps the order; this module combines the
//! two without input and output, so that a simulation runs the same code as an instance.

use super::placement::Placement;
use super::queue::{QueueEntry, QueueRejection, WaitQueue};
use super::selection::{Choice, RequestCriteria, ServerSnapshot};
use galenapath_protocol::{BackendId, FastMap, Micros};

/// A request to be placed.
#[derive(Clone, Debug)]
pub struct PlacementRequest {
    /// Its identity and times.
    pub entry: QueueEntry,
    /// Servers that are excluded for it.
    pub tried: Vec<BackendId>,
    /// Whether its answer is large.
    pub is_large: bool,
}

impl PlacementRequest {
    fn criteria(&self, now: Micros) -> RequestCriteria<'_> {
        let time_left = self.entry.target - now;
        RequestCriteria { tried: &self.tried, is_large: self.is_large, time_left }
    }
}

/// A server that was assigned to a request; the request is counted there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// Identity of the server.
    pub server: BackendId,
    /// Its known state at the time of the assignment.
    pub snapshot: ServerSnapshot,
}

/// Result of [`PlacementQueue::place`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlacementOutcome {
    /// The request is sent to this server now.
    Assigned(Assignment),
    /// The request waits; [`PlacementQueue::poll`] returns its outcome.
    Queued,
    /// The request is rejected because its wait would be too long.
    Rejected(QueueRejection),
    /// No server can take the request.
    NoServer,
}

/// Outcome of a request that waited.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueOutcome {
    /// The instance's number of the request.
    pub ticket: u64,
    /// The server that it is sent to now, or the rejection.
    pub result: Result<Assignment, QueueRejection>,
}

/// The requests of one service that wait at one instance.
#[derive(Debug)]
pub struct PlacementQueue {
    queue: WaitQueue,
    /// Invariant: holds exactly the tickets in `queue`.
    requests: FastMap<u64, PlacementRequest>,
}

impl PlacementQueue {
    /// Creates an empty queue.
    pub fn new(queue: WaitQueue) -> Self {
        Self { queue, requests: FastMap::default() }
    }

    /// Assigns a server to a request, queues it, or rejects it. `part` is the fraction of the
    /// service's requests that arrive at this instance.
    pub fn place(
        &mut self,
        now: Micros,
        placement: &mut Placement,
        request: PlacementRequest,
        part: f32,
    ) -> PlacementOutcome {
        if !self.queue.has_earlier(now, &request.entry) {
            match placement.choose(now, &request.criteria(now)) {
                Choice::Server(server) => {
                    return PlacementOutcome::Assigned(assign(now, placement, server));
                }
                Choice::NoServer => return PlacementOutcome::NoServer,
                Choice::Wait => {}
            }
        }
        let work = placement.work();
        let good = placement.good_slots(now);
        let slots = if good > 0.0 { good } else { 1.0 };
        let start_interval = Micros((work.0 as f32 / (slots * part)) as u64);
        match self.queue.offer(now, request.entry, start_interval, work) {
            Ok(()) => {
                self.requests.insert(request.entry.ticket, request);
                PlacementOutcome::Queued
            }
            Err(rejection) => PlacementOutcome::Rejected(rejection),
        }
    }

    /// Starts and rejects waiting requests that are due.
    pub fn poll(&mut self, now: Micros, placement: &mut Placement) -> Vec<QueueOutcome> {
        let mut outcomes = Vec::new();
        for (entry, rejection) in self.queue.expired(now, placement.work()) {
            self.requests.remove(&entry.ticket);
            outcomes.push(QueueOutcome { ticket: entry.ticket, result: Err(rejection) });
        }
        while let Some(outcome) = self.start_next(now, placement) {
            outcomes.push(outcome);
        }
        outcomes
    }

    /// Starts the first candidate for which there is a server, or rejects the first one for which
    /// there will be none in time.
    fn start_next(&mut self, now: Micros, placement: &mut Placement) -> Option<QueueOutcome> {
        let mut choose =
            |request: &PlacementRequest| match placement.choose(now, &request.criteria(now)) {
                Choice::Server(server) => Some((request.entry.ticket, Ok(server))),
                Choice::Wait => None,
                Choice::NoServer => {
                    let rejection =
                        placement.rejection_if_too_late(now, &request.entry, &request.tried)?;
                    Some((request.entry.ticket, Err(rejection)))
                }
            };
        let (ticket, result) = {
            let mut next =
                self.queue.candidates().filter_map(|entry| self.requests.get(&entry.ticket));
            next.find_map(&mut choose)?
        };
        self.remove(ticket);
        Some(QueueOutcome { ticket, result: result.map(|server| assign(now, placement, server)) })
    }

    /// Removes a waiting request whose caller has left.
    pub fn remove(&mut self, ticket: u64) {
        self.queue.remove(ticket);
        self.requests.remove(&ticket);
    }
}

/// Counts a request at `server`.
fn assign(now: Micros, placement: &mut Placement, server: BackendId) -> Assignment {
    let snapshot = placement.start(now, &server);
    Assignment { server, snapshot }
}
