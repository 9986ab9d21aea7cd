//! What all tasks of an instance share.

use crate::clock::Clock;
use crate::dialect::{Dialect, HeaderNames};
use crate::metrics::Metrics;
use crate::rate::Rate;
use crate::services::Services;
use crate::sharing::Outbox;
use crate::state::State;
use crate::usage::{Flow, Usage};
use galenapath_filings::{SuspectConfig, Suspects};
use galenapath_membership::{BeatConfig, Beats, Member, MemberStatus, StoreHealth, Vitals};
use galenapath_policy::dispatch::RecentLoad;
use galenapath_policy::measure::{CrossDomainSends, QueryTimes};
use galenapath_policy::place::{Placement, time_spent};
use galenapath_policy::{FailedRequests, LineBudget, LineKind};
use galenapath_protocol::{DomainId, FastMap, Incarnation, Micros};
use galenapath_routes::{Route, SplitTurn};
use galenapath_settings::GatewaySettings;
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

/// Time after its last busy second for which an instance counts as one that serves callers.
const SERVES_FOR: Micros = Micros::from_secs(2);

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Stage {
    /// No stop has begun.
    Serving,
    /// Left out of the address answers; callers with an older answer are still served.
    Leaving,
    /// Takes no new connections.
    Closing,
}

/// An instance. Borrows of its cells never last over an await.
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
    pub(crate) beats: RefCell<Beats>,
    /// Services of the configuration.
    pub(crate) services: RefCell<Services>,
    splits: RefCell<FastMap<String, SplitTurn>>,
    /// Longest time that callers of a route have said they wait.
    patience: RefCell<FastMap<String, Micros>>,
    /// Requests that may crash backend servers.
    pub(crate) suspects: RefCell<Suspects>,
    /// Requests that have failed here, whose callers may come back.
    pub(crate) failed: RefCell<FailedRequests>,
    /// What is to be told to other instances with the next datagram.
    pub(crate) outbox: RefCell<Outbox>,
    pub(crate) stage: Cell<Stage>,
    pub(crate) store: Cell<StoreHealth>,
    pub(crate) is_watching: Cell<bool>,
    /// When the store last answered this instance, or one that it hears.
    store_heard_at: Cell<Micros>,
    /// Requests in progress.
    pub(crate) in_progress: Cell<u32>,
    lines: Cell<LineBudget>,
    /// How long questions to servers take here.
    question_times: Cell<QueryTimes>,
    served_at: Cell<Micros>,
    crossings: Cell<CrossDomainSends>,
    /// When it last answered an accusation.
    pub(crate) accused_at: Cell<Micros>,
    /// Requests that callers send.
    pub(crate) rate: Cell<Rate>,
    /// Requests that callers of each failure domain send.
    pub(crate) recent_loads: RefCell<FastMap<DomainId, RecentLoad>>,
    /// When a caller first asked where to connect; zero before.
    asked_at: Cell<Micros>,
    next_ticket: Cell<u64>,
    /// Bytes by flow.
    pub(crate) usage: Usage,
    udp: UdpSocket,
}

