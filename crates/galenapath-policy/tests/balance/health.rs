use crate::support::{MS, TYPICAL_LATENCY, count_choices, handle, handles, warmed_up};
use galenapath_policy::{BackendHandle, Balancer, Outcome};
use galenapath_protocol::Micros;

const SERVERS: usize = 5;

/// Sends two requests to each server; all are answered on time except those to `straggler`.
fn start_round_with_straggler(
    balancer: &mut Balancer,
    now: Micros,
    straggler: BackendHandle,
) -> Micros {
    let all = handles(balancer, now);
    for handle in all.iter().flat_map(|s| [*s, *s]) {
        balancer.start(now, handle);
    }
    let now = now + TYPICAL_LATENCY;
    for handle in all.into_iter().filter(|s| *s != straggler).flat_map(|s| [s, s]) {
        balancer.finish(now, handle, Outcome::Answered, TYPICAL_LATENCY);
    }
    now
}

fn fail(balancer: &mut Balancer, now: Micros, handle: BackendHandle, times: usize) {
    for _ in 0..times {
        balancer.start(now, handle);
        balancer.finish(now, handle, Outcome::FastFailure, Micros(200));
    }
}

#[test]
fn choose_straggler_avoided_before_its_first_answer() {
    let (mut balancer, now) = warmed_up(SERVERS, 0);
    let straggler = handle(&mut balancer, now, "h0");
    let mut now = start_round_with_straggler(&mut balancer, now, straggler) + Micros(20 * MS);
    // Gives the other servers at least the load of the straggler, so that load does not decide.
    for handle in handles(&mut balancer, now).into_iter().filter(|s| *s != straggler) {
        (0..4).for_each(|_| balancer.start(now, handle));
    }
    assert_eq!(count_choices(&mut balancer, now, straggler, 100), 0);
    now = now + Micros(MS);
    assert_eq!(balancer.free_slots(now), 4 * 2);
}

#[test]
fn choose_fast_failure_avoided() {
    let (mut balancer, now) = warmed_up(SERVERS, 0);
    let failing = handle(&mut balancer, now, "h0");
    for handle in handles(&mut balancer, now).into_iter().filter(|s| *s != failing) {
        (0..4).for_each(|_| balancer.start(now, handle));
    }
    assert_eq!(count_choices(&mut balancer, now, failing, 100), 100);
    fail(&mut balancer, now, failing, 3);
    assert_eq!(count_choices(&mut balancer, now, failing, 100), 0);
}

#[test]
fn choose_majority_failing_none_passed_over() {
    let (mut balancer, now) = warmed_up(SERVERS, 0);
    let all = handles(&mut balancer, now);
    let healthy = all[4];
    for handle in &all[..4] {
        fail(&mut balancer, now, *handle, 3);
    }
    (0..4).for_each(|_| balancer.start(now, healthy));
    assert_eq!(count_choices(&mut balancer, now, healthy, 100), 0);
}

#[test]
fn choose_one_of_two_failing_avoided() {
    let (mut balancer, now) = warmed_up(2, 0);
    let failing = handle(&mut balancer, now, "h0");
    let other = handle(&mut balancer, now, "h1");
    fail(&mut balancer, now, failing, 3);
    (0..4).for_each(|_| balancer.start(now, other));
    assert_eq!(count_choices(&mut balancer, now, failing, 100), 0);
}

#[test]
fn choose_without_trial_ejected_server_not_chosen() {
    let (mut balancer, now) = warmed_up(SERVERS, 0);
    let failing = handle(&mut balancer, now, "h0");
    fail(&mut balancer, now, failing, 3);
    let now = now + Micros(100 * MS);
    assert_ne!(balancer.choose_without_trial(now, &[]), Some(failing));
    assert_eq!(balancer.choose(now, &[]), Some(failing));
}

#[test]
fn choose_ejected_single_trial() {
    let (mut balancer, now) = warmed_up(SERVERS, 0);
    let failing = handle(&mut balancer, now, "h0");
    fail(&mut balancer, now, failing, 3);
    let now = now + Micros(100 * MS);
    assert_eq!(count_choices(&mut balancer, now, failing, 10), 10);
    balancer.start(now, failing);
    assert_eq!(count_choices(&mut balancer, now, failing, 10), 0);
    balancer.finish(now, failing, Outcome::FastFailure, Micros(200));
    // The next trial is due after twice the interval.
    assert_eq!(count_choices(&mut balancer, now + Micros(197 * MS), failing, 10), 0);
    assert_eq!(count_choices(&mut balancer, now + Micros(198 * MS), failing, 10), 10);
}

#[test]
fn choose_trials_shared_by_dispatchers() {
    for (dispatchers, wait) in [(3, 99), (12, 396)] {
        let (mut balancer, now) = warmed_up(SERVERS, 0);
        balancer.set_dispatchers(now, dispatchers);
        let failing = handle(&mut balancer, now, "h0");
        fail(&mut balancer, now, failing, 3);
        assert_eq!(count_choices(&mut balancer, now + Micros((wait - 1) * MS), failing, 10), 0);
        assert_eq!(count_choices(&mut balancer, now + Micros(wait * MS), failing, 10), 10);
    }
}

#[test]
fn choose_ejected_readmitted_after_successful_trials() {
    let (mut balancer, now) = warmed_up(SERVERS, 0);
    let failing = handle(&mut balancer, now, "h0");
    let all_free = balancer.free_slots(now);
    fail(&mut balancer, now, failing, 3);
    assert!(balancer.free_slots(now) < all_free);
    let mut now = now + Micros(100 * MS);
    for _ in 0..3 {
        assert_eq!(balancer.choose(now, &[]), Some(failing));
        balancer.start(now, failing);
        now = now + TYPICAL_LATENCY;
        balancer.finish(now, failing, Outcome::Answered, TYPICAL_LATENCY);
    }
    assert_eq!(balancer.free_slots(now), all_free);
}

#[test]
fn choose_inconclusive_trial_repeated() {
    let (mut balancer, now) = warmed_up(SERVERS, 0);
    let failing = handle(&mut balancer, now, "h0");
    fail(&mut balancer, now, failing, 3);
    let now = now + Micros(100 * MS);
    balancer.start(now, failing);
    balancer.finish(now, failing, Outcome::Cancelled, Micros(MS));
    assert_eq!(count_choices(&mut balancer, now + Micros(1_000 * MS), failing, 10), 10);
}

#[test]
fn choose_all_slow_at_once_none_avoided() {
    let (mut balancer, mut now) = warmed_up(SERVERS, 0);
    for _ in 0..40 {
        let all = handles(&mut balancer, now);
        all.iter().for_each(|s| balancer.start(now, *s));
        now = now + Micros(50 * MS);
        assert!(balancer.choose(now, &[]).is_some());
        all.iter().for_each(|s| balancer.finish(now, *s, Outcome::Answered, Micros(50 * MS)));
    }
    assert_eq!(balancer.free_slots(now), 6 * SERVERS as u32);
}
