//! Checks of servers on behalf of other instances.

use super::proof::{FailedTry, NoAnswer};
use galenapath_protocol::{BackendId, FastMap, Micros};

/// What is known of a server from checks on behalf of other instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trial {
    /// Nothing recent.
    Unknown,
    /// A check is in progress.
    Running,
    /// The server did not answer this check.
    Failed(FailedTry),
}

/// Checks of servers on behalf of other instances, each of which opens a connection.
///
/// Load pattern: no instance reaches a server, so all of them ask each other about it. If each
/// question led to a connection, there would be several for each pair of instances, too many for the
/// server to come back. Questions that arrive during a check share its result, and a check that
/// failed answers those that follow it for a while.
#[derive(Debug, Default)]
pub struct Trials {
    running: FastMap<BackendId, Micros>,
    failed: FastMap<BackendId, FailedTry>,
}

impl Trials {
    /// Time for which a failed check answers further questions. An instance checks a server that does
    /// not answer itself as often.
    pub const FAILURE_TTL: Micros = Micros::from_millis(500);

    /// What is known of a server.
    pub fn get(&self, now: Micros, id: &BackendId) -> Trial {
        if self.running.contains_key(id) {
            return Trial::Running;
        }
        match self.failed.get(id) {
            Some(failed) if now - failed.began < Self::FAILURE_TTL => Trial::Failed(*failed),
            _ => Trial::Unknown,
        }
    }

    /// Records that a check of the server begins.
    pub fn begin(&mut self, now: Micros, id: &BackendId) {
        self.failed.retain(|_, failed| now - failed.began < Self::FAILURE_TTL);
        self.running.insert(id.clone(), now);
    }

    /// Records the result of a check that has begun.
    pub fn end(&mut self, id: &BackendId, result: Result<(), NoAnswer>) {
        if let Some(began) = self.running.remove(id)
            && let Err(how) = result
        {
            self.failed.insert(id.clone(), FailedTry { began, how });
        }
    }
}
