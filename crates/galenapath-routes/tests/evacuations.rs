//! Statements of the operator about failure domains, in any order.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use galenapath_protocol::{DomainId, Micros, StorePosition};
use galenapath_routes::{Evacuation, Evacuations};
use proptest::prelude::*;

const NOW: Micros = Micros::from_secs(100);

fn evacuation(domain: &str, revision: u64, is_in_force: bool) -> Evacuation {
    Evacuation { domain: DomainId(domain.into()), revision, is_in_force }
}

fn has(evacuations: &Evacuations, domain: &str) -> bool {
    evacuations.contains(&DomainId(domain.into()))
}

#[test]
fn apply_evacuation_in_force_until_restored() {
    let mut evacuations = Evacuations::default();
    assert!(evacuations.apply(evacuation("a", 10, true)));
    assert!(has(&evacuations, "a") && !has(&evacuations, "b"));
    assert!(evacuations.apply(evacuation("a", 20, false)));
    assert!(!has(&evacuations, "a"));
    assert!(evacuations.apply(evacuation("a", 21, true)));
    assert!(has(&evacuations, "a"));
    assert_eq!(evacuations.generation(), 3);
}

#[test]
fn apply_old_statement_ignored() {
    let mut evacuations = Evacuations::default();
    evacuations.apply(evacuation("a", 10, true));
    evacuations.apply(evacuation("a", 20, false));
    assert!(!evacuations.apply(evacuation("a", 10, true)));
    assert!(!has(&evacuations, "a"));
    // A statement older than a read of all that did not contain it is ignored too.
    evacuations.apply_snapshot(30, Vec::new(), NOW);
    assert!(!evacuations.apply(evacuation("b", 25, true)));
    assert!(!has(&evacuations, "b"));
    assert!(evacuations.apply(evacuation("b", 31, true)));
}

#[test]
fn apply_snapshot_restores_missing() {
    let mut evacuations = Evacuations::default();
    evacuations.apply(evacuation("a", 10, true));
    evacuations.apply(evacuation("b", 40, true));
    let changed = evacuations.apply_snapshot(30, vec![evacuation("c", 28, true)], NOW);
    assert_eq!(changed, [evacuation("a", 30, false), evacuation("c", 28, true)]);
    // Evacuated after the read.
    assert!(has(&evacuations, "b"));
    assert!(evacuations.apply_snapshot(30, vec![evacuation("c", 28, true)], NOW).is_empty());
}

proptest! {
    #[test]
    fn apply_any_order_agrees(
        statements in prop::collection::vec((0_u64..4, any::<bool>()), 1..20),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..60),
    ) {
        let statements: Vec<Evacuation> = statements
            .iter()
            .enumerate()
            .map(|(at, (domain, is_on))| evacuation(&format!("d{domain}"), at as u64 + 1, *is_on))
            .collect();
        let mut from_peers = Evacuations::default();
        order.iter().for_each(|at| {
            from_peers.apply(at.get(&statements).clone());
        });
        statements.iter().rev().for_each(|statement| {
            from_peers.apply(statement.clone());
        });
        let mut from_watch = Evacuations::default();
        statements.iter().for_each(|statement| {
            from_watch.apply(statement.clone());
        });
        for domain in 0..4 {
            let domain = format!("d{domain}");
            prop_assert_eq!(has(&from_peers, &domain), has(&from_watch, &domain));
        }
    }
}

#[test]
fn merge_missing_restored() {
    let mut behind = Evacuations::default();
    behind.apply(evacuation("a", 10, true));
    behind.advance_position(10);
    // The peer has read all evacuations after the domain was restored, and never knew of it.
    let changed = behind.merge(30.into(), vec![evacuation("b", 20, true)], NOW);
    assert_eq!(changed, [evacuation("a", 30, false), evacuation("b", 20, true)]);
    assert!(!has(&behind, "a") && has(&behind, "b"));
}

#[test]
fn apply_snapshot_new_epoch_kept_for_a_while() {
    let mut evacuations = Evacuations::default();
    evacuations.apply_snapshot(StorePosition::new(1, 90), vec![evacuation("a", 80, true)], NOW);
    let later = NOW + Micros::from_secs(2);
    let position = StorePosition::new(2, 50);
    assert!(evacuations.apply_snapshot(position, Vec::new(), later).is_empty());
    assert!(has(&evacuations, "a"));
    assert!(evacuations.expire(NOW).is_empty());
    // An answer of the store before its return changes nothing.
    evacuations.apply_snapshot(StorePosition::new(1, 95), Vec::new(), NOW);
    assert!(has(&evacuations, "a"));
    assert_eq!(evacuations.expire(later), [evacuation("a", 50, false)]);
    assert!(!has(&evacuations, "a"));
}
