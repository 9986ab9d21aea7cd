//! How long a request usually takes, and how much longer on a crowded server.

use galenapath_protocol::Micros;

/// Answers after which each further one has the same weight. The first ones weigh more, so that an
/// instance that has just started does not take usual answers for late ones.
const MEMORY: f32 = 32.0;

/// The same for the ratio of crowding, a property of the servers that does not change with their load:
/// with 32, chance alone took it over 1.2 where nothing was crowded, and a third of the slots was left free.
const CROWDING_MEMORY: f32 = 128.0;

/// Answers that an assumption weighs as much as: a first answer that is an odd one must not count alone.
const PRIOR: f32 = 8.0;

/// Part of a target that a request is taken to run before any answer has been measured: operators set
/// targets that leave room for a wait and for work that is longer than usual.
const ASSUMED_PART: f32 = 0.4;

/// Time over the usual beyond which an answer counts as this many times the usual, either way: a single
/// odd answer counts for little, while many show that the measure is wrong.
pub(super) const LATE: f32 = 4.0;

/// What answers at the usual pace tell.
#[derive(Clone, Copy, Debug)]
pub(super) struct Estimate {
    /// Mean time of an answer from a server that is not crowded.
    work: Micros,
    /// Answers that `work` was measured from, and the weight of its assumption.
    work_count: f32,
    /// Time of an answer from a crowded server over `work`.
    crowding: f32,
    /// Answers that `crowding` was measured from, and the weight of its assumption.
    crowding_count: f32,
}

impl Estimate {
    pub(super) fn new(assumed: Micros) -> Self {
        Self { work: assumed, work_count: PRIOR, crowding: 1.0, crowding_count: PRIOR }
    }

    pub(super) fn work(&self) -> Micros {
        self.work
    }

    pub(super) fn crowding(&self) -> f32 {
        self.crowding
    }

    /// Takes the usual time from the `target` of a route, as long as none was measured.
    pub(super) fn assume(&mut self, target: Micros) {
        if self.work_count <= PRIOR {
            self.work = Micros((target.0 as f32 * ASSUMED_PART) as u64);
        }
    }

    /// An answer's time over the usual.
    pub(super) fn over(&self, latency: Micros) -> f32 {
        latency.0 as f32 / (self.work.0 as f32).max(1.0)
    }

    /// Takes in an answer of a server at its usual pace. What slow spells and crowding add must not
    /// stretch what a request usually takes: requests would be refused because earlier ones were late.
    pub(super) fn learn(&mut self, latency: Micros, is_crowded: bool) {
        let over = self.over(latency).clamp(1.0 / LATE, LATE);
        if is_crowded {
            self.crowding_count = (self.crowding_count + 1.0).min(CROWDING_MEMORY);
            self.crowding += (over - self.crowding) / self.crowding_count;
        } else {
            self.work_count = (self.work_count + 1.0).min(MEMORY);
            let work = self.work.0 as f32;
            self.work = Micros((work + (over - 1.0) * work / self.work_count) as u64);
        }
    }
}
