//! Keys and sessions.

use bytes::Bytes;
use galenapath_protocol::FastMap;
use std::time::{Duration, Instant};

/// A key's value.
#[derive(Clone, Debug)]
pub(super) struct Slot {
    pub value: Bytes,
    pub create_index: u64,
    pub modify_index: u64,
    /// Times that the key was claimed.
    pub lock_index: u64,
    pub session: Option<String>,
}

struct Session {
    ttl: Duration,
    lapses: Instant,
}

/// Keys and sessions. Every change gets the next index.
pub(super) struct Kv {
    /// Index of the last change; starts at 1, so that a watch after 0 never waits.
    index: u64,
    slots: FastMap<String, Slot>,
    /// Index of the last change of each key, deleted ones among them.
    touched: FastMap<String, u64>,
    sessions: FastMap<String, Session>,
    created_sessions: u64,
}

impl Default for Kv {
    fn default() -> Self {
        Self {
            index: 1,
            slots: FastMap::default(),
            touched: FastMap::default(),
            sessions: FastMap::default(),
            created_sessions: 0,
        }
    }
}

impl Kv {
    pub(super) fn get(&self, key: &str) -> Option<&Slot> {
        self.slots.get(key)
    }

    /// Index that a watch of `key` compares with.
    pub(super) fn position(&self, key: &str) -> u64 {
        self.touched.get(key).copied().unwrap_or(1)
    }

    /// Writes if the key's index is `expected`; 0 stands for an absent key.
    pub(super) fn swap(&mut self, key: &str, expected: u64, value: Bytes) -> bool {
        let current = self.slots.get(key).map_or(0, |slot| slot.modify_index);
        if current != expected {
            return false;
        }
        self.put(key, value);
        true
    }

    /// Writes and holds the key unless another session holds it or the session has lapsed.
    pub(super) fn claim(&mut self, key: &str, session: &str, value: Bytes) -> bool {
        let held = self.slots.get(key).and_then(|slot| slot.session.clone());
        let taken = held.is_some_and(|holder| holder != session);
        if taken || !self.sessions.contains_key(session) {
            return false;
        }
        let slot = self.put(key, value);
        if slot.session.is_none() {
            slot.lock_index += 1;
            slot.session = Some(session.to_owned());
        }
        true
    }

    pub(super) fn create_session(&mut self, ttl: Duration, now: Instant) -> String {
        self.created_sessions += 1;
        let id = format!("session-{:08x}", self.created_sessions);
        self.sessions.insert(id.clone(), Session { ttl, lapses: now + ttl });
        id
    }

    pub(super) fn renew_session(&mut self, id: &str, now: Instant) -> bool {
        let Some(session) = self.sessions.get_mut(id) else { return false };
        session.lapses = now + session.ttl;
        true
    }

    /// Ends lapsed sessions and deletes the keys they hold; the deleted keys.
    pub(super) fn expire(&mut self, now: Instant) -> Vec<String> {
        self.sessions.retain(|_, session| session.lapses > now);
        let sessions = &self.sessions;
        let lapsed =
            |slot: &Slot| slot.session.as_ref().is_some_and(|id| !sessions.contains_key(id));
        let keys: Vec<String> = self
            .slots
            .iter()
            .filter(|(_, slot)| lapsed(slot))
            .map(|(key, _)| key.clone())
            .collect();
        for key in &keys {
            self.slots.remove(key);
            self.index += 1;
            self.touched.insert(key.clone(), self.index);
        }
        keys
    }

    fn put(&mut self, key: &str, value: Bytes) -> &mut Slot {
        self.index += 1;
        let index = self.index;
        self.touched.insert(key.to_owned(), index);
        let slot = self.slots.entry(key.to_owned()).or_insert_with(|| Slot {
            value: Bytes::new(),
            create_index: index,
            modify_index: index,
            lock_index: 0,
            session: None,
        });
        slot.value = value;
        slot.modify_index = index;
        slot
    }
}
