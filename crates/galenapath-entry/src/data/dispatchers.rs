//! The instances that dispatch for a service, and this instance's connection share.

use crate::shared::MemberView;
use galenapath_membership::Member;
use galenapath_policy::dispatch::{
    ConnectionSplit, CountConfig, DispatcherCount, Instance, RateEstimate, SettlingShare,
    dispatchers,
};
use galenapath_protocol::{DomainId, FastSet, Incarnation, Micros};

/// Split of the connections that a backend server accepts from all instances together.
const CONNECTION_SPLIT: ConnectionSplit = ConnectionSplit { limit: 240 };

/// Maximum time for which the views of two instances differ: the lag of the platform's list, and
/// the time for gossip.
const SETTLE_TIME: Micros = Micros::from_secs(10);

/// The dispatching instances of one service, as known to this instance.
pub(super) struct Dispatchers {
    count: DispatcherCount,
    share: SettlingShare,
    /// Dispatching instances, in order of preference.
    chosen: Vec<Member>,
    rate: RateEstimate,
}

impl Dispatchers {
    pub(super) fn new() -> Self {
        Self {
            count: DispatcherCount::default(),
            share: SettlingShare::new(SETTLE_TIME, CONNECTION_SPLIT.initial_share()),
            chosen: Vec::new(),
            rate: RateEstimate::default(),
        }
    }

    /// Returns the dispatching instances, in order of preference.
    pub(super) fn chosen(&self) -> &[Member] {
        &self.chosen
    }

    /// Counts a request.
    pub(super) fn count_request(&mut self) {
        self.rate.count();
    }

    /// Applies a view of the instances. `elapsed` is the period in which the counted requests
    /// arrived. If it is zero, the last estimate of the rate holds.
    pub(super) fn update(
        &mut self,
        now: Micros,
        service: &str,
        own: Incarnation,
        view: &MemberView,
        elapsed: Micros,
    ) {
        let instances: Vec<Instance> = view
            .usable
            .iter()
            .map(|m| Instance { id: m.id.clone(), domain: m.domain.clone() })
            .collect();
        let domains: FastSet<&DomainId> = view.usable.iter().map(|m| &m.domain).collect();
        // Only a dispatching instance sees its part of the requests.
        let sharing = if self.contains(own) { self.chosen.len() } else { 0 };
        let rate = self.rate.update(elapsed, sharing);
        let count =
            self.count.update(&CountConfig::default(), rate, domains.len(), instances.len());
        self.chosen = dispatchers(service, &instances, count)
            .into_iter()
            .filter_map(|index| view.usable.get(index).cloned())
            .collect();
        let to_u32 = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        let share = CONNECTION_SPLIT.share(
            to_u32(instances.len()),
            to_u32(self.chosen.len()),
            self.contains(own),
        );
        self.share.set(now, share);
    }

    /// Returns the maximum number of connections from this instance to each backend server of the
    /// service.
    pub(super) fn share(&mut self, now: Micros) -> u32 {
        self.share.get(now)
    }

    /// Returns the number of dispatching instances, at least one.
    pub(super) fn count(&self) -> u32 {
        u32::try_from(self.chosen.len()).unwrap_or(u32::MAX).max(1)
    }

    fn contains(&self, own: Incarnation) -> bool {
        self.chosen.iter().any(|member| member.incarnation == own)
    }
}
