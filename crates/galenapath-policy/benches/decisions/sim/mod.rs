//! Virtual time: requests pass from callers through instances to servers and back.
//!
//! An instance knows what its balancer was told: its own requests, the reports on the answers it
//! got, and a list of servers that lags.

mod admit;
mod members;

use self::admit::Gate;
use super::event::{Event, Events};
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

/// One way between an instance and a server of its failure domain.
pub const LOCAL_DELAY: Time = 100;
/// A request that waits longer at an instance is turned away. It stands in for admission.
pub const LONGEST_WAIT: Time = super::scenario::TARGET / 2;
const FAST_FAILURE: Time = 200;
const PROBE_COST: Time = 50;
const TICK: Time = MS;
/// Instances tell their peers how many requests they received in each window.
const LOAD_WINDOW: Time = 100 * MS;
const MOST_TRIES: u8 = 3;
/// Longest lag of the list of servers; each instance has its own.
const LIST_LAG: Time = SECOND;
/// How long a caller keeps the address it was given.
const ADDRESS_KEPT: Time = SECOND;
const REPLACED_INSTANCES: usize = 8;
const REPLACE_INSTANCE_EVERY: Time = 50 * MS;
const LEAVING_LIMIT: Time = SECOND;

/// What stands between callers and servers.
#[derive(Clone, Copy, Debug)]
pub struct Player {
    pub name: &'static str,
    pub policy: ChoicePolicy,
    /// Instances that dispatch for the service.
    pub dispatchers: usize,
    /// Whether admission decides what waits and what is turned away.
    pub admission: bool,
}

struct Req {
    arrival: Arrival,
    instance: usize,
    server: usize,
    slot: Option<BackendHandle>,
    tried: Vec<BackendHandle>,
    tries: u8,
    sent_at: Time,
}

struct Entry {
    domain: usize,
    id: InstanceId,
    balancer: Balancer,
    queue: VecDeque<usize>,
    /// Takes the place of `queue` for a player with admission.
    gate: Option<Gate>,
    lag: Time,
    /// Requests that arrived in this window, and the load of the one before.
    arrived: u64,
    load_before: f64,
    /// Slots of its failure domain that it could use at the end of that window.
    slots_before: f32,
    live: bool,
}

/// Plays the scenario once.
pub fn play(scenario: &Scenario, player: &Player) -> Stats {
    let mut sim = Sim::new(*scenario, *player);
    for arrival in scenario.arrivals() {
        sim.run_until(arrival.at);
        sim.arrive(arrival);
    }
    sim.run_until(scenario_end());
    sim.stats
}

/// Late enough for every answer that counts.
fn scenario_end() -> Time {
    super::scenario::END + 5 * SECOND
}

struct Sim {
    scenario: Scenario,
    player: Player,
    rng: SmallRng,
    now: Time,
    events: Events,
    servers: Vec<Server>,
    names: Vec<BackendId>,
    entries: Vec<Entry>,
    /// Entries that dispatch for the service.
    dispatching: Vec<usize>,
    pins: Vec<usize>,
    reqs: Vec<Req>,
    stats: Stats,
}

impl Sim {
    fn new(scenario: Scenario, player: Player) -> Self {
        let servers = fleet::servers(scenario.pattern, DOMAINS);
        let mut sim = Self {
            scenario,
            player,
            rng: SmallRng::seed_from_u64(scenario.seed ^ 0x5eed),
            now: 0,
            events: Events::default(),
            names: (0..servers.len()).map(|i| BackendId(format!("b{i}").into())).collect(),
            servers,
            entries: Vec::new(),
            dispatching: Vec::new(),
            pins: vec![0; CALLERS],
            reqs: Vec::new(),
            stats: Stats::new(),
        };
        for i in 0..INSTANCES {
            sim.add_entry(i % DOMAINS, format!("i{i}"));
        }
        sim.choose_dispatchers();
        for caller in 0..CALLERS {
            sim.pin(caller);
            let at = sim.rng.random_range(0..ADDRESS_KEPT);
            sim.at(at, Event::Repin { caller });
        }
        sim.schedule_pattern();
        sim
    }

