//! The events of a run, in order of time.

use super::scenario::Time;
use galenapath_policy::{BackendHandle, Outcome};
use galenapath_protocol::LoadReport;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What happens at a moment.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    Reach { server: usize, req: usize },
    Work { server: usize, req: usize },
    Answer { req: usize, outcome: Outcome, report: LoadReport },
    ReachProbe { instance: usize, server: usize, slot: BackendHandle },
    AnswerProbe { instance: usize, slot: BackendHandle, report: LoadReport },
    Tick { instance: usize },
    List { instance: usize },
    Replace { instance: usize },
    Repin { caller: usize },
}

/// Events to come; those of the same moment come in the order in which they were added.
#[derive(Default)]
pub struct Events {
    heap: BinaryHeap<Reverse<Timed>>,
    sequence: u64,
}

impl Events {
    pub fn add(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.heap.push(Reverse(Timed { at, sequence: self.sequence, event }));
    }

    /// The next event that is due by `until`.
    pub fn next_until(&mut self, until: Time) -> Option<(Time, Event)> {
        if self.heap.peek()?.0.at > until {
            return None;
        }
        self.heap.pop().map(|Reverse(timed)| (timed.at, timed.event))
    }
}

struct Timed {
    at: Time,
    sequence: u64,
    event: Event,
}

impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}
impl Eq for Timed {}
impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Timed {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}
