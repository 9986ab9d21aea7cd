//! Shares of the services of a route.

use galenapath_routes::{WeightedRoundRobin, WeightedService};
use proptest::prelude::*;

fn services(weights: &[u32]) -> Vec<WeightedService> {
    let service =
        |(n, weight): (usize, &u32)| WeightedService { service: format!("s{n}"), weight: *weight };
    weights.iter().enumerate().map(service).collect()
}

fn counts(services: &[WeightedService], seed: u64, choices: usize) -> Vec<usize> {
    let mut round_robin = WeightedRoundRobin::new(services, seed);
    let mut counts = vec![0; services.len()];
    for _ in 0..choices {
        counts[round_robin.next(services)] += 1;
    }
    counts
}

#[test]
fn next_weights_exact_over_a_round() {
    assert_eq!(counts(&services(&[90, 10]), 0, 100), [90, 10]);
    assert_eq!(counts(&services(&[1, 0, 3]), 5, 40), [10, 0, 30]);
}

proptest! {
    #[test]
    fn next_close_to_share(
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
