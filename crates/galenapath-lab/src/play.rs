//! The play: events in virtual time, which carry out what the decisions say.

mod request;

use crate::callers::{Arrival, arrivals, millis};
use crate::deployment::Deployment;
use crate::event::{Event, Load};
use crate::instance::{Instance, id_of};
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

/// Way between a caller and an instance.
const CALLER_WAY: Micros = Micros::from_millis(1);
/// Way within a failure domain.
const HOME_WAY: Micros = Micros(100);
/// Time between two looks of an instance at its line, as waiting requests look.
const LOOK: Micros = Micros::from_millis(10);
/// Time between two looks at which probes are due.
const PROBE_LOOK: Micros = Micros::from_millis(15);
/// Time between two datagrams with loads.
const FLUSH: Micros = Micros::from_millis(20);
/// Age up to which a load is trusted without a question.
const FRESH_LOAD: Micros = Micros::from_millis(8);
/// Servers that may turn out unfit before a request takes what it is given.
const MOST_CHOICES: u32 = 4;

/// Plays the deployment with the shipping decisions under a policy.
pub fn play(deployment: &Deployment, seed: u64, policy: &Policy) -> Report {
    Play::new(deployment, seed, policy).run()
}

struct Play<'a> {
    deployment: &'a Deployment,
    policy: &'a Policy,
    arrivals: Vec<Arrival>,
    /// Whether a request has come back after a refusal.
    came_back: Vec<bool>,
    done: Vec<bool>,
    servers: Vec<Server>,
    instances: Vec<Instance>,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    next_event: u64,
    rng: SmallRng,
    now: Micros,
    open: usize,
    report: Report,
}

impl<'a> Play<'a> {
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
            came_back: vec![false; arrivals.len()],
            done: vec![false; arrivals.len()],
            open: arrivals.len(),
            arrivals,
            servers: Server::all(deployment, seed),
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
            self.at(at + CALLER_WAY, Event::Arrives { request, instance, is_back: false });
        }
        for instance in 0..self.instances.len() {
            self.at(LOOK, Event::Look { instance });
            self.at(FLUSH, Event::Flush { instance });
        }
        self.at(PROBE_LOOK, Event::Probes);
        while self.open > 0
            && let Some(Reverse((at, _, event))) = self.events.pop()
        {
            self.now = at;
            self.handle(event);
        }
        self.report
    }

    fn at(&mut self, at: Micros, event: Event) {
        self.next_event += 1;
        self.events.push(Reverse((at, self.next_event, event)));
    }

    fn is_without(&self, switch: Switch) -> bool {
        self.policy.is_without(switch)
    }

    fn instance_in(&mut self, domain: usize) -> usize {
        let count = self.deployment.instances_per_domain;
        domain * count + self.rng.random_range(0..count)
    }

    fn way(&self, instance: usize, server: usize) -> Micros {
        let is_home = self.instances[instance].domain == self.servers[server].domain;
        if is_home { HOME_WAY } else { millis(self.deployment.crossing_ms) }
    }

    fn load(&self, server: usize) -> Load {
        self.servers[server].report(self.now, self.deployment.servers.slots).into()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrives { request, instance, is_back } => {
                self.came_back[request] = is_back;
                self.place(request, instance);
            }
            Event::AskReaches { request, instance, server, asked_at } => {
                let load = self.load(server);
                let answered = Event::AskAnswered { request, instance, server, load, asked_at };
                self.at(self.now + self.way(instance, server), answered);
            }
            Event::AskAnswered { request, instance, server, load, asked_at } => {
                self.see(instance, server, load, asked_at);
                self.judge(request, instance, server);
            }
            Event::Reaches { request, instance, server } => self.reach(request, instance, server),
            Event::Ends { request, instance, server } => self.end(request, instance, server),
            Event::Answered { request, instance, server, load } => {
                self.answered(request, instance, server, load);
            }
            Event::Shed { request, instance, server } => self.shed(request, instance, server),
            Event::Told { instance, server, load, at } => {
                let sighting = LoadObservation { at, report: load.into() };
                self.instances[instance].placement.observe(&id_of(server), sighting);
                self.poll(instance);
            }
            Event::ProbeReaches { instance, server, asked_at } => {
                self.see(instance, server, self.load(server), asked_at);
                self.poll(instance);
            }
            Event::Look { instance } => {
                self.poll(instance);
                self.at(self.now + LOOK, Event::Look { instance });
            }
            Event::Probes => self.probe(),
            Event::Flush { instance } => self.flush(instance),
        }
    }

    /// Takes in what a server told this instance, and keeps it for the others.
    fn see(&mut self, instance: usize, server: usize, load: Load, at: Micros) {
        let sighting = LoadObservation { at, report: load.into() };
        let here = &mut self.instances[instance];
        if here.placement.observe(&id_of(server), sighting) {
            here.tell(server, sighting);
        }
    }

    /// Each server is probed by the first instance of its domain.
    fn probe(&mut self) {
        self.at(self.now + PROBE_LOOK, Event::Probes);
        if self.is_without(Switch::Probes) {
            return;
        }
        for server in 0..self.servers.len() {
            let domain = self.servers[server].domain;
            let instance = domain * self.deployment.instances_per_domain;
            let due = self.instances[instance].placement.next_probe_at(self.now, &id_of(server));
            if due <= self.now {
                self.report.probes += 1;
                let reaches = Event::ProbeReaches { instance, server, asked_at: self.now };
                self.at(self.now + HOME_WAY + HOME_WAY, reaches);
            }
        }
    }

    fn flush(&mut self, instance: usize) {
        self.at(self.now + FLUSH, Event::Flush { instance });
        let mut news: Vec<(usize, LoadObservation)> =
            self.instances[instance].outbox.drain().collect();
        // The order of a map differs from run to run.
        news.sort_by_key(|(server, _)| *server);
        if self.is_without(Switch::Sharing) {
            return;
        }
        let way = millis(self.deployment.crossing_ms);
        for (server, LoadObservation { at, report }) in news {
            for other in (0..self.instances.len()).filter(|other| *other != instance) {
                let told = Event::Told { instance: other, server, load: report.into(), at };
                self.at(self.now + way, told);
            }
        }
    }
}
