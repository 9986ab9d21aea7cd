//! How much of its time a caller has spent.

use galenapath_policy::place::spent;
use galenapath_protocol::Micros;

fn ms(n: u64) -> Micros {
    Micros::from_millis(n)
}

#[test]
fn spent_nothing_by_callers_of_uneven_patience() {
    for told in [1_400, 1_700, 2_000] {
        assert_eq!(spent(ms(2_000), ms(told)), Micros::ZERO, "{told}");
    }
}

#[test]
fn spent_most_by_callers_who_come_back() {
    assert_eq!(spent(ms(2_000), ms(1_300)), ms(700));
    assert_eq!(spent(ms(1_500), ms(900)), ms(600));
    assert_eq!(spent(ms(2_000), ms(0)), ms(2_000));
}
