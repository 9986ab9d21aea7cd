use crate::support::{MS, USUAL, report, slot, warm};
use galenapath_policy::Outcome;
use galenapath_protocol::Micros;

/// Many dispatchers, so that no slots are guaranteed and the estimate alone counts.
const MANY: u32 = 600;

#[test]
fn free_slots_report_counts_others() {
    let (mut balancer, now) = warm(1, 0);
    balancer.set_dispatchers(now, MANY);
    let server = slot(&mut balancer, now, "h0");
    balancer.start(now, server);
    let later = now + USUAL;
    balancer.report(later, server, report(4, 0));
    // One of the four is our own; six slots less four.
    assert_eq!(balancer.free_slots(later), 2);
}

#[test]
fn free_slots_request_on_the_way_not_taken_for_others() {
    let (mut balancer, now) = warm(1, 0);
    balancer.set_dispatchers(now, MANY);
    let server = slot(&mut balancer, now, "h0");
    balancer.start(now, server);
    // Written before the request arrived: all three are others'.
    balancer.report(now + Micros(100), server, report(3, 0));
    assert_eq!(balancer.free_slots(now + Micros(100)), 2);
}

#[test]
fn free_slots_report_fades_to_average() {
    let (mut balancer, now) = warm(1, 0);
    balancer.set_dispatchers(now, MANY);
    let server = slot(&mut balancer, now, "h0");
    balancer.start(now, server);
    balancer.report(now, server, report(6, 0));
    assert_eq!(balancer.free_slots(now), 0);
    assert!(balancer.free_slots(now + Micros(20 * MS)) > 3);
}

#[test]
fn free_slots_report_below_own_requests_not_believed() {
    let (mut balancer, now) = warm(2, 0);
    balancer.set_dispatchers(now, MANY);
    let liar = slot(&mut balancer, now, "h0");
    let honest = slot(&mut balancer, now, "h1");
    for _ in 0..3 {
        balancer.start(now, liar);
    }
    let mut now = now;
    for _ in 0..200 {
        now = now + Micros(MS / 10);
        balancer.report(now, honest, report(4, 0));
    }
    for _ in 0..10 {
        balancer.report(now, liar, report(0, 0));
    }
    // The liar is taken to hold as much of the others' work as the honest server: three own and
    // four others' requests leave nothing.
    assert_eq!(balancer.free_slots(now), 2);
}

#[test]
fn free_slots_claimed_queue_disproved_by_answers() {
    let (mut balancer, mut now) = warm(1, 0);
    balancer.set_dispatchers(now, MANY);
    let liar = slot(&mut balancer, now, "h0");
    balancer.start(now, liar);
    for _ in 0..10 {
        balancer.report(now, liar, report(6, 10));
        balancer.start(now, liar);
        now = now + Micros(2 * MS);
        balancer.finish(now, liar, Outcome::Answered, Micros(2 * MS));
    }
    balancer.report(now, liar, report(6, 10));
    assert!(balancer.free_slots(now) > 0);
}
