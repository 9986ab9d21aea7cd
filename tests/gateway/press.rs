//! Load on several instances at once.

use super::{Gateway, World};
use std::time::{Duration, Instant};

/// Threads that send lookups one after the other.
const LOOKUP_THREADS: usize = 6;

/// Sends lookups to all instances for `span`; returns how many were answered.
pub fn press(gateways: &[Gateway], span: Duration) -> usize {
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
                        let answer = gateway.look(&format!("w{caller}-{n}"));
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

/// Three instances that know each other.
pub fn fleet(world: &World) -> Vec<Gateway> {
    let mut gateways = vec![Gateway::ready(world, &[])];
    for _ in 0..2 {
        let next = Gateway::ready(world, &[&gateways[0]]);
        gateways.push(next);
    }
    gateways.iter().for_each(|gateway| gateway.wait_for_peers(2));
    gateways
}
