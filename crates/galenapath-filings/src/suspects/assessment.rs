//! What the known crashes say about each request in them.

use super::crash::Crash;
use crate::Fingerprint;
use galenapath_protocol::Micros;
use std::collections::BTreeMap;

/// Crashes from which a request is refused: one crash may be chance, and the second names it.
const REFUSED_FROM: usize = 2;

/// How a request stands after the known crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Standing {
    /// Crashes that it was in flight in.
    crashes: usize,
    /// The last of them.
    pub(super) last: Micros,
    pub(super) blame: Blame,
}

/// How far a request is to blame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Blame {
    /// A culprit accounts for each of its crashes.
    Bystander,
    /// One of its crashes has no known culprit.
    Suspect,
    /// It was in two crashes or more, and in one of them nothing else was in as many.
    Culprit,
}

/// The standing of every request in `crashes`. Costs a few passes over their members, so it is
/// worked out when the crashes change and not for each request.
pub(super) fn standings<'a>(
    crashes: impl Iterator<Item = &'a Crash> + Clone,
) -> BTreeMap<Fingerprint, Standing> {
    let mut all = BTreeMap::new();
    for crash in crashes.clone() {
        for fp in &crash.members {
            let fresh = Standing { crashes: 0, last: crash.at, blame: Blame::Bystander };
            let standing = all.entry(*fp).or_insert(fresh);
            standing.crashes += 1;
            standing.last = standing.last.max(crash.at);
        }
    }
    for crash in crashes.clone() {
        if let Some(culprit) = named(crash, &all) {
            set(&mut all, culprit, Blame::Culprit);
        }
    }
    for crash in crashes {
        if crash.members.iter().all(|fp| !is_culprit(&all, *fp)) {
            crash.members.iter().for_each(|fp| set(&mut all, *fp, Blame::Suspect));
        }
    }
    all
}

/// The member that was in more crashes than all others, if it was in enough.
fn named(crash: &Crash, all: &BTreeMap<Fingerprint, Standing>) -> Option<Fingerprint> {
    let count = |fp: &Fingerprint| all.get(fp).map_or(0, |standing| standing.crashes);
    let top = crash.members.iter().max_by_key(|fp| count(fp))?;
    let equals = crash.members.iter().filter(|fp| count(fp) == count(top)).count();
    (count(top) >= REFUSED_FROM && equals == 1).then_some(*top)
}

fn is_culprit(all: &BTreeMap<Fingerprint, Standing>, fp: Fingerprint) -> bool {
    all.get(&fp).is_some_and(|standing| standing.blame == Blame::Culprit)
}

fn set(all: &mut BTreeMap<Fingerprint, Standing>, fp: Fingerprint, blame: Blame) {
    if let Some(standing) = all.get_mut(&fp) {
        standing.blame = blame;
    }
}
