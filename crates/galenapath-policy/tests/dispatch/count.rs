use galenapath_policy::dispatch::{CountConfig, DispatcherCount};

/// Uses a fixed rate per instance, so that the tests do not depend on the default.
fn update(count: &mut DispatcherCount, rate: f64) -> usize {
    let cfg = CountConfig { instance_rate: 12_000.0, ..CountConfig::default() };
    count.update(&cfg, rate, 3, 16)
}

#[test]
fn update_extreme_rates_one_per_domain_to_all() {
    let mut count = DispatcherCount::default();
    assert_eq!(update(&mut count, 0.0), 3);
    assert_eq!(update(&mut count, 1e9), 16);
}

#[test]
fn update_higher_load_more_dispatchers() {
    let mut count = DispatcherCount::default();
    assert_eq!(update(&mut count, 24_000.0), 3);
    assert_eq!(update(&mut count, 40_000.0), 5);
}

#[test]
fn update_small_swings_do_not_flap() {
    let mut count = DispatcherCount::default();
    let high = update(&mut count, 50_000.0);
    assert_eq!(update(&mut count, 40_000.0), high);
    assert_eq!(update(&mut count, 50_000.0), high);
    assert!(update(&mut count, 20_000.0) < high);
}
