//! Admission of one service on one instance.
//!
//! Load pattern: everything between a short burst and a lasting overload. The queue is here and
//! not at the backend servers, where nothing in it could be taken back. A request starts if the
//! concurrency limit has room, waits if its predicted wait leaves enough of the class's target
//! and of the caller's deadline, and is otherwise turned away at once with the time to come back.
//! Without the prediction every request waits until its target is missed, and an overload that is
//! over goes on as a backlog.

use super::classes::Classes;
use super::config::AdmissionConfig;
use super::decision::{Decision, RejectReason, Step};
use super::fair_queue::Waiting;
use super::lane::Lane;
use super::limit::ConcurrencyLimit;
use super::offer::{ClassPolicy, Offer, Ticket, WorkLength, WorkspaceIndex};
use super::own_load::OwnLoad;
use super::returns::ReturnSchedule;
use super::workspaces::WorkspaceTable;
use crate::outcome::Outcome;
use galenapath_protocol::{FastMap, Micros};
use std::collections::BTreeSet;

/// Decides for one service on one instance which requests start, wait or are turned away.
///
/// Every offered ticket gets exactly one final step: a `Start` or `Reject` decision, or a
/// [`Step`] after `Wait`; a cancelled one gets none after the cancellation.
pub struct Admission {
    pub(super) cfg: AdmissionConfig,
    pub(super) classes: Classes,
    workspaces: WorkspaceTable,
    pub(super) limit: ConcurrencyLimit,
    short: Lane,
    long: Lane,
    /// Started and not yet finished or cancelled; as many as the lanes' `in_flight` together.
    running: FastMap<Ticket, Running>,
    /// Where each waiting ticket is.
    pub(super) places: FastMap<Ticket, Place>,
    /// When each waiting ticket is given up on.
    pub(super) give_ups: BTreeSet<(Micros, Ticket)>,
    /// Steps decided since the last `poll`.
    pub(super) pending: Vec<Step>,
    pub(super) returns: ReturnSchedule,
    own_load: OwnLoad,
    /// Whether long work was started last, while both lengths waited.
    long_went_last: bool,
    draining: bool,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    class: super::offer::ClassIndex,
    length: WorkLength,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Place {
    length: WorkLength,
    workspace: WorkspaceIndex,
    give_up_at: Micros,
}

impl Admission {
    /// A new admission; `seed` drives the jitter of the times told to rejected callers.
    pub fn new(cfg: AdmissionConfig, seed: u64) -> Self {
        Self {
            classes: Classes::default(),
            workspaces: WorkspaceTable::new(cfg.max_workspaces),
            limit: ConcurrencyLimit::new(cfg.limit.clone(), cfg.initial_slots),
            short: Lane::default(),
            long: Lane::default(),
            running: FastMap::default(),
            places: FastMap::default(),
            give_ups: BTreeSet::new(),
            pending: Vec::new(),
            returns: ReturnSchedule::new(cfg.min_retry_after, cfg.max_retry_after, seed),
            own_load: OwnLoad::default(),
            long_went_last: false,
            draining: false,
            cfg,
        }
    }

    /// Replaces the classes of the service. What waits keeps the target it came with.
    pub fn set_classes(&mut self, classes: &[ClassPolicy]) {
        self.classes.set(classes);
    }

    /// The index of a workspace; once the bound is reached, new names share one.
    pub fn workspace(&mut self, name: &str) -> WorkspaceIndex {
        self.workspaces.index(name)
    }

    /// Sets how many requests this instance may have in flight for the service now, as the balancer
    /// knows it: those that the balancer counts as its own in flight, and its free slots. Both have
    /// to come from the balancer: a request that was started here and is not sent yet would otherwise
    /// count as in flight while its slot still counts as free.
    pub fn set_capacity(&mut self, now: Micros, slots: u32) {
        self.limit.set_told(now, slots);
    }

    /// Sets how many slots the service has on all backend servers that take requests. Call it when
    /// the list of servers changes: the loss of servers is known then, while from latency alone it
    /// looks like work that has become slower, which does not lower the limit.
    pub fn set_service_slots(&mut self, now: Micros, slots: u32) {
        self.limit.set_service_slots(now, slots);
    }

