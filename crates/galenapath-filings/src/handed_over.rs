//! Outcomes handed over by instances that stopped as planned.
//!
//! Dropping an outcome early is safe: without one, the successor answers "may have run" and never
//! dispatches the key.

use crate::records::RECORD_BYTES;
use crate::{Answer, FilingDecision, Fingerprint, KeyId};
use galenapath_protocol::{Incarnation, Micros};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A known outcome of a key, as a stopping instance hands it over.
///
/// Keys without a known outcome are not handed over: the successor answers "may have run".
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct HandOverEntry {
    /// Identity of the key.
    pub key: KeyId,
    /// Fingerprint of the request that the key is bound to.
    pub fp: Fingerprint,
    /// How the filing ended.
    pub outcome: HandOverOutcome,
}

/// How a handed-over filing ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum HandOverOutcome {
    /// The complete answer was kept.
    Answered(Arc<Answer>),
    /// Only the answer's status was kept.
    AnswerDropped {
        /// HTTP status of the answer.
        status: u16,
    },
}

impl HandOverEntry {
    /// Splits outcomes, in order, into parts of at most `max_bytes` as counted by
    /// [`bytes`](Self::bytes). A larger outcome gets its own part. Each part is sent to the
    /// successor in one message.
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

    /// Memory in bytes that the outcome takes at the successor. The encoded message is larger.
    pub fn bytes(&self) -> usize {
        match &self.outcome {
            HandOverOutcome::Answered(answer) => RECORD_BYTES + answer.bytes(),
            HandOverOutcome::AnswerDropped { .. } => RECORD_BYTES,
        }
    }
}

/// Outcomes of one stopped incarnation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct IncarnationOutcomes {
    until: Micros,
    records: BTreeMap<KeyId, (Fingerprint, HandOverOutcome)>,
    bytes: usize,
}

/// Outcomes handed over to this instance, by the incarnation that they come from.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct HandedOverOutcomes {
    by_incarnation: BTreeMap<Incarnation, IncarnationOutcomes>,
    /// Invariant: the sum over all incarnations, at most `max_handed_over_bytes` of the settings.
    bytes: usize,
}

impl HandedOverOutcomes {
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds outcomes of `from`, skipping those that would exceed `max_bytes` in total.
    pub(crate) fn add(
        &mut self,
        from: Incarnation,
        until: Micros,
        records: Vec<HandOverEntry>,
        max_bytes: usize,
    ) {
        let outcomes = self.by_incarnation.entry(from).or_default();
        outcomes.until = outcomes.until.max(until);
        for record in records {
            let cost = record.bytes();
            if self.bytes + cost > max_bytes || outcomes.records.contains_key(&record.key) {
                continue;
            }
            outcomes.records.insert(record.key, (record.fp, record.outcome));
            outcomes.bytes += cost;
            self.bytes += cost;
        }
    }

    pub(crate) fn expire(&mut self, now: Micros) {
        if self.by_incarnation.values().all(|outcomes| outcomes.until > now) {
            return;
        }
        self.by_incarnation.retain(|_, outcomes| outcomes.until > now);
        self.bytes = self.by_incarnation.values().map(|outcomes| outcomes.bytes).sum();
    }

    /// Decides on a key of a stopped incarnation. `None` if nothing was received from `from`.
    pub(crate) fn admit(
        &self,
        from: Incarnation,
        key: KeyId,
        fp: Fingerprint,
    ) -> Option<FilingDecision> {
        let outcomes = self.by_incarnation.get(&from)?;
        Some(
            outcomes
                .records
                .get(&key)
                .map_or(FilingDecision::MayHaveRun, |found| replay(found, fp)),
        )
    }

    /// Decides on a caller-chosen key, bound to any stopped incarnation. `None` if it is unknown.
    pub(crate) fn admit_caller_chosen(
        &self,
        key: KeyId,
        fp: Fingerprint,
    ) -> Option<FilingDecision> {
        let mut all = self.by_incarnation.values();
        all.find_map(|outcomes| outcomes.records.get(&key)).map(|found| replay(found, fp))
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
