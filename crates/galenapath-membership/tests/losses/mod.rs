//! A fleet in simulated time whose instances are lost or cut off, beside a store that changes.

mod node;

use galenapath_membership::{
    Heartbeat, HeartbeatConfig, HeartbeatMembership, HeartbeatOutcome, LearnOutcome, Member,
    MemberStatus, Peer, StoreHealth, WatchRole,
};
use galenapath_protocol::{DomainId, FastMap, Incarnation, InstanceId, Micros};
pub use node::Node;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddr;

const STEP: Micros = Micros::from_millis(50);
/// Time between two checks of the role, as in the program.
const ROLE_CHECK_PERIOD: Micros = Micros::from_millis(200);
/// Time between two calls of an instance that follows the store, as in the program.
const PING_PERIOD: Micros = Micros::from_millis(400);
/// Time since an answer for which it shows that an instance is not cut off, as in the program.
const PATHS_EXPIRY: Micros = Micros::from_millis(500);
/// Minimum time between two refutations, as in the program.
const REFUTATION_PERIOD: Micros = Micros::from_millis(500);
/// Times at which an instance that found others silent notifies all, as in the program.
const ANNOUNCEMENTS: [Micros; 3] =
    [Micros::ZERO, Micros::from_millis(700), Micros::from_millis(1_400)];
/// Share of the datagrams that are lost.
const LOSS: f64 = 0.005;

/// What is reachable beyond the cut, if there is one.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// Reaches the store and the backend servers.
    Connected,
    /// Reaches nothing but its own side.
    CutOff,
}

pub struct Fleet {
    pub now: Micros,
    pub nodes: Vec<Node>,
    /// Version of the store's content.
    pub version: u64,
    /// Calls of the store so far.
    pub calls: usize,
    /// Whether callers send requests to all instances.
    serves: bool,
    /// Time within which a change takes effect.
    apply_within: Micros,
    by_address: FastMap<SocketAddr, usize>,
    rng: SmallRng,
}

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, (n / 250) as u8, (n % 250) as u8 + 1], 2_000))
}

impl Fleet {
    /// Starts `size` instances that know each other.
    pub fn start(seed: u64, size: usize, serves: bool, apply_within: Micros) -> Self {
        let (now, mut rng) = (Micros::from_secs(100), SmallRng::seed_from_u64(seed));
        let members: Vec<Member> = (0..size).map(|n| new_member(n, rng.random())).collect();
        let by_address = (0..size).map(|n| (address(n), n)).collect();
        let node = |member: &Member| {
            let (incarnation, domain) = (member.incarnation, member.domain.clone());
            let cfg = HeartbeatConfig::default();
            let mut membership = HeartbeatMembership::new(cfg, incarnation, domain, now);
            for other in &members {
                membership.learn(now, other.clone());
            }
            Node::new(membership, member.clone(), now)
        };
        let nodes = members.iter().map(node).collect();
        Self { now, nodes, version: 1, calls: 0, serves, apply_within, by_address, rng }
    }