    /// Turns new requests away (`true`) or takes them again; what waits is still served.
    pub fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Decides about a new request. Call `poll` afterwards if `next_wake` is in the past: room
    /// may have been made for it at the cost of others.
    pub fn offer(&mut self, now: Micros, offer: Offer) -> Decision {
        let length = self.classes.get(offer.class).policy.length;
        if self.draining {
            return self.turn_away(now, length, RejectReason::Draining);
        }
        if offer.deadline <= now {
            return self.turn_away(now, length, RejectReason::DeadlinePassed);
        }
        if self.lane(length).queue().is_empty() && self.has_slot(length) {
            self.own_load.let_in(offer.workspace);
            self.start(offer.ticket, Running { class: offer.class, length });
            return Decision::Start;
        }
        self.note_wait(now, length);
        match self.reason_to_reject(now, length, &offer) {
            Some(reason) => self.turn_away(now, length, reason),
            None => {
                self.enqueue(now, length, &offer);
                self.make_room(now, length);
                self.decision_after_wait(offer.ticket)
            }
        }
    }

    /// Appends the final steps that are due. Call after `finish`, `cancel` and `set_capacity`, and
    /// at `next_wake`.
    pub fn poll(&mut self, now: Micros, out: &mut Vec<Step>) {
        self.give_up(now);
        self.make_room(now, WorkLength::Short);
        self.make_room(now, WorkLength::Long);
        self.dispatch(now);
        out.append(&mut self.pending);
    }

    /// When `poll` has to be called next, if nothing else happens before. A time in the past means
    /// at once. Read it after every other call.
    pub fn next_wake(&self) -> Option<Micros> {
        if !self.pending.is_empty() {
            return Some(Micros::ZERO);
        }
        self.give_ups.first().map(|(at, _)| *at)
    }

    /// A request that was started has ended; `latency` counts from its start.
    pub fn finish(&mut self, now: Micros, ticket: Ticket, outcome: Outcome, latency: Micros) {
        let in_flight = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        let Some(running) = self.stop(ticket) else { return };
        match outcome {
            Outcome::Answered => {
                let excess = self.classes.get(running.class).latency.observe(now, latency);
                self.lane_mut(running.length).answered(latency);
                self.limit.answered(now, excess, in_flight);
            }
            Outcome::Shed | Outcome::TimedOut => self.limit.refused(now, in_flight),
            Outcome::FastFailure | Outcome::Failure | Outcome::Cancelled => {}
        }
    }

    /// The caller went away while its request waited or ran. No step follows for it.
    pub fn cancel(&mut self, now: Micros, ticket: Ticket) {
        self.stop(ticket);
        self.withdraw(now, ticket);
        self.pending.retain(|step| step.ticket() != ticket);
    }

