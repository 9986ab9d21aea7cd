//! What this instance may report of servers that do not answer it.

use crate::instance::Instance;
use crate::service::Service;
use galenapath_policy::reach::PathState;
use galenapath_protocol::{BackendId, Micros};

/// Time for which a report is held back while this instance's own paths are in doubt: until the
/// other instances have answered whether they reach the server.
const HOLD: Micros = Micros::from_millis(400);

/// What happens with a report that a server did not answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReportDecision {
    /// It is sent to the other instances.
    Send,
    /// It is decided upon later.
    Hold,
    /// It is dropped: the server answers others.
    Drop,
}

impl Instance {
    /// Decides on a report, made at `since`, that a server did not answer.
    pub(crate) fn decide_report(
        &self,
        service: &Service,
        id: &BackendId,
        since: Micros,
    ) -> ReportDecision {
        let now = self.now();
        match service.contacts.borrow().state(now, id) {
            PathState::CutOff | PathState::Closing => ReportDecision::Drop,
            _ if now - since < HOLD && self.are_paths_in_doubt() => ReportDecision::Hold,
            _ => ReportDecision::Send,
        }
    }
}
