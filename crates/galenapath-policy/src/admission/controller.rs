//! Admission of one service on one instance.

use super::config::AdmissionConfig;
use super::decision::{Decision, RejectReason, Rejection, Step};
use super::offer::{ClassPolicy, Offer, Ticket, WorkspaceIndex};
use crate::outcome::Outcome;
use galenapath_protocol::{FastMap, FastSet, Micros};
use std::collections::VecDeque;

/// Decides for one service on one instance which requests start, wait or are turned away.
pub struct Admission {
    cfg: AdmissionConfig,
    slots: u32,
    waiting: VecDeque<Offer>,
    in_flight: FastSet<Ticket>,
    workspaces: FastMap<Box<str>, WorkspaceIndex>,
    draining: bool,
}

impl Admission {
    /// A new admission; `seed` drives the jitter of the times told to rejected callers.
    pub fn new(cfg: AdmissionConfig, _seed: u64) -> Self {
        let slots = cfg.initial_slots;
        Self {
            cfg,
            slots,
            waiting: VecDeque::new(),
            in_flight: FastSet::default(),
            workspaces: FastMap::default(),
            draining: false,
        }
    }

    /// Replaces the classes of the service.
    pub fn set_classes(&mut self, _classes: &[ClassPolicy]) {}

    /// The index of a workspace; once the bound is reached, new names share index zero.
    pub fn workspace(&mut self, name: &str) -> WorkspaceIndex {
        if let Some(index) = self.workspaces.get(name) {
            return *index;
        }
        if self.workspaces.len() + 1 >= self.cfg.max_workspaces {
            return WorkspaceIndex(0);
        }
        let index = WorkspaceIndex(u32::try_from(self.workspaces.len() + 1).unwrap_or(0));
        self.workspaces.insert(name.into(), index);
        index
    }

    /// Sets how many requests this instance may have in flight for the service.
    pub fn set_capacity(&mut self, _now: Micros, slots: u32) {
        self.slots = slots.max(1);
    }

    /// Turns new requests away (`true`) or takes them again; what waits is still served.
    pub fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Decides about a new request.
    pub fn offer(&mut self, now: Micros, offer: Offer) -> Decision {
        if self.draining {
            return Decision::Reject(self.rejection(RejectReason::Draining));
        }
        if offer.deadline <= now {
            return Decision::Reject(self.rejection(RejectReason::DeadlinePassed));
        }
        if self.waiting.is_empty() && self.has_slot() {
            self.in_flight.insert(offer.ticket);
            return Decision::Start;
        }
        if self.waiting.len() >= self.cfg.max_waiting {
            return Decision::Reject(self.rejection(RejectReason::QueueFull));
        }
        self.waiting.push_back(offer);
        Decision::Wait
    }

    /// Appends the final steps that are due; call after `finish`, `cancel` and `set_capacity`, and
    /// at `next_wake`.
    pub fn poll(&mut self, now: Micros, out: &mut Vec<Step>) {
        let rejection = self.rejection(RejectReason::DeadlinePassed);
        self.waiting.retain(|offer| {
            let keep = offer.deadline > now;
            if !keep {
                out.push(Step::Reject(offer.ticket, rejection));
            }
            keep
        });
        while self.has_slot() {
            let Some(offer) = self.waiting.pop_front() else { break };
            self.in_flight.insert(offer.ticket);
            out.push(Step::Start(offer.ticket));
        }
    }

    /// When `poll` has to be called next, if nothing else happens before. May be in the past, which
    /// means at once; read it after every other call.
    pub fn next_wake(&self) -> Option<Micros> {
        self.waiting.iter().map(|offer| offer.deadline).min()
    }

    /// A request that was started has ended; `latency` counts from its start.
    pub fn finish(&mut self, _now: Micros, ticket: Ticket, _outcome: Outcome, _latency: Micros) {
        self.in_flight.remove(&ticket);
    }

    /// The caller went away while its request waited or ran. No step follows for it.
    pub fn cancel(&mut self, _now: Micros, ticket: Ticket) {
        self.in_flight.remove(&ticket);
        self.waiting.retain(|offer| offer.ticket != ticket);
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Requests waiting.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn has_slot(&self) -> bool {
        self.in_flight.len() < self.slots as usize
    }

    fn rejection(&self, reason: RejectReason) -> Rejection {
        Rejection { reason, retry_after: self.cfg.min_retry_after }
    }
}