    fn schedule_pattern(&mut self) {
        if self.scenario.pattern == Pattern::HalfInstances {
            for k in 0..REPLACED_INSTANCES {
                let at = MEASURED_FROM + k as Time * REPLACE_INSTANCE_EVERY;
                self.at(at, Event::Replace { instance: k });
            }
        }
    }

    fn add_entry(&mut self, domain: usize, id: String) {
        let cfg = BalancerConfig {
            policy: self.player.policy,
            dispatchers: self.player.dispatchers as u32,
            ..BalancerConfig::default()
        };
        let seed = self.rng.random();
        let instance = self.entries.len();
        self.entries.push(Entry {
            domain,
            id: InstanceId(id),
            balancer: Balancer::new(cfg, domain_id(domain), seed),
            queue: VecDeque::new(),
            gate: self.player.admission.then(|| Gate::new(&self.scenario, seed)),
            arrived: 0,
            load_before: 0.0,
            slots_before: 0.0,
            lag: self.rng.random_range(0..LIST_LAG),
            live: true,
        });
        self.at(self.now, Event::List { instance });
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
            Event::Reach { server, req } => self.reach(server, req),
            Event::Work { server, req } => self.work_done(server, req),
            Event::Answer { req, outcome, report } => self.answer(req, outcome, report),
            Event::ReachProbe { instance, server, slot } => {
                self.stats.probe(PROBE_COST);
                let report = self.servers[server].report(self.now);
                let delay = self.delay(instance, server) + PROBE_COST;
                self.at(self.now + delay, Event::AnswerProbe { instance, slot, report });
            }
            Event::AnswerProbe { instance, slot, report } => {
                self.entries[instance].balancer.report(Micros(self.now), slot, report);
                self.drain(instance);
            }
            Event::Tick { instance } => self.tick(instance),
            Event::List { instance } => self.list(instance),
            Event::Replace { instance } => self.replace(instance),
            Event::Repin { caller } => {
                self.pin(caller);
                self.at(self.now + ADDRESS_KEPT, Event::Repin { caller });
            }
        }
    }

    fn arrive(&mut self, arrival: Arrival) {
        self.stats.offer(arrival.at, arrival.caller);
        let instance = self.pins[arrival.caller];
        let req = self.reqs.len();
        self.reqs.push(Req {
            arrival,
            instance,
            server: 0,
            slot: None,
            tried: Vec::new(),
            tries: 0,
            sent_at: 0,
        });
        if self.player.admission {
            return self.offer(instance, req);
        }
        self.entries[instance].arrived += 1;
        self.entries[instance].queue.push_back(req);
        self.drain(instance);
        self.cross(instance, req);
    }

    /// Sends a request that has just come past the queue when it had better cross than wait.
    fn cross(&mut self, instance: usize, req: usize) {
        let entry = &mut self.entries[instance];
        if entry.queue.back() != Some(&req) {
            return;
        }
        entry.balancer.set_waiting(entry.queue.len() as u32 - 1);
        if let Some(slot) = entry.balancer.choose_cross_domain(Micros(self.now)) {
            entry.queue.pop_back();
            self.send(req, slot);
        }
    }

    /// Sends waiting requests while the balancer sees free slots; baselines send at once.
    fn drain(&mut self, instance: usize) {
        if self.player.admission {
            return self.pump(instance);
        }
        let queues = self.player.policy == ChoicePolicy::Galenapath;
        let now = Micros(self.now);
        while let Some(&req) = self.entries[instance].queue.front() {
            let waited = self.now - self.reqs[req].arrival.at;
            if waited > LONGEST_WAIT {
                self.entries[instance].queue.pop_front();
                self.stats.reject(self.reqs[req].arrival.at);
                continue;
            }
            let entry = &mut self.entries[instance];
            entry.balancer.set_waiting(entry.queue.len() as u32 - 1);
            if queues && entry.balancer.free_slots(now) == 0 {
                return;
            }
            let slot = entry.balancer.choose(now, &self.reqs[req].tried);
            if slot.is_none() && queues {
                return;
            }
            entry.queue.pop_front();
            match slot {
                Some(slot) => self.send(req, slot),
                None => self.stats.reject(self.reqs[req].arrival.at),
            }
        }
    }

    fn send(&mut self, req: usize, slot: BackendHandle) {
        let instance = self.reqs[req].instance;
        let entry = &mut self.entries[instance];
        entry.balancer.start(Micros(self.now), slot);
        let name = entry.balancer.backend(slot).cloned();
        let server = self.names.iter().position(|n| Some(n) == name.as_ref()).unwrap_or(0);
        self.reqs[req].slot = Some(slot);
        self.reqs[req].server = server;
        self.reqs[req].sent_at = self.now;
        self.reqs[req].tries += 1;
        self.stats.send(self.now, server);
        let is_late = self.now > self.servers[server].leaving_from.saturating_add(LEAVING_LIMIT);
        self.stats.to_leaving += u64::from(is_late);
        let delay = self.delay(instance, server);
        self.at(self.now + delay, Event::Reach { server, req });
    }

    fn reach(&mut self, server: usize, req: usize) {
        match self.servers[server].receive(self.now, req) {
            Reception::Started => self.start_work(server, req),
            Reception::Queued => {}
            Reception::Refused => self.send_back(server, req, 0, Outcome::Shed),
            Reception::FailedFast => {
                self.send_back(server, req, FAST_FAILURE, Outcome::FastFailure);
            }
        }
    }

    fn start_work(&mut self, server: usize, req: usize) {
        let factor = self.servers[server].factor(self.now);
        let work = (self.reqs[req].arrival.work as f64 * factor) as Time;
        self.at(self.now + work, Event::Work { server, req });
    }

    fn work_done(&mut self, server: usize, req: usize) {
        if let Some(next) = self.servers[server].done() {
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
        let Req { instance, arrival, tries, .. } = self.reqs[req];
        let latency = Micros(self.now - self.reqs[req].sent_at);
        if let Some(slot) = self.reqs[req].slot {
            let balancer = &mut self.entries[instance].balancer;
            balancer.finish(now, slot, outcome, latency);
            balancer.report(now, slot, report);
            self.reqs[req].tried.push(slot);
        }
        let is_final = outcome == Outcome::Answered || tries >= MOST_TRIES;
        if let Some(gate) = &mut self.entries[instance].gate {
            gate.answered(now, req, is_final.then_some((outcome, latency)));
        }
        if outcome == Outcome::Answered {
            let inside = self.now - arrival.at;
            let wait = inside.saturating_sub(arrival.work);
            let latency = inside + 2 * self.scenario.deployment.client;
            self.stats.answer(&arrival, latency, wait);
        } else if tries < MOST_TRIES && self.player.admission {
            self.send_admitted(req);
        } else if tries < MOST_TRIES {
            self.entries[instance].queue.push_front(req);
        } else {
            self.stats.reject(arrival.at);
        }
        self.drain(instance);
    }

    fn tick(&mut self, instance: usize) {
        let entry = &self.entries[instance];
        if !entry.live && entry.queue.is_empty() {
            return;
        }
        if self.now % LOAD_WINDOW < TICK {
            let entry = &mut self.entries[instance];
            let arrived = std::mem::take(&mut entry.arrived) as f64;
            entry.load_before = entry.gate.as_mut().map_or(arrived, Gate::take_load);
            entry.slots_before = entry.balancer.local_slots(Micros(self.now));
        }
        self.at(self.now + TICK, Event::Tick { instance });
        self.drain(instance);
        if self.player.policy == ChoicePolicy::Galenapath && self.dispatching.contains(&instance) {
            self.probe(instance);
        }
    }

    fn probe(&mut self, instance: usize) {
        while let Some(slot) = self.entries[instance].balancer.next_probe(Micros(self.now)) {
            let name = self.entries[instance].balancer.backend(slot);
            let server = self.names.iter().position(|n| Some(n) == name).unwrap_or(0);
            let delay = self.delay(instance, server);
            self.at(self.now + delay, Event::ReachProbe { instance, server, slot });
        }
    }

    fn delay(&mut self, instance: usize, server: usize) -> Time {
        let is_local = self.entries[instance].domain == self.servers[server].domain;
        let base = if is_local { LOCAL_DELAY } else { self.scenario.deployment.crossing };
        base + self.rng.random_range(0..=base / 10)
    }
}

fn domain_id(domain: usize) -> DomainId {
    DomainId(format!("d{domain}").into())
}
