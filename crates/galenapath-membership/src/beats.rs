//! Which entry instances are there, by heartbeats that each sends to a bounded number of others.
//!
//! Load pattern: an address answer that names a dead instance costs each of its callers a second
//! of connecting, and callers wait little longer than that. A death has to be known everywhere in
//! about a second, at a cost for each instance that does not grow with the fleet, and without
//! taking out an instance that is merely slow or an observer that is itself cut off.
//!
//! Every instance sends heartbeats to some instances that follow it in the order of incarnations, most
//! of them of its own failure domain, since bytes between domains are billed, and some of others, so that
//! a domain that is lost as a whole is missed; in a small fleet these are all. Who hears nothing for
//! [`BeatConfig::silent_after`] takes the sender out of its own answers and tells all; an instance that
//! does not monitor the sender believes two observers, not one, until it hears the sender itself. Who
//! hears nobody any more doubts itself and accuses no one, and who hears itself accused speaks up.
//!
//! The order is the same for all only while all know the same instances: who does not know a new one
//! waits for heartbeats that go to the new one instead, and accuses the living. So a heartbeat carries a
//! digest of the instances that its sender believes in, and who finds another one for long asks.

use crate::{Beat, BeatConfig, Belief, Heard, Learned, Member, Peer, ring};
use galenapath_protocol::{DomainId, FastMap, FastSet, Incarnation, Micros};
use std::net::SocketAddr;

/// The other instances as one of them knows them.
#[derive(Debug)]
pub struct Beats {
    cfg: BeatConfig,
    own: Incarnation,
    domain: DomainId,
    peers: FastMap<Incarnation, Peer>,
    /// Those that send their heartbeats here.
    ///
    /// Invariant: this and `targets` follow from `peers` unless `is_rearranged` is false.
    monitored: FastSet<Incarnation>,
    /// Those that this instance sends its heartbeats to.
    targets: FastSet<Incarnation>,
    /// Whether `monitored` and `targets` are those of the present `peers`. They are worked out once for
    /// all changes between two looks: hundreds of instances join within a moment.
    is_rearranged: bool,
    /// Addresses of those of the own failure domain.
    home: FastSet<SocketAddr>,
    ticked_at: Micros,
    /// When a heartbeat last told of the same instances as this one believes in.
    agreed_at: Micros,
    /// When another instance was last asked because they differ.
    asked_at: Micros,
    /// Whether most of those who should send heartbeats are silent, so that the fault is here.
    is_doubtful: bool,
}

impl Beats {
    /// Nobody is known yet.
    pub fn new(cfg: BeatConfig, own: Incarnation, domain: DomainId, now: Micros) -> Self {
        Self {
            cfg,
            own,
            domain,
            peers: FastMap::default(),
            monitored: FastSet::default(),
            targets: FastSet::default(),
            is_rearranged: true,
            home: FastSet::default(),
            ticked_at: now,
            agreed_at: now,
            asked_at: now,
            is_doubtful: false,
        }
    }

    /// Failure domain of this instance.
    pub fn domain(&self) -> &DomainId {
        &self.domain
    }

    /// The other instances, also those that are silent.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Whether no other instance answers.
    pub fn is_alone(&self) -> bool {
        !self.peers.values().any(Peer::is_up)
    }

    /// Takes in who an instance is. A new run replaces an older one at the same address.
    pub fn learn(&mut self, now: Micros, member: Member) -> Learned {
        if member.incarnation == self.own {
            return Learned::Known;
        }
        if let Some(peer) = self.peers.get(&member.incarnation) {
            return if peer.is_up { Learned::Known } else { Learned::Doubted };
        }
        self.peers.retain(|_, peer| peer.member.peers != member.peers);
        if member.domain == self.domain {
            self.home.insert(member.peers);
        } else {
            self.home.remove(&member.peers);
        }
        let peer = Peer::new(now, member);
        self.peers.insert(peer.member.incarnation, peer);
        self.is_rearranged = false;
        Learned::News
    }

