//! Tests of the crash suspects.

use galenapath_filings::{
    Fingerprint, RecentAnswers, SuspectConfig, SuspectReport, SuspectVerdict, Suspects,
};
use galenapath_protocol::Micros;
use proptest::prelude::*;

const CRASHING: Fingerprint = Fingerprint(666);
const T0: Micros = Micros::from_secs(1_000);
/// Time between crashes, long enough that they count as separate.
const APART: Micros = Micros::from_secs(3);

fn fp(n: u128) -> Fingerprint {
    Fingerprint(n)
}

fn suspects() -> Suspects {
    Suspects::new(SuspectConfig::default())
}

fn share(now: Micros, all: &mut [Suspects]) {
    let reports: Vec<_> = all.iter().flat_map(|s| s.export(now)).collect();
    all.iter_mut().for_each(|s| drop(s.merge(now, &reports)));
}

fn is_rejected(verdict: SuspectVerdict) -> bool {
    matches!(verdict, SuspectVerdict::Reject { .. })
}

#[test]
fn check_unknown_clear() {
    assert_eq!(suspects().check(T0, CRASHING), SuspectVerdict::Clear);
}

#[test]
fn record_crash_once_all_run_isolated() {
    let mut s = suspects();
    s.record_crash(T0, 1, &[CRASHING, fp(1)]);
    assert_eq!(s.check(T0, CRASHING), SuspectVerdict::RunIsolated);
    assert_eq!(s.check(T0, fp(1)), SuspectVerdict::RunIsolated);
}

#[test]
fn record_crash_twice_cause_rejected_and_others_cleared() {
    let mut s = suspects();
    s.record_crash(T0, 1, &[CRASHING, fp(1), fp(2)]);
    let now = T0 + APART;
    s.record_crash(now, 2, &[CRASHING]);
    assert!(is_rejected(s.check(now, CRASHING)));
    assert_eq!(s.check(now, fp(1)), SuspectVerdict::Clear);
}

#[test]
fn record_crash_reported_twice_counted_once() {
    let mut s = suspects();
    s.record_crash(T0, 1, &[CRASHING, fp(1)]);
    s.record_crash(T0 + Micros::from_millis(5), 1, &[CRASHING, fp(2)]);
    assert_eq!(s.check(T0 + APART, CRASHING), SuspectVerdict::RunIsolated);
}

#[test]
fn record_crash_frequent_request_not_rejected() {
    let mut s = suspects();
    let frequent = fp(7);
    s.record_crash(T0, 1, &[CRASHING, frequent]);
    s.record_crash(T0 + APART, 2, &[CRASHING, frequent]);
    assert_eq!(s.check(T0 + APART, frequent), SuspectVerdict::RunIsolated);
    s.record_answer(T0 + APART, frequent);
    assert_eq!(s.check(T0 + APART, frequent), SuspectVerdict::Clear);
    assert!(is_rejected(s.check(T0 + APART, CRASHING)));
}

#[test]
fn record_answer_before_crash_not_cleared() {
    let mut s = suspects();
    s.record_crash(T0, 1, &[CRASHING]);
    s.record_answer(T0, CRASHING);
    s.record_crash(T0 + APART, 2, &[CRASHING]);
    assert_eq!(s.check(T0 + APART, CRASHING), SuspectVerdict::RunIsolated);
}

#[test]
fn begin_isolated_run_second_rejected() {
    let mut s = suspects();
    s.record_crash(T0, 1, &[CRASHING, fp(1)]);
    s.begin_isolated_run(CRASHING);
    assert!(is_rejected(s.check(T0, CRASHING)));
    s.end_isolated_run(CRASHING);
    assert_eq!(s.check(T0, CRASHING), SuspectVerdict::RunIsolated);
}

#[test]
fn check_expired_clear() {
    let mut s = suspects();
    s.record_crash(T0, 1, &[CRASHING]);
    let later = T0 + SuspectConfig::default().lifetime;
    assert_eq!(s.check(later, CRASHING), SuspectVerdict::Clear);
}

#[test]
fn record_crash_on_all_before_sharing_rejected() {
    let mut all: Vec<_> = (0..4).map(|_| suspects()).collect();
    for (index, s) in all.iter_mut().enumerate() {
        let others = [CRASHING, fp(index as u128), fp(100 + index as u128)];
        s.record_crash(T0, index as u64, &others);
    }
    share(T0, &mut all);
    assert!(all.iter().all(|s| is_rejected(s.check(T0, CRASHING))));
    assert!(all.iter().all(|s| s.check(T0, fp(2)) == SuspectVerdict::Clear));
}

#[test]
fn isolated_runs_before_sharing_rejected() {
    let mut all: Vec<_> = (0..3).map(|_| suspects()).collect();
    all[0].record_crash(T0, 0, &[CRASHING, fp(1)]);
    share(T0, &mut all);
    let now = T0 + APART;
    for (index, s) in all.iter_mut().enumerate() {
        assert_eq!(s.check(now, CRASHING), SuspectVerdict::RunIsolated);
        s.record_crash(now, 1 + index as u64, &[CRASHING]);
    }
    share(now, &mut all);
    assert!(all.iter().all(|s| is_rejected(s.check(now, CRASHING))));
}

