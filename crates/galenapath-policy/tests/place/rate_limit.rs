//! Rate-limited servers under the load of many instances, some of which restart.

use crate::limited_fleet::{ENDS_AT, Plan, WHOLE_LIMIT, max_allowed, run, run_until};
use crate::support::{START, criteria, id, observation, server};
use galenapath_policy::place::{Choice, Placement, RateLimit, ServerSnapshot};
use galenapath_protocol::Micros;
use proptest::prelude::*;

fn lossless_plan(instances: usize, limit: f64) -> Plan {
    Plan {
        seed: 1,
        instances,
        domains: 3,
        limit,
        demand: 20.0,
        is_for_all: false,
        restarts: 0.0,
        loss: 0.0,
        is_split: true,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 32, ..ProptestConfig::default() })]

    #[test]
    fn limit_kept_despite_restarts_and_losses(
        seed in any::<u64>(),
        instances in 1_usize..32,
        domains in 1_usize..4,
        limit in prop_oneof![0.0..3.0, 3.0..40.0],
        demand in 1.0..40.0,
        is_for_all in any::<bool>(),
        restarts in 0.0..2.0,
        loss in 0.0..0.2,
    ) {
        let is_split = true;
        let plan =
            Plan { seed, instances, domains, limit, demand, is_for_all, restarts, loss, is_split };
        let fleet = run(plan);
        let requests = fleet.max_requests_in_span();
        prop_assert!(
            requests as f64 <= max_allowed(limit),
            "{} of {}",
            requests,
            max_allowed(limit)
        );
    }
}

#[test]
fn limit_kept_and_used_by_hundreds_of_instances() {
    for limit in [0.0, 0.5, 2.1, 6.1, 40.0] {
        let fleet = run(lossless_plan(300, limit));
        let requests = fleet.max_requests_in_span() as f64;
        assert!(requests <= max_allowed(limit), "{requests} at a limit of {limit}");
        // Instances that have no other traffic for the server use most of its limit.
        assert!(requests >= limit * 4.0 * 0.6, "{requests} at a limit of {limit}");
    }
}

#[test]
fn limit_exceeded_if_not_split() {
    let fleet = run(Plan { is_split: false, ..lossless_plan(16, 2.1) });
    assert!(
        fleet.max_requests_in_span() as f64 > max_allowed(2.1),
        "{}",
        fleet.max_requests_in_span()
    );
}

#[test]
fn limit_end_reaches_all() {
    let mut plan = lossless_plan(24, 2.0);
    plan.loss = 0.2;
    // Five times the interval at which the end of a limit is repeated.
    let fleet = run_until(plan, ENDS_AT + Micros::from_secs(11));
    for node in &fleet.nodes {
        assert_eq!(node.placement.limited_count(), 0);
    }
}

/// A placement with the rate limit of the first server, the whole of which is assigned to it.
fn limited(per_second: f64) -> Placement {
    let mut placement = crate::support::placement(&[true, true]);
    state_limit(&mut placement, Some(per_second), START);
    placement.assign_limit_shares(START, |_, _| WHOLE_LIMIT);
    placement
}

fn state_limit(placement: &mut Placement, per_second: Option<f64>, stated_at: Micros) -> bool {
    placement.update_limit(stated_at, &id(0), RateLimit { per_second, stated_at })
}

#[test]
fn update_limit_ignores_older_statement() {
    let mut placement = limited(2.0);
    assert!(!state_limit(&mut placement, None, START - Micros::from_millis(5)));
    assert!(placement.is_limited(&id(0)));
    assert!(state_limit(&mut placement, None, START + Micros::from_millis(5)));
    assert!(!placement.is_limited(&id(0)));
}

#[test]
fn may_send_false_if_limited_since_assignment() {
    let mut placement = crate::support::placement(&[true, true]);
    let before = placement.start(START, &id(0));
    assert!(placement.may_send(START, &id(0), before));
    state_limit(&mut placement, Some(2.0), START);
    assert!(!placement.may_send(START, &id(0), before));
    assert!(placement.may_send(START, &id(0), ServerSnapshot { is_limited: true, ..before }));
    assert!(!placement.is_fit(START, &id(0), before));
}

#[test]
fn limit_charged_for_resends_and_queries() {
    let mut placement = limited(2.0);
    let half = START + Micros::from_millis(500);
    assert!(!placement.try_count_resend(START, &id(0)));
    assert!(placement.try_count_resend(half, &id(0)));
    assert!(!placement.try_take_query(half, &id(0)));
    assert!(placement.try_take_query(half + Micros::from_millis(500), &id(0)));
    // A server without a rate limit accepts any number.
    assert!(placement.try_take_query(half, &id(1)));
    assert!(placement.try_count_resend(half, &id(1)));
}

#[test]
fn limit_expires_without_confirmation() {
    let mut placement = limited(2.0);
    let all = |_: &_, _| WHOLE_LIMIT;
    placement.assign_limit_shares(START + Micros::from_secs(59), all);
    assert!(placement.is_limited(&id(0)));
    placement.assign_limit_shares(START + Micros::from_secs(60), all);
    assert!(!placement.is_limited(&id(0)));
}

#[test]
fn good_slots_bounded_by_limit() {
    let placement = limited(2.0);
    let work = placement.work().0 as f32 / 1e6;
    assert!((placement.good_slots(START) - (6.0 + 2.0 * work)).abs() < 0.01);
}

#[test]
fn limit_kept_while_delisted() {
    let mut placement = limited(2.0);
    let both = [server(0, true), server(1, true)];
    placement.set_servers(START, &both[1..]);
    let back = START + Micros::from_secs(8);
    placement.set_servers(back, &both);
    assert!(placement.is_limited(&id(0)));
    assert!(!placement.is_limited(&id(1)));
    // The statement is too old: a later process run may have stated otherwise without this instance
    // learning of it.
    placement.set_servers(back, &both[1..]);
    placement.set_servers(back + Micros::from_secs(60), &both);
    assert!(!placement.is_limited(&id(0)));
}

#[test]
fn choose_waits_for_limited_server_if_in_time() {
    // The other server is slow: its answer would be too late for most requests.
    let mut placement = limited(2.0);
    placement.observe(&id(0), observation(START, 0, 100));
    placement.observe(&id(1), observation(START, 0, 3_000));
    let chosen = |placement: &mut Placement, left_ms| {
        placement.choose(START, &criteria(Micros::from_millis(left_ms)))
    };
    assert_eq!(chosen(&mut placement, 700), Choice::Wait);
    assert_eq!(chosen(&mut placement, 400), Choice::Server(id(1)));
    placement.mark_leaving(&id(1));
    assert_eq!(chosen(&mut placement, 700), Choice::Wait);
    assert_eq!(chosen(&mut placement, 400), Choice::NoServer);
}

#[test]
fn limit_while_delisted_applies_when_listed_again() {
    let mut placement = crate::support::placement(&[true, true]);
    let both = [server(0, true), server(1, true)];
    placement.set_servers(START, &both[1..]);
    // The answer to a request that was sent before.
    assert!(!state_limit(&mut placement, Some(2.0), START));
    placement.set_servers(START + Micros::from_secs(3), &both);
    assert!(placement.is_limited(&id(0)));
}
