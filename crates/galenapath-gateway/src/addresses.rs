//! Selects the instance addresses for a caller that asks where to connect.

use crate::instance::Instance;
use galenapath_membership::{InstanceStatus, Member, Peer};
use galenapath_policy::dispatch::{AddressConfig, ReachableInstance, addresses_for};
use galenapath_protocol::{DomainId, Micros};
use std::net::SocketAddr;

/// Time after the first address request during which request rates are not used: instances count
/// them over one second and report them every half second.
const RATE_SETTLING_TIME: Micros = Micros::from_secs(2);

/// Returns the addresses for a caller in failure domain `domain`.
pub(crate) fn addresses_for_caller(instance: &Instance, domain: &str) -> Vec<SocketAddr> {
    let membership = instance.membership.borrow();
    let (own, status) = (instance.member(), instance.status());
    let seeds = &instance.settings().listen.seeds;
    let reachable = |member, status| reachable(member, status, seeds);
    let usable = membership.peers().filter(|peer| peer.is_usable());
    let mut all: Vec<ReachableInstance<'_>> =
        usable.map(|peer| reachable(&peer.member, &peer.status)).collect();
    if instance.is_ready() {
        all.push(reachable(&own, &status));
    }
    exclude_evacuated(instance, &mut all);
    let load = recent_load(instance, domain);
    addresses_for(&AddressConfig::default(), domain, &all, load)
}

/// Excludes instances in evacuated failure domains if any others are available, because all
/// traffic of the excluded ones crosses domains.
fn exclude_evacuated(instance: &Instance, all: &mut Vec<ReachableInstance<'_>>) {
    let state = instance.state.borrow();
    let is_evacuated = |at: &ReachableInstance<'_>| {
        state.evacuations.in_force().any(|domain| &*domain.0 == at.domain)
    };
    if all.iter().any(|at| !is_evacuated(at)) {
        all.retain(|at| !is_evacuated(at));
    }
}

fn reachable<'a>(
    member: &'a Member,
    status: &InstanceStatus,
    seeds: &[SocketAddr],
) -> ReachableInstance<'a> {
    ReachableInstance {
        name: &member.id.0,
        domain: &member.domain.0,
        address: member.caller_address,
        rate: status.rate,
        capacity: status.capacity,
        is_cut_off: status.is_cut_off,
        is_seed: seeds.iter().any(|seed| seed.ip() == member.peer_address.ip()),
    }
}

/// Requests per second sent by callers in `domain`, including those to instances that are shutting
/// down; `None` until rates are known.
fn recent_load(instance: &Instance, domain: &str) -> Option<u32> {
    if instance.since_first_address_request() <= RATE_SETTLING_TIME {
        return None;
    }
    let membership = instance.membership.borrow();
    let is_in_domain = |peer: &&Peer| peer.is_up() && &*peer.member.domain.0 == domain;
    let others: u32 = membership.peers().filter(is_in_domain).map(|peer| peer.status.rate).sum();
    let is_own = &*instance.settings().domain.0 == domain;
    let own = if is_own { instance.status().rate } else { 0 };
    let (now, key) = (instance.now(), DomainId(domain.into()));
    let mut loads = instance.recent_loads.borrow_mut();
    let before = loads.get(&key).copied().unwrap_or_default();
    let load = before.with_sample(now, others.saturating_add(own));
    // Callers may name any domain; domains without load are not stored.
    if load.get(now) > 0 {
        loads.insert(key, load);
    }
    Some(load.get(now))
}