    /// An instance has said who it is, so that it is there, whatever others say.
    pub fn spoke(&mut self, now: Micros, incarnation: Incarnation) {
        if let Some(peer) = self.peers.get_mut(&incarnation) {
            peer.heard(now);
        }
    }

    /// Whether an instance is known to be ready.
    pub fn is_ready(&self, incarnation: Incarnation) -> bool {
        self.peers.get(&incarnation).is_some_and(|peer| peer.vitals.is_ready)
    }

    /// Takes in a heartbeat.
    pub fn hear(&mut self, now: Micros, beat: &Beat) -> Heard {
        for accused in &beat.accused {
            if let Some(peer) = self.peers.get_mut(accused) {
                peer.accusers.insert(beat.from, now);
            }
        }
        let Some(peer) = self.peers.get_mut(&beat.from) else { return Heard::Stranger };
        peer.heard(now);
        peer.vitals = beat.vitals;
        if beat.accused.contains(&self.own) {
            return Heard::Accused;
        }
        self.compare(now, beat)
    }

    fn compare(&mut self, now: Micros, beat: &Beat) -> Heard {
        let agrees = beat.digest == self.digest();
        let Some(peer) = self.peers.get_mut(&beat.from) else { return Heard::Stranger };
        if agrees {
            peer.differs_since = None;
            self.agreed_at = now;
            return Heard::Known;
        }
        let since = *peer.differs_since.get_or_insert(now);
        let since_asked = now - self.asked_at;
        let is_other_than_all =
            now - self.agreed_at > self.cfg.settles_within && since_asked >= self.cfg.ask_pause;
        let is_other_for_long =
            now - since > self.cfg.differs_for && since_asked >= self.cfg.differs_pause;
        if !is_other_than_all && !is_other_for_long {
            return Heard::Known;
        }
        self.asked_at = now;
        Heard::Differs
    }

    /// Digest of the instances that are believed to answer, this one included. Incarnations are random
    /// numbers, so that their exclusive or tells sets apart.
    pub fn digest(&self) -> u64 {
        let up = self.peers.values().filter(|peer| peer.is_up);
        up.fold(self.own.0, |digest, peer| digest ^ peer.member.incarnation.0)
    }

    /// An instance has said that it ends.
    pub fn ended(&mut self, incarnation: Incarnation) {
        self.peers.remove(&incarnation);
        self.is_rearranged = false;
    }

    /// Looks at who has become silent or is heard again. Returns what changed.
    pub fn tick(&mut self, now: Micros) -> Vec<Belief> {
        let pause = now - self.ticked_at;
        self.ticked_at = now;
        if pause > self.cfg.own_pause {
            for peer in self.peers.values_mut() {
                peer.heard_at = now;
            }
        }
        let cfg = &self.cfg;
        let known = self.peers.len();
        self.peers.retain(|_, peer| now - peer.heard_at < cfg.forget_after);
        self.is_rearranged &= self.peers.len() == known;
        self.arrange();
        let monitored = &self.monitored;
        let silent = |peer: &Peer| now - peer.heard_at > self.cfg.silent_after;
        let quiet =
            self.peers.iter().filter(|(id, p)| monitored.contains(*id) && silent(p)).count();
        self.is_doubtful = monitored.len() > 2 && quiet * 2 > monitored.len();
        let mut changes = Vec::new();
        for (id, peer) in &mut self.peers {
            let silence = now - peer.heard_at;
            peer.accusers.retain(|_, at| now - *at < self.cfg.accusation);
            let is_own = monitored.contains(id);
            let is_up = if is_own {
                silence <= self.cfg.silent_after
            } else {
                // An accusation is told once and forgotten; what it led to holds until the instance is heard.
                !peer.is_missed && peer.accusers.len() < self.cfg.accusers
            };
            if is_up != peer.is_up {
                peer.is_up = is_up;
                peer.is_missed = !is_up;
                changes.push(Belief { member: peer.member.clone(), is_up, silence, is_own });
            }
        }
        changes
    }

