//! Property tests of the filing table with random sequences of events.

#![allow(clippy::expect_used, reason = "helpers of tests")]

use bytes::Bytes;
use galenapath_filings::{
    Answer, AttemptEnd, ClaimId, ClaimResult, FilingConfig, FilingDecision, FilingEnd, FilingKey,
    FilingTable, Fingerprint, RecordId,
};
use galenapath_protocol::{Incarnation, Micros, Verdict};
use proptest::prelude::*;

const ME: Incarnation = Incarnation(0xa);
const MAX_BYTES: usize = 4_096;
const MAX_HANDED_OVER: usize = 1_024;

#[derive(Clone, Debug)]
enum Event {
    Admit { window: u32, nonce: u8, caller_chosen: bool, fp: u8 },
    Sent(usize),
    Attempt(usize, AttemptEnd),
    Resolve(usize, u8, usize),
    Claim(usize, u8),
    ApplyHandOver(u8, usize),
    Wait(u64),
}

fn event() -> impl Strategy<Value = Event> {
    let end = prop_oneof![
        Just(AttemptEnd::NothingSent),
        Just(AttemptEnd::Rejected),
        Just(AttemptEnd::Lost),
    ];
    prop_oneof![
        6 => (0..6_u32, 0..8_u8, any::<bool>(), 0..2_u8)
            .prop_map(|(window, nonce, caller_chosen, fp)| {
                Event::Admit { window, nonce, caller_chosen, fp }
            }),
        4 => (0..64_usize).prop_map(Event::Sent),
        2 => (0..64_usize, end).prop_map(|(n, end)| Event::Attempt(n, end)),
        4 => (0..64_usize, 0..3_u8, 0..2_000_usize).prop_map(|(n, end, len)| Event::Resolve(n, end, len)),
        3 => (0..64_usize, 0..5_u8).prop_map(|(n, result)| Event::Claim(n, result)),
        1 => (0..8_u8, 0..600_usize).prop_map(|(nonce, len)| Event::ApplyHandOver(nonce, len)),
        1 => (0..900_u64).prop_map(Event::Wait),
    ]
}

fn answer(fp: u8, len: usize) -> Answer {
    Answer { status: 201, headers: Vec::new(), body: Bytes::from(vec![fp; len + 1]) }
}

/// A table with the open records and claims that its user holds, with their fingerprints.
struct Harness {
    table: FilingTable,
    now: Micros,
    open: Vec<(RecordId, u8)>,
    /// Records marked as sent for which "not run" has not been recorded since.
    sent: Vec<RecordId>,
    claims: Vec<(ClaimId, u8)>,
}

impl Harness {
    fn new() -> Self {
        let cfg = FilingConfig {
            window: Micros::from_secs(600),
            lifetime: Micros::from_secs(1_200),
            max_bytes: MAX_BYTES,
            max_answer_bytes: 1_500,
            max_handed_over_bytes: MAX_HANDED_OVER,
            ..FilingConfig::default()
        };
        let table = FilingTable::new(cfg, ME);
        let now = Micros::from_secs(1);
        Self { table, now, open: Vec::new(), sent: Vec::new(), claims: Vec::new() }
    }

    fn admitted(&mut self, decision: FilingDecision, fp: u8) -> Result<(), TestCaseError> {
        match decision {
            FilingDecision::Run(id) => self.open.push((id, fp)),
            FilingDecision::Claim(claim) => self.claims.push((claim, fp)),
            FilingDecision::Replay(a) => {
                prop_assert_eq!(a.body[0], fp, "the answer of another request")
            }
            _ => {}
        }
        Ok(())
    }

    fn key(window: u32, nonce: u8, caller_chosen: bool) -> FilingKey {
        let text =
            if caller_chosen { format!("own-{nonce}") } else { format!("{ME}-{window}-{nonce}") };
        FilingKey::try_from(text.as_str()).expect("valid")
    }

