//! State of the stand-in, shared by the tasks of its thread.

use super::catalog::Catalog;
use super::counters::Counters;
use super::faults::Faults;
use super::kv::Kv;
use super::options::StoreOptions;
use super::rate::RateLimit;
use super::waiters::Waiters;
use galenapath_protocol::FastMap;
use std::time::{Duration, Instant};

pub(super) struct State {
    pub options: StoreOptions,
    pub faults: Faults,
    pub counters: Counters,
    pub kv: Kv,
    pub catalog: Catalog,
    pub reads: RateLimit,
    pub writes: RateLimit,
    /// Watches waiting on each key.
    pub key_waiters: FastMap<String, Waiters>,
    /// Watches waiting on the list.
    pub list_waiters: Waiters,
    /// Calls waiting for a change of the faults: calls held by `frozen` and watches that `down`
    /// ends.
    pub fault_waiters: Waiters,
}

impl State {
    pub(super) fn new(options: StoreOptions, now: Instant) -> Self {
        Self {
            reads: RateLimit::new(options.reads_per_s, now),
            writes: RateLimit::new(options.writes_per_s, now),
            options,
            faults: Faults::default(),
            counters: Counters::default(),
            kv: Kv::default(),
            catalog: Catalog::default(),
            key_waiters: FastMap::default(),
            list_waiters: Waiters::default(),
            fault_waiters: Waiters::default(),
        }
    }

    pub(super) fn set_faults(&mut self, faults: Faults) {
        self.faults = faults;
        self.fault_waiters.wake();
    }

    pub(super) fn wake_key(&mut self, key: &str) {
        if let Some(waiters) = self.key_waiters.get_mut(key) {
            waiters.wake();
        }
    }

    /// Makes due changes of the list visible and removes expired sessions.
    pub(super) fn sweep(&mut self, now: Instant) {
        let lag = self.faults.list_lag_ms.unwrap_or(self.options.list_lag_ms);
        if self.catalog.apply_due(Duration::from_millis(lag), now) {
            self.list_waiters.wake();
        }
        for key in self.kv.expire(now) {
            self.wake_key(&key);
        }
    }
}
