//! Removed entries of the list of backend servers.

use crate::{Removal, ServerRecord, StartedAt};
use galenapath_protocol::{BackendId, FastMap};
use std::collections::VecDeque;

/// Number of removals kept for peers that are behind. Enough for a day of 440 replacements.
const MAX_REMOVALS: usize = 1_024;

/// An entry at the time of its removal.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RemovedEntry {
    /// Revision of the entry.
    pub(crate) revision: u64,
    /// Start of its run.
    pub(crate) started: StartedAt,
}

/// The latest removal of an entry.
#[derive(Clone, Copy, Debug)]
struct Removed {
    /// The entry is restored only with a later revision.
    revision: u64,
    /// Revision of the entry that was removed; `None` if it was removed in an earlier epoch, which
    /// tells nothing of later runs.
    entry: Option<u64>,
    /// Start of the latest known run. Entries of earlier runs are ignored.
    started: StartedAt,
}

impl Removed {
    /// Whether an entry that was written at `revision` is removed.
    fn contains(&self, record: &ServerRecord, revision: u64) -> bool {
        let is_later_run = self.entry.is_none() && record.started > self.started;
        self.revision >= revision && !is_later_run
    }
}

/// The latest removals. All revisions are of the current epoch of the store.
#[derive(Clone, Debug, Default)]
pub(crate) struct Removals {
    /// Oldest first.
    in_order: VecDeque<Removal>,
    latest: FastMap<BackendId, Removed>,
    /// Revision up to which `in_order` is incomplete: removals were discarded, or made before the
    /// list that this one began with.
    forgotten: u64,
}

impl Removals {
    /// Revision up to which removals are missing in [`Self::after`].
    pub(crate) fn forgotten(&self) -> u64 {
        self.forgotten
    }

    /// The removals after `revision`.
    pub(crate) fn after(&self, revision: u64) -> impl Iterator<Item = &Removal> {
        self.in_order.iter().filter(move |removal| removal.revision > revision)
    }

    /// Records that removals up to `revision` may be missing.
    pub(crate) fn forget_up_to(&mut self, revision: u64) {
        self.forgotten = self.forgotten.max(revision);
    }

    /// Begins an epoch with a list read at `revision`. The backup may still have the removed
    /// entries, so only those written since count: later than the one that was removed, or than the
    /// read.
    pub(crate) fn begin_epoch(&mut self, revision: u64) {
        for removed in self.latest.values_mut() {
            let entry = removed.entry.take().unwrap_or(u64::MAX);
            removed.revision = entry.min(revision);
        }
        self.in_order.clear();
        self.forgotten = revision;
    }

    /// Whether an entry that was written at `revision` is removed.
    pub(crate) fn contains(&self, record: &ServerRecord, revision: u64) -> bool {
        self.latest.get(&record.id).is_some_and(|removed| removed.contains(record, revision))
    }

    /// Start of the latest run known to be removed.
    pub(crate) fn latest_run(&self, id: &BackendId) -> Option<StartedAt> {
        self.latest.get(id).map(|removed| removed.started)
    }

    /// Records that the run of `record` ended before its entry arrived. Returns the revision of the
    /// removal.
    pub(crate) fn end_run(&mut self, record: &ServerRecord) -> Option<u64> {
        let removed = self.latest.get_mut(&record.id)?;
        removed.started = record.started;
        Some(removed.revision)
    }

    /// Records a removal at `revision` of `entry`, or of one that has not arrived.
    pub(crate) fn add(&mut self, revision: u64, id: &BackendId, entry: Option<RemovedEntry>) {
        let before = self.latest.get(id).copied();
        let started = entry.map(|entry| entry.started).max(before.map(|removed| removed.started));
        let started = started.unwrap_or_default();
        let known = entry.map(|entry| entry.revision).or(before.and_then(|removed| removed.entry));
        let entry = Some(known.unwrap_or(revision));
        if let Some(before) = before.filter(|before| before.revision >= revision) {
            self.latest.insert(id.clone(), Removed { started, entry, ..before });
            return;
        }
        self.in_order.push_back(Removal { revision, id: id.clone() });
        self.latest.insert(id.clone(), Removed { revision, entry, started });
        while self.in_order.len() > MAX_REMOVALS {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some(oldest) = self.in_order.pop_front() else { return };
        let is_newer = |removed: &Removed| removed.revision > oldest.revision;
        self.latest.retain(|id, removed| *id != oldest.id || is_newer(removed));
        self.forget_up_to(oldest.revision);
    }
}
