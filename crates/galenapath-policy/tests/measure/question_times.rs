use galenapath_policy::measure::QuestionTimes;
use galenapath_protocol::Micros;

fn after(times_ms: &[u64]) -> QuestionTimes {
    let times = times_ms.iter().map(|ms| Micros::from_millis(*ms));
    times.fold(QuestionTimes::default(), QuestionTimes::with)
}

#[test]
fn patience_short_where_answers_are_prompt() {
    assert_eq!(after(&[]).patience(), Micros::from_millis(15));
    assert_eq!(after(&[3; 40]).patience(), Micros::from_millis(15));
}

#[test]
fn patience_long_on_an_instance_that_reads_late() {
    let times: Vec<u64> = (0..40).map(|n| if n % 4 == 0 { 80 } else { 3 }).collect();
    let patience = after(&times).patience();
    assert!(patience >= Micros::from_millis(80), "{patience:?}");
    assert!(after(&[400; 40]).patience() <= Micros::from_millis(150));
}

#[test]
fn patience_short_again_after_a_bad_moment() {
    let mut times = vec![90; 5];
    times.extend([3; 40]);
    assert_eq!(after(&times).patience(), Micros::from_millis(15));
}
