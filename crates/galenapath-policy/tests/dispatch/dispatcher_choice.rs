use galenapath_policy::dispatch::{DispatcherLoad, choose_dispatcher};
use rand::SeedableRng;
use rand::rngs::SmallRng;

#[test]
fn choose_dispatcher_fullest_not_chosen() {
    let mut rng = SmallRng::seed_from_u64(1);
    let load = |rate, slots| DispatcherLoad { rate, slots };
    let loads = [load(100.0, 40.0), load(150.0, 30.0), load(100.0, 30.0)];
    let mut chosen = [0; 3];
    for _ in 0..3_000 {
        chosen[choose_dispatcher(&loads, &mut rng).unwrap()] += 1;
    }
    assert_eq!(chosen[1], 0);
    assert!(chosen[2] > 800, "{chosen:?}");
}

#[test]
fn choose_dispatcher_none_without_dispatchers() {
    assert_eq!(choose_dispatcher(&[], &mut SmallRng::seed_from_u64(1)), None);
}
