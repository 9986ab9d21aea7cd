//! Assessment of requests by the crashes that they were in flight in.

use super::crash::Crash;
use crate::Fingerprint;
use galenapath_protocol::Micros;
use std::cmp::Ordering;
use std::collections::{BTreeMap, VecDeque};

/// Crashes after which a request can be confirmed as their cause. One crash may be a coincidence.
const MIN_CRASHES_TO_CONFIRM: usize = 2;

/// Crashes after which requests are rejected that were all in as many, so that none is the confirmed
/// cause. Fewer come about by chance, where few servers are left.
const MIN_CRASHES_TO_REJECT_TIED: usize = 3;

/// Assessment of a request by the known crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Assessment {
    /// Number of crashes that it was in flight in.
    crashes: usize,
    /// Time of the last of these crashes.
    pub(super) last: Micros,
    pub(super) suspicion: Suspicion,
}

/// Whether a request may be the cause of crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Suspicion {
    /// Each of its crashes has another request as its confirmed cause.
    Explained,
    /// At least one of its crashes has no confirmed cause.
    Suspected,
    /// The same, and it was in at least three crashes. `rank` numbers all such requests.
    Tied {
        /// From 0.
        rank: u32,
    },
    /// It was in at least two crashes, and in one of them no other request was in as many at the time of
    /// its last one.
    Confirmed,
}

type Assessments = BTreeMap<Fingerprint, Assessment>;

/// Assesses every request in `crashes`, which are in the order of their times. This takes a few passes
/// over all members, so it is done when the crashes change and not for each request.
pub(super) fn assess(crashes: &VecDeque<Crash>) -> Assessments {
    let mut all = Assessments::new();
    for (at, crash) in crashes.iter().enumerate() {
        count(&mut all, crash);
        confirm_causes(&mut all, crashes.iter().take(at + 1), crash);
    }
    for crash in crashes {
        if crash.members.iter().all(|fp| !is_confirmed(&all, *fp)) {
            crash.members.iter().for_each(|fp| set_suspicion(&mut all, *fp, Suspicion::Suspected));
        }
    }
    rank_tied(&mut all);
    all
}

/// Numbers the requests that cannot be told apart, in the same order on all instances.
fn rank_tied(all: &mut Assessments) {
    let tied = all.values_mut().filter(|assessment| {
        assessment.suspicion == Suspicion::Suspected
            && assessment.crashes >= MIN_CRASHES_TO_REJECT_TIED
    });
    for (rank, assessment) in (0..).zip(tied) {
        assessment.suspicion = Suspicion::Tied { rank };
    }
}

fn count(all: &mut Assessments, crash: &Crash) {
    for fp in &crash.members {
        let fresh = Assessment { crashes: 0, last: crash.at, suspicion: Suspicion::Explained };
        let assessment = all.entry(*fp).or_insert(fresh);
        assessment.crashes += 1;
        assessment.last = assessment.last.max(crash.at);
    }
}

/// Confirms the causes of the crashes up to `newest`, by what is known at that time. Crashes later on
/// do not change that: the requests beside a cause may be in flight when other servers are lost.
fn confirm_causes<'a>(
    all: &mut Assessments,
    known: impl Iterator<Item = &'a Crash>,
    newest: &Crash,
) {
    // Only the counts of the members of the newest crash have changed.
    for crash in known.filter(|crash| crash.has_member_of(newest)) {
        if let Some(cause) = confirmed_cause(crash, all) {
            set_suspicion(all, cause, Suspicion::Confirmed);
        }
    }
}

/// The member that was in more crashes than all others, if it was in at least
/// [`MIN_CRASHES_TO_CONFIRM`].
fn confirmed_cause(crash: &Crash, all: &Assessments) -> Option<Fingerprint> {
    let (mut most, mut cause) = (MIN_CRASHES_TO_CONFIRM - 1, None);
    for fp in &crash.members {
        let count = all.get(fp).map_or(0, |assessment| assessment.crashes);
        match count.cmp(&most) {
            Ordering::Greater => (most, cause) = (count, Some(*fp)),
            Ordering::Equal => cause = None,
            Ordering::Less => {}
        }
    }
    cause
}

fn is_confirmed(all: &Assessments, fp: Fingerprint) -> bool {
    all.get(&fp).is_some_and(|assessment| assessment.suspicion == Suspicion::Confirmed)
}

fn set_suspicion(all: &mut Assessments, fp: Fingerprint, suspicion: Suspicion) {
    if let Some(assessment) = all.get_mut(&fp) {
        assessment.suspicion = suspicion;
    }
}
