//! The filing table of one instance, which makes sure that a filing runs at most once.
//!
//! Load pattern: a burst of filings in which callers do not receive answers and resend, through
//! this instance or another. Without the table, a resend runs a booking twice. The limits are
//! memory and key windows. A full table rejects new keys and never drops a record that has not
//! expired. A key of an expired window is rejected by its window number, so dropping its record is
//! safe.

mod admit;
mod claims;

use crate::claim::{ClaimBudget, PendingClaim};
use crate::handed_over::HandedOverOutcomes;
use crate::key::prefix_text;
use crate::record::{AfterAttempt, AttemptEnd, FilingEnd, Record, RecordGone, State};
use crate::records::Records;
use crate::{ClaimId, FilingConfig, Guards, HandOverEntry, HandOverOutcome, RecordId};
use galenapath_protocol::{Incarnation, Micros, Verdict};
use std::collections::BTreeMap;

pub use admit::FilingDecision;

/// Number of windows after the current one whose keys are admitted, since the clock of the instance
/// that issued the key may be ahead.
const MAX_WINDOWS_AHEAD: u32 = 1;

/// The filing table of one instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct FilingTable {
    cfg: FilingConfig,
    guards: Guards,
    incarnation: Incarnation,
    /// Latest time passed in. Invariant: never decreases.
    now: Micros,
    /// A planned stop has begun: new keys are rejected, filings in progress continue.
    stopping: bool,
    records: Records,
    handed_over: HandedOverOutcomes,
    budget: ClaimBudget,
    next_claim: u64,
    /// Requested claims without a result. Invariant: at most the claims requested within
    /// `claim_timeout`, and one more.
    pending: BTreeMap<ClaimId, PendingClaim>,
}

impl FilingTable {
    /// Creates an empty table for `incarnation`.
    pub fn new(cfg: FilingConfig, incarnation: Incarnation) -> Self {
        Self::with_guards(cfg, incarnation, Guards::default())
    }

    /// Creates an empty table with some of the protocol's guards off, for model tests only.
    #[doc(hidden)]
    pub fn with_guards(cfg: FilingConfig, incarnation: Incarnation, guards: Guards) -> Self {
        let budget = ClaimBudget::new(cfg.claims_per_sec);
        Self {
            cfg,
            guards,
            incarnation,
            now: Micros::ZERO,
            stopping: false,
            records: Records::default(),
            handed_over: HandedOverOutcomes::default(),
            budget,
            next_claim: 0,
            pending: BTreeMap::new(),
        }
    }

    /// The current key prefix, for the address response.
    pub fn key_prefix(&mut self, now: Micros) -> String {
        self.expire(now);
        prefix_text(self.incarnation, self.window())
    }

    /// The current key prefix of another instance, for an address response that contains it.
    ///
    /// Instances that issue prefixes for each other must count time from one origin, such as the
    /// Unix epoch at their start. Clocks that differ by more than a key window reduce availability
    /// only: the other instance rejects keys of windows that are too far ahead or expired.
    pub fn key_prefix_for(&mut self, now: Micros, incarnation: Incarnation) -> String {
        self.expire(now);
        prefix_text(incarnation, self.window())
    }

    /// Marks the record as sent. Must be called immediately before the first byte of an attempt is
    /// sent, with the current time.
    ///
    /// # Errors
    ///
    /// The record no longer exists or is closed. Nothing may be sent; call [`admit`](Self::admit)
    /// again for the answer to the caller.
    pub fn mark_sent(&mut self, now: Micros, id: RecordId) -> Result<(), RecordGone> {
        self.expire(now);
        if !self.guards.sent_checked {
            return Ok(());
        }
        let record = self.records.get_mut(id).ok_or(RecordGone)?;
        if record.state != State::Admitted {
            return Err(RecordGone);
        }
        record.state = State::Sent;
        Ok(())
    }

    /// Records the end of an attempt and returns what must follow. Another attempt is allowed only
    /// after [`AfterAttempt::NotRun`].
    pub fn record_attempt_end(
        &mut self,
        now: Micros,
        id: RecordId,
        end: AttemptEnd,
    ) -> AfterAttempt {
        self.expire(now);
        let not_run = match end {
            AttemptEnd::Answered => return AfterAttempt::Answered,
            AttemptEnd::NothingSent | AttemptEnd::Rejected => true,
            AttemptEnd::Lost => !self.guards.lost_is_final,
        };
        if !not_run {
            return AfterAttempt::MayHaveRun;
        }
        if let Some(record) = self.records.get_mut(id)
            && record.state == State::Sent
        {
            record.state = State::Admitted;
        }
        AfterAttempt::NotRun
    }

