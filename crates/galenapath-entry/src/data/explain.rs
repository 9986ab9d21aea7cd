//! Explanations of recent requests, for `galenactl explain`.

use super::request::{RequestId, RequestMeta};
use galenapath_config::Class;
use galenapath_protocol::{BackendId, Micros, Verdict};
use http::StatusCode;
use std::collections::VecDeque;
use std::fmt;
use std::sync::Arc;

/// Requests remembered. At about 200 bytes each they stay below one megabyte.
const REMEMBERED: usize = 4_096;

/// One attempt at a backend server, or one pass to another instance.
#[derive(Clone, Debug)]
pub struct Tried {
    /// Who was tried.
    pub backend: BackendId,
    /// How the attempt ended.
    pub end: TriedEnd,
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub enum TriedEnd {
    /// With an answer.
    Status(StatusCode),
    /// Without one; why.
    Fault(String),
}

impl fmt::Display for TriedEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Status(status) => status.fmt(f),
            Self::Fault(why) => f.write_str(why),
        }
    }
}

/// What happened to one request and why. Kept for every request, so it shares what it can.
#[derive(Clone, Debug)]
pub struct Explanation {
    id: RequestId,
    /// Its class.
    pub class: Arc<Class>,
    /// Its workspace.
    pub workspace: String,
    /// Time that it waited for admission.
    pub waited: Micros,
    /// Time from its head to its end.
    pub took: Micros,
    /// Backend servers tried, in order.
    pub tried: Vec<Tried>,
    /// Status that the caller got; 0 where the caller had gone.
    pub status: u16,
    /// Verdict that the caller got.
    pub verdict: Verdict,
    /// Why it ended so.
    pub reason: &'static str,
}

impl Explanation {
    /// Identifier of the request.
    pub fn id(&self) -> String {
        self.id.to_string()
    }
}

/// Explanations of the most recent requests.
#[derive(Default)]
pub struct History {
    recent: VecDeque<Explanation>,
}

impl History {
    /// Remembers a request and forgets the oldest.
    pub(super) fn push(&mut self, explanation: Explanation) {
        if self.recent.len() >= REMEMBERED {
            self.recent.pop_front();
        }
        self.recent.push_back(explanation);
    }

    /// The explanation of a request, while it is remembered.
    pub fn find(&self, id: &str) -> Option<&Explanation> {
        let id = RequestId::parse(id)?;
        self.recent.iter().rev().find(|explanation| explanation.id == id)
    }
}

/// Collects what happens to one request.
pub(super) struct Trace {
    id: RequestId,
    pub(super) waited: Micros,
    pub(super) tried: Vec<Tried>,
    /// Attempts made over the whole chain of calls, as far as known here; zero before the first.
    pub(super) attempts: u32,
}

impl Trace {
    pub(super) const fn new(id: RequestId) -> Self {
        Self { id, waited: Micros::ZERO, tried: Vec::new(), attempts: 0 }
    }

    /// An attempt that ended with an answer.
    pub(super) fn answered(&mut self, backend: &BackendId, status: StatusCode) {
        self.tried.push(Tried { backend: backend.clone(), end: TriedEnd::Status(status) });
    }

    /// An attempt that ended without one.
    pub(super) fn failed(&mut self, backend: &BackendId, fault: &impl ToString) {
        let end = TriedEnd::Fault(fault.to_string());
        self.tried.push(Tried { backend: backend.clone(), end });
    }

    /// The whole explanation.
    pub(super) fn explain(
        self,
        meta: &RequestMeta,
        now: Micros,
        status: u16,
        verdict: Verdict,
        reason: &'static str,
    ) -> Explanation {
        Explanation {
            id: self.id,
            class: Arc::clone(&meta.class),
            workspace: meta.workspace.clone(),
            waited: self.waited,
            took: now - meta.arrived,
            tried: self.tried,
            status,
            verdict,
            reason,
        }
    }
}
