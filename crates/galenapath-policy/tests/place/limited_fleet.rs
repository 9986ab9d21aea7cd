//! Many instances in virtual time beside a server that names a rate limit: what they send, what they hear and
//! tell each other, and what gets lost.

use crate::support::{START, id, server, sighting};
use galenapath_policy::measure::{LimitShare, Prober, limit_share};
use galenapath_policy::place::{Ask, Choice, PlaceConfig, Placement, RateLimit};
use galenapath_protocol::{DomainId, Incarnation, Micros};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const STEP: Micros = Micros::from_millis(10);
const WORK: Micros = Micros::from_millis(80);
const NAMED_AT: Micros = Micros::from_secs(11);
pub const ENDS_AT: Micros = Micros::from_secs(20);
const END: Micros = Micros::from_secs(24);
/// Span over which the server counts its requests.
const SPAN: Micros = Micros::from_secs(4);
/// Time after it first names the limit from which the span may end.
const SETTLES: Micros = Micros::from_secs(3);
/// Time after an instance has been told from which its requests count.
const TOLD: Micros = Micros::from_millis(500);
/// Time between two looks of an instance at what falls to it.
const REASSIGN: Micros = Micros::from_millis(250);
const TELL_AGAIN: Micros = Micros::from_secs(2);
/// Servers beside the limited one.
const OTHERS: usize = 2;

/// The whole of a limit.
pub const ALL: LimitShare = LimitShare { part: 1.0, is_broadcaster: true };

/// What a run is drawn from.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub seed: u64,
    pub instances: usize,
    pub domains: usize,
    pub limit: f64,
    /// Requests a second at one instance.
    pub demand: f64,
    /// Whether the other servers name the same limit.
    pub is_for_all: bool,
    /// Restarts a second in the whole fleet.
    pub restarts: f64,
    /// Part of the messages between instances that is lost.
    pub loss: f64,
    /// Whether the limit is split among instances, and not kept by each of them for itself.
    pub is_split: bool,
}

pub struct Node {
    incarnation: Incarnation,
    domain: DomainId,
    pub placement: Placement,
    /// When it started, and until when others believe in the run before.
    started_at: Micros,
    known_from: Micros,
    /// When it was first told of a limit by an answer.
    told_at: Option<Micros>,
}

/// An answer on its way back to an instance.
struct Answer {
    at: Micros,
    node: usize,
    incarnation: Incarnation,
    server: usize,
    sent_at: Micros,
}

/// What one instance tells another.
struct Notice {
    at: Micros,
    to: usize,
    server: usize,
    word: RateLimit,
}

pub struct Fleet {
    plan: Plan,
    rng: SmallRng,
    pub nodes: Vec<Node>,
    answers: Vec<Answer>,
    notices: Vec<Notice>,
    /// Requests at the limited server: when, from whom, and whether that instance had been told.
    came: Vec<(Micros, bool)>,
}

