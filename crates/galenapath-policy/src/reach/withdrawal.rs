//! When an instance that has lost its paths leaves the answers to callers, and when it comes back.
//!
//! Load pattern: links that come and go every second. An instance that came back with each of them
//! would move all its callers twice a second, each time with new connections to all servers. It
//! comes back once its paths have held for some time, which doubles with each return that did not
//! last.
//!
//! Load pattern: each of many instances loses the paths to some services. If each of them withdrew,
//! callers would crowd at the few that are left, or move from one to the next as these lose theirs.
//! An instance withdraws only if it has lost most of its paths to all services together; until then
//! it forwards the requests for the services that it does not reach.

use super::summary::PathSummary;
use galenapath_protocol::Micros;

/// Time for which the paths have to hold before a first return.
const FIRST_HOLD: Micros = Micros::from_secs(1);

/// Number of times that the hold time doubles at most.
const MAX_DOUBLINGS: u32 = 4;

/// Time after a return from which on it counts as lasting.
const LASTING: Micros = Micros::from_secs(30);

/// A change of whether an instance has withdrawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WithdrawalChange {
    /// It has lost most of its paths.
    Withdrawn,
    /// Its paths have held.
    Returned,
}

/// Whether an instance has withdrawn from the answers to callers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Withdrawal {
    /// Since when it has been withdrawn.
    since: Option<Micros>,
    /// Since when its paths have held; only while it is withdrawn.
    holding_since: Option<Micros>,
    /// Returns in a row that did not last.
    short_returns: u32,
    returned_at: Option<Micros>,
}

impl Withdrawal {
    /// Whether the instance has withdrawn.
    pub const fn is_withdrawn(&self) -> bool {
        self.since.is_some()
    }

    /// Applies the state of the paths to the servers of all services together.
    pub fn update(&mut self, now: Micros, paths: PathSummary) -> Option<WithdrawalChange> {
        if self.since.is_none() {
            return paths.is_most_lost().then(|| self.withdraw(now));
        }
        if !paths.is_most_reached() {
            self.holding_since = None;
            return None;
        }
        let since = *self.holding_since.get_or_insert(now);
        (now - since >= self.hold()).then(|| self.come_back(now))
    }

    fn withdraw(&mut self, now: Micros) -> WithdrawalChange {
        let is_short = self.returned_at.is_some_and(|at| now - at < LASTING);
        self.short_returns = if is_short { self.short_returns + 1 } else { 0 };
        self.since = Some(now);
        self.holding_since = None;
        WithdrawalChange::Withdrawn
    }

    fn come_back(&mut self, now: Micros) -> WithdrawalChange {
        self.since = None;
        self.holding_since = None;
        self.returned_at = Some(now);
        WithdrawalChange::Returned
    }

    /// Time for which the paths have to hold before the instance comes back.
    fn hold(&self) -> Micros {
        Micros(FIRST_HOLD.0 << self.short_returns.min(MAX_DOUBLINGS))
    }
}
