//! State of the key-value stand-in: keys and the history of their changes.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// A change of one key; without a value if it was removed.
#[derive(Clone, Debug)]
struct Change {
    revision: u64,
    key: String,
    value: Option<Vec<u8>>,
}

/// The state of the service.
///
/// Invariant: `revision` is that of the newest change.
#[derive(Clone, Debug)]
pub(super) struct KvState {
    pub(super) revision: u64,
    /// Increases each time the service comes back from a backup; every answer states it.
    pub(super) era: u64,
    items: BTreeMap<String, (u64, Vec<u8>)>,
    history: Vec<Change>,
    /// Revision up to which the history is discarded.
    discarded_up_to: u64,
    /// What the operator and the servers stated last, whatever the service has lost of it.
    stated: BTreeMap<String, Option<Vec<u8>>>,
}

/// Prefixes of the keys whose writers write again what the service has lost.
const WRITTEN_AGAIN: [&str; 2] = ["op/", "servers/"];

impl Default for KvState {
    fn default() -> Self {
        Self {
            revision: 100,
            era: 1,
            items: BTreeMap::new(),
            history: Vec::new(),
            discarded_up_to: 0,
            stated: BTreeMap::new(),
        }
    }
}

impl KvState {
    pub(super) fn change(&mut self, key: &str, value: Option<Vec<u8>>) {
        if WRITTEN_AGAIN.iter().any(|prefix| key.starts_with(prefix)) {
            self.stated.insert(key.to_owned(), value.clone());
        }
        if value.is_none() && !self.items.contains_key(key) {
            return;
        }
        self.revision += 1;
        match &value {
            Some(value) => {
                self.items.insert(key.to_owned(), (self.revision, value.clone()));
            }
            None => {
                self.items.remove(key);
            }
        }
        self.history.push(Change { revision: self.revision, key: key.to_owned(), value });
    }

    /// Comes back from `backup`, a copy of an earlier state. Later changes are lost, and their
    /// revisions are given out again.
    pub(super) fn restore(&mut self, backup: Self) {
        *self = Self { era: self.era + 1, stated: std::mem::take(&mut self.stated), ..backup };
    }

    /// Writes again what the operator and the servers stated last, where the service has lost it.
    pub(super) fn write_again(&mut self) {
        for (key, value) in self.stated.clone() {
            let present = self.items.get(&key).map(|(_, present)| present);
            if present != value.as_ref() {
                self.change(&key, value);
            }
        }
    }

    /// Discards the history and increments the revision, so that no watch can continue from an
    /// earlier one.
    pub(super) fn discard_history(&mut self) {
        self.revision += 1;
        self.discarded_up_to = self.revision;
        self.history.clear();
    }

    pub(super) fn keys(&self, prefix: &str) -> Vec<String> {
        self.items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    pub(super) fn get(&self, key: &str) -> Option<Value> {
        let (revision, value) = self.items.get(key)?;
        let mut item = item(key, *revision, value);
        item["current_rev"] = json!(self.revision);
        Some(item)
    }

    pub(super) fn range(&self, prefix: &str, after: &str, page: usize) -> Value {
        let found: Vec<_> = self
            .items
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(key, _)| key.as_str() > after)
            .collect();
        let items = found.iter().take(page).map(|(key, (rev, value))| item(key, *rev, value));
        json!({
            "items": items.collect::<Vec<_>>(),
            "has_more": found.len() > page,
            "current_rev": self.revision,
        })
    }

    /// Returns the changes after a revision; `None` if they are discarded, or if that revision has
    /// not been given out.
    pub(super) fn events(&self, prefix: &str, after: u64) -> Option<Vec<Value>> {
        if after < self.discarded_up_to || after > self.revision {
            return None;
        }
        let new = self.history.iter().filter(|c| c.revision > after && c.key.starts_with(prefix));
        Some(new.map(event).collect())
    }
}

fn item(key: &str, revision: u64, value: &[u8]) -> Value {
    json!({
        "key": key, "value": STANDARD.encode(value), "revision": revision,
        "created": revision, "lease": 0,
    })
}

fn event(change: &Change) -> Value {
    match &change.value {
        Some(value) => item(&change.key, change.revision, value),
        None => json!({ "key": change.key, "revision": change.revision, "deleted": true }),
    }
}
