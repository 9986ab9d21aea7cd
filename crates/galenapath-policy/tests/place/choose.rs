//! Server selection.

use crate::support::{START, WORK, criteria, id, observation, placement, server, spread};
use galenapath_policy::place::{
    Choice, LoadObservation, PlaceConfig, PlacedServer, Placement, RequestCriteria, ServerSnapshot,
};
use galenapath_protocol::Micros;

/// Many instances with the same observations place one request each; returns the largest number
/// that select the same server.
fn max_at_one_server(observations: &[(usize, LoadObservation)]) -> usize {
    const INSTANCES: u64 = 40;
    const SERVERS: usize = 50;
    let mut counts = [0; SERVERS];
    for seed in 0..INSTANCES {
        let mut placement = Placement::new(PlaceConfig::default(), seed);
        let list: Vec<_> = (0..SERVERS).map(|n| server(n, true)).collect();
        placement.set_servers(START, &list);
        for (n, observation) in observations {
            placement.observe(&id(*n), *observation);
        }
        let choice = placement.choose(START, &criteria(Micros::from_millis(400)));
        let Choice::Server(chosen) = choice else { continue };
        counts[chosen.0[1..].parse::<usize>().unwrap_or(0)] += 1;
    }
    counts.into_iter().max().unwrap_or(0)
}

#[test]
fn choose_slow_avoided() {
    let mut placement = placement(&[true, true, true]);
    placement.observe(&id(1), observation(START, 0, 700));
    let counts = spread(&mut placement, START, &criteria(Micros::from_millis(400)), 100);
    assert_eq!(counts[1], 0);
    assert!(counts[0] > 20 && counts[2] > 20, "{counts:?}");
}

#[test]
fn choose_connected_preferred_among_equals() {
    let mut placement = placement(&[true; 8]);
    placement.set_connected(&id(3), true);
    let counts = spread(&mut placement, START, &criteria(Micros::from_millis(400)), 100);
    assert!(counts[3] > 60, "{counts:?}");
}

#[test]
fn choose_connected_avoided_when_slow_or_full() {
    for (running, pace) in [(0, 700), (5, 100)] {
        let mut placement = placement(&[true; 8]);
        placement.set_connected(&id(3), true);
        placement.observe(&id(3), observation(START, running, pace));
        let counts = spread(&mut placement, START, &criteria(Micros::from_millis(400)), 100);
        assert!(counts[3] < 10, "{running} running at {pace}: {counts:?}");
    }
}

#[test]
fn choose_few_connections_for_occasional_requests() {
    // One request per 700 ms among 120 servers; a connection stays open for 8 s.
    let mut placement = placement(&[true; 120]);
    let mut kept: Vec<(usize, Micros)> = Vec::new();
    let mut opened = 0;
    for n in 0..100 {
        let now = START + Micros::from_millis(n * 700);
        kept.retain(|(server, since)| {
            let is_kept = now - *since < Micros::from_secs(8);
            placement.set_connected(&id(*server), is_kept);
            is_kept
        });
        let choice = placement.choose(now, &criteria(Micros::from_millis(400)));
        let Choice::Server(chosen) = choice else { panic!("{choice:?}") };
        let server: usize = chosen.0[1..].parse().unwrap_or(0);
        opened += usize::from(!kept.iter().any(|(kept_server, _)| *kept_server == server));
        kept.retain(|(kept_server, _)| *kept_server != server);
        kept.push((server, now));
        placement.set_connected(&id(server), true);
    }
    assert!(opened < 40, "{opened} connections for 100 requests");
}

#[test]
fn choose_slow_selected_once_stale() {
    let mut placement = placement(&[true, true]);
    placement.observe(&id(0), observation(START, 0, 700));
    placement.observe(&id(1), observation(START, 5, 100));
    let later = START + Micros::from_secs(3);
    let counts = spread(&mut placement, later, &criteria(Micros::from_millis(400)), 100);
    assert!(counts[0] > 90, "a stale slow observation must have little weight: {counts:?}");
}

