//! Servers that turn requests away and say for how long they want nothing.

use crate::support::{Gateway, World, press, wait_until};
use galenapath_dev::users_platform::ServerFault;
use std::time::{Duration, Instant};

/// Time for which a server wants nothing.
const PAUSE: Duration = Duration::from_secs(2);

/// An instance that has run for long enough to probe servers.
fn settled(world: &World) -> Gateway {
    let gateway = Gateway::ready(world, &[]);
    wait_until("a probe", || world.of("file")[0].probes() > 0);
    gateway
}

#[test]
fn server_that_wants_nothing_for_a_while_gets_nothing() {
    for trouble in [ServerFault::Shed, ServerFault::Busy] {
        let world = World::start();
        let gateways = [settled(&world)];
        let paused = world.of("look")[0];
        paused.set_pause(Some(PAUSE));
        paused.set_fault(trouble);
        let noted = || gateways[0].log().iter().any(|l| l["event"] == "server paused");
        let answered = press(&gateways, Duration::from_millis(300));
        assert!(answered > 0);
        paused.set_fault(ServerFault::None);
        press(&gateways, Duration::from_millis(1_500));
        assert_eq!(paused.arrivals_in_pause(), 0, "{trouble:?}");
        assert!(noted());
        // And as much as any other afterwards.
        let before = paused.executed_requests().len();
        wait_until("a request", || {
            press(&gateways, Duration::from_millis(100));
            paused.executed_requests().len() > before
        });
    }
}

#[test]
fn servers_that_all_want_nothing_refused_at_once_with_the_time_left() {
    let world = World::start();
    let gateway = settled(&world);
    for server in world.of("file") {
        server.set_pause(Some(PAUSE));
        server.set_fault(ServerFault::Shed);
    }
    gateway.file("pa0");
    gateway.file("pa1");
    let began = Instant::now();
    let answer = gateway.file("pa2");
    assert_eq!(answer.status, 503);
    assert!(began.elapsed() < Duration::from_millis(100), "{:?}", began.elapsed());
    let told: f64 = answer.header("retry-after").unwrap().parse().unwrap();
    assert!((1.0..=2.0).contains(&told), "{told} s");
    assert_eq!(gateway.log_of("pa2")["sends"], 0);
}
