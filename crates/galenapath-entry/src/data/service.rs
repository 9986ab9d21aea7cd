//! One service on the data path: its backend servers and the decisions about them.

use super::backend::Backend;
use super::dispatching::Dispatching;
use super::plane::DataPlane;
use crate::fleet::FleetBackend;
use crate::shared::{MemberView, Shared};
use futures::channel::oneshot;
use galenapath_config::{ClassKind, Config};
use galenapath_policy::{
    Admission, AdmissionConfig, BackendHandle, BackendSpec, BackendState, Balancer, BalancerConfig,
    ChoicePolicy, ClassIndex, ClassPolicy, HedgeConfig, HedgePolicy, RetryBudget, RetryConfig,
    Step, Ticket, WorkLength,
};
use galenapath_protocol::{BackendId, FastMap, Incarnation, Micros, hash64};
use galenapath_settings::BalancingPolicy;
use std::cell::RefCell;
use std::rc::Rc;

/// Slots assumed of a backend server that has not yet told.
const ASSUMED_SLOTS: u32 = 6;

/// Least number of instances among which probes are split: an instance that has just started does
/// not know the others yet, and today's deployments have 16.
const LEAST_PROBE_SHARERS: u32 = 16;

/// Time between two looks at the service's rate.
const RATE_INTERVAL: Micros = Micros::from_secs(1);

/// One service.
pub(super) struct Service {
    /// Its name, as callers give it in `Host`.
    pub(super) name: String,
    /// Decisions; borrowed only between two awaits.
    pub(super) state: RefCell<State>,
}

/// The decisions of a service and what they are about.
///
/// Invariant: `waiters` holds exactly the tickets that wait in `admission`.
pub(super) struct State {
    pub(super) balancer: Balancer,
    pub(super) admission: Admission,
    pub(super) retries: RetryBudget,
    pub(super) hedges: HedgePolicy,
    pub(super) waiters: FastMap<Ticket, oneshot::Sender<Step>>,
    /// Requests that were let in and of which no attempt has begun: the balancer still counts
    /// their slots as free.
    pub(super) unsent: u32,
    backends: FastMap<BackendId, Rc<Backend>>,
    classes: FastMap<String, ClassIndex>,
    fleet_version: Option<u64>,
    config_version: Option<u64>,
    members_version: Option<u64>,
    pub(super) dispatching: Dispatching,
    rate_at: Micros,
    /// Connections to each backend server in the last list that was taken in.
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
            dispatching: Dispatching::new(),
            rate_at: Micros::ZERO,
            share: 0,
        };
        Rc::new(Self { name: name.to_owned(), state: RefCell::new(state) })
    }

    /// Takes in views that are newer than what the service has seen.
    pub(super) fn refresh(&self, plane: &DataPlane, config: &Config) {
        let now = plane.now();
        let mut state = self.state.borrow_mut();
        if state.config_version != Some(config.version().0) {
            state.set_classes(&self.name, config);
        }
        let members = plane.shared.members.load();
        let since_rate = now - state.rate_at;
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

    /// Index of a class of this service.
    pub(super) fn class_index(&self, class: &str) -> ClassIndex {
        self.state.borrow().classes.get(class).copied().unwrap_or(ClassIndex(0))
    }

    /// Starts or turns away what waits, as far as it is time for that.
    pub(super) fn poll(&self, now: Micros) {
        let mut steps = Vec::new();
        loop {
            let mut state = self.state.borrow_mut();
            state.tell_capacity(now);
            state.admission.poll(now, &mut steps);
            if steps.is_empty() {
                return;
            }
            for step in steps.drain(..) {
                state.deliver(now, step);
            }
        }
    }

    /// Closes connections that have been idle for too long; returns how many stay open.
    pub(super) fn sweep(&self) -> usize {
        let state = self.state.borrow();
        state.backends.values().for_each(|backend| backend.pool.sweep());
        state.backends.values().map(|backend| backend.pool.open()).sum()
    }

    /// The backend server behind a slot.
    pub(super) fn backend(&self, slot: BackendHandle) -> Option<Rc<Backend>> {
        let state = self.state.borrow();
        let id = state.balancer.backend(slot)?;
        state.backends.get(id).cloned()
    }
}

impl State {
    /// Tells admission and the balancer about each other. Where no slot is free, one more request
    /// may come in if it had better cross to another failure domain than wait.
    fn tell_capacity(&mut self, now: Micros) {
        let waiting = u32::try_from(self.admission.waiting()).unwrap_or(u32::MAX);
        self.balancer.set_waiting(waiting);
        let free = self.balancer.free_slots(now);
        let crosses = free == 0 && self.balancer.choose_cross_domain(now).is_some();
        let room = free.max(u32::from(crosses)).saturating_sub(self.unsent);
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
        let since_rate = now - self.rate_at;
        let over = if since_rate >= RATE_INTERVAL { since_rate } else { Micros::ZERO };
        if over > Micros::ZERO {
            self.rate_at = now;
        }
        self.dispatching.update(now, service, own, members, over);
        self.balancer.set_dispatchers(now, self.dispatching.number());
        self.balancer.set_probe_sharers(now, probe_sharers(members));
        // The share may have changed, so the list of backend servers is taken in again.
        if self.share != self.dispatching.share(now) {
            self.fleet_version = None;
        }
    }

    fn set_backends(&mut self, now: Micros, listed: &[FleetBackend]) {
        let share = self.dispatching.share(now);
        self.share = share;
        let specs: Vec<BackendSpec> = listed.iter().map(|b| to_spec(b, share)).collect();
        self.balancer.set_backends(now, &specs);
        let live = listed.iter().filter(|entry| !entry.leaving).count();
        let slots = u32::try_from(live).unwrap_or(u32::MAX).saturating_mul(ASSUMED_SLOTS);
        self.admission.set_service_slots(now, slots);
        let mut backends = FastMap::default();
        for entry in listed {
            let known = self.backends.remove(&entry.id).filter(|b| b.is_same_run(entry));
            let backend = known.unwrap_or_else(|| Rc::new(Backend::new(entry)));
            backend.set_share(share);
            if entry.leaving {
                backend.pool.close_idle();
            }
            backends.insert(entry.id.clone(), backend);
        }
        self.backends = backends;
    }

    fn deliver(&mut self, now: Micros, step: Step) {
        let (Step::Start(ticket) | Step::Reject(ticket, _)) = step;
        let is_taken = self.waiters.remove(&ticket).is_some_and(|tx| tx.send(step).is_ok());
        match step {
            Step::Start(_) if is_taken => self.unsent += 1,
            Step::Start(_) => self.admission.cancel(now, ticket),
            Step::Reject(..) => {}
        }
    }
}

fn to_spec(entry: &FleetBackend, share: u32) -> BackendSpec {
    BackendSpec {
        id: entry.id.clone(),
        domain: entry.domain.clone(),
        state: if entry.leaving { BackendState::Leaving } else { BackendState::Live },
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

/// Instances among which probes are split. While instances are replaced, old and new ones probe by
/// lists that differ, so each counts twice as many as it sees.
fn probe_sharers(members: &MemberView) -> u32 {
    let usable = u32::try_from(members.usable.len()).unwrap_or(u32::MAX);
    usable.saturating_mul(2).max(LEAST_PROBE_SHARERS)
}
