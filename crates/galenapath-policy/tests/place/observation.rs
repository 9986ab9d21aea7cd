//! When a load observation is reported to other instances.

use galenapath_policy::place::LoadObservation;
use galenapath_protocol::{LoadReport, Micros};

fn observation(ms: u64, in_flight: u32, slots: u32, pace: u32) -> LoadObservation {
    let report = LoadReport { in_flight, waiting: 0, slots, leaving: false, pace };
    LoadObservation { at: Micros::from_secs(10) + Micros::from_millis(ms), report }
}

#[test]
fn is_update_one_slot_of_few_but_not_of_many() {
    assert!(observation(1, 2, 3, 100).is_update_to(&observation(0, 1, 3, 100)));
    assert!(!observation(1, 2, 6, 100).is_update_to(&observation(0, 1, 6, 100)));
    assert!(observation(1, 3, 6, 100).is_update_to(&observation(0, 1, 6, 100)));
    assert!(!observation(1, 4, 12, 100).is_update_to(&observation(0, 1, 12, 100)));
}

#[test]
fn is_update_false_for_longer_queue() {
    assert!(!observation(1, 9, 3, 100).is_update_to(&observation(0, 4, 3, 100)));
}

#[test]
fn is_update_start_and_end_of_slow_period() {
    assert!(observation(1, 1, 6, 400).is_update_to(&observation(0, 1, 6, 100)));
    assert!(observation(1, 1, 6, 100).is_update_to(&observation(0, 1, 6, 400)));
    assert!(!observation(1, 1, 6, 130).is_update_to(&observation(0, 1, 6, 100)));
}

#[test]
fn is_update_with_age() {
    assert!(observation(150, 2, 6, 100).is_update_to(&observation(0, 1, 6, 100)));
    assert!(!observation(150, 1, 6, 100).is_update_to(&observation(0, 1, 6, 100)));
    assert!(observation(450, 1, 6, 100).is_update_to(&observation(0, 1, 6, 100)));
}
