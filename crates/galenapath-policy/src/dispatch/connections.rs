//! How many connections each instance may hold to a backend server.
//!
//! Load pattern: half of the instances are replaced while traffic runs, so that old and new ones
//! hold connections at the same time, by lists that differ. Without a split that allows for both,
//! the server's limit is passed just then and it refuses connections.
//!
//! The split needs no messages. Each view (a list of instances and dispatchers) hands out at most
//! half of the limit, which leaves room for the instances that still follow the view before. Of
//! that half, most goes to all instances alike: one that has just ceased to dispatch still has the
//! callers that were sent to it, and any instance can serve a request that came to it.

use galenapath_protocol::Micros;

/// Views that may be followed at the same time: the old one and the new one.
const OVERLAPPING_VIEWS: u32 = 2;
/// Part of a view's connections that all instances share alike, in fifths; the rest is for the
/// dispatchers. With 16 instances and 240 connections every instance may hold six, as many as a
/// server has slots.
const COMMON_FIFTHS: u32 = 4;

/// Instances of today's deployments.
const TODAYS_INSTANCES: u32 = 16;

/// Split of one backend server's connections among instances.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionSplit {
    /// Most connections that the server takes from all instances.
    pub limit: u32,
}

impl ConnectionSplit {
    /// Most connections one instance may hold, in a view of `instances` instances of which
    /// `dispatchers` dispatch for the server's service. Zero tells an instance that does not
    /// dispatch to pass requests on to one that does.
    ///
    /// Invariant: over all instances of one view the shares sum up to at most half of `limit`.
    pub fn share(&self, instances: u32, dispatchers: u32, is_dispatcher: bool) -> u32 {
        let view = self.limit / OVERLAPPING_VIEWS;
        let pool = view * COMMON_FIFTHS / 5;
        let common = pool / instances.max(1);
        if is_dispatcher { common + (view - pool) / dispatchers.max(1) } else { common }
    }
}

impl ConnectionSplit {
    /// Most connections of an instance that does not know the others yet: what one of today's 16
    /// instances that does not dispatch may hold.
    ///
    /// An instance that has just started sees only itself and would take the whole half of the
    /// limit; with several started at once the server's limit would be passed within a second.
    pub fn starting_share(&self) -> u32 {
        self.share(TODAYS_INSTANCES, TODAYS_INSTANCES, false)
    }
}

/// One instance's share as it changes: lowered at once, raised only after the other instances
/// must have learned of the change and lowered theirs.
#[derive(Clone, Debug)]
pub struct SettlingShare {
    settle: Micros,
    /// Share in force.
    current: u32,
    /// Higher share that is waiting, and since when.
    raised: Option<Raise>,
}

#[derive(Clone, Copy, Debug)]
struct Raise {
    share: u32,
    since: Micros,
}

impl SettlingShare {
    /// Starts with `share`. `settle` is the longest time that the list of instances lags, plus the
    /// time to close a connection.
    pub fn new(settle: Micros, share: u32) -> Self {
        Self { settle, current: share, raised: None }
    }

    /// Takes the share of a new view.
    pub fn set(&mut self, now: Micros, share: u32) {
        self.apply(now);
        if share <= self.current {
            self.current = share;
            self.raised = None;
            return;
        }
        let since = match self.raised {
            Some(raise) if raise.share >= share => raise.since,
            _ => now,
        };
        self.raised = Some(Raise { share, since });
    }

    /// The share in force.
    pub fn get(&mut self, now: Micros) -> u32 {
        self.apply(now);
        self.current
    }

    fn apply(&mut self, now: Micros) {
        if let Some(raise) = self.raised.take_if(|r| now - r.since >= self.settle) {
            self.current = raise.share;
        }
    }
}