    /// The load to tell peers for the choice of addresses: requests let in since the last call, of
    /// each workspace at most twice the mean of all. What was turned away makes no work, and what a
    /// workspace has beyond the others makes room for them.
    pub fn take_load(&mut self) -> f64 {
        self.own_load.take()
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> usize {
        self.running.len()
    }

    /// Requests waiting.
    pub fn waiting(&self) -> usize {
        self.places.len()
    }

    /// Whether a request may start without waiting: something to ask before a hedge, which takes a
    /// slot from nobody then.
    pub fn has_room(&self) -> bool {
        self.places.is_empty() && self.running.len() < self.limit.get() as usize
    }

    /// The current limit on requests in flight.
    pub fn limit(&self) -> u32 {
        self.limit.get()
    }

    pub(super) fn lane(&self, length: WorkLength) -> &Lane {
        match length {
            WorkLength::Short => &self.short,
            WorkLength::Long => &self.long,
        }
    }

    pub(super) fn lane_mut(&mut self, length: WorkLength) -> &mut Lane {
        match length {
            WorkLength::Short => &mut self.short,
            WorkLength::Long => &mut self.long,
        }
    }

    /// Slots that requests of the length may take; at least one.
    pub(super) fn slots(&self, length: WorkLength) -> u32 {
        match length {
            WorkLength::Long if self.classes.are_mixed() => self.known_share(self.cfg.long_share),
            WorkLength::Long | WorkLength::Short => self.limit.get(),
        }
    }

    /// A part of the slots that the balancer knows of; at least one.
    fn known_share(&self, share: f64) -> u32 {
        ((f64::from(self.limit.known_slots()) * share) as u32).max(1)
    }

    fn has_slot(&self, length: WorkLength) -> bool {
        let is_free = self.running.len() < self.limit.get() as usize;
        let is_within = self.lane(length).in_flight < self.slots(length);
        is_free && is_within && (length == WorkLength::Short || self.leaves_reserve())
    }

    /// Whether long work may start without taking the slots that are kept free for short work.
    fn leaves_reserve(&self) -> bool {
        let is_off = self.cfg.short_reserve == 0.0 || !self.classes.are_mixed();
        if is_off || self.long.in_flight < self.long_floor() {
            return true;
        }
        let reserved = self.known_share(self.cfg.short_reserve) as usize;
        self.running.len() + reserved < self.limit.known_slots() as usize
    }

    /// Requests of long work that may be in flight whatever short work needs; at least one.
    fn long_floor(&self) -> u32 {
        (f64::from(self.limit.get()) * self.cfg.long_floor).ceil() as u32
    }

    fn start(&mut self, ticket: Ticket, running: Running) {
        self.running.insert(ticket, running);
        self.lane_mut(running.length).in_flight += 1;
    }

    fn stop(&mut self, ticket: Ticket) -> Option<Running> {
        let running = self.running.remove(&ticket)?;
        self.lane_mut(running.length).in_flight -= 1;
        Some(running)
    }

    pub(super) fn shared(&self, workspace: WorkspaceIndex) -> WorkspaceIndex {
        if self.cfg.fair_shares { workspace } else { WorkspaceIndex(0) }
    }

    fn enqueue(&mut self, now: Micros, length: WorkLength, offer: &Offer) {
        let class = self.classes.get(offer.class);
        let mean = class.latency.mean();
        let allowed = class.allowed_wait(self.cfg.min_wait_share);
        let by_target = if self.cfg.early_rejection { now + allowed } else { offer.deadline };
        let give_up_at = by_target.min(offer.deadline - mean).max(now);
        let workspace = self.shared(offer.workspace);
        let cost = mean.0.max(1);
        let waiting = Waiting { ticket: offer.ticket, class: offer.class, cost, give_up_at };
        self.lane_mut(length).push(now, workspace, waiting);
        self.places.insert(offer.ticket, Place { length, workspace, give_up_at });
        self.give_ups.insert((give_up_at, offer.ticket));
    }

    /// The decision about a request that was just queued: it may have been the one that had to
    /// make room.
    fn decision_after_wait(&mut self, ticket: Ticket) -> Decision {
        match self.pending.pop_if(|step| step.ticket() == ticket) {
            Some(Step::Reject(_, rejection)) => Decision::Reject(rejection),
            Some(Step::Start(_)) => Decision::Start,
            None => Decision::Wait,
        }
    }

    /// Takes a waiting ticket out of everything; its lane if it waited.
    pub(super) fn withdraw(&mut self, now: Micros, ticket: Ticket) -> Option<WorkLength> {
        let place = self.forget_place(ticket)?;
        self.lane_mut(place.length).remove(now, place.workspace, ticket);
        Some(place.length)
    }

    pub(super) fn forget_place(&mut self, ticket: Ticket) -> Option<Place> {
        let place = self.places.remove(&ticket)?;
        self.give_ups.remove(&(place.give_up_at, ticket));
        Some(place)
    }

    fn dispatch(&mut self, now: Micros) {
        while let Some(length) = self.next_length() {
            let Some(waiting) = self.lane_mut(length).pop(now) else { return };
            self.long_went_last = length == WorkLength::Long;
            if let Some(place) = self.forget_place(waiting.ticket) {
                self.own_load.let_in(place.workspace);
            }
            self.start(waiting.ticket, Running { class: waiting.class, length });
            self.pending.push(Step::Start(waiting.ticket));
            self.note_wait(now, length);
        }
    }

    /// The length of work that starts next: short before long, except that long work has a floor,
    /// up to which the two alternate.
    fn next_length(&self) -> Option<WorkLength> {
        let can_start = |length| !self.lane(length).queue().is_empty() && self.has_slot(length);
        let long_is_due = self.long.in_flight < self.long_floor() && !self.long_went_last;
        match (can_start(WorkLength::Short), can_start(WorkLength::Long)) {
            (true, true) if long_is_due => Some(WorkLength::Long),
            (true, _) => Some(WorkLength::Short),
            (false, true) => Some(WorkLength::Long),
            (false, false) => None,
        }
    }
}
