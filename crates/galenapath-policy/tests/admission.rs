//! Invariants of admission for arbitrary sequences of calls.

use galenapath_policy::{
    Admission, AdmissionConfig, ClassIndex, ClassPolicy, Decision, Offer, Outcome, QueuedDecision,
    RejectReason, Ticket, WorkLength,
};
use galenapath_protocol::Micros;
use proptest::prelude::*;
use std::collections::BTreeSet;

const SHORT: ClassPolicy = ClassPolicy {
    class: ClassIndex(0),
    length: WorkLength::Short,
    target: Micros::from_millis(50),
};
const LONG: ClassPolicy =
    ClassPolicy { class: ClassIndex(1), length: WorkLength::Long, target: Micros::from_secs(2) };
const MAX_WAITING: usize = 16;

#[derive(Clone, Debug)]
enum Call {
    Offer { workspace: u8, long: bool, timeout_ms: u64 },
    Finish { nth: usize, outcome: Outcome, latency_us: u64 },
    Cancel { nth: usize },
    SetCapacity(u32),
    Advance { us: u64 },
}

fn outcome() -> impl Strategy<Value = Outcome> {
    prop_oneof![
        6 => Just(Outcome::Answered),
        1 => Just(Outcome::Shed),
        1 => Just(Outcome::FastFailure),
        1 => Just(Outcome::Failure),
        1 => Just(Outcome::TimedOut),
        1 => Just(Outcome::Cancelled),
    ]
}

fn call() -> impl Strategy<Value = Call> {
    prop_oneof![
        8 => (0..5_u8, any::<bool>(), 0..200_u64)
            .prop_map(|(workspace, long, timeout_ms)| Call::Offer { workspace, long, timeout_ms }),
        5 => (any::<usize>(), outcome(), 1..300_000_u64)
            .prop_map(|(nth, outcome, latency_us)| Call::Finish { nth, outcome, latency_us }),
        1 => any::<usize>().prop_map(|nth| Call::Cancel { nth }),
        1 => (0..20_u32).prop_map(Call::SetCapacity),
        4 => (0..20_000_u64).prop_map(|us| Call::Advance { us }),
    ]
}

/// Admission and the state of each ticket as its user knows it.
struct Model {
    admission: Admission,
    now: Micros,
    next: Ticket,
    waiting: BTreeSet<Ticket>,
    running: BTreeSet<Ticket>,
}

impl Model {
    fn new() -> Self {
        let cfg = AdmissionConfig { max_waiting: MAX_WAITING, ..AdmissionConfig::default() };
        let mut admission = Admission::new(cfg, 1);
        admission.set_classes(&[SHORT, LONG]);
        let (waiting, running) = Default::default();
        Self { admission, now: Micros::ZERO, next: 0, waiting, running }
    }

    fn apply(&mut self, call: Call) {
        // After some offers other calls are made before the next poll.
        let is_polled = !matches!(call, Call::Offer { workspace: 0, .. });
        match call {
            Call::Offer { workspace, long, timeout_ms } => {
                self.offer(workspace, if long { LONG } else { SHORT }, timeout_ms);
            }
            Call::Finish { nth, outcome, latency_us } => self.finish(nth, outcome, latency_us),
            Call::Cancel { nth } => self.cancel(nth),
            Call::SetCapacity(slots) => self.admission.set_capacity(self.now, slots),
            Call::Advance { us } => self.now = self.now + Micros(us),
        }
        assert!(
            self.admission.waiting() <= 2 * MAX_WAITING,
            "queue of a work length over its bound"
        );
        if !is_polled {
            return;
        }
        self.poll();
        assert_eq!(self.admission.waiting(), self.waiting.len());
        assert_eq!(self.admission.in_flight(), self.running.len());
    }

    fn offer(&mut self, workspace: u8, class: ClassPolicy, timeout_ms: u64) {
        let ticket = self.next;
        self.next += 1;
        let workspace = self.admission.workspace_index(&workspace.to_string());
        let deadline = self.now + Micros::from_millis(timeout_ms);
        let offer = Offer { ticket, class: class.class, workspace, deadline };
        match self.admission.offer(self.now, offer) {
            Decision::Start => self.start(ticket),
            Decision::Wait => assert!(self.waiting.insert(ticket)),
            Decision::Reject(rejection) => assert!(rejection.retry_after > Micros::ZERO),
        }
    }

    fn start(&mut self, ticket: Ticket) {
        assert!(self.running.insert(ticket));
        assert!(self.running.len() <= self.admission.limit() as usize, "started over the limit");
    }

