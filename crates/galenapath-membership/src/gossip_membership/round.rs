//! The order in which members are probed.

use super::GossipMembership;
use crate::MemberStatus;
use galenapath_protocol::{Incarnation, hash64};

/// One probe in this many goes to a member that is gone, if there is one.
const GONE_PROBE_EVERY: u64 = 8;

impl GossipMembership {
    /// The member to probe next: one that missed a probe, now and then one that is gone, else the next of
    /// the round.
    pub(super) fn next_to_probe(&mut self) -> Option<Incarnation> {
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

    /// Inserts a new member at a random place of the round. At the end of a round of hundreds of
    /// members it would not be probed for minutes.
    pub(super) fn add_to_round(&mut self, incarnation: Incarnation) {
        if incarnation == self.own {
            return;
        }
        let seed = self.own.0 ^ self.round_number;
        let places = self.round.len() as u64 + 1;
        let place = hash64(seed, &incarnation.0.to_le_bytes()) % places;
        self.round.insert(usize::try_from(place).unwrap_or(0), incarnation);
    }

    /// Shuffles the peers by a hash that differs per instance and round.
    fn start_round(&mut self) {
        self.round_number += 1;
        let seed = self.own.0 ^ self.round_number;
        let own = self.own;
        let not_gone = self.entries.values().filter(|e| e.member.status != MemberStatus::Gone);
        self.round = not_gone.map(|e| e.member.incarnation).filter(|&i| i != own).collect();
        self.round.sort_by_key(|incarnation| hash64(seed, &incarnation.0.to_le_bytes()));
    }
}
