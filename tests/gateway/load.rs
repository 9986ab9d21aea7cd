//! Load on several instances at the same time.

use super::{Gateway, World};
use std::time::{Duration, Instant};

/// Number of threads, each of which sends lookups one after the other.
const LOOKUP_THREADS: usize = 6;

/// Sends lookups to all instances in turn for `span`; returns how many were answered with 200.
pub fn send_lookups(gateways: &[Gateway], span: Duration) -> usize {
    let end = Instant::now() + span;
    std::thread::scope(|scope| {
        let callers: Vec<_> = (0..LOOKUP_THREADS)
            .map(|caller| {
                scope.spawn(move || {
                    let mut answered = 0;
                    for n in 0.. {
                        if Instant::now() >= end {
                            break;
                        }
                        let gateway = &gateways[(caller + n) % gateways.len()];
                        let answer = gateway.send_lookup(&format!("w{caller}-{n}"));
                        answered += usize::from(answer.status == 200);
                        std::thread::sleep(Duration::from_millis(10));
                    }
                    answered
                })
            })
            .collect();
        callers.into_iter().map(|caller| caller.join().unwrap()).sum()
    })
}

/// Starts three instances and waits until they know each other.
pub fn fleet(world: &World) -> Vec<Gateway> {
    let mut gateways = vec![Gateway::start_ready(world, &[])];
    for _ in 0..2 {
        let next = Gateway::start_ready(world, &[&gateways[0]]);
        gateways.push(next);
    }
    gateways.iter().for_each(|gateway| gateway.wait_for_peers(2));
    gateways
}
