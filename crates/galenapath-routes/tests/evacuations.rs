//! Statements of the operator about failure domains, in any order.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use galenapath_protocol::DomainId;
use galenapath_routes::{Evacuation, Evacuations};
use proptest::prelude::*;

fn mark(domain: &str, revision: u64, is_in_force: bool) -> Evacuation {
    Evacuation { domain: DomainId(domain.into()), revision, is_in_force }
}

fn has(evacuations: &Evacuations, domain: &str) -> bool {
    evacuations.contains(&DomainId(domain.into()))
}

#[test]
fn evacuation_in_force_until_restored() {
    let mut evacuations = Evacuations::default();
    assert!(evacuations.apply(mark("a", 10, true)));
    assert!(has(&evacuations, "a") && !has(&evacuations, "b"));
    assert!(evacuations.apply(mark("a", 20, false)));
    assert!(!has(&evacuations, "a"));
    assert!(evacuations.apply(mark("a", 21, true)));
    assert!(has(&evacuations, "a"));
    assert_eq!(evacuations.generation(), 3);
}

#[test]
fn evacuation_old_statement_changes_nothing() {
    let mut evacuations = Evacuations::default();
    evacuations.apply(mark("a", 10, true));
    evacuations.apply(mark("a", 20, false));
    assert!(!evacuations.apply(mark("a", 10, true)));
    assert!(!has(&evacuations, "a"));
    // Nor one from before a read of all that did not show it.
    evacuations.apply_snapshot(30, Vec::new());
    assert!(!evacuations.apply(mark("b", 25, true)));
    assert!(!has(&evacuations, "b"));
    assert!(evacuations.apply(mark("b", 31, true)));
}

#[test]
fn read_of_all_restores_what_is_missing() {
    let mut evacuations = Evacuations::default();
    evacuations.apply(mark("a", 10, true));
    evacuations.apply(mark("b", 40, true));
    let changed = evacuations.apply_snapshot(30, vec![mark("c", 28, true)]);
    assert_eq!(changed, [mark("a", 30, false), mark("c", 28, true)]);
    // Evacuated after the read.
    assert!(has(&evacuations, "b"));
    assert!(evacuations.apply_snapshot(30, vec![mark("c", 28, true)]).is_empty());
}

proptest! {
    #[test]
    fn peers_agree_in_any_order(
        statements in prop::collection::vec((0_u64..4, any::<bool>()), 1..20),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..60),
    ) {
        let statements: Vec<Evacuation> = statements
            .iter()
            .enumerate()
            .map(|(at, (domain, is_on))| mark(&format!("d{domain}"), at as u64 + 1, *is_on))
            .collect();
        let mut told = Evacuations::default();
        order.iter().for_each(|at| {
            told.apply(at.get(&statements).clone());
        });
        statements.iter().rev().for_each(|statement| {
            told.apply(statement.clone());
        });
        let mut watched = Evacuations::default();
        statements.iter().for_each(|statement| {
            watched.apply(statement.clone());
        });
        for domain in 0..4 {
            let domain = format!("d{domain}");
            prop_assert_eq!(has(&told, &domain), has(&watched, &domain));
        }
    }
}
