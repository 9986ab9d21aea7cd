use crate::support::{MS, slot, warm};
use galenapath_policy::Outcome;
use galenapath_protocol::Micros;

#[test]
fn choose_crossing_measured_crossing_counts() {
    for (crossing, is_worth_it) in [(Micros(MS), true), (Micros(50 * MS), false)] {
        let (mut balancer, mut now) = warm(1, 0);
        balancer.set_backends(now, &crate::support::specs(1, 1));
        let home = slot(&mut balancer, now, "h0");
        let foreign = slot(&mut balancer, now, "f0");
        let usual = Micros(5 * MS);
        for (slot, latency, count) in [(foreign, usual + crossing, 100), (home, usual, 500)] {
            for _ in 0..count {
                balancer.start(now, slot);
                now = now + latency;
                balancer.finish(now, slot, Outcome::Answered, latency);
            }
        }
        (0..6).for_each(|_| balancer.start(now, home));
        // About nine rounds of five milliseconds among six slots: some 8 ms of waiting.
        balancer.set_waiting(9);
        assert_eq!(balancer.choose_crossing(now).is_some(), is_worth_it, "{crossing:?}");
    }
}
