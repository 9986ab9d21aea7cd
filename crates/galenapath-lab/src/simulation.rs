//! Event-driven simulation in virtual time of instances that run the gateway's decisions.

mod request;

use crate::callers::{Arrival, arrivals, micros_from_ms};
use crate::deployment::Deployment;
use crate::event::{Event, Load};
use crate::instance::{Instance, backend_id};
use crate::policy::Policy;
use crate::report::Report;
use crate::servers::Server;
use crate::switch::Switch;
use galenapath_policy::place::LoadObservation;
use galenapath_protocol::Micros;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// One-way latency between a caller and an instance.
const CALLER_LATENCY: Micros = Micros::from_millis(1);
/// One-way latency within a failure domain.
const LOCAL_LATENCY: Micros = Micros(100);
/// Interval at which an instance polls its placement queue; the same as for waiting requests in the
/// gateway.
const POLL_INTERVAL: Micros = Micros::from_millis(10);
/// Interval at which due probes are checked.
const PROBE_CHECK_INTERVAL: Micros = Micros::from_millis(15);
/// Interval between two load updates to other instances.
const FLUSH_INTERVAL: Micros = Micros::from_millis(20);
/// Age up to which a load observation is used without a load query.
const MAX_FRESH_AGE: Micros = Micros::from_millis(8);
/// Unfit servers after which a request is sent to the next assigned server even if it is unfit.
const MAX_UNFIT_SERVERS: u32 = 4;

/// Simulates the deployment with the gateway's decisions under a policy.
pub fn simulate(deployment: &Deployment, seed: u64, policy: &Policy) -> Report {
    Simulation::new(deployment, seed, policy).run()
}

struct Simulation<'a> {
    deployment: &'a Deployment,
    policy: &'a Policy,
    arrivals: Vec<Arrival>,
    /// Whether each request was retried by its caller after a rejection.
    is_retried: Vec<bool>,
    done: Vec<bool>,
    servers: Vec<Server>,
    instances: Vec<Instance>,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    next_event: u64,
    rng: SmallRng,
    now: Micros,
    open_count: usize,
    report: Report,
}

impl<'a> Simulation<'a> {
    fn new(deployment: &'a Deployment, seed: u64, policy: &'a Policy) -> Self {
        let arrivals = arrivals(deployment, seed);
        let mut instances = Vec::new();
        for domain in 0..deployment.servers.per_domain.len() {
            for n in 0..deployment.instances_per_domain {
                let seed = seed ^ ((domain * 100 + n) as u64) << 32;
                instances.push(Instance::new(deployment, domain, policy, seed));
            }
        }
        Self {
            deployment,
            policy,
            is_retried: vec![false; arrivals.len()],
            done: vec![false; arrivals.len()],
            open_count: arrivals.len(),
            arrivals,
            servers: Server::all_of(deployment, seed),
            instances,
            events: BinaryHeap::new(),
            next_event: 0,
            rng: SmallRng::seed_from_u64(seed),
            now: Micros::ZERO,
            report: Report::default(),
        }
    }

    fn run(mut self) -> Report {
        for request in 0..self.arrivals.len() {
            let Arrival { at, domain, .. } = self.arrivals[request];
            let instance = self.instance_in(domain);
            self.schedule(
                at + CALLER_LATENCY,
                Event::RequestArrived { request, instance, is_retry: false },
            );
        }
        for instance in 0..self.instances.len() {
            self.schedule(POLL_INTERVAL, Event::QueuePoll { instance });
            self.schedule(FLUSH_INTERVAL, Event::Flush { instance });
        }
        self.schedule(PROBE_CHECK_INTERVAL, Event::ProbeCheck);
        while self.open_count > 0
            && let Some(Reverse((at, _, event))) = self.events.pop()
        {
            self.now = at;
            self.handle(event);
        }
        self.report
    }

    fn schedule(&mut self, at: Micros, event: Event) {
        self.next_event += 1;
        self.events.push(Reverse((at, self.next_event, event)));
    }

    fn is_disabled(&self, switch: Switch) -> bool {
        self.policy.is_disabled(switch)
    }

