//! One service: its backend servers, the decisions about them and who waits for them.

use crate::instance::Instance;
use crate::loss::Losses;
use crate::pool::{Kept, Pools};
use crate::waiting::Waiter;
use galenapath_http::Connection;
use galenapath_policy::measure::{AskBudget, AskShares};
use galenapath_policy::place::{
    Line, PlaceConfig, PlacedServer, Placement, QueueConfig, Sighting, Started, WaitQueue, WarmUp,
};
use galenapath_policy::{RetryBudget, RetryConfig, SharedAllowance};
use galenapath_protocol::{BackendId, DomainId, FastMap, Micros, hash64};
use galenapath_routes::{ServerRecord, ServerState, ServiceSpec};
use galenapath_settings::RetrySettings;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Part of the allowed probes that requests may use; the rest is for the regular ones.
const PROBE_PART: f64 = 0.8;

/// Time for which a service counts as one that tells no load after one of its servers told none.
const NO_LOAD_FOR: Micros = Micros::from_secs(10);

/// Time without requests after which a service takes in a changed list only when the next one comes.
const IDLE_AFTER: Micros = Micros::from_secs(1);

/// Part of the shared retry allowance of an instance that does not know yet what others serve.
const UNKNOWN_RETRY_PART: f64 = 1.0 / 16.0;

/// Largest part of it for one instance: another one that has just started may not be known yet.
const MOST_RETRY_PART: f64 = 0.5;

/// Time after its start for which an instance does not know what others serve.
const RETRY_PART_UNKNOWN_FOR: Micros = Micros::from_secs(3);

/// A server of the list.
struct Listed {
    record: Arc<ServerRecord>,
    /// Whether it is in the own failure domain.
    is_home: bool,
    /// Whether its failure domain is evacuated, so that it gets nothing.
    is_withdrawn: bool,
    /// This instance's part of the probes to it.
    probes: AskBudget,
}

/// Where a server is.
pub(crate) struct ServerAt {
    pub(crate) id: BackendId,
    pub(crate) address: SocketAddr,
    pub(crate) domain: DomainId,
}

/// One service.
pub(crate) struct Service {
    pub(crate) name: String,
    pub(crate) spec: RefCell<ServiceSpec>,
    pub(crate) placement: RefCell<Placement>,
    pub(crate) retries: RefCell<RetryBudget>,
    /// Idle connections to the servers.
    pools: Pools,
    /// Requests that wait to hear that their server is out of reach.
    losses: Losses,
    /// By the identities of their runs, as everything else here: a server that starts again is another one.
    listed: RefCell<FastMap<BackendId, Listed>>,
    /// The servers by the short form of their identities.
    by_short_id: RefCell<FastMap<u32, BackendId>>,
    /// Requests that wait for a server.
    pub(crate) line: RefCell<Line>,
    /// Invariant: holds the tickets in `line` whose tasks wait.
    pub(crate) waiters: RefCell<FastMap<u64, Waiter>>,
    /// Probes a second to one server that the requests of all instances may use.
    probe_rate: Cell<f64>,
    /// Until when no server is asked, because one told no load.
    no_load_until: Cell<Micros>,
    generation: Cell<u64>,
    /// When a request last asked for a server.
    used_at: Cell<Micros>,
    /// This instance's part of the probes, as far as `listed` has taken it over.
    shares: Cell<Option<AskShares>>,
}

impl Service {
    pub(crate) fn new(name: &str, spec: ServiceSpec, instance: &Instance) -> Rc<Self> {
        let seed = hash64(instance.incarnation.0, name.as_bytes());
        let mut placement = Placement::new(PlaceConfig::default(), seed);
        placement.set_warm_up(warm_up(&spec));
        Rc::new(Self {
            name: name.to_owned(),
            spec: RefCell::new(spec),
            placement: RefCell::new(placement),
            retries: RefCell::new(RetryBudget::new(retry_config(
                &instance.settings().retries,
                UNKNOWN_RETRY_PART,
            ))),
            pools: Pools::default(),
            losses: Losses::default(),
            listed: RefCell::default(),
            by_short_id: RefCell::default(),
            line: RefCell::new(Line::new(WaitQueue::new(QueueConfig::default()))),
            waiters: RefCell::default(),
            probe_rate: Cell::new(instance.settings().probes_per_second * PROBE_PART),
            no_load_until: Cell::default(),
            generation: Cell::new(u64::MAX),
            used_at: Cell::default(),
            shares: Cell::default(),
        })
    }

