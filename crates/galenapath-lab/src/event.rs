//! Events of a simulation.

use galenapath_protocol::{LoadReport, Micros};

/// An event at a point in virtual time. Ordered, as the event heap requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Event {
    /// A request reaches an instance, for the first time or as a retry after a rejection.
    RequestArrived { request: usize, instance: usize, is_retry: bool },
    /// A load query reaches a server.
    QueryReceived { request: usize, instance: usize, server: usize, sent_at: Micros },
    /// The answer to a load query reaches the instance.
    QueryAnswered { request: usize, instance: usize, server: usize, load: Load, sent_at: Micros },
    /// A request reaches a server.
    RequestReceived { request: usize, instance: usize, server: usize },
    /// A request ends at a server.
    RequestEnded { request: usize, instance: usize, server: usize },
    /// The answer to a request reaches the instance.
    AnswerReceived { request: usize, instance: usize, server: usize, load: Load },
    /// The answer that a server shed a request reaches the instance.
    ShedReceived { request: usize, instance: usize, server: usize },
    /// A load observation of another instance reaches this one.
    ObservationReceived { instance: usize, server: usize, load: Load, at: Micros },
    /// The answer to a probe reaches the instance.
    ProbeAnswered { instance: usize, server: usize, sent_at: Micros },
    /// An instance polls its placement queue.
    QueuePoll { instance: usize },
    /// All instances check which probes are due.
    ProbeCheck,
    /// An instance sends its load updates to the others.
    Flush { instance: usize },
}

/// A load report with an order, for use in [`Event`].
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
