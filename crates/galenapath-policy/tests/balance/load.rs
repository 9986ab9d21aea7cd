use crate::support::{MS, TYPICAL_LATENCY, handle, report, warmed_up};
use galenapath_policy::Outcome;
use galenapath_protocol::Micros;

/// So many dispatchers that no slots are guaranteed and only the estimate decides.
const MANY_DISPATCHERS: u32 = 600;

#[test]
fn free_slots_report_counts_others() {
    let (mut balancer, now) = warmed_up(1, 0);
    balancer.set_dispatchers(now, MANY_DISPATCHERS);
    let server = handle(&mut balancer, now, "h0");
    balancer.start(now, server);
    let later = now + TYPICAL_LATENCY;
    balancer.report(later, server, report(4, 0));
    // The four requests include the own one, so two of six slots are free.
    assert_eq!(balancer.free_slots(later), 2);
}

#[test]
fn free_slots_request_in_transit_not_subtracted_from_report() {
    let (mut balancer, now) = warmed_up(1, 0);
    balancer.set_dispatchers(now, MANY_DISPATCHERS);
    let server = handle(&mut balancer, now, "h0");
    balancer.start(now, server);
    // The report was written before the request arrived, so all three are of other dispatchers.
    balancer.report(now + Micros(100), server, report(3, 0));
    assert_eq!(balancer.free_slots(now + Micros(100)), 2);
}

#[test]
fn free_slots_report_fades_to_average() {
    let (mut balancer, now) = warmed_up(1, 0);
    balancer.set_dispatchers(now, MANY_DISPATCHERS);
    let server = handle(&mut balancer, now, "h0");
    balancer.start(now, server);
    balancer.report(now, server, report(6, 0));
    assert_eq!(balancer.free_slots(now), 0);
    assert!(balancer.free_slots(now + Micros(20 * MS)) > 3);
}

#[test]
fn free_slots_report_below_own_requests_ignored() {
    let (mut balancer, now) = warmed_up(2, 0);
    balancer.set_dispatchers(now, MANY_DISPATCHERS);
    let false_reporter = handle(&mut balancer, now, "h0");
    let honest = handle(&mut balancer, now, "h1");
    for _ in 0..3 {
        balancer.start(now, false_reporter);
    }
    let mut now = now;
    for _ in 0..200 {
        now = now + Micros(MS / 10);
        balancer.report(now, honest, report(4, 0));
    }
    for _ in 0..10 {
        balancer.report(now, false_reporter, report(0, 0));
    }
    // The load of the false reporter is estimated as that of the honest server. Three requests of
    // this instance and four of other dispatchers leave no free slot on it.
    assert_eq!(balancer.free_slots(now), 2);
}

#[test]
fn free_slots_false_queue_report_ignored() {
    let (mut balancer, mut now) = warmed_up(1, 0);
    balancer.set_dispatchers(now, MANY_DISPATCHERS);
    let false_reporter = handle(&mut balancer, now, "h0");
    balancer.start(now, false_reporter);
    for _ in 0..10 {
        balancer.report(now, false_reporter, report(6, 10));
        balancer.start(now, false_reporter);
        now = now + Micros(2 * MS);
        balancer.finish(now, false_reporter, Outcome::Answered, Micros(2 * MS));
    }
    balancer.report(now, false_reporter, report(6, 10));
    assert!(balancer.free_slots(now) > 0);
}
