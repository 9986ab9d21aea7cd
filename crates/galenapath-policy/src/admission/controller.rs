//! Admission control for one service on one instance.
//!
//! Load pattern: anything from a short burst to a lasting overload. Requests are queued here and
//! not at the backend servers, because a request that was sent cannot be taken back. A request
//! starts if the concurrency limit allows it, waits if its predicted wait leaves enough of the
//! class's target and of the caller's deadline, and is otherwise rejected at once with a
//! retry-after time. Without the prediction, every request would wait until its target is missed,
//! and the backlog of an overload would outlast it.

use super::admitted_load::AdmittedLoad;
use super::classes::Classes;
use super::config::AdmissionConfig;
use super::decision::{Decision, QueuedDecision, RejectReason};
use super::fair_queue::QueuedRequest;
use super::lane::Lane;
use super::limit::ConcurrencyLimit;
use super::offer::{ClassPolicy, Offer, Ticket, WorkLength, WorkspaceIndex};
use super::retry_after::RetrySchedule;
use super::workspaces::WorkspaceTable;
use crate::outcome::Outcome;
use galenapath_protocol::{FastMap, Micros};
use std::collections::BTreeSet;

/// Decides for one service on one instance which requests start, wait or are rejected.
///
/// Every offered ticket gets exactly one final decision: `Start` or `Reject`, or a
/// [`QueuedDecision`] after `Wait`. A cancelled ticket gets none after the cancellation.
pub struct Admission {
    pub(super) cfg: AdmissionConfig,
    pub(super) classes: Classes,
    workspaces: WorkspaceTable,
    pub(super) limit: ConcurrencyLimit,
    short: Lane,
    long: Lane,
    /// Requests that have started and have not been finished or cancelled; as many as the sum of
    /// the lanes' `in_flight`.
    running: FastMap<Ticket, Running>,
    /// The queue entry of each waiting ticket.
    pub(super) queued: FastMap<Ticket, QueueEntry>,
    /// Waiting tickets by the time at which they are rejected.
    pub(super) expirations: BTreeSet<(Micros, Ticket)>,
    /// Decisions made since the last `poll`.
    pub(super) pending: Vec<QueuedDecision>,
    pub(super) retries: RetrySchedule,
    admitted_load: AdmittedLoad,
    /// Whether the last request started from the queue was long work.
    was_last_long: bool,
    draining: bool,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    class: super::offer::ClassIndex,
    length: WorkLength,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct QueueEntry {
    length: WorkLength,
    workspace: WorkspaceIndex,
    expires_at: Micros,
}

impl Admission {
    /// Creates an admission control; `seed` determines the jitter of the retry-after times.
    pub fn new(cfg: AdmissionConfig, seed: u64) -> Self {
        Self {
            classes: Classes::default(),
            workspaces: WorkspaceTable::new(cfg.max_workspaces),
            limit: ConcurrencyLimit::new(cfg.limit.clone(), cfg.initial_slots),
            short: Lane::default(),
            long: Lane::default(),
            running: FastMap::default(),
            queued: FastMap::default(),
            expirations: BTreeSet::new(),
            pending: Vec::new(),
            retries: RetrySchedule::new(cfg.min_retry_after, cfg.max_retry_after, seed),
            admitted_load: AdmittedLoad::default(),
            was_last_long: false,
            draining: false,
            cfg,
        }
    }

    /// Replaces the classes of the service. Queued requests keep the target that they arrived with.
    pub fn set_classes(&mut self, classes: &[ClassPolicy]) {
        self.classes.set(classes);
    }

    /// Returns the index of a workspace. Once the maximum number is reached, new names share one
    /// index.
    pub fn workspace_index(&mut self, name: &str) -> WorkspaceIndex {
        self.workspaces.index(name)
    }

    /// Sets the number of requests that this instance may have in flight for the service, as stated
    /// by the balancer: the balancer's own count of requests in flight plus its free slots.
    ///
    /// Both numbers have to come from the balancer. Otherwise a request that has started here and
    /// is not sent yet would count as in flight while its slot still counts as free.
    pub fn set_capacity(&mut self, now: Micros, slots: u32) {
        self.limit.set_balancer_slots(now, slots);
    }

