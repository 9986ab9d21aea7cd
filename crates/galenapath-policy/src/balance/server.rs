//! What a balancer knows about one backend server.

use super::health::{Health, Sign};
use super::latency::{LateLimits, Lateness};
use super::load::OthersLoad;
use crate::measure::ProbeBudget;
use galenapath_protocol::{BackendId, LoadReport, Micros};
use std::collections::VecDeque;

/// Largest number that is believed of a report. Servers of today have 6 slots and 240 connections.
const MOST_REPORTED: u32 = 10_000;

/// First pause after a refusal; doubles with each one that follows.
const FIRST_PAUSE: Micros = Micros::from_millis(10);
const MOST_DOUBLINGS: u32 = 6;

/// A request of this instance in flight.
#[derive(Clone, Copy, Debug)]
struct InFlight {
    started: Micros,
    /// Lateness that `health` has already counted.
    counted: Lateness,
}

/// A request that has just ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ended {
    pub started: Micros,
    pub counted: Lateness,
}

/// State of one backend server.
#[derive(Debug)]
pub(super) struct Server {
    pub id: BackendId,
    pub generation: u32,
    /// Whether the server runs in the balancer's own failure domain.
    pub home: bool,
    /// Never goes back to false.
    pub leaving: bool,
    pub connection_share: u32,
    pub slots: u32,
    /// Requests in flight, oldest first.
    flights: VecDeque<InFlight>,
    pub others: OthersLoad,
    /// Last sign of life: a report or an answer.
    pub fresh_at: Micros,
    /// When a server that joined later was first listed; its share ramps up from there.
    pub ramp_from: Option<Micros>,
    paused_until: Micros,
    /// Refusals since the last answer.
    refusals: u32,
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
            slots,
            flights: VecDeque::new(),
            others: OthersLoad::default(),
            fresh_at: Micros::ZERO,
            ramp_from: None,
            paused_until: Micros::ZERO,
            refusals: 0,
            health: Health::default(),
            probes,
        }
    }

    /// Requests of this instance in flight.
    pub fn in_flight(&self) -> u32 {
        self.flights.len() as u32
    }

    /// Whether the server may be given another request at all.
    pub fn is_open(&self) -> bool {
        !self.leaving && self.in_flight() < self.connection_share
    }

    /// Whether the server refused requests a moment ago.
    pub fn is_paused(&self, now: Micros) -> bool {
        now < self.paused_until
    }

    pub fn start(&mut self, now: Micros) {
        self.flights.push_back(InFlight { started: now, counted: Lateness::InTime });
        self.health.started(now);
    }

    /// Removes the request in flight that started nearest to `started`; `None` when nothing is in
    /// flight.
    pub fn finish(&mut self, started: Micros) -> Option<Ended> {
        let distance = |f: &InFlight| f.started.0.abs_diff(started.0);
        let index = (0..self.flights.len()).min_by_key(|&i| distance(&self.flights[i]))?;
        let InFlight { started, counted } = self.flights.remove(index)?;
        Some(Ended { started, counted })
    }

    /// The server answered.
    pub fn answered(&mut self, now: Micros) {
        self.fresh_at = now;
        self.refusals = 0;
    }

    /// The server refused a request.
    pub fn refused(&mut self, now: Micros) {
        self.others.refused(now, self.slots);
        let pause = Micros(FIRST_PAUSE.0 << self.refusals.min(MOST_DOUBLINGS));
        self.paused_until = now + pause;
        self.refusals += 1;
    }

    /// Tells `health` of requests in flight that have become late. They are in order of age, so the
    /// first that is in time ends the search.
    pub fn note_late(&mut self, now: Micros, limits: &LateLimits) {
        for flight in &mut self.flights {
            let lateness = limits.lateness(now - flight.started);
            if lateness == Lateness::InTime {
                return;
            }
            if lateness > flight.counted {
                let sign = Sign::Became { before: flight.counted, lateness };
                self.health.note(now, flight.started, sign);
                flight.counted = lateness;
            }
        }
    }

    /// Takes a report that was written at `written`: requests that started later were not there.
    pub fn report(&mut self, now: Micros, written: Micros, report: LoadReport) {
        let report = bounded(report);
        self.slots = report.slots;
        self.leaving |= report.leaving;
        let own = self.flights.iter().filter(|f| f.started <= written).count() as u32;
        self.others.report(now, report, own);
        self.fresh_at = now;
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

/// Numbers of a report as far as they can be true; sums over many servers then stay in range.
fn bounded(report: LoadReport) -> LoadReport {
    LoadReport {
        in_flight: report.in_flight.min(MOST_REPORTED),
        waiting: report.waiting.min(MOST_REPORTED),
        slots: report.slots.clamp(1, MOST_REPORTED),
        leaving: report.leaving,
        pace: report.pace,
    }
}
