//! How much this instance and the others serve, and what part of what they share falls to it.

use crate::instance::Instance;
use galenapath_membership::Peer;
use galenapath_policy::measure::{QueryShares, ServedRates};
use galenapath_protocol::{DomainId, FastSet};

/// Requests a second that one core takes with ease. A request with its question to the server takes
/// 0.3 ms, so that this is a third of the processor: bursts and probes need the rest, and every
/// instance more that serves knows less of what the others send.
const REQUESTS_PER_CORE: f64 = 1_000.0;

/// Requests a second that a link of 1 Mbit/s takes with ease. A request and its answer have about 10 KB
/// together, of which most come from a few large answers in bunches; the rest of the link is for these.
const REQUESTS_PER_MBIT: f64 = 6.0;

/// Requests a second from which an instance counts as one that serves callers. Each of these is told
/// what the others see of the servers, twenty datagrams a second from each: for a few stray requests
/// that costs more than it brings.
const LEAST_SERVING_RATE: u32 = 4;

/// Part of the rate of the busiest instance of its failure domain, one in so many, that an instance has to
/// reach to count as one that serves callers. Operators and stray callers reach all instances: one that
/// passed four a second by chance would take over probes, whose connections are then opened again.
const SERVING_PART: u32 = 10;

impl Instance {
    /// Requests a second that it can take with ease.
    pub(crate) fn capacity(&self) -> u32 {
        let settings = self.settings();
        let by_processor = settings.cores * REQUESTS_PER_CORE;
        let by_link = settings.link_mbps * REQUESTS_PER_MBIT;
        by_processor.min(by_link) as u32
    }

    /// Whether `rate` requests a second make this instance one that serves callers.
    pub(crate) fn is_serving_rate(&self, rate: u32) -> bool {
        rate >= LEAST_SERVING_RATE && rate >= self.busiest_at_home() / SERVING_PART
    }

    /// Requests a second of the instance of the own failure domain that serves most.
    fn busiest_at_home(&self) -> u32 {
        let domain = &self.settings().domain;
        let beats = self.beats.borrow();
        let at_home = beats.peers().filter(|p| p.is_up() && p.member.domain == *domain);
        at_home.map(|peer| peer.vitals.rate).max().unwrap_or(0)
    }

    /// Which part of the questions to the servers this instance may ask.
    pub(crate) fn ask_shares(&self) -> QueryShares {
        let domain = self.settings().domain.clone();
        let vitals = self.vitals();
        let beats = self.beats.borrow();
        let others = || beats.peers().filter(|peer| peer.is_up());
        let mut domains: FastSet<&DomainId> = others().map(|peer| &peer.member.domain).collect();
        domains.insert(&domain);
        let at_home = others().filter(|peer| peer.member.domain == domain);
        QueryShares::from_rates(&ServedRates {
            own: vitals.serves_callers.then_some(vitals.rate),
            others_in_domain: serving(at_home).map(|peer| peer.vitals.rate).sum(),
            domains: u32::try_from(domains.len()).unwrap_or(u32::MAX),
        })
    }

    /// Part of all requests that callers send to this instance, from 0 to 1; never zero.
    pub(crate) fn load_share(&self) -> f32 {
        let beats = self.beats.borrow();
        let others = serving(beats.peers().filter(|peer| peer.is_up()));
        let others: u32 = others.map(|peer| peer.vitals.rate).sum();
        let own = self.rate.get().per_second(self.now()).max(1);
        own as f32 / own.saturating_add(others) as f32
    }
}

/// Those that serve callers.
fn serving<'a>(peers: impl Iterator<Item = &'a Peer>) -> impl Iterator<Item = &'a Peer> {
    peers.filter(|peer| peer.vitals.serves_callers)
}
