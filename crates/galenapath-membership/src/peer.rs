//! Another instance as one knows it.

use crate::{Member, MemberStatus, Vitals};
use galenapath_protocol::{FastMap, Incarnation, Micros};

/// A change of what is believed of another instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Belief {
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
pub enum Learned {
    /// It is new.
    News,
    /// It is known.
    Known,
    /// It is known and taken for gone: whoever tells of it knows better, or does not know it yet.
    Doubted,
}

/// Another instance.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Who it is.
    pub member: Member,
    /// What it last told.
    pub vitals: Vitals,
    pub(crate) heard_at: Micros,
    pub(crate) sent_at: Micros,
    pub(crate) is_up: bool,
    /// Whether it was taken for gone and has not been heard since.
    pub(crate) is_missed: bool,
    /// Since when each of its heartbeats has told of other instances than this one believes in.
    pub(crate) differs_since: Option<Micros>,
    /// Who finds it silent, and since when.
    pub(crate) accusers: FastMap<Incarnation, Micros>,
}

impl Peer {
    /// An instance that has just been heard of.
    pub(crate) fn new(now: Micros, member: Member) -> Self {
        Self {
            vitals: Vitals::default(),
            heard_at: now,
            sent_at: Micros::ZERO,
            is_up: member.status != MemberStatus::Gone,
            is_missed: false,
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
    pub(crate) fn heard(&mut self, now: Micros) {
        self.heard_at = now;
        self.accusers.clear();
        self.is_missed = false;
    }

    /// Whether callers may be sent to it.
    pub fn is_usable(&self) -> bool {
        self.is_up && self.vitals.is_ready && !self.vitals.is_leaving
    }
}
