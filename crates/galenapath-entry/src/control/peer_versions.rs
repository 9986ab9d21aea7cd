//! Versions of the configuration that peers last told.

use super::plane::ControlPlane;
use galenapath_config::Version;
use galenapath_protocol::{Incarnation, Micros};

/// What a peer last told.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerVersion {
    pub(super) version: Version,
    pub(super) at: Micros,
}

impl ControlPlane {
    /// Notes what a peer told, and forgets peers that are no longer known.
    pub(super) fn note_peer_version(&self, peer: Incarnation, version: Version) {
        let told = PeerVersion { version, at: self.now() };
        let mut versions = self.peer_versions.borrow_mut();
        versions.insert(peer, told);
        let members = self.members.borrow();
        versions.retain(|incarnation, _| members.find(*incarnation).is_some());
    }

    /// The version that a peer last told.
    pub(super) fn peer_version(&self, peer: Incarnation) -> Option<Version> {
        self.peer_versions.borrow().get(&peer).map(|told| told.version)
    }
}
