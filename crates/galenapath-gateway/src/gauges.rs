//! Metrics that are computed only when they are read.

use crate::instance::Instance;
use galenapath_policy::place::Placement;
use galenapath_policy::reach::PathSummary;
use galenapath_protocol::Micros;

impl Instance {
    /// Updates the gauges and counters that are computed only when metrics are read.
    pub(crate) fn refresh_gauges(&self) {
        let now = self.now();
        self.usage.publish(&self.metrics);
        self.metrics.open.set(self.open.counts());
        let seconds = |span: Micros| span.as_millis_f64() / 1_000.0;
        self.metrics.store_age.set(seconds(self.store_follow.get().silence(now)));
        let contended = self.quotas.borrow().contended_count();
        self.metrics.contended_quotas.set(i64::try_from(contended).unwrap_or(i64::MAX));
        self.metrics.peer_silence.set(seconds(self.membership.borrow().longest_silence(now)));
        let rejected = self.suspects.borrow().rejected_count(now);
        self.metrics.rejected_requests.set(i64::try_from(rejected).unwrap_or(i64::MAX));
        let abandoned = self.running.abandoned_count(now);
        self.metrics.abandoned_requests.set(i64::try_from(abandoned).unwrap_or(i64::MAX));
        let services = self.services.borrow();
        let count = |of: fn(&Placement, Micros) -> usize| {
            let counts = services.values().map(|service| of(&service.placement.borrow(), now));
            i64::try_from(counts.sum::<usize>()).unwrap_or(i64::MAX)
        };
        self.metrics.cold_servers.set(count(Placement::cold_count));
        self.metrics.limited_servers.set(count(|placement, _| placement.limited_count()));
        self.metrics.leaving_servers.set(count(|placement, _| placement.leaving_count()));
        self.metrics.paused_servers.set(count(Placement::paused_count));
        let paths = services.values().map(|service| service.contacts.borrow().summary(now));
        let paths = paths.fold(PathSummary::default(), PathSummary::plus);
        let silent = paths.silent + paths.cut_off;
        self.metrics.cut_off.set(i64::from(self.reach.is_withdrawn()));
        self.metrics.silent_servers.set(i64::try_from(silent).unwrap_or(i64::MAX));
        for service in services.values() {
            let age = seconds(service.placement.borrow().mean_observation_age(now));
            self.metrics.load_age.with_label_values(&[&service.name]).set(age);
        }
    }
}
