//! Another instance as one knows it.

use crate::{InstanceStatus, Member, MemberStatus};
use galenapath_protocol::{FastMap, Incarnation, Micros};

/// A change of what is believed of another instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReachabilityChange {
    /// The instance.
    pub member: Member,
    /// Whether it is believed to answer now.
    pub is_up: bool,
    /// Silence that led to it.
    pub silence: Micros,
    /// Whether this instance found that itself and the others have to be told.
    pub is_own: bool,
}

/// What learning of an instance says about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LearnOutcome {
    /// It is new.
    New,
    /// It is known.
    Known,
    /// It is known and taken for gone: whoever tells of it knows better, or does not know it yet.
    KnownDown,
}

/// Another instance.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Who it is.
    pub member: Member,
    /// What it last told.
    pub status: InstanceStatus,
    pub(crate) last_heard_at: Micros,
    pub(crate) last_sent_at: Micros,
    pub(crate) is_up: bool,
    /// Whether it was taken for gone and has not been heard since.
    pub(crate) awaits_contact: bool,
    /// Since when each of its heartbeats has told of other instances than this one believes in.
    pub(crate) differs_since: Option<Micros>,
    /// Who finds it silent, and since when.
    pub(crate) accusers: FastMap<Incarnation, Micros>,
}

impl Peer {
    /// An instance that has just been heard of.
    pub(crate) fn new(now: Micros, member: Member) -> Self {
        Self {
            status: InstanceStatus::default(),
            last_heard_at: now,
            last_sent_at: Micros::ZERO,
            is_up: member.status != MemberStatus::Gone,
            awaits_contact: false,
            differs_since: None,
            accusers: FastMap::default(),
            member,
        }
    }

    /// Whether it is believed to answer.
    pub fn is_up(&self) -> bool {
        self.is_up
    }

    /// It has been heard itself.
    pub(crate) fn record_contact(&mut self, now: Micros) {
        self.last_heard_at = now;
        self.accusers.clear();
        self.awaits_contact = false;
    }

    /// Whether callers may be sent to it.
    pub fn is_usable(&self) -> bool {
        self.is_up && self.status.is_ready && !self.status.is_leaving
    }
}
