//! Forwards requests to other instances where this one has lost its paths to the servers.
//!
//! Load pattern: callers keep an address answer for seconds after their instance has lost its paths
//! to the servers, and come back to it after each rejection. The other instances reach the servers
//! and have room.
//!
//! A request is forwarded once and never further. The other instance serves it like a request of its
//! own: its queue and its retry budget decide. What this one has established goes with it: the
//! route, the service and the workspace, the time left, and how often it has been sent. The quota
//! is charged here alone.
//!
//! A request that may run only once is forwarded again only if the other instance states that it has
//! not run. A lost instance or answer counts as may have run.

mod client;
mod server;
mod target;

pub(crate) use client::forward;
pub(crate) use server::{Forwarded, admit};
pub(crate) use target::{ForwardCounts, ForwardTarget};

use crate::call::Call;
use crate::request::Origin;
use galenapath_protocol::Micros;

/// How often a request may be forwarded. A first instance may be at its limit; that a second one is
/// as well shows that there is no room.
const MAX_FORWARDS: usize = 2;

/// Bytes that the header which goes with a forwarded request may add to its head.
pub(crate) const HEADER_LEN: usize = 2 * 1024;

/// Time until the deadline below which a request is no longer forwarded.
const MIN_TIME_LEFT: Micros = Micros::from_millis(20);

/// Selects the instance for a request whose service this one does not reach at all.
pub(crate) fn target_if_nothing_reached(call: &Call) -> Option<ForwardTarget> {
    let is_nothing_reached = call.service.contacts.borrow().is_nothing_reached(call.instance.now());
    if is_nothing_reached { target(call) } else { None }
}

/// Selects the instance for a request that cannot be placed here, if others reach servers of its
/// service that this one does not.
pub(crate) fn target_if_impaired(call: &Call) -> Option<ForwardTarget> {
    let paths = call.service.contacts.borrow().summary(call.instance.now());
    if paths.is_impaired() { target(call) } else { None }
}

fn target(call: &Call) -> Option<ForwardTarget> {
    let may_forward = call.req.origin == Origin::Caller
        && call.forwarded_to.borrow().len() < MAX_FORWARDS
        && call.time_left() > MIN_TIME_LEFT;
    if may_forward { target::select(call) } else { None }
}
