//! The table of entry instances, maintained by probing and gossip.
//!
//! The platform's list lags behind, so an address answer built from it alone would send callers to
//! instances that died a minute ago. Each instance therefore probes one peer per interval, in a
//! shuffled order that visits all. A peer that misses its probes becomes a suspect, which later
//! probes report to the others, and a suspect that stays silent is gone. A member that learns that
//! it is suspected raises its status version and reports itself live. This is the SWIM protocol
//! without its indirect probes: when a network cut hides a member from some peers only, the
//! member's refutation reaches them through others. The suspicion timeout therefore has to exceed
//! the time of two rounds of gossip.
//!
//! Members that are gone are still probed occasionally. Otherwise regions that were cut off from
//! each other would not recover: each side considers the other gone, and no member would refute it.

mod entry;
mod round;

use crate::gossip_queue::GossipQueue;
use crate::{GossipConfig, Member, MemberStatus};
use entry::Entry;
use galenapath_protocol::{FastMap, Incarnation, Micros};
use std::net::SocketAddr;

/// A probe to send to a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Probe {
    /// Peer address to probe.
    pub to: SocketAddr,
    /// Incarnation expected at that address.
    pub incarnation: Incarnation,
}

/// How often an update from the platform's list is sent.
const LISTED_SENDS: u32 = 1;

/// All incarnations of entry instances that this instance knows.
///
/// Invariants: the own incarnation is in the table and never `Gone` or `Suspect`; an entry is only
/// replaced by a newer one (see `Member::is_newer_than`).
#[derive(Clone, Debug)]
pub struct GossipMembership {
    cfg: GossipConfig,
    own: Incarnation,
    entries: FastMap<Incarnation, Entry>,
    gossip_queue: GossipQueue,
    /// Peers still to be probed in this round; the next one is last.
    round: Vec<Incarnation>,
    round_number: u64,
    /// Members that missed a probe and are probed again before they become suspects.
    second_probes: Vec<Incarnation>,
    /// Number of probes sent.
    probes: u64,
    next_probe: Micros,
    version: u64,
}

impl GossipMembership {
    /// Creates a table that contains only the instance itself.
    pub fn new(cfg: GossipConfig, now: Micros, own: Member) -> Self {
        let incarnation = own.incarnation;
        let mut members = Self {
            cfg,
            own: incarnation,
            entries: FastMap::default(),
            gossip_queue: GossipQueue::default(),
            round: Vec::new(),
            round_number: 0,
            second_probes: Vec::new(),
            probes: 0,
            next_probe: now,
            version: 0,
        };
        members.store(now, own);
        members
    }

    /// The instance itself.
    pub fn own(&self) -> Option<&Member> {
        self.find(self.own)
    }

    /// Increases with every change of the table, so that readers can skip versions they have read.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The member with this incarnation, whatever its status.
    pub fn find(&self, incarnation: Incarnation) -> Option<&Member> {
        self.entries.get(&incarnation).map(|entry| &entry.member)
    }

    /// All members that requests may be sent to, in no particular order.
    pub fn usable(&self) -> impl Iterator<Item = &Member> {
        self.entries.values().map(|entry| &entry.member).filter(|member| member.is_usable())
    }

