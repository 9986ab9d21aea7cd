//! Maximum number of connections from each instance to a backend server.
//!
//! Load pattern: half of the instances are replaced under traffic, so that old and new instances
//! hold connections at the same time and their lists of instances differ. Unless the split allows
//! for both, the server's connection limit is exceeded and it refuses connections.
//!
//! The split needs no messages between instances. Each view (a list of instances and dispatchers)
//! allots at most half of the limit, which leaves the other half to instances that still use the
//! previous view. Most of the allotted half is divided equally among all instances, because an
//! instance that no longer dispatches still serves its existing callers, and any instance can serve
//! a request that it receives.

use galenapath_protocol::Micros;

/// Views that may be in use at the same time: the old one and the new one.
const OVERLAPPING_VIEWS: u32 = 2;
/// Fifths of a view's connections that are divided equally among all instances; the rest is for the
/// dispatchers. With 16 instances and 240 connections each instance may hold six, as many as a
/// server has slots.
const SHARED_FIFTHS: u32 = 4;

/// Number of instances that is assumed until the others are known, as deployed by default.
const DEFAULT_INSTANCES: u32 = 16;

/// Split of one backend server's connections among instances.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionSplit {
    /// Maximum number of connections that the server accepts from all instances together.
    pub limit: u32,
}

impl ConnectionSplit {
    /// Returns the maximum number of connections of one instance, in a view of `instances`
    /// instances of which `dispatchers` dispatch for the server's service. At zero, an instance
    /// that does not dispatch forwards its requests to one that does.
    ///
    /// Invariant: the shares of all instances of one view sum to at most half of `limit`.
    pub fn share(&self, instances: u32, dispatchers: u32, is_dispatcher: bool) -> u32 {
        let view = self.limit / OVERLAPPING_VIEWS;
        let pool = view * SHARED_FIFTHS / 5;
        let per_instance = pool / instances.max(1);
        if is_dispatcher { per_instance + (view - pool) / dispatchers.max(1) } else { per_instance }
    }
}

impl ConnectionSplit {
    /// Returns the maximum number of connections of an instance that does not know the others yet:
    /// the share of an instance that does not dispatch, among 16 instances.
    ///
    /// An instance that has just started sees only itself, so `share` would allot it the whole half
    /// of the limit. Several instances that start at once would exceed the limit within a second.
    pub fn initial_share(&self) -> u32 {
        self.share(DEFAULT_INSTANCES, DEFAULT_INSTANCES, false)
    }
}

/// Share of one instance over time. It is lowered immediately but raised only after the other
/// instances have had time to observe the change and lower their shares.
#[derive(Clone, Debug)]
pub struct SettlingShare {
    settle_time: Micros,
    /// Share in effect.
    current: u32,
    /// Raise that has not taken effect yet.
    pending_raise: Option<Raise>,
}

#[derive(Clone, Copy, Debug)]
struct Raise {
    share: u32,
    since: Micros,
}

impl SettlingShare {
    /// Creates a share with the initial value `share`. `settle_time` is the maximum lag of the list
    /// of instances plus the time to close a connection.
    pub fn new(settle_time: Micros, share: u32) -> Self {
        Self { settle_time, current: share, pending_raise: None }
    }

    /// Sets the share of a new view.
    pub fn set(&mut self, now: Micros, share: u32) {
        self.apply(now);
        if share <= self.current {
            self.current = share;
            self.pending_raise = None;
            return;
        }
        let since = match self.pending_raise {
            Some(raise) if raise.share >= share => raise.since,
            _ => now,
        };
        self.pending_raise = Some(Raise { share, since });
    }

    /// Returns the share in effect.
    pub fn get(&mut self, now: Micros) -> u32 {
        self.apply(now);
        self.current
    }

    fn apply(&mut self, now: Micros) {
        if let Some(raise) = self.pending_raise.take_if(|r| now - r.since >= self.settle_time) {
            self.current = raise.share;
        }
    }
}