    /// Takes over what a changed configuration says of the service.
    pub(crate) fn set_spec(&self, spec: &ServiceSpec) {
        *self.spec.borrow_mut() = spec.clone();
        self.placement.borrow_mut().set_warm_up(warm_up(spec));
    }

    /// Takes changed settings over.
    pub(crate) fn take_settings(&self, instance: &Instance) {
        self.probe_rate.set(instance.settings().probes_per_second * PROBE_PART);
        self.shares.set(None);
        self.share_retries(instance);
    }

    /// Whether nobody has wanted a server lately. Most instances of a large fleet serve a stray request now
    /// and then; they take in a changed list when the next one comes.
    pub(crate) fn is_idle(&self, now: Micros) -> bool {
        now - self.used_at.get() > IDLE_AFTER && self.waiters.borrow().is_empty()
    }

    /// Brings what is known of the servers up to date for a request.
    pub(crate) fn prepare(&self, instance: &Instance) {
        self.used_at.set(instance.now());
        self.refresh(instance);
    }

    /// Takes in the list of servers where it has changed.
    pub(crate) fn refresh(&self, instance: &Instance) {
        let state = instance.state.borrow();
        let directory = state.directory();
        if self.generation.replace(state.generation()) == state.generation() {
            return;
        }
        let home = instance.settings().domain.clone();
        let mut list = Vec::new();
        let now = instance.now();
        let shares = instance.query_shares();
        let mut before = self.listed.take();
        let mut listed = FastMap::default();
        for record in directory.servers().filter(|record| *record.service == *self.name) {
            let is_home = record.domain == home;
            let is_withdrawn = state.evacuations.contains(&record.domain);
            let run = record.run_id();
            let before = before.remove(&run);
            let cold_before = before.as_ref().map_or(Duration::ZERO, |s| s.record.cold_for);
            let has_turned_cold = record.cold_for > cold_before;
            list.push(PlacedServer {
                id: run.clone(),
                slots: record.slots,
                is_home,
                is_leaving: record.state == ServerState::Leaving || state.leaving.contains(&run),
                is_withdrawn,
                cold_for: if has_turned_cold { record.cold_for.into() } else { Micros::ZERO },
            });
            let probes = before.map_or_else(
                || AskBudget::new(now, self.probe_part(shares, is_home)),
                |server| server.probes,
            );
            let record = Arc::clone(record);
            listed.insert(run, Listed { record, is_home, is_withdrawn, probes });
        }
        // Connections to a domain that is evacuated would be closed by its servers, or be old at its return.
        self.pools.retain(|id| listed.get(id).is_some_and(|server| !server.is_withdrawn));
        self.losses.retain(|id| listed.contains_key(id));
        *self.by_short_id.borrow_mut() = listed.keys().map(|id| (id.short(), id.clone())).collect();
        *self.listed.borrow_mut() = listed;
        self.placement.borrow_mut().set_servers(now, &list);
    }

    /// A server answers no probe.
    pub(crate) fn lost(&self, now: Micros, id: &BackendId) {
        self.placement.borrow_mut().not_reached(now, id);
        self.losses.tell(id);
    }

    /// Waits for `span`, or until a server is found out of reach; returns whether it was.
    pub(crate) async fn lost_within(&self, id: &BackendId, span: Micros) -> bool {
        matches!(monoio::time::timeout(span.into(), self.losses.of(id)).await, Ok(Ok(())))
    }

    /// Takes a kept connection to a server.
    pub(crate) async fn take_connection(&self, now: Micros, id: &BackendId) -> Option<Kept> {
        let kept = self.pools.take(now, id).await;
        self.placement.borrow_mut().set_connected(id, self.pools.has(id));
        kept
    }