#[test]
fn choose_older_observation_ignored() {
    let mut placement = placement(&[true, true]);
    assert!(placement.observe(&id(0), observation(START, 0, 100)));
    assert!(!placement.observe(&id(0), observation(START - Micros::from_millis(5), 0, 700)));
    assert!(!placement.last_observation(&id(0)).is_some_and(|observation| observation.is_slow()));
}

#[test]
fn choose_local_preferred_until_full_or_slow() {
    let local_when = |running, pace| {
        let mut placement = placement(&[true, false]);
        placement.observe(&id(0), observation(START, running, pace));
        spread(&mut placement, START, &criteria(Micros::from_millis(400)), 50)[0]
    };
    assert_eq!([0, 3, 5].map(|running| local_when(running, 100)), [50, 50, 50]);
    assert_eq!(local_when(6, 100), 0);
    assert_eq!(local_when(0, 400), 0);
}

#[test]
fn choose_remote_once_contention_is_known() {
    let mut placement = placement(&[true, false]);
    for n in 0..60 {
        let is_contended = n % 2 == 0;
        let snapshot = ServerSnapshot { is_contended, ..ServerSnapshot::default() };
        let latency = Micros(WORK.0 * if is_contended { 17 } else { 10 } / 10);
        placement.record_success(START, &id(0), latency, snapshot);
    }
    placement.observe(&id(0), observation(START, 4, 100));
    let counts = spread(&mut placement, START, &criteria(Micros::from_millis(400)), 50);
    assert_eq!(counts[0], 0, "{counts:?}");
}

#[test]
fn choose_large_answer_remote_only_if_local_slow() {
    let large = RequestCriteria { is_large: true, ..criteria(Micros::from_millis(2_000)) };
    let mut placement = placement(&[true, false]);
    placement.observe(&id(0), observation(START, 4, 100));
    let counts = spread(&mut placement, START, &large, 50);
    assert_eq!(counts[1], 0);
    placement.observe(&id(0), observation(START + Micros(1), 4, 700));
    let counts = spread(&mut placement, START + Micros(1), &large, 50);
    assert!(counts[1] > 40, "{counts:?}");
}

#[test]
fn choose_waits_for_good_server_while_in_time() {
    let mut placement = placement(&[true, true]);
    placement.observe(&id(0), observation(START, 6, 100));
    placement.observe(&id(1), observation(START, 0, 700));
    assert_eq!(placement.choose(START, &criteria(Micros::from_millis(400))), Choice::Wait);
    // The slow server would answer in time.
    let with_time = criteria(Micros::from_millis(2_000));
    assert_eq!(placement.choose(START, &with_time), Choice::Server(id(1)));
}

#[test]
fn choose_no_server_without_candidates() {
    let mut none = placement(&[]);
    assert_eq!(none.choose(START, &criteria(WORK)), Choice::NoServer);
    let mut one = placement(&[true]);
    one.mark_unreachable(START, &id(0));
    assert_eq!(one.choose(START, &criteria(WORK)), Choice::NoServer);
    one.mark_reachable(&id(0));
    assert_eq!(one.choose(START, &criteria(WORK)), Choice::Server(id(0)));
    let tried = [id(0)];
    let again = RequestCriteria { tried: &tried, ..criteria(WORK) };
    assert_eq!(one.choose(START, &again), Choice::NoServer);
}

#[test]
fn choose_leaving_never() {
    let mut placement = placement(&[true, true]);
    placement.mark_leaving(&id(0));
    // An outdated list must not bring it back.
    placement.set_servers(START, &[server(0, true), server(1, true)]);
    let counts = spread(&mut placement, START, &criteria(Micros::from_millis(400)), 50);
    assert_eq!(counts[0], 0);
}

#[test]
fn choose_failing_last_and_retried_later() {
    let mut placement = placement(&[true, true]);
    placement.record_failure(START, &id(0), 1.0);
    let counts = spread(&mut placement, START, &criteria(Micros::from_millis(400)), 50);
    assert_eq!(counts[0], 0);
    let later = START + Micros::from_secs(20);
    let counts = spread(&mut placement, later, &criteria(Micros::from_millis(400)), 50);
    assert!(counts[0] > 5, "{counts:?}");
}

