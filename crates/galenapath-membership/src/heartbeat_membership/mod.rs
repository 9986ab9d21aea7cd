//! Detects which entry instances are available, from heartbeats that each sends to a bounded number
//! of others.
//!
//! Load pattern: an address answer that contains a dead instance costs each of its callers a second
//! of connecting, and callers wait little longer than that. A death has to be known on all
//! instances in about a second, at a cost per instance that does not grow with the fleet. Instances
//! that are merely slow must not be removed, nor may an observer that is itself cut off remove
//! others.
//!
//! Every instance sends heartbeats to some instances that follow it in the order of incarnations.
//! Most of them are in its own failure domain, since traffic between domains is billed; some are in
//! others, so that the loss of a whole domain is detected. In a small fleet all others are targets.
//!
//! An instance that receives no heartbeat for [`HeartbeatConfig::silent_after`] removes the sender
//! from its own answers and reports it to all others. An instance that does not monitor the sender
//! considers it down once two observers report it, not one, until it receives a heartbeat from the
//! sender itself. An instance that learns that it is accused sends heartbeats to all others.
//!
//! An instance that finds many others silent may be cut off itself. It accuses none until the store
//! or a backend server answers it, which shows that it is the others that are lost. Instances that
//! it does not monitor are not taken to be up because nobody reports the opposite: it asks them
//! (see `questions`).
//!
//! The order is the same on all instances only while they know the same members. An instance that
//! does not know a new one expects heartbeats that now go to the new one, and accuses instances
//! that are up. Each heartbeat therefore carries a digest of the instances that its sender
//! considers up, and an instance that receives a different digest for too long asks for the
//! sender's members.

mod addresses;
mod questions;
mod silence;

use self::questions::Questions;
use crate::{
    Heartbeat, HeartbeatConfig, HeartbeatOutcome, LearnOutcome, Member, Peer, StoreHealth, ring,
};
use galenapath_protocol::{DomainId, FastMap, FastSet, Incarnation, Micros};
use std::net::SocketAddr;

/// The other instances as this one knows them from heartbeats.
#[derive(Debug)]
pub struct HeartbeatMembership {
    cfg: HeartbeatConfig,
    own: Incarnation,
    domain: DomainId,
    peers: FastMap<Incarnation, Peer>,
    /// Instances that send their heartbeats to this one.
    ///
    /// Invariant: this and `targets` follow from `peers` unless `are_targets_current` is false.
    monitored: FastSet<Incarnation>,
    /// Instances that this one sends its heartbeats to.
    targets: FastSet<Incarnation>,
    /// Whether `monitored` and `targets` match the present `peers` and which of them are up. They
    /// are computed once for all changes since the last use, because hundreds of instances may join
    /// at the same moment.
    are_targets_current: bool,
    /// Addresses of the instances in the own failure domain.
    local_addresses: FastSet<SocketAddr>,
    ticked_at: Micros,
    /// When a heartbeat last had the same digest as this instance.
    agreed_at: Micros,
    /// When another instance was last asked for its members because its digest differed.
    synced_at: Micros,
    /// When one that was not known was last asked for its members.
    list_asked_at: Option<Micros>,
    /// Whether most of the monitored instances are silent: this instance is cut off, or most of the
    /// fleet is lost.
    is_isolated: bool,
    /// Whether so many instances are silent that this one may be cut off itself.
    are_many_silent: bool,
    /// Whether the store or a backend server has answered this instance since the silence began.
    has_paths: bool,
    questions: Questions,
}

