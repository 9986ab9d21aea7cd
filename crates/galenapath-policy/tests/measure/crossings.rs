//! Whether an instance counts as one that crosses.

use galenapath_policy::measure::Crossings;
use galenapath_protocol::Micros;

const START: Micros = Micros::from_secs(10);

/// Sends 200 requests a second for two seconds, one in `every` of them to another failure domain.
fn after(every: u64) -> Crossings {
    let mut crossings = Crossings::default();
    for n in 0..400 {
        let now = START + Micros::from_millis(n * 5);
        crossings = crossings.sent(now, n % every == every - 1);
    }
    crossings
}

#[test]
fn crosses_strays_do_not_count() {
    assert!(!after(20).crosses(START + Micros::from_secs(2)));
}

#[test]
fn crosses_short_domain_counts_and_ends() {
    let crossings = after(3);
    assert!(crossings.crosses(START + Micros::from_secs(2)));
    assert!(!crossings.crosses(START + Micros::from_secs(6)));
}