    /// Sets the number of slots of the service on all backend servers that accept requests.
    ///
    /// Call it when the list of servers changes. Judged by latency alone, a loss of servers cannot
    /// be distinguished from slower work, which does not lower the limit.
    pub fn set_service_slots(&mut self, now: Micros, slots: u32) {
        self.limit.set_service_slots(now, slots);
    }

    /// Rejects new requests (`true`) or accepts them again. Requests in the queue are still served.
    pub fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Decides on a new request. Call `poll` afterwards if `next_wake` is in the past: other
    /// requests may have been rejected to make room for this one.
    pub fn offer(&mut self, now: Micros, offer: Offer) -> Decision {
        let length = self.classes.get(offer.class).policy.length;
        if self.draining {
            return self.reject(now, length, RejectReason::Draining);
        }
        if offer.deadline <= now {
            return self.reject(now, length, RejectReason::DeadlinePassed);
        }
        if self.lane(length).queue().is_empty() && self.has_slot(length) {
            self.admitted_load.record(offer.workspace);
            self.start(offer.ticket, Running { class: offer.class, length });
            return Decision::Start;
        }
        self.observe_wait(now, length);
        match self.reason_to_reject(now, length, &offer) {
            Some(reason) => self.reject(now, length, reason),
            None => {
                self.enqueue(now, length, &offer);
                self.trim_queue(now, length);
                self.decision_after_enqueue(offer.ticket)
            }
        }
    }

    /// Appends the decisions on queued requests that are due. Call it after `finish`, `cancel` and
    /// `set_capacity`, and at `next_wake`.
    pub fn poll(&mut self, now: Micros, out: &mut Vec<QueuedDecision>) {
        self.expire(now);
        self.trim_queue(now, WorkLength::Short);
        self.trim_queue(now, WorkLength::Long);
        self.dispatch(now);
        out.append(&mut self.pending);
    }

    /// Returns the time at which `poll` has to be called if no other call is made before; a time in
    /// the past means immediately. Read it after every other call.
    pub fn next_wake(&self) -> Option<Micros> {
        if !self.pending.is_empty() {
            return Some(Micros::ZERO);
        }
        self.expirations.first().map(|(at, _)| *at)
    }

    /// Records the end of a started request; `latency` is the time since its start.
    pub fn finish(&mut self, now: Micros, ticket: Ticket, outcome: Outcome, latency: Micros) {
        let in_flight = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        let Some(running) = self.stop(ticket) else { return };
        match outcome {
            Outcome::Answered => {
                let excess = self.classes.get(running.class).latency.observe(now, latency);
                self.lane_mut(running.length).observe_latency(latency);
                self.limit.record_answer(now, excess, in_flight);
            }
            Outcome::Shed | Outcome::TimedOut => self.limit.record_shed(now, in_flight),
            Outcome::FastFailure | Outcome::Failure | Outcome::Cancelled => {}
        }
    }

    /// Removes a request whose caller disconnected while it was queued or running. No decision
    /// follows for it.
    pub fn cancel(&mut self, now: Micros, ticket: Ticket) {
        self.stop(ticket);
        self.remove_queued(now, ticket);
        self.pending.retain(|decision| decision.ticket() != ticket);
    }