impl Fleet {
    fn new(plan: Plan) -> Self {
        let rng = SmallRng::seed_from_u64(plan.seed);
        let mut fleet = Self {
            plan,
            rng,
            nodes: Vec::new(),
            answers: Vec::new(),
            notices: Vec::new(),
            came: Vec::new(),
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
            (0..=OTHERS).map(|s| server(s, s % self.plan.domains == domain)).collect();
        placement.set_servers(now, &list);
        let known_from = now + Micros::from_millis(self.rng.random_range(100..1_200));
        Node {
            incarnation,
            domain: DomainId(format!("d{domain}").into()),
            placement,
            started_at: now,
            known_from,
            told_at: None,
        }
    }

    fn limit_of(&self, server: usize, at: Micros) -> Option<f64> {
        let is_named = (NAMED_AT..ENDS_AT).contains(&at) && (server == 0 || self.plan.is_for_all);
        is_named.then_some(self.plan.limit)
    }

    /// The instances that the instance `own` takes to serve callers.
    fn share(&mut self, own: usize, now: Micros) {
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
        for s in 0..=OTHERS {
            let domain = DomainId(format!("d{}", s % domains).into());
            let share = limit_share(&probing, &domain, &id(s), own_incarnation, self.plan.limit);
            let share = if self.plan.is_split { share } else { ALL };
            shares.push(if is_settled { share } else { LimitShare::NONE });
        }
        let at = |id: &galenapath_protocol::BackendId| id.0[1..].parse::<usize>().unwrap_or(0);
        self.nodes[own].placement.share_limits(now, |id, _| shares[at(id)]);
    }

    fn hear(&mut self, n: usize, server: usize, word: RateLimit, now: Micros) {
        if self.nodes[n].placement.hear_limit(now, &id(server), word) {
            self.share(n, now);
            self.tell(n, server, word, now);
        }
    }

    fn tell(&mut self, from: usize, server: usize, word: RateLimit, now: Micros) {
        for to in (0..self.nodes.len()).filter(|to| *to != from) {
            if !self.rng.random_bool(self.plan.loss) {
                let at = now + Micros::from_millis(self.rng.random_range(1..60));
                self.notices.push(Notice { at, to, server, word });
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
            node.placement.see(&id(answer.server), sighting(now, 1, 100));
            let per_second = self.limit_of(answer.server, answer.at);
            let node = &mut self.nodes[answer.node];
            if answer.server == 0 && per_second.is_some() {
                node.told_at.get_or_insert(now);
            }
            let said_at = if per_second.is_some() { now } else { answer.sent_at };
            self.hear(answer.node, answer.server, RateLimit { per_second, said_at }, now);
        }
        let notices: Vec<Notice> = self.notices.extract_if(.., |notice| due(notice.at)).collect();
        for Notice { to, server, word, .. } in notices {
            // Passed on, it would go round for ever.
            if self.nodes[to].placement.hear_limit(now, &id(server), word) {
                self.share(to, now);
            }
        }
        self.look(now);
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

    fn look(&mut self, now: Micros) {
        for n in 0..self.nodes.len() {
            let age = now - self.nodes[n].started_at;
            if age.0.is_multiple_of(REASSIGN.0) {
                self.share(n, now);
            }
            if age.0.is_multiple_of(TELL_AGAIN.0) {
                for (id, word) in self.nodes[n].placement.limits_told_again(now) {
                    self.tell(n, id.0[1..].parse().unwrap_or(0), word, now);
                }
            }
        }
    }

    fn request(&mut self, n: usize, now: Micros) {
        let ask = Ask { tried: &[], is_large: false, left: Micros::from_millis(300) };
        let node = &mut self.nodes[n];
        let Choice::Server(chosen) = node.placement.choose(now, &ask) else { return };
        node.placement.start(now, &chosen);
        node.placement.sent(&chosen);
        let server: usize = chosen.0[1..].parse().unwrap_or(0);
        if server == 0 {
            self.came.push((now, node.told_at.is_some_and(|at| now - at >= TOLD)));
        }
        let incarnation = node.incarnation;
        self.answers.push(Answer { at: now + WORK, node: n, incarnation, server, sent_at: now });
    }

    /// Most requests that count within a span.
    pub fn most(&self) -> usize {
        let counted: Vec<Micros> = self
            .came
            .iter()
            .filter(|(at, is_told)| *is_told && *at < ENDS_AT)
            .map(|(at, _)| *at)
            .collect();
        let within =
            |end: &Micros| counted.iter().filter(|at| **at <= *end && *end - **at < SPAN).count();
        counted.iter().filter(|at| **at >= NAMED_AT + SETTLES).map(within).max().unwrap_or(0)
    }
}

pub fn play(plan: Plan) -> Fleet {
    play_until(plan, END)
}

pub fn play_until(plan: Plan, end: Micros) -> Fleet {
    let mut fleet = Fleet::new(plan);
    let mut now = START;
    while now < end {
        fleet.step(now);
        now = now + STEP;
    }
    fleet
}

pub fn allowed(limit: f64) -> f64 {
    limit * SPAN.0 as f64 / 1e6 * 1.5 + 5.0
}
