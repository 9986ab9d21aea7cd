use galenapath_policy::dispatch::{DispatcherLoad, answer};
use rand::SeedableRng;
use rand::rngs::SmallRng;

#[test]
fn answer_fullest_not_given() {
    let mut rng = SmallRng::seed_from_u64(1);
    let load = |rate, slots| DispatcherLoad { rate, slots };
    let loads = [load(100.0, 40.0), load(150.0, 30.0), load(100.0, 30.0)];
    let mut given = [0; 3];
    for _ in 0..3_000 {
        given[answer(&loads, &mut rng).unwrap()] += 1;
    }
    assert_eq!(given[1], 0);
    assert!(given[2] > 800, "{given:?}");
}

#[test]
fn answer_none_without_dispatchers() {
    assert_eq!(answer(&[], &mut SmallRng::seed_from_u64(1)), None);
}
