//! A service on the data path: its backend servers, admission and load balancing.

use super::backend::Backend;
use super::dispatchers::Dispatchers;
use super::plane::DataPlane;
use crate::fleet::FleetBackend;
use crate::shared::{MemberView, Shared};
use futures::channel::oneshot;
use galenapath_config::{ClassKind, Config};
use galenapath_policy::stop::LongestWork;
use galenapath_policy::{
    Admission, AdmissionConfig, BackendHandle, BackendSpec, BackendState, Balancer, BalancerConfig,
    ChoicePolicy, ClassIndex, ClassPolicy, HedgeConfig, HedgePolicy, QueuedDecision, RetryBudget,
    RetryConfig, Ticket, WorkLength,
};
use galenapath_protocol::{BackendId, FastMap, Incarnation, Micros, hash64};
use galenapath_settings::BalancingPolicy;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

/// Number of slots assumed per listed backend server, whether or not it has reported its load.
const ASSUMED_SLOTS: u32 = 6;

/// Minimum number of instances among which probes are divided. An instance that has just started
/// does not know the others yet, and deployments have 16 by default.
const MIN_PROBE_SHARERS: u32 = 16;

/// Minimum time between two estimates of the service's request rate.
const RATE_INTERVAL: Micros = Micros::from_secs(1);

/// A service.
pub(super) struct Service {
    /// Its name, which callers send in the `Host` header.
    pub(super) name: String,
    /// Its state. Never borrowed across an await.
    pub(super) state: RefCell<State>,
}

/// The state of a service.
///
/// Invariant: `waiters` contains exactly the tickets that are queued in `admission`.
pub(super) struct State {
    pub(super) balancer: Balancer,
    pub(super) admission: Admission,
    pub(super) retries: RetryBudget,
    pub(super) hedges: HedgePolicy,
    pub(super) waiters: FastMap<Ticket, oneshot::Sender<QueuedDecision>>,
    /// Number of admitted requests without an attempt so far. The balancer still counts their slots
    /// as free.
    pub(super) unsent: u32,
    backends: FastMap<BackendId, Rc<Backend>>,
    classes: FastMap<String, ClassIndex>,
    fleet_version: Option<u64>,
    config_version: Option<u64>,
    members_version: Option<u64>,
    pub(super) dispatchers: Dispatchers,
    /// Longest work of its servers, which bounds what a stopping instance takes.
    pub(super) work: LongestWork,
    rate_updated_at: Micros,
    /// Connection share that was applied with the last list of backend servers.
    share: u32,
}

impl Service {
    pub(super) fn new(name: &str, shared: &Shared) -> Rc<Self> {
        let seed = hash64(shared.incarnation.0, name.as_bytes());
        let domain = shared.settings.instance.domain.clone();
        let state = State {
            balancer: Balancer::new(balancer_config(shared), domain, seed),
            admission: Admission::new(AdmissionConfig::default(), seed),
            retries: RetryBudget::new(RetryConfig::default()),
            hedges: HedgePolicy::new(HedgeConfig::default()),
            waiters: FastMap::default(),
            unsent: 0,
            backends: FastMap::default(),
            classes: FastMap::default(),
            fleet_version: None,
            config_version: None,
            members_version: None,
            dispatchers: Dispatchers::new(),
            work: LongestWork::default(),
            rate_updated_at: Micros::ZERO,
            share: 0,
        };
        Rc::new(Self { name: name.to_owned(), state: RefCell::new(state) })
    }

    /// Applies the configuration, instances and backend servers that changed since the last call.
    pub(super) fn refresh(&self, plane: &DataPlane, config: &Config) {
        let now = plane.now();
        let mut state = self.state.borrow_mut();
        if state.config_version != Some(config.version().0) {
            state.set_classes(&self.name, config);
        }
        let members = plane.shared.members.load();
        let since_rate = now - state.rate_updated_at;
        if state.members_version != Some(members.version) || since_rate >= RATE_INTERVAL {
            state.members_version = Some(members.version);
            state.set_members(now, &self.name, plane.shared.incarnation, &members);
        }
        let fleet = plane.shared.fleet.load();
        if state.fleet_version != Some(fleet.version) {
            state.fleet_version = Some(fleet.version);
            state.set_backends(now, fleet.backends(&self.name));
        }
    }

    /// Returns the index of a class of this service.
    pub(super) fn class_index(&self, class: &str) -> ClassIndex {
        self.state.borrow().classes.get(class).copied().unwrap_or(ClassIndex(0))
    }

    /// Admits or rejects the queued requests for which this is due.
    pub(super) fn poll(&self, now: Micros) {
        let mut decisions = Vec::new();
        loop {
            let mut state = self.state.borrow_mut();
            state.update_capacity(now);
            state.admission.poll(now, &mut decisions);
            if decisions.is_empty() {
                return;
            }
            for decision in decisions.drain(..) {
                state.deliver(now, decision);
            }
        }
    }

    /// Closes connections that have been idle too long; returns the number of those still open.
    pub(super) fn sweep(&self) -> usize {
        let state = self.state.borrow();
        state.backends.values().for_each(|backend| backend.pool.sweep());
        state.backends.values().map(|backend| backend.pool.open()).sum()
    }

    /// Returns its backend servers, in no particular order.
    pub(super) fn backends(&self) -> Vec<Rc<Backend>> {
        self.state.borrow().backends.values().cloned().collect()
    }

