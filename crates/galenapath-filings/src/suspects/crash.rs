//! One crash of one backend server.

use crate::Fingerprint;
use galenapath_protocol::Micros;

/// Reports of a crash of the same backend server within this time are of the same crash. Instances
/// detect the loss of their connections within milliseconds, and a server takes longer than this to
/// restart.
const SAME_CRASH_WINDOW: Micros = Micros::from_secs(2);

/// One crash, with the requests in flight that instances have reported.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Crash {
    pub(super) backend: u64,
    pub(super) at: Micros,
    /// Requests that were in flight and have not been answered since. Invariant: sorted, no
    /// duplicates.
    pub(super) members: Vec<Fingerprint>,
}

impl Crash {
    pub(super) fn is_same(&self, backend: u64, at: Micros) -> bool {
        let apart = (self.at - at).max(at - self.at);
        self.backend == backend && apart < SAME_CRASH_WINDOW
    }

    /// Whether a server that crashed at `at` has not restarted yet.
    pub(super) fn is_recent(now: Micros, at: Micros) -> bool {
        now - at < SAME_CRASH_WINDOW
    }

    /// Whether a request was in flight in both crashes.
    pub(super) fn has_member_of(&self, other: &Self) -> bool {
        self.members.iter().any(|fp| other.members.binary_search(fp).is_ok())
    }

    /// Adds a request that was in flight; returns whether it was not known, and there was room.
    pub(super) fn add(&mut self, fp: Fingerprint, max: usize) -> bool {
        match self.members.binary_search(&fp) {
            Err(at) if self.members.len() < max => {
                self.members.insert(at, fp);
                true
            }
            Ok(_) | Err(_) => false,
        }
    }

    pub(super) fn clear(&mut self, fp: Fingerprint) {
        if let Ok(at) = self.members.binary_search(&fp) {
            self.members.remove(at);
        }
    }
}
