//! The backend servers that the platform lists, and the position up to which the list is known.
//!
//! Load pattern: watches that are cut or lose their history, lists read in pages that are no
//! snapshot, entries that expire while the store is unavailable, and peers that forward changes in
//! any order. Without revisions an old list would restore a server that has left. Without the delay
//! after an outage a store that lost its entries would empty the fleet. A server may start again
//! under its identity while a write of its former run is still in transit. Without the start time
//! that write would restore the former run or keep requests from the new one.
//!
//! A store that comes back from a backup shows servers that have left since, lacks those that
//! started since, and gives revisions out again. Without the epoch, what is written then would look
//! older than what is known, and be ignored.

use crate::listed::Listed;
use crate::removals::{Removals, RemovedEntry};
use crate::{Change, ListedServer, ServerChanges, ServerRecord, VisibleChange};
use galenapath_protocol::{BackendId, FastMap, FastSet, Micros, StorePosition};
use std::sync::Arc;

/// The list of backend servers.
///
/// All revisions are of the epoch of `position`.
///
/// Invariants: the position never goes back; every entry of a revision up to the position that is
/// not listed is gone, and is not listed again by a list or a delta of an earlier position; of each
/// identity only the latest known run counts, whatever the revisions of earlier runs are; within a
/// run and an epoch the revision of an entry never decreases; an entry that was removed at revision
/// `r` is restored only with a revision above `r`; an entry that was removed in an earlier epoch is
/// restored only once it has been written in this one.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    position: StorePosition,
    servers: FastMap<BackendId, Listed>,
    removals: Removals,
    /// Number of changes that readers of the list can observe.
    generation: u64,
    /// Changes since the last call of `take_visible_changes`.
    visible_changes: Vec<VisibleChange>,
    /// Names of services and failure domains, shared by all records.
    names: FastSet<Arc<str>>,
}

impl Directory {
    /// Position in the store up to which the list is complete; zero before the first list.
    pub fn position(&self) -> StorePosition {
        self.position
    }

    /// Increases with each visible change.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Takes the visible changes since the last call, in order. Has to be called after each change
    /// of the list, because the changes accumulate until then.
    pub fn take_visible_changes(&mut self) -> Vec<VisibleChange> {
        std::mem::take(&mut self.visible_changes)
    }

    /// The servers.
    pub fn servers(&self) -> impl Iterator<Item = &Arc<ServerRecord>> {
        self.servers.values().map(|listed| &listed.record)
    }

    /// The server with this identity.
    pub fn get(&self, id: &BackendId) -> Option<&ServerRecord> {
        self.servers.get(id).map(|listed| &*listed.record)
    }

    /// Applies one change that the store made at `revision`. A removal takes effect at `gone_at`,
    /// or at once if that is `None`. Returns whether an entry was added, updated or removed.
    pub fn apply(&mut self, revision: u64, change: Change, gone_at: Option<Micros>) -> bool {
        match change {
            Change::Put(record) => self.put(revision, record, None),
            Change::Removed(id) => self.remove(revision, &id, gone_at),
        }
    }

    /// Records that all changes up to `position` have been applied.
    pub fn advance_position(&mut self, position: impl Into<StorePosition>) {
        self.position = self.position.max(position.into());
    }

    /// Begins the epoch of `position`, unless it has begun, for a list read at that position. What
    /// is known of servers stays; it is older than everything in the new epoch.
    ///
    /// A removal holds against the backup, which may still have the entry. Only an entry that was
    /// written since the return of the store is later than the one that was removed, or than the
    /// read.
    pub fn begin_epoch(&mut self, position: StorePosition) {
        if position.epoch <= self.position.epoch {
            return;
        }
        self.servers.values_mut().for_each(|entry| entry.revision = 0);
        self.removals.begin_epoch(position.revision);
        self.position = StorePosition::new(position.epoch, 0);
    }

    /// Applies a list that was read at `position`. Known entries that are missing from it are
    /// removed at `gone_at`, or at once if that is `None`. A list of an earlier epoch is ignored.
    pub fn apply_list(
        &mut self,
        position: impl Into<StorePosition>,
        list: Vec<ListedServer>,
        gone_at: Option<Micros>,
    ) {
        let position = position.into();
        if position.epoch < self.position.epoch {
            return;
        }
        self.begin_epoch(position);
        let listed: FastSet<BackendId> = list.iter().map(|entry| entry.record.id.clone()).collect();
        for entry in list {
            self.put(entry.revision, entry.record, None);
        }
        self.remove_where(position.revision, gone_at, |id| !listed.contains(id));
        // Servers that were added and removed before the list was read are not known here. A peer
        // that is behind that position needs to learn which servers are present, or it would keep
        // one that was removed long ago.
        self.removals.forget_up_to(position.revision);
        self.advance_position(position);
    }

