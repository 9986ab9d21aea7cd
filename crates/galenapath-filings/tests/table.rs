//! Tests of single operations of the filing table.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use bytes::Bytes;
use galenapath_filings::{
    AfterAttempt, Answer, AttemptEnd, ClaimId, ClaimResult, FilingConfig, FilingDecision,
    FilingEnd, FilingKey, FilingTable, Fingerprint, HandOverEntry, RecordGone, RecordId,
};
use galenapath_protocol::{Incarnation, Micros, Verdict};

const ME: Incarnation = Incarnation(0xa);
const PEER: Incarnation = Incarnation(0xb);
const FP: Fingerprint = Fingerprint(1);
const OTHER_FP: Fingerprint = Fingerprint(2);
const T0: Micros = Micros::from_secs(1);

fn table() -> FilingTable {
    FilingTable::new(FilingConfig::default(), ME)
}

fn issued(table: &mut FilingTable, now: Micros, nonce: &str) -> FilingKey {
    let text = table.key_prefix(now) + nonce;
    FilingKey::try_from(text.as_str()).unwrap()
}

fn caller_chosen(text: &str) -> FilingKey {
    FilingKey::try_from(text).unwrap()
}

fn answer(len: usize) -> Answer {
    Answer { status: 201, headers: Vec::new(), body: Bytes::from(vec![7; len]) }
}

fn run(decision: FilingDecision) -> RecordId {
    match decision {
        FilingDecision::Run(id) => id,
        other => panic!("expected Run, got {other:?}"),
    }
}

fn claim(decision: FilingDecision) -> ClaimId {
    match decision {
        FilingDecision::Claim(id) => id,
        other => panic!("expected Claim, got {other:?}"),
    }
}

fn answered(table: &mut FilingTable, now: Micros, key: &FilingKey, len: usize) {
    let id = run(table.admit(now, key, FP));
    table.mark_sent(now, id).unwrap();
    assert_eq!(table.resolve(now, id, FilingEnd::Answered(answer(len))), Verdict::Answered);
}

#[test]
fn admit_resend_replayed() {
    let mut t = table();
    let key = issued(&mut t, T0, "a");
    answered(&mut t, T0, &key, 3);
    assert!(matches!(t.admit(T0, &key, FP), FilingDecision::Replay(a) if *a == answer(3)));
}

#[test]
fn admit_in_progress_returns_record() {
    let mut t = table();
    let key = issued(&mut t, T0, "a");
    let id = run(t.admit(T0, &key, FP));
    assert_eq!(t.admit(T0, &key, FP), FilingDecision::InProgress(id));
}

#[test]
fn admit_other_fingerprint_mismatch() {
    let mut t = table();
    let key = issued(&mut t, T0, "a");
    answered(&mut t, T0, &key, 3);
    assert_eq!(t.admit(T0, &key, OTHER_FP), FilingDecision::Mismatch);
}

#[test]
fn admit_foreign_key_forwarded() {
    let mut t = table();
    let key = issued(&mut FilingTable::new(FilingConfig::default(), PEER), T0, "a");
    assert_eq!(t.admit(T0, &key, FP), FilingDecision::Forward(PEER));
}

#[test]
fn admit_future_window_expired() {
    let mut t = table();
    assert_eq!(t.admit(T0, &caller_chosen("000000000000000a-7-x"), FP), FilingDecision::Expired);
}

#[test]
fn admit_key_issued_by_peer_runs() {
    let mut peer = FilingTable::new(FilingConfig::default(), PEER);
    let ahead = T0 + FilingConfig::default().window;
    let key = caller_chosen(&(peer.key_prefix_for(ahead, ME) + "a"));
    run(table().admit(T0, &key, FP));
}

#[test]
fn admit_expired_window_rejected() {
    let mut t = table();
    let key = issued(&mut t, T0, "a");
    answered(&mut t, T0, &key, 3);
    let late = Micros::from_secs(600 + 3_600);
    assert_eq!(t.admit(late, &key, FP), FilingDecision::Expired);
    assert_eq!((t.len(), t.bytes()), (0, 0));
}

