//! Explanations of recent requests, for `galenactl explain`.

use super::request::{RequestId, RequestMeta};
use galenapath_protocol::{BackendId, Micros, Verdict};
use std::collections::VecDeque;

/// Requests remembered. At about 200 bytes each they stay below one megabyte.
const REMEMBERED: usize = 4_096;

/// One attempt at a backend server.
#[derive(Clone, Debug)]
pub struct Tried {
    /// The backend server.
    pub backend: BackendId,
    /// How the attempt ended.
    pub outcome: String,
}

/// What happened to one request and why.
#[derive(Clone, Debug)]
pub struct Explanation {
    /// Identifier of the request.
    pub id: String,
    /// Its class.
    pub class: String,
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
    pub reason: String,
}

/// Explanations of the most recent requests.
#[derive(Default)]
pub struct History {
    recent: VecDeque<(u64, Explanation)>,
}

impl History {
    /// Remembers a request and forgets the oldest.
    pub(super) fn push(&mut self, number: u64, explanation: Explanation) {
        if self.recent.len() >= REMEMBERED {
            self.recent.pop_front();
        }
        self.recent.push_back((number, explanation));
    }

    /// The explanation of a request, while it is remembered.
    pub fn find(&self, id: &str) -> Option<&Explanation> {
        self.recent.iter().rev().map(|(_, explanation)| explanation).find(|e| e.id == id)
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

    pub(super) fn tried(&mut self, backend: &BackendId, outcome: impl ToString) {
        self.tried.push(Tried { backend: backend.clone(), outcome: outcome.to_string() });
    }

    /// The whole explanation.
    pub(super) fn explain(
        self,
        meta: &RequestMeta,
        now: Micros,
        status: u16,
        verdict: Verdict,
        reason: &str,
    ) -> Explanation {
        Explanation {
            id: self.id.to_string(),
            class: meta.class.name.clone(),
            workspace: meta.workspace.clone(),
            waited: self.waited,
            took: now - meta.arrived,
            tried: self.tried,
            status,
            verdict,
            reason: reason.to_owned(),
        }
    }
}
