//! A service whose servers turn away half of their requests although they have room: what is served with a
//! bounded number of retries.

use galenapath_policy::{Chance, FailedRequests, RetryBudget, RetryConfig, SharedAllowance};
use galenapath_protocol::Micros;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::BinaryHeap;

const INSTANCES: usize = 5;
/// Requests a second to all instances.
const RATE: u64 = 1_000;
const SECONDS: u64 = 8;
/// Part of the sends that are turned away.
const SHED: f64 = 0.55;
/// Sends of one attempt of a caller.
const MOST_SENDS: u32 = 3;
/// When a caller comes back.
const RETURN: Micros = Micros::from_millis(25);
const ALLOWANCE: SharedAllowance =
    SharedAllowance { ratio: 0.2, slack: 430.0, window: Micros::from_secs(10) };

struct Outcome {
    /// Part of the requests that were served.
    served: f64,
    /// Retries for each attempt of a caller.
    retries: f64,
}

/// Whether retries on first attempts leave some to callers who have come back.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Returned {
    Known,
    Unknown,
}

/// Plays the load; each instance gets its part of the callers in turn.
fn play(cfg: &RetryConfig, returned: Returned, seed: u64) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut budgets: Vec<RetryBudget> =
        (0..INSTANCES).map(|_| RetryBudget::new(cfg.clone())).collect();
    let mut failed: Vec<FailedRequests> =
        (0..INSTANCES).map(|_| FailedRequests::default()).collect();
    let requests = RATE * SECONDS;
    // Attempts by time, soonest first.
    let mut attempts: BinaryHeap<std::cmp::Reverse<(Micros, u64)>> = (0..requests)
        .map(|n| std::cmp::Reverse((Micros::from_secs(10) + Micros(n * 1_000_000 / RATE), n)))
        .collect();
    let (mut served, mut retries, mut asked) = (0_u64, 0_u64, 0_u64);
    while let Some(std::cmp::Reverse((now, n))) = attempts.pop() {
        let at = (n % INSTANCES as u64) as usize;
        asked += 1;
        let is_back = failed[at].take(now, u128::from(n)).is_some();
        let chance =
            if is_back && returned == Returned::Known { Chance::Last } else { Chance::First };
        budgets[at].first_try(now);
        let mut is_served = !rng.random_bool(SHED);
        for _ in 1..MOST_SENDS {
            if is_served || !budgets[at].try_retry_for(now, chance) {
                break;
            }
            retries += 1;
            is_served = !rng.random_bool(SHED);
        }
        served += u64::from(is_served);
        if !is_served && !is_back {
            failed[at].note(now, u128::from(n), now);
            attempts.push(std::cmp::Reverse((now + RETURN, n)));
        }
    }
    Outcome { served: served as f64 / requests as f64, retries: retries as f64 / asked as f64 }
}

fn mean(cfg: &RetryConfig, returned: Returned) -> Outcome {
    let plays: Vec<Outcome> = (1..=8).map(|seed| play(cfg, returned, seed)).collect();
    let of = |part: fn(&Outcome) -> f64| plays.iter().map(part).sum::<f64>() / plays.len() as f64;
    Outcome { served: of(|o| o.served), retries: of(|o| o.retries) }
}

/// What an instance may send where the slack is split among a fixed number of instances.
fn split_evenly() -> RetryConfig {
    let window = ALLOWANCE.window.0 as f64 / 1e6;
    RetryConfig {
        share: ALLOWANCE.ratio * 0.7,
        floor_per_second: ALLOWANCE.slack / window / 16.0 / 2.0,
        burst: 3.0,
    }
}

#[test]
fn allowance_by_part_serves_more_of_a_service_that_sheds() {
    let before = mean(&split_evenly(), Returned::Unknown);
    let part = ALLOWANCE.part(1.0 / INSTANCES as f64);
    let unknown = mean(&part, Returned::Unknown);
    let known = mean(&part, Returned::Known);
    println!("split evenly {:.3} of retries {:.3}", before.served, before.retries);
    println!("by part {:.3} of retries {:.3}", unknown.served, unknown.retries);
    println!("by part, returned first {:.3} of {:.3}", known.served, known.retries);
    assert!(unknown.served > before.served + 0.02);
    assert!(known.served > unknown.served);
}

#[test]
fn allowance_sum_within_the_bound() {
    let part = ALLOWANCE.part(1.0 / INSTANCES as f64);
    let outcome = mean(&part, Returned::Known);
    // The slack of the window is shared by fewer attempts than came: the bound holds without it.
    let attempts = RATE as f64 * 10.0;
    let bound = ALLOWANCE.ratio + ALLOWANCE.slack / attempts;
    assert!(outcome.retries <= bound, "{} retries an attempt", outcome.retries);
}
