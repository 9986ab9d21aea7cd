//! Requests that crash the backend servers that run them, after nobody waits for them any more.

use crate::crashes::{CRASHED, poisoned_runs};
use crate::support::kept::{Kept, get};
use crate::support::{Gateway, World, wait_until};
use galenapath_dev::users_platform::ServerFault;
use std::time::Duration;

/// Time for which a server works on the request before it crashes.
const WORK: Duration = Duration::from_millis(120);

/// Longer than a crashed server stays down, and than two crashes of it count as one.
const APART: Duration = Duration::from_millis(2_300);

/// A world whose servers of lookups crash under a request also if nobody waits for it.
fn crashing_world() -> World {
    let world = World::start();
    for server in world.servers_of("look") {
        server.set_fault(ServerFault::CrashesOnAbandonedPoison);
        server.set_work(WORK);
    }
    world
}

/// Has `send` send the request again and again, and checks that two servers at most end under it.
fn check_two_servers_end(world: &World, gateway: &Gateway, send: impl Fn(usize)) {
    for n in 0..4 {
        let runs = poisoned_runs(world);
        send(n);
        if poisoned_runs(world) > runs {
            std::thread::sleep(WORK + APART);
        }
    }
    let crashes = gateway.log().into_iter().filter(|line| line["event"] == CRASHED).count();
    assert_eq!((poisoned_runs(world), crashes), (2, 2));
}

#[test]
fn crash_after_the_caller_left_counted() {
    let world = crashing_world();
    let gateway = Gateway::start_ready(&world, &[]);
    check_two_servers_end(&world, &gateway, |n| {
        let mut caller = Kept::open(gateway.callers());
        caller.send(&get("/look/poison", &format!("al{n}"), 1_500));
        std::thread::sleep(WORK / 2);
    });
    assert_eq!(gateway.metric("galenapath_rejected_requests"), 1);
    let last = gateway.request("GET", "/look/poison", "al9", 1_500, b"");
    assert_eq!(last.status, 503);
    assert_eq!(gateway.log_of("al9")["outcome"], "crashes_servers");
}

#[test]
fn crash_after_the_deadline_counted() {
    let world = crashing_world();
    let gateway = Gateway::start_ready(&world, &[]);
    let timeout_ms = WORK.as_millis() as u64 / 2;
    check_two_servers_end(&world, &gateway, |n| {
        gateway.request("GET", "/look/poison", &format!("ad{n}"), timeout_ms, b"");
    });
}

/// A server that hangs may be at work on anything, and its machine may be lost with it.
#[test]
fn silence_of_a_server_not_counted_as_crash_under_abandoned_requests() {
    let world = World::start();
    let gateway = Gateway::start_ready(&world, &[]);
    let servers = world.servers_of("look");
    servers.iter().for_each(|server| server.set_fault(ServerFault::Hang));
    std::thread::scope(|scope| {
        let request = scope.spawn(|| gateway.request("GET", "/look/1", "sh0", 400, b""));
        wait_until("the request to run", || world.run_count("look") > 0);
        // New connections are accepted and not served.
        servers.iter().for_each(|server| server.set_accept_delay(Duration::from_secs(60)));
        assert_eq!(request.join().unwrap().status, 504);
    });
    assert!(gateway.metric("galenapath_abandoned_requests") > 0);
    // Longer than a server counts as possibly at work on it.
    std::thread::sleep(Duration::from_millis(1_500));
    assert!(!gateway.log().iter().any(|line| line["event"] == CRASHED));
    assert_eq!(gateway.metric("galenapath_abandoned_requests"), 0);
}
