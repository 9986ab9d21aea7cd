//! Events of a play.

use galenapath_protocol::{LoadReport, Micros};

/// What happens at a moment of a play. Ordered, so that events of one moment have an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Event {
    /// A request reaches an instance, for the first time or after a refusal.
    Arrives { request: usize, instance: usize, is_back: bool },
    /// A question reaches a server.
    AskReaches { request: usize, instance: usize, server: usize, asked_at: Micros },
    /// Its answer reaches the instance.
    AskAnswered { request: usize, instance: usize, server: usize, load: Load, asked_at: Micros },
    /// A request reaches a server.
    Reaches { request: usize, instance: usize, server: usize },
    /// A request ends at a server.
    Ends { request: usize, instance: usize, server: usize },
    /// Its answer reaches the instance.
    Answered { request: usize, instance: usize, server: usize, load: Load },
    /// The word that a server did not take a request reaches the instance.
    Shed { request: usize, instance: usize, server: usize },
    /// What another instance has seen reaches this one.
    Told { instance: usize, server: usize, load: Load, at: Micros },
    /// A probe has been answered.
    ProbeReaches { instance: usize, server: usize, asked_at: Micros },
    /// An instance looks at its line.
    Look { instance: usize },
    /// It is time to look which probes are due.
    Probes,
    /// An instance tells the others what is news.
    Flush { instance: usize },
}

/// A load report that can be ordered among events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Load {
    in_flight: u32,
    waiting: u32,
    slots: u32,
    pace: u32,
}

impl From<LoadReport> for Load {
    fn from(report: LoadReport) -> Self {
        let LoadReport { in_flight, waiting, slots, pace, .. } = report;
        Self { in_flight, waiting, slots, pace }
    }
}

impl From<Load> for LoadReport {
    fn from(load: Load) -> Self {
        let Load { in_flight, waiting, slots, pace } = load;
        Self { in_flight, waiting, slots, pace, leaving: false }
    }
}
