//! Following the store because no other instance does.

use super::Watcher;
use galenapath_membership::StoreHealth;
use galenapath_platform::KeyStore;
use galenapath_protocol::Micros;

/// Time for which an instance follows the store after it has taken over. By then the others know
/// which instances are lost, and the roles follow from that.
const TAKEOVER_TIME: Micros = Micros::from_secs(3);

/// Part of the pause before a further call that always passes.
const MIN_PART_OF_PAUSE: f64 = 0.5;

impl<S: KeyStore> Watcher<S> {
    /// Whether this instance follows the store although that is not its role: no instance that does
    /// was answered lately.
    pub(super) fn takes_over(&mut self) -> bool {
        let instance = &self.instance;
        let now = instance.now();
        if instance.status().is_leaving || instance.store.get() == StoreHealth::Failing {
            return false;
        }
        if now < self.takeover_until {
            return true;
        }
        let follow = instance.store_follow.get();
        let limit = self.times().max_silence;
        let (up, is_store_failing) = self.view_of_fleet();
        if !follow.asks_store(now, limit, up, is_store_failing, rand::random()) {
            return false;
        }
        self.takeover_until = now + TAKEOVER_TIME;
        instance.metrics.store_takeovers.inc();
        let silence_ms = follow.silence(now).0 / 1_000;
        log::warn!(silence_ms, up, is_store_failing;
            "no instance follows the store; taking over");
        true
    }

    /// Time until this instance calls the store again after a failed call, while nobody follows it.
    /// Instances that failed at the same moment do not go on in step.
    pub(super) fn drawn_retry_pause(&self) -> Micros {
        let up = self.instance.membership.borrow().up_count();
        let longest = self.times().retry_pause_of(up);
        Micros((longest.0 as f64 * rand::random_range(MIN_PART_OF_PAUSE..=1.0)) as u64)
    }

    /// Number of instances that are up, this one included, and whether the store fails any of them.
    fn view_of_fleet(&self) -> (usize, bool) {
        let membership = self.instance.membership.borrow();
        let mut up = membership.peers().filter(|peer| peer.is_up());
        let is_failing = up.any(|peer| peer.status.store == StoreHealth::Failing);
        (membership.up_count(), is_failing)
    }
}
