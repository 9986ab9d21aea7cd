//! Metrics of the requests that are open, and of those that end without a whole answer.

use crate::metrics::counters;
use crate::open::{Phase, PhaseCounts};
use prometheus::{IntCounterVec, IntGaugeVec, Opts, Registry};

/// Metrics of the requests that are open, and of those that end without a whole answer.
pub(crate) struct OpenMetrics {
    requests: IntGaugeVec,
    cut: IntCounterVec,
    /// Requests whose connection ended before their answer, by how it ended and the stage of the
    /// instance.
    pub departures: IntCounterVec,
    /// Answers that the caller may not have received completely, by reason.
    pub undelivered: IntCounterVec,
}

impl OpenMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// If two metrics have the same name, which is a bug.
    pub(crate) fn register(r: &Registry) -> Result<Self, prometheus::Error> {
        let requests = Opts::new("open_requests", "Requests that are open");
        let requests = IntGaugeVec::new(requests, &["phase"])?;
        r.register(Box::new(requests.clone()))?;
        Ok(Self {
            requests,
            cut: counters(
                r,
                "cut_requests_total",
                "Requests cut by the end of the process",
                &["phase"],
            )?,
            departures: counters(
                r,
                "departures_total",
                "Requests whose connection ended before their answer",
                &["how", "stage"],
            )?,
            undelivered: counters(
                r,
                "undelivered_answers_total",
                "Answers that callers may not have received",
                &["reason"],
            )?,
        })
    }

    /// Sets the numbers of open requests.
    pub(crate) fn set(&self, open: PhaseCounts) {
        for phase in Phase::ALL {
            let metric = self.requests.with_label_values(&[phase.as_str()]);
            metric.set(i64::from(open.get(phase)));
        }
    }

    /// Counts the requests that are open as cut.
    pub(crate) fn count_cut(&self, open: PhaseCounts) {
        for phase in Phase::ALL {
            let metric = self.cut.with_label_values(&[phase.as_str()]);
            metric.inc_by(u64::from(open.get(phase)));
        }
    }
}
