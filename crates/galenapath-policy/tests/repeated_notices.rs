//! Tests of notices that are sent several times.

use galenapath_policy::RepeatedNotices;
use galenapath_protocol::Micros;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Interval at which an instance sends what is due.
const STEP: Micros = Micros::from_millis(20);

#[test]
fn take_due_three_times_within_a_quarter_second() {
    let mut notices = RepeatedNotices::default();
    notices.add(Micros::ZERO, "crash");
    let mut sent = Vec::new();
    for step in 0..50 {
        let now = Micros(STEP.0 * step);
        sent.extend(notices.take_due(now).iter().map(|_| now.0 / 1_000));
    }
    assert_eq!(sent, [0, 60, 200]);
    assert!(notices.is_empty());
}

#[test]
fn take_due_others_not_delayed() {
    let mut notices = RepeatedNotices::default();
    notices.add(Micros::ZERO, 1);
    assert_eq!(notices.take_due(Micros::ZERO), [1]);
    notices.add(STEP, 2);
    assert_eq!(notices.take_due(STEP), [2]);
    assert_eq!(notices.take_due(Micros::from_millis(60)), [1]);
}

/// One in five packets is lost on the links to fifteen other instances. One in fifty of these at most may
/// not know of a crash after a quarter of a second.
#[test]
fn take_due_known_to_all_over_links_that_lose_packets() {
    const LOSS: f64 = 0.2;
    let mut rng = StdRng::seed_from_u64(1);
    let (crashes, instances) = (1_000, 15);
    let mut missed = 0;
    for _ in 0..crashes * instances {
        let mut notices = RepeatedNotices::default();
        notices.add(Micros::ZERO, ());
        let is_known = (0..13).any(|step| {
            let due = notices.take_due(Micros(STEP.0 * step));
            due.iter().any(|()| !rng.random_bool(LOSS))
        });
        missed += u32::from(!is_known);
    }
    assert!(missed <= crashes * instances / 50, "{missed} of {}", crashes * instances);
}
