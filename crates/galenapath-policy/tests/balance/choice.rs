use crate::support::{
    MS, TYPICAL_LATENCY, count_choices, handle, handles, report, spec, specs, warmed_up,
};
use galenapath_policy::{BackendState, Balancer, BalancerConfig, ChoicePolicy, Outcome};
use galenapath_protocol::{DomainId, Micros};
use proptest::prelude::*;

#[test]
fn choose_reported_load_avoided() {
    let (mut balancer, now) = warmed_up(3, 0);
    let full = handle(&mut balancer, now, "h0");
    balancer.report(now, full, report(6, 0));
    assert_eq!(count_choices(&mut balancer, now, full, 100), 0);
}

#[test]
fn choose_own_in_flight_avoided() {
    let (mut balancer, now) = warmed_up(3, 0);
    let busy = handle(&mut balancer, now, "h0");
    balancer.start(now, busy);
    assert_eq!(count_choices(&mut balancer, now, busy, 100), 0);
}

#[test]
fn choose_local_first() {
    let (mut balancer, now) = warmed_up(2, 2);
    for _ in 0..12 {
        let handle = balancer.choose(now, &[]).unwrap();
        assert!(balancer.backend(handle).unwrap().0.starts_with('h'));
        balancer.start(now, handle);
    }
    let thirteenth = balancer.choose(now, &[]).unwrap();
    assert!(balancer.backend(thirteenth).unwrap().0.starts_with('f'));
}

#[test]
fn choose_excluded_avoided() {
    let (mut balancer, now) = warmed_up(2, 0);
    let tried = handle(&mut balancer, now, "h0");
    let other = balancer.choose(now, &[tried]).unwrap();
    assert_ne!(other, tried);
    assert_eq!(balancer.choose(now, &[tried, other]), None);
}

#[test]
fn choose_after_rejection_server_avoided() {
    let (mut balancer, now) = warmed_up(3, 0);
    let rejecting = handle(&mut balancer, now, "h0");
    balancer.start(now, rejecting);
    balancer.finish(now, rejecting, Outcome::Shed, Micros(200));
    balancer.report(now, rejecting, report(0, 0));
    assert_eq!(count_choices(&mut balancer, now, rejecting, 100), 0);
    assert!(count_choices(&mut balancer, now + Micros(11 * MS), rejecting, 100) > 0);
}

#[test]
fn choose_baselines_leaving_avoided() {
    for policy in [
        ChoicePolicy::Random,
        ChoicePolicy::RoundRobin,
        ChoicePolicy::LeastInFlight,
        ChoicePolicy::PowerOfTwo,
    ] {
        let cfg = BalancerConfig { policy, ..BalancerConfig::default() };
        let mut balancer = Balancer::new(cfg, DomainId("here".into()), 1);
        let mut list = specs(3, 0);
        list[1].state = BackendState::Leaving;
        balancer.set_backends(Micros::ZERO, &list);
        assert_eq!(handles(&mut balancer, Micros::ZERO).len(), 2, "{policy:?}");
    }
}

#[test]
fn choose_cross_domain_when_local_wait_costs_more() {
    let (mut balancer, now) = warmed_up(1, 1);
    for _ in 0..6 {
        let handle = balancer.choose(now, &[]).unwrap();
        balancer.start(now, handle);
    }
    balancer.set_waiting(0);
    assert_eq!(balancer.choose_cross_domain(now), None);
    balancer.set_waiting(12);
    let remote = balancer.choose_cross_domain(now).unwrap();
    assert_eq!(&*balancer.backend(remote).unwrap().0, "f0");
}

#[test]
fn free_slots_short_wait_only_local() {
    let (mut balancer, now) = warmed_up(1, 1);
    assert_eq!(balancer.free_slots(now), 12);
    let local = handle(&mut balancer, now, "h0");
    for _ in 0..6 {
        balancer.start(now, local);
    }
    balancer.set_waiting(0);
    assert_eq!(balancer.free_slots(now), 0);
    balancer.set_waiting(100);
    assert_eq!(balancer.free_slots(now), 6);
}

#[test]
fn free_slots_local_share_guaranteed() {
    let (mut balancer, now) = warmed_up(2, 2);
    for handle in handles(&mut balancer, now) {
        balancer.report(now, handle, report(6, 4));
    }
    // The only dispatcher of its domain is guaranteed all slots of the domain and no others.
    balancer.set_dispatchers(now, 2);
    assert_eq!(balancer.free_slots(now), 12);
    // With six dispatchers in two domains, three share the domain.
    balancer.set_dispatchers(now, 6);
    assert_eq!(balancer.free_slots(now), 4);
}

#[test]
fn free_slots_new_server_ramps_up() {
    let (mut balancer, now) = warmed_up(1, 0);
    let mut list = specs(1, 0);
    list.push(spec("new", "here"));
    balancer.set_backends(now, &list);
    balancer.set_dispatchers(now, 600);
    assert_eq!(balancer.free_slots(now), 7);
    assert_eq!(balancer.free_slots(now + Micros(500 * MS)), 9);
    assert_eq!(balancer.free_slots(now + Micros(1_000 * MS)), 12);
}