    /// Keeps a connection whose last answer was read to its end. `stated` is the idle time after which the
    /// server closes it.
    pub(crate) fn keep_connection(
        &self,
        now: Micros,
        id: &BackendId,
        connection: Connection,
        stated: Option<Micros>,
    ) {
        self.pools.keep(now, id, connection, stated);
        self.placement.borrow_mut().set_connected(id, self.pools.has(id));
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn prune_connections(&self, now: Micros) {
        let mut placement = self.placement.borrow_mut();
        self.pools.prune(now).iter().for_each(|id| placement.set_connected(id, false));
    }

    /// Where a server listens; `None` once it is gone.
    pub(crate) fn address(&self, id: &BackendId) -> Option<SocketAddr> {
        self.listed.borrow().get(id).map(|server| server.record.address)
    }

    /// Identity under which the platform lists a run of a server, by which the server itself goes; `None`
    /// once it is gone.
    pub(crate) fn listed_id(&self, run: &BackendId) -> Option<BackendId> {
        self.listed.borrow().get(run).map(|server| server.record.id.clone())
    }

    /// Whether a server is in the own failure domain; false once it is gone.
    pub(crate) fn is_home(&self, id: &BackendId) -> bool {
        self.listed.borrow().get(id).is_some_and(|server| server.is_home)
    }

    /// The failure domain of a server; `None` once it is gone.
    pub(crate) fn domain(&self, id: &BackendId) -> Option<DomainId> {
        self.listed.borrow().get(id).map(|server| server.record.domain.clone())
    }

    /// The server with a short identity.
    pub(crate) fn by_short_id(&self, short: u32) -> Option<BackendId> {
        self.by_short_id.borrow().get(&short).cloned()
    }

    /// The server whose identity has this hash.
    pub(crate) fn by_hash(&self, hash: u64) -> Option<BackendId> {
        self.by_short_id(hash as u32).filter(|id| id.hash() == hash)
    }

    /// The servers that may get requests as far as their failure domains go.
    pub(crate) fn servers(&self) -> Vec<ServerAt> {
        let listed = self.listed.borrow();
        let in_use = listed.iter().filter(|(_, server)| !server.is_withdrawn);
        let all = in_use.map(|(id, server)| ServerAt {
            id: id.clone(),
            address: server.record.address,
            domain: server.record.domain.clone(),
        });
        all.collect()
    }

    /// Whether a request that was given to a server as `started` says may still be sent there.
    pub(crate) fn may_send(&self, instance: &Instance, id: &BackendId, started: Started) -> bool {
        self.refresh(instance);
        self.placement.borrow().may_send(instance.now(), id, started)
    }

    /// Counts one more send to a server of a request that was sent there before; false where the server
    /// cannot take it.
    pub(crate) fn send_again(&self, instance: &Instance, id: &BackendId) -> bool {
        self.refresh(instance);
        self.placement.borrow_mut().send_again(instance.now(), id)
    }

    /// Whether a server names a rate limit.
    pub(crate) fn is_limited(&self, id: &BackendId) -> bool {
        self.placement.borrow().is_limited(id)
    }

    /// Takes in what was seen of a server; returns whether it was news.
    pub(crate) fn see(&self, instance: &Instance, id: &BackendId, sighting: Sighting) -> bool {
        let is_news = self.placement.borrow_mut().see(id, sighting);
        if is_news {
            self.poll(instance);
        }
        is_news
    }

    /// Whether the servers are taken to tell their load when they are asked. One that does not would
    /// let the question wait for a slot.
    pub(crate) fn tells_load(&self, now: Micros) -> bool {
        now >= self.no_load_until.get()
    }

    /// A server was asked and told no load.
    pub(crate) fn told_no_load(&self, now: Micros) {
        self.no_load_until.set(now + NO_LOAD_FOR);
    }

    /// Takes over which part of the retries falls to this instance.
    pub(crate) fn share_retries(&self, instance: &Instance) {
        let part = if instance.clock.age() < RETRY_PART_UNKNOWN_FOR {
            UNKNOWN_RETRY_PART
        } else {
            f64::from(instance.load_share()).min(MOST_RETRY_PART)
        };
        let cfg = retry_config(&instance.settings().retries, part);
        self.retries.borrow_mut().set_config(instance.now(), cfg);
    }

    /// Takes over which part of the budget of probes falls to this instance.
    pub(crate) fn share_probes(&self, now: Micros, shares: AskShares) {
        if self.shares.replace(Some(shares)) == Some(shares) {
            return;
        }
        for server in self.listed.borrow_mut().values_mut() {
            server.probes.set_rate(now, self.probe_part(shares, server.is_home));
        }
    }

    fn probe_part(&self, shares: AskShares, is_home: bool) -> f64 {
        self.probe_rate.get() * if is_home { shares.home } else { shares.away }
    }

    /// Takes a probe out of this instance's part of the budget of a server.
    pub(crate) fn take_probe(&self, now: Micros, id: &BackendId) -> bool {
        self.listed.borrow_mut().get_mut(id).is_some_and(|server| server.probes.take(now))
    }
}

/// How the servers of a service warm up.
fn warm_up(spec: &ServiceSpec) -> Option<WarmUp> {
    let warm_up = spec.warm_up?;
    Some(WarmUp { lasts: warm_up.lasts.into(), per_second: warm_up.per_second })
}

/// The retries that an instance may send which serves `part` of all requests.
fn retry_config(allowance: &RetrySettings, part: f64) -> RetryConfig {
    let RetrySettings { ratio, slack, window } = *allowance;
    SharedAllowance { ratio, slack, window: window.into() }.part(part)
}
