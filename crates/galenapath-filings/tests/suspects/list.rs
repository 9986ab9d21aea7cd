//! What one instance knows, and what several know that report to each other.

use super::{APART, CRASHING, T0, fp, is_rejected, share, suspects};
use galenapath_filings::{
    Fingerprint, RecentAnswers, SuspectConfig, SuspectReport, SuspectVerdict,
};
use galenapath_protocol::Micros;

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
