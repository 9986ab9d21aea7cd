//! The backend servers that the platform lists, and how far the list is known.
//!
//! Load pattern: watches that are cut or lose their history, lists read in pages that are no
//! snapshot, entries that lapse while the store is away, and peers that pass changes on in any
//! order. Without revisions an old list would bring back a server that has left; without the wait
//! after an outage a store that forgot its entries would empty the fleet. A server may start again
//! under its identity while a write of its former run is still on its way: without the time of the start
//! that write would bring the former run back, or keep the new one from getting requests.

use crate::{Change, ListNews, ListedServer, Removal, ServerChanges, ServerRecord, StartedAt};
use galenapath_protocol::{BackendId, FastMap, FastSet, Micros};
use std::collections::VecDeque;
use std::sync::Arc;

/// Removals that are remembered for peers that are behind. A day of 440 replacements fits.
const REMEMBERED: usize = 1_024;

#[derive(Clone, Debug)]
struct Listed {
    revision: u64,
    /// Shared with those who read the list, of which each would else hold a copy.
    record: Arc<ServerRecord>,
    /// When the server counts as gone unless its entry comes back; set for entries that vanished
    /// while the store was away.
    lapses_at: Option<Micros>,
}

impl Listed {
    fn listed(&self, now: Micros) -> ListedServer {
        ListedServer {
            revision: self.revision,
            record: ServerRecord::clone(&self.record),
            lapses_in: self.lapses_at.map(|at| at - now),
        }
    }
}

/// The newest removal of an entry.
#[derive(Clone, Copy, Debug)]
struct Removed {
    revision: u64,
    /// Start of the latest run that is known; an earlier one does not come back.
    started: StartedAt,
}

/// The list.
///
/// Invariants: of each identity only the latest run that was ever seen counts, whatever the revisions say
/// of earlier ones; within a run an entry's revision never falls; an entry that was removed at
/// revision `r` comes back only with a revision above `r`.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    position: u64,
    servers: FastMap<BackendId, Listed>,
    /// Removals, oldest first.
    removals: VecDeque<Removal>,
    removed: FastMap<BackendId, Removed>,
    /// Position up to which removals are not all known: they were forgotten, or made before the list
    /// that this one began with.
    forgotten: u64,
    /// Counts changes that a reader of the list can see.
    generation: u64,
    /// What has changed since it was last asked.
    news: Vec<ListNews>,
    /// Names of services and failure domains, which all servers share.
    names: FastSet<Arc<str>>,
}

impl Directory {
    /// Position in the store up to which the list is complete; zero before the first list.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Counts up with each visible change.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// What has changed since the last call, in order. Whoever changes the list has to call this, or what
    /// has changed gathers.
    pub fn take_news(&mut self) -> Vec<ListNews> {
        std::mem::take(&mut self.news)
    }

    /// The servers.
    pub fn servers(&self) -> impl Iterator<Item = &Arc<ServerRecord>> {
        self.servers.values().map(|listed| &listed.record)
    }

    /// One server.
    pub fn get(&self, id: &BackendId) -> Option<&ServerRecord> {
        self.servers.get(id).map(|listed| &*listed.record)
    }

    /// Takes in one change that the store made at `revision`. A removal counts from `gone_at` on,
    /// or at once without it. Returns whether it was news.
    pub fn apply(&mut self, revision: u64, change: Change, gone_at: Option<Micros>) -> bool {
        match change {
            Change::Put(record) => self.put(revision, record, None),
            Change::Removed(id) => self.remove(revision, &id, gone_at),
        }
    }

    /// Notes that all changes up to `position` have been taken in.
    pub fn reached(&mut self, position: u64) {
        self.position = self.position.max(position);
    }

    /// Takes in a list that was read from `position` on. Entries known before and missing in it
    /// count as gone from `gone_at` on, or at once without it.
    pub fn take_list(&mut self, position: u64, list: Vec<ListedServer>, gone_at: Option<Micros>) {
        let listed: FastSet<BackendId> = list.iter().map(|entry| entry.record.id.clone()).collect();
        for entry in list {
            self.put(entry.revision, entry.record, None);
        }
        self.remove_where(position, gone_at, |id| !listed.contains(id));
        // What came and went before the list was read is not known here. A peer that was behind then
        // needs the whole list, or it would keep a server that is long gone.
        self.forgotten = self.forgotten.max(position);
        self.reached(position);
    }

    /// Takes in who is there at `position`.
    fn remove_missing(&mut self, position: u64, present: &FastSet<u32>) {
        self.remove_where(position, None, |id| !present.contains(&id.short_hash()));
        self.forgotten = self.forgotten.max(position);
    }

    /// Removes the servers that were gone at `position`: those that `is_gone` says of the ones listed up to
    /// there.
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

    /// Removes the servers whose time to come back has passed. Returns their runs.
    pub fn expire(&mut self, now: Micros) -> Vec<BackendId> {
        let is_due = |entry: &Listed| entry.lapses_at.is_some_and(|at| at <= now);
        let due: Vec<BackendId> =
            self.servers.iter().filter(|(_, e)| is_due(e)).map(|(id, _)| id.clone()).collect();
        let runs = due.iter().map(|id| self.servers[id].record.run_id()).collect();
        for id in &due {
            let revision = self.servers[id].revision;
            self.drop_entry(revision, id);
        }
        runs
    }

