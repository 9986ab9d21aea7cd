//! Which instances dispatch for a service, and how many connections this one may hold.

use crate::shared::MemberView;
use galenapath_membership::Member;
use galenapath_policy::dispatch::{
    ConnectionSplit, CountConfig, DispatcherCount, Instance, SettlingShare, dispatchers,
};
use galenapath_protocol::{DomainId, FastSet, Incarnation, Micros};

/// Connections that a backend server takes, from all instances together.
const SPLIT: ConnectionSplit = ConnectionSplit { limit: 240 };

/// Longest time that views of two instances differ: the lag of the platform's list, and gossip.
const SETTLE: Micros = Micros::from_secs(10);

/// The dispatching instances of one service, as this instance sees them.
pub(super) struct Dispatching {
    count: DispatcherCount,
    share: SettlingShare,
    /// Dispatching instances, best first.
    chosen: Vec<Member>,
    /// Requests since the last look at the rate.
    requests: u64,
}

impl Dispatching {
    pub(super) fn new() -> Self {
        Self {
            count: DispatcherCount::default(),
            share: SettlingShare::new(SETTLE, SPLIT.initial_share()),
            chosen: Vec::new(),
            requests: 0,
        }
    }

    /// The dispatching instances, best first.
    pub(super) fn chosen(&self) -> &[Member] {
        &self.chosen
    }

    /// Counts a request.
    pub(super) fn count_request(&mut self) {
        self.requests += 1;
    }

    /// Takes in a view of the instances. `over` is the time since the last look in which the
    /// counted requests came; zero leaves the rate as it was.
    pub(super) fn update(
        &mut self,
        now: Micros,
        service: &str,
        own: Incarnation,
        view: &MemberView,
        over: Micros,
    ) {
        let instances: Vec<Instance> = view
            .usable
            .iter()
            .map(|m| Instance { id: m.id.clone(), domain: m.domain.clone() })
            .collect();
        let domains: FastSet<&DomainId> = view.usable.iter().map(|m| &m.domain).collect();
        let rate = self.rate(own, over);
        let count =
            self.count.update(&CountConfig::default(), rate, domains.len(), instances.len());
        self.chosen = dispatchers(service, &instances, count)
            .into_iter()
            .filter_map(|place| view.usable.get(place).cloned())
            .collect();
        let number = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        let share = SPLIT.share(number(instances.len()), number(self.chosen.len()), self.has(own));
        self.share.set(now, share);
    }

    /// Connections that this instance may hold to each backend server of the service.
    pub(super) fn share(&mut self, now: Micros) -> u32 {
        self.share.get(now)
    }

    /// Number of dispatching instances, this one counted in any case.
    pub(super) fn number(&self) -> u32 {
        u32::try_from(self.chosen.len()).unwrap_or(u32::MAX).max(1)
    }

    fn has(&self, own: Incarnation) -> bool {
        self.chosen.iter().any(|member| member.incarnation == own)
    }

    /// Estimate of the service's rate over all instances: callers spread evenly over those that
    /// dispatch, so the own rate times their number.
    fn rate(&mut self, own: Incarnation, over: Micros) -> f64 {
        if over == Micros::ZERO || !self.has(own) {
            return 0.0;
        }
        let requests = std::mem::take(&mut self.requests) as f64;
        requests * 1e6 / over.0 as f64 * self.chosen.len() as f64
    }
}