    /// Returns the load to report to peers, which use it to choose the addresses given to callers:
    /// the number of requests admitted since the last call, counting at most twice the mean of all
    /// workspaces for each.
    ///
    /// Rejected requests cause no work, and the requests of a workspace far above the others do not
    /// delay those of other workspaces.
    pub fn take_load(&mut self) -> f64 {
        self.admitted_load.take()
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of queued requests.
    pub fn waiting(&self) -> usize {
        self.queued.len()
    }

    /// Returns whether a request may start without waiting. Checked before a hedge, which then
    /// takes no slot from another request.
    pub fn has_room(&self) -> bool {
        self.queued.is_empty() && self.running.len() < self.limit.get() as usize
    }

    /// Returns the current limit on requests in flight.
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

    /// Returns the number of slots that requests of the length may use; at least one.
    pub(super) fn slots(&self, length: WorkLength) -> u32 {
        match length {
            WorkLength::Long if self.classes.are_mixed() => self.known_share(self.cfg.long_share),
            WorkLength::Long | WorkLength::Short => self.limit.get(),
        }
    }

    /// Returns a fraction of the slots known to the balancer; at least one.
    fn known_share(&self, share: f64) -> u32 {
        ((f64::from(self.limit.known_slots()) * share) as u32).max(1)
    }

    fn has_slot(&self, length: WorkLength) -> bool {
        let is_free = self.running.len() < self.limit.get() as usize;
        let is_within = self.lane(length).in_flight < self.slots(length);
        is_free && is_within && (length == WorkLength::Short || self.leaves_reserve())
    }

    /// Returns whether long work may start without taking the slots reserved for short work.
    fn leaves_reserve(&self) -> bool {
        let is_disabled = self.cfg.short_reserve == 0.0 || !self.classes.are_mixed();
        if is_disabled || self.long.in_flight < self.long_floor() {
            return true;
        }
        let reserved = self.known_share(self.cfg.short_reserve) as usize;
        self.running.len() + reserved < self.limit.known_slots() as usize
    }

    /// Returns the number of long requests that may be in flight regardless of short work; at least
    /// one.
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

    /// Returns the index of the queue that holds the requests of a workspace.
    pub(super) fn queue_index(&self, workspace: WorkspaceIndex) -> WorkspaceIndex {
        if self.cfg.fair_shares { workspace } else { WorkspaceIndex(0) }
    }

    fn enqueue(&mut self, now: Micros, length: WorkLength, offer: &Offer) {
        let class = self.classes.get(offer.class);
        let mean = class.latency.mean();
        let allowed = class.allowed_wait(self.cfg.min_wait_share);
        let by_target = if self.cfg.early_rejection { now + allowed } else { offer.deadline };
        let expires_at = by_target.min(offer.deadline - mean).max(now);
        let workspace = self.queue_index(offer.workspace);
        let cost = mean.0.max(1);
        let req = QueuedRequest { ticket: offer.ticket, class: offer.class, cost, expires_at };
        self.lane_mut(length).push(now, workspace, req);
        self.queued.insert(offer.ticket, QueueEntry { length, workspace, expires_at });
        self.expirations.insert((expires_at, offer.ticket));
    }

    /// Returns the decision on a request that was just queued: it may itself have been rejected
    /// when the queue was trimmed.
    fn decision_after_enqueue(&mut self, ticket: Ticket) -> Decision {
        match self.pending.pop_if(|decision| decision.ticket() == ticket) {
            Some(QueuedDecision::Reject(_, rejection)) => Decision::Reject(rejection),
            Some(QueuedDecision::Start(_)) => Decision::Start,
            None => Decision::Wait,
        }
    }

    /// Removes a waiting ticket from all queues and returns its work length; `None` if it was not
    /// waiting.
    pub(super) fn remove_queued(&mut self, now: Micros, ticket: Ticket) -> Option<WorkLength> {
        let entry = self.remove_entry(ticket)?;
        self.lane_mut(entry.length).remove(now, entry.workspace, ticket);
        Some(entry.length)
    }

    /// Removes the entry of a ticket that has left its queue.
    pub(super) fn remove_entry(&mut self, ticket: Ticket) -> Option<QueueEntry> {
        let entry = self.queued.remove(&ticket)?;
        self.expirations.remove(&(entry.expires_at, ticket));
        Some(entry)
    }

    fn dispatch(&mut self, now: Micros) {
        while let Some(length) = self.next_length() {
            let Some(req) = self.lane_mut(length).pop(now) else { return };
            self.was_last_long = length == WorkLength::Long;
            if let Some(entry) = self.remove_entry(req.ticket) {
                self.admitted_load.record(entry.workspace);
            }
            self.start(req.ticket, Running { class: req.class, length });
            self.pending.push(QueuedDecision::Start(req.ticket));
            self.observe_wait(now, length);
        }
    }

    /// Returns the length of work that starts next: short before long, except that the two
    /// alternate while long work is below its floor.
    fn next_length(&self) -> Option<WorkLength> {
        let can_start = |length| !self.lane(length).queue().is_empty() && self.has_slot(length);
        let long_is_due = self.long.in_flight < self.long_floor() && !self.was_last_long;
        match (can_start(WorkLength::Short), can_start(WorkLength::Long)) {
            (true, true) if long_is_due => Some(WorkLength::Long),
            (true, _) => Some(WorkLength::Short),
            (false, true) => Some(WorkLength::Long),
            (false, false) => None,
        }
    }
}
