//! Versions of the configuration that the peers last reported.

use super::plane::ControlPlane;
use galenapath_config::Version;
use galenapath_protocol::{Incarnation, Micros};

/// The version that a peer last reported.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerVersion {
    pub(super) version: Version,
    pub(super) reported_at: Micros,
}

impl ControlPlane {
    /// Records the version that a peer reported, and removes peers that are no longer known.
    pub(super) fn record_peer_version(&self, peer: Incarnation, version: Version) {
        let reported = PeerVersion { version, reported_at: self.now() };
        let mut versions = self.peer_versions.borrow_mut();
        versions.insert(peer, reported);
        let members = self.members.borrow();
        versions.retain(|incarnation, _| members.find(*incarnation).is_some());
    }

    /// Returns the version that a peer last reported.
    pub(super) fn peer_version(&self, peer: Incarnation) -> Option<Version> {
        self.peer_versions.borrow().get(&peer).map(|reported| reported.version)
    }
}
