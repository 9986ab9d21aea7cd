//! Drawn schedules over several instances.

use super::{APART, CRASHING, T0, fp, is_rejected, share, suspects};
use galenapath_filings::{Fingerprint, SuspectReport, SuspectVerdict};
use galenapath_protocol::Micros;
use proptest::prelude::*;

/// Sends the crashing request through the given instances in turn and returns the number of servers
/// that crash. All instances learn of each crash before the next send. `sends` also contains the
/// other requests in flight on the server, unless the crashing request runs isolated.
fn servers_lost(sends: &[(usize, Vec<u128>)]) -> u64 {
    let mut all: Vec<_> = (0..3).map(|_| suspects()).collect();
    let (mut now, mut lost) = (T0, 0);
    for (index, others) in sends {
        now = now + APART;
        let mut in_flight = vec![CRASHING];
        match all[*index].check(now, CRASHING) {
            SuspectVerdict::Reject { .. } => continue,
            SuspectVerdict::RunIsolated => all[*index].begin_isolated_run(CRASHING),
            SuspectVerdict::Clear => in_flight.extend(others.iter().map(|n| fp(*n))),
        }
        lost += 1;
        all[*index].end_isolated_run(CRASHING);
        all[*index].record_crash(now, lost, &in_flight);
        share(now, &mut all);
    }
    lost
}

/// Time between two sends of a caller that repeats at once.
const STEP: Micros = Micros::from_millis(100);

/// A report of a crash on its way to the other instances.
struct Report {
    due: Micros,
    backend: u64,
    at: Micros,
    members: Vec<Fingerprint>,
}

/// Sends the crashing request and a companion together, again and again through the given instances,
/// which learn of a crash the given number of steps later. Both are always on the same server. Returns
/// the number of servers lost.
fn servers_lost_with_a_companion(sends: &[(usize, u64)]) -> u64 {
    let companion = fp(1);
    let mut all: Vec<_> = (0..5).map(|_| suspects()).collect();
    let (mut now, mut lost) = (T0, 0);
    let mut on_the_way: Vec<Report> = Vec::new();
    for (index, delay) in sends {
        now = now + STEP;
        for report in on_the_way.extract_if(.., |report| report.due <= now) {
            let age_ms = (now - report.at).0 / 1_000;
            let (backend, members) = (report.backend, report.members);
            let crash = SuspectReport::Crash { backend, age_ms, members };
            all.iter_mut().for_each(|s| drop(s.merge(now, std::slice::from_ref(&crash))));
        }
        let may_run = |fp: &Fingerprint| !is_rejected(all[*index].check(now, *fp));
        let members: Vec<_> = [CRASHING, companion].into_iter().filter(may_run).collect();
        if members.contains(&CRASHING) {
            lost += 1;
            all[*index].record_crash(now, lost, &members);
            let due = now + Micros(STEP.0 * delay);
            on_the_way.push(Report { due, backend: lost, at: now, members });
        }
    }
    lost
}

proptest! {
    /// Three crashes show that one of the two is the cause and a fourth one which of them; each can be
    /// followed by the sends that are made before all know of it.
    #[test]
    fn crashing_request_with_a_companion_bounded(
        sends in prop::collection::vec((0..5_usize, 0..4_u64), 1_000..1_001)
    ) {
        let unknown = 3;
        prop_assert!(servers_lost_with_a_companion(&sends) <= 3 + unknown + 1 + unknown);
    }

    #[test]
    fn crashing_request_shared_two_servers(
        sends in prop::collection::vec((0..3_usize, prop::collection::vec(0..6_u128, 0..6)), 2..12)
    ) {
        prop_assert_eq!(servers_lost(&sends), 2);
    }

    #[test]
    fn merge_any_order_same_verdicts(
        crashes in prop::collection::vec(
            (0..4_u64, 0..20_u64, prop::collection::vec(0..5_u128, 1..5)), 1..8),
        answered in prop::collection::vec(0..5_u128, 0..3),
    ) {
        let mut parts = Vec::new();
        for (backend, at, members) in &crashes {
            let mut s = suspects();
            let members: Vec<_> = members.iter().map(|n| fp(*n)).collect();
            s.record_crash(T0 + Micros::from_secs(at * 3), *backend, &members);
            parts.push(s);
        }
        let now = T0 + Micros::from_secs(100);
        let mut reports: Vec<_> = parts.iter().flat_map(|s| s.export(now)).collect();
        for n in &answered {
            let age_ms = 20_000;
            reports.push(SuspectReport::Answered { fp: fp(*n), age_ms });
        }
        let (mut forth, mut back) = (suspects(), suspects());
        forth.merge(now, &reports);
        forth.merge(now, &reports);
        reports.reverse();
        back.merge(now, &reports);
        for n in 0..5 {
            prop_assert_eq!(forth.check(now, fp(n)), back.check(now, fp(n)));
        }
    }
}
