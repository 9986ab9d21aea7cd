//! Decides which instances watch the platform's store for all.
//!
//! Load pattern: a store whose calls are counted and billed while the fleet grows, and outages that
//! affect some instances and not others. If every instance watched, the calls would grow with the
//! fleet; if only one did, its outage would affect all. Therefore a few instances watch, each in
//! another failure domain if possible, and an instance that the store does not answer becomes a
//! standby at once. The store may turn away a third of the instances, most of which find that only
//! when they are to watch: the more it has turned away lately, the more try at a time.

use crate::{InstanceStatus, Peer, StoreHealth};
use galenapath_protocol::{DomainId, Incarnation, hash64};

/// Number of instances that watch at a time: if one is cut off, the other continues.
pub const WATCHERS: usize = 2;

/// Upper limit on the instances that watch at a time while the store does not answer others.
const MAX_WATCHERS: usize = 8;

/// Seed of the order in which instances are selected to watch.
const ORDER_SEED: u64 = 0x0077_6174_6368;

/// How an instance currently uses the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchRole {
    /// Watches the store.
    Watch,
    /// Checks periodically whether the store answers again. The store answers no instance, and this
    /// one is among the first in the order.
    Retry,
    /// Leaves watching to other instances.
    Standby,
}

/// Fleet size from which on the first reads are left to few instances, regardless of their
/// capacity.
const MANY: usize = 32;

/// Whether an instance that has just started reads the state from the store itself.
///
/// Load pattern: all instances start at the same moment. An instance that reads the store itself
/// serves a little sooner, at the cost of one call for each page of fifty servers. It matters how
/// soon large instances serve, since callers are sent to them. A small instance gets the state from
/// a larger one that the store answers, and in a large fleet every instance gets it from another
/// that the store answers.
pub fn reads_store_at_start<'a>(
    own_capacity: u32,
    mut peers: impl Iterator<Item = &'a Peer>,
) -> bool {
    let mut known = 0;
    let mut is_answered = false;
    let has_larger = peers.any(|peer| {
        let answers = peer.is_up() && peer.status.store == StoreHealth::Answering;
        known += 1;
        is_answered |= answers;
        answers && peer.status.capacity > own_capacity
    });
    !(has_larger || (is_answered && known >= MANY))
}

struct Candidate<'a> {
    id: Incarnation,
    domain: &'a DomainId,
    is_failing: bool,
}

/// The role of the instance `own`.
pub fn watch_role<'a>(
    own: Incarnation,
    own_domain: &'a DomainId,
    own_status: &InstanceStatus,
    peers: impl Iterator<Item = &'a Peer>,
) -> WatchRole {
    let mut all: Vec<Candidate<'a>> = peers
        .filter(|peer| peer.is_up() && !peer.status.is_leaving)
        .map(|peer| Candidate {
            id: peer.member.incarnation,
            domain: &peer.member.domain,
            is_failing: peer.status.store == StoreHealth::Failing,
        })
        .collect();
    if !own_status.is_leaving {
        let is_failing = own_status.store == StoreHealth::Failing;
        all.push(Candidate { id: own, domain: own_domain, is_failing });
    }
    all.sort_by_key(|c| (c.is_failing, hash64(ORDER_SEED, &c.id.0.to_le_bytes())));
    let chosen = spread_over_domains(&all);
    let Some(me) = all.iter().position(|c| c.id == own) else { return WatchRole::Standby };
    match (chosen.contains(&me), all[me].is_failing) {
        (true, false) => WatchRole::Watch,
        (true, true) => WatchRole::Retry,
        (false, _) => WatchRole::Standby,
    }
}

/// Indexes of the selected candidates: the first ones, no two of one failure domain while the store
/// answers candidates in others. One more is selected for each that the store does not answer.
fn spread_over_domains(all: &[Candidate<'_>]) -> Vec<usize> {
    let failing = all.iter().filter(|candidate| candidate.is_failing).count();
    let count = (WATCHERS + failing).min(MAX_WATCHERS);
    let mut chosen: Vec<usize> = Vec::new();
    let is_apart = |chosen: &[usize], index: usize| {
        chosen.iter().all(|other| all[*other].domain != all[index].domain)
    };
    for (index, candidate) in all.iter().enumerate() {
        if chosen.len() < WATCHERS && !candidate.is_failing && is_apart(&chosen, index) {
            chosen.push(index);
        }
    }
    for (index, candidate) in all.iter().enumerate() {
        let limit = if candidate.is_failing { WATCHERS } else { count };
        if chosen.len() < limit && !chosen.contains(&index) {
            chosen.push(index);
        }
    }
    chosen
}