#[derive(Clone, Debug)]
enum Op {
    Send,
    End(u8, u8),
    Report(u8, u32, u32, bool),
    MarkLeaving(u8),
    SetBackends(Vec<(u8, bool, u32)>),
    SetWaiting(u32),
}

fn op() -> impl Strategy<Value = Op> {
    let entry = (0u8..6, any::<bool>(), 0u32..4);
    prop_oneof![
        4 => Just(Op::Send),
        3 => (any::<u8>(), any::<u8>()).prop_map(|(i, o)| Op::End(i, o)),
        2 => (any::<u8>(), 0u32..9, 0u32..20, proptest::bool::weighted(0.1))
            .prop_map(|(i, f, w, l)| Op::Report(i, f, w, l)),
        1 => any::<u8>().prop_map(Op::MarkLeaving),
        1 => proptest::collection::vec(entry, 0..6).prop_map(Op::SetBackends),
        1 => (0u32..100).prop_map(Op::SetWaiting),
    ]
}

const OUTCOMES: [Outcome; 6] = [
    Outcome::Answered,
    Outcome::Shed,
    Outcome::FastFailure,
    Outcome::Failure,
    Outcome::TimedOut,
    Outcome::Cancelled,
];

proptest! {
    /// After any sequence of operations, no leaving server is chosen, no connection share is
    /// exceeded, and a list that still has a leaving server as live does not revert its state.
    #[test]
    fn choose_limits_kept(ops in proptest::collection::vec(op(), 1..200), policy in 0usize..5) {
        let policies = [
            ChoicePolicy::Galenapath,
            ChoicePolicy::Random,
            ChoicePolicy::RoundRobin,
            ChoicePolicy::LeastInFlight,
            ChoicePolicy::PowerOfTwo,
        ];
        let cfg = BalancerConfig { policy: policies[policy], ..BalancerConfig::default() };
        let mut balancer = Balancer::new(cfg, DomainId("here".into()), 3);
        let mut listed = specs(3, 3);
        balancer.set_backends(Micros::ZERO, &listed);
        let mut leaving = std::collections::HashSet::new();
        let mut requests = Vec::new();
        let mut now = Micros::ZERO;
        for op in ops {
            now = now + TYPICAL_LATENCY;
            match op {
                Op::Send => {
                    for method in 0..3 {
                        let choice = match method {
                            0 => balancer.choose(now, &[]),
                            1 => balancer.choose_cross_domain(now),
                            _ => balancer.choose_without_trial(now, &[]),
                        };
                        let Some(handle) = choice else { continue };
                        let id = balancer.backend(handle).unwrap().clone();
                        let spec = listed.iter().find(|s| s.id == id).unwrap();
                        let own = requests.iter().filter(|(s, _)| *s == handle).count() as u32;
                        prop_assert!(!leaving.contains(&id));
                        prop_assert!(own < spec.connection_share);
                        balancer.start(now, handle);
                        requests.push((handle, now));
                    }
                }
                Op::End(i, outcome) if !requests.is_empty() => {
                    let (handle, started) = requests.remove(i as usize % requests.len());
                    let outcome = OUTCOMES[outcome as usize % OUTCOMES.len()];
                    balancer.finish(now, handle, outcome, now - started);
                }
                Op::Report(i, in_flight, waiting, is_leaving) if !requests.is_empty() => {
                    let (handle, _) = requests[i as usize % requests.len()];
                    let mut load = report(in_flight, waiting);
                    load.leaving = is_leaving;
                    balancer.report(now, handle, load);
                    if let Some(id) = balancer.backend(handle).filter(|_| is_leaving) {
                        leaving.insert(id.clone());
                    }
                }
                Op::MarkLeaving(i) if !requests.is_empty() => {
                    let (handle, _) = requests[i as usize % requests.len()];
                    balancer.mark_leaving(handle);
                    leaving.extend(balancer.backend(handle).cloned());
                }
                Op::SetBackends(entries) => {
                    let mut list = Vec::new();
                    for (i, is_leaving, share) in entries {
                        let mut spec = spec(&format!("h{i}"), "here");
                        spec.connection_share = share;
                        if is_leaving {
                            spec.state = BackendState::Leaving;
                        }
                        if !list.iter().any(|s: &galenapath_policy::BackendSpec| s.id == spec.id) {
                            list.push(spec);
                        }
                    }
                    balancer.set_backends(now, &list);
                    // A server that was missing from a list has new state when it is listed again.
                    leaving.retain(|id| list.iter().any(|s| s.id == *id));
                    for spec in list.iter().filter(|s| s.state == BackendState::Leaving) {
                        leaving.insert(spec.id.clone());
                    }
                    requests.retain(|(handle, _)| balancer.backend(*handle).is_some());
                    listed = list;
                }
                Op::SetWaiting(waiting) => balancer.set_waiting(waiting),
                _ => {}
            }
        }
    }
}
