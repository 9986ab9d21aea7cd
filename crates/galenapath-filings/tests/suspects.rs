//! Tests of the crash suspects.

use galenapath_filings::{Fingerprint, SuspectConfig, SuspectVerdict, Suspects};
use galenapath_protocol::Micros;
use proptest::prelude::*;

const POISON: Fingerprint = Fingerprint(666);
const T0: Micros = Micros::from_secs(1_000);
/// Times between crashes: longer than reports of one crash are apart.
const APART: Micros = Micros::from_secs(3);

fn fp(n: u128) -> Fingerprint {
    Fingerprint(n)
}

fn suspects() -> Suspects {
    Suspects::new(SuspectConfig::default())
}

fn share(now: Micros, all: &mut [Suspects]) {
    let facts: Vec<_> = all.iter().flat_map(|s| s.export(now)).collect();
    all.iter_mut().for_each(|s| s.merge(now, &facts));
}

fn refused(verdict: SuspectVerdict) -> bool {
    matches!(verdict, SuspectVerdict::Reject { .. })
}

#[test]
fn judge_unknown_clear() {
    assert_eq!(suspects().check(T0, POISON), SuspectVerdict::Clear);
}

#[test]
fn crashed_once_all_run_alone() {
    let mut s = suspects();
    s.record_crash(T0, 1, &[POISON, fp(1)]);
    assert_eq!(s.check(T0, POISON), SuspectVerdict::RunIsolated);
    assert_eq!(s.check(T0, fp(1)), SuspectVerdict::RunIsolated);
}

#[test]
fn crashed_twice_named_and_bystanders_cleared() {
    let mut s = suspects();
    s.record_crash(T0, 1, &[POISON, fp(1), fp(2)]);
    let now = T0 + APART;
    s.record_crash(now, 2, &[POISON]);
    assert!(refused(s.check(now, POISON)));
    assert_eq!(s.check(now, fp(1)), SuspectVerdict::Clear);
}

#[test]
fn crashed_same_server_reported_twice_once() {
    let mut s = suspects();
    s.record_crash(T0, 1, &[POISON, fp(1)]);
    s.record_crash(T0 + Micros::from_millis(5), 1, &[POISON, fp(2)]);
    assert_eq!(s.check(T0 + APART, POISON), SuspectVerdict::RunIsolated);
}

#[test]
fn crashed_popular_bystander_not_refused() {
    let mut s = suspects();
    let popular = fp(7);
    s.record_crash(T0, 1, &[POISON, popular]);
    s.record_crash(T0 + APART, 2, &[POISON, popular]);
    assert_eq!(s.check(T0 + APART, popular), SuspectVerdict::RunIsolated);
    s.record_answer(T0 + APART, popular);
    assert_eq!(s.check(T0 + APART, popular), SuspectVerdict::Clear);
    assert!(refused(s.check(T0 + APART, POISON)));
}

#[test]
fn answered_before_crash_no_excuse() {
    let mut s = suspects();
    s.record_crash(T0, 1, &[POISON]);
    s.record_answer(T0, POISON);
    s.record_crash(T0 + APART, 2, &[POISON]);
    assert_eq!(s.check(T0 + APART, POISON), SuspectVerdict::RunIsolated);
}

#[test]
fn trial_second_waits() {
    let mut s = suspects();
    s.record_crash(T0, 1, &[POISON, fp(1)]);
    s.begin_isolated_run(POISON);
    assert!(refused(s.check(T0, POISON)));
    s.end_isolated_run(POISON);
    assert_eq!(s.check(T0, POISON), SuspectVerdict::RunIsolated);
}

#[test]
fn judge_expired_clear() {
    let mut s = suspects();
    s.record_crash(T0, 1, &[POISON]);
    let later = T0 + SuspectConfig::default().lifetime;
    assert_eq!(s.check(later, POISON), SuspectVerdict::Clear);
}

#[test]
fn crashed_copies_before_sharing_then_refused() {
    let mut all: Vec<_> = (0..4).map(|_| suspects()).collect();
    for (place, s) in all.iter_mut().enumerate() {
        let others = [POISON, fp(place as u128), fp(100 + place as u128)];
        s.record_crash(T0, place as u64, &others);
    }
    share(T0, &mut all);
    assert!(all.iter().all(|s| refused(s.check(T0, POISON))));
    assert!(all.iter().all(|s| s.check(T0, fp(2)) == SuspectVerdict::Clear));
}

#[test]
fn trials_before_sharing_then_refused() {
    let mut all: Vec<_> = (0..3).map(|_| suspects()).collect();
    all[0].record_crash(T0, 0, &[POISON, fp(1)]);
    share(T0, &mut all);
    let now = T0 + APART;
    for (place, s) in all.iter_mut().enumerate() {
        assert_eq!(s.check(now, POISON), SuspectVerdict::RunIsolated);
        s.record_crash(now, 1 + place as u64, &[POISON]);
    }
    share(now, &mut all);
    assert!(all.iter().all(|s| refused(s.check(now, POISON))));
}

/// Sends the poison again and again through the given instances, each crash shared before the next
/// send, among bystanders that share servers while it runs with others. Returns servers lost.
fn servers_lost(sends: &[(usize, Vec<u128>)]) -> u64 {
    let mut all: Vec<_> = (0..3).map(|_| suspects()).collect();
    let (mut now, mut lost) = (T0, 0);
    for (place, bystanders) in sends {
        now = now + APART;
        let mut in_flight = vec![POISON];
        match all[*place].check(now, POISON) {
            SuspectVerdict::Reject { .. } => continue,
            SuspectVerdict::RunIsolated => all[*place].begin_isolated_run(POISON),
            SuspectVerdict::Clear => in_flight.extend(bystanders.iter().map(|n| fp(*n))),
        }
        lost += 1;
        all[*place].end_isolated_run(POISON);
        all[*place].record_crash(now, lost, &in_flight);
        share(now, &mut all);
    }
    lost
}

proptest! {
    #[test]
    fn poison_shared_two_servers(
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
        let mut facts: Vec<_> = parts.iter().flat_map(|s| s.export(now)).collect();
        for n in &answered {
            let age_ms = 20_000;
            facts.push(galenapath_filings::SuspectReport::Answered { fp: fp(*n), age_ms });
        }
        let (mut forth, mut back) = (suspects(), suspects());
        forth.merge(now, &facts);
        forth.merge(now, &facts);
        facts.reverse();
        back.merge(now, &facts);
        for n in 0..5 {
            prop_assert_eq!(forth.check(now, fp(n)), back.check(now, fp(n)));
        }
    }
}
