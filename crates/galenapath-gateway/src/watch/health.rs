//! Whether the store answers this instance.

use super::Watcher;
use crate::fleet;
use crate::instance::Instance;
use galenapath_membership::StoreHealth;
use galenapath_platform::{KeyStore, PlatformError};
use galenapath_protocol::Micros;
use std::rc::Rc;

impl<S: KeyStore> Watcher<S> {
    /// Counts a call and records whether the store answered it.
    pub(super) fn record_result<T>(
        &mut self,
        call: &'static str,
        result: &Result<T, PlatformError>,
    ) {
        self.instance.count_call(call, result.is_ok());
        self.record_health(call, result.as_ref().map(drop));
    }

    /// Records whether the store answered a call.
    pub(super) fn record_health(&mut self, call: &'static str, result: Result<(), &PlatformError>) {
        let instance = Rc::clone(&self.instance);
        let before = instance.store.get();
        match result {
            Ok(()) => {
                if before != StoreHealth::Answering {
                    let recovery = instance.store_follow.get().recovery(instance.now());
                    if let Some(at) = recovery {
                        instance.state.borrow_mut().record_store_recovery(at);
                    }
                }
                instance.store.set(StoreHealth::Answering);
                if instance.is_watching.get() {
                    instance.record_store_answer();
                }
                if before == StoreHealth::Failing {
                    log::info!(call; "the store answers again");
                }
            }
            Err(e) => {
                self.failed_at = instance.now();
                self.retry_pause = self.drawn_retry_pause();
                instance.record_store_failure();
                instance.store.set(StoreHealth::Failing);
                instance.is_watching.set(false);
                log::warn!(call, error:% = e; "the store did not answer");
            }
        }
        if before != instance.store.get() {
            fleet::broadcast_heartbeat(&instance);
        }
    }
}

impl Instance {
    pub(super) fn count_call(&self, call: &str, is_answered: bool) {
        let result = if is_answered { "answered" } else { "failed" };
        self.metrics.store_calls.with_label_values(&[call, result]).inc();
    }

    /// Records that the store answered this instance, which follows it.
    pub(crate) fn record_store_answer(&self) {
        let mut follow = self.store_follow.get();
        follow.record_answer(self.now());
        self.store_follow.set(follow);
    }

    /// Records that the store failed to answer this instance, or begins to fail to answer another.
    pub(crate) fn record_store_failure(&self) {
        let mut follow = self.store_follow.get();
        follow.record_failure(self.now());
        self.store_follow.set(follow);
    }

    /// Records that another instance knows of an answer of the store `age` ago.
    pub(crate) fn record_store_report(&self, age: Micros) {
        let mut follow = self.store_follow.get();
        follow.record_report(self.now(), age);
        self.store_follow.set(follow);
    }
}
