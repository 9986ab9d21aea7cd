//! Simulation of many instances and a rate-limited server in virtual time: requests, reports
//! between the instances, and lost messages.

use crate::support::{START, id, observation, server};
use galenapath_policy::measure::{LimitShare, Prober, limit_share};
use galenapath_policy::place::{Choice, PlaceConfig, Placement, RateLimit, RequestCriteria};
use galenapath_protocol::{DomainId, Incarnation, Micros};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const STEP: Micros = Micros::from_millis(10);
const WORK: Micros = Micros::from_millis(80);
const STATED_AT: Micros = Micros::from_secs(11);
pub const ENDS_AT: Micros = Micros::from_secs(20);
const END: Micros = Micros::from_secs(24);
/// Span over which the server counts its requests.
const SPAN: Micros = Micros::from_secs(4);
/// Time after the limit is first stated from which the span may end.
const SETTLING_TIME: Micros = Micros::from_secs(3);
/// Time after an instance has received the limit from which its requests count.
const RECEIVED_GRACE: Micros = Micros::from_millis(500);
/// Interval at which an instance recomputes its shares.
const REASSIGN: Micros = Micros::from_millis(250);
const REPEAT_INTERVAL: Micros = Micros::from_secs(2);
/// Number of servers besides the limited one.
const OTHER_SERVERS: usize = 2;

/// The whole of a limit.
pub const WHOLE_LIMIT: LimitShare = LimitShare { part: 1.0, is_broadcaster: true };

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub seed: u64,
    pub instances: usize,
    pub domains: usize,
    pub limit: f64,
    /// Requests per second at one instance.
    pub demand: f64,
    /// Whether the other servers state the same limit.
    pub is_for_all: bool,
    /// Restarts per second in the whole fleet.
    pub restarts: f64,
    /// Fraction of the messages between instances that is lost.
    pub loss: f64,
    /// Whether the limit is split among instances, instead of applied by each instance on its own.
    pub is_split: bool,
}

pub struct Node {
    incarnation: Incarnation,
    domain: DomainId,
    pub placement: Placement,
    /// When it started, and when the others learn of this incarnation.
    started_at: Micros,
    known_from: Micros,
    /// When an answer first stated a limit to it.
    received_at: Option<Micros>,
}

/// An answer on its way back to an instance.
struct Answer {
    at: Micros,
    node: usize,
    incarnation: Incarnation,
    server: usize,
    sent_at: Micros,
}

/// A message from one instance to another.
struct Message {
    at: Micros,
    to: usize,
    server: usize,
    limit: RateLimit,
}

pub struct Fleet {
    plan: Plan,
    rng: SmallRng,
    pub nodes: Vec<Node>,
    answers: Vec<Answer>,
    messages: Vec<Message>,
    /// Requests at the limited server: the time, and whether the sender had received the limit.
    arrivals: Vec<(Micros, bool)>,
}

impl Fleet {
    fn new(plan: Plan) -> Self {
        let rng = SmallRng::seed_from_u64(plan.seed);
        let mut fleet = Self {
            plan,
            rng,
            nodes: Vec::new(),
            answers: Vec::new(),
            messages: Vec::new(),
            arrivals: Vec::new(),
        };
        for n in 0..plan.instances {
            let node = fleet.start(n, START);
            fleet.nodes.push(Node { known_from: START, ..node });
        }
        fleet
    }

    fn start(&mut self, n: usize, now: Micros) -> Node {
        let incarnation = Incarnation(self.rng.random());
        let mut placement = Placement::new(PlaceConfig::default(), incarnation.0);
        let domain = n % self.plan.domains;
        let list: Vec<_> =
            (0..=OTHER_SERVERS).map(|s| server(s, s % self.plan.domains == domain)).collect();
        placement.set_servers(now, &list);
        let known_from = now + Micros::from_millis(self.rng.random_range(100..1_200));
        Node {
            incarnation,
            domain: DomainId(format!("d{domain}").into()),
            placement,
            started_at: now,
            known_from,
            received_at: None,
        }
    }

    fn limit_of(&self, server: usize, at: Micros) -> Option<f64> {
        let is_stated = (STATED_AT..ENDS_AT).contains(&at) && (server == 0 || self.plan.is_for_all);
        is_stated.then_some(self.plan.limit)
    }

    /// Assigns the shares of the instance `own`, among the instances that it knows to serve
    /// callers.
    fn assign_shares(&mut self, own: usize, now: Micros) {
        let domains = self.plan.domains;
        let known =
            self.nodes.iter().enumerate().filter(|(n, node)| {
                *n == own || (node.known_from <= now && node.started_at <= now)
            });
        let probing: Vec<Prober<'_>> = known
            .map(|(_, node)| Prober {
                incarnation: node.incarnation,
                domain: &node.domain,
                is_cross_domain: true,
            })
            .collect();
        let mut shares = Vec::new();
        let own_incarnation = self.nodes[own].incarnation;
        let is_settled = now - self.nodes[own].started_at >= Micros::from_secs(1)
            || self.nodes[own].started_at == START;
        for s in 0..=OTHER_SERVERS {
            let domain = DomainId(format!("d{}", s % domains).into());
            let share = limit_share(&probing, &domain, &id(s), own_incarnation, self.plan.limit);
            let share = if self.plan.is_split { share } else { WHOLE_LIMIT };
            shares.push(if is_settled { share } else { LimitShare::NONE });
        }
        let at = |id: &galenapath_protocol::BackendId| id.0[1..].parse::<usize>().unwrap_or(0);
        self.nodes[own].placement.assign_limit_shares(now, |id, _| shares[at(id)]);
    }

