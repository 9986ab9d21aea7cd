//! When a running request is hedged.

use galenapath_policy::place::hedging::{early_after, late_after, silent_after};
use galenapath_protocol::Micros;

fn ms(n: u64) -> Micros {
    Micros::from_millis(n)
}

#[test]
fn early_while_hedge_can_be_in_time() {
    let after = early_after(ms(100), ms(300));
    assert!(after >= ms(140) && after <= ms(190), "{after:?}");
}

#[test]
fn early_never_before_usual_answer_time() {
    assert_eq!(early_after(ms(160), ms(200)), Micros(224_000));
    assert_eq!(early_after(ms(160), Micros::ZERO), Micros(224_000));
}

#[test]
fn early_never_after_late() {
    assert_eq!(early_after(ms(100), ms(5_000)), late_after(ms(100)));
    assert!(late_after(ms(100)) < silent_after(ms(100)));
}
