//! One instance: the shipping decisions and what it keeps about requests in progress.

use crate::deployment::Deployment;
use crate::policy::Policy;
use galenapath_policy::place::{
    Assignment, LoadObservation, PlacedServer, Placement, PlacementQueue, ServerSnapshot, WaitQueue,
};
use galenapath_protocol::{BackendId, FastMap, Micros};

/// Where a request stands at an instance.
#[derive(Clone, Debug, Default)]
pub(crate) struct Call {
    /// How the server that it was given looked.
    pub(crate) started: ServerSnapshot,
    /// When it was sent.
    pub(crate) sent_at: Micros,
    /// Servers that turned out unfit or have shed it.
    pub(crate) passed_over: Vec<BackendId>,
    /// Servers that turned out unfit.
    pub(crate) choices: u32,
}

/// One instance.
pub(crate) struct Instance {
    pub(crate) domain: usize,
    pub(crate) placement: Placement,
    pub(crate) line: PlacementQueue,
    pub(crate) calls: FastMap<usize, Call>,
    /// What it last told the others of each server.
    told: FastMap<usize, LoadObservation>,
    /// What it tells them next.
    pub(crate) outbox: FastMap<usize, LoadObservation>,
}

/// The identity of a server.
pub(crate) fn id_of(server: usize) -> BackendId {
    BackendId(format!("s{server}").into())
}

/// The server with an identity that [`id_of`] made.
pub(crate) fn server_of(id: &BackendId) -> usize {
    id.0.trim_start_matches('s').parse().unwrap_or(0)
}

impl Instance {
    pub(crate) fn new(deployment: &Deployment, domain: usize, policy: &Policy, seed: u64) -> Self {
        let mut placement = Placement::new(policy.place.clone(), seed);
        placement.set_servers(Micros::ZERO, &listed(deployment, domain));
        placement.assume_work(crate::callers::millis(deployment.callers.target_ms));
        Self {
            domain,
            placement,
            line: PlacementQueue::new(WaitQueue::new(policy.queue.clone())),
            calls: FastMap::default(),
            told: FastMap::default(),
            outbox: FastMap::default(),
        }
    }

    /// A server was given to a request, which has to be counted off there when it goes elsewhere.
    pub(crate) fn given(&mut self, request: usize, given: &Assignment) {
        self.calls.entry(request).or_default().started = given.snapshot;
    }

    /// Keeps a sighting for the others where it is news.
    pub(crate) fn tell(&mut self, server: usize, sighting: LoadObservation) {
        let told = self.told.get(&server);
        if told.is_none_or(|told| sighting.is_update_to(told)) {
            self.told.insert(server, sighting);
            self.outbox.insert(server, sighting);
        }
    }
}

fn listed(deployment: &Deployment, domain: usize) -> Vec<PlacedServer> {
    let domains = deployment.servers.per_domain.iter().enumerate();
    let domains = domains.flat_map(|(n, count)| std::iter::repeat_n(n, *count));
    domains
        .enumerate()
        .map(|(n, home)| PlacedServer {
            id: id_of(n),
            slots: deployment.servers.slots,
            is_local: home == domain,
            is_leaving: false,
            is_withdrawn: false,
            cold_for: Micros::ZERO,
        })
        .collect()
}
