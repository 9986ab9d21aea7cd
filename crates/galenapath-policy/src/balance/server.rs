//! State of one backend server in a balancer.

use super::health::{Health, HealthEvent};
use super::latency::{LateLimits, Lateness};
use super::load::OthersLoad;
use crate::measure::ProbeBudget;
use galenapath_protocol::{BackendId, LoadReport, Micros};
use std::collections::VecDeque;

/// Upper bound for the numbers of a report. Deployed servers have 6 slots and 240 connections.
const MAX_REPORTED: u32 = 10_000;

/// Backoff after the first rejection; doubles with each further one.
const INITIAL_BACKOFF: Micros = Micros::from_millis(10);
const MAX_BACKOFF_DOUBLINGS: u32 = 6;

/// A request of this instance in flight.
#[derive(Clone, Copy, Debug)]
struct InFlight {
    started: Micros,
    /// Lateness that is already included in the health score.
    counted: Lateness,
}

/// A request that has just ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndedRequest {
    pub started: Micros,
    pub counted: Lateness,
}

/// A backend server as observed by this instance.
#[derive(Debug)]
pub(super) struct Server {
    pub id: BackendId,
    pub generation: u32,
    /// Whether the server is in the balancer's failure domain.
    pub is_local: bool,
    /// Never reset to false.
    pub leaving: bool,
    pub connection_share: u32,
    pub slots: u32,
    /// Requests in flight, oldest first.
    requests: VecDeque<InFlight>,
    pub others: OthersLoad,
    /// Time of the last report or answer.
    pub last_contact_at: Micros,
    /// Start of the ramp-up of a server that was added after the first list.
    pub ramp_started_at: Option<Micros>,
    backoff_until: Micros,
    /// Rejections since the last answer.
    rejections: u32,
    pub health: Health,
    pub probes: ProbeBudget,
}

impl Server {
    pub fn new(id: BackendId, generation: u32, slots: u32, probes: ProbeBudget) -> Self {
        Self {
            id,
            generation,
            is_local: false,
            leaving: false,
            connection_share: 0,
            slots,
            requests: VecDeque::new(),
            others: OthersLoad::default(),
            last_contact_at: Micros::ZERO,
            ramp_started_at: None,
            backoff_until: Micros::ZERO,
            rejections: 0,
            health: Health::default(),
            probes,
        }
    }

    /// Requests of this instance in flight.
    pub fn in_flight(&self) -> u32 {
        self.requests.len() as u32
    }

    /// Whether the server can take another request of this instance.
    pub fn is_open(&self) -> bool {
        !self.leaving && self.in_flight() < self.connection_share
    }

    /// Whether the server is in backoff after a rejection.
    pub fn is_backing_off(&self, now: Micros) -> bool {
        now < self.backoff_until
    }

    /// Records that a request is sent to the server.
    pub fn start(&mut self, now: Micros) {
        self.requests.push_back(InFlight { started: now, counted: Lateness::OnTime });
        self.health.record_start(now);
    }

    /// Removes the request in flight that started nearest to `started`; `None` when nothing is in
    /// flight.
    pub fn finish(&mut self, started: Micros) -> Option<EndedRequest> {
        let distance = |f: &InFlight| f.started.0.abs_diff(started.0);
        let index = (0..self.requests.len()).min_by_key(|&i| distance(&self.requests[i]))?;
        let InFlight { started, counted } = self.requests.remove(index)?;
        Some(EndedRequest { started, counted })
    }

    /// Records that the server answered.
    pub fn record_answer(&mut self, now: Micros) {
        self.last_contact_at = now;
        self.rejections = 0;
    }

    /// Records that the server rejected a request.
    pub fn record_rejection(&mut self, now: Micros) {
        self.others.record_rejection(now, self.slots);
        let backoff = Micros(INITIAL_BACKOFF.0 << self.rejections.min(MAX_BACKOFF_DOUBLINGS));
        self.backoff_until = now + backoff;
        self.rejections += 1;
    }

    /// Updates the health with requests in flight that have become late. Requests are sorted by
    /// age, so the scan ends at the first one that is on time.
    pub fn record_late_requests(&mut self, now: Micros, limits: &LateLimits) {
        for request in &mut self.requests {
            let lateness = limits.lateness(now - request.started);
            if lateness == Lateness::OnTime {
                return;
            }
            if lateness > request.counted {
                let event = HealthEvent::BecameLate { before: request.counted, lateness };
                self.health.record(now, request.started, event);
                request.counted = lateness;
            }
        }
    }

    /// Records a report that the server wrote at `written_at`. Requests that started later had not
    /// reached the server by then.
    pub fn record_report(&mut self, now: Micros, written_at: Micros, report: LoadReport) {
        let report = clamp_report(report);
        self.slots = report.slots;
        self.leaving |= report.leaving;
        let own_requests = self.requests.iter().filter(|f| f.started <= written_at).count() as u32;
        self.others.record_report(now, report, own_requests);
        self.last_contact_at = now;
    }

    /// Slots that may be used now: all of them, or fewer while a new server ramps up.
    pub fn usable_slots(&self, now: Micros, ramp: Micros) -> f32 {
        let slots = self.slots as f32;
        let Some(started_at) = self.ramp_started_at else {
            return slots;
        };
        let fraction = (now - started_at).0 as f32 / ramp.0.max(1) as f32;
        (slots * fraction).clamp(1.0, slots)
    }
}

/// Limits the numbers of a report to plausible values, so that sums over many servers stay in
/// range.
fn clamp_report(report: LoadReport) -> LoadReport {
    LoadReport {
        in_flight: report.in_flight.min(MAX_REPORTED),
        waiting: report.waiting.min(MAX_REPORTED),
        slots: report.slots.clamp(1, MAX_REPORTED),
        leaving: report.leaving,
        pace: report.pace,
    }
}
