//! Who gets a server, who waits for one and who is turned away, at one instance for one service.
//!
//! Load pattern: a burst, slow spells or the loss of servers that leave more requests than slots.
//! Placement knows the servers and the queue the order; this says how the two go together, without
//! input and output, so that whatever plays it plays what runs.

use super::ask::{Ask, Choice, Started};
use super::placement::Placement;
use super::queue::{Entry, Refusal, WaitQueue};
use galenapath_protocol::{BackendId, FastMap, Micros};

/// What a request asks for.
#[derive(Clone, Debug)]
pub struct Wanted {
    /// Who it is and by when it wants its answer.
    pub entry: Entry,
    /// Servers that are out of the question for it.
    pub tried: Vec<BackendId>,
    /// Whether its answer is large.
    pub is_large: bool,
}

impl Wanted {
    fn ask(&self, now: Micros) -> Ask<'_> {
        let left = self.entry.target - now;
        Ask { tried: &self.tried, is_large: self.is_large, left }
    }
}

/// A server that was given to a request, which is counted there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Given {
    /// The server.
    pub server: BackendId,
    /// How it looked.
    pub started: Started,
}

/// What came of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Placed {
    /// It goes to this server now.
    At(Given),
    /// It waits; [`Line::poll`] will tell.
    Waits,
    /// It is turned away: its wait would be too long.
    Refused(Refusal),
    /// There is no server that could take it.
    Nowhere,
}

/// What came of a request that waited.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Moved {
    /// The instance's number of the request.
    pub ticket: u64,
    /// The server that it goes to now, or why it is turned away.
    pub result: Result<Given, Refusal>,
}

/// The requests of one service that wait at one instance.
#[derive(Debug)]
pub struct Line {
    queue: WaitQueue,
    /// Invariant: holds exactly the tickets in `queue`.
    wanted: FastMap<u64, Wanted>,
}

impl Line {
    /// A line in which nobody waits.
    pub fn new(queue: WaitQueue) -> Self {
        Self { queue, wanted: FastMap::default() }
    }

    /// Finds a server for a request, or lets it wait, or turns it away. `part` is the part of the service's
    /// requests that comes to this instance.
    pub fn place(
        &mut self,
        now: Micros,
        placement: &mut Placement,
        wanted: Wanted,
        part: f32,
    ) -> Placed {
        if !self.queue.has_before(now, &wanted.entry) {
            match placement.choose(now, &wanted.ask(now)) {
                Choice::Server(server) => return Placed::At(give(now, placement, server)),
                Choice::Nowhere => return Placed::Nowhere,
                Choice::Wait => {}
            }
        }
        let work = placement.work();
        let good = placement.good_slots(now);
        let slots = if good > 0.0 { good } else { 1.0 };
        let pace = Micros((work.0 as f32 / (slots * part)) as u64);
        match self.queue.offer(now, wanted.entry, pace, work) {
            Ok(()) => {
                self.wanted.insert(wanted.entry.ticket, wanted);
                Placed::Waits
            }
            Err(refusal) => Placed::Refused(refusal),
        }
    }

    /// Starts and turns away what waits, as far as it is time for that.
    pub fn poll(&mut self, now: Micros, placement: &mut Placement) -> Vec<Moved> {
        let mut moved = Vec::new();
        for (entry, refusal) in self.queue.expired(now, placement.work()) {
            self.wanted.remove(&entry.ticket);
            moved.push(Moved { ticket: entry.ticket, result: Err(refusal) });
        }
        while let Some(started) = self.start_next(now, placement) {
            moved.push(started);
        }
        moved
    }

    /// Starts one of those that are next, if there is a server for any, or turns one away that there will be
    /// none for in time.
    fn start_next(&mut self, now: Micros, placement: &mut Placement) -> Option<Moved> {
        let mut choose = |wanted: &Wanted| match placement.choose(now, &wanted.ask(now)) {
            Choice::Server(server) => Some((wanted.entry.ticket, Ok(server))),
            Choice::Wait => None,
            Choice::Nowhere => {
                let refusal = placement.hopeless(now, &wanted.entry, &wanted.tried)?;
                Some((wanted.entry.ticket, Err(refusal)))
            }
        };
        let (ticket, found) = {
            let mut next = self.queue.next().filter_map(|entry| self.wanted.get(&entry.ticket));
            next.find_map(&mut choose)?
        };
        self.remove(ticket);
        Some(Moved { ticket, result: found.map(|server| give(now, placement, server)) })
    }

    /// A request no longer waits, because its caller has gone.
    pub fn remove(&mut self, ticket: u64) {
        self.queue.remove(ticket);
        self.wanted.remove(&ticket);
    }
}

/// Counts a request at `server`.
fn give(now: Micros, placement: &mut Placement, server: BackendId) -> Given {
    let started = placement.start(now, &server);
    Given { server, started }
}
