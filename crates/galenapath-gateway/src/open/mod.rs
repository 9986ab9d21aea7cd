//! Account of the requests that are open at the instance: each one from when its head is read until
//! its answer is delivered.
//!
//! A stop waits for them, the metrics show how many there are in each phase, and the log names those
//! that the end of the process cuts.

pub(crate) mod metrics;

use crate::call::{Call, Hop};
use crate::instance::Instance;
use crate::service::Service;
use galenapath_protocol::{FastMap, Micros, Verdict};
use galenapath_routes::Route;
use http::HeaderValue;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;

/// What an open request waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Its body, or its admission.
    Reading,
    /// A server.
    Waiting,
    /// The answer of a server, or of another instance.
    Sent,
    /// The kernel to take its answer, or the answers to requests ahead of it.
    Answering,
    /// The caller to close the connection, which shows that the answer has arrived.
    Delivering,
}

impl Phase {
    pub(crate) const ALL: [Self; 5] =
        [Self::Reading, Self::Waiting, Self::Sent, Self::Answering, Self::Delivering];

    /// Name in logs and metrics.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Reading => "reading",
            Self::Waiting => "waiting",
            Self::Sent => "sent",
            Self::Answering => "answering",
            Self::Delivering => "delivering",
        }
    }
}

/// Numbers of open requests by phase.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct PhaseCounts([u32; Phase::ALL.len()]);

impl PhaseCounts {
    /// Number of requests in `phase`.
    pub(crate) const fn get(self, phase: Phase) -> u32 {
        self.0[phase as usize]
    }

    /// Number of requests whose answer the kernel has not taken.
    pub(crate) fn unanswered(self) -> u32 {
        self.total() - self.get(Phase::Delivering)
    }

    /// Number of all open requests.
    pub(crate) fn total(self) -> u32 {
        self.0.iter().sum()
    }
}

impl fmt::Display for PhaseCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, phase) in Phase::ALL.into_iter().enumerate() {
            let space = if at == 0 { "" } else { " " };
            write!(f, "{space}{}:{}", phase.as_str(), self.get(phase))?;
        }
        Ok(())
    }
}

/// What is known of an open request.
#[derive(Clone)]
pub(crate) struct OpenRequestInfo {
    /// Identifier set by the caller.
    pub(crate) id: Option<HeaderValue>,
    pub(crate) phase: Phase,
    /// When its head had been read.
    pub(crate) since: Micros,
    pub(crate) route: Option<Arc<Route>>,
    /// Its service, once it has been selected.
    pub(crate) service: Option<Rc<Service>>,
    /// Where it was sent last, or whose answer arrived last.
    pub(crate) hop: Option<Hop>,
    pub(crate) verdict: Verdict,
    /// The events at each server, until there is an answer.
    pub(crate) steps: String,
}

enum Progress {
    /// Its body or its admission is missing.
    Reading,
    Running(Rc<Call>),
    /// It has an answer.
    Ended {
        phase: Phase,
        verdict: Verdict,
        hop: Option<Hop>,
    },
}

impl Progress {
    fn phase(&self) -> Phase {
        match self {
            Self::Reading => Phase::Reading,
            Self::Running(call) if call.is_sent() => Phase::Sent,
            Self::Running(_) => Phase::Waiting,
            Self::Ended { phase, .. } => *phase,
        }
    }

    fn hop(&self) -> Option<Hop> {
        match self {
            Self::Reading => None,
            Self::Running(call) => call.last_hop(),
            Self::Ended { hop, .. } => hop.clone(),
        }
    }

    fn verdict(&self) -> Verdict {
        match self {
            Self::Reading => Verdict::NotRun,
            Self::Running(call) => call.verdict(),
            Self::Ended { verdict, .. } => *verdict,
        }
    }
}

struct Entry {
    id: Option<HeaderValue>,
    since: Micros,
    route: Option<Arc<Route>>,
    service: Option<Rc<Service>>,
    progress: Progress,
}

