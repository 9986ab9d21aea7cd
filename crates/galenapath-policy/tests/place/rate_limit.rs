//! A server that names a rate limit under the load of many instances, some of which restart.

use crate::limited_fleet::{ALL, ENDS_AT, Plan, allowed, play, play_until};
use crate::support::{START, ask, id, server, sighting};
use galenapath_policy::place::{Choice, Placement, RateLimit, Started};
use galenapath_protocol::Micros;
use proptest::prelude::*;

fn calm(instances: usize, limit: f64) -> Plan {
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
    fn limit_kept_by_all_instances_whatever_restarts_or_gets_lost(
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
        let fleet = play(plan);
        let most = fleet.most();
        prop_assert!(most as f64 <= allowed(limit), "{} of {}", most, allowed(limit));
    }
}

#[test]
fn limit_kept_by_hundreds_of_instances_and_used() {
    for limit in [0.0, 0.5, 2.1, 6.1, 40.0] {
        let fleet = play(calm(300, limit));
        let most = fleet.most() as f64;
        assert!(most <= allowed(limit), "{most} at a limit of {limit}");
        // Instances that send it nothing else use most of what it takes.
        assert!(most >= limit * 4.0 * 0.6, "{most} at a limit of {limit}");
    }
}

#[test]
fn limit_overrun_where_each_instance_keeps_it_for_itself() {
    let fleet = play(Plan { is_split: false, ..calm(16, 2.1) });
    assert!(fleet.most() as f64 > allowed(2.1), "{}", fleet.most());
}

#[test]
fn limit_that_has_ended_is_forgotten_by_all() {
    let mut plan = calm(24, 2.0);
    plan.loss = 0.2;
    // Five times as long as it takes until it is told again.
    let fleet = play_until(plan, ENDS_AT + Micros::from_secs(11));
    for node in &fleet.nodes {
        assert_eq!(node.placement.limited_count(), 0);
    }
}

/// A placement that has heard of a limit of the first server, of which all falls to it.
fn limited(per_second: f64) -> Placement {
    let mut placement = crate::support::placement(&[true, true]);
    hear(&mut placement, Some(per_second), START);
    placement.share_limits(START, |_, _| ALL);
    placement
}

fn hear(placement: &mut Placement, per_second: Option<f64>, said_at: Micros) -> bool {
    placement.hear_limit(said_at, &id(0), RateLimit { per_second, said_at })
}

#[test]
fn limit_ended_by_an_answer_to_a_request_sent_before_it_was_named() {
    let mut placement = limited(2.0);
    assert!(!hear(&mut placement, None, START - Micros::from_millis(5)));
    assert!(placement.is_limited(&id(0)));
    assert!(hear(&mut placement, None, START + Micros::from_millis(5)));
    assert!(!placement.is_limited(&id(0)));
}

#[test]
fn server_that_has_named_a_limit_is_unfit_for_what_was_given_before() {
    let mut placement = crate::support::placement(&[true, true]);
    let before = placement.start(START, &id(0));
    assert!(placement.may_send(START, &id(0), before));
    hear(&mut placement, Some(2.0), START);
    assert!(!placement.may_send(START, &id(0), before));
    assert!(placement.may_send(START, &id(0), Started { is_limited: true, ..before }));
    assert!(!placement.is_fit(START, &id(0), before));
}

#[test]
fn limited_server_takes_sends_again_and_questions_from_its_limit() {
    let mut placement = limited(2.0);
    let half = START + Micros::from_millis(500);
    assert!(!placement.send_again(START, &id(0)));
    assert!(placement.send_again(half, &id(0)));
    assert!(!placement.take_question(half, &id(0)));
    assert!(placement.take_question(half + Micros::from_millis(500), &id(0)));
    // One that names none takes any.
    assert!(placement.take_question(half, &id(1)));
    assert!(placement.send_again(half, &id(1)));
}

#[test]
fn limit_that_nobody_confirms_lapses() {
    let mut placement = limited(2.0);
    let all = |_: &_, _| ALL;
    placement.share_limits(START + Micros::from_secs(59), all);
    assert!(placement.is_limited(&id(0)));
    placement.share_limits(START + Micros::from_secs(60), all);
    assert!(!placement.is_limited(&id(0)));
}

#[test]
fn slots_of_limited_servers_count_as_far_as_their_limit_goes() {
    let placement = limited(2.0);
    let work = placement.work().0 as f32 / 1e6;
    assert!((placement.good_slots(START) - (6.0 + 2.0 * work)).abs() < 0.01);
}

#[test]
fn limit_outlives_an_entry_that_lapses_and_comes_back() {
    let mut placement = limited(2.0);
    let both = [server(0, true), server(1, true)];
    placement.set_servers(START, &both[1..]);
    let back = START + Micros::from_secs(8);
    placement.set_servers(back, &both);
    assert!(placement.is_limited(&id(0)));
    assert!(!placement.is_limited(&id(1)));
    // It is long since the server said so: another run of it may have said otherwise to nobody.
    placement.set_servers(back, &both[1..]);
    placement.set_servers(back + Micros::from_secs(60), &both);
    assert!(!placement.is_limited(&id(0)));
}

#[test]
fn limited_server_is_waited_for_only_where_its_turn_comes_in_time() {
    // The other one is slow: its answer would be too late for most.
    let mut placement = limited(2.0);
    placement.see(&id(0), sighting(START, 0, 100));
    placement.see(&id(1), sighting(START, 0, 3_000));
    let chosen = |placement: &mut Placement, left_ms| {
        placement.choose(START, &ask(Micros::from_millis(left_ms)))
    };
    assert_eq!(chosen(&mut placement, 700), Choice::Wait);
    assert_eq!(chosen(&mut placement, 400), Choice::Server(id(1)));
    placement.mark_leaving(&id(1));
    assert_eq!(chosen(&mut placement, 700), Choice::Wait);
    assert_eq!(chosen(&mut placement, 400), Choice::Nowhere);
}

#[test]
fn limit_named_while_the_entry_is_gone_holds_when_it_is_back() {
    let mut placement = crate::support::placement(&[true, true]);
    let both = [server(0, true), server(1, true)];
    placement.set_servers(START, &both[1..]);
    // The answer to a request that was sent before.
    assert!(!hear(&mut placement, Some(2.0), START));
    placement.set_servers(START + Micros::from_secs(3), &both);
    assert!(placement.is_limited(&id(0)));
}
