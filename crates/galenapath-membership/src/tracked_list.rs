//! A list that the platform keeps, with its recent changes.
//!
//! Load pattern: a list of thousands of backend servers, a few of which are replaced each minute.
//! If every instance read the whole list at each change, the calls on the store would grow with the
//! fleet, and each instance would receive megabytes for the change of one server. Only a few
//! instances watch the list; the others ask a peer that is ahead for the changes between the two
//! positions.

use std::collections::{BTreeMap, VecDeque};

/// Number of changes kept. A peer that is further behind gets the whole list. At 440 replacements a
/// day with three changes each, this covers more than a day.
const MAX_CHANGES: usize = 2_048;

/// A list at a position of the platform's store, with the changes before it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrackedList<T> {
    /// Position in the store; zero before the first list.
    position: u64,
    entries: BTreeMap<String, T>,
    /// The last changes, oldest first. Positions never decrease.
    changes: VecDeque<Change>,
    /// Positions that this list has been at, oldest first. `changes` is complete from the first one
    /// on.
    ///
    /// A peer at any other position may hold an entry that was changed and changed back between two
    /// of these, which is not recorded here.
    known_positions: VecDeque<u64>,
}

/// One entry that was added, changed or removed.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Change {
    /// Position of the first list that had the change.
    position: u64,
    id: String,
}

/// The changes that turn the list at `from` into the list at `to`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListDelta<T> {
    /// Position that the delta applies to. Zero if it holds the whole list and applies to any.
    pub from: u64,
    /// Position after the delta.
    pub to: u64,
    /// Entries that were added or changed.
    pub put: BTreeMap<String, T>,
    /// Entries that were removed.
    pub removed: Vec<String>,
}

impl<T> Default for TrackedList<T> {
    fn default() -> Self {
        Self {
            position: 0,
            entries: BTreeMap::new(),
            changes: VecDeque::new(),
            known_positions: VecDeque::new(),
        }
    }
}

impl<T: Clone + PartialEq> TrackedList<T> {
    /// Position in the store; zero before the first list.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// The entries, ordered by their names.
    pub fn entries(&self) -> impl Iterator<Item = &T> {
        self.entries.values()
    }

    /// Applies the whole list as the platform returned it. Returns whether anything changed.
    ///
    /// A position below the current one means that the store was reset. The list is applied then
    /// too, and the changes before it are discarded.
    pub fn apply_list(&mut self, position: u64, list: BTreeMap<String, T>) -> bool {
        if position < self.position {
            self.changes.clear();
            self.known_positions.clear();
        }
        let is_first = self.known_positions.is_empty();
        let before = std::mem::replace(&mut self.entries, list);
        if is_first {
            self.move_to(position, Vec::new());
            return true;
        }
        let removed = before.keys().filter(|id| !self.entries.contains_key(*id));
        let put = self.entries.iter().filter(|(id, entry)| before.get(*id) != Some(*entry));
        let changed: Vec<String> = removed.chain(put.map(|(id, _)| id)).cloned().collect();
        let has_changed = !changed.is_empty();
        self.move_to(position, changed);
        has_changed
    }

    /// Applies the whole list as the platform returned it to a call that was sent when this list was
    /// at `asked_at`. Returns whether anything changed.
    ///
    /// A peer may have sent a later list since; an answer that is older than that is ignored. One
    /// that is older than `asked_at` means that the store was reset.
    pub fn apply_answer(
        &mut self,
        asked_at: u64,
        position: u64,
        list: BTreeMap<String, T>,
    ) -> bool {
        let is_overtaken = (asked_at..self.position).contains(&position);
        !is_overtaken && self.apply_list(position, list)
    }

    /// The changes that a peer at position `after` lacks; `None` if it lacks none.
    pub fn delta_after(&self, after: u64) -> Option<ListDelta<T>> {
        if after >= self.position {
            return None;
        }
        if !self.known_positions.contains(&after) {
            let put = self.entries.clone();
            return Some(ListDelta { from: 0, to: self.position, put, removed: Vec::new() });
        }
        let mut put = BTreeMap::new();
        let mut removed = Vec::new();
        for change in self.changes.iter().filter(|change| change.position > after) {
            match self.entries.get(&change.id) {
                Some(entry) => drop(put.insert(change.id.clone(), entry.clone())),
                None => removed.push(change.id.clone()),
            }
        }
        removed.sort();
        removed.dedup();
        Some(ListDelta { from: after, to: self.position, put, removed })
    }

    /// Applies a delta from a peer. A delta that is old, or that starts from another position, is
    /// ignored. Returns whether it was applied.
    pub fn apply(&mut self, delta: ListDelta<T>) -> bool {
        let fits = delta.from == 0 || delta.from == self.position;
        if delta.to <= self.position || !fits {
            return false;
        }
        if delta.from == 0 {
            self.apply_list(delta.to, delta.put);
            return true;
        }
        let mut changed = Vec::new();
        for id in delta.removed {
            self.entries.remove(&id);
            changed.push(id);
        }
        for (id, entry) in delta.put {
            changed.push(id.clone());
            self.entries.insert(id, entry);
        }
        self.move_to(delta.to, changed);
        true
    }

    /// Moves to `position` and records the changes that led there.
    fn move_to(&mut self, position: u64, changed: Vec<String>) {
        self.position = position;
        if self.known_positions.back() != Some(&position) {
            self.known_positions.push_back(position);
        }
        self.changes.extend(changed.into_iter().map(|id| Change { position, id }));
        while self.changes.len() > MAX_CHANGES || self.known_positions.len() > MAX_CHANGES {
            self.forget_oldest();
        }
    }

    /// Removes the oldest position and the changes that led from it to the next.
    fn forget_oldest(&mut self) {
        self.known_positions.pop_front();
        let Some(&oldest) = self.known_positions.front() else { return self.changes.clear() };
        while self.changes.front().is_some_and(|change| change.position <= oldest) {
            self.changes.pop_front();
        }
    }
}
