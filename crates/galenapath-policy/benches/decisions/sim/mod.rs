//! Simulation in virtual time of requests from callers through instances to servers and back.
//!
//! An instance knows only what its balancer receives: its own requests, the reports that come with
//! answers and probes, and a list of servers that lags behind.

mod admit;
mod members;

use self::admit::AdmissionGate;
use super::event::{Event, EventQueue};
use super::fleet::{self, Reception, Server};
use super::scenario::{
    Arrival, CALLERS, DOMAINS, INSTANCES, MEASURED_FROM, MS, Pattern, SECOND, Scenario, Time,
};
use super::stats::Stats;
use galenapath_policy::{BackendHandle, Balancer, BalancerConfig, ChoicePolicy, Outcome};
use galenapath_protocol::{BackendId, DomainId, InstanceId, LoadReport, Micros};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::VecDeque;

/// One-way delay between an instance and a server of its failure domain.
pub const LOCAL_DELAY: Time = 100;
/// Maximum wait at an instance before a request is rejected. Replaces admission for variants
/// without it.
pub const MAX_WAIT: Time = super::scenario::TARGET / 2;
const FAST_FAILURE_TIME: Time = 200;
const PROBE_COST: Time = 50;
const TICK: Time = MS;
/// Interval in which instances report the number of received requests to their peers.
const LOAD_WINDOW: Time = 100 * MS;
const MAX_TRIES: u8 = 3;
/// Maximum lag of the list of servers; the lag differs between instances.
const MAX_LIST_LAG: Time = SECOND;
/// Time for which a caller uses the address of an instance.
const ADDRESS_LIFETIME: Time = SECOND;
const REPLACED_INSTANCES: usize = 8;
const REPLACE_INSTANCE_EVERY: Time = 50 * MS;
const MAX_SEND_AFTER_LEAVING: Time = SECOND;

/// A policy with its settings, as one row of the tables.
#[derive(Clone, Copy, Debug)]
pub struct Variant {
    pub name: &'static str,
    pub policy: ChoicePolicy,
    /// Instances that dispatch for the service.
    pub dispatchers: usize,
    /// Whether admission decides which requests wait and which are rejected.
    pub admission: bool,
}

struct Request {
    arrival: Arrival,
    instance: usize,
    server: usize,
    handle: Option<BackendHandle>,
    tried: Vec<BackendHandle>,
    tries: u8,
    sent_at: Time,
}

struct Entry {
    domain: usize,
    id: InstanceId,
    balancer: Balancer,
    queue: VecDeque<usize>,
    /// Replaces `queue` in variants with admission.
    gate: Option<AdmissionGate>,
    lag: Time,
    /// Requests that arrived in the current window, and the load of the previous one.
    arrived: u64,
    last_load: f64,
    /// Usable slots of its failure domain at the end of the previous window.
    last_slots: f32,
    is_live: bool,
}

/// Runs the scenario once.
pub fn run(scenario: &Scenario, variant: &Variant) -> Stats {
    let mut sim = Simulation::new(*scenario, *variant);
    for arrival in scenario.arrivals() {
        sim.run_until(arrival.at);
        sim.arrive(arrival);
    }
    sim.run_until(scenario_end());
    sim.stats
}

/// Time by which every request that counts has been answered.
fn scenario_end() -> Time {
    super::scenario::END + 5 * SECOND
}

struct Simulation {
    scenario: Scenario,
    variant: Variant,
    rng: SmallRng,
    now: Time,
    events: EventQueue,
    servers: Vec<Server>,
    names: Vec<BackendId>,
    entries: Vec<Entry>,
    /// Indices of the entries that dispatch for the service.
    dispatching: Vec<usize>,
    assigned_instances: Vec<usize>,
    reqs: Vec<Request>,
    stats: Stats,
}

impl Simulation {
    fn new(scenario: Scenario, variant: Variant) -> Self {
        let servers = fleet::servers(scenario.pattern, DOMAINS);
        let mut sim = Self {
            scenario,
            variant,
            rng: SmallRng::seed_from_u64(scenario.seed ^ 0x5eed),
            now: 0,
            events: EventQueue::default(),
            names: (0..servers.len()).map(|i| BackendId(format!("b{i}").into())).collect(),
            servers,
            entries: Vec::new(),
            dispatching: Vec::new(),
            assigned_instances: vec![0; CALLERS],
            reqs: Vec::new(),
            stats: Stats::new(),
        };
        for i in 0..INSTANCES {
            sim.add_entry(i % DOMAINS, format!("i{i}"));
        }
        sim.choose_dispatchers();
        for caller in 0..CALLERS {
            sim.assign_instance(caller);
            let at = sim.rng.random_range(0..ADDRESS_LIFETIME);
            sim.at(at, Event::ReassignCaller { caller });
        }
        sim.schedule_pattern();
        sim
    }

