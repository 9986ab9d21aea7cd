//! Servers that leave, whoever said so first: the list, the server itself in an answer, or another instance.
//!
//! A run of a server that has said once that it leaves takes no new requests again, whatever its entry says
//! later: entries lag, cannot be written while the store is away, and lapse and come back.

use galenapath_membership::{LeavingMark, LeavingMarks};
use galenapath_protocol::{BackendId, Micros};
use std::collections::VecDeque;

/// Time for which what this instance has heard from a server is told again.
const TOLD_AGAIN_FOR: Micros = Micros::from_secs(10);

/// The runs of servers that leave.
#[derive(Debug, Default)]
pub(crate) struct Leaving {
    marks: LeavingMarks,
    /// Those that told this instance themselves lately, oldest first.
    heard: VecDeque<(Micros, BackendId)>,
}

/// The mark of a run: its identity says which one it is.
fn mark(run: &BackendId) -> LeavingMark {
    LeavingMark { backend: run.clone(), started: 0 }
}

impl Leaving {
    /// Whether a run is known to leave.
    pub(crate) fn contains(&self, run: &BackendId) -> bool {
        self.marks.is_leaving(run, 0)
    }

    /// A run leaves; returns whether it is news.
    pub(crate) fn add(&mut self, now: Micros, run: &BackendId) -> bool {
        self.marks.mark(now, &mark(run))
    }

    /// A run has told this instance itself, as news, that it leaves.
    pub(crate) fn heard(&mut self, now: Micros, run: &BackendId) {
        self.heard.push_back((now, run.clone()));
    }

    /// Those that told this instance themselves lately.
    pub(crate) fn told_again(&mut self, now: Micros) -> impl Iterator<Item = &BackendId> {
        while self.heard.front().is_some_and(|(at, _)| now - *at >= TOLD_AGAIN_FOR) {
            self.heard.pop_front();
        }
        self.heard.iter().map(|(_, run)| run)
    }
}
