//! The record of one filing and its states.

use crate::{Answer, ClaimId, Fingerprint, KeyId};
use std::sync::Arc;
use thiserror::Error;

/// Identifies one record of one table. A later record of the same key has another id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RecordId {
    // The first field, so that ids sort by age.
    pub(crate) seq: u64,
    pub(crate) window: u32,
    pub(crate) key: KeyId,
}

/// How a filing ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum FilingEnd {
    /// No backend server ran it: no byte was sent, or the server rejected it.
    NotRun,
    /// Bytes may have reached a backend server, and its answer is not known.
    MayHaveRun,
    /// The backend server answered completely.
    Answered(Answer),
}

/// How one attempt at one backend server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptEnd {
    /// No byte was sent.
    NothingSent,
    /// The backend server answered that it did not run the request.
    Rejected,
    /// Bytes were sent and no complete answer was received.
    Lost,
    /// A complete answer was received.
    Answered,
}

/// What the caller of the table must do after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AfterAttempt {
    /// The filing did not run: send it to another backend server, or resolve it as "not run".
    NotRun,
    /// The filing may have run: resolve it as "may have run" and never dispatch it again.
    MayHaveRun,
    /// Resolve the filing with the answer.
    Answered,
}

/// The record no longer exists or is closed, so nothing may be sent for it.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the filing's record no longer exists or is closed; the request must not be sent")]
pub struct RecordGone;

/// State of a record.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum State {
    /// Caller-chosen key: the claim `latest` was requested from the store. `first` is the first
    /// claim requested for this record. Nothing has been dispatched since.
    Claiming { first: ClaimId, latest: ClaimId },
    /// Caller-chosen key: the store may hold, or later create, one of the claims since `first`.
    /// Nothing has been dispatched since.
    Unclaimed { first: ClaimId },
    /// Caller-chosen key: claimed, did not run, may run on a resend.
    Ready,
    /// Admitted; no byte has been sent.
    Admitted,
    /// Bytes may have been sent.
    Sent,
    /// Closed without an answer. Only a late answer changes this state.
    MayHaveRun,
    /// Closed with its answer.
    Answered(Arc<Answer>),
    /// Closed; the answer was too large or was dropped to free memory.
    AnswerDropped { status: u16 },
}

/// One filing.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Record {
    /// Sequence number of its [`RecordId`].
    pub(crate) seq: u64,
    /// Fingerprint of the request that the key is bound to once the record is `Admitted`.
    pub(crate) fp: Fingerprint,
    pub(crate) is_caller_chosen: bool,
    pub(crate) state: State,
}

impl Record {
    /// Whether requests with another fingerprint are a mismatch.
    pub(crate) fn binds_fingerprint(&self) -> bool {
        !matches!(self.state, State::Claiming { .. } | State::Unclaimed { .. } | State::Ready)
    }
}
