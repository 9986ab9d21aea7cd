//! Tests of single steps of the state machine that accepts a change.

#![expect(clippy::unwrap_used, reason = "helpers of tests fail as the tests do")]

mod support;

use galenapath_config::{
    Acceptance, Action, Chain, Event, Head, HeadIndex, Outcome, Replica, TailLimits, Version,
};
use galenapath_protocol::Verdict;
use support::{long_chain, set_target};

fn replica_at(chain: &Chain) -> Replica {
    let mut replica = Replica::default();
    replica.apply_from(chain.config(), chain.head().clone());
    replica
}

/// Starts to accept a change based on revision `base`, on an instance that knows `known`.
fn begin(known: &Chain, base: u64) -> Acceptance {
    Acceptance::new(set_target("x", base, "lookup", 5), replica_at(known), 7, TailLimits::DEFAULT)
}

fn head_read(index: u64, head: &Head) -> Event {
    Event::Head { index: HeadIndex(index), head: head.clone() }
}

fn verdict(action: Action) -> Verdict {
    match action {
        Action::Answer(Outcome::Unavailable(verdict)) => verdict,
        other => panic!("{other:?}"),
    }
}

#[test]
fn step_older_store_answers_store_behind() {
    let chains = long_chain(3, TailLimits::DEFAULT);
    let mut acceptance = begin(&chains[3], 2);
    let action = acceptance.step(head_read(9, chains[1].head()));
    assert_eq!(action, Action::Answer(Outcome::StoreBehind));
}

#[test]
fn step_emptied_store_answers_store_behind() {
    let chains = long_chain(3, TailLimits::DEFAULT);
    let mut acceptance = begin(&chains[3], 4);
    let action = acceptance.step(head_read(0, &Head::default()));
    assert_eq!(action, Action::Answer(Outcome::StoreBehind));
}

#[test]
fn step_swapped_is_accepted() {
    let chains = long_chain(3, TailLimits::DEFAULT);
    let mut acceptance = begin(&chains[3], 4);
    let action = acceptance.step(head_read(9, chains[3].head()));
    assert!(matches!(action, Action::Swap { expected: HeadIndex(9), .. }));
    let Action::Answer(Outcome::Accepted { version, chain }) = acceptance.step(Event::Swapped)
    else {
        panic!("not accepted");
    };
    assert_eq!((version, chain.version()), (Version(5), Version(5)));
}

#[test]
fn step_timed_out_before_swap_not_run() {
    let chains = long_chain(3, TailLimits::DEFAULT);
    let mut acceptance = begin(&chains[3], 4);
    assert_eq!(verdict(acceptance.step(Event::TimedOut)), Verdict::NotRun);
}

#[test]
fn step_timed_out_in_swap_may_have_run() {
    let chains = long_chain(3, TailLimits::DEFAULT);
    let mut acceptance = begin(&chains[3], 4);
    acceptance.step(head_read(9, chains[3].head()));
    assert_eq!(verdict(acceptance.step(Event::TimedOut)), Verdict::MayHaveRun);
}

#[test]
fn step_lost_reply_then_store_down_may_have_run() {
    let chains = long_chain(3, TailLimits::DEFAULT);
    let mut acceptance = begin(&chains[3], 4);
    acceptance.step(head_read(9, chains[3].head()));
    assert_eq!(acceptance.step(Event::Failed(Verdict::MayHaveRun)), Action::ReadHead);
    assert_eq!(verdict(acceptance.step(Event::Failed(Verdict::NotRun))), Verdict::MayHaveRun);
}

/// Guards against reporting a change as not accepted although it may have been: the reply to the
/// swap is lost, the head has advanced since, and the snapshot that shows whether the swap took
/// effect cannot be read.
#[test]
fn step_lost_reply_then_snapshot_unreadable_may_have_run() {
    let limits = TailLimits { max_records: 1, page_records: 1 };
    let chains = long_chain(5, limits);
    let req = set_target("x", 2, "lookup", 5);
    let mut acceptance = Acceptance::new(req, replica_at(&chains[1]), 7, limits);
    let action = acceptance.step(head_read(9, chains[1].head()));
    assert!(matches!(action, Action::WriteCompaction { .. }));
    acceptance.step(Event::CompactionWritten);
    assert_eq!(acceptance.step(Event::Failed(Verdict::MayHaveRun)), Action::ReadHead);
    let action = acceptance.step(head_read(12, chains[5].head()));
    assert!(matches!(action, Action::ReadSnapshot(_)));
    assert_eq!(verdict(acceptance.step(Event::Failed(Verdict::NotRun))), Verdict::MayHaveRun);
}

#[test]
fn step_repeated_conflicts_unavailable() {
    let chains = long_chain(3, TailLimits::DEFAULT);
    let mut acceptance = begin(&chains[3], 4);
    for swaps in 1..=8 {
        let action = acceptance.step(head_read(9 + swaps, chains[3].head()));
        assert!(matches!(action, Action::Swap { .. }), "{swaps}");
        let action = acceptance.step(Event::SwapConflict);
        match swaps {
            8 => assert_eq!(verdict(action), Verdict::NotRun),
            _ => assert_eq!(action, Action::ReadHead),
        }
    }
}
