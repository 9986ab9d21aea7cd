//! One entry instance as its peers know it.

use galenapath_protocol::{DomainId, Incarnation, InstanceId};
use std::net::SocketAddr;

/// What is known of a member, from the least to the most final.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberStatus {
    /// Answers probes, or was never found wanting.
    Live,
    /// Missed a probe; still used until the suspicion ends.
    Suspect,
    /// Finishes what it has and takes nothing new.
    Leaving,
    /// Stopped, or silent for longer than the suspicion.
    Gone,
}

/// One incarnation of an entry instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    /// Name from its settings.
    pub id: InstanceId,
    /// This run of it; the identity of the member.
    pub incarnation: Incarnation,
    /// Failure domain.
    pub domain: DomainId,
    /// Address for callers' requests.
    pub callers: SocketAddr,
    /// Address for peers.
    pub peers: SocketAddr,
    /// Counts up whenever the member itself speaks against what is said of it. Only the member
    /// raises it, so news with a higher beat is newer.
    pub beat: u64,
    /// Status at that beat.
    pub status: MemberStatus,
}

impl Member {
    /// Whether `self` says something newer than `other` about the same incarnation.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        (self.beat, self.status) > (other.beat, other.status)
    }

    /// Whether requests may be sent to the member.
    pub fn is_usable(&self) -> bool {
        matches!(self.status, MemberStatus::Live | MemberStatus::Suspect)
    }
}
