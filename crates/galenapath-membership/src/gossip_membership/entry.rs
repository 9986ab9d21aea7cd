//! One member of the table.

use crate::{Member, MemberStatus};
use galenapath_protocol::Micros;

/// A member and what probes and reports say of it.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) member: Member,
    /// When the status last changed. For a gone member, when a peer last reported any other status.
    pub(super) since: Micros,
    /// Whether a live member missed its last probe and is to be probed a second time.
    pub(super) has_missed_probe: bool,
    /// When a leaving member first missed a probe since it last answered.
    pub(super) silent_since: Option<Micros>,
}

impl Entry {
    pub(super) const fn new(now: Micros, member: Member) -> Self {
        Self { member, since: now, has_missed_probe: false, silent_since: None }
    }

    /// Extends the life of a tombstone when a peer still reports the member as present.
    pub(super) fn extend_tombstone(&mut self, now: Micros) {
        if self.member.status == MemberStatus::Gone {
            self.since = now;
        }
    }

    /// Since when the member has been failing to answer.
    pub(super) fn unresponsive_since(&self) -> Option<Micros> {
        match self.member.status {
            MemberStatus::Suspect => Some(self.since),
            MemberStatus::Leaving => self.silent_since,
            MemberStatus::Live | MemberStatus::Gone => None,
        }
    }
}
