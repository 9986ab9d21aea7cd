//! Load observations of a server.

use galenapath_protocol::{LoadReport, Micros};

/// Slowdown in percent from which a server counts as slow; well above the effect of its own load.
const SLOW_PERCENT: u32 = 150;

/// Change of the load, as a fraction of the slots, that is reported at once: one slot of three, two
/// of six.
const MIN_FILL_CHANGE: f32 = 0.3;

/// Age of the last reported load after which any different load is reported.
const CHANGED_LOAD_AGE: Micros = Micros::from_millis(150);

/// Age of the last reported load after which the same load is reported again.
const SAME_LOAD_AGE: Micros = Micros::from_millis(450);

/// A server's load report as observed by some instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadObservation {
    /// When the server wrote the report.
    pub at: Micros,
    /// The load report.
    pub report: LoadReport,
}

impl LoadObservation {
    /// Whether work takes clearly longer than usual on the server.
    pub fn is_slow(&self) -> bool {
        self.report.pace >= SLOW_PERCENT
    }

    /// Whether this observation changes the choices of instances that know only `reported`: the
    /// server became slow or recovered, it gained free slots or lost its last one, or the reported
    /// observation is stale.
    pub fn is_update_to(&self, reported: &Self) -> bool {
        let age = self.at - reported.at;
        let (before, now) = (reported.report, self.report);
        let taken = |report: LoadReport| (report.in_flight + report.waiting).min(report.slots);
        let has_fill_changed =
            taken(before).abs_diff(taken(now)) as f32 >= MIN_FILL_CHANGE * now.slots as f32;
        let has_load_changed = reported.load() != self.load();
        reported.is_slow() != self.is_slow()
            || has_fill_changed
            || (has_load_changed && age >= CHANGED_LOAD_AGE)
            || age >= SAME_LOAD_AGE
    }

    /// Returns the observation with a load of `load` requests. The load that a server reports with
    /// an answer still counts the request that it answers. Whether that slot is free for others is
    /// known once the instance has assigned it to a waiting request or has none.
    #[must_use]
    pub fn with_load(self, load: u32) -> Self {
        let report = LoadReport { in_flight: load, waiting: 0, ..self.report };
        Self { report, ..self }
    }

    /// Ratio of the work time to the usual work time; one where the server does not report it.
    pub(super) fn slowdown(&self) -> f32 {
        if self.report.pace == 0 { 1.0 } else { self.report.pace as f32 / 100.0 }
    }

    /// Number of requests that run or wait on the server.
    pub(super) fn load(&self) -> u32 {
        self.report.in_flight.saturating_add(self.report.waiting)
    }
}