impl Instance {
    pub(crate) fn new(
        settings: GatewaySettings,
        dialect: Box<dyn Dialect>,
        metrics: Metrics,
        udp: UdpSocket,
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
            beats: RefCell::new(Beats::new(
                BeatConfig::default(),
                incarnation,
                settings.domain.clone(),
                clock.now(),
            )),
            services: RefCell::default(),
            splits: RefCell::default(),
            patience: RefCell::default(),
            suspects: RefCell::new(Suspects::new(SuspectConfig::default())),
            failed: RefCell::default(),
            outbox: RefCell::default(),
            stage: Cell::new(Stage::Serving),
            store: Cell::default(),
            is_watching: Cell::new(false),
            store_heard_at: Cell::new(clock.now()),
            in_progress: Cell::new(0),
            lines: Cell::new(LineBudget::new(settings.log_lines)),
            question_times: Cell::default(),
            served_at: Cell::new(Micros::ZERO),
            crossings: Cell::default(),
            accused_at: Cell::new(Micros::ZERO),
            rate: Cell::default(),
            recent_loads: RefCell::default(),
            asked_at: Cell::default(),
            next_ticket: Cell::new(0),
            usage: Usage::default(),
            udp,
            settings: RefCell::new(Rc::new(settings)),
        })
    }

    /// Time now.
    pub(crate) fn now(&self) -> Micros {
        self.clock.now()
    }

    /// The settings in force.
    pub(crate) fn settings(&self) -> Rc<GatewaySettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Takes changed settings over.
    pub(crate) fn set_settings(&self, settings: GatewaySettings) {
        let mut lines = self.lines.get();
        lines.set(settings.log_lines);
        self.lines.set(lines);
        *self.settings.borrow_mut() = Rc::new(settings);
        for service in self.services.borrow().values() {
            service.take_settings(self);
        }
    }

    /// Whether the instance knows enough to serve and is not about to stop.
    pub(crate) fn is_ready(&self) -> bool {
        self.stage.get() == Stage::Serving && self.state.borrow().is_known()
    }

    /// Who this instance is.
    pub(crate) fn member(&self) -> Member {
        let settings = self.settings();
        Member {
            id: settings.name.clone(),
            incarnation: self.incarnation,
            domain: settings.domain.clone(),
            callers: settings.listen.callers,
            peers: settings.listen.peers,
            beat: 0,
            status: MemberStatus::Live,
        }
    }

    /// What this instance tells of itself.
    pub(crate) fn vitals(&self) -> Vitals {
        let state = self.state.borrow();
        Vitals {
            is_ready: self.is_ready(),
            is_leaving: self.stage.get() >= Stage::Leaving,
            store: self.store.get(),
            is_watching: self.is_watching.get(),
            serves_callers: self.now() - self.served_at.get() < SERVES_FOR,
            crosses: self.crossings.get().is_cross_domain(self.now()),
            rate: self.rate.get().per_second(self.now()),
            capacity: self.capacity(),
            config_version: state.table().version(),
            position: state.position(),
        }
    }

    /// Notes a request; returns its number.
    pub(crate) fn next_ticket(&self) -> u64 {
        let now = self.now();
        self.rate.set(self.rate.get().counted(now));
        let rate = self.rate.get().per_second(now);
        if self.is_serving_rate(rate) {
            self.served_at.set(now);
        }
        let ticket = self.next_ticket.get();
        self.next_ticket.set(ticket + 1);
        ticket
    }

    /// A request is sent to a server, one of another failure domain where `is_away`.
    pub(crate) fn note_send(&self, is_away: bool) {
        self.crossings.set(self.crossings.get().with_send(self.now(), is_away));
    }

    /// Whether a log line about a request is written; counts it where it is not.
    pub(crate) fn may_log(&self, kind: LineKind) -> bool {
        let mut lines = self.lines.get();
        let fits = lines.take(self.now(), kind);
        self.lines.set(lines);
        if !fits {
            self.metrics.log_left_out.inc();
        }
        fits
    }

    /// Time for which a request waits for the answer to its question to a server.
    pub(crate) fn patience_with_questions(&self) -> Micros {
        self.question_times.get().timeout()
    }

    /// A server has answered a question on an open connection after `took`.
    pub(crate) fn question_took(&self, took: Micros) {
        self.question_times.set(self.question_times.get().with_sample(took));
    }

    /// The store has answered this instance, or one whose heartbeat has come.
    pub(crate) fn store_heard(&self) {
        self.store_heard_at.set(self.now());
    }

    /// Brings up to date the metrics that are worked out when they are read.
    pub(crate) fn refresh_ages(&self) {
        let now = self.now();
        self.usage.publish(&self.metrics);
        let seconds = |span: Micros| span.as_millis_f64() / 1_000.0;
        self.metrics.store_age.set(seconds(now - self.store_heard_at.get()));
        self.metrics.peer_silence.set(seconds(self.beats.borrow().longest_silence(now)));
        let services = self.services.borrow();
        let count = |of: fn(&Placement, Micros) -> usize| {
            let counts = services.values().map(|service| of(&service.placement.borrow(), now));
            i64::try_from(counts.sum::<usize>()).unwrap_or(i64::MAX)
        };
        self.metrics.cold_servers.set(count(Placement::cold_count));
        self.metrics.limited_servers.set(count(|placement, _| placement.limited_count()));
        self.metrics.leaving_servers.set(count(|placement, _| placement.leaving_count()));
        self.metrics.paused_servers.set(count(Placement::paused_count));
        for service in services.values() {
            let age = seconds(service.placement.borrow().mean_observation_age(now));
            self.metrics.load_age.with_label_values(&[&service.name]).set(age);
        }
    }

    /// Time since the first question where to connect.
    pub(crate) fn served_for(&self) -> Micros {
        let now = self.now();
        if self.asked_at.get() == Micros::ZERO {
            self.asked_at.set(now);
        }
        now - self.asked_at.get()
    }

    /// The service that the next request of `route` goes to.
    pub(crate) fn pick_part<'a>(&self, route: &'a Route) -> &'a str {
        if let [only] = route.parts.as_slice() {
            return &only.service;
        }
        let mut splits = self.splits.borrow_mut();
        let turn = splits
            .entry(route.name.clone())
            .or_insert_with(|| SplitTurn::new(&route.parts, self.incarnation.0));
        &route.parts[turn.next(&route.parts)].service
    }

    /// When an answer to a request is no longer worth most, that arrived at `arrived` and whose caller's
    /// first attempt is known to have come at `first_at`. A caller that says it waits for much less time
    /// than callers of its route do has spent the rest on earlier attempts elsewhere.
    pub(crate) fn target_at(
        &self,
        route: &Route,
        arrived: Micros,
        first_at: Micros,
        told: Micros,
    ) -> Micros {
        let target = Micros::from(route.target);
        if first_at < arrived {
            return first_at + target;
        }
        let mut patience = self.patience.borrow_mut();
        let longest = match patience.get_mut(&route.name) {
            Some(longest) => longest,
            None => patience.entry(route.name.clone()).or_insert(told),
        };
        *longest = told.max(*longest);
        (arrived + target) - time_spent(*longest, told)
    }

    /// Starts the shares of all routes anew, for a changed configuration.
    pub(crate) fn reset_splits(&self) {
        self.splits.borrow_mut().clear();
        self.patience.borrow_mut().clear();
    }

    /// Counts a connection opened to a backend server.
    pub(crate) fn count_connect(&self, what_for: &str) {
        self.metrics.connects.with_label_values(&[what_for]).inc();
    }

    /// Requests taken from callers so far.
    pub(crate) fn requests(&self) -> u64 {
        self.next_ticket.get()
    }

    /// Sends a datagram; a datagram that cannot be sent is lost like any other.
    pub(crate) fn send(&self, to: SocketAddr, datagram: &[u8], flow: Flow) {
        let is_home = self.beats.borrow().is_home(&to);
        self.usage.count_datagram(flow, is_home, datagram.len());
        if let Err(e) = self.udp.send_to(datagram, to) {
            log::debug!(to:% = to, error:% = e; "a datagram was not sent");
        }
    }
}

/// Sleeps until the age of the instance is a multiple of `span`. Tasks that look at something now and then
/// wake together
/// by it, so that an instance that serves nobody wakes seldom.
pub(crate) async fn sleep_to_next(instance: &Instance, span: Micros) {
    sleep(span - Micros(instance.clock.age().0 % span.0)).await;
}

/// Sleeps for `span`.
pub(crate) async fn sleep(span: Micros) {
    monoio::time::sleep(Duration::from(span)).await;
}
