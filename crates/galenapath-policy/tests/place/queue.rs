//! Who waits, who goes first and who is turned away.

use galenapath_policy::place::{Entry, QueueConfig, WaitQueue};
use galenapath_protocol::Micros;

const START: Micros = Micros::from_secs(10);
const WORK: Micros = Micros::from_millis(100);
const PACE: Micros = Micros::from_millis(10);

fn ms(n: u64) -> Micros {
    Micros::from_millis(n)
}

fn entry(ticket: u64, rank: u32, target: u64, deadline: u64) -> Entry {
    Entry {
        ticket,
        rank,
        arrived: START,
        target: START + ms(target),
        deadline: START + ms(deadline),
        is_picky: false,
    }
}

fn queue() -> WaitQueue {
    WaitQueue::new(QueueConfig::default())
}

fn next(queue: &WaitQueue) -> Vec<u64> {
    queue.next().map(|entry| entry.ticket).collect()
}

#[test]
fn offer_in_time_before_late() {
    let mut queue = queue();
    assert!(queue.offer(START, entry(1, 0, 50, 2_000), PACE, WORK).is_ok());
    assert!(queue.offer(START, entry(2, 1, 400, 1_200), PACE, WORK).is_ok());
    assert_eq!(next(&queue), [2, 1]);
}

#[test]
fn offer_rank_before_age() {
    let mut queue = queue();
    for (ticket, rank) in [(1, 2), (2, 1), (3, 1)] {
        assert!(queue.offer(START, entry(ticket, rank, 400, 1_200), PACE, WORK).is_ok());
    }
    assert_eq!(next(&queue), [2]);
    queue.remove(2);
    assert_eq!(next(&queue), [3]);
}

#[test]
fn next_picky_holds_nobody_up() {
    let mut queue = queue();
    for (ticket, is_picky) in [(1, true), (2, true), (3, false), (4, false)] {
        let entry = Entry { is_picky, ..entry(ticket, 0, 400, 1_200) };
        assert!(queue.offer(START, entry, PACE, WORK).is_ok());
    }
    let late = Entry { is_picky: true, ..entry(5, 0, 50, 2_000) };
    assert!(queue.offer(START, late, PACE, WORK).is_ok());
    assert_eq!(next(&queue), [1, 2, 3, 5]);
}

#[test]
fn has_before_late_ones_hold_up_nobody_in_time() {
    let mut queue = queue();
    assert!(queue.offer(START, entry(1, 0, 50, 2_000), PACE, WORK).is_ok());
    assert!(!queue.has_before(START, &entry(2, 5, 400, 1_200)));
    assert!(queue.has_before(START, &Entry { arrived: START + ms(1), ..entry(3, 0, 0, 1_200) }));
    assert!(queue.offer(START, entry(2, 0, 400, 1_200), PACE, WORK).is_ok());
    assert!(queue.has_before(START, &Entry { arrived: START + ms(1), ..entry(4, 0, 401, 1_200) }));
}

#[test]
fn offer_hopeless_refused_at_once() {
    let mut queue = queue();
    let refusal = queue.offer(START, entry(1, 0, 50, 105), PACE, WORK).unwrap_err();
    assert!(refusal.retry_after >= ms(40));
    assert!(queue.is_empty());
}

#[test]
fn offer_long_queue_refused_with_time_to_come_back() {
    let mut queue = queue();
    let mut refused = None;
    for ticket in 0..200 {
        refused = queue.offer(START, entry(ticket, 0, 400, 1_200), PACE, WORK).err();
        if refused.is_some() {
            break;
        }
    }
    let refusal = refused.expect("a queue of two seconds is not taken");
    // The wait that is predicted, but no more of the caller's time than callers heed.
    assert!(refusal.predicted > ms(200), "{refusal:?}");
    assert!(refusal.retry_after > ms(200) && refusal.retry_after <= ms(400), "{refusal:?}");
}

#[test]
fn expired_once_target_is_out_of_reach() {
    let mut queue = queue();
    assert!(queue.offer(START, entry(1, 0, 400, 1_200), PACE, WORK).is_ok());
    assert!(queue.expired(START + ms(290), WORK).is_empty());
    let expired = queue.expired(START + ms(310), WORK);
    assert_eq!(expired.len(), 1);
    assert!(queue.is_empty());
}

#[test]
fn late_not_taken_while_late_ones_are_refused() {
    let mut queue = queue();
    assert!(queue.offer(START, entry(1, 0, 50, 1_200), PACE, WORK).is_ok());
    let later = START + ms(320);
    assert_eq!(queue.expired(later, WORK).len(), 1);
    assert!(queue.offer(later, entry(2, 0, 50, 1_200), PACE, WORK).is_err());
    let after = later + ms(600);
    let late = Entry { arrived: after, deadline: after + ms(900), ..entry(3, 0, 50, 0) };
    assert!(queue.offer(after, late, PACE, WORK).is_ok());
}

#[test]
fn remove_unknown_changes_nothing() {
    let mut queue = queue();
    assert!(queue.offer(START, entry(1, 0, 400, 1_200), PACE, WORK).is_ok());
    assert!(queue.remove(9).is_none());
    assert_eq!(queue.remove(1).map(|entry| entry.ticket), Some(1));
    assert!(queue.is_empty());
}
