//! Questions to instances that no heartbeats are expected from.
//!
//! Load pattern: most of a large fleet is lost at one moment. Of many of the lost instances all
//! observers are lost as well, so that nobody reports them, and callers would be sent to them until
//! they are forgotten. Therefore an instance does not take the absence of reports for a sign of
//! life:
//!
//! - It asks one of the others, drawn anew, in each [`HeartbeatConfig::question_period`]. That
//!   bounds how long a lost instance counts as up, at a cost that does not grow with the fleet.
//! - When it finds many silent, it asks all others at once, in batches that small links bear.
//! - It asks an instance whose heartbeats are missing before it finds it silent: the order of
//!   heartbeats may have changed here and not there.
//!
//! One that has not answered for [`HeartbeatConfig::silent_after`], though it was asked again, is
//! down.
//!
//! [`HeartbeatConfig::question_period`]: crate::HeartbeatConfig::question_period
//! [`HeartbeatConfig::silent_after`]: crate::HeartbeatConfig::silent_after

use super::HeartbeatMembership;
use crate::Peer;
use galenapath_protocol::{Incarnation, Micros, hash64};
use std::net::SocketAddr;

/// When questions are due.
#[derive(Debug)]
pub(super) struct Questions {
    /// When the next instance is drawn.
    next_draw_at: Micros,
    /// Number of draws so far.
    draws: u64,
    survey_until: Micros,
    next_survey_at: Micros,
    /// Whether instances that are considered up have not answered yet.
    are_any_open: bool,
}

impl Questions {
    pub(super) fn new(now: Micros) -> Self {
        Self {
            next_draw_at: now,
            draws: 0,
            survey_until: Micros::ZERO,
            next_survey_at: Micros::ZERO,
            are_any_open: false,
        }
    }
}

impl HeartbeatMembership {
    /// Starts to ask all others if many are silent.
    pub(super) fn update_survey(&mut self, now: Micros) {
        if self.are_many_silent && now >= self.questions.next_survey_at {
            self.questions.survey_until = now + self.cfg.survey_time;
            self.questions.next_survey_at = now + self.cfg.survey_period;
        }
    }

    /// Addresses of instances that are to be asked for a heartbeat now; each is recorded as asked.
    pub fn questions_due(&mut self, now: Micros) -> Vec<SocketAddr> {
        let mut due = Vec::new();
        if now >= self.questions.next_draw_at {
            self.questions.next_draw_at = now + self.cfg.question_period;
            due.extend(self.drawn(now, true));
            due.extend(self.drawn(now, false));
        }
        due.extend(self.missing(now));
        let is_survey = now < self.questions.survey_until;
        if is_survey || self.questions.are_any_open {
            due.extend(self.open_and_surveyed(now, is_survey));
        }
        for id in &due {
            if let Some(peer) = self.peers.get_mut(id) {
                peer.record_question(now);
                self.questions.are_any_open |= peer.is_up;
            }
        }
        due.iter().filter_map(|id| self.peers.get(id)).map(|p| p.member.peer_address).collect()
    }

    /// One of the instances that were silent for a while and are considered up, or down.
    fn drawn(&mut self, now: Micros, is_up: bool) -> Option<Incarnation> {
        let candidates = || {
            let all = self.peers.iter().filter(|(id, _)| !self.monitored.contains(*id));
            all.filter(|(_, p)| p.is_up == is_up && self.is_question_useful(p, now))
        };
        let count = u64::try_from(candidates().count()).ok().filter(|count| *count > 0)?;
        let draw = hash64(self.own.0, &self.questions.draws.to_le_bytes()) % count;
        let drawn = candidates().nth(usize::try_from(draw).unwrap_or(0)).map(|(id, _)| *id);
        self.questions.draws += 1;
        drawn
    }

    /// Monitored instances whose last heartbeats are missing.
    fn missing(&self, now: Micros) -> Vec<Incarnation> {
        let patience = self.cfg.period + self.cfg.period;
        let monitored = self.monitored.iter().filter_map(|id| self.peers.get(id));
        let is_missing = |peer: &&Peer| peer.is_up && peer.missing_for(now) > patience;
        let is_due = |peer: &&Peer| now - peer.last_asked_at >= self.cfg.period;
        monitored.filter(is_missing).filter(is_due).map(|peer| peer.member.incarnation).collect()
    }

    fn is_question_useful(&self, peer: &Peer, now: Micros) -> bool {
        peer.silence(now) > self.cfg.silent_after
    }

    /// Instances that are to be asked again, and a batch of those that a survey has not asked yet.
    fn open_and_surveyed(&mut self, now: Micros, is_survey: bool) -> Vec<Incarnation> {
        let mut batch = if is_survey { self.cfg.survey_batch } else { 0 };
        let mut due = Vec::new();
        self.questions.are_any_open = false;
        for (id, peer) in &self.peers {
            if !peer.is_up || self.monitored.contains(id) {
                continue;
            }
            if peer.asked_at.is_some() {
                self.questions.are_any_open = true;
                if now - peer.last_asked_at >= self.cfg.period {
                    due.push(*id);
                }
            } else if batch > 0 && self.is_question_useful(peer, now) {
                batch -= 1;
                due.push(*id);
            }
        }
        due
    }
}
