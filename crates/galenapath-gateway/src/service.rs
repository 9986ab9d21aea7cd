//! A service: its backend servers, their placement state, and the requests waiting for them.

use crate::instance::Instance;
use crate::loss_watchers::LossWatchers;
use crate::pool::{PooledConnection, Pools};
use crate::retry_share::initial_retry_budget;
use crate::waiting::Waiter;
use galenapath_http::Connection;
use galenapath_policy::RetryBudget;
use galenapath_policy::measure::{QueryShares, TokenBucket};
use galenapath_policy::place::{
    LoadObservation, PlaceConfig, PlacedServer, Placement, PlacementQueue, QueueConfig,
    ServerSnapshot, WaitQueue, WarmUp,
};
use galenapath_policy::reach::{Contacts, ReachConfig};
use galenapath_policy::stop::LongestWork;
use galenapath_protocol::{BackendId, DomainId, FastMap, Micros, hash64};
use galenapath_routes::{ServerRecord, ServerState, ServiceSpec};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Share of the probe budget for the load queries of requests; the rest is for regular probes.
const QUERY_SHARE: f64 = 0.8;

/// Time for which a service counts as not reporting load after one of its servers reported none.
const NO_LOAD_PERIOD: Micros = Micros::from_secs(10);

/// Time without requests after which a service applies a changed server list only at its next
/// request.
const IDLE_AFTER: Micros = Micros::from_secs(1);

/// A server in the server list.
struct ListedServer {
    record: Arc<ServerRecord>,
    /// Whether it is in this instance's failure domain.
    is_local: bool,
    /// Whether its failure domain is evacuated, so that it gets no requests.
    is_withdrawn: bool,
    /// This instance's share of the budget for load queries to the server.
    queries: TokenBucket,
}

/// Address and failure domain of a server.
pub(crate) struct ServerAddress {
    pub(crate) id: BackendId,
    pub(crate) address: SocketAddr,
    pub(crate) domain: DomainId,
}

