//! Servers that reject requests and state for how long they are paused.

use crate::support::{Gateway, World, send_lookups, wait_until};
use galenapath_dev::users_platform::ServerFault;
use std::time::{Duration, Instant};

/// Time for which a server is paused.
const PAUSE: Duration = Duration::from_secs(2);

/// Starts an instance and waits until it probes servers.
fn start_and_wait_for_probe(world: &World) -> Gateway {
    let gateway = Gateway::start_ready(world, &[]);
    wait_until("a probe", || world.servers_of("file")[0].probes() > 0);
    gateway
}

#[test]
fn paused_server_gets_nothing() {
    for fault in [ServerFault::Shed, ServerFault::Busy] {
        let world = World::start();
        let gateways = [start_and_wait_for_probe(&world)];
        let paused = world.servers_of("look")[0];
        paused.set_pause(Some(PAUSE));
        paused.set_fault(fault);
        let is_logged = || gateways[0].log().iter().any(|l| l["event"] == "server paused");
        let answered = send_lookups(&gateways, Duration::from_millis(300));
        assert!(answered > 0);
        paused.set_fault(ServerFault::None);
        send_lookups(&gateways, Duration::from_millis(1_500));
        assert_eq!(paused.arrivals_in_pause(), 0, "{fault:?}");
        assert!(is_logged());
        // After the pause it gets requests again.
        let before = paused.executed_requests().len();
        wait_until("a request", || {
            send_lookups(&gateways, Duration::from_millis(100));
            paused.executed_requests().len() > before
        });
    }
}

#[test]
fn paused_servers_only_refused_at_once_with_retry_after() {
    let world = World::start();
    let gateway = start_and_wait_for_probe(&world);
    for server in world.servers_of("file") {
        server.set_pause(Some(PAUSE));
        server.set_fault(ServerFault::Shed);
    }
    gateway.send_filing("pa0");
    gateway.send_filing("pa1");
    let began = Instant::now();
    let answer = gateway.send_filing("pa2");
    assert_eq!(answer.status, 503);
    assert!(began.elapsed() < Duration::from_millis(100), "{:?}", began.elapsed());
    let retry_after: f64 = answer.header("retry-after").unwrap().parse().unwrap();
    assert!((1.0..=2.0).contains(&retry_after), "{retry_after} s");
    assert_eq!(gateway.log_of("pa2")["sends"], 0);
}
