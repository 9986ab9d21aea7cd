//! A fleet whose instances all start at the same moment and learn of each other one by one, each in
//! another order. Nobody is silent, so nobody may be accused.

use galenapath_membership::{
    Heartbeat, HeartbeatConfig, HeartbeatMembership, InstanceStatus, Member, MemberStatus,
};
use galenapath_protocol::{DomainId, Incarnation, InstanceId, Micros};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddr;

const STEP: Micros = Micros::from_millis(50);

/// Time that a small instance needs to learn of one other.
const TIME_PER_MEMBER: Micros = Micros::from_millis(3);

fn member(n: usize) -> Member {
    let address = SocketAddr::from(([127, 0, 0, 1], 2_000 + n as u16));
    Member {
        id: InstanceId(format!("i{n}")),
        incarnation: Incarnation(n as u64 + 1),
        domain: DomainId(format!("d{}", n % 5).into()),
        caller_address: address,
        peer_address: address,
        status_version: 0,
        status: MemberStatus::Live,
    }
}

/// Number of accusations while `fleet` instances start, and for three seconds after.
fn accusations_at_start(fleet: usize, seed: u64) -> usize {
    let mut rng = SmallRng::seed_from_u64(seed);
    let start = Micros::from_secs(100);
    let cfg = HeartbeatConfig::default();
    let new = |n: usize| {
        let Member { incarnation, domain, .. } = member(n);
        HeartbeatMembership::new(cfg.clone(), incarnation, domain, start)
    };
    let mut all: Vec<HeartbeatMembership> = (0..fleet).map(new).collect();
    let mut to_learn: Vec<Vec<usize>> = Vec::new();
    for n in 0..fleet {
        let mut others: Vec<usize> = (0..fleet).filter(|other| *other != n).collect();
        others.shuffle(&mut rng);
        to_learn.push(others);
    }
    // Large instances have learned of all others several times sooner than small ones.
    let speeds: Vec<f64> = (0..fleet).map(|_| rng.random_range(1.0..5.0)).collect();
    let learning = Micros(TIME_PER_MEMBER.0 * fleet as u64);
    let mut now = start;
    let mut accusations = 0;
    while now < start + learning + Micros::from_secs(3) {
        now = now + STEP;
        for n in 0..fleet {
            let share = (now - start).0 as f64 / learning.0 as f64 * speeds[n];
            let known = (share.min(1.0) * (fleet - 1) as f64) as usize;
            let left = fleet - 1 - known;
            while to_learn[n].len() > left {
                let other = to_learn[n].pop().unwrap_or(n);
                all[n].learn(now, member(other));
            }
        }
        for n in 0..fleet {
            let due = all[n].heartbeats_due(now, false);
            let digest = all[n].digest();
            let (from, status) = (Incarnation(n as u64 + 1), InstanceStatus::default());
            let heartbeat = Heartbeat { from, status, accused: Vec::new(), digest };
            for to in due.iter().map(|address| usize::from(address.port()) - 2_000) {
                all[to].apply_heartbeat(now, &heartbeat);
            }
        }
        for membership in &mut all {
            accusations += membership.tick(now).iter().filter(|change| !change.is_up).count();
        }
    }
    accusations
}

#[test]
fn tick_fleet_that_starts_accuses_none() {
    for seed in 0..3 {
        assert_eq!(accusations_at_start(400, seed), 0, "seed {seed}");
    }
}

/// The same at the sizes of whole fleets; takes a minute.
#[test]
#[ignore = "by hand: cargo test -p galenapath-membership --test start -- --ignored"]
fn tick_whole_fleet_that_starts_accuses_none() {
    for fleet in [983, 2_000] {
        assert_eq!(accusations_at_start(fleet, 1), 0, "{fleet} instances");
    }
}
