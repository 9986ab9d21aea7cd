//! State shared by all tasks of an instance.

use crate::body::BodyBytes;
use crate::clock::Clock;
use crate::crash::RunningRequests;
use crate::dialect::{Dialect, HeaderNames};
use crate::forwarding::ForwardCounts;
use crate::metrics::Metrics;
use crate::open::OpenRequests;
use crate::pool::Pools;
use crate::quota::Reporters;
use crate::rate::Rate;
use crate::reach::Reach;
use crate::services::Services;
use crate::sharing::Outbox;
use crate::state::State;
pub(crate) use crate::stop::Stage;
use crate::stop::{PlannedStop, Signals};
use crate::usage::{Flow, Usage};
use galenapath_filings::{RecentAnswers, SuspectConfig, Suspects};
use galenapath_membership::{
    HeartbeatConfig, HeartbeatMembership, InstanceStatus, Member, MemberStatus, StoreFollow,
    StoreHealth,
};
use galenapath_policy::dispatch::PeakLoad;
use galenapath_policy::measure::{CrossDomainSends, QueryTimes};
use galenapath_policy::quota::QuotaLedger;
use galenapath_policy::{FailedRequests, LogLineBudget, LogLineKind};
use galenapath_protocol::{DomainId, FastMap, Incarnation, Micros};
use galenapath_settings::GatewaySettings;
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

/// Time for which an instance still counts as serving callers after its request rate was last high
/// enough.
const SERVING_HOLD: Micros = Micros::from_secs(2);

/// An instance. A borrow of one of its cells must never be held across an await.
pub(crate) struct Instance {
    settings: RefCell<Rc<GatewaySettings>>,
    pub(crate) dialect: Box<dyn Dialect>,
    pub(crate) names: HeaderNames,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: Clock,
    pub(crate) metrics: Metrics,
    /// Configuration and backend servers.
    pub(crate) state: RefCell<State>,
    /// Other instances.
    pub(crate) membership: RefCell<HeartbeatMembership>,
    /// Services by name, from the configuration.
    pub(crate) services: RefCell<Services>,
    /// Requests suspected of crashing backend servers.
    pub(crate) suspects: RefCell<Suspects>,
    /// Requests that backend servers may be running.
    pub(crate) running: RunningRequests,
    /// Requests that servers have just answered.
    pub(crate) recent_answers: RefCell<RecentAnswers>,
    /// Requests that failed on this instance and that their callers may retry.
    pub(crate) failed_requests: RefCell<FailedRequests>,
    /// Quotas of the workspaces.
    pub(crate) quotas: RefCell<QuotaLedger>,
    /// Other instances that report what they charge to quotas.
    pub(crate) reporters: RefCell<Reporters>,
    /// Updates to send to other instances with the next datagram.
    pub(crate) outbox: RefCell<Outbox>,
    /// Which backend servers it reaches.
    pub(crate) reach: Reach,
    /// Requests that it has forwarded to other instances.
    pub(crate) forwards: ForwardCounts,
    /// Idle connections to other instances for forwarded requests.
    pub(crate) forward_pools: Pools<SocketAddr>,
    pub(crate) stage: Cell<Stage>,
    /// The planned stop, if one is in progress.
    pub(crate) stop: PlannedStop,
    pub(crate) store: Cell<StoreHealth>,
    pub(crate) is_watching: Cell<bool>,
    /// When the store last answered an instance that follows it.
    pub(crate) store_follow: Cell<StoreFollow>,
    /// Requests that are open.
    pub(crate) open: OpenRequests,
    /// Bytes of bodies in memory.
    pub(crate) body_bytes: BodyBytes,
    line_budget: Cell<LogLineBudget>,
    /// Durations of load queries to servers.
    query_times: Cell<QueryTimes>,
    last_serving_at: Cell<Micros>,
    cross_domain_sends: Cell<CrossDomainSends>,
    /// When this instance last refuted reports that it is silent.
    pub(crate) refuted_at: Cell<Micros>,
    /// Rate of requests from callers.
    pub(crate) rate: Cell<Rate>,
    /// Recent requests from callers, by the callers' failure domain.
    pub(crate) recent_loads: RefCell<FastMap<DomainId, PeakLoad>>,
    /// When a caller first requested addresses to connect to; zero before that.
    first_address_request_at: Cell<Micros>,
    next_request: Cell<u64>,
    /// Bytes sent and received, by flow.
    pub(crate) usage: Usage,
    udp: UdpSocket,
}

impl Instance {
    pub(crate) fn new(
        settings: GatewaySettings,
        dialect: Box<dyn Dialect>,
        metrics: Metrics,
        udp: UdpSocket,
        signals: Signals,
    ) -> Rc<Self> {
        let clock = Clock::start();
        let incarnation = Incarnation(rand::random());
        Rc::new(Self {
            names: dialect.headers(),
            dialect,
            incarnation,
            clock,
            metrics,
            state: RefCell::default(),
            membership: RefCell::new(HeartbeatMembership::new(
                HeartbeatConfig::default(),
                incarnation,
                settings.domain.clone(),
                clock.now(),
            )),
            services: RefCell::default(),
            running: RunningRequests::default(),
            recent_answers: RefCell::default(),
            suspects: RefCell::new(Suspects::new(SuspectConfig::default())),
            failed_requests: RefCell::default(),
            quotas: RefCell::default(),
            reporters: RefCell::default(),
            outbox: RefCell::default(),
            reach: Reach::new(clock.now()),
            forwards: ForwardCounts::default(),
            forward_pools: Pools::default(),
            stage: Cell::new(Stage::Serving),
            stop: PlannedStop::new(signals),
            store: Cell::default(),
            is_watching: Cell::new(false),
            store_follow: Cell::new(StoreFollow::new(clock.now())),
            open: OpenRequests::default(),
            body_bytes: BodyBytes::default(),
            line_budget: Cell::new(LogLineBudget::new(settings.log_lines)),
            query_times: Cell::default(),
            last_serving_at: Cell::new(Micros::ZERO),
            cross_domain_sends: Cell::default(),
            refuted_at: Cell::new(Micros::ZERO),
            rate: Cell::default(),
            recent_loads: RefCell::default(),
            first_address_request_at: Cell::default(),
            next_request: Cell::new(0),
            usage: Usage::default(),
            udp,
            settings: RefCell::new(Rc::new(settings)),
        })
    }

