//! The list of instances, which lags.

use galenapath_protocol::FastMap;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// An instance as it was registered.
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

/// What was registered, shown only after the lag.
pub(super) struct Catalog {
    /// Index of the last shown change; starts at 1, so that a watch after 0 never waits.
    index: u64,
    shown: BTreeMap<String, Registered>,
    /// Changes not yet shown, in the order they were made.
    pending: VecDeque<(Instant, Change)>,
}

impl Default for Catalog {
    fn default() -> Self {
        Self { index: 1, shown: BTreeMap::new(), pending: VecDeque::new() }
    }
}

impl Catalog {
    pub(super) fn register(&mut self, instance: Registered, now: Instant) {
        self.pending.push_back((now, Change::Put(instance)));
    }

    pub(super) fn deregister(&mut self, id: &str, now: Instant) {
        self.pending.push_back((now, Change::Remove(id.to_owned())));
    }

    /// Shows the changes older than `lag`; whether there were any.
    pub(super) fn settle(&mut self, lag: Duration, now: Instant) -> bool {
        let before = self.index;
        while self.pending.front().is_some_and(|(made, _)| *made + lag <= now) {
            if let Some((_, change)) = self.pending.pop_front() {
                self.show(change);
            }
        }
        self.index != before
    }

    /// Index that a watch compares with.
    pub(super) fn position(&self) -> u64 {
        self.index
    }

    pub(super) fn list(&self, service: &str) -> Vec<Registered> {
        self.shown.values().filter(|instance| instance.name == service).cloned().collect()
    }

    fn show(&mut self, change: Change) {
        self.index += 1;
        match change {
            Change::Put(instance) => {
                self.shown.insert(instance.id.clone(), instance);
            }
            Change::Remove(id) => {
                self.shown.remove(&id);
            }
        }
    }
}
