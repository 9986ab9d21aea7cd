//! What a balancer knows about one backend server.
//!
//! Load pattern: several dispatchers share a server's few slots, and every report is out of date.
//! With the report alone, all dispatchers send to the server that looked idle last; with the own
//! requests alone, a dispatcher cannot see that the others have filled the slots. So a server's
//! load is the own requests in flight, which are exact, plus an estimate of the others' that fades
//! from the last report to their average.

use super::health::Health;
use crate::measure::ProbeBudget;
use galenapath_protocol::{BackendId, LoadReport, Micros};
use std::collections::VecDeque;

/// Weight of one report in the average of the others' requests.
const OTHERS_WEIGHT: f32 = 1.0 / 16.0;
/// Age at which a report says no more than the average. Service time of a lookup: by then most of
/// the requests that the report counted have ended.
const REPORT_FADES_IN: Micros = Micros::from_millis(10);

/// State of one backend server. Invariant: `starts.len()` is the number of requests in flight and
/// `late <= starts.len()`.
#[derive(Debug)]
pub(super) struct Server {
    pub id: BackendId,
    pub generation: u32,
    /// Whether the server runs in the balancer's own failure domain.
    pub home: bool,
    /// Never goes back to false.
    pub leaving: bool,
    pub connection_share: u32,
    /// Start of each request in flight, oldest first.
    starts: VecDeque<Micros>,
    /// Oldest requests in flight that `health` has already counted as slow.
    pub late: usize,
    pub slots: u32,
    /// Requests of other dispatchers at the last report, and their average.
    others_last: f32,
    others_average: f32,
    reported_at: Option<Micros>,
    /// Last sign of life: a report or an answer.
    pub fresh_at: Micros,
    /// When a server that joined later was first listed; its share ramps up from there.
    pub ramp_from: Option<Micros>,
    pub health: Health,
    pub probes: ProbeBudget,
}

impl Server {
    pub fn new(id: BackendId, generation: u32, slots: u32, probes: ProbeBudget) -> Self {
        Self {
            id,
            generation,
            home: false,
            leaving: false,
            connection_share: 0,
            starts: VecDeque::new(),
            late: 0,
            slots,
            others_last: 0.0,
            others_average: 0.0,
            reported_at: None,
            fresh_at: Micros::ZERO,
            ramp_from: None,
            health: Health::default(),
            probes,
        }
    }

    /// Requests of this instance in flight.
    pub fn in_flight(&self) -> u32 {
        self.starts.len() as u32
    }

    /// Whether the server may be given another request at all.
    pub fn is_open(&self) -> bool {
        !self.leaving && self.in_flight() < self.connection_share
    }

    pub fn start(&mut self, now: Micros) {
        self.starts.push_back(now);
    }

    /// Removes the request in flight that started nearest to `started`. Returns whether it had
    /// been counted as slow; `None` when nothing is in flight.
    pub fn finish(&mut self, started: Micros) -> Option<bool> {
        let distance = |at: Micros| at.0.abs_diff(started.0);
        let index = (0..self.starts.len()).min_by_key(|&i| distance(self.starts[i]))?;
        self.starts.remove(index);
        let was_late = index < self.late;
        if was_late {
            self.late -= 1;
        }
        Some(was_late)
    }

    /// Counts the requests that have become older than `limit` since the last call.
    pub fn newly_late(&mut self, now: Micros, limit: Micros) -> usize {
        let before = self.late;
        while self.starts.get(self.late).is_some_and(|&at| now - at > limit) {
            self.late += 1;
        }
        self.late - before
    }

    pub fn take_report(&mut self, now: Micros, report: LoadReport) {
        self.slots = report.slots.max(1);
        self.leaving |= report.leaving;
        let total = report.in_flight.saturating_add(report.waiting);
        let others = total.saturating_sub(self.in_flight()) as f32;
        self.others_last = others;
        self.others_average += OTHERS_WEIGHT * (others - self.others_average);
        self.reported_at = Some(now);
        self.fresh_at = now;
    }

    /// Estimate of the requests of other dispatchers on the server.
    pub fn others(&self, now: Micros) -> f32 {
        let Some(at) = self.reported_at else {
            return 0.0;
        };
        let age = (now - at).0 as f32 / REPORT_FADES_IN.0 as f32;
        let weight = (1.0 - age).max(0.0);
        self.others_average + weight * (self.others_last - self.others_average)
    }

    /// Slots that may be used now: all of them, or fewer while a new server warms up.
    pub fn usable_slots(&self, now: Micros, ramp: Micros) -> f32 {
        let slots = self.slots as f32;
        let Some(from) = self.ramp_from else {
            return slots;
        };
        let part = (now - from).0 as f32 / ramp.0.max(1) as f32;
        (slots * part).clamp(1.0, slots)
    }
}
