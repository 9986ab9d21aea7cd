//! Variants with admission: the production code decides which requests wait and which are rejected.

use super::Simulation;
use crate::scenario::{Arrival, CALLERS, LONG_TARGET, Pattern, Scenario, TARGET, Time};
use galenapath_policy::{
    Admission, AdmissionConfig, Balancer, ClassIndex, ClassPolicy, Decision, Offer, Outcome,
    QueuedDecision, WorkLength, WorkspaceIndex,
};
use galenapath_protocol::Micros;

const SHORT: ClassIndex = ClassIndex(0);
const LONG: ClassIndex = ClassIndex(1);
/// Time after which a caller gives up.
const CALLER_TIMEOUT: Micros = Micros::from_secs(1);

/// Admission of one instance.
pub(super) struct AdmissionGate {
    admission: Admission,
    /// Workspace of each caller.
    workspaces: Vec<WorkspaceIndex>,
    /// Requests that were sent and not answered yet.
    in_flight: u32,
}

impl AdmissionGate {
    pub(super) fn new(scenario: &Scenario, seed: u64) -> Self {
        let mut admission = Admission::new(AdmissionConfig::default(), seed);
        let has_long = scenario.pattern == Pattern::LongAmongShort;
        let network_delay = 2 * scenario.deployment.client_delay;
        let policy = |class, length, target: Time| ClassPolicy {
            class,
            length,
            target: Micros(target - network_delay),
        };
        let short = policy(SHORT, WorkLength::Short, TARGET);
        let classes = [short, policy(LONG, WorkLength::Long, LONG_TARGET)];
        admission.set_classes(&classes[..1 + usize::from(has_long)]);
        let workspaces = (0..CALLERS).map(|i| admission.workspace_index(&i.to_string())).collect();
        Self { admission, workspaces, in_flight: 0 }
    }

    /// Passes the number of waiting requests to the balancer and the free slots to admission.
    fn update_capacity(&mut self, now: Micros, balancer: &mut Balancer) {
        balancer.set_waiting(self.admission.waiting() as u32);
        let free = balancer.free_slots(now);
        let has_cross_domain_server = free == 0 && balancer.choose_cross_domain(now).is_some();
        self.admission
            .set_capacity(now, self.in_flight + free.max(u32::from(has_cross_domain_server)));
    }

    fn offer(&mut self, now: Micros, req: usize, arrival: &Arrival) -> Decision {
        let class = if arrival.is_long { LONG } else { SHORT };
        let workspace = self.workspaces[arrival.caller];
        let offer = Offer { ticket: req as u64, class, workspace, deadline: now + CALLER_TIMEOUT };
        self.admission.offer(now, offer)
    }

    /// Returns the load since the last call, as reported to peers.
    pub(super) fn take_load(&mut self) -> f64 {
        self.admission.take_load()
    }

    /// Records the end of an attempt; `ended` is set if it was the last one.
    pub(super) fn answered(&mut self, now: Micros, req: usize, ended: Option<(Outcome, Micros)>) {
        self.in_flight -= 1;
        if let Some((outcome, latency)) = ended {
            self.admission.finish(now, req as u64, outcome, latency);
        }
    }
}

impl Simulation {
    /// Offers a request that has just arrived to admission.
    pub(super) fn offer(&mut self, instance: usize, req: usize) {
        self.apply_decisions(instance);
        let now = Micros(self.now);
        let entry = &mut self.entries[instance];
        let Some(gate) = &mut entry.gate else { return };
        gate.update_capacity(now, &mut entry.balancer);
        match gate.offer(now, req, &self.reqs[req].arrival) {
            Decision::Start => self.send_admitted(req),
            Decision::Wait => {}
            Decision::Reject(_) => self.reject(req),
        }
        self.apply_decisions(instance);
    }

    /// Applies decisions of admission until there are no more.
    pub(super) fn apply_decisions(&mut self, instance: usize) {
        let now = Micros(self.now);
        let mut decisions = Vec::new();
        loop {
            let entry = &mut self.entries[instance];
            let Some(gate) = &mut entry.gate else { return };
            gate.update_capacity(now, &mut entry.balancer);
            gate.admission.poll(now, &mut decisions);
            if decisions.is_empty() {
                return;
            }
            for decision in decisions.drain(..) {
                match decision {
                    QueuedDecision::Start(req) => self.send_admitted(req as usize),
                    QueuedDecision::Reject(req, _) => self.reject(req as usize),
                }
            }
        }
    }

    /// Sends an admitted request to the best available server.
    pub(super) fn send_admitted(&mut self, req: usize) {
        let now = Micros(self.now);
        let entry = &mut self.entries[self.reqs[req].instance];
        let is_free = entry.balancer.free_slots(now) > 0;
        let cross_domain = if is_free { None } else { entry.balancer.choose_cross_domain(now) };
        let handle = cross_domain.or_else(|| entry.balancer.choose(now, &self.reqs[req].tried));
        let Some(gate) = &mut entry.gate else { return };
        match handle {
            Some(handle) => {
                gate.in_flight += 1;
                self.send(req, handle);
            }
            None => {
                gate.admission.finish(now, req as u64, Outcome::Failure, Micros::ZERO);
                self.reject(req);
            }
        }
    }

    fn reject(&mut self, req: usize) {
        let arrived = self.reqs[req].arrival.at;
        self.stats.reject(arrived);
        self.stats.record_rejection_time(arrived, self.now - arrived);
    }
}
