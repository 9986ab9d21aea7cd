//! Access to the platform's store: the first read, the watch and the recovery after an outage.

mod health;
mod reads;
mod takeover;

use crate::fleet;
use crate::instance::{Instance, sleep, sleep_to_next};
use bytes::Bytes;
use futures::future::{Either, select};
use galenapath_membership::{
    FollowTimes, StoreHealth, WatchRole, reads_store_at_start, watch_role,
};
use galenapath_platform::{Freshness, KeyEvent, KeyStore, PlatformError, WatchOutcome};
use galenapath_protocol::{Micros, StorePosition};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

/// Time after the end of its wait for a watch to be answered: some round trips.
const WATCH_OVERDUE: Duration = Duration::from_millis(150);

/// Time between two pings during a watch, which check at a tenth of a normal call's cost that the
/// store still answers this instance.
const PING_PERIOD: Micros = Micros::from_millis(400);

/// Delay between two attempts while the store answers no instance.
const RETRY_DELAY: Micros = Micros::from_millis(400);

/// Time over which instances with one core spread their first reads when they start together. For
/// smaller instances it is longer, inversely proportional to the square of their cores.
///
/// A read takes some milliseconds of a core, and instances that have finished notify the others,
/// which then need no read. With a spread that is linear in the cores, most small instances would
/// read before a larger one can notify them.
const FIRST_READ_SPREAD: Micros = Micros::from_millis(3);

/// Number of cores below which the delay of the first read does not grow further.
const MIN_CORES: f64 = 0.1;

/// Time after the start for which an instance listens for others before it takes a role: all start
/// within a third of a second.
const STARTUP_LISTEN_TIME: Micros = Micros::from_millis(450);

/// Time after a failed call after which an instance may be selected as watcher again, while others
/// follow the store.
const FAILURE_EXPIRY: Micros = Micros::from_secs(5);

/// Delay between two watches, so that changes in quick succession arrive in one call: a tenth of
/// the time within which a change has to take effect.
const BATCH_DELAY: Micros = Micros::from_millis(200);

/// Prefix of the keys under which watching instances store their addresses, for instances that
/// start while all seeds are gone.
const INSTANCES_PREFIX: &str = "galenapath/instances/";

/// Key that is read to check whether the store answers; it need not exist.
const PING_KEY: &str = "galenapath/ping";

/// Follows the store in the role assigned to this instance, for as long as it runs.
pub(crate) async fn run<S: KeyStore>(instance: Rc<Instance>, store: S) {
    let mut watcher = Watcher {
        instance,
        store,
        failed_at: Micros::ZERO,
        retry_pause: Micros::ZERO,
        registered_in: None,
        stale_position: None,
        takeover_until: Micros::ZERO,
    };
    // Reading at once saves half a second when all instances have been lost: none has to wait until
    // the watchers are decided. The first to read notify the others, so that only few read in a
    // large fleet.
    let cores = watcher.instance.settings().cores.clamp(MIN_CORES, 1.0);
    let spread = FIRST_READ_SPREAD.0 as f64 / (cores * cores);
    sleep(Micros((rand::random::<f64>() * spread) as u64)).await;
    if watcher.reads_store_at_start() {
        watcher.load(Freshness::MayBeStale).await;
    }
    sleep(STARTUP_LISTEN_TIME).await;
    loop {
        match watcher.role() {
            WatchRole::Watch => watcher.watch().await,
            WatchRole::Retry => watcher.retry().await,
            WatchRole::Standby => watcher.stand_by().await,
        }
    }
}

/// How a watch ended.
enum Watched {
    Answered(WatchOutcome),
    /// It was cut or not answered, which says nothing about the store.
    Cut,
    /// The store did not answer a ping.
    StoreFailing,
}