    /// Numbers of the instances that run.
    pub fn running(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|n| self.nodes[*n].is_running).collect()
    }

    /// Ends a drawn part of the instances that run, at least one and not all. Returns their number.
    pub fn lose(&mut self, part: f64) -> usize {
        let mut running = self.running();
        let count = ((running.len() as f64 * part) as usize).clamp(1, running.len() - 1);
        for _ in 0..count {
            let lost = running.swap_remove(self.rng.random_range(0..running.len()));
            self.nodes[lost].is_running = false;
        }
        count
    }

    /// Ends all instances that follow the store.
    pub fn lose_followers(&mut self) {
        for node in self.nodes.iter_mut().filter(|node| node.is_following) {
            node.is_running = false;
        }
    }

    /// Cuts every second instance off from the others, the store and the backend servers.
    pub fn cut_half(&mut self) {
        self.nodes.iter_mut().step_by(2).for_each(|node| node.side = Side::CutOff);
    }

    pub fn heal(&mut self) {
        self.nodes.iter_mut().for_each(|node| node.side = Side::Connected);
    }

    pub fn advance_time(&mut self, span: Micros) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            for n in self.running() {
                self.run_step(n);
            }
        }
    }

    /// Advances the time until all that run and are connected know the newest version. Returns how
    /// long that took, `None` for longer than `limit`.
    pub fn time_to_newest(&mut self, limit: Micros) -> Option<Micros> {
        let start = self.now;
        while self.now - start < limit {
            self.advance_time(STEP);
            let version = self.version;
            let is_current = |node: &Node| node.version == version || node.side == Side::CutOff;
            if self.nodes.iter().filter(|node| node.is_running).all(is_current) {
                return Some(self.now - start);
            }
        }
        None
    }

    /// Pairs of instances of which the first runs and is wrong about whether the second runs.
    pub fn wrong_views(&self) -> usize {
        let runs: FastMap<Incarnation, bool> =
            self.nodes.iter().map(|n| (n.member.incarnation, n.is_running)).collect();
        let is_wrong = |peer: &&Peer| runs[&peer.member.incarnation] != peer.is_up();
        let running = self.nodes.iter().filter(|node| node.is_running);
        running.map(|node| node.membership.peers().filter(is_wrong).count()).sum()
    }

    fn run_step(&mut self, n: usize) {
        let now = self.now;
        if self.nodes[n].membership.needs_paths() {
            let has_paths = self.nodes[n].follow.silence(now) < PATHS_EXPIRY
                || (self.serves && self.nodes[n].side == Side::Connected);
            self.nodes[n].membership.set_has_paths(has_paths);
        }
        let changes = self.nodes[n].membership.tick(now);
        if changes.iter().any(|change| change.is_detected_here) {
            self.nodes[n].announcements = ANNOUNCEMENTS.iter().map(|after| now + *after).collect();
        }
        self.use_store(n);
        if self.nodes[n].announcements.first().is_some_and(|at| now >= *at) {
            self.nodes[n].announcements.remove(0);
            self.broadcast(n);
        } else {
            let due = self.nodes[n].membership.heartbeats_due(now, self.serves);
            self.send(n, &due, false);
        }
        let asked = self.nodes[n].membership.questions_due(now);
        self.send(n, &asked, true);
    }

    fn use_store(&mut self, n: usize) {
        let (now, apply_within) = (self.now, self.apply_within);
        let draw = self.rng.random();
        let node = &mut self.nodes[n];
        if now - node.checked_at >= ROLE_CHECK_PERIOD {
            node.checked_at = now;
            let was_following = node.is_following;
            node.is_following = node.role(now, apply_within, draw) == WatchRole::Watch;
            if node.is_following != was_following {
                node.pinged_at = Micros::ZERO;
            }
        }
        let is_due = match node.is_following {
            true => now - node.pinged_at >= PING_PERIOD,
            false => node.retries(now, apply_within),
        };
        if !is_due {
            return;
        }
        node.pinged_at = now;
        self.calls += 1;
        if node.side == Side::CutOff {
            node.retry_pause = node.drawn_retry_pause(apply_within, draw);
            let was_failing = node.store == StoreHealth::Failing;
            node.store = StoreHealth::Failing;
            if !was_failing {
                self.broadcast(n);
            }
            return;
        }
        let is_change = node.store != StoreHealth::Answering || node.version != self.version;
        node.store = StoreHealth::Answering;
        node.version = self.version;
        node.follow.record_answer(now);
        if is_change {
            self.broadcast(n);
        }
    }

    fn broadcast(&mut self, n: usize) {
        let all = self.nodes[n].membership.reachable_addresses();
        self.send(n, &all, false);
    }

    fn send(&mut self, from: usize, to: &[SocketAddr], wants_answer: bool) {
        if to.is_empty() {
            return;
        }
        let heartbeat = self.heartbeat_of(from, wants_answer);
        for address in to {
            let to = self.by_address[address];
            let is_reached =
                self.nodes[to].is_running && self.nodes[to].side == self.nodes[from].side;
            if is_reached && !self.rng.random_bool(LOSS) {
                self.receive(to, from, &heartbeat);
            }
        }
    }

    fn heartbeat_of(&self, n: usize, wants_answer: bool) -> Heartbeat {
        let node = &self.nodes[n];
        Heartbeat {
            from: node.member.incarnation,
            status: node.status(self.serves),
            accused: node.membership.accused(),
            digest: node.membership.digest(),
            store_age: node.follow.age(self.now),
            wants_answer,
        }
    }

    fn receive(&mut self, n: usize, from: usize, heartbeat: &Heartbeat) {
        let now = self.now;
        let node = &mut self.nodes[n];
        let outcome = node.membership.apply_heartbeat(now, heartbeat);
        if let Some(age) = heartbeat.store_age {
            node.follow.record_report(now, age);
        }
        let is_newer = heartbeat.status.config_version > node.version;
        node.version = node.version.max(heartbeat.status.config_version);
        let is_refuted =
            outcome == HeartbeatOutcome::AccusesUs && now - node.refuted_at >= REFUTATION_PERIOD;
        if is_refuted {
            node.refuted_at = now;
            let all = node.membership.all_addresses();
            self.send(n, &all, false);
        }
        if outcome == HeartbeatOutcome::ViewDiffers {
            self.compare_members(n, from);
        }
        if heartbeat.wants_answer {
            self.send(n, &[address(from)], false);
        }
        if is_newer {
            let targets = self.nodes[n].membership.target_addresses();
            self.send(n, &targets, false);
        }
    }

    /// `n` requests the members that `other` considers up, and contacts those that it does not.
    fn compare_members(&mut self, n: usize, other: usize) {
        let up = self.nodes[other].membership.peers().filter(|peer| peer.is_up());
        let members: Vec<Member> = up.map(|peer| peer.member.clone()).collect();
        for member in members {
            let to = self.by_address[&member.peer_address];
            let learned = self.nodes[n].membership.learn(self.now, member);
            if learned == LearnOutcome::KnownDown && self.nodes[to].is_running {
                self.send(to, &[address(n)], false);
            }
        }
    }
}

fn new_member(n: usize, incarnation: u64) -> Member {
    Member {
        id: InstanceId(format!("i{n}")),
        incarnation: Incarnation(incarnation),
        domain: DomainId(format!("d{}", n % 3).into()),
        caller_address: address(n),
        peer_address: address(n),
        status_version: 0,
        status: MemberStatus::Live,
    }
}
