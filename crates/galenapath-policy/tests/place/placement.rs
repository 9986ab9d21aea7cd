//! Updates of placement and its view of a server.

use crate::support::{START, WORK, criteria, id, observation, placement};
use galenapath_policy::place::{Choice, PlaceConfig, RequestCriteria, ServerSnapshot};
use galenapath_protocol::Micros;

#[test]
fn has_good_server_for_any_work_time() {
    for work in [20, 160, 1_200] {
        let mut placement = placement(&[true, true, false]);
        placement.assume_work(Micros::from_millis(work * 5 / 2));
        placement.observe(&id(0), observation(START, 2, 100));
        placement.observe(&id(1), observation(START, 6, 100));
        placement.observe(&id(2), observation(START, 0, 700));
        assert!(placement.has_good_server(START, &criteria(Micros::ZERO)), "work of {work} ms");
        let tried = [id(0)];
        let others = RequestCriteria { tried: &tried, ..criteria(Micros::ZERO) };
        assert!(!placement.has_good_server(START, &others), "work of {work} ms");
    }
}

#[test]
fn next_probe_at_slow_servers_first_if_slots_are_scarce() {
    let after = |pace, running| {
        let mut placement = placement(&[true, true, true]);
        placement.observe(&id(0), observation(START, 0, pace));
        for n in 1..3 {
            placement.observe(&id(n), observation(START, running, 100));
        }
        placement.next_probe_at(START, &id(0)) - START
    };
    let cfg = PlaceConfig::default();
    assert_eq!(after(100, 5), cfg.probe_after_usual);
    assert_eq!(after(400, 5), cfg.probe_after_slow);
    assert_eq!(after(400, 0), cfg.probe_after_slow_idle);
}

#[test]
fn next_probe_at_now_if_unobserved_and_soon_if_all_slow() {
    let mut placement = placement(&[true, true]);
    assert_eq!(placement.next_probe_at(START, &id(0)), START);
    placement.observe(&id(0), observation(START, 0, 400));
    placement.observe(&id(1), observation(START, 0, 400));
    let soon = START + PlaceConfig::default().probe_after_slow;
    assert_eq!(placement.next_probe_at(START, &id(0)), soon);
}

#[test]
fn contention_leaves_last_slots_free() {
    let mut placement = placement(&[true]);
    let uncontended = ServerSnapshot::default();
    let contended = ServerSnapshot { is_contended: true, ..ServerSnapshot::default() };
    for _ in 0..200 {
        placement.record_success(START, &id(0), WORK, uncontended);
        placement.record_success(START, &id(0), Micros(WORK.0 * 17 / 10), contended);
    }
    assert!(placement.contention() > 1.5, "{}", placement.contention());
    placement.observe(&id(0), observation(START, 4, 100));
    assert_eq!(placement.choose(START, &criteria(Micros::from_millis(400))), Choice::Wait);
    assert!((placement.good_slots(START) - 4.0).abs() < 0.1);
}

#[test]
fn work_not_raised_by_slow_periods() {
    let mut placement = placement(&[true]);
    for _ in 0..200 {
        placement.record_success(START, &id(0), WORK, ServerSnapshot::default());
    }
    placement.observe(&id(0), observation(START, 1, 700));
    for _ in 0..200 {
        placement.record_success(
            START,
            &id(0),
            Micros(WORK.0 * 7),
            ServerSnapshot { is_slow: true, ..ServerSnapshot::default() },
        );
    }
    let work = placement.work();
    assert!(work.0 < WORK.0 * 11 / 10, "{work:?}");
}

#[test]
fn is_fit_compares_with_snapshot() {
    let mut placement = placement(&[true]);
    placement.observe(&id(0), observation(START, 0, 100));
    let snapshot = placement.start(START, &id(0));
    assert!(placement.is_fit(START, &id(0), snapshot));
    placement.observe(&id(0), observation(START + Micros(1), 0, 700));
    assert!(!placement.is_fit(START + Micros(1), &id(0), snapshot));
    // The server was known to be slow and selected nevertheless.
    let known = placement.start(START + Micros(1), &id(0));
    assert!(known.is_slow);
    assert!(placement.is_fit(START + Micros(1), &id(0), known));
    placement.finish(&id(0));
    placement.observe(&id(0), observation(START + Micros(2), 6, 100));
    assert!(!placement.is_fit(START + Micros(2), &id(0), snapshot), "full");
}

#[test]
fn is_fit_false_if_contended_since_assignment() {
    let mut placement = placement(&[true]);
    for _ in 0..200 {
        placement.record_success(START, &id(0), WORK, ServerSnapshot::default());
        let contended = ServerSnapshot { is_contended: true, ..ServerSnapshot::default() };
        placement.record_success(START, &id(0), Micros(WORK.0 * 17 / 10), contended);
    }
    placement.observe(&id(0), observation(START, 1, 100));
    let snapshot = placement.start(START, &id(0));
    // Other instances have sent four requests meanwhile.
    placement.observe(&id(0), observation(START + Micros(1), 4, 100));
    assert!(!placement.is_fit(START + Micros(1), &id(0), snapshot));
}

#[test]
fn is_fit_false_if_slow_again() {
    let mut placement = placement(&[true, true]);
    placement.observe(&id(0), observation(START, 0, 700));
    let later = START + Micros::from_secs(2);
    let snapshot = placement.start(later, &id(0));
    placement.observe(&id(0), observation(later, 0, 700));
    // The server is slow again. It was selected because the old observation had lost its weight,
    // not because slow was good enough.
    assert!(!placement.is_fit(later, &id(0), snapshot));
}

#[test]
fn work_corrected_from_wrong_assumption() {
    for (assumed, outliers) in [(1, 0), (1, 2), (1_000, 0), (40, 5)] {
        let mut placement = placement(&[true]);
        placement.assume_work(Micros::from_millis(assumed * 5 / 2));
        for n in 0..200 {
            // Some answers are outliers that take almost no time.
            let latency = if n < outliers { Micros::from_millis(2) } else { WORK };
            placement.record_success(START, &id(0), latency, ServerSnapshot::default());
        }
        let work = placement.work();
        let is_right = work.0 > WORK.0 * 9 / 10 && work.0 < WORK.0 * 11 / 10;
        assert!(is_right, "assumed {assumed} ms, {outliers} outliers: {work:?}");
    }
}

#[test]
fn load_after_answer_leaves_slot_to_others() {
    let reported = observation(START, 6, 100);
    // The load on an answer counts the request that is answered.
    let mut own = placement(&[true]);
    own.start(START, &id(0));
    own.mark_sent(&id(0));
    own.observe(&id(0), reported);
    own.finish(&id(0));
    let now = criteria(Micros::from_millis(400));
    let mut other = placement(&[true]);
    other.observe(&id(0), reported.with_load(own.load(&id(0))));
    assert_eq!(other.choose(START, &now), Choice::Server(id(0)));
    // A waiting request takes the slot before the other instances receive the load.
    own.start(START, &id(0));
    let mut other = placement(&[true]);
    other.observe(&id(0), reported.with_load(own.load(&id(0))));
    assert_eq!(other.choose(START, &now), Choice::Wait);
}
