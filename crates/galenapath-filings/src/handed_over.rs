//! Outcomes taken over from instances that stopped as planned.
//!
//! Dropping them early is safe: a key without an outcome is "may have run" and is never dispatched
//! by a successor.

use crate::store::RECORD_COST;
use crate::{Answer, FilingDecision, Fingerprint, KeyId};
use galenapath_protocol::{Incarnation, Micros};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A known outcome of a key, as the stopping instance hands it over. Keys without a known outcome
/// are not handed over: the successor answers "may have run" for them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct HandOverEntry {
    /// The key.
    pub key: KeyId,
    /// The request that the key is bound to.
    pub fp: Fingerprint,
    /// How it ended.
    pub outcome: HandOverOutcome,
}

/// An outcome that is handed over.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum HandOverOutcome {
    /// The whole answer.
    Answered(Arc<Answer>),
    /// Only the answer's status.
    AnswerDropped {
        /// HTTP status of the answer.
        status: u16,
    },
}

impl HandOverEntry {
    /// Splits outcomes into parts of at most `max_bytes` by [`bytes`](Self::bytes), in their order;
    /// one that is larger makes a part of its own. A successor takes parts over one by one.
    pub fn split(outcomes: Vec<Self>, max_bytes: usize) -> Vec<Vec<Self>> {
        let mut parts: Vec<Vec<Self>> = Vec::new();
        let mut used = 0;
        for outcome in outcomes {
            let cost = outcome.bytes();
            match parts.last_mut() {
                Some(part) if used + cost <= max_bytes => part.push(outcome),
                _ => {
                    parts.push(vec![outcome]);
                    used = 0;
                }
            }
            used += cost;
        }
        parts
    }

    /// Bytes that the outcome takes at its successor; a message needs more by its coding.
    pub fn bytes(&self) -> usize {
        match &self.outcome {
            HandOverOutcome::Answered(answer) => RECORD_COST + answer.bytes(),
            HandOverOutcome::AnswerDropped { .. } => RECORD_COST,
        }
    }
}

/// What one stopped incarnation left.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Estate {
    until: Micros,
    records: BTreeMap<KeyId, (Fingerprint, HandOverOutcome)>,
    bytes: usize,
}

/// Outcomes taken over, by incarnation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Adopted {
    estates: BTreeMap<Incarnation, Estate>,
    /// Invariant: the sum over `estates`, at most the limit of the settings.
    bytes: usize,
}

impl Adopted {
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Takes over outcomes of `from`; those above `max_bytes` are left out.
    pub(crate) fn add(
        &mut self,
        from: Incarnation,
        until: Micros,
        records: Vec<HandOverEntry>,
        max_bytes: usize,
    ) {
        let estate = self.estates.entry(from).or_default();
        estate.until = estate.until.max(until);
        for record in records {
            let cost = record.bytes();
            if self.bytes + cost > max_bytes || estate.records.contains_key(&record.key) {
                continue;
            }
            estate.records.insert(record.key, (record.fp, record.outcome));
            estate.bytes += cost;
            self.bytes += cost;
        }
    }

    pub(crate) fn expire(&mut self, now: Micros) {
        if self.estates.values().all(|estate| estate.until > now) {
            return;
        }
        self.estates.retain(|_, estate| estate.until > now);
        self.bytes = self.estates.values().map(|estate| estate.bytes).sum();
    }

    /// The answer for a key of a stopped incarnation; `None` if it was not taken over.
    pub(crate) fn admit(
        &self,
        from: Incarnation,
        key: KeyId,
        fp: Fingerprint,
    ) -> Option<FilingDecision> {
        let estate = self.estates.get(&from)?;
        Some(estate.records.get(&key).map_or(FilingDecision::MayHaveRun, |found| replay(found, fp)))
    }

    /// The answer for a caller's own key, whichever incarnation it was bound to.
    pub(crate) fn admit_own(&self, key: KeyId, fp: Fingerprint) -> Option<FilingDecision> {
        let mut estates = self.estates.values();
        estates.find_map(|estate| estate.records.get(&key)).map(|found| replay(found, fp))
    }
}

fn replay((bound, outcome): &(Fingerprint, HandOverOutcome), fp: Fingerprint) -> FilingDecision {
    if *bound != fp {
        return FilingDecision::Mismatch;
    }
    match outcome {
        HandOverOutcome::Answered(answer) => FilingDecision::Replay(Arc::clone(answer)),
        HandOverOutcome::AnswerDropped { status } => {
            FilingDecision::AnsweredNotKept { status: *status }
        }
    }
}
