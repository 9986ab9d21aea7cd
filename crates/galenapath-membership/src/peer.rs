//! Another instance as one knows it from heartbeats.

use crate::{InstanceStatus, Member, MemberStatus};
use galenapath_protocol::{FastMap, Incarnation, Micros};

/// A change of whether another instance is considered up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReachabilityChange {
    /// The instance.
    pub member: Member,
    /// Whether it is considered up now.
    pub is_up: bool,
    /// How long it had been silent.
    pub silence: Micros,
    /// Whether this instance detected the change itself, so that it has to be reported to the
    /// others.
    pub is_detected_here: bool,
}

/// Result of learning about an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LearnOutcome {
    /// It was unknown.
    New,
    /// It is known and considered up.
    Known,
    /// It is known and considered down. The sender of the information has newer information or has
    /// not learned of the failure yet.
    KnownDown,
}

/// Another instance.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Identity and addresses.
    pub member: Member,
    /// Status that it last reported.
    pub status: InstanceStatus,
    /// Whether it has reported its status itself.
    pub(crate) has_reported: bool,
    pub(crate) last_contact_at: Micros,
    /// Since when it is to send heartbeats to this instance, if it is monitored.
    pub(crate) expected_since: Micros,
    /// When it was first asked for a heartbeat, if it has sent nothing since.
    pub(crate) asked_at: Option<Micros>,
    pub(crate) last_asked_at: Micros,
    /// Whether it was found down because it did not answer this instance.
    pub(crate) is_unanswered: bool,
    pub(crate) last_sent_at: Micros,
    pub(crate) is_up: bool,
    /// When it was last found down; zero before that.
    pub(crate) down_at: Micros,
    /// Whether it is considered down and no message from it has arrived since.
    pub(crate) awaits_contact: bool,
    /// Since when each of its heartbeats has had another digest than this instance.
    pub(crate) differs_since: Option<Micros>,
    /// Instances that report it as silent, with the time of their last report.
    pub(crate) accusers: FastMap<Incarnation, Micros>,
}

impl Peer {
    /// Creates the entry of an instance that has just become known.
    pub(crate) fn new(now: Micros, member: Member) -> Self {
        Self {
            status: InstanceStatus::default(),
            has_reported: false,
            last_contact_at: now,
            expected_since: now,
            asked_at: None,
            last_asked_at: Micros::ZERO,
            is_unanswered: false,
            last_sent_at: Micros::ZERO,
            is_up: member.status != MemberStatus::Gone,
            down_at: Micros::ZERO,
            awaits_contact: false,
            differs_since: None,
            accusers: FastMap::default(),
            member,
        }
    }

    /// Whether it is considered up.
    pub fn is_up(&self) -> bool {
        self.is_up
    }

    /// Whether it was found down less than `span` ago and has not been heard since.
    pub fn is_down_since_less_than(&self, now: Micros, span: Micros) -> bool {
        !self.is_up && now - self.down_at < span
    }

    /// Records a message from the instance itself.
    pub(crate) fn record_contact(&mut self, now: Micros) {
        self.last_contact_at = now;
        self.asked_at = None;
        self.is_unanswered = false;
        self.accusers.clear();
        self.awaits_contact = false;
    }

    /// For how long nothing has arrived from it.
    pub(crate) fn silence(&self, now: Micros) -> Micros {
        now - self.last_contact_at
    }

    /// For how long no heartbeat has arrived, of one that is to send them to this instance.
    pub(crate) fn missing_for(&self, now: Micros) -> Micros {
        now - self.last_contact_at.max(self.expected_since)
    }

    /// Records that it is asked for a heartbeat.
    pub(crate) fn record_question(&mut self, now: Micros) {
        self.asked_at.get_or_insert(now);
        self.last_asked_at = now;
    }

    /// Whether it has answered no question for `span`.
    pub(crate) fn has_not_answered_for(&self, now: Micros, span: Micros) -> bool {
        self.asked_at.is_some_and(|at| now - at > span)
    }

    /// Records whether it is considered up.
    pub(crate) fn set_up(&mut self, now: Micros, is_up: bool) {
        self.is_up = is_up;
        self.awaits_contact = !is_up;
        if !is_up {
            self.down_at = now;
        }
    }

    /// Whether it may be given to callers.
    pub fn is_usable(&self) -> bool {
        self.is_up && self.status.is_ready && !self.status.is_leaving
    }
}