    /// Removes the servers that are not among those present at `position`.
    fn remove_missing(&mut self, position: u64, present: &FastSet<u32>) {
        self.remove_where(position, None, |id| !present.contains(&id.short_hash()));
        self.removals.forget_up_to(position);
    }

    /// Removes the servers listed up to `position` for which `is_gone` holds.
    fn remove_where(
        &mut self,
        position: u64,
        gone_at: Option<Micros>,
        is_gone: impl Fn(&BackendId) -> bool,
    ) {
        let is_gone =
            |(id, entry): &(&BackendId, &Listed)| entry.revision <= position && is_gone(id);
        let gone: Vec<BackendId> =
            self.servers.iter().filter(is_gone).map(|(id, _)| id.clone()).collect();
        gone.iter().for_each(|id| {
            self.remove(position, id, gone_at);
        });
    }

    /// Removes the servers whose time to return has passed. Returns their run IDs.
    pub fn expire(&mut self, now: Micros) -> Vec<BackendId> {
        let is_due = |entry: &Listed| entry.expires_at.is_some_and(|at| at <= now);
        let due: Vec<BackendId> =
            self.servers.iter().filter(|(_, e)| is_due(e)).map(|(id, _)| id.clone()).collect();
        let runs = due.iter().map(|id| self.servers[id].record.run_id()).collect();
        for id in &due {
            let revision = self.servers[id].revision;
            self.drop_entry(revision, id);
        }
        runs
    }

    /// The changes that a peer at `position` lacks.
    ///
    /// If the removals since `position` are no longer all known, the peer gets the short identities
    /// of the present servers instead, in five bytes per server. While hundreds of instances start
    /// and servers are added, each list begins at another position, and instances would exchange
    /// whole lists.
    ///
    /// A peer in another epoch gets the whole list.
    pub fn changes_after(&self, position: impl Into<StorePosition>, now: Micros) -> ServerChanges {
        let peer: StorePosition = position.into();
        let position = if peer.epoch == self.position.epoch { peer.revision } else { 0 };
        let is_behind = position < self.removals.forgotten();
        // Without any server there are no identities to send.
        let is_whole = position == 0 || (is_behind && self.servers.is_empty());
        let is_forgotten = !is_whole && is_behind;
        let present = self.servers.keys().filter(|_| is_forgotten).map(BackendId::short_hash);
        let puts = self.servers.values().filter(|e| is_whole || e.revision > position);
        let removals = self.removals.after(position).filter(|_| !is_whole);
        ServerChanges {
            is_whole,
            present: present.collect(),
            puts: puts.map(|entry| entry.listed(now)).collect(),
            removals: removals.cloned().collect(),
            position: self.position,
        }
    }

    /// Merges changes from a peer. Entries older than the known ones are ignored, and so is all
    /// that is of an earlier epoch. Known entries that are missing from a whole list are removed at
    /// `gone_at`, or at once if that is `None`.
    pub fn merge(&mut self, changes: ServerChanges, now: Micros, gone_at: Option<Micros>) {
        let ServerChanges { is_whole, present, puts, removals, position } = changes;
        if position.epoch < self.position.epoch {
            return;
        }
        self.begin_epoch(position);
        // The peer waits for the return of entries that are known to be gone here.
        let is_awaited = |put: &ListedServer| put.expires_in.is_some();
        let puts = puts.into_iter().filter(|put| !is_awaited(put) || !self.is_removed(&put.record));
        let puts: Vec<ListedServer> = puts.collect();
        let (puts, expiring) = if is_whole && position >= self.position {
            // The whole list is applied once; only entries that are about to lapse are put again.
            let expiring = puts.iter().filter(|put| put.expires_in.is_some()).cloned().collect();
            self.apply_list(position, puts, gone_at);
            (Vec::new(), expiring)
        } else {
            (puts, Vec::new())
        };
        if !present.is_empty() && position >= self.position {
            self.remove_missing(position.revision, &present.into_iter().collect());
        }
        for put in puts.into_iter().chain(expiring) {
            self.put(put.revision, put.record, put.expires_in.map(|left| now + left));
        }
        for removal in removals {
            self.remove(removal.revision, &removal.id, None);
        }
        self.advance_position(position);
    }