    pub(crate) fn now(&self) -> Micros {
        self.clock.now()
    }

    /// The current settings.
    pub(crate) fn settings(&self) -> Rc<GatewaySettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Applies changed settings.
    pub(crate) fn set_settings(&self, settings: GatewaySettings) {
        let mut budget = self.line_budget.get();
        budget.set(settings.log_lines);
        self.line_budget.set(budget);
        *self.settings.borrow_mut() = Rc::new(settings);
        for service in self.services.borrow().values() {
            service.apply_settings(self);
        }
    }

    /// Whether the instance has the configuration and the server list, and no stop is in progress.
    pub(crate) fn is_ready(&self) -> bool {
        self.stage.get() == Stage::Serving && self.state.borrow().is_known()
    }

    /// This instance as a member of the fleet.
    pub(crate) fn member(&self) -> Member {
        let settings = self.settings();
        Member {
            id: settings.name.clone(),
            incarnation: self.incarnation,
            domain: settings.domain.clone(),
            caller_address: settings.listen.callers,
            peer_address: settings.listen.peers,
            status_version: 0,
            status: MemberStatus::Live,
        }
    }

    /// The status that this instance reports to the others.
    pub(crate) fn status(&self) -> InstanceStatus {
        let state = self.state.borrow();
        InstanceStatus {
            is_ready: self.is_ready(),
            is_leaving: self.stage.get() >= Stage::Leaving,
            store: self.store.get(),
            is_watching: self.is_watching.get(),
            serves_callers: self.now() - self.last_serving_at.get() < SERVING_HOLD
                && !self.reach.is_nothing_reached(),
            sends_cross_domain: self.cross_domain_sends.get().is_cross_domain(self.now()),
            is_cut_off: self.reach.is_withdrawn(),
            rate: self.rate.get().per_second(self.now()),
            capacity: self.capacity(),
            config_version: state.table().version(),
            position: state.position(),
        }
    }

    /// Counts a request and returns its number.
    pub(crate) fn next_request_number(&self) -> u64 {
        let now = self.now();
        self.rate.set(self.rate.get().with_request(now));
        let rate = self.rate.get().per_second(now);
        if self.is_serving_rate(rate) {
            self.last_serving_at.set(now);
        }
        let number = self.next_request.get();
        self.next_request.set(number + 1);
        number
    }

    /// Records that a request is sent to a server; `is_cross_domain` if the server is in another
    /// failure domain.
    pub(crate) fn record_send(&self, is_cross_domain: bool) {
        self.cross_domain_sends
            .set(self.cross_domain_sends.get().with_send(self.now(), is_cross_domain));
    }

    /// Whether the budget allows a log line of this kind; counts the line as dropped if not.
    pub(crate) fn may_log(&self, kind: LogLineKind) -> bool {
        let mut budget = self.line_budget.get();
        let fits = budget.take(self.now(), kind);
        self.line_budget.set(budget);
        if !fits {
            self.metrics.dropped_log_lines.inc();
        }
        fits
    }

    /// Time for which a request waits for the answer to its load query.
    pub(crate) fn query_timeout(&self) -> Micros {
        self.query_times.get().timeout()
    }

    /// Records that a server answered a load query on an open connection after `took`.
    pub(crate) fn record_query_time(&self, took: Micros) {
        self.query_times.set(self.query_times.get().with_sample(took));
    }

    /// Time since the first request for addresses. The first call sets the start.
    pub(crate) fn since_first_address_request(&self) -> Micros {
        let now = self.now();
        if self.first_address_request_at.get() == Micros::ZERO {
            self.first_address_request_at.set(now);
        }
        now - self.first_address_request_at.get()
    }

    /// Counts a connection opened to a backend server, by purpose.
    pub(crate) fn count_connect(&self, purpose: &str) {
        self.metrics.connects.with_label_values(&[purpose]).inc();
    }

    /// Number of requests received from callers so far.
    pub(crate) fn requests(&self) -> u64 {
        self.next_request.get()
    }

    /// Sends a datagram. A send error is only logged: the protocol tolerates lost datagrams.
    pub(crate) fn send(&self, to: SocketAddr, datagram: &[u8], flow: Flow) {
        let is_local = self.membership.borrow().is_local(&to);
        self.usage.count_datagram(flow, is_local, datagram.len());
        if let Err(e) = self.udp.send_to(datagram, to) {
            log::debug!(to:% = to, error:% = e; "failed to send a datagram");
        }
    }
}

/// Sleeps until the age of the instance is a multiple of `span`.
///
/// Periodic tasks thereby wake at the same time, so that an idle instance wakes rarely.
pub(crate) async fn sleep_to_next(instance: &Instance, span: Micros) {
    sleep(span - Micros(instance.clock.uptime().0 % span.0)).await;
}

pub(crate) async fn sleep(span: Micros) {
    monoio::time::sleep(Duration::from(span)).await;
}
