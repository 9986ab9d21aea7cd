//! What is known of a server's pace and load.

use galenapath_protocol::{LoadReport, Micros};

/// Pace in percent from which a server counts as slow: well above what a load of its own makes.
const SLOW_PACE: u32 = 150;

/// Part of a server's slots by which its load has to change to be news at once: one slot of three, two of
/// six.
const OTHER_FILL: f32 = 0.3;

/// Age of a load that others know after which any other load is news.
const OTHER_LOAD_AFTER: Micros = Micros::from_millis(150);

/// Age after which the same load is news.
const SAME_LOAD_AFTER: Micros = Micros::from_millis(450);

/// What some instance saw of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sighting {
    /// When the server wrote it.
    pub at: Micros,
    /// What the server told.
    pub report: LoadReport,
}

impl Sighting {
    /// Whether work takes clearly longer than usual there.
    pub fn is_slow(&self) -> bool {
        self.report.pace >= SLOW_PACE
    }

    /// Whether instances that know `told` choose differently when they know this: the server has turned
    /// slow or is slow no more, has slots to fill or has none left, or what they know has grown old.
    pub fn is_news_after(&self, told: &Self) -> bool {
        let age = self.at - told.at;
        let (before, now) = (told.report, self.report);
        let taken = |report: LoadReport| (report.in_flight + report.waiting).min(report.slots);
        let is_other_fill =
            taken(before).abs_diff(taken(now)) as f32 >= OTHER_FILL * now.slots as f32;
        let is_other_load = told.load() != self.load();
        told.is_slow() != self.is_slow()
            || is_other_fill
            || (is_other_load && age >= OTHER_LOAD_AFTER)
            || age >= SAME_LOAD_AFTER
    }

    /// The same with `load` requests. The load that a server tells with an answer still counts the
    /// request that it answers; whether its slot is free for others shows when the instance that got the
    /// answer has given the slot to a request that waits there, or has none.
    #[must_use]
    pub fn with_load(self, load: u32) -> Self {
        let report = LoadReport { in_flight: load, waiting: 0, ..self.report };
        Self { report, ..self }
    }

    /// Work time over usual work time; one where the server does not tell.
    pub(super) fn pace(&self) -> f32 {
        if self.report.pace == 0 { 1.0 } else { self.report.pace as f32 / 100.0 }
    }

    /// Requests running and waiting there.
    pub(super) fn load(&self) -> u32 {
        self.report.in_flight.saturating_add(self.report.waiting)
    }
}
