//! The answer to the question where to connect.

use crate::instance::Instance;
use galenapath_membership::{InstanceStatus, Member, Peer};
use galenapath_policy::dispatch::{AnswerConfig, Reachable, addresses_for};
use galenapath_protocol::{DomainId, Micros};
use std::net::SocketAddr;

/// Time after its first question for which an instance does not trust the rates that it knows: they
/// are counted for a second and told every half second.
const RATE_KNOWN_AFTER: Micros = Micros::from_secs(2);

/// Addresses for a caller in failure domain `domain`.
pub(crate) fn answer(instance: &Instance, domain: &str) -> Vec<SocketAddr> {
    let beats = instance.membership.borrow();
    let (own, status) = (instance.member(), instance.status());
    let seeds = &instance.settings().listen.seeds;
    let reachable = |member, status| reachable(member, status, seeds);
    let usable = beats.peers().filter(|peer| peer.is_usable());
    let mut all: Vec<Reachable<'_>> =
        usable.map(|peer| reachable(&peer.member, &peer.status)).collect();
    if instance.is_ready() {
        all.push(reachable(&own, &status));
    }
    leave_out_evacuated(instance, &mut all);
    let load = recent_load(instance, domain);
    addresses_for(&AnswerConfig::default(), domain, &all, load)
}

/// Leaves out the instances of evacuated failure domains, where there are others: whatever they send and get
/// crosses between domains.
fn leave_out_evacuated(instance: &Instance, all: &mut Vec<Reachable<'_>>) {
    let state = instance.state.borrow();
    let is_evacuated =
        |at: &Reachable<'_>| state.evacuations.in_force().any(|domain| &*domain.0 == at.domain);
    if all.iter().any(|at| !is_evacuated(at)) {
        all.retain(|at| !is_evacuated(at));
    }
}

fn reachable<'a>(
    member: &'a Member,
    status: &InstanceStatus,
    seeds: &[SocketAddr],
) -> Reachable<'a> {
    Reachable {
        name: &member.id.0,
        domain: &member.domain.0,
        address: member.caller_address,
        rate: status.rate,
        capacity: status.capacity,
        is_seed: seeds.iter().any(|seed| seed.ip() == member.peer_address.ip()),
    }
}

/// Requests a second that callers of `domain` send, also to instances that are about to stop; `None` while
/// rates are not known.
fn recent_load(instance: &Instance, domain: &str) -> Option<u32> {
    if instance.since_first_address_request() <= RATE_KNOWN_AFTER {
        return None;
    }
    let beats = instance.membership.borrow();
    let is_there = |peer: &&Peer| peer.is_up() && &*peer.member.domain.0 == domain;
    let others: u32 = beats.peers().filter(is_there).map(|peer| peer.status.rate).sum();
    let is_own = &*instance.settings().domain.0 == domain;
    let own = if is_own { instance.status().rate } else { 0 };
    let (now, key) = (instance.now(), DomainId(domain.into()));
    let mut loads = instance.recent_loads.borrow_mut();
    let before = loads.get(&key).copied().unwrap_or_default();
    let load = before.with(now, others.saturating_add(own));
    // A caller may name any domain; those without instances need no memory.
    if load.get(now) > 0 {
        loads.insert(key, load);
    }
    Some(load.get(now))
}
