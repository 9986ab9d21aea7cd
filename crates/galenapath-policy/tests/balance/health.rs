use crate::support::{MS, USUAL, chosen, slot, slots, warm};
use galenapath_policy::{Balancer, Outcome, Slot};
use galenapath_protocol::Micros;

const SERVERS: usize = 5;

/// Two requests to each server, all answered in time but those of `straggler`.
fn round_with_straggler(balancer: &mut Balancer, now: Micros, straggler: Slot) -> Micros {
    let all = slots(balancer, now);
    for slot in all.iter().flat_map(|s| [*s, *s]) {
        balancer.start(now, slot);
    }
    let now = now + USUAL;
    for slot in all.into_iter().filter(|s| *s != straggler).flat_map(|s| [s, s]) {
        balancer.finish(now, slot, Outcome::Answered, USUAL);
    }
    now
}

fn fail(balancer: &mut Balancer, now: Micros, slot: Slot, times: usize) {
    for _ in 0..times {
        balancer.start(now, slot);
        balancer.finish(now, slot, Outcome::FastFailure, Micros(200));
    }
}

#[test]
fn choose_straggler_avoided_before_it_answers() {
    let (mut balancer, now) = warm(SERVERS, 0);
    let straggler = slot(&mut balancer, now, "h0");
    let mut now = round_with_straggler(&mut balancer, now, straggler) + Micros(20 * MS);
    // The other servers are as busy as the straggler, so that load does not decide.
    for slot in slots(&mut balancer, now).into_iter().filter(|s| *s != straggler) {
        (0..4).for_each(|_| balancer.start(now, slot));
    }
    assert_eq!(chosen(&mut balancer, now, straggler, 100), 0);
    now = now + Micros(MS);
    assert_eq!(balancer.free_slots(now), 4 * 2);
}

#[test]
fn choose_fast_failure_avoided() {
    let (mut balancer, now) = warm(SERVERS, 0);
    let failing = slot(&mut balancer, now, "h0");
    for slot in slots(&mut balancer, now).into_iter().filter(|s| *s != failing) {
        (0..4).for_each(|_| balancer.start(now, slot));
    }
    assert_eq!(chosen(&mut balancer, now, failing, 100), 100);
    fail(&mut balancer, now, failing, 3);
    assert_eq!(chosen(&mut balancer, now, failing, 100), 0);
}

#[test]
fn choose_most_failing_none_passed_over() {
    let (mut balancer, now) = warm(SERVERS, 0);
    let all = slots(&mut balancer, now);
    let healthy = all[4];
    for slot in &all[..4] {
        fail(&mut balancer, now, *slot, 3);
    }
    (0..4).for_each(|_| balancer.start(now, healthy));
    assert_eq!(chosen(&mut balancer, now, healthy, 100), 0);
}

#[test]
fn choose_one_of_two_failing_avoided() {
    let (mut balancer, now) = warm(2, 0);
    let failing = slot(&mut balancer, now, "h0");
    let other = slot(&mut balancer, now, "h1");
    fail(&mut balancer, now, failing, 3);
    (0..4).for_each(|_| balancer.start(now, other));
    assert_eq!(chosen(&mut balancer, now, failing, 100), 0);
}

#[test]
fn choose_proven_no_trial() {
    let (mut balancer, now) = warm(SERVERS, 0);
    let failing = slot(&mut balancer, now, "h0");
    fail(&mut balancer, now, failing, 3);
    let now = now + Micros(100 * MS);
    assert_ne!(balancer.choose_proven(now, &[]), Some(failing));
    assert_eq!(balancer.choose(now, &[]), Some(failing));
}

#[test]
fn choose_ejected_single_trial() {
    let (mut balancer, now) = warm(SERVERS, 0);
    let failing = slot(&mut balancer, now, "h0");
    fail(&mut balancer, now, failing, 3);
    let now = now + Micros(100 * MS);
    assert_eq!(chosen(&mut balancer, now, failing, 10), 10);
    balancer.start(now, failing);
    assert_eq!(chosen(&mut balancer, now, failing, 10), 0);
    balancer.finish(now, failing, Outcome::FastFailure, Micros(200));
    // The next trial comes after twice the time.
    assert_eq!(chosen(&mut balancer, now + Micros(197 * MS), failing, 10), 0);
    assert_eq!(chosen(&mut balancer, now + Micros(198 * MS), failing, 10), 10);
}

#[test]
fn choose_trials_shared_by_dispatchers() {
    for (dispatchers, wait) in [(3, 99), (12, 396)] {
        let (mut balancer, now) = warm(SERVERS, 0);
        balancer.set_dispatchers(now, dispatchers);
        let failing = slot(&mut balancer, now, "h0");
        fail(&mut balancer, now, failing, 3);
        assert_eq!(chosen(&mut balancer, now + Micros((wait - 1) * MS), failing, 10), 0);
        assert_eq!(chosen(&mut balancer, now + Micros(wait * MS), failing, 10), 10);
    }
}

#[test]
fn choose_ejected_returns_after_good_trials() {
    let (mut balancer, now) = warm(SERVERS, 0);
    let failing = slot(&mut balancer, now, "h0");
    let usual = balancer.free_slots(now);
    fail(&mut balancer, now, failing, 3);
    assert!(balancer.free_slots(now) < usual);
    let mut now = now + Micros(100 * MS);
    for _ in 0..3 {
        assert_eq!(balancer.choose(now, &[]), Some(failing));
        balancer.start(now, failing);
        now = now + USUAL;
        balancer.finish(now, failing, Outcome::Answered, USUAL);
    }
    assert_eq!(balancer.free_slots(now), usual);
}

#[test]
fn choose_trial_refused_is_tried_again() {
    let (mut balancer, now) = warm(SERVERS, 0);
    let failing = slot(&mut balancer, now, "h0");
    fail(&mut balancer, now, failing, 3);
    let now = now + Micros(100 * MS);
    balancer.start(now, failing);
    balancer.finish(now, failing, Outcome::Cancelled, Micros(MS));
    assert_eq!(chosen(&mut balancer, now + Micros(1_000 * MS), failing, 10), 10);
}

#[test]
fn choose_all_slow_at_once_none_avoided() {
    let (mut balancer, mut now) = warm(SERVERS, 0);
    for _ in 0..40 {
        let all = slots(&mut balancer, now);
        all.iter().for_each(|s| balancer.start(now, *s));
        now = now + Micros(50 * MS);
        assert!(balancer.choose(now, &[]).is_some());
        all.iter().for_each(|s| balancer.finish(now, *s, Outcome::Answered, Micros(50 * MS)));
    }
    assert_eq!(balancer.free_slots(now), 6 * SERVERS as u32);
}