impl Entry {
    fn info(&self) -> OpenRequestInfo {
        let steps = match &self.progress {
            Progress::Running(call) => call.steps(),
            Progress::Reading | Progress::Ended { .. } => String::new(),
        };
        OpenRequestInfo {
            id: self.id.clone(),
            phase: self.progress.phase(),
            since: self.since,
            route: self.route.clone(),
            service: self.service.clone(),
            hop: self.progress.hop(),
            verdict: self.progress.verdict(),
            steps,
        }
    }
}

/// The requests that are open at an instance.
#[derive(Default)]
pub(crate) struct OpenRequests {
    entries: RefCell<FastMap<u64, Entry>>,
    next_number: Cell<u64>,
}

impl OpenRequests {
    /// Numbers of requests by phase.
    pub(crate) fn counts(&self) -> PhaseCounts {
        let mut counts = PhaseCounts::default();
        for entry in self.entries.borrow().values() {
            counts.0[entry.progress.phase() as usize] += 1;
        }
        counts
    }

    /// The `max` oldest requests, the oldest first.
    pub(crate) fn oldest(&self, max: usize) -> Vec<OpenRequestInfo> {
        let entries = self.entries.borrow();
        let mut sorted: Vec<(&u64, &Entry)> = entries.iter().collect();
        sorted.sort_by_key(|(number, entry)| (entry.since, **number));
        sorted.into_iter().take(max).map(|(_, entry)| entry.info()).collect()
    }

    fn add(&self, entry: Entry) -> u64 {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        self.entries.borrow_mut().insert(number, entry);
        number
    }

    fn update<T>(&self, number: u64, change: impl FnOnce(&mut Entry) -> T) -> Option<T> {
        self.entries.borrow_mut().get_mut(&number).map(change)
    }

    fn remove(&self, number: u64) {
        // Dropped after the borrow: the end of a request may change other state.
        let entry = self.entries.borrow_mut().remove(&number);
        drop(entry);
    }
}

/// An open request; no longer open once dropped.
pub(crate) struct OpenRequest {
    instance: Rc<Instance>,
    number: u64,
}

impl OpenRequest {
    /// Opens a request whose head has been read.
    pub(crate) fn begin(instance: &Rc<Instance>, id: Option<HeaderValue>) -> Self {
        let (since, progress) = (instance.now(), Progress::Reading);
        let number = instance.open.add(Entry { id, since, route: None, service: None, progress });
        Self { instance: Rc::clone(instance), number }
    }

    /// Records the route of a request that has been admitted.
    pub(crate) fn admit(&self, route: &Arc<Route>) {
        let set_route = |entry: &mut Entry| entry.route = Some(Arc::clone(route));
        let _ = self.instance.open.update(self.number, set_route);
    }

    /// Records that the request is being served.
    pub(crate) fn run(&self, call: Rc<Call>) {
        let service = Rc::clone(&call.service);
        let _ = self.instance.open.update(self.number, |entry| entry.service = Some(service));
        self.set(|_| Progress::Running(call));
    }

    /// Records that the request has its answer.
    pub(crate) fn answer(&self, verdict: Verdict) {
        self.end(Phase::Answering, Some(verdict));
    }

    /// Records that the kernel has taken the answer.
    pub(crate) fn deliver(&self) {
        self.end(Phase::Delivering, None);
    }

    fn end(&self, phase: Phase, verdict: Option<Verdict>) {
        self.set(|progress| {
            let verdict = verdict.unwrap_or_else(|| progress.verdict());
            Progress::Ended { phase, verdict, hop: progress.hop() }
        });
    }

    fn set(&self, next: impl FnOnce(&Progress) -> Progress) {
        let before = self.instance.open.update(self.number, |entry| {
            let next = next(&entry.progress);
            std::mem::replace(&mut entry.progress, next)
        });
        // As in `remove`.
        drop(before);
    }

    /// What is known of the request.
    pub(crate) fn info(&self) -> Option<OpenRequestInfo> {
        self.instance.open.entries.borrow().get(&self.number).map(Entry::info)
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.instance.open.remove(self.number);
    }
}
