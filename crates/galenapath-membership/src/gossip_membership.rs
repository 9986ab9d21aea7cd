//! The table of entry instances, with probing and gossip.
//!
//! The platform's list lags, so an address answer built from it alone would send callers to
//! instances that died a minute ago. Each instance therefore probes one peer per interval, in a
//! shuffled order that visits everyone; a missed probe makes a suspect, which is told to the others
//! on later probes, and a suspect that stays silent is gone. A member that hears it is suspected
//! raises its beat and says so. This is the SWIM protocol without its indirect probes: a cut that
//! hides a member from some peers only is answered by the member's own refutation through others,
//! for which the suspicion has to outlast two spreads of gossip.
//!
//! Members that are gone are probed now and then, or regions that lost each other would not find
//! each other again: both sides hold the other for gone, and nobody would speak against it.

use crate::gossip_queue::GossipQueue;
use crate::{GossipConfig, Member, MemberStatus};
use galenapath_protocol::{FastMap, Incarnation, Micros, hash64};
use std::net::SocketAddr;

/// A probe to send to a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Probe {
    /// Peers' address to probe.
    pub to: SocketAddr,
    /// Incarnation expected there.
    pub incarnation: Incarnation,
}

/// One probe in this many goes to a member that is gone, if there is one.
const GONE_PROBE_EVERY: u64 = 8;

/// Times that news from the platform's list is told.
const LISTED_SENDS: u32 = 1;

#[derive(Clone, Debug)]
struct Entry {
    member: Member,
    /// When the status last changed; of a gone member, when news last called it anything else.
    since: Micros,
    /// Whether the last probe of a live member was missed and a second one is to follow.
    has_missed_probe: bool,
    /// When a leaving member first missed a probe since it last answered.
    silent_since: Option<Micros>,
}

impl Entry {
    const fn new(now: Micros, member: Member) -> Self {
        Self { member, since: now, has_missed_probe: false, silent_since: None }
    }

    /// Keeps a tombstone for as long as anyone speaks of the member as present.
    fn extend_tombstone(&mut self, now: Micros) {
        if self.member.status == MemberStatus::Gone {
            self.since = now;
        }
    }

    /// Since when the member would have had to answer and did not.
    fn unresponsive_since(&self) -> Option<Micros> {
        match self.member.status {
            MemberStatus::Suspect => Some(self.since),
            MemberStatus::Leaving => self.silent_since,
            MemberStatus::Live | MemberStatus::Gone => None,
        }
    }
}

/// All incarnations of entry instances known to one of them.
///
/// Invariants: the own incarnation is in the table and never `Gone` or `Suspect`; an entry is only
/// replaced by newer news (see `Member::is_newer_than`).
#[derive(Clone, Debug)]
pub struct GossipMembership {
    cfg: GossipConfig,
    own: Incarnation,
    entries: FastMap<Incarnation, Entry>,
    gossip_queue: GossipQueue,
    /// Peers still to be probed in this round, last first.
    round: Vec<Incarnation>,
    round_number: u64,
    /// Members that missed a probe and are probed again before they count as suspects.
    second_probes: Vec<Incarnation>,
    /// Probes sent so far.
    probes: u64,
    next_probe: Micros,
    version: u64,
}

impl GossipMembership {
    /// A table that knows only the instance itself.
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

    /// Changes with every change of the table; lets readers skip what they have seen.
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

    /// The probe that is due at `now`, if any; also ends suspicions and forgets the long gone.
    pub fn tick(&mut self, now: Micros) -> Option<Probe> {
        self.end_suspicions(now);
        if now < self.next_probe {
            return None;
        }
        self.next_probe = now + self.cfg.probe_interval;
        let incarnation = self.next_to_probe()?;
        let member = self.find(incarnation)?;
        Some(Probe { to: member.peers, incarnation })
    }

    /// When `tick` is due next.
    pub fn next_tick(&self) -> Micros {
        self.next_probe
    }

    /// News to put into the next message to the peer `to`. The own entry goes first, then what is
    /// thought of the peer itself, so that it can speak against a suspicion.
    pub fn news(&mut self, to: Incarnation) -> Vec<Member> {
        let mut about = self.gossip_queue.take(self.cfg.max_updates_per_message);
        about.retain(|&incarnation| incarnation != self.own && incarnation != to);
        about.splice(0..0, [self.own, to]);
        about.iter().filter_map(|&incarnation| self.find(incarnation).cloned()).collect()
    }

    /// Takes in news from a peer or from the platform's list.
    pub fn merge(&mut self, now: Micros, news: &[Member]) {
        for member in news {
            self.merge_one(now, member);
        }
    }

