//! Which backend servers are leaving, as reported by the servers or by peers.
//!
//! The platform's list lags behind, so it may show a server as live long after the server itself or
//! a peer has reported that it is leaving. The list therefore never removes a mark. A mark names
//! one run of the server by its start time, so that a server that starts again is used again.

use galenapath_protocol::{BackendId, FastMap, Micros};

/// Maximum number of marks; the oldest are removed first. Far above the number of servers that
/// leave within `MARK_TTL` at the largest size designed for (440 replacements a day).
const MAX_MARKS: usize = 4_096;

/// How long a mark is kept; longer than any lag of the platform's list.
const MARK_TTL: Micros = Micros::from_secs(3_600);

/// A run of a backend server that is leaving.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeavingMark {
    /// The backend server.
    pub backend: BackendId,
    /// Start time of the run, in milliseconds since the Unix epoch, as the platform lists it.
    pub started: u64,
}

#[derive(Clone, Debug)]
struct MarkedRun {
    started: u64,
    at: Micros,
}

/// Marks of backend servers that are leaving.
#[derive(Clone, Debug, Default)]
pub struct LeavingMarks {
    marks: FastMap<BackendId, MarkedRun>,
}

impl LeavingMarks {
    /// Records a mark. Returns whether it was new and has to be sent to peers.
    pub fn mark(&mut self, now: Micros, mark: &LeavingMark) -> bool {
        if self.is_leaving(&mark.backend, mark.started) {
            return false;
        }
        self.make_room(now);
        self.marks.insert(mark.backend.clone(), MarkedRun { started: mark.started, at: now });
        true
    }

    /// Whether the run of `backend` that began at `started`, or a later one, was marked.
    pub fn is_leaving(&self, backend: &BackendId, started: u64) -> bool {
        self.marks.get(backend).is_some_and(|marked| marked.started >= started)
    }

    /// Marks younger than `age`, for messages to peers.
    pub fn recent(&self, now: Micros, age: Micros) -> Vec<LeavingMark> {
        let recent = self.marks.iter().filter(|(_, marked)| now < marked.at + age);
        recent
            .map(|(backend, marked)| LeavingMark {
                backend: backend.clone(),
                started: marked.started,
            })
            .collect()
    }

    fn make_room(&mut self, now: Micros) {
        if self.marks.len() < MAX_MARKS {
            return;
        }
        self.marks.retain(|_, marked| now < marked.at + MARK_TTL);
        if self.marks.len() < MAX_MARKS {
            return;
        }
        let oldest = self.marks.iter().min_by_key(|(_, marked)| marked.at);
        if let Some(backend) = oldest.map(|(backend, _)| backend.clone()) {
            self.marks.remove(&backend);
        }
    }
}