impl HeartbeatMembership {
    /// Creates a view without any other instance.
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
            list_asked_at: None,
            is_isolated: false,
            are_many_silent: false,
            has_paths: false,
            questions: Questions::new(now),
        }
    }

    /// Failure domain of this instance.
    pub fn domain(&self) -> &DomainId {
        &self.domain
    }

    /// The other instances, including silent ones.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Number of instances that are considered up, this one included.
    pub fn up_count(&self) -> usize {
        1 + self.peers.values().filter(|peer| peer.is_up).count()
    }

    /// Whether no other instance is reachable.
    pub fn is_alone(&self) -> bool {
        !self.peers.values().any(Peer::is_up)
    }

    /// Adds an instance. A new incarnation replaces an older one at the same address.
    pub fn learn(&mut self, now: Micros, member: Member) -> LearnOutcome {
        if member.incarnation == self.own {
            return LearnOutcome::Known;
        }
        if let Some(peer) = self.peers.get(&member.incarnation) {
            return if peer.is_up { LearnOutcome::Known } else { LearnOutcome::KnownDown };
        }
        self.peers.retain(|_, peer| peer.member.peer_address != member.peer_address);
        if member.domain == self.domain {
            self.local_addresses.insert(member.peer_address);
        } else {
            self.local_addresses.remove(&member.peer_address);
        }
        let peer = Peer::new(now, member);
        self.peers.insert(peer.member.incarnation, peer);
        self.are_targets_current = false;
        LearnOutcome::New
    }

    /// Records a message from an instance, which shows that it is up, whatever others report.
    pub fn record_contact(&mut self, now: Micros, incarnation: Incarnation) {
        if let Some(peer) = self.peers.get_mut(&incarnation) {
            peer.record_contact(now);
        }
    }

    /// Records what another instance knows: that the store does not answer this one. Its own report
    /// goes first.
    ///
    /// An instance that has just started knows the others from a list, without their status. If it
    /// took the store to answer all of them, it would leave watching the store to one that the
    /// others know to be turned away, while they leave it to the new instance.
    ///
    /// Returns whether it was not known.
    pub fn set_store_failing(&mut self, incarnation: Incarnation) -> bool {
        let peer = self.peers.get_mut(&incarnation).filter(|peer| !peer.has_reported);
        let Some(peer) = peer else { return false };
        std::mem::replace(&mut peer.status.store, StoreHealth::Failing) != StoreHealth::Failing
    }

    /// Whether an instance is known to be ready.
    pub fn is_ready(&self, incarnation: Incarnation) -> bool {
        self.peers.get(&incarnation).is_some_and(|peer| peer.status.is_ready)
    }

    /// Whether an instance is known to report that the store does not answer it.
    pub fn is_store_failing(&self, incarnation: Incarnation) -> bool {
        let peer = self.peers.get(&incarnation);
        peer.is_some_and(|peer| peer.status.store == StoreHealth::Failing)
    }

    /// Whether an instance is known to have lost its paths to backend servers.
    pub fn is_cut_off(&self, incarnation: Incarnation) -> bool {
        self.peers.get(&incarnation).is_some_and(|peer| peer.status.is_cut_off)
    }

    /// Failure domain of an instance, if it is known.
    pub fn domain_of(&self, incarnation: Incarnation) -> Option<&DomainId> {
        self.peers.get(&incarnation).map(|peer| &peer.member.domain)
    }

    /// Applies a received heartbeat.
    pub fn apply_heartbeat(&mut self, now: Micros, heartbeat: &Heartbeat) -> HeartbeatOutcome {
        for accused in &heartbeat.accused {
            if let Some(peer) = self.peers.get_mut(accused) {
                peer.accusers.insert(heartbeat.from, now);
            }
        }
        let Some(peer) = self.peers.get_mut(&heartbeat.from) else {
            return self.meet_unknown_sender(now);
        };
        peer.record_contact(now);
        peer.status = heartbeat.status;
        peer.has_reported = true;
        if heartbeat.accused.contains(&self.own) {
            return HeartbeatOutcome::AccusesUs;
        }
        self.compare(now, heartbeat)
    }

    fn meet_unknown_sender(&mut self, now: Micros) -> HeartbeatOutcome {
        let is_due = self.list_asked_at.is_none_or(|at| now - at >= self.cfg.min_list_interval);
        if !is_due {
            return HeartbeatOutcome::UnknownSenderForNow;
        }
        self.list_asked_at = Some(now);
        HeartbeatOutcome::UnknownSender
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

    /// Digest of the instances that are considered up, this one included. Incarnations are random
    /// numbers, so their exclusive or identifies the set.
    pub fn digest(&self) -> u64 {
        let up = self.peers.values().filter(|peer| peer.is_up);
        up.fold(self.own.0, |digest, peer| digest ^ peer.member.incarnation.0)
    }

    /// Removes an instance that has reported its end.
    pub fn remove(&mut self, incarnation: Incarnation) {
        if let Some(peer) = self.peers.remove(&incarnation) {
            self.local_addresses.remove(&peer.member.peer_address);
        }
        self.are_targets_current = false;
    }

    /// Addresses that a heartbeat is due to now; each is recorded as sent. An instance that serves
    /// callers also sends to its whole failure domain.
    pub fn heartbeats_due(&mut self, now: Micros, serves_callers: bool) -> Vec<SocketAddr> {
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
            // Tolerates timers that fire half a millisecond early or late.
            if now + Micros(500) >= peer.last_sent_at + pause {
                peer.last_sent_at = now;
                due.push(peer.member.peer_address);
            }
        }
        due
    }

    /// Recomputes the monitored instances and targets if the instances have changed.
    fn update_targets(&mut self) {
        if std::mem::replace(&mut self.are_targets_current, true) {
            return;
        }
        let others = self.peers.values().map(|p| (p.member.incarnation, &p.member.domain));
        let mut ring: Vec<(Incarnation, &DomainId)> = others.collect();
        ring.push((self.own, &self.domain));
        ring.sort_unstable();
        let own = ring.iter().position(|(id, _)| *id == self.own).unwrap_or(0);
        let mut targets: FastSet<Incarnation> =
            ring::heartbeat_targets(&self.cfg, &ring, own).into_iter().collect();
        let monitored: FastSet<Incarnation> =
            ring::heartbeat_sources(&self.cfg, &ring, own).into_iter().collect();
        // Where targets are down, the next ones get heartbeats as well: the state of the others and
        // of the store would not spread among few survivors otherwise.
        let is_up = |id: &Incarnation| self.peers.get(id).is_none_or(|peer| peer.is_up);
        if !targets.iter().all(is_up) {
            ring.retain(|(id, _)| is_up(id));
            let own = ring.iter().position(|(id, _)| *id == self.own).unwrap_or(0);
            targets.extend(ring::heartbeat_targets(&self.cfg, &ring, own));
        }
        self.targets = targets;
        // Nothing was expected of new ones so far, so that their silence until now proves nothing.
        for id in monitored.difference(&self.monitored) {
            if let Some(peer) = self.peers.get_mut(id) {
                peer.expected_since = self.ticked_at;
            }
        }
        self.monitored = monitored;
    }
}
