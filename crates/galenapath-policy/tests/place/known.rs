//! What is known of a server's load, and when it is worth telling.

use galenapath_policy::place::Sighting;
use galenapath_protocol::{LoadReport, Micros};

fn seen(ms: u64, in_flight: u32, slots: u32, pace: u32) -> Sighting {
    let report = LoadReport { in_flight, waiting: 0, slots, leaving: false, pace };
    Sighting { at: Micros::from_secs(10) + Micros::from_millis(ms), report }
}

#[test]
fn is_news_one_slot_of_few_but_not_of_many() {
    assert!(seen(1, 2, 3, 100).is_news_after(&seen(0, 1, 3, 100)));
    assert!(!seen(1, 2, 6, 100).is_news_after(&seen(0, 1, 6, 100)));
    assert!(seen(1, 3, 6, 100).is_news_after(&seen(0, 1, 6, 100)));
    assert!(!seen(1, 4, 12, 100).is_news_after(&seen(0, 1, 12, 100)));
}

#[test]
fn is_news_longer_queue_is_none() {
    assert!(!seen(1, 9, 3, 100).is_news_after(&seen(0, 4, 3, 100)));
}

#[test]
fn is_news_slow_spell_either_way() {
    assert!(seen(1, 1, 6, 400).is_news_after(&seen(0, 1, 6, 100)));
    assert!(seen(1, 1, 6, 100).is_news_after(&seen(0, 1, 6, 400)));
    assert!(!seen(1, 1, 6, 130).is_news_after(&seen(0, 1, 6, 100)));
}

#[test]
fn is_news_with_age() {
    assert!(seen(150, 2, 6, 100).is_news_after(&seen(0, 1, 6, 100)));
    assert!(!seen(150, 1, 6, 100).is_news_after(&seen(0, 1, 6, 100)));
    assert!(seen(450, 1, 6, 100).is_news_after(&seen(0, 1, 6, 100)));
}
