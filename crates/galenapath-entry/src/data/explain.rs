//! Explanations of recent requests, for `galenactl explain`.

use super::request::{RequestId, RequestMeta};
use galenapath_config::Class;
use galenapath_protocol::{BackendId, Micros, Verdict};
use http::StatusCode;
use std::collections::VecDeque;
use std::fmt;
use std::sync::Arc;

/// Number of requests in the history. At about 200 bytes each, they stay below 1 MB.
const MAX_REMEMBERED: usize = 4_096;

/// One attempt at a backend server, or one forward to another instance.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    /// The backend server or instance.
    pub backend: BackendId,
    /// How the attempt ended.
    pub end: AttemptResult,
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub enum AttemptResult {
    /// With an answer of this status.
    Status(StatusCode),
    /// Without an answer, because of this error.
    Error(String),
}

impl fmt::Display for AttemptResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Status(status) => status.fmt(f),
            Self::Error(text) => f.write_str(text),
        }
    }
}

/// The course of one request. One is kept for every recent request, so the class is shared to save
/// memory.
#[derive(Clone, Debug)]
pub struct Explanation {
    id: RequestId,
    /// Class of the request.
    pub class: Arc<Class>,
    /// Workspace of the request.
    pub workspace: String,
    /// Time spent waiting for admission.
    pub waited: Micros,
    /// Time from the arrival of the head to the end of the request.
    pub took: Micros,
    /// Attempts, in order.
    pub attempts: Vec<AttemptRecord>,
    /// Status of the answer to the caller; 0 if the caller had disconnected.
    pub status: u16,
    /// Verdict in the answer to the caller.
    pub verdict: Verdict,
    /// Reason for the status and the verdict.
    pub reason: &'static str,
}

impl Explanation {
    /// Returns the identifier of the request.
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
    /// Adds a request; the oldest one is removed if the history is full.
    pub(super) fn push(&mut self, explanation: Explanation) {
        if self.recent.len() >= MAX_REMEMBERED {
            self.recent.pop_front();
        }
        self.recent.push_back(explanation);
    }

    /// Returns the explanation of a request, if it is still in the history.
    pub fn find(&self, id: &str) -> Option<&Explanation> {
        let id = RequestId::parse(id)?;
        self.recent.iter().rev().find(|explanation| explanation.id == id)
    }
}

/// Collects the events of one request.
pub(super) struct Trace {
    id: RequestId,
    pub(super) waited: Micros,
    pub(super) attempts: Vec<AttemptRecord>,
    /// Number of attempts over the whole chain of calls, as far as known here; zero before the
    /// first one.
    pub(super) attempt_count: u32,
}

impl Trace {
    pub(super) const fn new(id: RequestId) -> Self {
        Self { id, waited: Micros::ZERO, attempts: Vec::new(), attempt_count: 0 }
    }

    /// Records an attempt that ended with an answer.
    pub(super) fn record_answer(&mut self, backend: &BackendId, status: StatusCode) {
        self.attempts
            .push(AttemptRecord { backend: backend.clone(), end: AttemptResult::Status(status) });
    }

    /// Records an attempt that ended without an answer.
    pub(super) fn record_failure(&mut self, backend: &BackendId, error: &impl ToString) {
        let end = AttemptResult::Error(error.to_string());
        self.attempts.push(AttemptRecord { backend: backend.clone(), end });
    }

    /// Returns the explanation of the ended request.
    pub(super) fn into_explanation(
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
            attempts: self.attempts,
            status,
            verdict,
            reason,
        }
    }
}
