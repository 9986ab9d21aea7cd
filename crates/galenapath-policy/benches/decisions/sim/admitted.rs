//! Requests that pass through admission before the balancer, as on an entry instance.

use super::Sim;
use crate::scenario::{LONG_TARGET, Pattern, TARGET};
use galenapath_policy::{
    Admission, AdmissionConfig, ClassIndex, ClassPolicy, Decision, Offer, Outcome, Step, WorkLength,
};
use galenapath_protocol::Micros;

const SHORT: ClassIndex = ClassIndex(0);
const LONG: ClassIndex = ClassIndex(1);
/// Callers give up after this.
const PATIENCE: Micros = Micros::from_millis(500);

/// The classes of the pattern.
fn classes(pattern: Pattern) -> Vec<ClassPolicy> {
    let short = ClassPolicy { class: SHORT, length: WorkLength::Short, target: Micros(TARGET) };
    let long = ClassPolicy { class: LONG, length: WorkLength::Long, target: Micros(LONG_TARGET) };
    if pattern == Pattern::LongAmongShort { vec![short, long] } else { vec![short] }
}

impl Sim {
    /// A request has come to an instance with admission.
    pub(super) fn offer(&mut self, req: usize) {
        let instance = self.reqs[req].instance;
        let offer = self.make_offer(req);
        self.tell_capacity(instance);
        let entry = &mut self.entries[instance];
        match entry.admission.offer(Micros(self.now), offer) {
            Decision::Start => self.start_admitted(req),
            Decision::Wait => self.cross_admitted(req),
            Decision::Reject(_) => self.turn_away(req),
        }
        self.poll(instance);
    }

    fn make_offer(&mut self, req: usize) -> Offer {
        let arrival = self.reqs[req].arrival;
        let name = format!("w{}", arrival.caller);
        Offer {
            ticket: req as u64,
            class: if arrival.is_long { LONG } else { SHORT },
            workspace: self.entries[self.reqs[req].instance].admission.workspace(&name),
            deadline: Micros(arrival.at) + PATIENCE.max(Micros(arrival.target())),
        }
    }

    /// Tells admission how many requests may be in flight, as the balancer knows it.
    fn tell_capacity(&mut self, instance: usize) {
        let now = Micros(self.now);
        let entry = &mut self.entries[instance];
        entry.balancer.set_waiting(entry.admission.waiting() as u32);
        let in_flight = entry.admission.in_flight() as u32;
        let free = entry.balancer.free_slots(now);
        entry.admission.set_capacity(now, in_flight + free);
    }

    /// Starts and turns away what is due.
    pub(super) fn poll(&mut self, instance: usize) {
        let mut steps = Vec::new();
        loop {
            self.tell_capacity(instance);
            self.entries[instance].admission.poll(Micros(self.now), &mut steps);
            if steps.is_empty() {
                return;
            }
            for step in steps.drain(..) {
                match step {
                    Step::Start(ticket) => self.start_admitted(ticket as usize),
                    Step::Reject(ticket, _) => self.turn_away(ticket as usize),
                }
            }
        }
    }

    /// Sends a request that has just come past the queue when it had better cross than wait.
    /// Admission no longer counts it: the balancer does.
    fn cross_admitted(&mut self, req: usize) {
        let now = Micros(self.now);
        let entry = &mut self.entries[self.reqs[req].instance];
        entry.balancer.set_waiting(entry.admission.waiting() as u32);
        if let Some(slot) = entry.balancer.choose_crossing(now) {
            entry.admission.cancel(now, req as u64);
            self.send(req, slot);
        }
    }

    /// Sends a request that admission has started, the first time or again.
    pub(super) fn start_admitted(&mut self, req: usize) {
        let entry = &mut self.entries[self.reqs[req].instance];
        match entry.balancer.choose(Micros(self.now), &self.reqs[req].tried) {
            Some(slot) => self.send(req, slot),
            None => {
                self.end_admitted(req, Outcome::Cancelled);
                self.turn_away(req);
            }
        }
    }

    /// The request has its final answer.
    pub(super) fn end_admitted(&mut self, req: usize, outcome: Outcome) {
        let now = Micros(self.now);
        let latency = now - Micros(self.reqs[req].sent_at);
        let entry = &mut self.entries[self.reqs[req].instance];
        entry.admission.finish(now, req as u64, outcome, latency);
    }

    fn turn_away(&mut self, req: usize) {
        let at = self.reqs[req].arrival.at;
        self.stats.reject(at);
        self.stats.told(at, self.now - at);
    }
}

/// An admission for the pattern.
pub fn admission(pattern: Pattern, seed: u64) -> Admission {
    let mut admission = Admission::new(AdmissionConfig::default(), seed);
    admission.set_classes(&classes(pattern));
    admission
}
