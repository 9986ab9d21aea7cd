//! The instances of a zone are killed and start again while the store is slow, shortly after backend
//! servers have left. The list that each reads first may be seconds old.

use crate::backend::Backend;
use crate::client;
use crate::gateway::{Gateway, wait_until};
use crate::store::ANSWER_TIME;
use crate::world::{HOST, STABLE_WINDOW, World, ZONES, route};
use std::io;
use std::path::Path;
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

const SERVICE: &str = "certs";

const PATH: &str = "/file/1";

/// Time limit of the consumers.
const LIMIT_MS: u64 = 1_500;

/// How old a read with `serializable` is: "may be seconds old".
const LAG: Duration = Duration::from_millis(3_000);

/// How long the store is slow, and how long an answer takes then.
const SLOW_FOR: Duration = Duration::from_millis(1_500);
const SLOW_ANSWER: Duration = ANSWER_TIME.saturating_mul(60);

/// Time after the acknowledgement from which on a server that has left gets no requests.
const DRAIN: Duration = Duration::from_millis(2_000);

/// Time for which the server goes on serving after its entry was removed.
const SERVES_ON: Duration = Duration::from_millis(10_000);

/// Time after which a process that was killed starts again.
const RESTART_PAUSE: Duration = Duration::from_millis(300);

/// Rounds: in each, one more server of each zone leaves.
const ROUNDS: usize = 8;

/// Servers and instances of a zone.
const SERVERS: usize = 9;
const INSTANCES: usize = 3;

/// Pause between two requests of a zone's consumers.
const GAP: Duration = Duration::from_millis(30);

/// Returns whether the rule was broken.
pub fn run(out: &Path, has_trouble: bool) -> io::Result<bool> {
    let mut world = World::start(&[SERVICE], SERVERS, Duration::from_millis(60), out)?;
    world.put_config(5, &[route("r-file", "/file/", "non_idempotent", SERVICE)], &[SERVICE]);
    world.store.set_lag(LAG);
    // Older than the lag, so that the first reads find it.
    sleep(LAG + Duration::from_millis(200));
    world.start_gateways(INSTANCES)?;
    sleep(STABLE_WINDOW);
    let mut late = 0;
    for round in 0..ROUNDS {
        late += one_round(&mut world, round, has_trouble)?;
    }
    world.record.line(&format!("{late} requests reached servers that had left"));
    Ok(late > 0)
}

fn one_round(world: &mut World, round: usize, has_trouble: bool) -> io::Result<usize> {
    send_for(world, Duration::from_millis(1_000));
    // One server of each zone; the first zone's servers come first.
    let leaving: Vec<Backend> =
        (0..ZONES.len()).map(|n| world.backends[SERVERS * n + round].clone()).collect();
    for server in &leaving {
        let revision = world.store.remove(&format!("servers/{}", server.id));
        world.record.line(&format!("{} has left: its entry is removed at {revision}", server.id));
    }
    let left_at = Instant::now();
    sleep(Duration::from_millis(300));
    if has_trouble {
        world.record.line("the store is slow");
        world.store.set_delay(SLOW_ANSWER);
        let slow_since = Instant::now();
        sleep(Duration::from_millis(200));
        let zone = ZONES[round % ZONES.len()];
        world.record.line(&format!("the instances of {zone} are killed"));
        let in_zone = |gateway: &&mut Gateway| gateway.zone == zone;
        for gateway in world.gateways.iter_mut().filter(in_zone) {
            gateway.kill()?;
        }
        sleep(RESTART_PAUSE);
        for gateway in world.gateways.iter_mut().filter(in_zone) {
            gateway.start_again()?;
        }
        sleep(SLOW_FOR.saturating_sub(slow_since.elapsed()));
        world.store.set_delay(ANSWER_TIME);
        world.record.line("the store is as fast as usual");
        sleep(STABLE_WINDOW);
    } else {
        sleep(SLOW_FOR + STABLE_WINDOW);
    }
    let is_ready =
        wait_until(Duration::from_secs(5), || world.gateways.iter().all(|g| g.is_ready()));
    if !is_ready {
        return Err(io::Error::other("an instance is not ready"));
    }
    sleep(DRAIN.saturating_sub(left_at.elapsed()));
    let counted_from = Instant::now();
    world.record.line("requests count from now on");
    send_for(world, SERVES_ON.saturating_sub(left_at.elapsed()));
    let ids: Vec<&str> = leaving.iter().map(|server| server.id.as_str()).collect();
    let runs = world.runs.lock().unwrap().clone();
    let late =
        runs.iter().filter(|run| run.began > counted_from && ids.contains(&run.server.as_str()));
    let mut count = 0;
    for run in late {
        count += 1;
        let after = run.began.duration_since(left_at).as_secs_f64();
        world.record.line(&format!("{} ran {} {after:.2} s after it had left", run.server, run.id));
    }
    for server in &leaving {
        server.end();
    }
    Ok(count)
}

/// Consumers of all zones send requests for a time.
fn send_for(world: &World, time: Duration) {
    let end = Instant::now() + time;
    scope(|threads| {
        for zone in ZONES {
            threads.spawn(move || {
                while Instant::now() < end {
                    let sent = send(world, zone);
                    if let Err(e) = sent {
                        world.record.line(&format!("a consumer in {zone} got no answer: {e}"));
                    }
                    sleep(GAP);
                }
            });
        }
    });
}

fn send(world: &World, zone: &str) -> io::Result<()> {
    let (address, id) = (world.resolve(zone)?, client::new_id());
    let answer = client::send(address, ("POST", HOST, PATH), &id, LIMIT_MS, &[b'x'; 1_200])?;
    let server = world.runs_of(&id).first().map(|run| run.server.clone());
    world.record.line(&format!(
        "{id} to {}, answered {}, run by {}",
        world.name_of(address),
        answer.status(),
        server.as_deref().unwrap_or("-")
    ));
    Ok(())
}
