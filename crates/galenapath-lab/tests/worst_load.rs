//! The worst load, replayed: each mechanism is held to what it brings, and the whole to the oracle.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use galenapath_lab::{Deployment, Policy, Switch, Totals, play, play_oracle};
use std::path::Path;

const SEEDS: u64 = 24;

fn deployment(name: &str) -> Deployment {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("deployments").join(name);
    Deployment::read(&path).unwrap()
}

/// Mean share in target over seeds.
fn in_target(deployment: &Deployment, policy: &Policy) -> f64 {
    let shares = (1..=SEEDS).map(|seed| play(deployment, seed, policy).totals.share_in_target());
    shares.sum::<f64>() / SEEDS as f64
}

#[test]
fn play_three_slots_near_the_oracle() {
    let deployment = deployment("three-slots.toml");
    let oracle = (1..=SEEDS).map(|seed| play_oracle(&deployment, seed).totals.share_in_target());
    let oracle = oracle.sum::<f64>() / SEEDS as f64;
    let ours = in_target(&deployment, &Policy::default());
    assert!(oracle > 0.98, "{oracle}");
    assert!(ours > oracle - 0.025, "{ours} of {oracle}");
}

#[test]
fn play_without_any_mechanism_is_worse_on_three_slots() {
    let deployment = deployment("three-slots.toml");
    let whole = in_target(&deployment, &Policy::default());
    // What each brings, less than half of what was measured.
    let least = [
        (Switch::Questions, 0.04),
        (Switch::Sharing, 0.03),
        (Switch::OwnSends, 0.004),
        (Switch::SlowProbes, 0.012),
        (Switch::Probes, 0.012),
        (Switch::Waiting, 0.015),
        (Switch::Crowding, 0.008),
    ];
    for (switch, least) in least {
        let without = in_target(&deployment, &Policy::without(&[switch]));
        assert!(whole - without > least, "without {switch}: {without} of {whole}");
    }
}

#[test]
fn play_one_instance_a_domain_knows_more() {
    let one = deployment("three-slots.toml");
    let two = Deployment { instances_per_domain: 2, ..one.clone() };
    let (one, two) = (in_target(&one, &Policy::default()), in_target(&two, &Policy::default()));
    assert!(one - two > 0.005, "{one} with one, {two} with two");
}

#[test]
fn play_in_time_again_right_after_a_burst() {
    for factor in [1.5, 2.0] {
        let mut deployment = deployment("three-slots.toml");
        deployment.bursts[0].factor = factor;
        let after_s = deployment.bursts[0].from_s + deployment.bursts[0].length_s + 2.0;
        let mut after = Totals::default();
        for seed in 1..=SEEDS {
            let report = play(&deployment, seed, &Policy::default());
            for window in report.windows.iter().filter(|window| window.from_s >= after_s) {
                after.in_target += window.totals.in_target;
                after.late += window.totals.late;
                after.refused += window.totals.refused;
                after.failed += window.totals.failed;
            }
        }
        // As before the burst: callers who come back do not keep the load up.
        assert!(after.share_in_target() > 0.97, "{factor}: {after:?}");
    }
}

#[test]
fn play_six_slots_crowding_not_believed_where_there_is_none() {
    let deployment = deployment("six-slots.toml");
    let whole = in_target(&deployment, &Policy::default());
    let without = in_target(&deployment, &Policy::without(&[Switch::Crowding]));
    assert!(whole > without - 0.003, "{whole}, {without} without");
    assert!(whole > 0.985, "{whole}");
}

#[test]
fn play_same_seed_same_result() {
    let deployment = deployment("three-slots.toml");
    let policy = Policy::default();
    assert_eq!(play(&deployment, 7, &policy), play(&deployment, 7, &policy));
    assert_ne!(play(&deployment, 7, &policy), play(&deployment, 8, &policy));
}