    /// Returns the addresses of its backend servers, in no particular order.
    pub(super) fn addresses(&self) -> Vec<SocketAddr> {
        self.state.borrow().backends.values().map(|backend| backend.address).collect()
    }

    /// Returns the backend server with this handle.
    pub(super) fn backend(&self, handle: BackendHandle) -> Option<Rc<Backend>> {
        let state = self.state.borrow();
        let id = state.balancer.backend(handle)?;
        state.backends.get(id).cloned()
    }
}

impl State {
    /// Updates the balancer with the number of queued requests, and admission with the capacity. If
    /// no slot is free, one more request is admitted if it is better sent to another failure domain
    /// than queued.
    fn update_capacity(&mut self, now: Micros) {
        let waiting = u32::try_from(self.admission.waiting()).unwrap_or(u32::MAX);
        self.balancer.set_waiting(waiting);
        let free = self.balancer.free_slots(now);
        let can_send_cross_domain = free == 0 && self.balancer.choose_cross_domain(now).is_some();
        let room = free.max(u32::from(can_send_cross_domain)).saturating_sub(self.unsent);
        let admitted = u32::try_from(self.admission.in_flight()).unwrap_or(u32::MAX);
        self.admission.set_capacity(now, admitted.saturating_add(room));
    }

    fn set_classes(&mut self, service: &str, config: &Config) {
        self.config_version = Some(config.version().0);
        let of_service = config.classes().filter(|class| class.service == service);
        let mut policies = Vec::new();
        self.classes.clear();
        for (index, class) in (0..).zip(of_service) {
            let index = ClassIndex(index);
            self.classes.insert(class.name.clone(), index);
            policies.push(ClassPolicy {
                class: index,
                length: match class.kind {
                    ClassKind::Lookup | ClassKind::Filing => WorkLength::Short,
                    ClassKind::Transfer => WorkLength::Long,
                },
                target: Micros::from_millis(u64::from(class.target.latency_ms)),
            });
        }
        self.admission.set_classes(&policies);
    }

    fn set_members(&mut self, now: Micros, service: &str, own: Incarnation, members: &MemberView) {
        let since_rate = now - self.rate_updated_at;
        let elapsed = if since_rate >= RATE_INTERVAL { since_rate } else { Micros::ZERO };
        if elapsed > Micros::ZERO {
            self.rate_updated_at = now;
        }
        self.dispatchers.update(now, service, own, members, elapsed);
        self.balancer.set_dispatchers(now, self.dispatchers.count());
        self.balancer.set_probe_sharers(now, probe_sharers(members));
        // If the share has changed, the list of backend servers must be applied again.
        if self.share != self.dispatchers.share(now) {
            self.fleet_version = None;
        }
    }

    fn set_backends(&mut self, now: Micros, listed: &[FleetBackend]) {
        let share = self.dispatchers.share(now);
        self.share = share;
        let specs: Vec<BackendSpec> = listed.iter().map(|b| to_spec(b, share)).collect();
        self.balancer.set_backends(now, &specs);
        let live = listed.iter().filter(|entry| !entry.is_leaving).count();
        let slots = u32::try_from(live).unwrap_or(u32::MAX).saturating_mul(ASSUMED_SLOTS);
        self.admission.set_service_slots(now, slots);
        let mut backends = FastMap::default();
        for entry in listed {
            let existing = self.backends.remove(&entry.id).filter(|b| b.is_same_run(entry));
            let backend = existing.unwrap_or_else(|| Rc::new(Backend::new(entry)));
            backend.set_share(share);
            if entry.is_leaving {
                backend.pool.close_idle();
            }
            backends.insert(entry.id.clone(), backend);
        }
        self.backends = backends;
    }

    /// Delivers a decision to the queued request; an admitted one that has stopped waiting is
    /// cancelled.
    fn deliver(&mut self, now: Micros, decision: QueuedDecision) {
        let (QueuedDecision::Start(ticket) | QueuedDecision::Reject(ticket, _)) = decision;
        let is_delivered = self.waiters.remove(&ticket).is_some_and(|tx| tx.send(decision).is_ok());
        match decision {
            QueuedDecision::Start(_) if is_delivered => self.unsent += 1,
            QueuedDecision::Start(_) => self.admission.cancel(now, ticket),
            QueuedDecision::Reject(..) => {}
        }
    }
}

fn to_spec(entry: &FleetBackend, share: u32) -> BackendSpec {
    BackendSpec {
        id: entry.id.clone(),
        domain: entry.domain.clone(),
        state: if entry.is_leaving { BackendState::Leaving } else { BackendState::Live },
        connection_share: share,
    }
}

fn balancer_config(shared: &Shared) -> BalancerConfig {
    let policy = match shared.settings.balancing_policy {
        BalancingPolicy::Galenapath => ChoicePolicy::Galenapath,
        BalancingPolicy::Random => ChoicePolicy::Random,
        BalancingPolicy::RoundRobin => ChoicePolicy::RoundRobin,
        BalancingPolicy::LeastInFlight => ChoicePolicy::LeastInFlight,
        BalancingPolicy::PowerOfTwo => ChoicePolicy::PowerOfTwo,
    };
    BalancerConfig { policy, ..BalancerConfig::default() }
}

/// Returns the number of instances among which probes are divided. While instances are replaced,
/// old and new ones probe according to different lists, so each counts twice as many as it knows.
fn probe_sharers(members: &MemberView) -> u32 {
    let usable = u32::try_from(members.usable.len()).unwrap_or(u32::MAX);
    usable.saturating_mul(2).max(MIN_PROBE_SHARERS)
}
