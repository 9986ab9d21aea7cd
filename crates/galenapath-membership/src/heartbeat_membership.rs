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

use crate::{
    Heartbeat, HeartbeatConfig, HeartbeatOutcome, LearnOutcome, Member, Peer, ReachabilityChange,
    ring,
};
use galenapath_protocol::{DomainId, FastMap, FastSet, Incarnation, Micros};
use std::net::SocketAddr;

/// The other instances as one of them knows them.
#[derive(Debug)]
pub struct HeartbeatMembership {
    cfg: HeartbeatConfig,
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
    are_targets_current: bool,
    /// Addresses of those of the own failure domain.
    local_addresses: FastSet<SocketAddr>,
    ticked_at: Micros,
    /// When a heartbeat last told of the same instances as this one believes in.
    agreed_at: Micros,
    /// When another instance was last asked because they differ.
    synced_at: Micros,
    /// Whether most of those who should send heartbeats are silent, so that the fault is here.
    is_isolated: bool,
}

impl HeartbeatMembership {
    /// Nobody is known yet.
    pub fn new(cfg: HeartbeatConfig, own: Incarnation, domain: DomainId, now: Micros) -> Self {
        Self {
            cfg,
            own,
            domain,
            peers: FastMap::default(),
            monitored: FastSet::default(),
            targets: FastSet::default(),
            are_targets_current: true,
            local_addresses: FastSet::default(),
            ticked_at: now,
            agreed_at: now,
            synced_at: now,
            is_isolated: false,
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
    pub fn learn(&mut self, now: Micros, member: Member) -> LearnOutcome {
        if member.incarnation == self.own {
            return LearnOutcome::Known;
        }
        if let Some(peer) = self.peers.get(&member.incarnation) {
            return if peer.is_up { LearnOutcome::Known } else { LearnOutcome::KnownDown };
        }
        self.peers.retain(|_, peer| peer.member.peers != member.peers);
        if member.domain == self.domain {
            self.local_addresses.insert(member.peers);
        } else {
            self.local_addresses.remove(&member.peers);
        }
        let peer = Peer::new(now, member);
        self.peers.insert(peer.member.incarnation, peer);
        self.are_targets_current = false;
        LearnOutcome::New
    }

    /// An instance has said who it is, so that it is there, whatever others say.
    pub fn record_contact(&mut self, now: Micros, incarnation: Incarnation) {
        if let Some(peer) = self.peers.get_mut(&incarnation) {
            peer.record_contact(now);
        }
    }

    /// Whether an instance is known to be ready.
    pub fn is_ready(&self, incarnation: Incarnation) -> bool {
        self.peers.get(&incarnation).is_some_and(|peer| peer.status.is_ready)
    }

    /// Takes in a heartbeat.
    pub fn hear(&mut self, now: Micros, heartbeat: &Heartbeat) -> HeartbeatOutcome {
        for accused in &heartbeat.accused {
            if let Some(peer) = self.peers.get_mut(accused) {
                peer.accusers.insert(heartbeat.from, now);
            }
        }
        let Some(peer) = self.peers.get_mut(&heartbeat.from) else {
            return HeartbeatOutcome::UnknownSender;
        };
        peer.record_contact(now);
        peer.status = heartbeat.status;
        if heartbeat.accused.contains(&self.own) {
            return HeartbeatOutcome::AccusesUs;
        }
        self.compare(now, heartbeat)
    }

    fn compare(&mut self, now: Micros, heartbeat: &Heartbeat) -> HeartbeatOutcome {
        let agrees = heartbeat.digest == self.digest();
        let Some(peer) = self.peers.get_mut(&heartbeat.from) else {
            return HeartbeatOutcome::UnknownSender;
        };
        if agrees {
            peer.differs_since = None;
            self.agreed_at = now;
            return HeartbeatOutcome::Known;
        }
        let since = *peer.differs_since.get_or_insert(now);
        let since_sync = now - self.synced_at;
        let differs_from_all =
            now - self.agreed_at > self.cfg.settle_time && since_sync >= self.cfg.min_sync_interval;
        let differs_for_long = now - since > self.cfg.max_peer_difference
            && since_sync >= self.cfg.min_peer_sync_interval;
        if !differs_from_all && !differs_for_long {
            return HeartbeatOutcome::Known;
        }
        self.synced_at = now;
        HeartbeatOutcome::ViewDiffers
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
        self.are_targets_current = false;
    }

    /// Looks at who has become silent or is heard again. Returns what changed.
    pub fn tick(&mut self, now: Micros) -> Vec<ReachabilityChange> {
        let pause = now - self.ticked_at;
        self.ticked_at = now;
        if pause > self.cfg.max_tick_gap {
            for peer in self.peers.values_mut() {
                peer.last_heard_at = now;
            }
        }
        let cfg = &self.cfg;
        let known = self.peers.len();
        self.peers.retain(|_, peer| now - peer.last_heard_at < cfg.forget_after);
        self.are_targets_current &= self.peers.len() == known;
        self.update_targets();
        let monitored = &self.monitored;
        let silent = |peer: &Peer| now - peer.last_heard_at > self.cfg.silent_after;
        let silent_count =
            self.peers.iter().filter(|(id, p)| monitored.contains(*id) && silent(p)).count();
        self.is_isolated = monitored.len() > 2 && silent_count * 2 > monitored.len();
        let mut changes = Vec::new();
        for (id, peer) in &mut self.peers {
            let silence = now - peer.last_heard_at;
            peer.accusers.retain(|_, at| now - *at < self.cfg.accusation_ttl);
            let is_own = monitored.contains(id);
            let is_up = if is_own {
                silence <= self.cfg.silent_after
            } else {
                // An accusation is told once and forgotten; what it led to holds until the instance is heard.
                !peer.awaits_contact && peer.accusers.len() < self.cfg.required_accusers
            };
            if is_up != peer.is_up {
                peer.is_up = is_up;
                peer.awaits_contact = !is_up;
                changes.push(ReachabilityChange {
                    member: peer.member.clone(),
                    is_up,
                    silence,
                    is_own,
                });
            }
        }
        changes
    }

    /// Whether this instance hears so few of the others that it must be cut off itself.
    pub fn is_isolated(&self) -> bool {
        self.is_isolated
    }

    /// Longest silence of an instance that sends its heartbeats here and is believed to answer.
    pub fn longest_silence(&self, now: Micros) -> Micros {
        let monitored = self.peers.iter().filter(|(id, p)| p.is_up && self.monitored.contains(*id));
        monitored.map(|(_, peer)| now - peer.last_heard_at).max().unwrap_or(Micros::ZERO)
    }

    /// Instances that this one finds silent, to be told with its heartbeats.
    pub fn accused(&self) -> Vec<Incarnation> {
        if self.is_isolated {
            return Vec::new();
        }
        let monitored = &self.monitored;
        let silent = self.peers.iter().filter(|(id, p)| !p.is_up && monitored.contains(*id));
        silent.map(|(id, _)| *id).collect()
    }

    /// Addresses that a heartbeat is due to now; more of them for an instance that serves callers.
    pub fn due(&mut self, now: Micros, serves_callers: bool) -> Vec<SocketAddr> {
        self.update_targets();
        let cfg = &self.cfg;
        let mut due = Vec::new();
        for (id, peer) in &mut self.peers {
            let is_target = self.targets.contains(id);
            let is_local = || peer.member.domain == self.domain;
            let pause = match peer.is_up {
                true if is_target => cfg.period,
                true if serves_callers && is_local() => cfg.local_period,
                false if is_target || self.monitored.contains(id) => cfg.silent_period,
                _ => continue,
            };
            // Half a millisecond makes up for timers that fire early or late.
            if now + Micros(500) >= peer.last_sent_at + pause {
                peer.last_sent_at = now;
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
    pub fn all_addresses(&self) -> Vec<SocketAddr> {
        self.peers.values().map(|peer| peer.member.peers).collect()
    }

    /// Addresses of those that answer of the own failure domain and of those that serve callers in others,
    /// for what only they use.
    pub fn local_and_serving_addresses(&self) -> Vec<SocketAddr> {
        let is_recipient = |peer: &&Peer| {
            peer.is_up && (peer.member.domain == self.domain || peer.status.serves_callers)
        };
        self.peers.values().filter(is_recipient).map(|peer| peer.member.peers).collect()
    }

    /// Addresses of those that get this instance's heartbeats.
    pub fn targets(&self) -> Vec<SocketAddr> {
        let targets = self.peers.iter().filter(|(id, p)| p.is_up && self.targets.contains(*id));
        targets.map(|(_, peer)| peer.member.peers).collect()
    }

    /// Whether an instance of the own failure domain has this address.
    pub fn is_local(&self, address: &SocketAddr) -> bool {
        self.local_addresses.contains(address)
    }

    /// Works out anew who monitors whom, where the instances have changed.
    fn update_targets(&mut self) {
        if std::mem::replace(&mut self.are_targets_current, true) {
            return;
        }
        let others = self.peers.values().map(|p| (p.member.incarnation, &p.member.domain));
        let mut ring: Vec<(Incarnation, &DomainId)> = others.collect();
        ring.push((self.own, &self.domain));
        ring.sort_unstable();
        let targets_of = |at: usize| ring::heartbeat_targets(&self.cfg, &ring, at);
        let own = ring.iter().position(|(id, _)| *id == self.own).unwrap_or(0);
        let targets: FastSet<Incarnation> = targets_of(own).into_iter().collect();
        let targets_us = |at: &usize| *at != own && targets_of(*at).contains(&self.own);
        let monitored = (0..ring.len()).filter(targets_us).map(|at| ring[at].0).collect();
        self.targets = targets;
        self.monitored = monitored;
    }
}
