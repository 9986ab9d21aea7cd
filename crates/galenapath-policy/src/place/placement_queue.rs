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
    /// Servers that turned out unfit just before it would have been sent there. They are excluded
    /// as long as another server can take it.
    pub unfit: Vec<BackendId>,
    /// Whether its answer is large.
    pub is_large: bool,
}

impl PlacementRequest {
    /// Selects a server. Where all others are excluded, those that turned out unfit may have
    /// improved since.
    fn choose(&mut self, now: Micros, placement: &mut Placement) -> Choice {
        if !self.unfit.is_empty() {
            let excluded = [self.tried.as_slice(), &self.unfit].concat();
            let choice = placement.choose(now, &self.criteria(now, &excluded));
            if choice != Choice::NoServer {
                return choice;
            }
            self.unfit.clear();
        }
        placement.choose(now, &self.criteria(now, &self.tried))
    }

    fn criteria<'a>(&self, now: Micros, tried: &'a [BackendId]) -> RequestCriteria<'a> {
        RequestCriteria { tried, is_large: self.is_large, time_left: self.entry.target - now }
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
        mut request: PlacementRequest,
        part: f32,
    ) -> PlacementOutcome {
        if !self.queue.has_earlier(now, &request.entry) {
            match request.choose(now, placement) {
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
        let requests = &mut self.requests;
        let (ticket, result) = self.queue.candidates().find_map(|entry| {
            let request = requests.get_mut(&entry.ticket)?;
            let result = match request.choose(now, placement) {
                Choice::Server(server) => Ok(server),
                Choice::Wait => return None,
                Choice::NoServer => {
                    Err(placement.rejection_if_too_late(now, entry, &request.tried)?)
                }
            };
            Some((entry.ticket, result))
        })?;
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
