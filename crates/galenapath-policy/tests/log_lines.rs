//! Limits on log lines per second.

use galenapath_policy::{LogLineBudget, LogLineKind};
use galenapath_protocol::Micros;

const START: Micros = Micros::from_secs(5);

/// Returns how many of `offered` lines in one second are written.
fn written(budget: &mut LogLineBudget, offered: u64, kind: LogLineKind) -> usize {
    let at = |n: u64| START + Micros(n * 900_000 / offered);
    (0..offered).filter(|n| budget.take(at(*n), kind)).count()
}

#[test]
fn take_failures_beside_many_successes() {
    let mut budget = LogLineBudget::new(20);
    assert_eq!(written(&mut budget, 5_000, LogLineKind::Success), 20);
    assert_eq!(written(&mut budget, 150, LogLineKind::Failure), 150);
}

#[test]
fn take_bounded_at_ten_times_the_load() {
    let mut budget = LogLineBudget::new(20);
    assert_eq!(written(&mut budget, 2_000, LogLineKind::Failure), 200);
    assert_eq!(written(&mut budget, 2_000, LogLineKind::Success), 20);
    // The budgets are full again in the next second.
    assert!(budget.take(START + Micros::from_secs(2), LogLineKind::Failure));
    assert!(budget.take(START + Micros::from_secs(2), LogLineKind::Success));
}

#[test]
fn take_peer_lines_bounded_beside_failures() {
    let mut budget = LogLineBudget::new(20);
    assert_eq!(written(&mut budget, 300, LogLineKind::Peer), 20);
    assert_eq!(written(&mut budget, 150, LogLineKind::Failure), 150);
}

#[test]
fn set_takes_effect_within_the_second() {
    let mut budget = LogLineBudget::new(1);
    assert_eq!(written(&mut budget, 10, LogLineKind::Success), 1);
    budget.set(3);
    assert_eq!(written(&mut budget, 10, LogLineKind::Success), 2);
}