    /// All known members.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.entries.values().map(|entry| &entry.member)
    }

    /// The probe that is due at `now`, if any. Also ends expired suspicions and removes old
    /// tombstones.
    pub fn tick(&mut self, now: Micros) -> Option<Probe> {
        self.end_suspicions(now);
        if now < self.next_probe {
            return None;
        }
        self.next_probe = now + self.cfg.probe_interval;
        let incarnation = self.next_to_probe()?;
        let member = self.find(incarnation)?;
        Some(Probe { to: member.peer_address, incarnation })
    }

    /// When `tick` is due next.
    pub fn next_tick(&self) -> Micros {
        self.next_probe
    }

    /// Updates to put into the next message to the peer `to`. The own entry goes first, then the
    /// entry of the peer itself, so that it can refute a suspicion.
    pub fn updates_for(&mut self, to: Incarnation) -> Vec<Member> {
        let mut about = self.gossip_queue.take(self.cfg.max_updates_per_message);
        about.retain(|&incarnation| incarnation != self.own && incarnation != to);
        about.splice(0..0, [self.own, to]);
        about.iter().filter_map(|&incarnation| self.find(incarnation).cloned()).collect()
    }

    /// Merges updates from a peer or from the platform's list.
    pub fn merge(&mut self, now: Micros, updates: &[Member]) {
        for member in updates {
            self.merge_one(now, member);
        }
    }

    /// Merges the platform's list. Every instance reads it, so its updates are sent only once, for
    /// instances that are cut off from the platform. If they were sent as often as other updates,
    /// the start of 64 instances would fill every message for half a minute, and that of 400 for
    /// five minutes.
    pub fn learn(&mut self, now: Micros, list: &[Member]) {
        for member in list {
            let before = self.version;
            self.merge_one(now, member);
            if self.version != before {
                self.gossip_queue.push(member.incarnation, LISTED_SENDS);
            }
        }
    }

    /// Records that the incarnation that was probed has answered.
    pub fn probe_answered(&mut self, now: Micros, incarnation: Incarnation) {
        // Only the member itself may end a suspicion that others share, by raising its status
        // version. Its answer carries its own entry, which `merge` applies.
        let Some(entry) = self.entries.get_mut(&incarnation) else { return };
        entry.has_missed_probe = false;
        entry.silent_since = None;
        if entry.member.status == MemberStatus::Suspect {
            entry.since = now;
        }
    }

    /// Records that a probe was not answered. Only a second miss in a row makes a live member a
    /// suspect, since single messages are lost far more often than members fail.
    pub fn probe_failed(&mut self, now: Micros, incarnation: Incarnation) {
        let Some(entry) = self.entries.get_mut(&incarnation) else { return };
        match entry.member.status {
            MemberStatus::Live if entry.has_missed_probe => {
                self.set_status(now, incarnation, MemberStatus::Suspect);
            }
            MemberStatus::Live => {
                entry.has_missed_probe = true;
                self.second_probes.push(incarnation);
            }
            MemberStatus::Leaving => entry.silent_since = entry.silent_since.or(Some(now)),
            MemberStatus::Suspect | MemberStatus::Gone => {}
        }
    }

    /// Marks an incarnation as gone because another one answered at its address.
    pub fn mark_replaced(&mut self, now: Micros, incarnation: Incarnation) {
        if incarnation != self.own {
            self.set_status(now, incarnation, MemberStatus::Gone);
        }
    }

    /// Marks the instance itself as leaving.
    pub fn leave(&mut self, now: Micros) {
        self.update_own(now, MemberStatus::Leaving, 0);
    }

    fn merge_one(&mut self, now: Micros, update: &Member) {
        if update.incarnation == self.own {
            self.refute(now, update);
            return;
        }
        match self.entries.get_mut(&update.incarnation) {
            Some(known) if update.is_newer_than(&known.member) => self.store(now, update.clone()),
            // A peer still holds the old entry, so the tombstone is still needed.
            Some(known) if update.status != MemberStatus::Gone => known.extend_tombstone(now),
            Some(_) => {}
            // An incarnation that was never known here as present needs no tombstone. If it were
            // stored, every new instance would create tombstones anew and send them to instances
            // that had already dropped them.
            None if update.status == MemberStatus::Gone => {}
            None => self.store(now, update.clone()),
        }
    }

    /// Raises the own status version above that of an update that reports another status for this
    /// instance.
    fn refute(&mut self, now: Micros, update: &Member) {
        let Some(own) = self.own() else { return };
        if update.is_newer_than(own) {
            let status = own.status;
            self.update_own(now, status, update.status_version);
        }
    }

    fn update_own(&mut self, now: Micros, status: MemberStatus, above: u64) {
        let Some(own) = self.own() else { return };
        let mut member = own.clone();
        member.status_version = member.status_version.max(above) + 1;
        member.status = status;
        self.store(now, member);
    }

    fn set_status(&mut self, now: Micros, incarnation: Incarnation, status: MemberStatus) {
        let Some(entry) = self.entries.get(&incarnation) else { return };
        if entry.member.status >= status {
            return;
        }
        let member = Member { status, ..entry.member.clone() };
        self.store(now, member);
    }

    fn store(&mut self, now: Micros, member: Member) {
        let incarnation = member.incarnation;
        let known = self.entries.insert(incarnation, Entry::new(now, member));
        if known.is_none() {
            self.add_to_round(incarnation);
        }
        self.version += 1;
        self.gossip_queue.push(incarnation, self.cfg.sends_per_doubling * self.doublings());
    }

    /// Number of doublings from one to the number of members, rounded up; at least one.
    fn doublings(&self) -> u32 {
        (usize::BITS - self.entries.len().leading_zeros()).max(1)
    }

    fn end_suspicions(&mut self, now: Micros) {
        let suspicion = self.cfg.suspicion_timeout(self.doublings());
        let expired: Vec<Incarnation> = self
            .entries
            .values()
            .filter(|entry| {
                entry.unresponsive_since().is_some_and(|since| now >= since + suspicion)
            })
            .map(|entry| entry.member.incarnation)
            .collect();
        for incarnation in expired {
            self.set_status(now, incarnation, MemberStatus::Gone);
        }
        let keep = self.cfg.tombstone_ttl;
        self.entries.retain(|_, entry| {
            entry.member.status != MemberStatus::Gone || now < entry.since + keep
        });
    }
}
