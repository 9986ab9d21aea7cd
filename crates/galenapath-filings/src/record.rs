//! The record of one filing and how it changes.

use crate::{Answer, ClaimId, Fingerprint, KeyId};
use std::sync::Arc;
use thiserror::Error;

/// Names one record of one table; a later record of the same key has another id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RecordId {
    // First, so that ids sort by age.
    pub(crate) seq: u64,
    pub(crate) window: u32,
    pub(crate) key: KeyId,
}

/// How a filing ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum FilingEnd {
    /// No backend server ran it: no byte was sent, or the server itself refused it.
    NotRun,
    /// Bytes may have reached a backend server and its answer is not known.
    MayHaveRun,
    /// The complete answer.
    Answered(Answer),
}

/// How one attempt at one backend server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptEnd {
    /// No byte left the instance.
    NothingSent,
    /// The backend server answered that it did not run the request.
    Rejected,
    /// Bytes left and no complete answer came.
    Lost,
    /// A complete answer came.
    Answered,
}

/// What may follow an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AfterAttempt {
    /// The filing did not run: another backend server may get it, or the caller is told "not run".
    NotRun,
    /// The filing may have run: resolve it so, never dispatch it again.
    MayHaveRun,
    /// Resolve the filing with the answer.
    Answered,
}

/// The record is not open any more: nothing may be sent for it.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the filing's record is gone or closed; nothing may be sent for it")]
pub struct RecordGone;

/// State of a record.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum State {
    /// Own key: the claim `latest` is with the store. Claims `first` and later are from this
    /// record's life, in which nothing was dispatched.
    Claiming { first: ClaimId, latest: ClaimId },
    /// Own key: a claim since `first` may have landed or may land later; nothing was dispatched.
    Unclaimed { first: ClaimId },
    /// Own key: claimed, did not run, may run on a resend.
    Ready,
    /// Admitted; no byte has left.
    Admitted,
    /// Bytes may have left.
    Sent,
    /// Closed without an answer. Never leaves this state except for a late answer.
    MayHaveRun,
    /// Closed with its answer.
    Answered(Arc<Answer>),
    /// Closed; the answer was too large or had to make room.
    AnswerDropped { status: u16 },
}

/// One filing.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Record {
    /// Sequence number of its [`RecordId`].
    pub(crate) seq: u64,
    /// Fingerprint of the request that it is bound to, from `Admitted` on.
    pub(crate) fp: Fingerprint,
    pub(crate) own_key: bool,
    pub(crate) state: State,
}

impl Record {
    /// Whether the record holds the key to one fingerprint.
    pub(crate) fn binds_fingerprint(&self) -> bool {
        !matches!(self.state, State::Claiming { .. } | State::Unclaimed { .. } | State::Ready)
    }
}