    /// Whether this instance hears so few of the others that it must be cut off itself.
    pub fn is_doubtful(&self) -> bool {
        self.is_doubtful
    }

    /// Longest silence of an instance that sends its heartbeats here and is believed to answer.
    pub fn longest_silence(&self, now: Micros) -> Micros {
        let monitored = self.peers.iter().filter(|(id, p)| p.is_up && self.monitored.contains(*id));
        monitored.map(|(_, peer)| now - peer.heard_at).max().unwrap_or(Micros::ZERO)
    }

    /// Instances that this one finds silent, to be told with its heartbeats.
    pub fn accused(&self) -> Vec<Incarnation> {
        if self.is_doubtful {
            return Vec::new();
        }
        let monitored = &self.monitored;
        let silent = self.peers.iter().filter(|(id, p)| !p.is_up && monitored.contains(*id));
        silent.map(|(id, _)| *id).collect()
    }

    /// Addresses that a heartbeat is due to now; more of them for an instance that serves callers.
    pub fn due(&mut self, now: Micros, serves_callers: bool) -> Vec<SocketAddr> {
        self.arrange();
        let cfg = &self.cfg;
        let mut due = Vec::new();
        for (id, peer) in &mut self.peers {
            let is_target = self.targets.contains(id);
            let is_home = || peer.member.domain == self.domain;
            let pause = match peer.is_up {
                true if is_target => cfg.period,
                true if serves_callers && is_home() => cfg.home_period,
                false if is_target || self.monitored.contains(id) => cfg.silent_period,
                _ => continue,
            };
            // Half a millisecond makes up for timers that fire early or late.
            if now + Micros(500) >= peer.sent_at + pause {
                peer.sent_at = now;
                due.push(peer.member.peers);
            }
        }
        due
    }

    /// Addresses of all others that answer, for news that cannot wait.
    pub fn all(&self) -> Vec<SocketAddr> {
        self.peers.values().filter(|peer| peer.is_up).map(|peer| peer.member.peers).collect()
    }

    /// Addresses of all others, also of those that are silent: whoever takes this instance for gone may be
    /// one that this instance has lost as well.
    pub fn everybody(&self) -> Vec<SocketAddr> {
        self.peers.values().map(|peer| peer.member.peers).collect()
    }

    /// Addresses of those that answer of the own failure domain and of those that serve callers in others,
    /// for what only they use.
    pub fn home_and_serving(&self) -> Vec<SocketAddr> {
        let hears = |peer: &&Peer| {
            peer.is_up && (peer.member.domain == self.domain || peer.vitals.serves_callers)
        };
        self.peers.values().filter(hears).map(|peer| peer.member.peers).collect()
    }

    /// Addresses of those that get this instance's heartbeats.
    pub fn targets(&self) -> Vec<SocketAddr> {
        let targets = self.peers.iter().filter(|(id, p)| p.is_up && self.targets.contains(*id));
        targets.map(|(_, peer)| peer.member.peers).collect()
    }

    /// Whether an instance of the own failure domain has this address.
    pub fn is_home(&self, address: &SocketAddr) -> bool {
        self.home.contains(address)
    }

    /// Works out anew who monitors whom, where the instances have changed.
    fn arrange(&mut self) {
        if std::mem::replace(&mut self.is_rearranged, true) {
            return;
        }
        let others = self.peers.values().map(|p| (p.member.incarnation, &p.member.domain));
        let mut ring: Vec<(Incarnation, &DomainId)> = others.collect();
        ring.push((self.own, &self.domain));
        ring.sort_unstable();
        let hears = |at: usize| ring::hears(&self.cfg, &ring, at);
        let own = ring.iter().position(|(id, _)| *id == self.own).unwrap_or(0);
        let targets: FastSet<Incarnation> = hears(own).into_iter().collect();
        let is_heard = |at: &usize| *at != own && hears(*at).contains(&self.own);
        let monitored = (0..ring.len()).filter(is_heard).map(|at| ring[at].0).collect();
        self.targets = targets;
        self.monitored = monitored;
    }
}
