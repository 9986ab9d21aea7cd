//! The filing table of one instance: admits, dispatches once, remembers.
//!
//! Load pattern: a burst of filings in which callers lose answers and send again, through this
//! instance or another. Without the table a resend runs a booking twice. Its limits are bytes and
//! key windows: a full table refuses new keys and never forgets a live one, and a key whose window
//! has passed is refused by its number, so that forgetting its record is harmless.

mod admit;
mod claims;

use crate::adopted::Adopted;
use crate::claim::{ClaimBudget, PendingClaim};
use crate::key::prefix_text;
use crate::record::{AfterAttempt, AttemptEnd, FilingEnd, Record, RecordGone, State};
use crate::store::Records;
use crate::{ClaimId, FilingConfig, Guards, HandOverEntry, HandOverOutcome, RecordId};
use galenapath_protocol::{Incarnation, Micros, Verdict};
use std::collections::BTreeMap;

pub use admit::FilingDecision;

/// Windows ahead of the current one whose keys are admitted: the clock of the instance that issued
/// the key may be ahead.
const EARLY_WINDOWS: u32 = 1;

/// The filing table of one instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct FilingTable {
    cfg: FilingConfig,
    guards: Guards,
    incarnation: Incarnation,
    /// Latest time seen. Invariant: never falls.
    now: Micros,
    /// A planned stop has begun: new keys are refused, those in progress end.
    stopping: bool,
    records: Records,
    adopted: Adopted,
    budget: ClaimBudget,
    next_claim: u64,
    /// Claims that are with the store. Invariant: at most those of `claim_patience` and one more.
    pending: BTreeMap<ClaimId, PendingClaim>,
}

impl FilingTable {
    /// An empty table of `incarnation`.
    pub fn new(cfg: FilingConfig, incarnation: Incarnation) -> Self {
        Self::with_guards(cfg, incarnation, Guards::default())
    }

    /// An empty table with some of the protocol's guards off; for model tests only.
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
            adopted: Adopted::default(),
            budget,
            next_claim: 0,
            pending: BTreeMap::new(),
        }
    }

    /// The current key prefix, for the address answer.
    pub fn key_prefix(&mut self, now: Micros) -> String {
        self.expire(now);
        prefix_text(self.incarnation, self.window())
    }

    /// The current key prefix of another instance, for an address answer that names it.
    ///
    /// Instances that issue for each other count time from one origin, such as the Unix epoch at
    /// their start. Clocks that disagree by more than a key window cost availability only: the
    /// owner refuses keys of windows that it does not know yet, and those below its own floor.
    pub fn key_prefix_for(&mut self, now: Micros, incarnation: Incarnation) -> String {
        self.expire(now);
        prefix_text(incarnation, self.window())
    }

    /// Marks that the first byte of an attempt may leave now. Must be called right before it does,
    /// with the time read right before; on an error nothing may be sent and the caller is told
    /// what a fresh [`admit`](Self::admit) says.
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

    /// Tells what may follow an attempt. The record is open for another attempt only after
    /// [`AfterAttempt::NotRun`].
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

    /// Closes a filing and returns the verdict that its caller may be told.
    ///
    /// "Not run" is taken back to "may have run" when bytes may have left and
    /// [`attempt_ended`](Self::attempt_ended) was not told otherwise. After "not run" a resend of
    /// the key may run. An answer that comes after "may have run" is kept for resends.
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
                self.records.keep(id, answer, max_answer, max);
                Verdict::Answered
            }
        }
    }

    /// Begins a planned stop: new keys are refused from now on.
    pub fn begin_stop(&mut self) {
        self.stopping = true;
    }

    /// All known outcomes, for the successors; begins a planned stop if none has begun. Best called
    /// when the last filing has ended, since a successor answers "may have run" for the others. It
    /// may be called again for those that ended since. Newest windows come first, since a successor
    /// takes over no more than it has room for.
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

    /// Takes over the outcomes of `from`, which has stopped as planned. Keys of `from` without an
    /// outcome are "may have run" here; none is dispatched.
    pub fn apply_hand_over(&mut self, now: Micros, from: Incarnation, records: Vec<HandOverEntry>) {
        self.expire(now);
        let until = self.now + self.cfg.window + self.cfg.lifetime;
        self.adopted.add(from, until, records, self.cfg.max_adopted_bytes);
    }

    /// Number of records, expired ones that are not freed yet included.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Bytes that records and answers take, those taken over included.
    pub fn bytes(&self) -> usize {
        self.records.bytes() + self.adopted.bytes()
    }

    /// Moves time on: closes expired windows and frees some of their records.
    pub fn expire(&mut self, now: Micros) {
        self.now = self.now.max(now);
        let closed = (self.now - self.cfg.lifetime).0 / self.window_len();
        self.records.expire(u32::try_from(closed).unwrap_or(u32::MAX));
        self.adopted.expire(self.now);
    }

    fn resolve_not_run(&mut self, id: RecordId) -> Verdict {
        let Some(record) = self.records.get_mut(id) else { return Verdict::MayHaveRun };
        match record.state {
            State::Admitted if record.own_key => record.state = State::Ready,
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

    /// Span until the oldest window expires and makes room.
    fn room_after(&self) -> Micros {
        let oldest = self.records.oldest_window().unwrap_or(self.window());
        let end = Micros((u64::from(oldest) + 1).saturating_mul(self.window_len()));
        (end + self.cfg.lifetime - self.now).max(self.cfg.retry_after)
    }

    fn insert(&mut self, id: RecordId, record: Record) -> bool {
        let max = self.cfg.max_bytes;
        if self.records.insert(id, record.clone(), max) {
            return true;
        }
        if self.guards.full_refuses {
            return false;
        }
        self.records.drop_oldest();
        self.records.insert(id, record, max)
    }
}
