//! Instances that have lost their paths to backend servers which other instances reach.

use crate::support::{Gateway, World, fleet, wait_until};
use galenapath_dev::link::LinkFault;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Time within which an instance has to find out that its paths are gone, and to have its requests
/// served elsewhere. Callers keep an address answer for up to three times as long as it states.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Requests to one instance, by whether they were answered with success.
#[derive(Debug, Default)]
struct Served {
    answered: usize,
    /// Statuses of the other answers.
    failed: Vec<u16>,
}

impl Served {
    /// Whether at least nine of ten requests were answered.
    fn is_nearly_all(&self) -> bool {
        self.answered >= 9 * self.failed.len() && self.answered > 0
    }
}

/// Number of callers that send requests at the same time.
const CALLERS: usize = 3;

/// Sends lookups and filings to one instance for `span`, each caller at least one and one after the
/// other.
fn send_requests(gateway: &Gateway, name: &str, span: Duration) -> Served {
    let end = Instant::now() + span;
    let statuses = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| {
                scope.spawn(move || {
                    let mut statuses = Vec::new();
                    loop {
                        let n = statuses.len();
                        let answer = match (caller + n).is_multiple_of(2) {
                            true => gateway.send_lookup(&format!("{name}{caller}-{n}")),
                            false => gateway.send_filing(&format!("{name}{caller}-{n}")),
                        };
                        statuses.push(answer.status);
                        if Instant::now() >= end {
                            break statuses;
                        }
                        std::thread::sleep(Duration::from_millis(10));
                    }
                })
            })
            .collect();
        callers.into_iter().flat_map(|caller| caller.join().unwrap()).collect::<Vec<_>>()
    });
    let mut served = Served::default();
    for status in statuses {
        match status {
            200 => served.answered += 1,
            status => served.failed.push(status),
        }
    }
    served
}

/// Cuts one of three instances off all servers, and checks that the requests which it still gets are
/// served, that the others no longer name it to callers, and that it serves again by itself.
fn assert_served_without_paths(fault: LinkFault) {
    let world = World::start_linked();
    let gateways = fleet(&world);
    let (cut, other) = (&gateways[0], &gateways[1]);
    for gateway in &gateways {
        let served = send_requests(gateway, "before", Duration::from_millis(500));
        assert!(served.is_nearly_all(), "{fault:?} before: {served:?}");
    }
    world.set_paths(cut, fault);
    send_requests(cut, "learns", SETTLE_TIME);
    let served = send_requests(cut, "cut", Duration::from_secs(2));
    assert!(served.is_nearly_all(), "{fault:?}: {served:?}");
    let served = send_requests(other, "other", Duration::from_millis(500));
    assert!(served.is_nearly_all(), "{fault:?} elsewhere: {served:?}");
    for gateway in &gateways {
        let addresses = gateway.addresses();
        assert!(!addresses.is_empty() && !addresses.contains(&cut.callers()), "{addresses:?}");
    }
    world.set_paths(cut, LinkFault::None);
    let served = send_requests(cut, "back", Duration::from_secs(2));
    assert!(served.is_nearly_all(), "{fault:?} after: {served:?}");
    wait_until("the instance to reach the servers again", || {
        cut.metric("galenapath_cut_off ") == 0
    });
}

#[test]
fn instance_without_paths_serves_through_others_hanging() {
    assert_served_without_paths(LinkFault::Hold);
}

#[test]
fn instance_without_paths_serves_through_others_reset() {
    assert_served_without_paths(LinkFault::Cut);
}

#[test]
fn instance_without_paths_serves_through_others_new_connections_fail() {
    assert_served_without_paths(LinkFault::CutNew);
}

#[test]
fn instance_without_paths_serves_through_others_answers_lost() {
    assert_served_without_paths(LinkFault::HoldReplies);
}

#[test]
fn instance_without_paths_accuses_no_server_and_no_request() {
    let world = World::start_linked();
    let gateways = fleet(&world);
    for fault in [LinkFault::Cut, LinkFault::Hold] {
        let is_cut = AtomicBool::new(false);
        std::thread::scope(|scope| {
            let callers: Vec<_> = (0..6)
                .map(|n| {
                    let (cut, is_cut) = (&gateways[0], &is_cut);
                    scope.spawn(move || {
                        // A different request each time, so that none counts as common.
                        for round in 0..200 {
                            let path = format!("/look/{fault:?}{n}-{round}");
                            cut.request("GET", &path, &format!("a{n}-{round}"), 1_500, b"");
                            if is_cut.load(Ordering::Relaxed) && round > 100 {
                                break;
                            }
                        }
                    })
                })
                .collect();
            std::thread::sleep(Duration::from_millis(500));
            world.set_paths(&gateways[0], fault);
            std::thread::sleep(Duration::from_secs(1));
            is_cut.store(true, Ordering::Relaxed);
            callers.into_iter().for_each(|caller| caller.join().unwrap());
        });
        world.set_paths(&gateways[0], LinkFault::None);
        for gateway in &gateways {
            let log = gateway.log();
            let crashed = |line: &&serde_json::Value| {
                line["event"] == "server crashed while running a request"
            };
            assert_eq!(log.iter().find(crashed), None, "{fault:?}");
        }
        wait_until("the instance to serve again", || gateways[0].send_lookup("z").status == 200);
    }
}

/// Instances that lose all servers together.
const MANY_INSTANCES: usize = 8;

/// A server that no instance reaches is not asked for more than a few connections a second by each
/// of them, however many others ask about it. Otherwise it could not come back.
#[test]
fn servers_that_no_instance_reaches_not_flooded_with_checks() {
    /// Checks of one server a second by one instance: those of its own, every half second, and as
    /// many on behalf of all others.
    const MAX_PER_SERVER: f64 = 4.0;
    const SPAN: Duration = Duration::from_secs(3);
    let world = World::start_linked();
    let first = Gateway::start_ready(&world, &[]);
    let mut gateways: Vec<Gateway> =
        (1..MANY_INSTANCES).map(|_| Gateway::start_ready(&world, &[&first])).collect();
    gateways.push(first);
    gateways.iter().for_each(|gateway| gateway.wait_for_peers(MANY_INSTANCES - 1));
    let send_all = |name: &str, span| {
        std::thread::scope(|scope| {
            for gateway in &gateways {
                scope.spawn(move || send_requests(gateway, name, span));
            }
        });
    };
    send_all("before", Duration::from_millis(500));
    world.links.iter().for_each(|link| link.set_fault(LinkFault::Hold));
    send_all("lost", SETTLE_TIME);
    let checks = |gateway: &Gateway| gateway.metric("galenapath_connects_total{for=\"check\"}");
    let before: Vec<u64> = gateways.iter().map(checks).collect();
    send_all("silent", SPAN);
    let after: Vec<u64> = gateways.iter().map(checks).collect();
    world.links.iter().for_each(|link| link.set_fault(LinkFault::None));
    let limit = MAX_PER_SERVER * SPAN.as_secs_f64() * world.servers.len() as f64;
    for (before, after) in before.iter().zip(&after) {
        let checks = after - before;
        assert!(checks as f64 <= limit, "{checks} checks, {limit} allowed: {before:?} {after:?}");
    }
    for gateway in &gateways {
        wait_until("an answer", || gateway.send_lookup("back").status == 200);
    }
}
