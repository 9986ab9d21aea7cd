//! Events of a simulation run, in time order.

use super::scenario::Time;
use galenapath_policy::{BackendHandle, Outcome};
use galenapath_protocol::LoadReport;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A simulated event.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    ReachServer { server: usize, req: usize },
    WorkDone { server: usize, req: usize },
    Answer { req: usize, outcome: Outcome, report: LoadReport },
    ReachProbe { instance: usize, server: usize, handle: BackendHandle },
    AnswerProbe { instance: usize, handle: BackendHandle, report: LoadReport },
    Tick { instance: usize },
    RefreshServers { instance: usize },
    ReplaceInstance { instance: usize },
    ReassignCaller { caller: usize },
}

/// Queue of future events. Events with the same time are returned in insertion order.
#[derive(Default)]
pub struct EventQueue {
    heap: BinaryHeap<Reverse<TimedEvent>>,
    sequence: u64,
}

impl EventQueue {
    pub fn add(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.heap.push(Reverse(TimedEvent { at, sequence: self.sequence, event }));
    }

    /// Removes and returns the next event that is due by `until`.
    pub fn next_until(&mut self, until: Time) -> Option<(Time, Event)> {
        if self.heap.peek()?.0.at > until {
            return None;
        }
        self.heap.pop().map(|Reverse(timed)| (timed.at, timed.event))
    }
}

struct TimedEvent {
    at: Time,
    sequence: u64,
    event: Event,
}

impl PartialEq for TimedEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}
impl Eq for TimedEvent {}
impl PartialOrd for TimedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for TimedEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}
