use crate::support::{MS, handle, handles, report, spec, specs, warmed_up};
use galenapath_policy::{BackendState, Balancer, BalancerConfig, Outcome};
use galenapath_protocol::{DomainId, Micros};
use proptest::prelude::*;
use std::collections::HashMap;

#[test]
fn set_backends_remaining_servers_state_kept() {
    let (mut balancer, now) = warmed_up(2, 0);
    let busy = handle(&mut balancer, now, "h0");
    balancer.start(now, busy);
    balancer.set_backends(now, &specs(2, 1));
    assert_eq!(handle(&mut balancer, now, "h0"), busy);
    assert_ne!(balancer.choose(now, &[]), Some(busy));
}

#[test]
fn backend_removed_server_handle_invalid() {
    let (mut balancer, now) = warmed_up(2, 0);
    let removed = handle(&mut balancer, now, "h1");
    balancer.set_backends(now, &specs(1, 0));
    let mut list = specs(1, 0);
    list.push(spec("other", "here"));
    balancer.set_backends(now, &list);
    assert_eq!(balancer.backend(removed), None);
    // The end of a request on the removed server does not affect the server that reused its entry.
    balancer.finish(now, removed, Outcome::Failure, Micros(MS));
    assert_eq!(handles(&mut balancer, now).len(), 2);
}

#[test]
fn mark_leaving_outdated_list_does_not_revert() {
    let (mut balancer, now) = warmed_up(2, 0);
    let leaving = handle(&mut balancer, now, "h0");
    balancer.mark_leaving(leaving);
    balancer.set_backends(now, &specs(2, 0));
    assert!(!handles(&mut balancer, now).contains(&leaving));
}

#[test]
fn report_leaving_server_not_chosen() {
    let (mut balancer, now) = warmed_up(2, 0);
    let leaving = handle(&mut balancer, now, "h0");
    let mut load = report(0, 0);
    load.leaving = true;
    balancer.report(now, leaving, load);
    assert!(!handles(&mut balancer, now).contains(&leaving));
}

#[test]
fn set_backends_leaving_server_not_chosen() {
    let (mut balancer, now) = warmed_up(2, 0);
    let mut list = specs(2, 0);
    list[0].state = BackendState::Leaving;
    balancer.set_backends(now, &list);
    assert_eq!(handles(&mut balancer, now).len(), 1);
}

#[test]
fn next_probe_only_stale_servers() {
    let (mut balancer, now) = warmed_up(2, 0);
    let later = now + Micros(1_000 * MS);
    let fresh = handle(&mut balancer, now, "h0");
    balancer.report(later, fresh, report(0, 0));
    let probed = balancer.next_probe(later).unwrap();
    assert_ne!(probed, fresh);
    assert_eq!(balancer.next_probe(later), None);
}

#[test]
fn next_probe_leaving_server_not_probed() {
    let (mut balancer, now) = warmed_up(1, 0);
    let leaving = handle(&mut balancer, now, "h0");
    balancer.mark_leaving(leaving);
    assert_eq!(balancer.next_probe(now + Micros(10_000 * MS)), None);
}

proptest! {
    /// However many dispatchers probe, and whenever, no server receives more probes in total than
    /// its budget allows.
    #[test]
    fn next_probe_sum_within_budget(
        dispatchers in 1u32..8,
        probe_calls in proptest::collection::vec((0usize..8, 0u64..3_000 * MS), 1..500),
    ) {
        let cfg = BalancerConfig { dispatchers, probe_rate: 20.0, ..BalancerConfig::default() };
        let new = |seed| Balancer::new(cfg.clone(), DomainId("here".into()), u64::from(seed));
        let mut balancers: Vec<_> = (0..dispatchers).map(new).collect();
        for balancer in &mut balancers {
            balancer.set_backends(Micros::ZERO, &specs(2, 1));
        }
        let mut probe_calls = probe_calls;
        probe_calls.sort_by_key(|(_, at)| *at);
        let mut probes = HashMap::new();
        for (i, at) in probe_calls {
            let i = i % balancers.len();
            while let Some(handle) = balancers[i].next_probe(Micros(at)) {
                let id = balancers[i].backend(handle).unwrap().clone();
                let count: &mut u64 = probes.entry(id).or_default();
                *count += 1;
                prop_assert!(*count * 1_000 * MS <= 20 * at);
            }
        }
    }
}
