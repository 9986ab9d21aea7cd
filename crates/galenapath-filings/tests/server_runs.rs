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
    runs.abandon(NOW, second);
    assert_eq!(runs.take(NOW), [REQUEST]);
}

#[test]
fn abandon_blamed_while_the_server_may_run_it() {
    let mut runs = ServerRuns::default();
    let id = runs.begin(REQUEST, DEADLINE);
    assert!(!runs.has_abandoned());
    runs.abandon(NOW, id);
    assert!(runs.has_abandoned());
    assert_eq!(runs.possible(DEADLINE), [REQUEST]);
    assert_eq!(runs.possible(DEADLINE + Micros::from_secs(1)), []);
    runs.expire(DEADLINE + Micros::from_secs(1));
    assert!(runs.is_empty());
}

#[test]
fn take_abandoned_leaves_awaited() {
    let mut runs = ServerRuns::default();
    let id = runs.begin(REQUEST, DEADLINE);
    runs.begin(OTHER, DEADLINE);
    runs.abandon(NOW, id);
    assert_eq!(runs.take_abandoned(NOW), [REQUEST]);
    assert_eq!(runs.take(NOW), [OTHER]);
}

#[test]
fn abandon_many_oldest_dropped() {
    let mut runs = ServerRuns::default();
    for n in 0..1_000 {
        let id = runs.begin(Fingerprint(n), DEADLINE);
        runs.abandon(NOW, id);
    }
    let kept = runs.take(NOW);
    assert!(kept.len() <= 100, "{}", kept.len());
    assert_eq!(kept.last(), Some(&Fingerprint(999)));
}

#[test]
fn take_look_while_nothing_else_shows_a_crash() {
    let mut runs = ServerRuns::default();
    let at = |ms| NOW + Micros::from_millis(ms);
    let id = runs.begin(REQUEST, DEADLINE);
    assert!(!runs.take_look(at(900)));
    runs.abandon(NOW, id);
    let looks: Vec<u64> = (0..2_000).filter(|ms| runs.take_look(at(*ms))).collect();
    assert_eq!(looks, [50, 150, 350, 750]);
    assert!(runs.is_empty());
}

#[test]
fn take_look_not_while_an_answer_is_awaited() {
    let mut runs = ServerRuns::default();
    let id = runs.begin(REQUEST, DEADLINE);
    let other = runs.begin(OTHER, DEADLINE);
    runs.abandon(NOW, id);
    assert!(!runs.take_look(NOW + Micros::from_millis(100)));
    runs.end(other);
    assert!(runs.take_look(NOW + Micros::from_millis(100)));
}

#[test]
fn take_look_while_more_are_abandoned_all_the_time() {
    let mut runs = ServerRuns::default();
    let mut looks = 0;
    for ms in (0..1_000).step_by(10) {
        let now = NOW + Micros::from_millis(ms);
        looks += u32::from(runs.take_look(now));
        let id = runs.begin(REQUEST, now + Micros::from_secs(1));
        runs.abandon(now, id);
    }
    assert!(looks >= 10, "{looks}");
}
