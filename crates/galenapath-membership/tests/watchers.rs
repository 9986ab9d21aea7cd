//! Which instances watch the store, and which read it at their start.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use galenapath_membership::{
    Heartbeat, InstanceStatus, StoreHealth, WatchRole, reads_store_at_start, watch_role,
};
use galenapath_protocol::Incarnation;
use support::{START, domain, heartbeat, membership, peer};

fn roles(fleet: &[(u64, StoreHealth)]) -> Vec<(u64, WatchRole)> {
    let role = |own: u64, health: StoreHealth| {
        let mut membership = membership(own, fleet.iter().map(|(n, _)| *n));
        for (n, store) in fleet.iter().filter(|(n, _)| *n != own) {
            let status = InstanceStatus { store: *store, ..InstanceStatus::default() };
            membership.apply_heartbeat(START, &Heartbeat { status, ..heartbeat(*n, &[]) });
        }
        let status = InstanceStatus { store: health, ..InstanceStatus::default() };
        watch_role(Incarnation(own), &domain(own), &status, membership.peers())
    };
    fleet.iter().map(|(n, health)| (*n, role(*n, *health))).collect()
}

fn with_role(roles: &[(u64, WatchRole)], wanted: WatchRole) -> Vec<u64> {
    roles.iter().filter(|(_, role)| *role == wanted).map(|(n, _)| *n).collect()
}

#[test]
fn watch_role_two_of_different_domains() {
    let fleet: Vec<_> = (0..16).map(|n| (n, StoreHealth::Untried)).collect();
    let watch = with_role(&roles(&fleet), WatchRole::Watch);
    assert_eq!(watch.len(), 2);
    assert_ne!(domain(watch[0]), domain(watch[1]));
}

#[test]
fn watch_role_moves_from_failing_instances() {
    let fleet: Vec<_> = (0..16).map(|n| (n, StoreHealth::Untried)).collect();
    let first = with_role(&roles(&fleet), WatchRole::Watch);
    let fleet: Vec<_> = fleet
        .iter()
        .map(|(n, _)| {
            (*n, if first.contains(n) { StoreHealth::Failing } else { StoreHealth::Untried })
        })
        .collect();
    let second = with_role(&roles(&fleet), WatchRole::Watch);
    assert!(second.len() >= 2);
    assert!(second.iter().all(|n| !first.contains(n)));
}

/// The store turns away all but one of many. Each round takes as long as a call is waited for.
#[test]
fn watch_role_finds_the_one_that_the_store_answers_in_few_rounds() {
    for answered in 0..30 {
        let mut failing = Vec::new();
        let mut rounds = 0;
        let is_found = |watching: &[u64]| watching.contains(&answered);
        loop {
            let health = |n: u64| {
                if failing.contains(&n) { StoreHealth::Failing } else { StoreHealth::Untried }
            };
            let fleet: Vec<_> = (0..30).map(|n| (n, health(n))).collect();
            let watching = with_role(&roles(&fleet), WatchRole::Watch);
            if is_found(&watching) {
                break;
            }
            rounds += 1;
            failing.extend(watching);
        }
        assert!(rounds <= 4, "{rounds} rounds until instance {answered}");
    }
}

/// The store turns all away but one that has just started. The others leave watching to it, so it
/// must not leave it to one of them, whose status it does not know yet.
#[test]
fn watch_role_new_instance_knows_whom_the_store_turns_away() {
    let failing: Vec<u64> = (0..40).collect();
    for new in 100..140 {
        let mut membership = membership(new, failing.iter().copied());
        for n in &failing {
            assert!(membership.set_store_failing(Incarnation(*n)), "instance {n}");
        }
        let status = InstanceStatus::default();
        let role = watch_role(Incarnation(new), &domain(new), &status, membership.peers());
        assert_eq!(role, WatchRole::Watch, "instance {new}");
    }
}

#[test]
fn watch_role_two_retry_while_store_fails() {
    let fleet: Vec<_> = (0..16).map(|n| (n, StoreHealth::Failing)).collect();
    let roles = roles(&fleet);
    assert!(with_role(&roles, WatchRole::Watch).is_empty());
    assert_eq!(with_role(&roles, WatchRole::Retry).len(), 2);
}

#[test]
fn watch_role_alone_watches() {
    assert_eq!(roles(&[(4, StoreHealth::Untried)]), [(4, WatchRole::Watch)]);
}

#[test]
fn reads_store_at_start_left_to_larger_or_many() {
    let answering = |n: u64, capacity: u32| {
        let status =
            InstanceStatus { store: StoreHealth::Answering, capacity, ..InstanceStatus::default() };
        Heartbeat { status, ..heartbeat(n, &[]) }
    };
    let mut few = membership(0, 0..8);
    assert!(reads_store_at_start(100, few.peers()), "the store answers no instance");
    few.apply_heartbeat(START, &answering(3, 100));
    assert!(reads_store_at_start(100, few.peers()), "equal capacity in a small fleet");
    few.apply_heartbeat(START, &answering(4, 500));
    assert!(!reads_store_at_start(100, few.peers()));
    assert!(reads_store_at_start(500, few.peers()));
    let mut many = membership(0, 0..60);
    many.apply_heartbeat(START, &answering(3, 100));
    assert!(!reads_store_at_start(100, many.peers()));
}

#[test]
fn set_store_failing_own_report_goes_first() {
    let mut membership = membership(0, 0..3);
    membership.apply_heartbeat(START, &heartbeat(1, &[]));
    for n in [1, 2] {
        membership.set_store_failing(Incarnation(n));
    }
    let store = |n| peer(&membership, n).status.store;
    assert_eq!((store(1), store(2)), (StoreHealth::Untried, StoreHealth::Failing));
}
