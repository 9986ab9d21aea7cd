//! Players with admission: what waits and what is turned away is decided by the code that ships.

use super::Sim;
use crate::scenario::{Arrival, CALLERS, LONG_TARGET, Pattern, Scenario, TARGET, Time};
use galenapath_policy::{
    Admission, AdmissionConfig, Balancer, ClassIndex, ClassPolicy, Decision, Offer, Outcome,
    QueuedDecision, WorkLength, WorkspaceIndex,
};
use galenapath_protocol::Micros;

const SHORT: ClassIndex = ClassIndex(0);
const LONG: ClassIndex = ClassIndex(1);
/// How long callers wait for an answer.
const PATIENCE: Micros = Micros::from_secs(1);

/// Admission of one instance.
pub(super) struct Gate {
    admission: Admission,
    /// The index of each caller, who is a workspace of their own.
    workspaces: Vec<WorkspaceIndex>,
    /// Requests sent and not yet answered.
    in_flight: u32,
}

impl Gate {
    pub(super) fn new(scenario: &Scenario, seed: u64) -> Self {
        let mut admission = Admission::new(AdmissionConfig::default(), seed);
        let has_long = scenario.pattern == Pattern::LongAmongShort;
        let way = 2 * scenario.deployment.client;
        let policy = |class, length, target: Time| ClassPolicy {
            class,
            length,
            target: Micros(target - way),
        };
        let short = policy(SHORT, WorkLength::Short, TARGET);
        let classes = [short, policy(LONG, WorkLength::Long, LONG_TARGET)];
        admission.set_classes(&classes[..1 + usize::from(has_long)]);
        let workspaces = (0..CALLERS).map(|i| admission.workspace_index(&i.to_string())).collect();
        Self { admission, workspaces, in_flight: 0 }
    }

    /// Tells admission and the balancer about each other.
    fn tell(&mut self, now: Micros, balancer: &mut Balancer) {
        balancer.set_waiting(self.admission.waiting() as u32);
        let free = balancer.free_slots(now);
        let crosses = free == 0 && balancer.choose_crossing(now).is_some();
        self.admission.set_capacity(now, self.in_flight + free.max(u32::from(crosses)));
    }

    fn offer(&mut self, now: Micros, req: usize, arrival: &Arrival) -> Decision {
        let class = if arrival.is_long { LONG } else { SHORT };
        let workspace = self.workspaces[arrival.caller];
        let offer = Offer { ticket: req as u64, class, workspace, deadline: now + PATIENCE };
        self.admission.offer(now, offer)
    }

    /// The load since the last call, as peers are told of it.
    pub(super) fn take_load(&mut self) -> f64 {
        self.admission.take_load()
    }

    /// An attempt came back; `ended` tells how if it was the last one.
    pub(super) fn answered(&mut self, now: Micros, req: usize, ended: Option<(Outcome, Micros)>) {
        self.in_flight -= 1;
        if let Some((outcome, latency)) = ended {
            self.admission.finish(now, req as u64, outcome, latency);
        }
    }
}

impl Sim {
    /// Asks admission about a request that has just come.
    pub(super) fn offer(&mut self, instance: usize, req: usize) {
        self.pump(instance);
        let now = Micros(self.now);
        let entry = &mut self.entries[instance];
        let Some(gate) = &mut entry.gate else { return };
        gate.tell(now, &mut entry.balancer);
        match gate.offer(now, req, &self.reqs[req].arrival) {
            Decision::Start => self.send_admitted(req),
            Decision::Wait => {}
            Decision::Reject(_) => self.turn_away(req),
        }
        self.pump(instance);
    }

    /// Carries out what admission decides, until it decides nothing more.
    pub(super) fn pump(&mut self, instance: usize) {
        let now = Micros(self.now);
        let mut steps = Vec::new();
        loop {
            let entry = &mut self.entries[instance];
            let Some(gate) = &mut entry.gate else { return };
            gate.tell(now, &mut entry.balancer);
            gate.admission.poll(now, &mut steps);
            if steps.is_empty() {
                return;
            }
            for step in steps.drain(..) {
                match step {
                    QueuedDecision::Start(req) => self.send_admitted(req as usize),
                    QueuedDecision::Reject(req, _) => self.turn_away(req as usize),
                }
            }
        }
    }

    /// Sends a request that was let in to the best server there is.
    pub(super) fn send_admitted(&mut self, req: usize) {
        let now = Micros(self.now);
        let entry = &mut self.entries[self.reqs[req].instance];
        let is_free = entry.balancer.free_slots(now) > 0;
        let crossing = if is_free { None } else { entry.balancer.choose_crossing(now) };
        let slot = crossing.or_else(|| entry.balancer.choose(now, &self.reqs[req].tried));
        let Some(gate) = &mut entry.gate else { return };
        match slot {
            Some(slot) => {
                gate.in_flight += 1;
                self.send(req, slot);
            }
            None => {
                gate.admission.finish(now, req as u64, Outcome::Failure, Micros::ZERO);
                self.turn_away(req);
            }
        }
    }

    fn turn_away(&mut self, req: usize) {
        let arrived = self.reqs[req].arrival.at;
        self.stats.reject(arrived);
        self.stats.told(arrived, self.now - arrived);
    }
}
