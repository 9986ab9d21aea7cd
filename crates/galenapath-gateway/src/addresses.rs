//! The answer to the question where to connect.

use crate::instance::Instance;
use galenapath_policy::dispatch::{AnswerConfig, Reachable, addresses_for};
use std::net::SocketAddr;

/// Addresses for a caller in failure domain `domain`.
pub(crate) fn answer(instance: &Instance, domain: &str) -> Vec<SocketAddr> {
    let beats = instance.beats.borrow();
    let own = instance.member();
    let mut reachable: Vec<Reachable<'_>> = beats
        .peers()
        .filter(|peer| peer.is_usable())
        .map(|peer| Reachable {
            name: &peer.member.id.0,
            domain: &peer.member.domain.0,
            address: peer.member.callers,
        })
        .collect();
    if instance.is_ready() {
        reachable.push(Reachable { name: &own.id.0, domain: &own.domain.0, address: own.callers });
    }
    addresses_for(&AnswerConfig::default(), domain, &reachable)
}
