//! What the callers of a simulation got.

use super::sim::{End, Record, Sim};
use galenapath_protocol::Micros;

/// Results of the requests that arrived in a span of time, of one stream or of all.
pub struct Report {
    /// Requests that arrived.
    pub offered: usize,
    /// Requests answered within the class's target, per second of the span.
    pub goodput: f64,
    /// Latencies of the answered requests, in ascending order.
    pub latencies: Vec<Micros>,
    /// Time that the answered requests waited at the instance, in ascending order.
    pub waits: Vec<Micros>,
    /// Time from arrival to rejection, in ascending order.
    pub rejections: Vec<Micros>,
    /// Requests whose caller gave up.
    pub timed_out: usize,
}

impl Report {
    pub fn of(sim: &Sim, streams: &[usize], target: Micros, from: Micros, to: Micros) -> Self {
        let inside =
            |r: &&Record| r.arrived >= from && r.arrived < to && streams.contains(&r.stream);
        let records: Vec<&Record> = sim.records.iter().filter(inside).collect();
        let spans = |pick: fn(&End) -> bool| {
            let picked = records.iter().filter(|r| pick(&r.end));
            let mut spans: Vec<Micros> = picked.map(|r| r.ended - r.arrived).collect();
            spans.sort_unstable();
            spans
        };
        let latencies = spans(|end| *end == End::Answered);
        let answered = records.iter().filter(|r| r.end == End::Answered);
        let started = answered.filter_map(|r| Some(r.started? - r.arrived));
        let mut waits: Vec<Micros> = started.collect();
        waits.sort_unstable();
        let good = latencies.iter().filter(|l| **l <= target).count();
        Self {
            offered: records.len(),
            goodput: good as f64 * 1e6 / (to - from).0 as f64,
            rejections: spans(|end| matches!(end, End::Rejected(_))),
            timed_out: records.iter().filter(|r| r.end == End::TimedOut).count(),
            latencies,
            waits,
        }
    }

    /// A quantile of the answered requests' latency, in milliseconds.
    pub fn latency(&self, q: f64) -> f64 {
        quantile(&self.latencies, q)
    }

    /// A quantile of the answered requests' wait at the instance, in milliseconds.
    pub fn wait(&self, q: f64) -> f64 {
        quantile(&self.waits, q)
    }

    /// A quantile of the time to rejection, in milliseconds.
    pub fn rejection(&self, q: f64) -> f64 {
        quantile(&self.rejections, q)
    }

    /// The report as one line of a table.
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
