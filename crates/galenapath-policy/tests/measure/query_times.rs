//! Timeout of load queries.

use galenapath_policy::measure::QueryTimes;
use galenapath_protocol::Micros;

fn after(times_ms: &[u64]) -> QueryTimes {
    let times = times_ms.iter().map(|ms| Micros::from_millis(*ms));
    times.fold(QueryTimes::default(), QueryTimes::with_sample)
}

#[test]
fn timeout_short_for_prompt_answers() {
    assert_eq!(after(&[]).timeout(), Micros::from_millis(15));
    assert_eq!(after(&[3; 40]).timeout(), Micros::from_millis(15));
}

#[test]
fn timeout_long_for_late_answers() {
    let times: Vec<u64> = (0..40).map(|n| if n % 4 == 0 { 80 } else { 3 }).collect();
    let timeout = after(&times).timeout();
    assert!(timeout >= Micros::from_millis(80), "{timeout:?}");
    assert!(after(&[400; 40]).timeout() <= Micros::from_millis(150));
}

#[test]
fn timeout_recovers_after_late_answers() {
    let mut times = vec![90; 5];
    times.extend([3; 40]);
    assert_eq!(after(&times).timeout(), Micros::from_millis(15));
}
