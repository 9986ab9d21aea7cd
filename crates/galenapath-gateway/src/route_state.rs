//! What an instance keeps for the routes of one version of the configuration.
//!
//! Load pattern: a version that changes a split while bodies of requests arrive that were admitted
//! under the version before. Such a request chooses its service only when its body is there. With
//! state by the name of the route it would put the former split back into force. So the state goes
//! with the route of its version, and a request keeps both.

use galenapath_policy::place::time_spent;
use galenapath_protocol::{FastMap, Micros};
use galenapath_routes::{Route, WeightedRoundRobin};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

/// State of a route of one version.
pub(crate) struct RouteState {
    route: Arc<Route>,
    split: RefCell<WeightedRoundRobin>,
    /// Longest timeout stated by callers.
    longest_timeout: Cell<Micros>,
}

impl RouteState {
    /// State of `route` before its first request. Instances differ in `seed`.
    fn new(route: &Arc<Route>, seed: u64) -> Self {
        Self {
            split: RefCell::new(WeightedRoundRobin::new(&route.services, seed)),
            route: Arc::clone(route),
            longest_timeout: Cell::default(),
        }
    }

    /// Selects the service for the next request.
    pub(crate) fn pick_service(&self) -> &str {
        let index = match self.route.services.len() {
            1 => 0,
            _ => self.split.borrow_mut().next_index(),
        };
        &self.route.services[index].service
    }

    /// Returns the time by which the answer to a request should arrive. The request arrived at
    /// `arrived`, and the first attempt of its caller is known to have arrived at `first_at`.
    ///
    /// If the caller's remaining timeout is much shorter than is usual for its route, the
    /// difference is taken as time spent on earlier attempts at other instances.
    pub(crate) fn target_at(
        &self,
        arrived: Micros,
        first_at: Micros,
        caller_timeout: Micros,
    ) -> Micros {
        let target = Micros::from(self.route.target);
        if first_at < arrived {
            return first_at + target;
        }
        let longest = self.longest_timeout.get().max(caller_timeout);
        self.longest_timeout.set(longest);
        (arrived + target) - time_spent(longest, caller_timeout)
    }
}

/// States of routes that have had requests.
#[derive(Default)]
pub(crate) struct RouteStates {
    /// By the address of the route, since names need not be unique. Each state holds its route, so no
    /// other one can have the same address.
    by_route: RefCell<FastMap<*const Route, Rc<RouteState>>>,
}

impl RouteStates {
    /// The state of `route`.
    pub(crate) fn of(&self, route: &Arc<Route>, seed: u64) -> Rc<RouteState> {
        let mut states = self.by_route.borrow_mut();
        let state = states
            .entry(Arc::as_ptr(route))
            .or_insert_with(|| Rc::new(RouteState::new(route, seed)));
        Rc::clone(state)
    }
}