    fn receive(&mut self, n: usize, server: usize, limit: RateLimit, now: Micros) {
        if self.nodes[n].placement.update_limit(now, &id(server), limit) {
            self.assign_shares(n, now);
            self.broadcast(n, server, limit, now);
        }
    }

    fn broadcast(&mut self, from: usize, server: usize, limit: RateLimit, now: Micros) {
        for to in (0..self.nodes.len()).filter(|to| *to != from) {
            if !self.rng.random_bool(self.plan.loss) {
                let at = now + Micros::from_millis(self.rng.random_range(1..60));
                self.messages.push(Message { at, to, server, limit });
            }
        }
    }

    fn step(&mut self, now: Micros) {
        let due = |at: Micros| at <= now;
        let answers: Vec<Answer> = self.answers.extract_if(.., |a| due(a.at)).collect();
        for answer in answers {
            let node = &mut self.nodes[answer.node];
            if node.incarnation != answer.incarnation {
                continue;
            }
            node.placement.finish(&id(answer.server));
            node.placement.observe(&id(answer.server), observation(now, 1, 100));
            let per_second = self.limit_of(answer.server, answer.at);
            let node = &mut self.nodes[answer.node];
            if answer.server == 0 && per_second.is_some() {
                node.received_at.get_or_insert(now);
            }
            let stated_at = if per_second.is_some() { now } else { answer.sent_at };
            self.receive(answer.node, answer.server, RateLimit { per_second, stated_at }, now);
        }
        let messages: Vec<Message> =
            self.messages.extract_if(.., |message| due(message.at)).collect();
        for Message { to, server, limit, .. } in messages {
            // Not passed on, or it would circulate forever.
            if self.nodes[to].placement.update_limit(now, &id(server), limit) {
                self.assign_shares(to, now);
            }
        }
        self.run_timers(now);
        for n in 0..self.nodes.len() {
            let chance = self.plan.demand * STEP.0 as f64 / 1e6;
            if self.rng.random_bool(chance.min(1.0)) {
                self.request(n, now);
            }
        }
        let chance = self.plan.restarts * STEP.0 as f64 / 1e6;
        if self.rng.random_bool(chance.min(1.0)) {
            let n = self.rng.random_range(0..self.nodes.len());
            self.nodes[n] = self.start(n, now);
        }
    }

    fn run_timers(&mut self, now: Micros) {
        for n in 0..self.nodes.len() {
            let age = now - self.nodes[n].started_at;
            if age.0.is_multiple_of(REASSIGN.0) {
                self.assign_shares(n, now);
            }
            if age.0.is_multiple_of(REPEAT_INTERVAL.0) {
                for (id, limit) in self.nodes[n].placement.limits_to_repeat(now) {
                    self.broadcast(n, id.0[1..].parse().unwrap_or(0), limit, now);
                }
            }
        }
    }

    fn request(&mut self, n: usize, now: Micros) {
        let criteria =
            RequestCriteria { tried: &[], is_large: false, time_left: Micros::from_millis(300) };
        let node = &mut self.nodes[n];
        let Choice::Server(chosen) = node.placement.choose(now, &criteria) else { return };
        node.placement.start(now, &chosen);
        node.placement.mark_sent(&chosen);
        let server: usize = chosen.0[1..].parse().unwrap_or(0);
        if server == 0 {
            self.arrivals
                .push((now, node.received_at.is_some_and(|at| now - at >= RECEIVED_GRACE)));
        }
        let incarnation = node.incarnation;
        self.answers.push(Answer { at: now + WORK, node: n, incarnation, server, sent_at: now });
    }

    /// Largest number of counted requests within a span.
    pub fn max_requests_in_span(&self) -> usize {
        let counted: Vec<Micros> = self
            .arrivals
            .iter()
            .filter(|(at, has_received)| *has_received && *at < ENDS_AT)
            .map(|(at, _)| *at)
            .collect();
        let within =
            |end: &Micros| counted.iter().filter(|at| **at <= *end && *end - **at < SPAN).count();
        counted.iter().filter(|at| **at >= STATED_AT + SETTLING_TIME).map(within).max().unwrap_or(0)
    }
}

pub fn run(plan: Plan) -> Fleet {
    run_until(plan, END)
}

pub fn run_until(plan: Plan, end: Micros) -> Fleet {
    let mut fleet = Fleet::new(plan);
    let mut now = START;
    while now < end {
        fleet.step(now);
        now = now + STEP;
    }
    fleet
}

pub fn max_allowed(limit: f64) -> f64 {
    limit * SPAN.0 as f64 / 1e6 * 1.5 + 5.0
}
