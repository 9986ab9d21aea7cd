//! Token buckets.

use galenapath_policy::measure::TokenBucket;
use galenapath_protocol::Micros;

const START: Micros = Micros::from_secs(1);

fn taken(budget: &mut TokenBucket, from: Micros, seconds: u64) -> usize {
    (0..seconds * 1_000).filter(|ms| budget.take(from + Micros::from_millis(*ms))).count()
}

#[test]
fn take_bunch_served_from_saved_tokens() {
    let mut budget = TokenBucket::new(START, 8.0);
    let later = START + Micros::from_secs(5);
    let bunch = (0..20).filter(|_| budget.take(later)).count();
    assert_eq!(bunch, 8);
}

#[test]
fn take_within_rate() {
    let mut budget = TokenBucket::new(START, 8.0);
    let count = taken(&mut budget, START, 10);
    assert!((78..=89).contains(&count), "{count}");
}

#[test]
fn set_rate_keeps_within_new_rate() {
    let mut budget = TokenBucket::new(START, 8.0);
    budget.set_rate(START, 1.0);
    let count = taken(&mut budget, START, 10);
    assert!((9..=11).contains(&count), "{count}");
}

#[test]
fn filled_holds_what_fits() {
    let bucket = TokenBucket::new(START, 60.0);
    assert_eq!(bucket.tokens(START), 1);
    assert_eq!(bucket.filled(0.25).tokens(START), 15);
    assert_eq!(bucket.filled(5.0).tokens(START), 60);
}
