//! A fleet whose instances are restarted in turn while datagrams are lost: all instances must
//! consider all others up again afterwards.

use galenapath_membership::{
    Heartbeat, HeartbeatConfig, HeartbeatMembership, HeartbeatOutcome, InstanceStatus,
    LearnOutcome, Member, MemberStatus,
};
use galenapath_protocol::{DomainId, FastMap, Incarnation, InstanceId, Micros};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddr;

const INSTANCES: usize = 40;
const STEP: Micros = Micros::from_millis(50);
/// Share of the datagrams that are lost.
const LOSS: f64 = 0.05;

/// What an instance does when its digest differs from those of the others.
#[derive(Clone, Copy, PartialEq, Eq)]
enum OnDifference {
    RequestMembers,
    Ignore,
}

struct Fleet {
    now: Micros,
    nodes: Vec<HeartbeatMembership>,
    members: Vec<Member>,
    rng: SmallRng,
    on_difference: OnDifference,
    /// When each instance last refuted an accusation.
    refuted_at: FastMap<usize, Micros>,
    /// Number of lists of members that were sent.
    lists: usize,
}

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 2_000 + n as u16))
}

impl Fleet {
    fn start(seed: u64, on_difference: OnDifference) -> Self {
        let (now, rng) = (Micros::from_secs(100), SmallRng::seed_from_u64(seed));
        let mut fleet = Self {
            now,
            nodes: Vec::new(),
            members: Vec::new(),
            rng,
            on_difference,
            refuted_at: FastMap::default(),
            lists: 0,
        };
        for n in 0..INSTANCES {
            let member = fleet.new_member(n);
            fleet.nodes.push(fleet.new_membership(&member));
            fleet.members.push(member);
        }
        for n in 0..INSTANCES {
            fleet.request_members(n, (n + 1) % INSTANCES);
            fleet.request_members(n, 0);
        }
        fleet
    }

    fn new_member(&mut self, n: usize) -> Member {
        Member {
            id: InstanceId(format!("i{n}")),
            incarnation: Incarnation(self.rng.random()),
            domain: DomainId(format!("d{}", n % 3).into()),
            caller_address: address(n + 1_000),
            peer_address: address(n),
            status_version: 0,
            status: MemberStatus::Live,
        }
    }

    fn new_membership(&self, member: &Member) -> HeartbeatMembership {
        HeartbeatMembership::new(
            HeartbeatConfig::default(),
            member.incarnation,
            member.domain.clone(),
            self.now,
        )
    }

    fn is_lost(&mut self) -> bool {
        self.rng.random_bool(LOSS)
    }

    /// `from` requests the members that `to` knows and introduces itself to those that are new.
    fn request_members(&mut self, from: usize, to: usize) {
        if from == to || self.is_lost() {
            return;
        }
        self.lists += 1;
        let requester = self.members[from].clone();
        self.nodes[to].learn(self.now, requester.clone());
        self.nodes[to].record_contact(self.now, requester.incarnation);
        let mut known: Vec<Member> =
            self.nodes[to].peers().filter(|p| p.is_up()).map(|p| p.member.clone()).collect();
        known.push(self.members[to].clone());
        for member in known {
            let learned = self.nodes[from].learn(self.now, member.clone());
            let other = usize::from(member.peer_address.port() - 2_000);
            if learned == LearnOutcome::Known || other == to || self.is_lost() {
                continue;
            }
            if self.nodes[other].learn(self.now, requester.clone()) != LearnOutcome::New {
                self.send_heartbeat(other, from);
            }
        }
    }

    fn heartbeat_of(&self, n: usize) -> Heartbeat {
        Heartbeat {
            from: self.members[n].incarnation,
            status: InstanceStatus::default(),
            accused: self.nodes[n].accused(),
            digest: self.nodes[n].digest(),
            store_age: None,
            wants_answer: false,
        }
    }

    /// `from` sends `to` a heartbeat.
    fn send_heartbeat(&mut self, from: usize, to: usize) {
        if self.is_lost() {
            return;
        }
        let heartbeat = self.heartbeat_of(from);
        match self.nodes[to].apply_heartbeat(self.now, &heartbeat) {
            HeartbeatOutcome::Known | HeartbeatOutcome::UnknownSenderForNow => {}
            HeartbeatOutcome::AccusesUs => self.refute_accusation(to),
            HeartbeatOutcome::ViewDiffers if self.on_difference == OnDifference::Ignore => {}
            HeartbeatOutcome::UnknownSender | HeartbeatOutcome::ViewDiffers => {
                self.request_members(to, from)
            }
        }
    }

