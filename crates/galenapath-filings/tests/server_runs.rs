//! Tests of the requests that a backend server may be running.

use galenapath_filings::{Fingerprint, ServerRuns};
use galenapath_protocol::Micros;

const NOW: Micros = Micros::from_secs(10);
const DEADLINE: Micros = Micros::from_secs(11);
const REQUEST: Fingerprint = Fingerprint(1);
const OTHER: Fingerprint = Fingerprint(2);

#[test]
fn take_answered_not_blamed() {
    let mut runs = ServerRuns::default();
    let answered = runs.begin(REQUEST, DEADLINE);
    runs.begin(OTHER, DEADLINE);
    runs.end(answered);
    assert_eq!(runs.take(NOW), [OTHER]);
    assert!(runs.is_empty());
}

#[test]
fn take_same_request_twice_blamed_once() {
    let mut runs = ServerRuns::default();
    runs.begin(REQUEST, DEADLINE);
    let second = runs.begin(REQUEST, DEADLINE);
    runs.abandon(second);
    assert_eq!(runs.take(NOW), [REQUEST]);
}

#[test]
fn abandon_blamed_while_the_server_may_run_it() {
    let mut runs = ServerRuns::default();
    let id = runs.begin(REQUEST, DEADLINE);
    assert!(runs.is_awaited() && !runs.has_abandoned());
    runs.abandon(id);
    assert!(!runs.is_awaited() && runs.has_abandoned());
    assert_eq!(runs.clone().take(DEADLINE), [REQUEST]);
    assert_eq!(runs.clone().take(DEADLINE + Micros::from_secs(1)), []);
    runs.expire(DEADLINE + Micros::from_secs(1));
    assert!(runs.is_empty());
}

#[test]
fn take_abandoned_leaves_awaited() {
    let mut runs = ServerRuns::default();
    let id = runs.begin(REQUEST, DEADLINE);
    runs.begin(OTHER, DEADLINE);
    runs.abandon(id);
    assert_eq!(runs.take_abandoned(NOW), [REQUEST]);
    assert_eq!(runs.take(NOW), [OTHER]);
}

#[test]
fn abandon_many_oldest_dropped() {
    let mut runs = ServerRuns::default();
    for n in 0..1_000 {
        let id = runs.begin(Fingerprint(n), DEADLINE);
        runs.abandon(id);
    }
    let kept = runs.take(NOW);
    assert!(kept.len() <= 100, "{}", kept.len());
    assert_eq!(kept.last(), Some(&Fingerprint(999)));
}
