//! One entry instance as its peers know it.

use galenapath_protocol::{DomainId, Incarnation, InstanceId};
use std::net::SocketAddr;

/// Status of a member. A later variant overrides an earlier one at the same status version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberStatus {
    /// Answers probes, or has not missed two in a row.
    Live,
    /// Missed its probes; still used until the suspicion timeout.
    Suspect,
    /// Finishes its running requests and accepts no new ones.
    Leaving,
    /// Stopped, or silent for longer than the suspicion timeout.
    Gone,
}

/// One incarnation of an entry instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    /// Name from the instance's settings.
    pub id: InstanceId,
    /// Incarnation of the instance; the identity of the member.
    pub incarnation: Incarnation,
    /// Failure domain of the instance.
    pub domain: DomainId,
    /// Address for requests from callers.
    pub caller_address: SocketAddr,
    /// Address for messages from peers.
    pub peer_address: SocketAddr,
    /// Raised by the member whenever it refutes or changes the status that others know. Only the
    /// member raises it, so an entry with a higher version is newer.
    pub status_version: u64,
    /// Status at that version.
    pub status: MemberStatus,
}

impl Member {
    /// Whether `self` is a newer entry than `other` about the same incarnation.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        (self.status_version, self.status) > (other.status_version, other.status)
    }

    /// Whether requests may be sent to the member.
    pub fn is_usable(&self) -> bool {
        matches!(self.status, MemberStatus::Live | MemberStatus::Suspect)
    }
}