    fn finish(&mut self, nth: usize, outcome: Outcome, latency_us: u64) {
        let Some(ticket) = nth_of(&self.running, nth) else { return };
        self.running.remove(&ticket);
        self.admission.finish(self.now, ticket, outcome, Micros(latency_us));
    }

    fn cancel(&mut self, nth: usize) {
        let all: BTreeSet<Ticket> = self.waiting.union(&self.running).copied().collect();
        let Some(ticket) = nth_of(&all, nth) else { return };
        self.waiting.remove(&ticket);
        self.running.remove(&ticket);
        self.admission.cancel(self.now, ticket);
    }

    fn poll(&mut self) {
        let mut decisions = Vec::new();
        self.admission.poll(self.now, &mut decisions);
        for decision in decisions {
            assert!(self.waiting.remove(&decision.ticket()), "more than one decision for a ticket");
            if let QueuedDecision::Start(ticket) = decision {
                self.start(ticket);
            }
        }
    }
}

fn nth_of(tickets: &BTreeSet<Ticket>, nth: usize) -> Option<Ticket> {
    tickets.iter().nth(nth % tickets.len().max(1)).copied()
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn admission_invariants_kept(calls in prop::collection::vec(call(), 1..400)) {
        let mut model = Model::new();
        for call in calls {
            model.apply(call);
        }
        // Every queued request is decided on without further offers.
        for _ in 0..2 * MAX_WAITING + 64 {
            model.apply(Call::Finish { nth: 0, outcome: Outcome::Answered, latency_us: 1_000 });
        }
        prop_assert_eq!(model.admission.waiting(), 0);
        prop_assert_eq!(model.admission.in_flight(), 0);
        prop_assert_eq!(model.admission.next_wake(), None);
    }

    #[test]
    fn next_wake_ends_every_wait(calls in prop::collection::vec(call(), 1..200)) {
        let mut model = Model::new();
        for call in calls {
            model.apply(call);
        }
        // No request finishes any more, so that all queued requests are decided on at wake times.
        while let Some(at) = model.admission.next_wake() {
            model.now = model.now.max(at);
            model.poll();
        }
        prop_assert_eq!(model.admission.waiting(), 0);
    }
}

#[test]
fn offer_rejected_while_draining() {
    let mut model = Model::new();
    model.admission.set_draining(true);
    let workspace = model.admission.workspace_index("a");
    let deadline = Micros::from_secs(1);
    let offer = Offer { ticket: 1, class: SHORT.class, workspace, deadline };
    let Decision::Reject(rejection) = model.admission.offer(Micros::ZERO, offer) else {
        panic!("admitted while draining");
    };
    assert_eq!(rejection.reason, RejectReason::Draining);
}

#[test]
fn workspace_number_bounded() {
    let cfg = AdmissionConfig { max_workspaces: 4, ..AdmissionConfig::default() };
    let mut admission = Admission::new(cfg, 1);
    let mut index = |name: &str| admission.workspace_index(name);
    let known = [index("a"), index("b"), index("c")];
    assert_eq!(index("d"), index("e"), "names beyond the bound share an index");
    assert_eq!([index("a"), index("b"), index("c")], known);
}

#[test]
fn take_load_heavy_workspace_bounded() {
    let mut model = Model::new();
    model.admission.set_capacity(Micros::ZERO, 100);
    for workspace in [0, 0, 0, 0, 0, 0, 1, 2] {
        model.offer(workspace, SHORT, 200);
    }
    let twice_the_mean = 2.0 * 8.0 / 3.0;
    assert_eq!(model.admission.take_load(), twice_the_mean + 2.0);
    assert_eq!(model.admission.take_load(), 0.0);
}

/// Counts starts per work length while requests of both lengths are always queued.
#[test]
fn long_work_not_starved() {
    for slots in [1, 2, 8] {
        let mut model = Model::new();
        model.admission.set_capacity(Micros::ZERO, slots);
        let (mut short, mut long) = (0, 0);
        for _ in 0..2_000 {
            model.now = model.now + Micros(500);
            model.offer(0, SHORT, 200);
            model.offer(0, LONG, 200);
            let before = model.running.clone();
            model.finish(0, Outcome::Answered, 1_000);
            model.poll();
            for ticket in model.running.difference(&before) {
                *(if ticket % 2 == 0 { &mut short } else { &mut long }) += 1;
            }
        }
        assert!(long > 200 && short > 200, "{slots} slots: {short} short and {long} long starts");
    }
}