    fn instance_in(&mut self, domain: usize) -> usize {
        let count = self.deployment.instances_per_domain;
        domain * count + self.rng.random_range(0..count)
    }

    fn latency(&self, instance: usize, server: usize) -> Micros {
        self.latency_between(self.instances[instance].domain, self.servers[server].domain)
    }

    fn latency_between(&self, from: usize, to: usize) -> Micros {
        if from == to { LOCAL_LATENCY } else { micros_from_ms(self.deployment.crossing_ms) }
    }

    fn load(&self, server: usize) -> Load {
        self.servers[server].report(self.now, self.deployment.servers.slots).into()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::RequestArrived { request, instance, is_retry } => {
                self.is_retried[request] = is_retry;
                self.place(request, instance);
            }
            Event::QueryReceived { request, instance, server, sent_at } => {
                let load = self.load(server);
                let answered = Event::QueryAnswered { request, instance, server, load, sent_at };
                self.schedule(self.now + self.latency(instance, server), answered);
            }
            Event::QueryAnswered { request, instance, server, load, sent_at } => {
                self.observe(instance, server, load, sent_at);
                self.check_fitness(request, instance, server);
            }
            Event::RequestReceived { request, instance, server } => {
                self.receive(request, instance, server)
            }
            Event::RequestEnded { request, instance, server } => {
                self.end(request, instance, server)
            }
            Event::AnswerReceived { request, instance, server, load } => {
                self.receive_answer(request, instance, server, load);
            }
            Event::ShedReceived { request, instance, server } => {
                self.receive_shed(request, instance, server)
            }
            Event::ObservationReceived { instance, server, load, at } => {
                let observation = LoadObservation { at, report: load.into() };
                self.instances[instance].placement.observe(&backend_id(server), observation);
                self.poll(instance);
            }
            Event::ProbeAnswered { instance, server, sent_at } => {
                self.observe(instance, server, self.load(server), sent_at);
                self.poll(instance);
            }
            Event::QueuePoll { instance } => {
                self.poll(instance);
                self.schedule(self.now + POLL_INTERVAL, Event::QueuePoll { instance });
            }
            Event::ProbeCheck => self.probe(),
            Event::Flush { instance } => self.flush(instance),
        }
    }

    /// Applies a load report of a server to an instance and queues it for the others.
    fn observe(&mut self, instance: usize, server: usize, load: Load, at: Micros) {
        let observation = LoadObservation { at, report: load.into() };
        let here = &mut self.instances[instance];
        if here.placement.observe(&backend_id(server), observation) {
            here.queue_observation(server, observation);
        }
    }

    /// Sends due probes. Each server is probed by the first instance of its domain.
    fn probe(&mut self) {
        self.schedule(self.now + PROBE_CHECK_INTERVAL, Event::ProbeCheck);
        if self.is_disabled(Switch::Probes) {
            return;
        }
        for server in 0..self.servers.len() {
            let domain = self.servers[server].domain;
            let instance = domain * self.deployment.instances_per_domain;
            let due =
                self.instances[instance].placement.next_probe_at(self.now, &backend_id(server));
            if due <= self.now {
                self.report.probes += 1;
                let received = Event::ProbeAnswered { instance, server, sent_at: self.now };
                self.schedule(self.now + LOCAL_LATENCY + LOCAL_LATENCY, received);
            }
        }
    }

    fn flush(&mut self, instance: usize) {
        self.schedule(self.now + FLUSH_INTERVAL, Event::Flush { instance });
        let mut updates: Vec<(usize, LoadObservation)> =
            self.instances[instance].outbox.drain().collect();
        // The iteration order of a map differs between runs.
        updates.sort_by_key(|(server, _)| *server);
        if self.is_disabled(Switch::Sharing) {
            return;
        }
        let domain = self.instances[instance].domain;
        for (server, LoadObservation { at, report }) in updates {
            for other in (0..self.instances.len()).filter(|other| *other != instance) {
                let latency = self.latency_between(domain, self.instances[other].domain);
                let received =
                    Event::ObservationReceived { instance: other, server, load: report.into(), at };
                self.schedule(self.now + latency, received);
            }
        }
    }
}