    /// Takes in the platform's list. Every instance reads it, so its news is told only once, for
    /// those cut off from the platform; told like a rumor, the start of 64 instances would fill
    /// every message for half a minute, and that of 400 for five.
    pub fn learn(&mut self, now: Micros, list: &[Member]) {
        for member in list {
            let before = self.version;
            self.merge_one(now, member);
            if self.version != before {
                self.gossip_queue.push(member.incarnation, LISTED_SENDS);
            }
        }
    }

    /// A probe was answered by the incarnation it was sent to.
    pub fn probe_answered(&mut self, now: Micros, incarnation: Incarnation) {
        // Only the member itself may end a suspicion that others share, by raising its beat; its
        // answer carries its own entry, which `merge` takes in.
        let Some(entry) = self.entries.get_mut(&incarnation) else { return };
        entry.has_missed_probe = false;
        entry.silent_since = None;
        if entry.member.status == MemberStatus::Suspect {
            entry.since = now;
        }
    }

    /// A probe was not answered. A second miss in a row makes a suspect of a live member: single
    /// messages are lost far more often than members.
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

    /// Another incarnation answered at the member's address: the one asked for is gone.
    pub fn replaced(&mut self, now: Micros, incarnation: Incarnation) {
        if incarnation != self.own {
            self.set_status(now, incarnation, MemberStatus::Gone);
        }
    }

    /// The instance itself begins to leave.
    pub fn leave(&mut self, now: Micros) {
        self.update_own(now, MemberStatus::Leaving, 0);
    }

    fn merge_one(&mut self, now: Micros, news: &Member) {
        if news.incarnation == self.own {
            self.refute(now, news);
            return;
        }
        match self.entries.get_mut(&news.incarnation) {
            Some(known) if news.is_newer_than(&known.member) => self.store(now, news.clone()),
            // Someone still holds the old news, so the tombstone is still needed.
            Some(known) if news.status != MemberStatus::Gone => known.extend_tombstone(now),
            Some(_) => {}
            // News of a death that nobody here knew of as a life is not worth keeping. Kept, every
            // newcomer would hold tombstones anew and tell those who had dropped them.
            None if news.status == MemberStatus::Gone => {}
            None => self.store(now, news.clone()),
        }
    }

    /// Speaks against news that calls the instance itself anything worse than it is.
    fn refute(&mut self, now: Micros, news: &Member) {
        let Some(own) = self.own() else { return };
        if news.is_newer_than(own) {
            let status = own.status;
            self.update_own(now, status, news.beat);
        }
    }

    fn update_own(&mut self, now: Micros, status: MemberStatus, above: u64) {
        let Some(own) = self.own() else { return };
        let mut member = own.clone();
        member.beat = member.beat.max(above) + 1;
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

    /// How often the number of members was doubled from one, rounded up.
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

    fn next_to_probe(&mut self) -> Option<Incarnation> {
        self.probes += 1;
        while let Some(incarnation) = self.second_probes.pop() {
            if self.entries.get(&incarnation).is_some_and(|entry| entry.has_missed_probe) {
                return Some(incarnation);
            }
        }
        let is_for_gone = self.probes.is_multiple_of(GONE_PROBE_EVERY);
        let gone = if is_for_gone { self.pick_gone() } else { None };
        gone.or_else(|| self.next_in_round())
    }

    fn pick_gone(&self) -> Option<Incarnation> {
        let seed = self.own.0 ^ self.probes;
        let gone = self.entries.values().filter(|e| e.member.status == MemberStatus::Gone);
        gone.map(|e| e.member.incarnation).min_by_key(|i| hash64(seed, &i.0.to_le_bytes()))
    }

    fn next_in_round(&mut self) -> Option<Incarnation> {
        loop {
            if self.round.is_empty() {
                self.start_round();
            }
            let incarnation = self.round.pop()?;
            if self.find(incarnation).is_some_and(|member| member.status != MemberStatus::Gone) {
                return Some(incarnation);
            }
        }
    }

    /// Puts a new member at a random place of the round, or with hundreds of members nobody would
    /// probe it for minutes.
    fn add_to_round(&mut self, incarnation: Incarnation) {
        if incarnation == self.own {
            return;
        }
        let seed = self.own.0 ^ self.round_number;
        let places = self.round.len() as u64 + 1;
        let place = hash64(seed, &incarnation.0.to_le_bytes()) % places;
        self.round.insert(usize::try_from(place).unwrap_or(0), incarnation);
    }

    /// Shuffles the peers by a hash that differs per prober and round.
    fn start_round(&mut self) {
        self.round_number += 1;
        let seed = self.own.0 ^ self.round_number;
        let own = self.own;
        let not_gone = self.entries.values().filter(|e| e.member.status != MemberStatus::Gone);
        self.round = not_gone.map(|e| e.member.incarnation).filter(|&i| i != own).collect();
        self.round.sort_by_key(|incarnation| hash64(seed, &incarnation.0.to_le_bytes()));
    }
}
