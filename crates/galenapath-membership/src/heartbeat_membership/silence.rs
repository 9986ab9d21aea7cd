//! Which instances are silent, and what that says of them.

use super::HeartbeatMembership;
use crate::{Peer, ReachabilityChange};
use galenapath_protocol::{Incarnation, Micros};

/// Largest number of instances that are accused because they did not answer. Where more are lost,
/// every instance asks by itself.
const MAX_UNANSWERED_ACCUSED: usize = 16;

impl HeartbeatMembership {
    /// Checks which instances have become silent or reachable again. Returns the changes.
    pub fn tick(&mut self, now: Micros) -> Vec<ReachabilityChange> {
        self.excuse_own_pause(now);
        self.forget_lost(now);
        self.update_targets();
        self.judge_silence(now);
        self.update_survey(now);
        let is_in_doubt = self.is_in_doubt();
        let changes = self.judge_all(now, is_in_doubt);
        self.are_targets_current &= changes.is_empty();
        changes
    }

    fn judge_all(&mut self, now: Micros, is_in_doubt: bool) -> Vec<ReachabilityChange> {
        let (cfg, monitored) = (&self.cfg, &self.monitored);
        let mut changes = Vec::new();
        for (id, peer) in &mut self.peers {
            peer.accusers.retain(|_, at| now - *at < cfg.accusation_ttl);
            let is_monitored = monitored.contains(id);
            let is_unanswered =
                !is_in_doubt && peer.has_not_answered_for(now, cfg.silent_after) && !is_monitored;
            let is_in_contact = if is_monitored {
                peer.missing_for(now) <= cfg.silent_after
            } else {
                !is_unanswered && peer.accusers.len() < cfg.required_accusers
            };
            // Accusations are sent once and expire. The instance stays down until a message from it
            // arrives.
            let is_up = is_in_contact && !peer.awaits_contact;
            if is_up != peer.is_up {
                peer.set_up(now, is_up);
                peer.is_unanswered = !is_up && is_unanswered;
                changes.push(ReachabilityChange {
                    member: peer.member.clone(),
                    is_up,
                    silence: peer.silence(now),
                    is_detected_here: is_monitored || is_unanswered,
                });
            }
        }
        changes
    }

    /// Disregards the silence of the others while this instance itself was suspended.
    fn excuse_own_pause(&mut self, now: Micros) {
        let pause = now - self.ticked_at;
        self.ticked_at = now;
        if pause > self.cfg.max_tick_gap {
            for peer in self.peers.values_mut() {
                peer.last_contact_at = now;
                peer.asked_at = None;
            }
        }
    }

    /// Forgets instances that have been down for long. Others may be silent here for as long as they
    /// like: most of a large fleet sends nothing to this instance unless it is asked.
    fn forget_lost(&mut self, now: Micros) {
        let known = self.peers.len();
        let (forget_after, local_addresses) = (self.cfg.forget_after, &mut self.local_addresses);
        self.peers.retain(|_, peer| {
            let is_kept = peer.is_up || peer.silence(now) < forget_after;
            if !is_kept {
                local_addresses.remove(&peer.member.peer_address);
            }
            is_kept
        });
        self.are_targets_current &= self.peers.len() == known;
    }

    fn judge_silence(&mut self, now: Micros) {
        let cfg = &self.cfg;
        let monitored = self.peers.iter().filter(|(id, _)| self.monitored.contains(*id));
        let silent = monitored.filter(|(_, p)| p.missing_for(now) > cfg.silent_after).count();
        let down = self.peers.values().filter(|peer| !peer.is_up).count();
        let count = self.monitored.len();
        self.is_isolated = count > 2 && silent * 2 > count;
        self.are_many_silent = count > 2 && (silent * 3 > count || down * 4 > self.peers.len());
    }

    /// Whether most of the monitored instances are silent: this one is cut off, or most of the
    /// fleet is lost.
    pub fn is_isolated(&self) -> bool {
        self.is_isolated
    }

    /// Whether so many instances are silent that only an answer from elsewhere shows that this one
    /// is not cut off.
    pub fn needs_paths(&self) -> bool {
        self.are_many_silent
    }

    /// Records whether the store or a backend server has answered this instance since the silence
    /// began.
    pub fn set_has_paths(&mut self, has_paths: bool) {
        self.has_paths = has_paths;
    }

    /// Whether this instance rather than the silent ones may be cut off.
    fn is_in_doubt(&self) -> bool {
        self.are_many_silent && !self.has_paths
    }

    /// Longest silence among the monitored instances that are considered up.
    pub fn longest_silence(&self, now: Micros) -> Micros {
        let monitored = self.peers.iter().filter(|(id, p)| p.is_up && self.monitored.contains(*id));
        monitored.map(|(_, peer)| peer.missing_for(now)).max().unwrap_or(Micros::ZERO)
    }

    /// Instances to be reported in heartbeats: monitored ones that are silent, and those that were
    /// lately found not to answer. Empty while this instance may be cut off.
    pub fn accused(&self) -> Vec<Incarnation> {
        if self.is_in_doubt() {
            return Vec::new();
        }
        let is_monitored = |id: &Incarnation| self.monitored.contains(id);
        let down = || self.peers.iter().filter(|(_, peer)| !peer.is_up);
        let silent = down().filter(|(id, _)| is_monitored(id));
        let is_unanswered = |peer: &Peer| {
            peer.is_unanswered
                && peer.is_down_since_less_than(self.ticked_at, self.cfg.accusation_ttl)
        };
        let unanswered = down().filter(|(id, peer)| !is_monitored(id) && is_unanswered(peer));
        let all = silent.chain(unanswered.take(MAX_UNANSWERED_ACCUSED));
        all.map(|(id, _)| *id).collect()
    }
}