    fn put(&mut self, revision: u64, record: ServerRecord, expires_at: Option<Micros>) -> bool {
        if self.is_of_former_run(&record) || self.is_gone(&record.id, revision) {
            return false;
        }
        if self.removals.contains(&record, revision) {
            self.record_ended_run(&record);
            return false;
        }
        let record = Arc::new(self.with_shared_names(record));
        let Some(entry) = self.servers.get_mut(&record.id) else {
            self.visible_changes
                .push(VisibleChange::Listed { revision, record: Arc::clone(&record) });
            self.servers.insert(record.id.clone(), Listed { revision, record, expires_at });
            self.generation += 1;
            return true;
        };
        let is_later_run = record.started > entry.record.started;
        let is_old = entry.revision > revision && !is_later_run;
        if is_old || (entry.revision == revision && entry.record == record) {
            if entry.revision == revision && entry.expires_at.is_none() {
                entry.expires_at = expires_at;
            }
            return false;
        }
        let is_back = entry.expires_at.is_some() && expires_at.is_none();
        entry.revision = revision;
        entry.expires_at = expires_at;
        let is_changed = record.has_warm_up_changed(&entry.record)
            || !entry.record.is_same_except_warm_up(&record);
        entry.record = Arc::clone(&record);
        self.generation += u64::from(is_changed);
        if is_changed || is_back {
            self.visible_changes.push(VisibleChange::Listed { revision, record });
        }
        true
    }

    /// The record with its service and failure domain names shared with the other records.
    fn with_shared_names(&mut self, mut record: ServerRecord) -> ServerRecord {
        record.service = self.shared(record.service);
        record.domain.0 = self.shared(record.domain.0);
        record
    }

    fn shared(&mut self, name: Arc<str>) -> Arc<str> {
        if let Some(known) = self.names.get(&name) {
            return Arc::clone(known);
        }
        self.names.insert(Arc::clone(&name));
        name
    }

    /// Whether an entry of `revision` is known to be gone: the list is complete up to its position
    /// and lacks it, whether or not the removal itself is known.
    fn is_gone(&self, id: &BackendId, revision: u64) -> bool {
        let has_list = self.position.revision > 0;
        has_list && revision <= self.position.revision && !self.servers.contains_key(id)
    }

    /// Whether the run is known to be removed.
    fn is_removed(&self, record: &ServerRecord) -> bool {
        let is_ended = self.removals.latest_run(&record.id) >= Some(record.started);
        is_ended && !self.servers.contains_key(&record.id)
    }

    /// Whether a later run of the server is known.
    fn is_of_former_run(&self, record: &ServerRecord) -> bool {
        let listed = self.servers.get(&record.id).map(|entry| entry.record.started);
        let removed = self.removals.latest_run(&record.id);
        listed.max(removed).is_some_and(|latest| latest > record.started)
    }

    /// Records that the run of `record` ended before its entry arrived. Earlier runs end with it.
    fn record_ended_run(&mut self, record: &ServerRecord) {
        let Some(revision) = self.removals.end_run(record) else { return };
        let former = self.servers.get(&record.id).map(|entry| &*entry.record);
        let Some(former) = former.filter(|former| former.started < record.started) else { return };
        let id = former.run_id();
        self.drop_entry(revision, &record.id);
        self.visible_changes.push(VisibleChange::Removed { revision, id, gone_at: None });
    }

    fn remove(&mut self, revision: u64, id: &BackendId, gone_at: Option<Micros>) -> bool {
        let Some(entry) = self.servers.get_mut(id) else {
            // The entry itself may still be in transit.
            self.record_removal(revision, id);
            return false;
        };
        if entry.revision > revision {
            // The removal may belong to a later run, whose entry is still in transit.
            self.record_removal(revision, id);
            return false;
        }
        let run = entry.record.run_id();
        match gone_at {
            Some(at) => {
                entry.expires_at.get_or_insert(at);
                entry.revision = revision;
            }
            None => self.drop_entry(revision, id),
        }
        self.visible_changes.push(VisibleChange::Removed { revision, id: run, gone_at });
        true
    }

    fn drop_entry(&mut self, revision: u64, id: &BackendId) {
        self.record_removal(revision, id);
        self.servers.remove(id);
        self.generation += 1;
    }

    fn record_removal(&mut self, revision: u64, id: &BackendId) {
        let listed = self.servers.get(id);
        let entry = listed
            .map(|entry| RemovedEntry { revision: entry.revision, started: entry.record.started });
        self.removals.add(revision, id, entry);
    }
}
