//! The records of one table: by key window, with their bytes counted.
//!
//! Ordered maps rather than hash maps: a whole window is dropped by its number, the model checker
//! can hash and compare the very state that runs, and no insert ever stalls on a rehash.

use crate::record::{Record, State};
use crate::{Answer, KeyId, RecordId};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Bytes of a record in its ordered map, nodes' free places included; measured by the `capacity`
/// example.
pub(crate) const RECORD_COST: usize = 128;

/// Most records of expired windows that one call frees, so that no request waits for a whole
/// window to be freed.
const FREED_PER_CALL: usize = 64;

/// The records of one table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Records {
    windows: BTreeMap<u32, BTreeMap<KeyId, Record>>,
    /// Windows below are expired. Invariant: never falls, and no lookup sees a record below it.
    floor: u32,
    /// Records whose answer is kept whole, oldest first.
    kept: BTreeSet<RecordId>,
    /// Invariant: the cost of all records and kept answers, at most `max_bytes` of the settings.
    bytes: usize,
    len: usize,
    next_seq: u64,
}

impl Records {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    pub(crate) fn floor(&self) -> u32 {
        self.floor
    }

    /// The oldest window that still holds records.
    pub(crate) fn oldest_window(&self) -> Option<u32> {
        self.windows.keys().next().copied()
    }

    pub(crate) fn next_seq(&mut self) -> u64 {
        self.next_seq += 1;
        self.next_seq
    }

    pub(crate) fn find(&self, window: u32, key: KeyId) -> Option<RecordId> {
        if window < self.floor {
            return None;
        }
        let record = self.windows.get(&window)?.get(&key)?;
        Some(RecordId { seq: record.seq, window, key })
    }

    /// Finds a key whose window is not known from its text.
    pub(crate) fn find_any(&self, key: KeyId) -> Option<RecordId> {
        self.windows.range(self.floor..).find_map(|(window, _)| self.find(*window, key))
    }

    pub(crate) fn get_mut(&mut self, id: RecordId) -> Option<&mut Record> {
        if id.window < self.floor {
            return None;
        }
        let record = self.windows.get_mut(&id.window)?.get_mut(&id.key)?;
        (record.seq == id.seq).then_some(record)
    }

    /// Inserts a record, dropping kept answers to make room; `false` if there is none.
    pub(crate) fn insert(&mut self, id: RecordId, record: Record, max_bytes: usize) -> bool {
        if !self.make_room(RECORD_COST, max_bytes) {
            return false;
        }
        self.bytes += RECORD_COST;
        self.len += 1;
        self.windows.entry(id.window).or_default().insert(id.key, record);
        true
    }

    pub(crate) fn remove(&mut self, id: RecordId) {
        if self.get_mut(id).is_none() {
            return;
        }
        let Some(window) = self.windows.get_mut(&id.window) else { return };
        let removed = window.remove(&id.key);
        if window.is_empty() {
            self.windows.remove(&id.window);
        }
        if let Some(record) = removed {
            self.uncount(id, &record);
        }
    }

    /// Closes a record with an answer: kept whole if it fits, else as its status.
    pub(crate) fn keep(&mut self, id: RecordId, answer: Answer, max_answer: usize, max: usize) {
        if self.get_mut(id).is_none() {
            return;
        }
        let status = answer.status;
        let cost = answer.bytes();
        let fits = cost <= max_answer && self.make_room(cost, max);
        let state = match fits {
            true => State::Answered(Arc::new(answer.compact())),
            false => State::AnswerDropped { status },
        };
        if fits {
            self.bytes += cost;
            self.kept.insert(id);
        }
        if let Some(record) = self.get_mut(id) {
            record.state = state;
        }
    }

    /// Raises the floor and frees a few records below it.
    pub(crate) fn expire(&mut self, floor: u32) {
        self.floor = self.floor.max(floor);
        for _ in 0..FREED_PER_CALL {
            let Some(mut window) = self.windows.first_entry() else { return };
            let number = *window.key();
            if number >= self.floor {
                return;
            }
            match window.get_mut().pop_first() {
                Some((key, record)) => {
                    self.uncount(RecordId { seq: record.seq, window: number, key }, &record);
                }
                None => {
                    window.remove();
                }
            }
        }
    }

    /// Drops the oldest record. Only the model tests do this, with a guard off.
    pub(crate) fn drop_oldest(&mut self) {
        let ids = self.windows.iter().flat_map(|(window, records)| {
            let id =
                |(key, r): (&KeyId, &Record)| RecordId { seq: r.seq, window: *window, key: *key };
            records.iter().map(id)
        });
        if let Some(id) = ids.min() {
            self.remove(id);
        }
    }

    /// All records, newest window first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (KeyId, &Record)> {
        let live = self.windows.range(self.floor..).rev();
        live.flat_map(|(_, records)| records.iter().map(|(key, record)| (*key, record)))
    }

    fn make_room(&mut self, cost: usize, max: usize) -> bool {
        while self.bytes + cost > max {
            let Some(id) = self.kept.pop_first() else { return false };
            self.drop_answer(id);
        }
        true
    }

    fn drop_answer(&mut self, id: RecordId) {
        let record = self.windows.get_mut(&id.window).and_then(|w| w.get_mut(&id.key));
        let Some(record) = record else { return };
        if let State::Answered(answer) = &record.state {
            self.bytes -= answer.bytes();
            record.state = State::AnswerDropped { status: answer.status };
        }
    }

    fn uncount(&mut self, id: RecordId, record: &Record) {
        self.len -= 1;
        self.bytes -= RECORD_COST;
        if let State::Answered(answer) = &record.state {
            self.bytes -= answer.bytes();
            self.kept.remove(&id);
        }
    }
}
