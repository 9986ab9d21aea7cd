//! Cold servers under the load of many instances.

use galenapath_policy::place::{
    Choice, LoadObservation, PlaceConfig, PlacedServer, Placement, RequestCriteria, WarmUp,
};
use galenapath_protocol::{BackendId, LoadReport, Micros};
use std::collections::VecDeque;

const START: Micros = Micros::from_secs(10);
const SECOND: Micros = Micros::from_secs(1);
/// Number of instances that serve callers; the first one probes the servers.
const INSTANCES: usize = 24;
/// Number of servers, all cold.
const SERVERS: usize = 6;
/// Time between two requests at one instance.
const GAP: Micros = Micros::from_millis(4);
/// A cold server crashes above this multiple of its rate, plus some further requests.
const CRASH_FACTOR: f64 = 1.5;
const CRASH_SLACK: f64 = 8.0;

fn id(n: usize) -> BackendId {
    BackendId(format!("s{n}").into())
}

fn cold_servers(slots: u32) -> Vec<PlacedServer> {
    let server = |n| PlacedServer {
        id: id(n),
        slots,
        is_local: true,
        is_leaving: false,
        is_withdrawn: false,
        cold_for: Micros::from_secs(3),
    };
    (0..SERVERS).map(server).collect()
}

fn instances(slots: u32, per_second: f64) -> Vec<Placement> {
    let warm_up = WarmUp { duration: Micros::from_secs(3), per_second };
    let one = |seed| {
        let mut placement = Placement::new(PlaceConfig::default(), seed);
        placement.set_warm_up((per_second > 0.0).then_some(warm_up));
        placement.set_servers(START, &cold_servers(slots));
        placement
    };
    (0..INSTANCES as u64).map(one).collect()
}

/// Returns the requests of the worst second at one server, and the total of all sends. After one
/// second the servers are handed over from the first instance to the second, which learns of it a
/// quarter of a second earlier.
fn send_to_cold_servers(slots: u32, work: Micros, per_second: f64) -> (usize, usize) {
    let mut all = instances(slots, per_second);
    let mut arrivals = vec![VecDeque::new(); SERVERS];
    let mut running: Vec<(Micros, usize, usize)> = Vec::new();
    let (mut worst_second, mut total_sent) = (0, 0);
    let mut now = START;
    while now < START + SECOND + SECOND {
        for (at, placement) in all.iter_mut().enumerate() {
            let handed_over = START + SECOND;
            let is_assigned = match at {
                0 => now < handed_over + Micros::from_millis(250),
                1 => now >= handed_over,
                _ => false,
            };
            placement.assign_warming(now, |_| is_assigned);
            let criteria = RequestCriteria {
                tried: &[],
                is_large: false,
                time_left: Micros::from_millis(400),
            };
            let Choice::Server(chosen) = placement.choose(now, &criteria) else { continue };
            placement.start(now, &chosen);
            placement.mark_sent(&chosen);
            let n: usize = chosen.0[1..].parse().unwrap_or(0);
            running.push((now + work, at, n));
            total_sent += 1;
            let second: &mut VecDeque<Micros> = &mut arrivals[n];
            second.push_back(now);
            while second.front().is_some_and(|first| now - *first >= SECOND) {
                second.pop_front();
            }
            worst_second = worst_second.max(second.len());
        }
        running.retain(|(end, at, n)| {
            let has_ended = *end <= now;
            if has_ended {
                all[*at].finish(&id(*n));
            }
            !has_ended
        });
        now = now + GAP;
    }
    (worst_second, total_sent)
}

#[test]
fn warming_limits_sends_of_all_instances() {
    for (slots, work, per_second) in [(2, 150, 4.1), (6, 20, 6.0), (32, 10, 100.0)] {
        let (worst_second, total_sent) =
            send_to_cold_servers(slots, Micros::from_millis(work), per_second);
        let max_allowed = per_second * CRASH_FACTOR + CRASH_SLACK;
        assert!(
            worst_second as f64 <= max_allowed,
            "{slots} slots: {worst_second} in a second, {max_allowed} allowed"
        );
        // They get most of what they can take, or of what arrives at the instance that warms them.
        let max_total = per_second * 2.0 * SERVERS as f64;
        let arrived = 2.0 * SECOND.0 as f64 / GAP.0 as f64;
        assert!(
            total_sent as f64 > max_total.min(arrived) * 0.8,
            "{slots} slots: {total_sent} of {max_total}"
        );
    }
}

#[test]
fn warming_without_rate_overloads_servers() {
    let (worst_second, _) = send_to_cold_servers(32, Micros::from_millis(10), 0.0);
    assert!(worst_second as f64 > 100.0 * CRASH_FACTOR + CRASH_SLACK, "{worst_second}");
}

#[test]
fn is_fit_false_if_cold_since_assignment() {
    let mut placement = instances(6, 6.0).swap_remove(0);
    for n in 0..SERVERS {
        placement.set_cold(START, &id(n), Micros::ZERO);
    }
    let snapshot = placement.start(START, &id(0));
    let report = LoadReport { in_flight: 0, waiting: 0, slots: 6, leaving: false, pace: 100 };
    placement.observe(&id(0), LoadObservation { at: START, report });
    assert!(placement.is_fit(START, &id(0), snapshot));
    assert!(placement.set_cold(START, &id(0), SECOND).is_some());
    assert!(!placement.is_fit(START, &id(0), snapshot));
    // A repeated statement is not a change.
    assert!(placement.set_cold(START, &id(0), SECOND).is_none());
    assert_eq!(placement.cold_count(START), 1);
    assert_eq!(placement.cold_count(START + SECOND), 0);
}

#[test]
fn choose_does_not_wait_for_unassigned_cold_servers() {
    let mut placement = instances(2, 4.1).swap_remove(0);
    let criteria =
        RequestCriteria { tried: &[], is_large: false, time_left: Micros::from_millis(400) };
    // Another instance warms all servers.
    placement.assign_warming(START, |_| false);
    assert_eq!(placement.choose(START, &criteria), Choice::NoServer);
    // One server is assigned to this instance: it gets a request, and the next one waits for the
    // rate.
    placement.assign_warming(START, |server| *server == id(0));
    let Choice::Server(chosen) = placement.choose(START, &criteria) else {
        panic!("nothing for the server that this instance warms");
    };
    assert_eq!(chosen, id(0));
    placement.start(START, &chosen);
    assert_eq!(placement.choose(START, &criteria), Choice::Wait);
}

#[test]
fn withdrawn_server_counts_as_cold_on_return() {
    let mut placement = instances(6, 6.0).swap_remove(0);
    let later = START + Micros::from_secs(5);
    let back =
        cold_servers(6).into_iter().map(|server| PlacedServer { cold_for: Micros::ZERO, ..server });
    let back: Vec<PlacedServer> = back.collect();
    let withdrawn: Vec<PlacedServer> =
        back.iter().map(|server| PlacedServer { is_withdrawn: true, ..server.clone() }).collect();
    placement.set_servers(later, &withdrawn);
    let criteria =
        RequestCriteria { tried: &[], is_large: false, time_left: Micros::from_millis(400) };
    assert_eq!(placement.choose(later, &criteria), Choice::NoServer);
    assert!(!placement.takes_requests(&id(0)));
    placement.set_servers(later, &back);
    assert_eq!(placement.cold_count(later), SERVERS);
    assert!(placement.takes_requests(&id(0)));
    // Until the server states that it is warm.
    placement.set_cold(later, &id(0), Micros::ZERO);
    assert!(
        matches!(placement.choose(later, &criteria), Choice::Server(chosen) if chosen == id(0))
    );
}