struct Watcher<S> {
    instance: Rc<Instance>,
    store: S,
    failed_at: Micros,
    /// Time from then to its next call while nobody follows the store.
    retry_pause: Micros,
    /// Epoch of the store in which this instance's address is registered. A store that comes back
    /// from a backup may have lost it.
    registered_in: Option<u64>,
    /// Position of a list whose read may have been stale.
    ///
    /// Invariant: no later than the newest change in that list, so that peers with later changes
    /// are ahead.
    stale_position: Option<StorePosition>,
    /// Until when it follows the store because no other instance did.
    takeover_until: Micros,
}

impl<S: KeyStore> Watcher<S> {
    /// Whether the instance reads the store itself at its start.
    fn reads_store_at_start(&self) -> bool {
        let instance = &self.instance;
        let is_known = instance.state.borrow().is_known();
        let capacity = instance.status().capacity;
        !is_known && reads_store_at_start(capacity, instance.membership.borrow().peers())
    }

    fn role(&mut self) -> WatchRole {
        let assigned = {
            let instance = &self.instance;
            let (status, domain) = (instance.status(), instance.settings().domain.clone());
            let membership = instance.membership.borrow();
            watch_role(instance.incarnation, &domain, &status, membership.peers())
        };
        match assigned {
            WatchRole::Standby if self.takes_over() => WatchRole::Watch,
            assigned => assigned,
        }
    }

    async fn stand_by(&mut self) {
        if self.instance.is_watching.replace(false) {
            log::info!("no longer watching the store");
        }
        if self.instance.store.get() == StoreHealth::Failing {
            let since_failure = self.instance.now() - self.failed_at;
            if self.is_followed_by_nobody() {
                // Its health changes only with an answer: all others would be notified otherwise.
                if since_failure >= self.retry_pause && self.is_answered().await {
                    return;
                }
            } else if since_failure > FAILURE_EXPIRY {
                self.instance.store.set(StoreHealth::Untried);
            }
        }
        sleep_to_next(&self.instance, self.times().role_check).await;
    }

    /// Times of following the store, by the settings in force.
    fn times(&self) -> FollowTimes {
        FollowTimes::within(self.instance.settings().apply_within.into())
    }

    /// Whether no instance is known that the store has answered lately. Those that are selected to
    /// watch or to retry may be ones that it does not answer.
    fn is_followed_by_nobody(&self) -> bool {
        let instance = &self.instance;
        instance.store_follow.get().silence(instance.now()) > self.times().max_silence
    }

    /// Checks whether the store answers again.
    async fn retry(&mut self) {
        self.instance.is_watching.set(false);
        sleep(RETRY_DELAY).await;
        if self.role() == WatchRole::Retry {
            self.is_answered().await;
        }
    }

    async fn watch(&mut self) {
        if !self.instance.is_watching.replace(true) {
            log::info!("watching the store");
            // An answer to an earlier call, such as the first read, says nothing of the time since.
            if self.instance.store.get() == StoreHealth::Answering {
                self.instance.store.set(StoreHealth::Untried);
            }
        }
        let position = self.instance.state.borrow().position();
        // A stale read does not give the position to start a watch from, unless a peer has supplied
        // later changes since.
        if !self.instance.state.borrow().is_known() || self.stale_position == Some(position) {
            self.load(Freshness::Current).await;
            if !self.instance.state.borrow().is_known() {
                sleep(RETRY_DELAY).await;
            }
            return;
        }
        // Many of those that the store does not answer are tried one after the other, so each is to
        // know that soon.
        if self.instance.store.get() != StoreHealth::Answering && !self.is_answered().await {
            return;
        }
        match self.watch_from(position).await {
            // The store has come back from a backup.
            Watched::Answered(WatchOutcome::Events { position: answered, .. })
                if answered.or_epoch(position.epoch).epoch != position.epoch =>
            {
                self.reload().await;
            }
            Watched::Answered(WatchOutcome::Events { events, position: answered }) => {
                self.apply_events(&events, answered.or_epoch(position.epoch)).await;
            }
            Watched::Answered(WatchOutcome::HistoryGone) => {
                let StorePosition { epoch, revision } = position;
                log::warn!(epoch, revision; "the store discarded its history; reading all keys again");
                self.reload().await;
            }
            Watched::Cut => {
                let StorePosition { epoch, revision } = position;
                log::info!(epoch, revision; "a watch was not answered; reading all keys again");
                self.reload().await;
            }
            Watched::StoreFailing => {}
        }
    }

