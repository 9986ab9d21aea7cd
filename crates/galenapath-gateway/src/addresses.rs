//! The answer to the question where to connect.

use crate::instance::Instance;
use galenapath_policy::dispatch::{AnswerConfig, Reachable, addresses_for};
use galenapath_protocol::Micros;
use std::net::SocketAddr;

/// Time after its first question for which an instance does not trust the rates that it knows: they
/// are counted for a second and told every half second.
const RATE_KNOWN_AFTER: Micros = Micros::from_secs(2);

/// Addresses for a caller in failure domain `domain`.
pub(crate) fn answer(instance: &Instance, domain: &str) -> Vec<SocketAddr> {
    let beats = instance.beats.borrow();
    let own = instance.member();
    let vitals = instance.vitals();
    let mut reachable: Vec<Reachable<'_>> = beats
        .peers()
        .filter(|peer| peer.is_usable())
        .map(|peer| Reachable {
            name: &peer.member.id.0,
            domain: &peer.member.domain.0,
            address: peer.member.callers,
            rate: peer.vitals.rate,
            capacity: peer.vitals.capacity,
        })
        .collect();
    if instance.is_ready() {
        reachable.push(Reachable {
            name: &own.id.0,
            domain: &own.domain.0,
            address: own.callers,
            rate: vitals.rate,
            capacity: vitals.capacity,
        });
    }
    let is_rate_known = instance.served_for() > RATE_KNOWN_AFTER;
    addresses_for(&AnswerConfig::default(), domain, &reachable, is_rate_known)
}