    /// Closes a filing and returns the verdict for its caller.
    ///
    /// [`FilingEnd::NotRun`] gives "may have run" if bytes may have been sent, unless
    /// [`record_attempt_end`](Self::record_attempt_end) has recorded that the attempt did not run.
    /// After "not run", a resend of the key may run. An answer that arrives after "may have run" is
    /// kept for resends.
    pub fn resolve(&mut self, now: Micros, id: RecordId, end: FilingEnd) -> Verdict {
        self.expire(now);
        match end {
            FilingEnd::NotRun => self.resolve_not_run(id),
            FilingEnd::MayHaveRun => {
                self.close(id);
                Verdict::MayHaveRun
            }
            FilingEnd::Answered(answer) => {
                let (max_answer, max) = (self.cfg.max_answer_bytes, self.cfg.max_bytes);
                self.records.store_answer(id, answer, max_answer, max);
                Verdict::Answered
            }
        }
    }

    /// Begins a planned stop, after which new keys are rejected.
    pub fn begin_stop(&mut self) {
        self.stopping = true;
    }

    /// Returns all known outcomes for the successors, and begins a planned stop.
    ///
    /// Should be called when the last filing has ended, since a successor answers "may have run"
    /// for filings without an outcome. It can be called again for filings that ended later. Newest
    /// windows come first, since a successor accepts only as many outcomes as fit in its memory
    /// limit.
    pub fn hand_over(&mut self) -> Vec<HandOverEntry> {
        self.begin_stop();
        self.records
            .iter()
            .filter_map(|(key, record)| {
                let outcome = match &record.state {
                    State::Answered(answer) => HandOverOutcome::Answered(answer.clone()),
                    State::AnswerDropped { status } => {
                        HandOverOutcome::AnswerDropped { status: *status }
                    }
                    _ => return None,
                };
                Some(HandOverEntry { key, fp: record.fp, outcome })
            })
            .collect()
    }

    /// Applies the outcomes handed over by `from`, which has stopped as planned. This table answers
    /// "may have run" for keys of `from` without an outcome and dispatches none of them.
    pub fn apply_hand_over(&mut self, now: Micros, from: Incarnation, records: Vec<HandOverEntry>) {
        self.expire(now);
        let until = self.now + self.cfg.window + self.cfg.lifetime;
        self.handed_over.add(from, until, records, self.cfg.max_handed_over_bytes);
    }

    /// Number of records, including expired ones that are not freed yet.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Memory of records and answers in bytes, including outcomes handed over to this table.
    pub fn bytes(&self) -> usize {
        self.records.bytes() + self.handed_over.bytes()
    }

    /// Advances the time, expires windows and frees some of their records.
    pub fn expire(&mut self, now: Micros) {
        self.now = self.now.max(now);
        let closed = (self.now - self.cfg.lifetime).0 / self.window_len();
        self.records.expire(u32::try_from(closed).unwrap_or(u32::MAX));
        self.handed_over.expire(self.now);
    }

    fn resolve_not_run(&mut self, id: RecordId) -> Verdict {
        let Some(record) = self.records.get_mut(id) else { return Verdict::MayHaveRun };
        match record.state {
            State::Admitted if record.is_caller_chosen => record.state = State::Ready,
            State::Admitted => self.records.remove(id),
            _ => {
                self.close(id);
                return Verdict::MayHaveRun;
            }
        }
        Verdict::NotRun
    }

    /// Closes an open record as "may have run".
    fn close(&mut self, id: RecordId) {
        let Some(record) = self.records.get_mut(id) else { return };
        if matches!(record.state, State::Admitted | State::Sent) {
            record.state = State::MayHaveRun;
        }
    }

    fn window_len(&self) -> u64 {
        self.cfg.window.0.max(1)
    }

    /// The current key window.
    fn window(&self) -> u32 {
        u32::try_from(self.now.0 / self.window_len()).unwrap_or(u32::MAX)
    }

    /// Time until the oldest window expires and its memory can be freed.
    fn time_until_room(&self) -> Micros {
        let oldest = self.records.oldest_window().unwrap_or(self.window());
        let end = Micros((u64::from(oldest) + 1).saturating_mul(self.window_len()));
        (end + self.cfg.lifetime - self.now).max(self.cfg.retry_after)
    }

    fn insert(&mut self, id: RecordId, record: Record) -> bool {
        let max = self.cfg.max_bytes;
        if self.records.insert(id, record.clone(), max) {
            return true;
        }
        if self.guards.full_rejects {
            return false;
        }
        self.records.drop_oldest();
        self.records.insert(id, record, max)
    }
}
