//! A simulated instance: the gateway's placement code and the state of the requests in progress.

use crate::deployment::Deployment;
use crate::policy::Policy;
use galenapath_policy::place::{
    Assignment, LoadObservation, PlacedServer, Placement, PlacementQueue, ServerSnapshot, WaitQueue,
};
use galenapath_protocol::{BackendId, FastMap, Micros};

/// State of a request at an instance.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestState {
    /// Snapshot of the server assigned to it.
    pub(crate) snapshot: ServerSnapshot,
    /// Time of the last send.
    pub(crate) sent_at: Micros,
    /// Servers that were unfit when queried or shed the request.
    pub(crate) passed_over: Vec<BackendId>,
    /// Number of servers that were unfit when queried.
    pub(crate) unfit_count: u32,
}

/// A simulated instance.
pub(crate) struct Instance {
    pub(crate) domain: usize,
    pub(crate) placement: Placement,
    pub(crate) queue: PlacementQueue,
    pub(crate) requests: FastMap<usize, RequestState>,
    /// The last observation of each server that was queued for the other instances.
    sent: FastMap<usize, LoadObservation>,
    /// Observations to send to the other instances next.
    pub(crate) outbox: FastMap<usize, LoadObservation>,
}

/// The backend id of a server.
pub(crate) fn backend_id(server: usize) -> BackendId {
    BackendId(format!("s{server}").into())
}

/// The index of the server with an id made by [`backend_id`].
pub(crate) fn server_index(id: &BackendId) -> usize {
    id.0.trim_start_matches('s').parse().unwrap_or(0)
}

impl Instance {
    pub(crate) fn new(deployment: &Deployment, domain: usize, policy: &Policy, seed: u64) -> Self {
        let mut placement = Placement::new(policy.place.clone(), seed);
        placement.set_servers(Micros::ZERO, &placed_servers(deployment, domain));
        placement.assume_work(crate::callers::micros_from_ms(deployment.callers.target_ms));
        Self {
            domain,
            placement,
            queue: PlacementQueue::new(WaitQueue::new(policy.queue.clone())),
            requests: FastMap::default(),
            sent: FastMap::default(),
            outbox: FastMap::default(),
        }
    }

    /// Records the server assigned to a request. [`Placement::finish`] must be called for it if the
    /// request then goes to another one.
    pub(crate) fn record_assignment(&mut self, request: usize, assignment: &Assignment) {
        let state = self.requests.entry(request).or_default();
        state.snapshot = assignment.snapshot;
        if state.passed_over.contains(&assignment.server) {
            state.passed_over.clear();
        }
    }

    /// Queues an observation for the other instances if it updates the last one queued.
    pub(crate) fn queue_observation(&mut self, server: usize, observation: LoadObservation) {
        let sent = self.sent.get(&server);
        if sent.is_none_or(|sent| observation.is_update_to(sent)) {
            self.sent.insert(server, observation);
            self.outbox.insert(server, observation);
        }
    }
}

fn placed_servers(deployment: &Deployment, domain: usize) -> Vec<PlacedServer> {
    let domains = deployment.servers.per_domain.iter().enumerate();
    let domains = domains.flat_map(|(n, count)| std::iter::repeat_n(n, *count));
    domains
        .enumerate()
        .map(|(n, server_domain)| PlacedServer {
            id: backend_id(n),
            slots: deployment.servers.slots,
            is_local: server_domain == domain,
            is_leaving: false,
            is_withdrawn: false,
            cold_for: Micros::ZERO,
        })
        .collect()
}
