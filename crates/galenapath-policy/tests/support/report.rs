//! Results of a simulation from the callers' point of view.

use super::sim::{End, Record, Sim};
use galenapath_protocol::Micros;

/// Results of the requests of some streams that arrived in a period of time.
pub struct Report {
    /// Number of requests that arrived.
    pub offered: usize,
    /// Requests answered within the latency target, per second.
    pub goodput: f64,
    /// Latencies of the answered requests, in ascending order.
    pub latencies: Vec<Micros>,
    /// Times that the answered requests waited at the instance, in ascending order.
    pub waits: Vec<Micros>,
    /// Times from arrival to rejection, in ascending order.
    pub rejections: Vec<Micros>,
    /// Number of requests whose caller timed out.
    pub timed_out: usize,
}

impl Report {
    pub fn of(sim: &Sim, streams: &[usize], target: Micros, from: Micros, to: Micros) -> Self {
        let is_included =
            |r: &&Record| r.arrived >= from && r.arrived < to && streams.contains(&r.stream);
        let records: Vec<&Record> = sim.records.iter().filter(is_included).collect();
        let durations = |matches: fn(&End) -> bool| {
            let selected = records.iter().filter(|r| matches(&r.end));
            let mut durations: Vec<Micros> = selected.map(|r| r.ended - r.arrived).collect();
            durations.sort_unstable();
            durations
        };
        let latencies = durations(|end| *end == End::Answered);
        let answered = records.iter().filter(|r| r.end == End::Answered);
        let started = answered.filter_map(|r| Some(r.started? - r.arrived));
        let mut waits: Vec<Micros> = started.collect();
        waits.sort_unstable();
        let good = latencies.iter().filter(|l| **l <= target).count();
        Self {
            offered: records.len(),
            goodput: good as f64 * 1e6 / (to - from).0 as f64,
            rejections: durations(|end| matches!(end, End::Rejected(_))),
            timed_out: records.iter().filter(|r| r.end == End::TimedOut).count(),
            latencies,
            waits,
        }
    }

    /// Returns a quantile of the answered requests' latency, in milliseconds.
    pub fn latency(&self, q: f64) -> f64 {
        quantile(&self.latencies, q)
    }

    /// Returns a quantile of the answered requests' wait at the instance, in milliseconds.
    pub fn wait(&self, q: f64) -> f64 {
        quantile(&self.waits, q)
    }

    /// Returns a quantile of the time to rejection, in milliseconds.
    pub fn rejection(&self, q: f64) -> f64 {
        quantile(&self.rejections, q)
    }

    /// Formats the report as a row of a Markdown table.
    pub fn row(&self, name: &str) -> String {
        format!(
            "| {name} | {} | {:.0} | {:.1} | {:.1} | {:.1} | {:.1} | {:.1} | {} | {:.2} | {} |",
            self.offered,
            self.goodput,
            self.latency(0.5),
            self.latency(0.99),
            self.latency(0.999),
            self.wait(0.5),
            self.wait(0.99),
            self.rejections.len(),
            self.rejection(0.99),
            self.timed_out
        )
    }
}

fn quantile(sorted: &[Micros], q: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    sorted.get((last as f64 * q) as usize).map_or(0.0, |m| m.as_millis_f64())
}
