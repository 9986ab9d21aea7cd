//! Requests of one instance that a backend server may be running.
//!
//! Load pattern: a caller leaves, a deadline passes or a hedge is answered first, and the server
//! crashes under the request that nobody waits for any more. Without this account such a crash has no
//! cause, or only those that were in flight beside it, and the request is sent to the next server.

use crate::Fingerprint;
use galenapath_protocol::Micros;

/// Time for which a server may go on with a request after the deadline that it was told, until it has
/// noticed that.
const MAX_OVERRUN: Micros = Micros::from_millis(500);

/// Time from the last request that was abandoned to the first look at its server. Until the next looks, it
/// doubles each time.
const FIRST_LOOK: Micros = Micros::from_millis(50);

/// Maximum number of abandoned requests kept for one server; the oldest are dropped first.
const MAX_ABANDONED: usize = 64;

/// Identifies a request within the [`ServerRuns`] of one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunId(u64);

#[derive(Clone, Debug)]
struct Run {
    id: RunId,
    fp: Fingerprint,
    /// When the server stops work on it at the latest.
    until: Micros,
    /// Whether nobody waits for the answer any more.
    is_abandoned: bool,
}

/// Requests of one instance that one backend server may be running.
#[derive(Clone, Debug, Default)]
pub struct ServerRuns {
    /// In the order in which they were sent.
    runs: Vec<Run>,
    next: u64,
    /// When the server is looked at next, if no awaited answer shows whether it has crashed.
    look_at: Micros,
    /// Time from that look to the one after it.
    look_interval: Micros,
}

impl ServerRuns {
    /// Adds a request that is being sent, with the deadline that the server is told.
    pub fn begin(&mut self, fp: Fingerprint, deadline: Micros) -> RunId {
        let id = RunId(self.next);
        self.next += 1;
        self.runs.push(Run { id, fp, until: deadline + MAX_OVERRUN, is_abandoned: false });
        id
    }

    /// Removes a request that the server has answered, or has not run.
    pub fn end(&mut self, id: RunId) {
        self.runs.retain(|run| run.id != id);
    }

    /// Keeps a request whose answer will not be read, for as long as the server may run it.
    pub fn abandon(&mut self, now: Micros, id: RunId) {
        let is_first = !self.has_abandoned();
        let Some(run) = self.runs.iter_mut().find(|run| run.id == id) else { return };
        run.is_abandoned = true;
        let first_look = now + FIRST_LOOK;
        self.look_at = if is_first { first_look } else { first_look.min(self.look_at) };
        self.look_interval = FIRST_LOOK + FIRST_LOOK;
        if self.runs.iter().filter(|run| run.is_abandoned).count() > MAX_ABANDONED {
            let oldest = self.runs.iter().position(|run| run.is_abandoned);
            oldest.map(|at| self.runs.remove(at));
        }
    }

    /// Returns whether the server has to be looked at now, because it may be running abandoned requests
    /// and its connections show nothing; schedules the next look if so.
    pub fn take_look(&mut self, now: Micros) -> bool {
        self.expire(now);
        let is_due = self.has_abandoned() && !self.is_awaited() && now >= self.look_at;
        if is_due {
            self.look_at = now + self.look_interval;
            self.look_interval = self.look_interval + self.look_interval;
        }
        is_due
    }

    /// Drops abandoned requests that the server no longer runs.
    pub fn expire(&mut self, now: Micros) {
        self.runs.retain(|run| !run.is_abandoned || now < run.until);
    }

    /// Whether there are no requests.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Whether the answer to a request is awaited, so that its connection shows a crash.
    fn is_awaited(&self) -> bool {
        self.runs.iter().any(|run| !run.is_abandoned)
    }

    /// Whether there are abandoned requests.
    pub fn has_abandoned(&self) -> bool {
        self.runs.iter().any(|run| run.is_abandoned)
    }

    /// Number of abandoned requests that the server may be running.
    pub fn abandoned_count(&self, now: Micros) -> usize {
        self.runs.iter().filter(|run| run.is_abandoned && now < run.until).count()
    }

    /// The requests that the server may be running.
    pub fn possible(&self, now: Micros) -> Vec<Fingerprint> {
        self.clone().take(now)
    }

    /// Takes out the requests that the server may have been running when it crashed.
    pub fn take(&mut self, now: Micros) -> Vec<Fingerprint> {
        self.expire(now);
        distinct(std::mem::take(&mut self.runs))
    }

    /// Takes out those of them that nobody waits for.
    pub fn take_abandoned(&mut self, now: Micros) -> Vec<Fingerprint> {
        self.expire(now);
        distinct(self.runs.extract_if(.., |run| run.is_abandoned).collect())
    }
}

fn distinct(runs: Vec<Run>) -> Vec<Fingerprint> {
    let mut all: Vec<Fingerprint> = runs.into_iter().map(|run| run.fp).collect();
    all.sort_unstable();
    all.dedup();
    all
}
