use crate::support::{MS, USUAL, chosen, report, slot, slots, spec, specs, warm};
use galenapath_policy::{BackendState, Balancer, BalancerConfig, ChoicePolicy, Outcome};
use galenapath_protocol::{DomainId, Micros};
use proptest::prelude::*;

#[test]
fn choose_reported_load_avoided() {
    let (mut balancer, now) = warm(3, 0);
    let full = slot(&mut balancer, now, "h0");
    balancer.report(now, full, report(6, 0));
    assert_eq!(chosen(&mut balancer, now, full, 100), 0);
}

#[test]
fn choose_own_in_flight_avoided() {
    let (mut balancer, now) = warm(3, 0);
    let busy = slot(&mut balancer, now, "h0");
    balancer.start(now, busy);
    assert_eq!(chosen(&mut balancer, now, busy, 100), 0);
}

#[test]
fn choose_home_first() {
    let (mut balancer, now) = warm(2, 2);
    for _ in 0..12 {
        let slot = balancer.choose(now, &[]).unwrap();
        assert!(balancer.backend(slot).unwrap().0.starts_with('h'));
        balancer.start(now, slot);
    }
    let thirteenth = balancer.choose(now, &[]).unwrap();
    assert!(balancer.backend(thirteenth).unwrap().0.starts_with('f'));
}

#[test]
fn choose_excluded_avoided() {
    let (mut balancer, now) = warm(2, 0);
    let tried = slot(&mut balancer, now, "h0");
    let other = balancer.choose(now, &[tried]).unwrap();
    assert_ne!(other, tried);
    assert_eq!(balancer.choose(now, &[tried, other]), None);
}

#[test]
fn choose_refusing_paused() {
    let (mut balancer, now) = warm(3, 0);
    let refusing = slot(&mut balancer, now, "h0");
    balancer.start(now, refusing);
    balancer.finish(now, refusing, Outcome::Shed, Micros(200));
    balancer.report(now, refusing, report(0, 0));
    assert_eq!(chosen(&mut balancer, now, refusing, 100), 0);
    assert!(chosen(&mut balancer, now + Micros(11 * MS), refusing, 100) > 0);
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
        assert_eq!(slots(&mut balancer, Micros::ZERO).len(), 2, "{policy:?}");
    }
}

#[test]
fn choose_crossing_when_queue_costs_more() {
    let (mut balancer, now) = warm(1, 1);
    for _ in 0..6 {
        let slot = balancer.choose(now, &[]).unwrap();
        balancer.start(now, slot);
    }
    balancer.set_waiting(0);
    assert_eq!(balancer.choose_crossing(now), None);
    balancer.set_waiting(12);
    let crossing = balancer.choose_crossing(now).unwrap();
    assert_eq!(&*balancer.backend(crossing).unwrap().0, "f0");
}

#[test]
fn free_slots_home_only_while_wait_is_short() {
    let (mut balancer, now) = warm(1, 1);
    assert_eq!(balancer.free_slots(now), 12);
    let home = slot(&mut balancer, now, "h0");
    for _ in 0..6 {
        balancer.start(now, home);
    }
    balancer.set_waiting(0);
    assert_eq!(balancer.free_slots(now), 0);
    balancer.set_waiting(100);
    assert_eq!(balancer.free_slots(now), 6);
}

#[test]
fn free_slots_guaranteed_at_home() {
    let (mut balancer, now) = warm(2, 2);
    for slot in slots(&mut balancer, now) {
        balancer.report(now, slot, report(6, 4));
    }
    // The only dispatcher of its domain keeps the domain's slots, and no others.
    balancer.set_dispatchers(now, 2);
    assert_eq!(balancer.free_slots(now), 12);
    // Six dispatchers in two domains: three share the domain.
    balancer.set_dispatchers(now, 6);
    assert_eq!(balancer.free_slots(now), 4);
}

#[test]
fn free_slots_new_server_ramps_up() {
    let (mut balancer, now) = warm(1, 0);
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
    Leave(u8),
    List(Vec<(u8, bool, u32)>),
    Wait(u32),
}

fn op() -> impl Strategy<Value = Op> {
    let entry = (0u8..6, any::<bool>(), 0u32..4);
    prop_oneof![
        4 => Just(Op::Send),
        3 => (any::<u8>(), any::<u8>()).prop_map(|(i, o)| Op::End(i, o)),
        2 => (any::<u8>(), 0u32..9, 0u32..20, proptest::bool::weighted(0.1))
            .prop_map(|(i, f, w, l)| Op::Report(i, f, w, l)),
        1 => any::<u8>().prop_map(Op::Leave),
        1 => proptest::collection::vec(entry, 0..6).prop_map(Op::List),
        1 => (0u32..100).prop_map(Op::Wait),
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
    /// Whatever happens: no leaving server is chosen, no connection share is passed, and a list
    /// that still calls a leaving server live changes nothing.
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
        let mut flights = Vec::new();
        let mut now = Micros::ZERO;
        for op in ops {
            now = now + USUAL;
            match op {
                Op::Send => {
                    for how in 0..3 {
                        let chosen = match how {
                            0 => balancer.choose(now, &[]),
                            1 => balancer.choose_crossing(now),
                            _ => balancer.choose_proven(now, &[]),
                        };
                        let Some(slot) = chosen else { continue };
                        let id = balancer.backend(slot).unwrap().clone();
                        let spec = listed.iter().find(|s| s.id == id).unwrap();
                        let own = flights.iter().filter(|(s, _)| *s == slot).count() as u32;
                        prop_assert!(!leaving.contains(&id));
                        prop_assert!(own < spec.connection_share);
                        balancer.start(now, slot);
                        flights.push((slot, now));
                    }
                }
                Op::End(i, outcome) if !flights.is_empty() => {
                    let (slot, started) = flights.remove(i as usize % flights.len());
                    let outcome = OUTCOMES[outcome as usize % OUTCOMES.len()];
                    balancer.finish(now, slot, outcome, now - started);
                }
                Op::Report(i, in_flight, waiting, is_leaving) if !flights.is_empty() => {
                    let (slot, _) = flights[i as usize % flights.len()];
                    let mut load = report(in_flight, waiting);
                    load.leaving = is_leaving;
                    balancer.report(now, slot, load);
                    if let Some(id) = balancer.backend(slot).filter(|_| is_leaving) {
                        leaving.insert(id.clone());
                    }
                }
                Op::Leave(i) if !flights.is_empty() => {
                    let (slot, _) = flights[i as usize % flights.len()];
                    balancer.mark_leaving(slot);
                    leaving.extend(balancer.backend(slot).cloned());
                }
                Op::List(entries) => {
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
                    // A server that was gone from a list starts afresh when it is listed again.
                    leaving.retain(|id| list.iter().any(|s| s.id == *id));
                    for spec in list.iter().filter(|s| s.state == BackendState::Leaving) {
                        leaving.insert(spec.id.clone());
                    }
                    flights.retain(|(slot, _)| balancer.backend(*slot).is_some());
                    listed = list;
                }
                Op::Wait(waiting) => balancer.set_waiting(waiting),
                _ => {}
            }
        }
    }
}
