//! Shares of the parts of a route.

use galenapath_routes::{WeightedRoundRobin, WeightedService};
use proptest::prelude::*;

fn parts(weights: &[u32]) -> Vec<WeightedService> {
    let part =
        |(n, weight): (usize, &u32)| WeightedService { service: format!("s{n}"), weight: *weight };
    weights.iter().enumerate().map(part).collect()
}

fn counts(parts: &[WeightedService], seed: u64, turns: usize) -> Vec<usize> {
    let mut turn = WeightedRoundRobin::new(parts, seed);
    let mut counts = vec![0; parts.len()];
    for _ in 0..turns {
        counts[turn.next(parts)] += 1;
    }
    counts
}

#[test]
fn next_weights_exact_over_a_round() {
    assert_eq!(counts(&parts(&[90, 10]), 0, 100), [90, 10]);
    assert_eq!(counts(&parts(&[1, 0, 3]), 5, 40), [10, 0, 30]);
}

proptest! {
    #[test]
    fn next_never_far_from_its_share(
        weights in prop::collection::vec(1_u32..100, 1..5),
        seed in any::<u64>(),
        turns in 1_usize..400,
    ) {
        let parts = parts(&weights);
        let total: u32 = weights.iter().sum();
        for (count, weight) in counts(&parts, seed, turns).iter().zip(&weights) {
            let share = turns as f64 * f64::from(*weight) / f64::from(total);
            prop_assert!((*count as f64 - share).abs() <= weights.len() as f64, "{count} {share}");
        }
    }
}
