//! Admission of a filing by its key.

use super::{FilingTable, MAX_WINDOWS_AHEAD};
use crate::record::{Record, State};
use crate::{Answer, ClaimId, FilingKey, Fingerprint, KeyId, KeyKind, RecordId};
use galenapath_protocol::{Incarnation, Micros};
use std::sync::Arc;

/// What to do with a filing that was received.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum FilingDecision {
    /// Dispatch it. A record was created, which must be closed by [`FilingTable::resolve`].
    Run(RecordId),
    /// The same filing is in progress under this record. Wait for its end and admit again, or
    /// answer "may have run", so that the caller resends the same key.
    InProgress(RecordId),
    /// The filing ran. Send this answer.
    Replay(Arc<Answer>),
    /// The filing ran, but only the status of its answer is known.
    AnsweredNotKept {
        /// HTTP status of the answer.
        status: u16,
    },
    /// The filing may have run and must not be dispatched.
    MayHaveRun,
    /// The key is bound to another request. This one did not run.
    Mismatch,
    /// The table is full or the instance is stopping. The filing did not run.
    Full {
        /// Time after which a retry may be admitted.
        retry_after: Micros,
    },
    /// Forward it to this incarnation or, if it no longer runs, to its successor. If neither can be
    /// reached, answer "may have run".
    Forward(Incarnation),
    /// Write this claim of a caller-chosen key to the store and pass the result to
    /// [`FilingTable::apply_claim_result`].
    Claim(ClaimId),
    /// A caller-chosen key that cannot be claimed now. This request did not run, but another
    /// instance may have run the key earlier, which only the store can show. Answer "may have run",
    /// so that the caller resends the same key after `retry_after`.
    Unclaimed {
        /// Time after which a resend may succeed.
        retry_after: Micros,
    },
    /// The key's window has expired or is too far ahead. Nothing is known of the filing: answer
    /// "may have run".
    Expired,
}

impl FilingTable {
    /// Decides what to do with a filing, given its key and the fingerprint of its request.
    pub fn admit(&mut self, now: Micros, key: &FilingKey, fp: Fingerprint) -> FilingDecision {
        self.expire(now);
        match key.kind() {
            KeyKind::CallerChosen => self.admit_caller_chosen(key.id(), fp),
            KeyKind::Issued { incarnation, window } if self.owns(incarnation) => {
                self.admit_issued(key.id(), window, fp)
            }
            KeyKind::Issued { incarnation, window } => {
                match self.admit_elsewhere(incarnation, key.id(), fp) {
                    FilingDecision::MayHaveRun if !self.guards.successor_replays_only => {
                        self.admit_issued(key.id(), window, fp)
                    }
                    decision => decision,
                }
            }
        }
    }

    fn owns(&self, incarnation: Incarnation) -> bool {
        incarnation == self.incarnation || !self.guards.incarnation_binds
    }

    fn admit_issued(&mut self, key: KeyId, window: u32, fp: Fingerprint) -> FilingDecision {
        let first_live_window = self.records.first_live_window();
        let expired = window < first_live_window && self.guards.expired_rejected;
        if expired || window > self.window().saturating_add(MAX_WINDOWS_AHEAD) {
            return FilingDecision::Expired;
        }
        let window = window.max(first_live_window);
        if let Some(id) = self.records.find(window, key) {
            return self.admit_known(id, fp);
        }
        if self.stopping {
            return FilingDecision::Full { retry_after: self.cfg.retry_after };
        }
        match self.open(window, key, fp, State::Admitted, false) {
            Some(id) => FilingDecision::Run(id),
            None => FilingDecision::Full { retry_after: self.time_until_room() },
        }
    }

    /// Decides on a key that only another incarnation dispatches.
    pub(super) fn admit_elsewhere(
        &self,
        to: Incarnation,
        key: KeyId,
        fp: Fingerprint,
    ) -> FilingDecision {
        self.handed_over.admit(to, key, fp).unwrap_or(FilingDecision::Forward(to))
    }

    /// Decides on a key that has a record in this table.
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

    /// Dispatches a key that did not run before, under a new sequence number. This invalidates the
    /// previous record id.
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

    /// Creates a record. Returns `None` if the table is full.
    pub(super) fn open(
        &mut self,
        window: u32,
        key: KeyId,
        fp: Fingerprint,
        state: State,
        is_caller_chosen: bool,
    ) -> Option<RecordId> {
        let seq = self.records.next_seq();
        let id = RecordId { seq, window, key };
        self.insert(id, Record { seq, fp, is_caller_chosen, state }).then_some(id)
    }
}