/// A service and the state of its backend servers.
pub(crate) struct Service {
    pub(crate) name: String,
    pub(crate) spec: RefCell<ServiceSpec>,
    pub(crate) placement: RefCell<Placement>,
    pub(crate) retries: RefCell<RetryBudget>,
    /// Which servers this instance reaches.
    pub(crate) contacts: RefCell<Contacts>,
    /// Idle connections to the servers.
    pools: Pools<BackendId>,
    /// Requests to be notified when their server is found unreachable.
    pub(crate) loss_watchers: LossWatchers,
    /// Keyed by process run, like all state here: a restarted server counts as another server.
    listed: RefCell<FastMap<BackendId, ListedServer>>,
    /// Servers by the short form of their identities.
    by_short_id: RefCell<FastMap<u32, BackendId>>,
    /// Requests waiting for a server.
    pub(crate) queue: RefCell<PlacementQueue>,
    /// Invariant: holds the request numbers in `queue` whose tasks wait.
    pub(crate) waiters: RefCell<FastMap<u64, Waiter>>,
    /// Load queries per second to one server allowed to the requests of all instances together.
    query_rate: Cell<f64>,
    /// Until when no server is queried, because one reported no load.
    no_load_until: Cell<Micros>,
    /// Generation of the instance's state that `listed` was built from.
    generation: Cell<u64>,
    /// Whether an answer was too large to be read completely for the requests behind it.
    pub(crate) has_long_answers: Cell<bool>,
    /// Bound on the time that its requests take.
    pub(crate) longest_work: Cell<LongestWork>,
    /// When a request last needed a server.
    used_at: Cell<Micros>,
    /// This instance's shares of the query budget, as applied to `listed`.
    shares: Cell<Option<QueryShares>>,
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
            retries: RefCell::new(initial_retry_budget(instance)),
            contacts: RefCell::new(Contacts::new(ReachConfig::default())),
            pools: Pools::default(),
            loss_watchers: LossWatchers::default(),
            listed: RefCell::default(),
            by_short_id: RefCell::default(),
            queue: RefCell::new(PlacementQueue::new(WaitQueue::new(QueueConfig::default()))),
            waiters: RefCell::default(),
            query_rate: Cell::new(instance.settings().probes_per_second * QUERY_SHARE),
            no_load_until: Cell::default(),
            generation: Cell::new(u64::MAX),
            has_long_answers: Cell::default(),
            longest_work: Cell::default(),
            used_at: Cell::default(),
            shares: Cell::default(),
        })
    }

    /// Applies a changed configuration of the service.
    pub(crate) fn set_spec(&self, spec: &ServiceSpec) {
        *self.spec.borrow_mut() = spec.clone();
        self.placement.borrow_mut().set_warm_up(warm_up(spec));
    }

    /// Applies changed settings.
    pub(crate) fn apply_settings(&self, instance: &Instance) {
        self.query_rate.set(instance.settings().probes_per_second * QUERY_SHARE);
        self.shares.set(None);
        self.update_retry_share(instance);
    }

    /// Whether no request has needed a server for [`IDLE_AFTER`]. Most instances of a large fleet
    /// get only stray requests; they apply a changed server list when the next one arrives.
    pub(crate) fn is_idle(&self, now: Micros) -> bool {
        now - self.used_at.get() > IDLE_AFTER && self.waiters.borrow().is_empty()
    }

    /// Marks the service as in use and applies a changed server list, before a server is selected.
    pub(crate) fn prepare(&self, instance: &Instance) {
        self.used_at.set(instance.now());
        self.refresh(instance);
    }

    /// Applies the server list if it has changed.
    pub(crate) fn refresh(&self, instance: &Instance) {
        let state = instance.state.borrow();
        let directory = state.directory();
        if self.generation.replace(state.generation()) == state.generation() {
            return;
        }
        let own_domain = instance.settings().domain.clone();
        let mut list = Vec::new();
        let now = instance.now();
        let shares = instance.query_shares();
        let mut before = self.listed.take();
        let mut listed = FastMap::default();
        for record in directory.servers().filter(|record| *record.service == *self.name) {
            let is_local = record.domain == own_domain;
            let is_withdrawn = state.evacuations.contains(&record.domain);
            let run = record.run_id();
            let before = before.remove(&run);
            let cold_before = before.as_ref().map_or(Duration::ZERO, |s| s.record.cold_for);
            let has_turned_cold = record.cold_for > cold_before;
            list.push(PlacedServer {
                id: run.clone(),
                slots: record.slots,
                is_local,
                is_leaving: record.state == ServerState::Leaving || state.leaving.contains(&run),
                is_withdrawn,
                cold_for: if has_turned_cold { record.cold_for.into() } else { Micros::ZERO },
            });
            let queries = before.map_or_else(
                || TokenBucket::new(now, self.query_share_rate(shares, is_local)),
                |server| server.queries,
            );
            let record = Arc::clone(record);
            listed.insert(run, ListedServer { record, is_local, is_withdrawn, queries });
        }
        // Connections to an evacuated domain would be closed by its servers, or be stale by the
        // time the domain is used again.
        let is_in_use = |id: &BackendId| listed.get(id).is_some_and(|server| !server.is_withdrawn);
        self.pools.retain(is_in_use);
        self.loss_watchers.retain(|id| listed.contains_key(id));
        // Servers of an evacuated domain are not checked either.
        self.contacts.borrow_mut().retain(is_in_use);
        *self.by_short_id.borrow_mut() =
            listed.keys().map(|id| (id.short_hash(), id.clone())).collect();
        *self.listed.borrow_mut() = listed;
        self.placement.borrow_mut().set_servers(now, &list);
    }

    /// Takes an idle connection to a server out of the pool.
    pub(crate) fn take_connection(&self, now: Micros, id: &BackendId) -> Option<PooledConnection> {
        let kept = self.pools.take(now, id);
        self.placement.borrow_mut().set_connected(id, self.pools.has(id));
        kept
    }

    /// Keeps a connection whose last answer was read completely. `stated` is the idle time after
    /// which the server closes it.
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

    /// Whether an idle connection to the server is open, so that the server has not crashed.
    pub(crate) fn has_open_connection(&self, id: &BackendId) -> bool {
        self.pools.has_open(id)
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn prune_connections(&self, now: Micros) {
        let mut placement = self.placement.borrow_mut();
        self.pools.prune(now).iter().for_each(|id| placement.set_connected(id, false));
    }

    /// Address of a server; `None` once it is no longer listed.
    pub(crate) fn address(&self, id: &BackendId) -> Option<SocketAddr> {
        self.listed.borrow().get(id).map(|server| server.record.address)
    }

    /// Identity under which the platform lists the server of a process run, which is also the
    /// identity that the server states; `None` once it is no longer listed.
    pub(crate) fn listed_id(&self, run: &BackendId) -> Option<BackendId> {
        self.listed.borrow().get(run).map(|server| server.record.id.clone())
    }

    /// Whether a server is in this instance's failure domain; false once it is no longer listed.
    pub(crate) fn is_local(&self, id: &BackendId) -> bool {
        self.listed.borrow().get(id).is_some_and(|server| server.is_local)
    }

    /// The failure domain of a server; `None` once it is no longer listed.
    pub(crate) fn domain(&self, id: &BackendId) -> Option<DomainId> {
        self.listed.borrow().get(id).map(|server| server.record.domain.clone())
    }

    /// The server with the short identity `short`.
    pub(crate) fn by_short_id(&self, short: u32) -> Option<BackendId> {
        self.by_short_id.borrow().get(&short).cloned()
    }

    /// The server whose identity has the hash `hash`.
    pub(crate) fn by_hash(&self, hash: u64) -> Option<BackendId> {
        self.by_short_id(hash as u32).filter(|id| id.hash() == hash)
    }

    /// The servers whose failure domains are not evacuated.
    pub(crate) fn servers(&self) -> Vec<ServerAddress> {
        let listed = self.listed.borrow();
        let in_use = listed.iter().filter(|(_, server)| !server.is_withdrawn);
        let all = in_use.map(|(id, server)| ServerAddress {
            id: id.clone(),
            address: server.record.address,
            domain: server.record.domain.clone(),
        });
        all.collect()
    }

    /// Whether a request that was assigned to a server in the state `snapshot` may still be sent
    /// there.
    pub(crate) fn may_send(
        &self,
        instance: &Instance,
        id: &BackendId,
        snapshot: ServerSnapshot,
    ) -> bool {
        self.refresh(instance);
        self.placement.borrow().may_send(instance.now(), id, snapshot)
    }

    /// Counts another send of the same request to a server; false if the server cannot accept it.
    pub(crate) fn try_count_resend(&self, instance: &Instance, id: &BackendId) -> bool {
        self.refresh(instance);
        self.placement.borrow_mut().try_count_resend(instance.now(), id)
    }

    /// Whether a server states a rate limit.
    pub(crate) fn is_limited(&self, id: &BackendId) -> bool {
        self.placement.borrow().is_limited(id)
    }

    /// Applies a load observation; returns whether it was an update.
    pub(crate) fn observe_load(
        &self,
        instance: &Instance,
        id: &BackendId,
        observation: LoadObservation,
    ) -> bool {
        let is_update = self.placement.borrow_mut().observe(id, observation);
        if is_update {
            self.poll(instance);
        }
        is_update
    }

    /// Whether the servers are assumed to report their load in answers to load queries. A server
    /// that does not report it would keep the query waiting for a slot.
    pub(crate) fn reports_load(&self, now: Micros) -> bool {
        now >= self.no_load_until.get()
    }

    /// Records that a server answered a load query without its load.
    pub(crate) fn record_missing_load(&self, now: Micros) {
        self.no_load_until.set(now + NO_LOAD_PERIOD);
    }

    /// Updates this instance's shares of the query budget.
    pub(crate) fn update_probe_share(&self, now: Micros, shares: QueryShares) {
        if self.shares.replace(Some(shares)) == Some(shares) {
            return;
        }
        for server in self.listed.borrow_mut().values_mut() {
            server.queries.set_rate(now, self.query_share_rate(shares, server.is_local));
        }
    }

    fn query_share_rate(&self, shares: QueryShares, is_local: bool) -> f64 {
        self.query_rate.get() * if is_local { shares.local } else { shares.remote }
    }

    /// Takes a load query out of this instance's share of a server's budget, if any is left.
    pub(crate) fn try_take_query(&self, now: Micros, id: &BackendId) -> bool {
        self.listed.borrow_mut().get_mut(id).is_some_and(|server| server.queries.take(now))
    }
}

/// The warm-up parameters of a service.
fn warm_up(spec: &ServiceSpec) -> Option<WarmUp> {
    let warm_up = spec.warm_up?;
    Some(WarmUp { duration: warm_up.duration.into(), per_second: warm_up.per_second })
}
