//! One crash of one backend server.

use crate::Fingerprint;
use galenapath_protocol::Micros;

/// Reports on one backend server this close together are of one crash: instances see the loss of
/// their connections within milliseconds, and a server needs longer than this to come back.
const SAME_CRASH: Micros = Micros::from_secs(2);

/// One crash with the requests that were in flight, as far as instances have told.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Crash {
    pub(super) backend: u64,
    pub(super) at: Micros,
    /// Requests that were in flight and were not answered since. Invariant: sorted, no duplicates.
    pub(super) members: Vec<Fingerprint>,
}

impl Crash {
    pub(super) fn is(&self, backend: u64, at: Micros) -> bool {
        let apart = (self.at - at).max(at - self.at);
        self.backend == backend && apart < SAME_CRASH
    }

    pub(super) fn add(&mut self, fp: Fingerprint, max: usize) {
        if let Err(at) = self.members.binary_search(&fp)
            && self.members.len() < max
        {
            self.members.insert(at, fp);
        }
    }

    pub(super) fn clear(&mut self, fp: Fingerprint) {
        if let Ok(at) = self.members.binary_search(&fp) {
            self.members.remove(at);
        }
    }
}