    fn step(&mut self, event: Event) -> Result<(), TestCaseError> {
        match event {
            Event::Admit { window, nonce, caller_chosen, fp } => {
                let key = Self::key(window, nonce, caller_chosen);
                let decision = self.table.admit(self.now, &key, Fingerprint(fp.into()));
                self.admitted(decision, fp)?;
            }
            Event::Sent(n) if !self.open.is_empty() => {
                let (id, _) = self.open[n % self.open.len()];
                if self.table.mark_sent(self.now, id).is_ok() {
                    prop_assert!(!self.sent.contains(&id), "sent twice");
                    self.sent.push(id);
                }
            }
            Event::Attempt(n, end) if !self.sent.is_empty() => {
                let id = self.sent[n % self.sent.len()];
                let _ = self.table.record_attempt_end(self.now, id, end);
                if end != AttemptEnd::Lost {
                    self.sent.retain(|other| *other != id);
                }
            }
            Event::Resolve(n, end, len) if !self.open.is_empty() => self.resolve(n, end, len)?,
            Event::Claim(n, result) if !self.claims.is_empty() => {
                let (claim, fp) = self.claims.swap_remove(n % self.claims.len());
                let result = match result {
                    0 => ClaimResult::Won,
                    1 => ClaimResult::Lost { incarnation: Incarnation(0xb), claim: ClaimId(1) },
                    2 => ClaimResult::Lost { incarnation: ME, claim: ClaimId(1) },
                    3 => ClaimResult::Unknown,
                    _ => ClaimResult::StoreDown,
                };
                let decision = self.table.apply_claim_result(self.now, claim, result);
                self.admitted(decision, fp)?;
            }
            Event::ApplyHandOver(nonce, len) => self.apply_hand_over(nonce, len),
            Event::Wait(secs) => self.now = self.now + Micros::from_secs(secs),
            _ => {}
        }
        prop_assert!(self.table.bytes() <= MAX_BYTES + MAX_HANDED_OVER, "over the limit");
        Ok(())
    }

    fn resolve(&mut self, n: usize, end: u8, len: usize) -> Result<(), TestCaseError> {
        let (id, fp) = self.open.swap_remove(n % self.open.len());
        let was_sent = self.sent.contains(&id);
        let end = match end {
            0 => FilingEnd::NotRun,
            1 => FilingEnd::MayHaveRun,
            _ => FilingEnd::Answered(answer(fp, len)),
        };
        let verdict = self.table.resolve(self.now, id, end);
        prop_assert!(!was_sent || verdict != Verdict::NotRun, "\"not run\" after bytes were sent");
        Ok(())
    }

    fn apply_hand_over(&mut self, nonce: u8, len: usize) {
        let peer = Incarnation(0xb);
        let mut other = FilingTable::new(FilingConfig::default(), peer);
        let text = other.key_prefix(self.now) + &nonce.to_string();
        let key = FilingKey::try_from(text.as_str()).expect("valid");
        if let FilingDecision::Run(id) = other.admit(self.now, &key, Fingerprint(0)) {
            other.resolve(self.now, id, FilingEnd::Answered(answer(0, len)));
        }
        self.table.apply_hand_over(self.now, peer, other.hand_over());
    }
}

proptest! {
    #[test]
    fn events_random_invariants_hold(events in prop::collection::vec(event(), 1..200)) {
        let mut harness = Harness::new();
        for event in events {
            harness.step(event)?;
        }
    }

    #[test]
    fn expire_all_empty(nonces in prop::collection::vec((any::<u8>(), any::<bool>()), 1..400)) {
        let mut h = Harness::new();
        for (nonce, caller_chosen) in nonces {
            h.step(Event::Admit { window: 0, nonce, caller_chosen, fp: 0 })?;
        }
        let late = h.now + Micros::from_secs(3_600);
        (0..20).for_each(|_| h.table.expire(late));
        prop_assert_eq!((h.table.len(), h.table.bytes()), (0, 0));
    }
}