#[test]
fn resolve_not_run_runs_again() {
    let mut t = table();
    let key = issued(&mut t, T0, "a");
    let id = run(t.admit(T0, &key, FP));
    assert_eq!(t.resolve(T0, id, FilingEnd::NotRun), Verdict::NotRun);
    run(t.admit(T0, &key, FP));
}

#[test]
fn resolve_not_run_after_bytes_may_have_run() {
    let mut t = table();
    let key = issued(&mut t, T0, "a");
    let id = run(t.admit(T0, &key, FP));
    t.mark_sent(T0, id).unwrap();
    assert_eq!(t.resolve(T0, id, FilingEnd::NotRun), Verdict::MayHaveRun);
    assert_eq!(t.admit(T0, &key, FP), FilingDecision::MayHaveRun);
}

#[test]
fn resolve_late_answer_kept() {
    let mut t = table();
    let key = issued(&mut t, T0, "a");
    let id = run(t.admit(T0, &key, FP));
    t.mark_sent(T0, id).unwrap();
    t.resolve(T0, id, FilingEnd::MayHaveRun);
    t.resolve(T0, id, FilingEnd::Answered(answer(1)));
    assert!(matches!(t.admit(T0, &key, FP), FilingDecision::Replay(_)));
}

#[test]
fn resolve_large_answer_status_kept() {
    let mut t = table();
    let key = issued(&mut t, T0, "a");
    answered(&mut t, T0, &key, 1 << 20);
    assert_eq!(t.admit(T0, &key, FP), FilingDecision::AnsweredNotKept { status: 201 });
}

#[test]
fn record_attempt_end_rejected_retried() {
    let mut t = table();
    let key = issued(&mut t, T0, "a");
    let id = run(t.admit(T0, &key, FP));
    t.mark_sent(T0, id).unwrap();
    assert_eq!(t.record_attempt_end(T0, id, AttemptEnd::Rejected), AfterAttempt::NotRun);
    assert_eq!(t.mark_sent(T0, id), Ok(()));
    assert_eq!(t.record_attempt_end(T0, id, AttemptEnd::Lost), AfterAttempt::MayHaveRun);
    assert_eq!(t.mark_sent(T0, id), Err(RecordGone));
}

#[test]
fn admit_full_rejected_and_answers_dropped() {
    let cfg = FilingConfig { max_bytes: 1_000, ..FilingConfig::default() };
    let mut t = FilingTable::new(cfg, ME);
    let key = issued(&mut t, T0, "a");
    answered(&mut t, T0, &key, 300);
    let mut rejected = 0;
    for n in 0..20 {
        let fresh = issued(&mut t, T0, &n.to_string());
        rejected += usize::from(matches!(t.admit(T0, &fresh, FP), FilingDecision::Full { .. }));
    }
    assert!(rejected > 0, "the table was never full");
    assert_eq!(t.admit(T0, &key, FP), FilingDecision::AnsweredNotKept { status: 201 });
}

#[test]
fn claim_won_runs() {
    let mut t = table();
    let id = claim(t.admit(T0, &caller_chosen("booking-1"), FP));
    run(t.apply_claim_result(T0, id, ClaimResult::Won));
}

#[test]
fn claim_lost_forwarded() {
    let mut t = table();
    let id = claim(t.admit(T0, &caller_chosen("booking-1"), FP));
    let lost = ClaimResult::Lost { incarnation: PEER, claim: ClaimId(1) };
    assert_eq!(t.apply_claim_result(T0, id, lost), FilingDecision::Forward(PEER));
}

#[test]
fn claim_unknown_resolved_by_resend() {
    let mut t = table();
    let first = claim(t.admit(T0, &caller_chosen("booking-1"), FP));
    assert!(matches!(
        t.apply_claim_result(T0, first, ClaimResult::Unknown),
        FilingDecision::Unclaimed { .. }
    ));
    let second = claim(t.admit(T0, &caller_chosen("booking-1"), FP));
    let held = ClaimResult::Lost { incarnation: ME, claim: first };
    run(t.apply_claim_result(T0, second, held));
}

