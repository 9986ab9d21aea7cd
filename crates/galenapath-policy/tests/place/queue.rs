//! The queue: order, acceptance and rejection.

use galenapath_policy::place::{QueueConfig, QueueEntry, WaitQueue};
use galenapath_protocol::{Micros, WorkspaceId};

const START: Micros = Micros::from_secs(10);
const WORK: Micros = Micros::from_millis(100);
const START_INTERVAL: Micros = Micros::from_millis(10);

fn ms(n: u64) -> Micros {
    Micros::from_millis(n)
}

fn entry(ticket: u64, rank: u32, target: u64, deadline: u64) -> QueueEntry {
    QueueEntry {
        workspace: None,
        ticket,
        rank,
        arrived: START,
        target: START + ms(target),
        deadline: START + ms(deadline),
        has_exclusions: false,
    }
}

fn queue() -> WaitQueue {
    WaitQueue::new(QueueConfig::default())
}

fn candidates(queue: &WaitQueue) -> Vec<u64> {
    queue.candidates().map(|entry| entry.ticket).collect()
}

#[test]
fn offer_in_time_before_late() {
    let mut queue = queue();
    assert!(queue.offer(START, entry(1, 0, 50, 2_000), START_INTERVAL, WORK).is_ok());
    assert!(queue.offer(START, entry(2, 1, 400, 1_200), START_INTERVAL, WORK).is_ok());
    assert_eq!(candidates(&queue), [2, 1]);
}

#[test]
fn offer_rank_before_age() {
    let mut queue = queue();
    for (ticket, rank) in [(1, 2), (2, 1), (3, 1)] {
        assert!(queue.offer(START, entry(ticket, rank, 400, 1_200), START_INTERVAL, WORK).is_ok());
    }
    assert_eq!(candidates(&queue), [2]);
    queue.remove(2);
    assert_eq!(candidates(&queue), [3]);
}

#[test]
fn candidates_with_exclusions_do_not_block() {
    let mut queue = queue();
    for (ticket, has_exclusions) in [(1, true), (2, true), (3, false), (4, false)] {
        let entry = QueueEntry { has_exclusions, ..entry(ticket, 0, 400, 1_200) };
        assert!(queue.offer(START, entry, START_INTERVAL, WORK).is_ok());
    }
    let late = QueueEntry { has_exclusions: true, ..entry(5, 0, 50, 2_000) };
    assert!(queue.offer(START, late, START_INTERVAL, WORK).is_ok());
    assert_eq!(candidates(&queue), [1, 2, 3, 5]);
}

#[test]
fn has_earlier_ignores_late_for_in_time() {
    let mut queue = queue();
    assert!(queue.offer(START, entry(1, 0, 50, 2_000), START_INTERVAL, WORK).is_ok());
    assert!(!queue.has_earlier(START, &entry(2, 5, 400, 1_200)));
    assert!(
        queue.has_earlier(START, &QueueEntry { arrived: START + ms(1), ..entry(3, 0, 0, 1_200) })
    );
    assert!(queue.offer(START, entry(2, 0, 400, 1_200), START_INTERVAL, WORK).is_ok());
    assert!(
        queue.has_earlier(START, &QueueEntry { arrived: START + ms(1), ..entry(4, 0, 401, 1_200) })
    );
}

#[test]
fn offer_past_deadline_rejected_at_once() {
    let mut queue = queue();
    let rejection = queue.offer(START, entry(1, 0, 50, 105), START_INTERVAL, WORK).unwrap_err();
    assert!(rejection.retry_after >= ms(40));
    assert!(queue.is_empty());
}

#[test]
fn offer_long_queue_rejected_with_time_to_retry() {
    let mut queue = queue();
    let mut rejected = None;
    for ticket in 0..200 {
        rejected = queue.offer(START, entry(ticket, 0, 400, 1_200), START_INTERVAL, WORK).err();
        if rejected.is_some() {
            break;
        }
    }
    let rejection = rejected.expect("a queue of two seconds must be rejected");
    // The predicted wait, limited to the fraction of the remaining deadline that callers respect.
    assert!(rejection.predicted_wait > ms(200), "{rejection:?}");
    assert!(rejection.retry_after > ms(200) && rejection.retry_after <= ms(400), "{rejection:?}");
}

#[test]
fn expired_once_target_cannot_be_met() {
    let mut queue = queue();
    assert!(queue.offer(START, entry(1, 0, 400, 1_200), START_INTERVAL, WORK).is_ok());
    assert!(queue.expired(START + ms(290), WORK).is_empty());
    let expired = queue.expired(START + ms(310), WORK);
    assert_eq!(expired.len(), 1);
    assert!(queue.is_empty());
}

#[test]
fn offer_late_rejected_during_cooldown() {
    let mut queue = queue();
    assert!(queue.offer(START, entry(1, 0, 50, 1_200), START_INTERVAL, WORK).is_ok());
    let later = START + ms(320);
    assert_eq!(queue.expired(later, WORK).len(), 1);
    assert!(queue.offer(later, entry(2, 0, 50, 1_200), START_INTERVAL, WORK).is_err());
    let after = later + ms(600);
    let late = QueueEntry { arrived: after, deadline: after + ms(900), ..entry(3, 0, 50, 0) };
    assert!(queue.offer(after, late, START_INTERVAL, WORK).is_ok());
}

#[test]
fn remove_unknown_changes_nothing() {
    let mut queue = queue();
    assert!(queue.offer(START, entry(1, 0, 400, 1_200), START_INTERVAL, WORK).is_ok());
    assert!(queue.remove(9).is_none());
    assert_eq!(queue.remove(1).map(|entry| entry.ticket), Some(1));
    assert!(queue.is_empty());
}

#[test]
fn offer_workspaces_take_turns_within_rank() {
    let mut queue = WaitQueue::new(QueueConfig::default());
    let of = |workspace, ticket, rank| QueueEntry {
        workspace: Some(WorkspaceId(workspace)),
        ..entry(ticket, rank, 4_000, 8_000)
    };
    let mut offer = |entry| queue.offer(START, entry, ms(1), ms(10)).unwrap();
    // One workspace sends many requests before another sends its first.
    (0..10).for_each(|ticket| offer(of(1, ticket, 1)));
    offer(of(2, 20, 1));
    offer(of(2, 21, 1));
    offer(of(3, 30, 0));
    let mut order = Vec::new();
    loop {
        let Some(next) = queue.candidates().next().map(|entry| entry.ticket) else { break };
        queue.remove(next);
        order.push(next);
    }
    assert_eq!(order, [30, 0, 20, 1, 21, 2, 3, 4, 5, 6, 7, 8, 9]);
}
