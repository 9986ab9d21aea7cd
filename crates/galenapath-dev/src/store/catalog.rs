//! The list of instances, in which changes become visible after a lag.

use galenapath_protocol::FastMap;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// A registered instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct Registered {
    #[serde(rename = "ID")]
    pub id: String,
    pub name: String,
    pub address: String,
    pub port: u16,
    #[serde(default)]
    pub meta: FastMap<String, String>,
}

enum Change {
    Put(Registered),
    Remove(String),
}

/// Registered instances, visible only after the lag.
pub(super) struct Catalog {
    /// Index of the last visible change; starts at 1, so that a watch after 0 never waits.
    index: u64,
    visible: BTreeMap<String, Registered>,
    /// Changes not yet visible, in the order in which they were made.
    pending: VecDeque<(Instant, Change)>,
}

impl Default for Catalog {
    fn default() -> Self {
        Self { index: 1, visible: BTreeMap::new(), pending: VecDeque::new() }
    }
}

impl Catalog {
    pub(super) fn register(&mut self, instance: Registered, now: Instant) {
        self.pending.push_back((now, Change::Put(instance)));
    }

    pub(super) fn deregister(&mut self, id: &str, now: Instant) {
        self.pending.push_back((now, Change::Remove(id.to_owned())));
    }

    /// Makes the changes visible that are at least `lag` old; returns whether there were any.
    pub(super) fn apply_due(&mut self, lag: Duration, now: Instant) -> bool {
        let before = self.index;
        while self.pending.front().is_some_and(|(made, _)| *made + lag <= now) {
            if let Some((_, change)) = self.pending.pop_front() {
                self.apply(change);
            }
        }
        self.index != before
    }

    /// Returns the index that a watch is compared with.
    pub(super) fn position(&self) -> u64 {
        self.index
    }

    pub(super) fn list(&self, service: &str) -> Vec<Registered> {
        self.visible.values().filter(|instance| instance.name == service).cloned().collect()
    }

    fn apply(&mut self, change: Change) {
        self.index += 1;
        match change {
            Change::Put(instance) => {
                self.visible.insert(instance.id.clone(), instance);
            }
            Change::Remove(id) => {
                self.visible.remove(&id);
            }
        }
    }
}
