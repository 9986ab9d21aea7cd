//! Admission of a filing by its key.

use super::{EARLY_WINDOWS, FilingTable};
use crate::record::{Record, State};
use crate::{Answer, ClaimId, FilingKey, Fingerprint, KeyId, KeyKind, RecordId};
use galenapath_protocol::{Incarnation, Micros};
use std::sync::Arc;

/// What to do with a filing that has come in.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum FilingDecision {
    /// Dispatch it: a record is made, and whoever got this must resolve it.
    Run(RecordId),
    /// The same filing is in progress under this record. Wait for its end and admit again, or tell
    /// the caller "may have run", to send the same key again soon.
    InProgress(RecordId),
    /// It ran; this is its answer.
    Replay(Arc<Answer>),
    /// It ran; only the status of its answer is known.
    AnsweredNotKept {
        /// HTTP status of the answer.
        status: u16,
    },
    /// It may have run and is not dispatched.
    MayHaveRun,
    /// The key belongs to another request; this one did not run.
    Mismatch,
    /// No room for a new key, or the instance is stopping; it did not run.
    Full {
        /// Span after which there may be room.
        retry_after: Micros,
    },
    /// Pass it to this incarnation; where that one is gone, to its successor; else "may have run".
    Forward(Incarnation),
    /// Write this claim of a caller's own key to the store and report the result to
    /// [`FilingTable::claim_result`].
    Claim(ClaimId),
    /// An own key that cannot be claimed now. This try ran nowhere, but another instance may have
    /// run the key earlier and only the store knows: tell the caller "may have run", to send the
    /// same key again after the span.
    Unclaimed {
        /// Span after which a resend may succeed.
        retry_after: Micros,
    },
    /// The key's window is over, or cannot have been issued yet. Nothing is known: "may have run".
    Expired,
}

impl FilingTable {
    /// Admits a filing with its key and the fingerprint of its request.
    pub fn admit(&mut self, now: Micros, key: &FilingKey, fp: Fingerprint) -> FilingDecision {
        self.expire(now);
        match key.kind() {
            KeyKind::Own => self.admit_own(key.id(), fp),
            KeyKind::Issued { incarnation, window } if self.owns(incarnation) => {
                self.admit_issued(key.id(), window, fp)
            }
            KeyKind::Issued { incarnation, window } => {
                match self.admit_elsewhere(incarnation, key.id(), fp) {
                    FilingDecision::MayHaveRun if !self.guards.successor_replays_only => {
                        self.admit_issued(key.id(), window, fp)
                    }
                    admit => admit,
                }
            }
        }
    }

    fn owns(&self, incarnation: Incarnation) -> bool {
        incarnation == self.incarnation || !self.guards.incarnation_binds
    }

    fn admit_issued(&mut self, key: KeyId, window: u32, fp: Fingerprint) -> FilingDecision {
        let floor = self.records.floor();
        let expired = window < floor && self.guards.expired_refused;
        if expired || window > self.window().saturating_add(EARLY_WINDOWS) {
            return FilingDecision::Expired;
        }
        let window = window.max(floor);
        if let Some(id) = self.records.find(window, key) {
            return self.admit_known(id, fp);
        }
        if self.stopping {
            return FilingDecision::Full { retry_after: self.cfg.retry_after };
        }
        match self.open(window, key, fp, State::Admitted, false) {
            Some(id) => FilingDecision::Run(id),
            None => FilingDecision::Full { retry_after: self.room_after() },
        }
    }

    /// A key that another incarnation dispatches.
    pub(super) fn admit_elsewhere(
        &self,
        to: Incarnation,
        key: KeyId,
        fp: Fingerprint,
    ) -> FilingDecision {
        self.adopted.admit(to, key, fp).unwrap_or(FilingDecision::Forward(to))
    }

    /// A key that has a record here.
    pub(super) fn admit_known(&mut self, id: RecordId, fp: Fingerprint) -> FilingDecision {
        let Some(record) = self.records.get_mut(id) else { return FilingDecision::MayHaveRun };
        let bound = record.binds_fingerprint() || !self.guards.unclaimed_unbound;
        if bound && record.fp != fp && self.guards.fingerprint_checked {
            return FilingDecision::Mismatch;
        }
        match &record.state {
            State::Admitted | State::Sent if !self.guards.record_first => self.run_again(id, fp),
            State::Admitted | State::Sent => FilingDecision::InProgress(id),
            State::Claiming { first, latest } => {
                let (first, latest) = (*first, *latest);
                match self.is_awaited(latest) {
                    true => FilingDecision::InProgress(id),
                    false => self.reclaim(id, first, fp),
                }
            }
            State::Unclaimed { first } => {
                let first = *first;
                self.reclaim(id, first, fp)
            }
            State::Ready => self.run_again(id, fp),
            State::MayHaveRun => FilingDecision::MayHaveRun,
            State::Answered(answer) => FilingDecision::Replay(Arc::clone(answer)),
            State::AnswerDropped { status } => FilingDecision::AnsweredNotKept { status: *status },
        }
    }

    /// Runs a claimed key that did not run, under a new sequence number: the holder of the old id
    /// can do nothing with it.
    fn run_again(&mut self, id: RecordId, fp: Fingerprint) -> FilingDecision {
        if self.stopping {
            return FilingDecision::Full { retry_after: self.cfg.retry_after };
        }
        let seq = self.records.next_seq();
        let Some(record) = self.records.get_mut(id) else { return FilingDecision::MayHaveRun };
        record.seq = seq;
        record.fp = fp;
        record.state = State::Admitted;
        FilingDecision::Run(RecordId { seq, ..id })
    }

    /// Makes a record; `None` if there is no room.
    pub(super) fn open(
        &mut self,
        window: u32,
        key: KeyId,
        fp: Fingerprint,
        state: State,
        own_key: bool,
    ) -> Option<RecordId> {
        let seq = self.records.next_seq();
        let id = RecordId { seq, window, key };
        self.insert(id, Record { seq, fp, own_key, state }).then_some(id)
    }
}
