//! Servers that are leaving, as reported by the server list, by the server itself in an answer, or
//! by another instance.
//!
//! Once a process run of a server is known to be leaving, it gets no new requests, whatever its
//! list entry says later. Entries lag behind, cannot be written while the store is unavailable, and
//! can expire and reappear.

use galenapath_membership::{LeavingMark, LeavingMarks};
use galenapath_protocol::{BackendId, Micros};
use std::collections::VecDeque;

/// Time for which this instance repeats a notice that it received directly from a server.
const REPEAT_FOR: Micros = Micros::from_secs(10);

/// Process runs of servers that are leaving.
#[derive(Debug, Default)]
pub(crate) struct LeavingServers {
    marks: LeavingMarks,
    /// Runs that reported to this instance directly within `REPEAT_FOR`, oldest first.
    direct: VecDeque<(Micros, BackendId)>,
}

/// A mark for a run. The run's ID already identifies the process run, so `started` is unused.
fn mark(run: &BackendId) -> LeavingMark {
    LeavingMark { backend: run.clone(), started: 0 }
}

impl LeavingServers {
    /// Whether a run is known to be leaving.
    pub(crate) fn contains(&self, run: &BackendId) -> bool {
        self.marks.is_leaving(run, 0)
    }

    /// Marks a run as leaving; returns whether this was not known before.
    pub(crate) fn add(&mut self, now: Micros, run: &BackendId) -> bool {
        self.marks.mark(now, &mark(run))
    }

    /// Records that a run reported directly to this instance, for the first time, that it is
    /// leaving.
    pub(crate) fn record_direct(&mut self, now: Micros, run: &BackendId) {
        self.direct.push_back((now, run.clone()));
    }

    /// Runs whose notice is to be repeated: those that reported directly within `REPEAT_FOR`.
    pub(crate) fn recent_direct(&mut self, now: Micros) -> impl Iterator<Item = &BackendId> {
        while self.direct.front().is_some_and(|(at, _)| now - *at >= REPEAT_FOR) {
            self.direct.pop_front();
        }
        self.direct.iter().map(|(_, run)| run)
    }
}
