//! The records of one table, by key window, with an account of their memory.
//!
//! Uses ordered maps rather than hash maps: expired windows are found by number, the model checker
//! can hash and compare the state, and no insertion is delayed by a rehash.

use crate::record::{Record, State};
use crate::{Answer, KeyId, RecordId};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Memory of a record in its ordered map, including unused space in the nodes. The `capacity`
/// example prints it.
pub(crate) const RECORD_BYTES: usize = 128;

/// Limit of expired records freed by one call, so that no request waits until a whole window is
/// freed.
const MAX_FREED_PER_CALL: usize = 64;

/// The records of one table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Records {
    windows: BTreeMap<u32, BTreeMap<KeyId, Record>>,
    /// First window that has not expired. Invariant: never decreases, and no lookup returns a
    /// record of an earlier window.
    first_live_window: u32,
    /// Records with a complete answer, oldest first.
    kept_answers: BTreeSet<RecordId>,
    /// Memory of all records and kept answers. Invariant: at most `max_bytes` of the settings.
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

    pub(crate) fn first_live_window(&self) -> u32 {
        self.first_live_window
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
        if window < self.first_live_window {
            return None;
        }
        let record = self.windows.get(&window)?.get(&key)?;
        Some(RecordId { seq: record.seq, window, key })
    }

    /// Finds a caller-chosen key, whose text does not contain the window.
    pub(crate) fn find_in_any_window(&self, key: KeyId) -> Option<RecordId> {
        self.windows.range(self.first_live_window..).find_map(|(window, _)| self.find(*window, key))
    }

    pub(crate) fn get_mut(&mut self, id: RecordId) -> Option<&mut Record> {
        if id.window < self.first_live_window {
            return None;
        }
        let record = self.windows.get_mut(&id.window)?.get_mut(&id.key)?;
        (record.seq == id.seq).then_some(record)
    }

    /// Inserts a record, dropping kept answers if necessary. Returns `false` if there is still not
    /// enough memory.
    pub(crate) fn insert(&mut self, id: RecordId, record: Record, max_bytes: usize) -> bool {
        if !self.make_room(RECORD_BYTES, max_bytes) {
            return false;
        }
        self.bytes += RECORD_BYTES;
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
            self.subtract_record(id, &record);
        }
    }

    /// Closes a record with an answer. Keeps only the status if the complete answer does not fit.
    pub(crate) fn store_answer(
        &mut self,
        id: RecordId,
        answer: Answer,
        max_answer: usize,
        max: usize,
    ) {
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
            self.kept_answers.insert(id);
        }
        if let Some(record) = self.get_mut(id) {
            record.state = state;
        }
    }

    /// Expires windows before `first_live_window` and frees up to [`MAX_FREED_PER_CALL`] of their
    /// records.
    pub(crate) fn expire(&mut self, first_live_window: u32) {
        self.first_live_window = self.first_live_window.max(first_live_window);
        for _ in 0..MAX_FREED_PER_CALL {
            let Some(mut window) = self.windows.first_entry() else { return };
            let number = *window.key();
            if number >= self.first_live_window {
                return;
            }
            match window.get_mut().pop_first() {
                Some((key, record)) => {
                    self.subtract_record(
                        RecordId { seq: record.seq, window: number, key },
                        &record,
                    );
                }
                None => {
                    window.remove();
                }
            }
        }
    }

    /// Drops the oldest record. Used only by the model tests, with a guard off.
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

    /// All unexpired records, newest window first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (KeyId, &Record)> {
        let live = self.windows.range(self.first_live_window..).rev();
        live.flat_map(|(_, records)| records.iter().map(|(key, record)| (*key, record)))
    }

    fn make_room(&mut self, cost: usize, max: usize) -> bool {
        while self.bytes + cost > max {
            let Some(id) = self.kept_answers.pop_first() else { return false };
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

    fn subtract_record(&mut self, id: RecordId, record: &Record) {
        self.len -= 1;
        self.bytes -= RECORD_BYTES;
        if let State::Answered(answer) = &record.state {
            self.bytes -= answer.bytes();
            self.kept_answers.remove(&id);
        }
    }
}
