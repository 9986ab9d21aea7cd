//! Time that a caller has spent on earlier attempts.

use galenapath_policy::place::time_spent;
use galenapath_protocol::Micros;

fn ms(n: u64) -> Micros {
    Micros::from_millis(n)
}

#[test]
fn time_spent_zero_for_varying_timeouts() {
    for remaining in [1_400, 1_700, 2_000] {
        assert_eq!(time_spent(ms(2_000), ms(remaining)), Micros::ZERO, "{remaining}");
    }
}

#[test]
fn time_spent_counted_for_retries() {
    assert_eq!(time_spent(ms(2_000), ms(1_300)), ms(700));
    assert_eq!(time_spent(ms(1_500), ms(900)), ms(600));
    assert_eq!(time_spent(ms(2_000), ms(0)), ms(2_000));
}
