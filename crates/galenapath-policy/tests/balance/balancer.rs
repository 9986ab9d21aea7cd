use crate::support::{MS, report, slot, slots, spec, specs, warm};
use galenapath_policy::{BackendState, Balancer, BalancerConfig, Outcome};
use galenapath_protocol::{DomainId, Micros};
use proptest::prelude::*;
use std::collections::HashMap;

#[test]
fn set_backends_state_kept_of_those_that_stay() {
    let (mut balancer, now) = warm(2, 0);
    let busy = slot(&mut balancer, now, "h0");
    balancer.start(now, busy);
    balancer.set_backends(now, &specs(2, 1));
    assert_eq!(slot(&mut balancer, now, "h0"), busy);
    assert_ne!(balancer.choose(now, &[]), Some(busy));
}

#[test]
fn backend_removed_handle_is_dead() {
    let (mut balancer, now) = warm(2, 0);
    let gone = slot(&mut balancer, now, "h1");
    balancer.set_backends(now, &specs(1, 0));
    let mut list = specs(1, 0);
    list.push(spec("other", "here"));
    balancer.set_backends(now, &list);
    assert_eq!(balancer.backend(gone), None);
    // A late end of its request touches no other server.
    balancer.finish(now, gone, Outcome::Failure, Micros(MS));
    assert_eq!(slots(&mut balancer, now).len(), 2);
}

#[test]
fn mark_leaving_not_unlearned_by_old_list() {
    let (mut balancer, now) = warm(2, 0);
    let leaving = slot(&mut balancer, now, "h0");
    balancer.mark_leaving(leaving);
    balancer.set_backends(now, &specs(2, 0));
    assert!(!slots(&mut balancer, now).contains(&leaving));
}

#[test]
fn report_leaving_takes_effect() {
    let (mut balancer, now) = warm(2, 0);
    let leaving = slot(&mut balancer, now, "h0");
    let mut load = report(0, 0);
    load.leaving = true;
    balancer.report(now, leaving, load);
    assert!(!slots(&mut balancer, now).contains(&leaving));
}

#[test]
fn set_backends_leaving_not_chosen() {
    let (mut balancer, now) = warm(2, 0);
    let mut list = specs(2, 0);
    list[0].state = BackendState::Leaving;
    balancer.set_backends(now, &list);
    assert_eq!(slots(&mut balancer, now).len(), 1);
}

#[test]
fn next_probe_only_stale_servers() {
    let (mut balancer, now) = warm(2, 0);
    let later = now + Micros(1_000 * MS);
    let fresh = slot(&mut balancer, now, "h0");
    balancer.report(later, fresh, report(0, 0));
    let probed = balancer.next_probe(later).unwrap();
    assert_ne!(probed, fresh);
    assert_eq!(balancer.next_probe(later), None);
}

#[test]
fn next_probe_leaving_not_probed() {
    let (mut balancer, now) = warm(1, 0);
    let leaving = slot(&mut balancer, now, "h0");
    balancer.mark_leaving(leaving);
    assert_eq!(balancer.next_probe(now + Micros(10_000 * MS)), None);
}

proptest! {
    /// Counted at the backend servers: however many dispatchers ask, and whenever, no server gets
    /// more probes than its budget allows since the start.
    #[test]
    fn next_probe_sum_within_budget(
        dispatchers in 1u32..8,
        asks in proptest::collection::vec((0usize..8, 0u64..3_000 * MS), 1..500),
    ) {
        let cfg = BalancerConfig { dispatchers, probe_rate: 20.0, ..BalancerConfig::default() };
        let new = |seed| Balancer::new(cfg.clone(), DomainId("here".into()), u64::from(seed));
        let mut balancers: Vec<_> = (0..dispatchers).map(new).collect();
        for balancer in &mut balancers {
            balancer.set_backends(Micros::ZERO, &specs(2, 1));
        }
        let mut asks = asks;
        asks.sort_by_key(|(_, at)| *at);
        let mut probes = HashMap::new();
        for (i, at) in asks {
            let i = i % balancers.len();
            while let Some(slot) = balancers[i].next_probe(Micros(at)) {
                let id = balancers[i].backend(slot).unwrap().clone();
                let count: &mut u64 = probes.entry(id).or_default();
                *count += 1;
                prop_assert!(*count * 1_000 * MS <= 20 * at);
            }
        }
    }
}
