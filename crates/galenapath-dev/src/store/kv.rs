//! Keys and sessions.

use bytes::Bytes;
use galenapath_protocol::FastMap;
use std::time::{Duration, Instant};

/// Value and metadata of a key.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub value: Bytes,
    pub create_index: u64,
    pub modify_index: u64,
    /// Number of times that the key was claimed.
    pub lock_index: u64,
    pub session: Option<String>,
}

struct Session {
    ttl: Duration,
    expires_at: Instant,
}

/// Keys and sessions. Every change of a key is assigned the next index.
pub(super) struct Kv {
    /// Index of the last change; starts at 1, so that a watch after 0 never waits.
    index: u64,
    entries: FastMap<String, Entry>,
    /// Index of the last change of each key, including deleted keys.
    last_changes: FastMap<String, u64>,
    sessions: FastMap<String, Session>,
    created_sessions: u64,
}

impl Default for Kv {
    fn default() -> Self {
        Self {
            index: 1,
            entries: FastMap::default(),
            last_changes: FastMap::default(),
            sessions: FastMap::default(),
            created_sessions: 0,
        }
    }
}

impl Kv {
    pub(super) fn get(&self, key: &str) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Returns the index that a watch of `key` is compared with.
    pub(super) fn position(&self, key: &str) -> u64 {
        self.last_changes.get(key).copied().unwrap_or(1)
    }

    /// Writes the key if its index is `expected`, where 0 stands for an absent key; returns whether
    /// it was written.
    pub(super) fn swap(&mut self, key: &str, expected: u64, value: Bytes) -> bool {
        let current = self.entries.get(key).map_or(0, |entry| entry.modify_index);
        if current != expected {
            return false;
        }
        self.put(key, value);
        true
    }

    /// Writes the key and locks it for `session`, unless another session holds it or `session` has
    /// expired; returns whether it was written.
    pub(super) fn claim(&mut self, key: &str, session: &str, value: Bytes) -> bool {
        let holder = self.entries.get(key).and_then(|entry| entry.session.clone());
        let is_held_by_other = holder.is_some_and(|holder| holder != session);
        if is_held_by_other || !self.sessions.contains_key(session) {
            return false;
        }
        let entry = self.put(key, value);
        if entry.session.is_none() {
            entry.lock_index += 1;
            entry.session = Some(session.to_owned());
        }
        true
    }

    pub(super) fn create_session(&mut self, ttl: Duration, now: Instant) -> String {
        self.created_sessions += 1;
        let id = format!("session-{:08x}", self.created_sessions);
        self.sessions.insert(id.clone(), Session { ttl, expires_at: now + ttl });
        id
    }

    pub(super) fn renew_session(&mut self, id: &str, now: Instant) -> bool {
        let Some(session) = self.sessions.get_mut(id) else { return false };
        session.expires_at = now + session.ttl;
        true
    }

    /// Removes expired sessions and deletes the keys that they hold; returns the deleted keys.
    pub(super) fn expire(&mut self, now: Instant) -> Vec<String> {
        self.sessions.retain(|_, session| session.expires_at > now);
        let sessions = &self.sessions;
        let is_expired =
            |entry: &Entry| entry.session.as_ref().is_some_and(|id| !sessions.contains_key(id));
        let keys: Vec<String> = self
            .entries
            .iter()
            .filter(|(_, entry)| is_expired(entry))
            .map(|(key, _)| key.clone())
            .collect();
        for key in &keys {
            self.entries.remove(key);
            self.index += 1;
            self.last_changes.insert(key.clone(), self.index);
        }
        keys
    }

    fn put(&mut self, key: &str, value: Bytes) -> &mut Entry {
        self.index += 1;
        let index = self.index;
        self.last_changes.insert(key.to_owned(), index);
        let entry = self.entries.entry(key.to_owned()).or_insert_with(|| Entry {
            value: Bytes::new(),
            create_index: index,
            modify_index: index,
            lock_index: 0,
            session: None,
        });
        entry.value = value;
        entry.modify_index = index;
        entry
    }
}