    /// `n` sends heartbeats to all others, at most once in half a second.
    fn refute_accusation(&mut self, n: usize) {
        let last = self.refuted_at.get(&n).copied().unwrap_or_default();
        if self.now - last < Micros::from_millis(500) {
            return;
        }
        self.refuted_at.insert(n, self.now);
        for to in self.nodes[n].all_addresses() {
            self.send_heartbeat(n, usize::from(to.port() - 2_000));
        }
    }

    fn restart(&mut self, n: usize) {
        let ended = self.members[n].incarnation;
        for other in (0..INSTANCES).filter(|other| *other != n) {
            if !self.rng.random_bool(LOSS) {
                self.nodes[other].remove(ended);
            }
        }
        self.members[n] = self.new_member(n);
        self.nodes[n] = self.new_membership(&self.members[n]);
        self.request_members(n, (n + 1) % INSTANCES);
        self.request_members(n, (n + 2) % INSTANCES);
    }

    fn advance_time(&mut self, span: Micros) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            for n in 0..INSTANCES {
                self.run_step(n);
            }
        }
    }

    fn run_step(&mut self, n: usize) {
        // An instance without peers asks its seeds again: both requests at its start may be lost.
        if self.nodes[n].is_alone() {
            self.request_members(n, (n + 1) % INSTANCES);
        }
        let changes = self.nodes[n].tick(self.now);
        // Changes that an instance detects itself are sent to all.
        let to = if changes.iter().any(|change| change.is_detected_here) {
            self.nodes[n].reachable_addresses()
        } else {
            self.nodes[n].heartbeats_due(self.now, false)
        };
        for to in to {
            self.send_heartbeat(n, usize::from(to.port() - 2_000));
        }
        // As in the program, instances that send nothing here are asked, and answer.
        for asked in self.nodes[n].questions_due(self.now) {
            let asked = usize::from(asked.port() - 2_000);
            self.send_heartbeat(n, asked);
            self.send_heartbeat(asked, n);
        }
    }

    /// Number of pairs of which the first does not consider the second up.
    fn missing_links(&self) -> usize {
        let considered_up = |node: &HeartbeatMembership| -> FastMap<Incarnation, bool> {
            node.peers().map(|peer| (peer.member.incarnation, peer.is_up())).collect()
        };
        let count = |n: usize| {
            let considered_up = considered_up(&self.nodes[n]);
            let others = self.members.iter().enumerate().filter(|(other, _)| *other != n);
            others.filter(|(_, m)| considered_up.get(&m.incarnation) != Some(&true)).count()
        };
        (0..INSTANCES).map(count).sum()
    }
}

/// Missing links a few seconds after the restart of every instance in turn.
fn missing_links_after_restarts(seed: u64, on_difference: OnDifference) -> usize {
    let mut fleet = Fleet::start(seed, on_difference);
    fleet.advance_time(Micros::from_secs(3));
    for n in 0..INSTANCES {
        fleet.restart(n);
        fleet.advance_time(Micros::from_millis(300));
    }
    fleet.advance_time(Micros::from_secs(12));
    fleet.missing_links()
}

#[test]
fn restarts_in_turn_views_converge() {
    for seed in 1..=3 {
        assert_eq!(
            missing_links_after_restarts(seed, OnDifference::RequestMembers),
            0,
            "seed {seed}"
        );
    }
}

#[test]
fn restart_of_most_at_once_views_converge_with_few_lists() {
    for seed in 1..=3 {
        let mut fleet = Fleet::start(seed, OnDifference::RequestMembers);
        fleet.advance_time(Micros::from_secs(3));
        fleet.lists = 0;
        (4..INSTANCES).for_each(|n| fleet.restart(n));
        fleet.advance_time(Micros::from_secs(1));
        // Two at the start, and one in 200 ms.
        assert!(fleet.lists <= 7 * INSTANCES, "seed {seed}: {} lists", fleet.lists);
        fleet.advance_time(Micros::from_secs(8));
        assert_eq!(fleet.missing_links(), 0, "seed {seed}");
    }
}

#[test]
fn restarts_in_turn_views_differ_without_digests() {
    // Each run draws other losses, since the order of maps varies: twelve fleets vary less than three.
    let left: usize =
        (1..=12).map(|seed| missing_links_after_restarts(seed, OnDifference::Ignore)).sum();
    assert!(left > 80, "the views converge without digests: {left} missing links");
}
