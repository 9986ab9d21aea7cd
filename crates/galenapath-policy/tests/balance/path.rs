use crate::support::{MS, handle, warmed_up};
use galenapath_policy::Outcome;
use galenapath_protocol::Micros;

#[test]
fn choose_cross_domain_estimated_cost_decides() {
    for (cross_domain_delay, is_worth_it) in [(Micros(MS), true), (Micros(50 * MS), false)] {
        let (mut balancer, mut now) = warmed_up(1, 0);
        balancer.set_backends(now, &crate::support::specs(1, 1));
        let local = handle(&mut balancer, now, "h0");
        let remote = handle(&mut balancer, now, "f0");
        let typical_latency = Micros(5 * MS);
        for (handle, latency, count) in
            [(remote, typical_latency + cross_domain_delay, 100), (local, typical_latency, 500)]
        {
            for _ in 0..count {
                balancer.start(now, handle);
                now = now + latency;
                balancer.finish(now, handle, Outcome::Answered, latency);
            }
        }
        (0..6).for_each(|_| balancer.start(now, local));
        // Nine waiting requests of 5 ms for six slots make a wait of about 8 ms.
        balancer.set_waiting(9);
        assert_eq!(
            balancer.choose_cross_domain(now).is_some(),
            is_worth_it,
            "{cross_domain_delay:?}"
        );
    }
}
