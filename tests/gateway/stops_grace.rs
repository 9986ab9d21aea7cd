//! Planned stops with a grace period other than six seconds.

use crate::support::kept::{End, Ended, Kept, assert_nothing_lost, get, served, wait_for_moment};
use crate::support::{Gateway, World, config, wait_until};
use serde_json::json;
use std::time::{Duration, Instant};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn set_work(world: &World, work: Duration) {
    world.servers.iter().for_each(|(_, server)| server.set_work(work));
}

/// Starts an instance with this grace period.
fn start(world: &World, grace: &str) -> Gateway {
    let gateway = Gateway::start_ready(world, &[]);
    let text = format!("{}[stop]\ngrace = \"{grace}\"\n", gateway.settings_text());
    gateway.rewrite_settings(&text);
    gateway.signal("-HUP");
    wait_until("the settings", || {
        gateway.log().iter().any(|line| line["event"] == "reload: settings changed")
    });
    gateway
}

#[test]
fn work_longer_than_any_before_cut_though_it_was_sent_late() {
    let world = World::start();
    let changes = [("look", "timeout_ms", json!(20_000)), ("look", "max_attempts", json!(1))];
    world.store.put("op/config", &config(2, &changes));
    let mut gateway = start(&world, "10s");
    let idle = |n| Kept::idle(gateway.callers(), &format!("warm{n}"));
    let mut kept: Vec<Kept> = (0..4).map(idle).collect();
    set_work(&world, ms(15_000));
    let before = world.run_count("look");
    let began = Instant::now();
    gateway.signal("-TERM");
    for (n, kept) in (0..).zip(&mut kept) {
        wait_for_moment(began, ms(3_050 + 50 * n));
        kept.send(&get("/look/1", &format!("late{n}"), 15_000));
    }
    let ends: Vec<End> = kept.iter_mut().map(Kept::read).collect();
    // They come too late to be cut, and nobody knows how long they take.
    assert!(ends.iter().all(|end| *end == End::Whole(503)), "{ends:?}");
    assert_eq!(world.run_count("look"), before);
    assert!(gateway.wait().success());
}

#[test]
fn requests_in_a_short_grace_period_cut() {
    const COUNT: u64 = 40;
    for grace in ["1s", "2s", "3s"] {
        let world = World::start();
        let mut gateway = start(&world, grace);
        let idle = |n| Kept::idle(gateway.callers(), &format!("warm{n}"));
        let kept: Vec<Kept> = (0..COUNT).map(idle).collect();
        set_work(&world, ms(150));
        let began = Instant::now();
        gateway.signal("-TERM");
        let look = |(mut kept, n): (Kept, u64)| {
            let moment = ms(3_000 * n / COUNT);
            std::thread::spawn(move || {
                wait_for_moment(began, moment);
                kept.look(format!("late{n}"), moment, [5_000, 2_000])
            })
        };
        let callers: Vec<_> = kept.into_iter().zip(0..).map(look).collect();
        let ended: Vec<Ended> = callers.into_iter().map(|caller| caller.join().unwrap()).collect();
        assert!(gateway.wait().success(), "{grace}");
        assert_nothing_lost(&world, &ended);
        assert!(served(&ended) > 0, "{grace}: {ended:#?}");
    }
}

/// Guards against filings that are taken late in the grace period and cut at its end: they have run
/// and may not be repeated.
#[test]
fn filings_late_in_the_grace_period_not_cut() {
    const COUNT: u64 = 90;
    const ROUTE_MS: u64 = 2_000;
    let world = World::start();
    let mut gateway = Gateway::start_ready(&world, &[]);
    let idle = |n| Kept::idle(gateway.callers(), &format!("warm{n}"));
    let kept: Vec<Kept> = (0..COUNT).map(idle).collect();
    assert_eq!(gateway.send_filing("first").status, 200);
    let began = Instant::now();
    gateway.signal("-TERM");
    let file = |(mut kept, n): (Kept, u64)| {
        let moment = ms(2_500 + 3_500 * n / COUNT);
        let timeout = [400, 1_200, 5_000][(n % 3) as usize];
        std::thread::spawn(move || {
            wait_for_moment(began, moment);
            kept.file(format!("late{n}"), moment, [timeout, ROUTE_MS])
        })
    };
    let callers: Vec<_> = kept.into_iter().zip(0..).map(file).collect();
    for work in [100, 300, 700, 100] {
        set_work(&world, ms(work));
        std::thread::sleep(ms(900));
    }
    let ended: Vec<Ended> = callers.into_iter().map(|caller| caller.join().unwrap()).collect();
    assert!(gateway.wait().success());
    assert_nothing_lost(&world, &ended);
    assert!(served(&ended) > 0, "{ended:#?}");
}