    /// Waits for changes after `position` and pings the store meanwhile.
    ///
    /// A connection may stop delivering, and a watch may receive no events while changes are made and
    /// learn only at its end that the history is gone. Such a change takes effect after the wait, a
    /// little more for a watch that is not answered at all, and one read.
    async fn watch_from(&mut self, position: StorePosition) -> Watched {
        let wait = Duration::from(self.times().watch_wait);
        let watched = {
            let watching = self.store.watch_prefix("", position, wait);
            let watching = pin!(monoio::time::timeout(wait + WATCH_OVERDUE, watching));
            let pinging = pin!(self.ping_until_change(position.epoch));
            match select(watching, pinging).await {
                Either::Left((watched, _)) => Ok(watched.ok().and_then(Result::ok)),
                // No change can follow on a position of an epoch that is over.
                Either::Right((ended, _)) => ended.map(|()| Some(WatchOutcome::HistoryGone)),
            }
        };
        match watched {
            Ok(Some(outcome)) => {
                self.record_result("watch", &Ok(()));
                Watched::Answered(outcome)
            }
            Ok(None) => {
                self.instance.count_call("watch", false);
                Watched::Cut
            }
            Err(error) => {
                self.record_health("ping", Err(&error));
                Watched::StoreFailing
            }
        }
    }

    async fn apply_events(&mut self, events: &[KeyEvent], position: StorePosition) {
        let before = self.instance.status();
        self.instance.apply_events(events, position);
        let after = self.instance.status();
        if before != after && !events.is_empty() {
            fleet::broadcast_heartbeat(&self.instance);
        }
        self.register().await;
        sleep(BATCH_DELAY).await;
    }

    /// Whether the store answers a ping.
    async fn is_answered(&mut self) -> bool {
        let result = self.store.get(PING_KEY, Freshness::MayBeStale).await;
        self.record_result("ping", &result);
        result.is_ok()
    }

    /// Pings until the store has left the epoch, or a ping fails.
    ///
    /// # Errors
    ///
    /// The error of the ping that failed.
    async fn ping_until_change(&self, epoch: u64) -> Result<(), PlatformError> {
        loop {
            sleep(PING_PERIOD).await;
            let result = self.store.get(PING_KEY, Freshness::MayBeStale).await;
            self.instance.count_call("ping", result.is_ok());
            let answered = StorePosition::new(result?.epoch, 0).or_epoch(epoch);
            self.instance.record_store_answer();
            if answered.epoch > epoch {
                return Ok(());
            }
        }
    }

    /// Registers this instance's address in the store once, and contacts the instances registered
    /// there.
    async fn register(&mut self) {
        let epoch = self.instance.state.borrow().position().epoch;
        if self.registered_in == Some(epoch) {
            return;
        }
        let own = self.instance.settings().listen.peers;
        let key = format!("{INSTANCES_PREFIX}{own}");
        let put = self.store.put(&key, Bytes::from_static(b"1")).await;
        self.record_result("put", &put);
        self.registered_in = put.is_ok().then_some(epoch);
        let page = self.store.range(INSTANCES_PREFIX, None, Freshness::Current).await;
        self.record_result("range", &page);
        let Ok(page) = page else { return };
        let keys = page.items.iter().filter_map(|item| item.key.strip_prefix(INSTANCES_PREFIX));
        let addresses: Vec<_> = keys.filter_map(|text| text.parse().ok()).collect();
        fleet::request_members(&self.instance, &addresses);
    }
}
