//! Selects the instance that a request is forwarded to.

use crate::call::Call;
use crate::instance::Instance;
use galenapath_membership::Peer;
use galenapath_protocol::{FastMap, Incarnation};
use rand::seq::SliceRandom;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

/// Time that a request is assumed to stay at an instance when its load is compared by requests per
/// second and requests in flight.
const ASSUMED_STAY_S: f64 = 0.2;

/// Load, as a fraction of its capacity, up to which an instance of the own failure domain is
/// preferred to others. Traffic between domains is billed.
const LOCAL_UP_TO: f64 = 0.5;

/// Lower bound on the requests that may be forwarded to one instance at a time.
const MIN_IN_FLIGHT: u32 = 16;

/// Requests that this instance has forwarded and that are not answered yet, by instance.
#[derive(Debug, Default)]
pub(crate) struct ForwardCounts(RefCell<FastMap<Incarnation, u32>>);

impl ForwardCounts {
    fn get(&self, id: Incarnation) -> u32 {
        self.0.borrow().get(&id).copied().unwrap_or(0)
    }
}

/// An instance that a request is forwarded to. The request counts there until this is dropped.
pub(crate) struct ForwardTarget {
    instance: Rc<Instance>,
    pub(crate) id: Incarnation,
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
}

impl Drop for ForwardTarget {
    fn drop(&mut self) {
        let mut counts = self.instance.forwards.0.borrow_mut();
        if let Some(count) = counts.get_mut(&self.id) {
            *count = count.saturating_sub(1);
        }
        counts.retain(|_, count| *count > 0);
    }
}

/// A possible target and its load as a fraction of its capacity, of which only the part counts that
/// the servers within its reach allow.
struct Candidate<'a> {
    peer: &'a Peer,
    load: f64,
}

/// Selects one of the instances that are known to reach servers of the request's service: the less
/// loaded one of two, so that the callers of several instances without paths do not all meet at one.
pub(super) fn select(call: &Call) -> Option<ForwardTarget> {
    let instance = &call.instance;
    let membership = instance.membership.borrow();
    let mut candidates = candidates(call, membership.peers());
    let is_local = |c: &Candidate<'_>| c.peer.member.domain == *membership.domain();
    if candidates.iter().any(|c| is_local(c) && c.load < LOCAL_UP_TO) {
        candidates.retain(is_local);
    }
    let two = candidates.partial_shuffle(&mut rand::rng(), 2).0;
    let Candidate { peer, .. } = two.iter().min_by(|a, b| a.load.total_cmp(&b.load))?;
    let id = peer.member.incarnation;
    *instance.forwards.0.borrow_mut().entry(id).or_default() += 1;
    Some(ForwardTarget {
        instance: Rc::clone(instance),
        id,
        name: peer.member.id.0.clone(),
        address: peer.member.peer_address,
    })
}

fn candidates<'a>(call: &Call, peers: impl Iterator<Item = &'a Peer>) -> Vec<Candidate<'a>> {
    let instance = &call.instance;
    let version = instance.state.borrow().table().version();
    let helpers: FastMap<Incarnation, f64> =
        call.service.contacts.borrow().helpers(instance.now()).collect();
    let is_candidate = |peer: &&Peer| {
        let id = peer.member.incarnation;
        peer.is_usable()
            // An older configuration may not have the route, or another service for it.
            && peer.status.config_version >= version
            && !call.forwarded_to.borrow().contains(&id)
            && instance.forwards.get(id) < peer.status.capacity.max(MIN_IN_FLIGHT)
    };
    let candidate = |peer: &'a Peer| {
        let part = *helpers.get(&peer.member.incarnation)?;
        let in_flight = f64::from(instance.forwards.get(peer.member.incarnation));
        let stay = f64::from(peer.status.rate) * ASSUMED_STAY_S;
        let capacity = f64::from(peer.status.capacity.max(1)) * ASSUMED_STAY_S * part;
        Some(Candidate { peer, load: (stay + in_flight) / capacity })
    };
    peers.filter(is_candidate).filter_map(candidate).collect()
}
