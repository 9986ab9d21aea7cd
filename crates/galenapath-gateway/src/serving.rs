//! Request rates of this instance and the others, and the shares of common budgets that follow from
//! them.

use crate::instance::Instance;
use galenapath_membership::Peer;
use galenapath_policy::measure::{QueryShares, ServedRates};
use galenapath_protocol::{DomainId, FastSet};

/// Requests a second that one core handles without queueing. A request with its load query takes
/// 0.3 ms, so this is a third of the processor; bursts and probes need the rest. It is not set
/// lower because that spreads callers over more instances, each of which then knows less of what
/// the others send.
const REQUESTS_PER_CORE: f64 = 1_000.0;

/// Requests a second that a link of 1 Mbit/s carries without queueing. A request and its answer
/// have about 10 KB together, most of it from a few large answers that arrive in bursts; the rest
/// of the link is reserved for these.
const REQUESTS_PER_MBIT: f64 = 6.0;

/// Minimum requests a second for an instance to count as serving callers. Each such instance
/// receives load observations at twenty datagrams a second from each of the others, which costs
/// more than it gains for a few stray requests.
const MIN_SERVING_RATE: u32 = 4;

/// An instance counts as serving callers only if its rate is at least this fraction (one in this
/// many) of the busiest instance's in its failure domain. Operators and stray callers reach all
/// instances: one that exceeded four requests a second by chance would take over probes, whose
/// connections then have to be opened again.
const BUSIEST_RATE_DIVISOR: u32 = 10;

impl Instance {
    /// Requests a second that this instance can handle without queueing.
    pub(crate) fn capacity(&self) -> u32 {
        let settings = self.settings();
        let by_processor = settings.cores * REQUESTS_PER_CORE;
        let by_link = settings.link_mbps * REQUESTS_PER_MBIT;
        by_processor.min(by_link) as u32
    }

    /// Whether an instance with `rate` requests a second counts as serving callers.
    pub(crate) fn is_serving_rate(&self, rate: u32) -> bool {
        rate >= MIN_SERVING_RATE && rate >= self.busiest_rate_in_domain() / BUSIEST_RATE_DIVISOR
    }

    /// The highest request rate of another instance in this instance's failure domain.
    fn busiest_rate_in_domain(&self) -> u32 {
        let domain = &self.settings().domain;
        let membership = self.membership.borrow();
        let in_domain = membership.peers().filter(|p| p.is_up() && p.member.domain == *domain);
        in_domain.map(|peer| peer.status.rate).max().unwrap_or(0)
    }

    /// The shares of the load queries to servers that this instance may send.
    pub(crate) fn query_shares(&self) -> QueryShares {
        let domain = self.settings().domain.clone();
        let status = self.status();
        let membership = self.membership.borrow();
        let others = || membership.peers().filter(|peer| peer.is_up());
        let mut domains: FastSet<&DomainId> = others().map(|peer| &peer.member.domain).collect();
        domains.insert(&domain);
        let in_domain = others().filter(|peer| peer.member.domain == domain);
        QueryShares::from_rates(&ServedRates {
            own: status.serves_callers.then_some(status.rate),
            others_in_domain: serving(in_domain).map(|peer| peer.status.rate).sum(),
            domains: u32::try_from(domains.len()).unwrap_or(u32::MAX),
        })
    }

    /// The fraction of all requests from callers that arrive at this instance, from 0 to 1; never
    /// zero.
    pub(crate) fn load_share(&self) -> f32 {
        let membership = self.membership.borrow();
        let others = serving(membership.peers().filter(|peer| peer.is_up()));
        let others: u32 = others.map(|peer| peer.status.rate).sum();
        let own = self.rate.get().per_second(self.now()).max(1);
        own as f32 / own.saturating_add(others) as f32
    }
}

/// Filters the peers that serve callers.
fn serving<'a>(peers: impl Iterator<Item = &'a Peer>) -> impl Iterator<Item = &'a Peer> {
    peers.filter(|peer| peer.status.serves_callers)
}