    fn schedule_pattern(&mut self) {
        if self.scenario.pattern == Pattern::HalfInstances {
            for k in 0..REPLACED_INSTANCES {
                let at = MEASURED_FROM + k as Time * REPLACE_INSTANCE_EVERY;
                self.at(at, Event::ReplaceInstance { instance: k });
            }
        }
    }

    fn add_entry(&mut self, domain: usize, id: String) {
        let cfg = BalancerConfig {
            policy: self.variant.policy,
            dispatchers: self.variant.dispatchers as u32,
            ..BalancerConfig::default()
        };
        let seed = self.rng.random();
        let instance = self.entries.len();
        self.entries.push(Entry {
            domain,
            id: InstanceId(id),
            balancer: Balancer::new(cfg, domain_id(domain), seed),
            queue: VecDeque::new(),
            gate: self.variant.admission.then(|| AdmissionGate::new(&self.scenario, seed)),
            arrived: 0,
            last_load: 0.0,
            last_slots: 0.0,
            lag: self.rng.random_range(0..MAX_LIST_LAG),
            is_live: true,
        });
        self.at(self.now, Event::RefreshServers { instance });
        self.at(self.now, Event::Tick { instance });
    }

    fn at(&mut self, at: Time, event: Event) {
        self.events.add(at, event);
    }

