//! Shares of the services of a route.

use galenapath_routes::{WeightedRoundRobin, WeightedService};
use proptest::prelude::*;
use std::time::{Duration, Instant};

fn services(weights: &[u32]) -> Vec<WeightedService> {
    let service =
        |(n, weight): (usize, &u32)| WeightedService { service: format!("s{n}"), weight: *weight };
    weights.iter().enumerate().map(service).collect()
}

fn counts(services: &[WeightedService], seed: u64, choices: usize) -> Vec<usize> {
    let mut round_robin = WeightedRoundRobin::new(services, seed);
    let mut counts = vec![0; services.len()];
    for _ in 0..choices {
        counts[round_robin.next_index()] += 1;
    }
    counts
}

#[test]
fn next_index_weights_exact_over_a_round() {
    assert_eq!(counts(&services(&[90, 10]), 0, 100), [90, 10]);
    assert_eq!(counts(&services(&[1, 0, 3]), 5, 40), [10, 0, 30]);
}

proptest! {
    #[test]
    fn next_index_close_to_share(
        weights in prop::collection::vec(1_u32..100, 1..5),
        seed in any::<u64>(),
        choices in 1_usize..400,
    ) {
        let services = services(&weights);
        let total: u32 = weights.iter().sum();
        for (count, weight) in counts(&services, seed, choices).iter().zip(&weights) {
            let share = choices as f64 * f64::from(*weight) / f64::from(total);
            prop_assert!((*count as f64 - share).abs() <= weights.len() as f64, "{count} {share}");
        }
    }
}

/// Guards against a start that plays one choice for each unit of the weights: large ones stopped
/// every instance for seconds.
#[test]
fn new_and_next_index_work_does_not_grow_with_weights() {
    let services = services(&[u32::MAX, u32::MAX - 1, 100_000_000, 1]);
    let started = Instant::now();
    for seed in 0..10_000 {
        let mut round_robin = WeightedRoundRobin::new(&services, seed ^ u64::MAX);
        (0..10).for_each(|_| assert!(round_robin.next_index() < services.len()));
    }
    assert!(started.elapsed() < Duration::from_secs(5), "{:?}", started.elapsed());
}

proptest! {
    /// The shares over all instances hold from the first request on, whatever the unit of weights.
    #[test]
    fn next_index_close_to_share_over_many_instances(
        weights in prop::collection::vec(0_u32..=u32::MAX, 2..5),
        choices in 1_usize..4,
    ) {
        let services = services(&weights);
        let total: f64 = weights.iter().copied().map(f64::from).sum();
        prop_assume!(total > 0.0);
        let mut counts = vec![0; weights.len()];
        for instance in 0..2_000_u64 {
            let mut round_robin = WeightedRoundRobin::new(&services, instance);
            (0..choices).for_each(|_| counts[round_robin.next_index()] += 1);
        }
        let all = (2_000 * choices) as f64;
        for (count, weight) in counts.iter().zip(&weights) {
            let share = f64::from(*count) / all;
            prop_assert!((share - f64::from(*weight) / total).abs() < 0.05, "{weights:?} {counts:?}");
        }
    }

    #[test]
    fn next_index_large_weights_close_to_share(
        weights in prop::collection::vec(1_u32..=u32::MAX, 1..6),
        seed in any::<u64>(),
    ) {
        let services = services(&weights);
        let total: f64 = weights.iter().copied().map(f64::from).sum();
        for (count, weight) in counts(&services, seed, 500).iter().zip(&weights) {
            let share = 500.0 * f64::from(*weight) / total;
            prop_assert!((*count as f64 - share).abs() <= weights.len() as f64, "{count} {share}");
        }
    }
}
