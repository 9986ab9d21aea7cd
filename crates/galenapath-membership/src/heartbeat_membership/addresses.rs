//! Addresses of the instances that an update goes to.

use super::HeartbeatMembership;
use crate::Peer;
use std::net::SocketAddr;

impl HeartbeatMembership {
    /// Addresses of all others that are considered up, for urgent updates.
    pub fn reachable_addresses(&self) -> Vec<SocketAddr> {
        self.peers.values().filter(|peer| peer.is_up).map(|peer| peer.member.peer_address).collect()
    }

    /// Addresses of all others, including silent ones: an instance that considers this one down may
    /// itself be considered down here.
    pub fn all_addresses(&self) -> Vec<SocketAddr> {
        self.peers.values().map(|peer| peer.member.peer_address).collect()
    }

    /// Addresses of reachable instances that are in the own failure domain or serve callers, for
    /// updates that only these use.
    pub fn local_and_serving_addresses(&self) -> Vec<SocketAddr> {
        let is_recipient = |peer: &&Peer| {
            peer.is_up && (peer.member.domain == self.domain || peer.status.serves_callers)
        };
        self.peers.values().filter(is_recipient).map(|peer| peer.member.peer_address).collect()
    }

    /// Addresses of the reachable targets of heartbeats.
    pub fn target_addresses(&self) -> Vec<SocketAddr> {
        let targets = self.peers.iter().filter(|(id, p)| p.is_up && self.targets.contains(*id));
        targets.map(|(_, peer)| peer.member.peer_address).collect()
    }

    /// Whether an instance of the own failure domain has this address.
    pub fn is_local(&self, address: &SocketAddr) -> bool {
        self.local_addresses.contains(address)
    }
}