    /// What a peer at `position` lacks.
    ///
    /// A peer that is so far behind that not all removals since are known gets who is there instead, in five
    /// bytes a server: while hundreds of instances start and servers come in, each list begins at another
    /// position, and whole lists went to and fro.
    pub fn changes_after(&self, position: u64, now: Micros) -> ServerChanges {
        let is_whole = position == 0;
        let is_forgotten = !is_whole && position < self.forgotten;
        let present = self.servers.keys().filter(|_| is_forgotten).map(BackendId::short_hash);
        let puts = self.servers.values().filter(|e| is_whole || e.revision > position);
        let removals = self.removals.iter().filter(|r| !is_whole && r.revision > position);
        ServerChanges {
            is_whole,
            present: present.collect(),
            puts: puts.map(|entry| entry.listed(now)).collect(),
            removals: removals.cloned().collect(),
            position: self.position,
        }
    }

    /// Takes in what a peer sent. Entries older than the own ones are left out.
    pub fn merge(&mut self, changes: ServerChanges, now: Micros) {
        let ServerChanges { is_whole, present, puts, removals, position } = changes;
        if is_whole && position >= self.position {
            self.take_list(position, puts.clone(), None);
        }
        if !present.is_empty() && position >= self.position {
            self.remove_missing(position, &present.into_iter().collect());
        }
        for put in puts {
            self.put(put.revision, put.record, put.lapses_in.map(|left| now + left));
        }
        for removal in removals {
            self.remove(removal.revision, &removal.id, None);
        }
        self.reached(position);
    }

    fn put(&mut self, revision: u64, record: ServerRecord, lapses_at: Option<Micros>) -> bool {
        if self.is_of_former_run(&record) {
            return false;
        }
        if self.removed.get(&record.id).is_some_and(|removed| removed.revision >= revision) {
            self.note_gone(&record);
            return false;
        }
        let record = Arc::new(self.with_shared_names(record));
        let Some(entry) = self.servers.get_mut(&record.id) else {
            self.news.push(ListNews::Listed { revision, record: Arc::clone(&record) });
            self.servers.insert(record.id.clone(), Listed { revision, record, lapses_at });
            self.generation += 1;
            return true;
        };
        let is_later_run = record.started > entry.record.started;
        let is_old = entry.revision > revision && !is_later_run;
        if is_old || (entry.revision == revision && entry.record == record) {
            if entry.revision == revision && entry.lapses_at.is_none() {
                entry.lapses_at = lapses_at;
            }
            return false;
        }
        let is_back = entry.lapses_at.is_some() && lapses_at.is_none();
        entry.revision = revision;
        entry.lapses_at = lapses_at;
        let is_changed = record.has_turned(&entry.record) || !entry.record.is_like(&record);
        entry.record = Arc::clone(&record);
        self.generation += u64::from(is_changed);
        if is_changed || is_back {
            self.news.push(ListNews::Listed { revision, record });
        }
        true
    }

    /// The record with the names of its service and failure domain that other records have.
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

    /// Whether a later run of the server is known.
    fn is_of_former_run(&self, record: &ServerRecord) -> bool {
        let listed = self.servers.get(&record.id).map(|entry| entry.record.started);
        let removed = self.removed.get(&record.id).map(|removed| removed.started);
        listed.max(removed).is_some_and(|latest| latest > record.started)
    }

    /// The run of `record` has ended before it was heard of; an earlier one ends with it.
    fn note_gone(&mut self, record: &ServerRecord) {
        let Some(removed) = self.removed.get_mut(&record.id) else { return };
        removed.started = record.started;
        let revision = removed.revision;
        let former = self.servers.get(&record.id).map(|entry| &*entry.record);
        let Some(former) = former.filter(|former| former.started < record.started) else { return };
        let id = former.run_id();
        self.drop_entry(revision, &record.id);
        self.news.push(ListNews::Removed { revision, id, gone_at: None });
    }

    fn remove(&mut self, revision: u64, id: &BackendId, gone_at: Option<Micros>) -> bool {
        let Some(entry) = self.servers.get_mut(id) else {
            // The entry itself may still be on its way.
            self.remember_removal(revision, id);
            return false;
        };
        if entry.revision > revision {
            // It may have met a later run, whose entry is still on its way.
            self.remember_removal(revision, id);
            return false;
        }
        let run = entry.record.run_id();
        match gone_at {
            Some(at) => {
                entry.lapses_at.get_or_insert(at);
                entry.revision = revision;
            }
            None => self.drop_entry(revision, id),
        }
        self.news.push(ListNews::Removed { revision, id: run, gone_at });
        true
    }

    fn drop_entry(&mut self, revision: u64, id: &BackendId) {
        self.remember_removal(revision, id);
        self.servers.remove(id);
        self.generation += 1;
    }

    fn remember_removal(&mut self, revision: u64, id: &BackendId) {
        let before = self.removed.get(id).copied();
        let listed = self.servers.get(id).map(|entry| entry.record.started);
        let started = listed.max(before.map(|removed| removed.started)).unwrap_or_default();
        if let Some(before) = before.filter(|before| before.revision >= revision) {
            self.removed.insert(id.clone(), Removed { started, ..before });
            return;
        }
        self.removals.push_back(Removal { revision, id: id.clone() });
        self.removed.insert(id.clone(), Removed { revision, started });
        while self.removals.len() > REMEMBERED {
            if let Some(oldest) = self.removals.pop_front() {
                let is_newer = |removed: &Removed| removed.revision > oldest.revision;
                self.removed.retain(|id, removed| *id != oldest.id || is_newer(removed));
                self.forgotten = self.forgotten.max(oldest.revision);
            }
        }
    }
}
