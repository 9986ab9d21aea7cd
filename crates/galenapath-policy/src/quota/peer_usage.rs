//! What peers have reported of their use of a quota.

use galenapath_protocol::{FastMap, Incarnation, Micros};

/// Time for which the sum that a peer reported is kept. A later report of it counts as its first.
const PEER_RETENTION: Micros = Micros::from_secs(60);

/// Time after a peer's report for which this instance is not cut off: some report periods.
pub(super) const RECENT_REPORT: Micros = Micros::from_millis(300);

/// Requests per second from which on a peer has something to report in [`RECENT_REPORT`].
const STEADY_DEMAND: f64 = 20.0;

/// Time without a report after which a peer's demand no longer counts. Longer than the
/// time between two reports of an instance whose requests are all refused.
pub(super) const DEMAND_EXPIRY: Micros = Micros::from_millis(1_200);

/// What one peer has reported.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerUsage {
    pub(super) used: i64,
    pub(super) demand: f64,
    pub(super) received_at: Micros,
    /// Whether the peer took the quota to be contended, and so reported to all.
    pub(super) is_contended: bool,
}

/// What peers have reported.
#[derive(Clone, Debug, Default)]
pub(super) struct PeerUsages(FastMap<Incarnation, PeerUsage>);

impl PeerUsages {
    /// Forgets what was reported long ago.
    pub(super) fn prune(&mut self, now: Micros) {
        self.0.retain(|_, peer| now - peer.received_at < PEER_RETENTION);
    }

    /// Records a report; returns the one before.
    pub(super) fn insert(&mut self, from: Incarnation, usage: PeerUsage) -> Option<PeerUsage> {
        self.0.insert(from, usage)
    }

    /// Forgets a peer.
    pub(super) fn remove(&mut self, peer: Incarnation) {
        self.0.remove(&peer);
    }

    /// Demand of the peers that have reported lately, in requests per second.
    pub(super) fn demand(&self, now: Micros) -> f64 {
        let is_recent = |peer: &&PeerUsage| now - peer.received_at < DEMAND_EXPIRY;
        self.0.values().filter(is_recent).map(|peer| peer.demand).sum()
    }

    /// Whether a peer has reported lately, so that this instance is not cut off.
    pub(super) fn has_recent_report(&self, now: Micros) -> bool {
        self.0.values().any(|peer| now - peer.received_at < RECENT_REPORT)
    }

    /// Part of the demand, `own` here, at this instance and at peers that still report. While the quota is
    /// contended, a peer with many requests reports all the time; one that has stopped may be cut
    /// off and grant its part, for longer than others need to find it silent.
    pub(super) fn reporting_part(&self, now: Micros, own: f64) -> f64 {
        let (mut reporting, mut all) = (own, own);
        for peer in self.0.values() {
            let silence = now - peer.received_at;
            if silence < DEMAND_EXPIRY {
                all += peer.demand;
                let reports = silence < RECENT_REPORT || peer.demand < STEADY_DEMAND;
                reporting += if reports { peer.demand } else { 0.0 };
            }
        }
        if all > 0.0 { reporting / all } else { 1.0 }
    }
}
