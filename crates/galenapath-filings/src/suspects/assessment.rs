//! Assessment of requests by the crashes that they were in flight in.

use super::crash::Crash;
use crate::Fingerprint;
use galenapath_protocol::Micros;
use std::collections::BTreeMap;

/// Crashes after which a request can be confirmed as their cause. One crash may be a coincidence.
const MIN_CRASHES_TO_CONFIRM: usize = 2;

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
    /// It was in at least two crashes, and in one of them no other request was in as many.
    Confirmed,
}

/// Assesses every request in `crashes`. This takes a few passes over all members, so it is done
/// when the crashes change and not for each request.
pub(super) fn assess<'a>(
    crashes: impl Iterator<Item = &'a Crash> + Clone,
) -> BTreeMap<Fingerprint, Assessment> {
    let mut all = BTreeMap::new();
    for crash in crashes.clone() {
        for fp in &crash.members {
            let fresh = Assessment { crashes: 0, last: crash.at, suspicion: Suspicion::Explained };
            let assessment = all.entry(*fp).or_insert(fresh);
            assessment.crashes += 1;
            assessment.last = assessment.last.max(crash.at);
        }
    }
    for crash in crashes.clone() {
        if let Some(cause) = confirmed_cause(crash, &all) {
            set_suspicion(&mut all, cause, Suspicion::Confirmed);
        }
    }
    for crash in crashes {
        if crash.members.iter().all(|fp| !is_confirmed(&all, *fp)) {
            crash.members.iter().for_each(|fp| set_suspicion(&mut all, *fp, Suspicion::Suspected));
        }
    }
    all
}

/// The member that was in more crashes than all others, if it was in at least
/// [`MIN_CRASHES_TO_CONFIRM`].
fn confirmed_cause(crash: &Crash, all: &BTreeMap<Fingerprint, Assessment>) -> Option<Fingerprint> {
    let count = |fp: &Fingerprint| all.get(fp).map_or(0, |assessment| assessment.crashes);
    let top = crash.members.iter().max_by_key(|fp| count(fp))?;
    let equals = crash.members.iter().filter(|fp| count(fp) == count(top)).count();
    (count(top) >= MIN_CRASHES_TO_CONFIRM && equals == 1).then_some(*top)
}

fn is_confirmed(all: &BTreeMap<Fingerprint, Assessment>, fp: Fingerprint) -> bool {
    all.get(&fp).is_some_and(|assessment| assessment.suspicion == Suspicion::Confirmed)
}

fn set_suspicion(
    all: &mut BTreeMap<Fingerprint, Assessment>,
    fp: Fingerprint,
    suspicion: Suspicion,
) {
    if let Some(assessment) = all.get_mut(&fp) {
        assessment.suspicion = suspicion;
    }
}
