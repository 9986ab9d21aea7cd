//! A server that names a rate limit under the load of many instances, some of which restart.

use crate::support::{START, id, server, sighting};
use galenapath_policy::measure::{LimitShare, Prober, limit_share};
use galenapath_policy::place::{Ask, Choice, PlaceConfig, Placement, RateLimit, Started};
use galenapath_protocol::{DomainId, Incarnation, Micros};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const STEP: Micros = Micros::from_millis(10);
const WORK: Micros = Micros::from_millis(80);
const NAMED_AT: Micros = Micros::from_secs(11);
const ENDS_AT: Micros = Micros::from_secs(20);
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
const ALL: LimitShare = LimitShare { part: 1.0, is_first: true };

/// What a run is drawn from.
#[derive(Clone, Copy, Debug)]
struct Plan {
    seed: u64,
    instances: usize,
    domains: usize,
    limit: f64,
    /// Requests a second at one instance.
    demand: f64,
    /// Whether the other servers name the same limit.
    is_for_all: bool,
    /// Restarts a second in the whole fleet.
    restarts: f64,
    /// Part of the messages between instances that is lost.
    loss: f64,
    /// Whether the limit is split among instances, and not kept by each of them for itself.
    is_split: bool,
}

struct Node {
    incarnation: Incarnation,
    domain: DomainId,
    placement: Placement,
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

struct Fleet {
    plan: Plan,
    rng: SmallRng,
    nodes: Vec<Node>,
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
                crosses: true,
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
    fn most(&self) -> usize {
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

fn play(plan: Plan) -> Fleet {
    play_until(plan, END)
}

fn play_until(plan: Plan, end: Micros) -> Fleet {
    let mut fleet = Fleet::new(plan);
    let mut now = START;
    while now < end {
        fleet.step(now);
        now = now + STEP;
    }
    fleet
}

fn allowed(limit: f64) -> f64 {
    limit * SPAN.0 as f64 / 1e6 * 1.5 + 5.0
}

fn calm(instances: usize, limit: f64) -> Plan {
    Plan {
        seed: 1,
        instances,
        domains: 3,
        limit,
        demand: 20.0,
        is_for_all: false,
        restarts: 0.0,
        loss: 0.0,
        is_split: true,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 32, ..ProptestConfig::default() })]

    #[test]
    fn limit_kept_by_all_instances_whatever_restarts_or_gets_lost(
        seed in any::<u64>(),
        instances in 1_usize..32,
        domains in 1_usize..4,
        limit in prop_oneof![0.0..3.0, 3.0..40.0],
        demand in 1.0..40.0,
        is_for_all in any::<bool>(),
        restarts in 0.0..2.0,
        loss in 0.0..0.2,
    ) {
        let is_split = true;
        let plan =
            Plan { seed, instances, domains, limit, demand, is_for_all, restarts, loss, is_split };
        let fleet = play(plan);
        let most = fleet.most();
        prop_assert!(most as f64 <= allowed(limit), "{} of {}", most, allowed(limit));
    }
}

#[test]
fn limit_kept_by_hundreds_of_instances_and_used() {
    for limit in [0.0, 0.5, 2.1, 6.1, 40.0] {
        let fleet = play(calm(300, limit));
        let most = fleet.most() as f64;
        assert!(most <= allowed(limit), "{most} at a limit of {limit}");
        // Instances that send it nothing else use most of what it takes.
        assert!(most >= limit * 4.0 * 0.6, "{most} at a limit of {limit}");
    }
}

#[test]
fn limit_overrun_where_each_instance_keeps_it_for_itself() {
    let fleet = play(Plan { is_split: false, ..calm(16, 2.1) });
    assert!(fleet.most() as f64 > allowed(2.1), "{}", fleet.most());
}

#[test]
fn limit_that_has_ended_is_forgotten_by_all() {
    let mut plan = calm(24, 2.0);
    plan.loss = 0.2;
    // Five times as long as it takes until it is told again.
    let fleet = play_until(plan, ENDS_AT + Micros::from_secs(11));
    for node in &fleet.nodes {
        assert_eq!(node.placement.limited_count(), 0);
    }
}

/// A placement that has heard of a limit of the first server, of which all falls to it.
fn limited(per_second: f64) -> Placement {
    let mut placement = crate::support::placement(&[true, true]);
    hear(&mut placement, Some(per_second), START);
    placement.share_limits(START, |_, _| ALL);
    placement
}

fn hear(placement: &mut Placement, per_second: Option<f64>, said_at: Micros) -> bool {
    placement.hear_limit(said_at, &id(0), RateLimit { per_second, said_at })
}

#[test]
fn limit_ended_by_an_answer_to_a_request_sent_before_it_was_named() {
    let mut placement = limited(2.0);
    assert!(!hear(&mut placement, None, START - Micros::from_millis(5)));
    assert!(placement.is_limited(&id(0)));
    assert!(hear(&mut placement, None, START + Micros::from_millis(5)));
    assert!(!placement.is_limited(&id(0)));
}

#[test]
fn server_that_has_named_a_limit_is_unfit_for_what_was_given_before() {
    let mut placement = crate::support::placement(&[true, true]);
    let before = placement.start(START, &id(0));
    assert!(placement.may_send(START, &id(0), before));
    hear(&mut placement, Some(2.0), START);
    assert!(!placement.may_send(START, &id(0), before));
    assert!(placement.may_send(START, &id(0), Started { is_limited: true, ..before }));
    assert!(!placement.is_fit(START, &id(0), before));
}

#[test]
fn limited_server_takes_sends_again_and_questions_from_its_limit() {
    let mut placement = limited(2.0);
    let half = START + Micros::from_millis(500);
    assert!(!placement.send_again(START, &id(0)));
    assert!(placement.send_again(half, &id(0)));
    assert!(!placement.take_question(half, &id(0)));
    assert!(placement.take_question(half + Micros::from_millis(500), &id(0)));
    // One that names none takes any.
    assert!(placement.take_question(half, &id(1)));
    assert!(placement.send_again(half, &id(1)));
}

#[test]
fn limit_that_nobody_confirms_lapses() {
    let mut placement = limited(2.0);
    let all = |_: &_, _| ALL;
    placement.share_limits(START + Micros::from_secs(59), all);
    assert!(placement.is_limited(&id(0)));
    placement.share_limits(START + Micros::from_secs(60), all);
    assert!(!placement.is_limited(&id(0)));
}

#[test]
fn slots_of_limited_servers_count_as_far_as_their_limit_goes() {
    let placement = limited(2.0);
    let work = placement.work().0 as f32 / 1e6;
    assert!((placement.good_slots(START) - (6.0 + 2.0 * work)).abs() < 0.01);
}

#[test]
fn limit_outlives_an_entry_that_lapses_and_comes_back() {
    let mut placement = limited(2.0);
    let both = [server(0, true), server(1, true)];
    placement.set_servers(START, &both[1..]);
    let back = START + Micros::from_secs(8);
    placement.set_servers(back, &both);
    assert!(placement.is_limited(&id(0)));
    assert!(!placement.is_limited(&id(1)));
    // It is long since the server said so: another run of it may have said otherwise to nobody.
    placement.set_servers(back, &both[1..]);
    placement.set_servers(back + Micros::from_secs(60), &both);
    assert!(!placement.is_limited(&id(0)));
}