/// Eight full local servers without slowdown, and eight remote ones whose last observation is half
/// a second old, some of them slow at that time.
fn full_local_servers(now: Micros) -> Placement {
    let mut is_local = vec![true; 8];
    is_local.extend([false; 8]);
    let mut placement = placement(&is_local);
    for round in 0..20 {
        let at = START + Micros::from_millis(round * 10);
        for n in 0..16 {
            let pace = if n % 5 < 2 { 700 } else { 100 };
            placement.observe(&id(n), observation(at, if n < 8 { 6 } else { 0 }, pace));
        }
    }
    for n in 0..8 {
        placement.observe(&id(n), observation(now, 6, 100));
    }
    placement
}

#[test]
fn choose_stale_server_rather_than_wait() {
    let now = START + Micros::from_millis(700);
    let mut placement = full_local_servers(now);
    let in_time = criteria(Micros::from_millis(250));
    let Choice::Server(chosen) = placement.choose(now, &in_time) else {
        panic!("a request waits while servers are free");
    };
    let n: usize = chosen.0[1..].parse().unwrap_or(0);
    assert!(n >= 8, "{chosen:?}");
    // A server that is known to be slow is still too late.
    for n in 8..16 {
        placement.observe(&id(n), observation(now, 0, 700));
    }
    assert_eq!(placement.choose(now, &in_time), Choice::Wait);
}

#[test]
fn choose_waits_while_stale_servers_are_full() {
    let now = START + Micros::from_millis(700);
    let mut placement = full_local_servers(now);
    let in_time = criteria(Micros::from_millis(250));
    let mut attempts = 0;
    while let Choice::Server(chosen) = placement.choose(now, &in_time) {
        let snapshot = placement.start(now, &chosen);
        placement.finish(&chosen);
        placement.record_fitness(snapshot, false);
        attempts += 1;
        assert!(attempts < 20, "queries to stale servers never stop");
    }
    assert!(attempts > 3, "queries to stale servers stopped after {attempts}");
    // Requests whose target leaves more time, or that accept any server, keep querying.
    let late = criteria(Micros::from_millis(900));
    for _ in 0..20 {
        let Choice::Server(chosen) = placement.choose(now, &late) else {
            panic!("a request with time waits while servers are free");
        };
        let snapshot = placement.start(now, &chosen);
        placement.finish(&chosen);
        placement.record_fitness(snapshot, true);
    }
    assert!(matches!(placement.choose(now, &in_time), Choice::Server(_)));
}

#[test]
fn choose_new_server_after_cold_start() {
    let mut placement = placement(&[true]);
    let cold = PlacedServer { cold_for: Micros::from_secs(3), ..server(1, true) };
    placement.set_servers(START, &[server(0, true), cold]);
    let in_time = criteria(Micros::from_millis(400));
    assert_eq!(spread(&mut placement, START, &in_time, 50)[1], 0);
    let later = START + Micros::from_secs(4);
    assert!(spread(&mut placement, later, &in_time, 50)[1] > 10);
}

#[test]
fn choose_same_observations_spread_over_servers() {
    let old = START - Micros::from_millis(120);
    // A quarter of the servers is slow, the others are not, and one of these was observed just now.
    let pace = |n: usize| if n.is_multiple_of(4) { 700 } else { 100 };
    let mut observations: Vec<_> = (0..50).map(|n| (n, observation(old, 1, pace(n)))).collect();
    observations.push((1, observation(START, 0, 100)));
    let most = max_at_one_server(&observations);
    assert!(most <= 16, "{most} of 40 at one server");
}

#[test]
fn choose_best_of_all_if_sample_is_bad() {
    let mut placement = Placement::new(PlaceConfig::default(), 3);
    let list: Vec<_> = (0..50).map(|n| server(n, true)).collect();
    placement.set_servers(START, &list);
    for n in 0..50 {
        placement.observe(&id(n), observation(START, 1, if n == 37 { 100 } else { 700 }));
    }
    for _ in 0..20 {
        let choice = placement.choose(START, &criteria(Micros::from_millis(400)));
        assert_eq!(choice, Choice::Server(id(37)));
    }
}