    fn run_until(&mut self, until: Time) {
        while let Some((at, event)) = self.events.next_until(until) {
            self.now = at;
            self.handle(event);
        }
        self.now = until;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::ReachServer { server, req } => self.reach_server(server, req),
            Event::WorkDone { server, req } => self.work_done(server, req),
            Event::Answer { req, outcome, report } => self.answer(req, outcome, report),
            Event::ReachProbe { instance, server, handle } => {
                self.stats.probe(PROBE_COST);
                let report = self.servers[server].report(self.now);
                let delay = self.delay(instance, server) + PROBE_COST;
                self.at(self.now + delay, Event::AnswerProbe { instance, handle, report });
            }
            Event::AnswerProbe { instance, handle, report } => {
                self.entries[instance].balancer.report(Micros(self.now), handle, report);
                self.drain_queue(instance);
            }
            Event::Tick { instance } => self.tick(instance),
            Event::RefreshServers { instance } => self.refresh_servers(instance),
            Event::ReplaceInstance { instance } => self.replace_instance(instance),
            Event::ReassignCaller { caller } => {
                self.assign_instance(caller);
                self.at(self.now + ADDRESS_LIFETIME, Event::ReassignCaller { caller });
            }
        }
    }

    fn arrive(&mut self, arrival: Arrival) {
        self.stats.offer(arrival.at, arrival.caller);
        let instance = self.assigned_instances[arrival.caller];
        let req = self.reqs.len();
        self.reqs.push(Request {
            arrival,
            instance,
            server: 0,
            handle: None,
            tried: Vec::new(),
            tries: 0,
            sent_at: 0,
        });
        if self.variant.admission {
            return self.offer(instance, req);
        }
        self.entries[instance].arrived += 1;
        self.entries[instance].queue.push_back(req);
        self.drain_queue(instance);
        self.send_cross_domain(instance, req);
    }

    /// Takes a request that has just arrived out of the queue and sends it to another failure
    /// domain if that costs less than waiting.
    fn send_cross_domain(&mut self, instance: usize, req: usize) {
        let entry = &mut self.entries[instance];
        if entry.queue.back() != Some(&req) {
            return;
        }
        entry.balancer.set_waiting(entry.queue.len() as u32 - 1);
        if let Some(handle) = entry.balancer.choose_cross_domain(Micros(self.now)) {
            entry.queue.pop_back();
            self.send(req, handle);
        }
    }

    /// Sends waiting requests while the balancer has free slots; baselines send immediately.
    fn drain_queue(&mut self, instance: usize) {
        if self.variant.admission {
            return self.apply_decisions(instance);
        }
        let has_queue = self.variant.policy == ChoicePolicy::Galenapath;
        let now = Micros(self.now);
        while let Some(&req) = self.entries[instance].queue.front() {
            let waited = self.now - self.reqs[req].arrival.at;
            if waited > MAX_WAIT {
                self.entries[instance].queue.pop_front();
                self.stats.reject(self.reqs[req].arrival.at);
                continue;
            }
            let entry = &mut self.entries[instance];
            entry.balancer.set_waiting(entry.queue.len() as u32 - 1);
            if has_queue && entry.balancer.free_slots(now) == 0 {
                return;
            }
            let handle = entry.balancer.choose(now, &self.reqs[req].tried);
            if handle.is_none() && has_queue {
                return;
            }
            entry.queue.pop_front();
            match handle {
                Some(handle) => self.send(req, handle),
                None => self.stats.reject(self.reqs[req].arrival.at),
            }
        }
    }

    fn send(&mut self, req: usize, handle: BackendHandle) {
        let instance = self.reqs[req].instance;
        let entry = &mut self.entries[instance];
        entry.balancer.start(Micros(self.now), handle);
        let name = entry.balancer.backend(handle).cloned();
        let server = self.names.iter().position(|n| Some(n) == name.as_ref()).unwrap_or(0);
        self.reqs[req].handle = Some(handle);
        self.reqs[req].server = server;
        self.reqs[req].sent_at = self.now;
        self.reqs[req].tries += 1;
        self.stats.send(self.now, server);
        let is_late =
            self.now > self.servers[server].leaving_from.saturating_add(MAX_SEND_AFTER_LEAVING);
        self.stats.to_leaving += u64::from(is_late);
        let delay = self.delay(instance, server);
        self.at(self.now + delay, Event::ReachServer { server, req });
    }

    fn reach_server(&mut self, server: usize, req: usize) {
        match self.servers[server].receive(self.now, req) {
            Reception::Started => self.start_work(server, req),
            Reception::Queued => {}
            Reception::Refused => self.send_back(server, req, 0, Outcome::Shed),
            Reception::FailedFast => {
                self.send_back(server, req, FAST_FAILURE_TIME, Outcome::FastFailure);
            }
        }
    }

    fn start_work(&mut self, server: usize, req: usize) {
        let factor = self.servers[server].factor(self.now);
        let work = (self.reqs[req].arrival.work as f64 * factor) as Time;
        self.at(self.now + work, Event::WorkDone { server, req });
    }

    fn work_done(&mut self, server: usize, req: usize) {
        if let Some(next) = self.servers[server].finish_request() {
            self.start_work(server, next);
        }
        self.send_back(server, req, 0, Outcome::Answered);
    }

    fn send_back(&mut self, server: usize, req: usize, after: Time, outcome: Outcome) {
        let report = self.servers[server].report(self.now);
        let delay = self.delay(self.reqs[req].instance, server) + after;
        self.at(self.now + delay, Event::Answer { req, outcome, report });
    }

    fn answer(&mut self, req: usize, outcome: Outcome, report: LoadReport) {
        let now = Micros(self.now);
        let Request { instance, arrival, tries, .. } = self.reqs[req];
        let latency = Micros(self.now - self.reqs[req].sent_at);
        if let Some(handle) = self.reqs[req].handle {
            let balancer = &mut self.entries[instance].balancer;
            balancer.finish(now, handle, outcome, latency);
            balancer.report(now, handle, report);
            self.reqs[req].tried.push(handle);
        }
        let is_final = outcome == Outcome::Answered || tries >= MAX_TRIES;
        if let Some(gate) = &mut self.entries[instance].gate {
            gate.answered(now, req, is_final.then_some((outcome, latency)));
        }
        if outcome == Outcome::Answered {
            let inside = self.now - arrival.at;
            let wait = inside.saturating_sub(arrival.work);
            let latency = inside + 2 * self.scenario.deployment.client_delay;
            self.stats.answer(&arrival, latency, wait);
        } else if tries < MAX_TRIES && self.variant.admission {
            self.send_admitted(req);
        } else if tries < MAX_TRIES {
            self.entries[instance].queue.push_front(req);
        } else {
            self.stats.reject(arrival.at);
        }
        self.drain_queue(instance);
    }

    fn tick(&mut self, instance: usize) {
        let entry = &self.entries[instance];
        if !entry.is_live && entry.queue.is_empty() {
            return;
        }
        if self.now % LOAD_WINDOW < TICK {
            let entry = &mut self.entries[instance];
            let arrived = std::mem::take(&mut entry.arrived) as f64;
            entry.last_load = entry.gate.as_mut().map_or(arrived, AdmissionGate::take_load);
            entry.last_slots = entry.balancer.local_slots(Micros(self.now));
        }
        self.at(self.now + TICK, Event::Tick { instance });
        self.drain_queue(instance);
        if self.variant.policy == ChoicePolicy::Galenapath && self.dispatching.contains(&instance) {
            self.probe(instance);
        }
    }

    fn probe(&mut self, instance: usize) {
        while let Some(handle) = self.entries[instance].balancer.next_probe(Micros(self.now)) {
            let name = self.entries[instance].balancer.backend(handle);
            let server = self.names.iter().position(|n| Some(n) == name).unwrap_or(0);
            let delay = self.delay(instance, server);
            self.at(self.now + delay, Event::ReachProbe { instance, server, handle });
        }
    }

    fn delay(&mut self, instance: usize, server: usize) -> Time {
        let is_local = self.entries[instance].domain == self.servers[server].domain;
        let base = if is_local { LOCAL_DELAY } else { self.scenario.deployment.cross_domain_delay };
        base + self.rng.random_range(0..=base / 10)
    }
}

fn domain_id(domain: usize) -> DomainId {
    DomainId(format!("d{domain}").into())
}
