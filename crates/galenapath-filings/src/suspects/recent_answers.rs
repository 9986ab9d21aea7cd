//! Requests that have just been answered.
//!
//! Load pattern: many callers send the same request, so that one of them is in flight whenever a
//! server crashes, or when a rack is lost. Without this, the request that all of them send is taken
//! for the cause and rejected.

use crate::Fingerprint;
use galenapath_protocol::{FastMap, Micros};

/// Time for which an answer shows that the request crashes no server. A request that starts to
/// crash servers is no longer answered, so its crashes count after this time.
const RETENTION: Micros = Micros::from_secs(1);

/// Requests that were answered within the last second.
#[derive(Clone, Debug, Default)]
pub struct RecentAnswers {
    answered: FastMap<Fingerprint, Micros>,
    pruned_at: Micros,
}

impl RecentAnswers {
    /// Records a complete answer.
    pub fn record(&mut self, now: Micros, fp: Fingerprint) {
        if now - self.pruned_at >= RETENTION {
            self.answered.retain(|_, at| now - *at < RETENTION);
            self.pruned_at = now;
        }
        self.answered.insert(fp, now);
    }

    /// Time of the last recorded answer of the request; forgotten some time after a second.
    pub fn get(&self, fp: Fingerprint) -> Option<Micros> {
        self.answered.get(&fp).copied()
    }

    /// Time up to which the last answer shows that the request crashes no server, if that is later
    /// than `now`.
    pub fn cleared_until(&self, now: Micros, fp: Fingerprint) -> Option<Micros> {
        let until = *self.answered.get(&fp)? + RETENTION;
        (now < until).then_some(until)
    }
}