#[test]
fn record_crash_many_others_cause_still_rejected() {
    let mut s = suspects();
    s.record_crash(T0, 1, &[CRASHING]);
    s.record_crash(T0 + APART, 2, &[CRASHING]);
    let now = T0 + APART + APART;
    for lost in 0..SuspectConfig::default().max_crashes as u64 {
        s.record_crash(now, 100 + lost, &[fp(u128::from(lost))]);
    }
    assert!(is_rejected(s.check(now, CRASHING)));
    s.record_answer(now, CRASHING);
    assert_eq!(s.check(now, CRASHING), SuspectVerdict::Clear);
}

#[test]
fn record_verdict_rejected_until_answered_or_expired() {
    let mut s = suspects();
    let now = T0 + APART;
    assert!(s.record_verdict(now, CRASHING, T0));
    assert!(!s.record_verdict(now, CRASHING, T0));
    assert!(is_rejected(s.check(now, CRASHING)));
    assert_eq!(s.confirmed(now).collect::<Vec<_>>(), vec![(CRASHING, T0)]);
    let later = T0 + SuspectConfig::default().lifetime;
    assert_eq!(s.check(later, CRASHING), SuspectVerdict::Clear);
    s.record_answer(now, CRASHING);
    assert_eq!(s.check(now, CRASHING), SuspectVerdict::Clear);
    assert!(!s.record_verdict(now, CRASHING, T0));
}

#[test]
fn recent_answers_clear_until_a_second_later() {
    let mut recent = RecentAnswers::default();
    recent.record(T0, fp(1));
    let until = T0 + Micros::from_millis(1_000);
    assert_eq!(recent.cleared_until(T0 + Micros::from_millis(999), fp(1)), Some(until));
    assert_eq!(recent.cleared_until(until, fp(1)), None);
    assert_eq!(recent.cleared_until(T0, fp(2)), None);
    recent.record(T0 + Micros::from_secs(2), fp(2));
    assert_eq!(recent.cleared_until(T0, fp(1)), None);
}

#[test]
fn record_common_counts_only_later_crashes() {
    let mut s = suspects();
    let until = T0 + Micros::from_secs(1);
    s.record_crash(T0, 1, &[CRASHING]);
    s.record_common(T0, CRASHING, until);
    s.record_crash(T0 + Micros::from_millis(500), 2, &[CRASHING]);
    assert_eq!(s.check(until, CRASHING), SuspectVerdict::Clear);
    assert!(!s.record_verdict(until, CRASHING, T0 + Micros::from_millis(900)));
    s.record_crash(until + Micros::from_millis(1), 3, &[CRASHING]);
    s.record_crash(until + Micros::from_millis(2), 4, &[CRASHING]);
    assert!(is_rejected(s.check(until + Micros::from_millis(3), CRASHING)));
}

#[test]
fn check_rejected_until_ten_minutes_after_the_last_crash() {
    let mut s = suspects();
    let lifetime = SuspectConfig::default().lifetime;
    let last = T0 + lifetime - APART;
    s.record_crash(T0, 1, &[CRASHING]);
    s.record_crash(last, 2, &[CRASHING]);
    let now = T0 + lifetime + APART;
    s.record_crash(now, 3, &[fp(1)]);
    assert!(is_rejected(s.check(now, CRASHING)));
    assert_eq!(s.check(last + lifetime, CRASHING), SuspectVerdict::Clear);
}

#[test]
fn merge_crash_new_only_once() {
    let mut s = suspects();
    let crash = |age_ms| SuspectReport::Crash { backend: 1, age_ms, members: vec![CRASHING] };
    assert_eq!(s.merge(T0, &[crash(100)]), [1]);
    assert_eq!(s.merge(T0 + APART, &[crash(3_100)]), []);
    assert_eq!(suspects().merge(T0, &[crash(60_000)]), []);
}

/// Two requests that were beside the cause are in flight in a rack that is lost afterwards.
#[test]
fn record_crash_of_others_leaves_the_cause_known() {
    let (mut s, mut now) = (suspects(), T0);
    for (backend, running) in [[CRASHING, fp(1)], [CRASHING, fp(2)]].iter().enumerate() {
        now = now + APART;
        s.record_crash(now, backend as u64, running);
    }
    assert!(is_rejected(s.check(now, CRASHING)));
    for (backend, other) in [fp(1), fp(2)].into_iter().enumerate() {
        now = now + APART;
        s.record_crash(now, 10 + backend as u64, &[other]);
    }
    assert!(is_rejected(s.check(now, CRASHING)));
    s.record_answer(now, CRASHING);
    assert_eq!(s.check(now, CRASHING), SuspectVerdict::Clear);
}

/// A page asks for two things at once, and the only server of a service crashes under one of them.
/// Returns how many servers were lost in ten minutes, and when the other one was first answered.
fn lost_under_a_pair_sent_together() -> (u64, Option<Micros>) {
    let (mut s, companion) = (suspects(), fp(1));
    let (mut lost, mut answered) = (0, None);
    for second in 1..600 {
        let now = T0 + Micros::from_secs(second);
        let may_run = |fp: &Fingerprint| !is_rejected(s.check(now, *fp));
        let running: Vec<_> = [CRASHING, companion].into_iter().filter(may_run).collect();
        if running.contains(&CRASHING) {
            lost += 1;
            s.record_crash(now, lost, &running);
        } else if running.contains(&companion) {
            s.record_answer(now, companion);
            answered.get_or_insert(now);
        }
    }
    (lost, answered)
}

#[test]
fn record_crash_companion_in_each_crash_few_servers_lost() {
    let (lost, answered) = lost_under_a_pair_sent_together();
    assert!(lost <= 4, "{lost} servers lost");
    assert!(answered.is_some_and(|at| at < T0 + Micros::from_secs(120)), "{answered:?}");
}

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
