//! A network of `GossipMembership` tables in simulated time: loss, reordering, cuts, pauses and
//! restarts.

use galenapath_membership::{GossipConfig, GossipMembership, Member, MemberStatus, Probe};
use galenapath_protocol::{DomainId, Incarnation, InstanceId, Micros, hash64};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

/// Time between two calls of `tick`, as in the programs.
const STEP: Micros = Micros::from_millis(50);
/// Time after which an unanswered probe counts as missed, as in the programs.
const CALL_TIMEOUT: Micros = Micros::from_millis(800);
/// Maximum of the random part of a message delay; large enough for messages to overtake each other.
const MAX_DELAY_US: u64 = 60_000;

enum Event {
    Request { from: usize, to: usize, probed: Incarnation, call: u64, updates: Vec<Member> },
    Reply { to: usize, probed: Incarnation, call: u64, updates: Vec<Member> },
    Timeout { at: usize, probed: Incarnation, call: u64 },
}

pub struct Node {
    pub members: GossipMembership,
    pub incarnation: Incarnation,
    pub is_up: bool,
    pub is_paused: bool,
    pub side: u8,
    open: Vec<u64>,
}

pub struct Network {
    pub nodes: Vec<Node>,
    pub now: Micros,
    /// Share of the messages that are lost, in percent.
    pub loss: u64,
    /// Nodes on different sides do not reach each other.
    pub is_split: bool,
    /// Pairs that do not reach each other.
    pub cuts: Vec<(usize, usize)>,
    /// Largest number of members in one message so far.
    pub largest_message: usize,
    seed: u64,
    drawn: u64,
    events: BTreeMap<(Micros, u64), Event>,
}

pub fn member(node: usize, run: u64) -> Member {
    let port = u16::try_from(10_000 + node).unwrap_or(u16::MAX);
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
    Member {
        id: InstanceId(format!("entry-{node}")),
        incarnation: Incarnation(hash64(run, &node.to_le_bytes())),
        domain: DomainId(format!("d{}", node % 3).into()),
        caller_address: address,
        peer_address: address,
        status_version: 0,
        status: MemberStatus::Live,
    }
}

impl Network {
    /// Creates `count` nodes that know each other from the platform's list.
    pub fn new(seed: u64, count: usize) -> Self {
        let all: Vec<Member> = (0..count).map(|n| member(n, 0)).collect();
        let mut network = Self {
            nodes: Vec::new(),
            now: Micros::from_secs(1_000),
            loss: 0,
            is_split: false,
            cuts: Vec::new(),
            largest_message: 0,
            seed,
            drawn: 0,
            events: BTreeMap::new(),
        };
        for own in &all {
            let node = network.node(own.clone(), &all);
            network.nodes.push(node);
        }
        network
    }

    fn node(&self, own: Member, list: &[Member]) -> Node {
        let incarnation = own.incarnation;
        let mut members = GossipMembership::new(GossipConfig::default(), self.now, own);
        members.learn(self.now, list);
        Node { members, incarnation, is_up: true, is_paused: false, side: 0, open: Vec::new() }
    }

    /// Adds a node that knows the list; no other node knows it yet.
    pub fn join(&mut self) -> usize {
        let number = self.nodes.len();
        let list: Vec<Member> = self.nodes[0].members.all().cloned().collect();
        let node = self.node(member(number, 0), &list);
        self.nodes.push(node);
        number
    }

    /// Restarts a node as a new incarnation at the same address.
    pub fn restart(&mut self, number: usize, run: u64) {
        let list: Vec<Member> = self.nodes[0].members.all().cloned().collect();
        self.nodes[number] = self.node(member(number, run), &list);
    }

    pub fn run(&mut self, time: Micros) {
        self.run_until(time, |_| false);
    }

    /// Runs until `is_done` holds or `limit` has passed. Returns the time until it held, if it did.
    pub fn run_until(&mut self, limit: Micros, is_done: impl Fn(&Self) -> bool) -> Option<Micros> {
        let start = self.now;
        while self.now < start + limit {
            if is_done(self) {
                return Some(self.now - start);
            }
            self.now = self.now + STEP;
            self.deliver();
            self.tick();
        }
        None
    }

    /// The status of `about` in the table of every other running node.
    pub fn statuses_of(&self, about: Incarnation) -> impl Iterator<Item = Option<MemberStatus>> {
        self.nodes
            .iter()
            .filter(move |node| node.is_up && !node.is_paused && node.incarnation != about)
            .map(move |node| node.members.find(about).map(|m| m.status))
    }

    pub fn all_have_status(&self, about: Incarnation, status: MemberStatus) -> bool {
        self.statuses_of(about).all(|reported| reported == Some(status))
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.drawn += 1;
        hash64(self.seed, &self.drawn.to_le_bytes()) % below
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let is_across = self.is_split && self.nodes[from].side != self.nodes[to].side;
        let is_cut = self.cuts.contains(&(from, to)) || self.cuts.contains(&(to, from));
        !is_across && !is_cut && self.nodes[to].is_up && !self.nodes[to].is_paused
    }

    fn send(&mut self, from: usize, to: usize, event: Event) {
        let is_lost = self.draw(100) < self.loss;
        if is_lost || !self.reaches(from, to) {
            return;
        }
        let delay = Micros(1_000 + self.draw(MAX_DELAY_US));
        self.queue(delay, event);
    }

    fn queue(&mut self, after: Micros, event: Event) {
        self.drawn += 1;
        self.events.insert((self.now + after, self.drawn), event);
    }

    fn tick(&mut self) {
        for from in 0..self.nodes.len() {
            if !self.nodes[from].is_up || self.nodes[from].is_paused {
                continue;
            }
            if let Some(probe) = self.nodes[from].members.tick(self.now) {
                self.probe(from, &probe);
            }
        }
    }

    fn probe(&mut self, from: usize, probe: &Probe) {
        let to = usize::from(probe.to.port()) - 10_000;
        let probed = probe.incarnation;
        let call = self.drawn;
        let updates = self.nodes[from].members.updates_for(probed);
        self.largest_message = self.largest_message.max(updates.len());
        self.nodes[from].open.push(call);
        self.queue(CALL_TIMEOUT, Event::Timeout { at: from, probed, call });
        self.send(from, to, Event::Request { from, to, probed, call, updates });
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let event = entry.remove();
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Request { from, to, probed, call, updates } => {
                let node = &mut self.nodes[to];
                if !node.is_up || node.is_paused {
                    return;
                }
                node.members.merge(now, &updates);
                let updates = node.members.updates_for(updates[0].incarnation);
                self.largest_message = self.largest_message.max(updates.len());
                self.send(to, from, Event::Reply { to: from, probed, call, updates });
            }
            Event::Reply { to, probed, call, updates } => {
                let node = &mut self.nodes[to];
                if !node.is_up || node.is_paused || !node.close(call) {
                    return;
                }
                node.members.merge(now, &updates);
                if updates[0].incarnation == probed {
                    node.members.probe_answered(now, probed);
                } else {
                    node.members.mark_replaced(now, probed);
                }
            }
            Event::Timeout { at, probed, call } => {
                let node = &mut self.nodes[at];
                if node.is_paused {
                    self.queue(STEP, Event::Timeout { at, probed, call });
                } else if node.close(call) {
                    node.members.probe_failed(now, probed);
                }
            }
        }
    }
}

impl Node {
    fn close(&mut self, call: u64) -> bool {
        let before = self.open.len();
        self.open.retain(|&open| open != call);
        self.open.len() < before
    }
}