#[test]
fn claim_older_than_record_may_have_run() {
    let mut t = table();
    let key = caller_chosen("booking-1");
    let first = claim(t.admit(T0, &key, FP));
    let id = run(t.apply_claim_result(T0, first, ClaimResult::Won));
    t.mark_sent(T0, id).unwrap();
    t.resolve(T0, id, FilingEnd::MayHaveRun);
    let late = Micros::from_secs(2 * 3_600);
    let second = claim(t.admit(late, &key, FP));
    let held = ClaimResult::Lost { incarnation: ME, claim: first };
    assert_eq!(t.apply_claim_result(late, second, held), FilingDecision::MayHaveRun);
}

#[test]
fn claim_never_reported_claimed_again() {
    let mut t = table();
    let key = caller_chosen("booking-1");
    let first = claim(t.admit(T0, &key, FP));
    assert!(matches!(t.admit(T0, &key, FP), FilingDecision::InProgress(_)));
    let later = T0 + FilingConfig::default().claim_timeout + Micros(1);
    let second = claim(t.admit(later, &key, FP));
    assert_eq!(t.apply_claim_result(later, first, ClaimResult::Won), FilingDecision::MayHaveRun);
    run(t.apply_claim_result(later, second, ClaimResult::Lost { incarnation: ME, claim: first }));
}

#[test]
fn claim_burst_limited() {
    let mut t = table();
    let decisions = (0..100).map(|n| t.admit(T0, &caller_chosen(&format!("k{n}")), FP));
    let claims = decisions.filter(|a| matches!(a, FilingDecision::Claim(_))).count();
    assert_eq!(claims, FilingConfig::default().claims_per_sec as usize);
}

#[test]
fn hand_over_answers_replayed_by_successor() {
    let (mut a, mut b) = (table(), FilingTable::new(FilingConfig::default(), PEER));
    let known = issued(&mut a, T0, "known");
    let open = issued(&mut a, T0, "open");
    answered(&mut a, T0, &known, 3);
    let id = run(a.admit(T0, &open, FP));
    a.begin_stop();
    b.apply_hand_over(T0, ME, a.hand_over());
    assert!(matches!(b.admit(T0, &known, FP), FilingDecision::Replay(_)));
    assert_eq!(b.admit(T0, &known, OTHER_FP), FilingDecision::Mismatch);
    assert_eq!(b.admit(T0, &open, FP), FilingDecision::MayHaveRun);
    a.mark_sent(T0, id).unwrap();
    a.resolve(T0, id, FilingEnd::Answered(answer(1)));
    b.apply_hand_over(T0, ME, a.hand_over());
    assert!(matches!(b.admit(T0, &open, FP), FilingDecision::Replay(_)));
    let late = issued(&mut a, T0, "late");
    assert!(matches!(a.admit(T0, &late, FP), FilingDecision::Full { .. }));
}

#[test]
fn hand_over_parts_bounded_newest_first() {
    let mut t = table();
    let later = T0 + FilingConfig::default().window;
    let old = issued(&mut t, T0, "old");
    answered(&mut t, T0, &old, 3_000);
    for n in 0..10 {
        let key = issued(&mut t, later, &n.to_string());
        answered(&mut t, later, &key, 100);
    }
    let parts = HandOverEntry::split(t.hand_over(), 1_000);
    let sizes = parts.iter().map(|part| part.iter().map(HandOverEntry::bytes).sum::<usize>());
    assert!(sizes.zip(&parts).all(|(bytes, part)| bytes <= 1_000 || part.len() == 1));
    assert_eq!(parts.iter().map(Vec::len).sum::<usize>(), 11);
    assert!(parts.last().unwrap().iter().any(|outcome| outcome.key == old.id()));
}
