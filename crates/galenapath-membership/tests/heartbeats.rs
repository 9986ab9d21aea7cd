//! Heartbeats: which instances are considered up.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use galenapath_membership::{
    Heartbeat, HeartbeatConfig, HeartbeatMembership, HeartbeatOutcome, LearnOutcome, Member,
};
use galenapath_protocol::{Incarnation, Micros};
use std::net::SocketAddr;
use support::{START, domain, heartbeat, member, membership, peer};

/// Advances the time in steps of 50 ms, with heartbeats from `senders` at each step.
fn advance_time(
    membership: &mut HeartbeatMembership,
    from: Micros,
    ms: u64,
    senders: &[u64],
) -> Micros {
    let mut now = from;
    for _ in 0..ms / 50 {
        now = now + Micros::from_millis(50);
        for n in senders {
            membership.apply_heartbeat(now, &heartbeat(*n, &[]));
        }
        membership.tick(now);
    }
    now
}

#[test]
fn tick_silent_peer_removed_within_a_second() {
    let mut membership = membership(0, 0..16);
    let all: Vec<u64> = (1..16).collect();
    let now = advance_time(&mut membership, START, 1_000, &all);
    assert!(peer(&membership, 7).is_usable());
    let others: Vec<u64> = (1..16).filter(|n| *n != 7).collect();
    let now = advance_time(&mut membership, now, 1_000, &others);
    assert!(!peer(&membership, 7).is_usable());
    assert_eq!(membership.accused(), [Incarnation(7)]);
    advance_time(&mut membership, now, 100, &all);
    assert!(peer(&membership, 7).is_usable());
}

#[test]
fn tick_own_suspension_accuses_none() {
    let mut membership = membership(0, 0..16);
    let all: Vec<u64> = (1..16).collect();
    let now = advance_time(&mut membership, START, 500, &all);
    assert!(membership.tick(now + Micros::from_secs(5)).is_empty());
    assert!(membership.accused().is_empty());
}

#[test]
fn accused_empty_while_isolated() {
    let mut membership = membership(0, 0..16);
    let all: Vec<u64> = (1..16).collect();
    let now = advance_time(&mut membership, START, 500, &all);
    advance_time(&mut membership, now, 2_000, &[3]);
    assert!(membership.is_isolated());
    assert!(membership.accused().is_empty());
}

#[test]
fn tick_unmonitored_down_after_two_accusers() {
    let mut membership = membership(0, 0..60);
    let monitored: Vec<u64> = (45..60).collect();
    let now = advance_time(&mut membership, START, 500, &monitored);
    // No heartbeat of instance 20 arrives: it sends them to others.
    let now = advance_time(&mut membership, now, 2_000, &monitored);
    assert!(peer(&membership, 20).is_up());
    membership.apply_heartbeat(now, &heartbeat(50, &[20]));
    membership.tick(now);
    assert!(peer(&membership, 20).is_up(), "a single accuser may be cut off itself");
    membership.apply_heartbeat(now, &heartbeat(51, &[20]));
    membership.tick(now);
    assert!(!peer(&membership, 20).is_up());
    membership.apply_heartbeat(now, &heartbeat(20, &[]));
    membership.tick(now);
    assert!(peer(&membership, 20).is_up());
}

#[test]
fn tick_accused_stays_down_until_contact() {
    let mut membership = membership(0, 0..60);
    let monitored: Vec<u64> = (45..60).collect();
    let now = advance_time(&mut membership, START, 500, &monitored);
    membership.apply_heartbeat(now, &heartbeat(50, &[20]));
    membership.apply_heartbeat(now, &heartbeat(51, &[20]));
    // The accusation is not repeated, and no heartbeat of the instance arrives.
    let now = advance_time(&mut membership, now, 10_000, &monitored);
    assert!(!peer(&membership, 20).is_up());
    membership.apply_heartbeat(now + Micros(1), &heartbeat(20, &[]));
    membership.tick(now + Micros(1));
    assert!(peer(&membership, 20).is_up());
}

#[test]
fn apply_heartbeat_own_accusation_reported() {
    let mut membership = membership(0, 0..60);
    assert_eq!(membership.apply_heartbeat(START, &heartbeat(50, &[7])), HeartbeatOutcome::Known);
    assert_eq!(
        membership.apply_heartbeat(START, &heartbeat(50, &[0])),
        HeartbeatOutcome::AccusesUs
    );
}

#[test]
fn all_addresses_includes_silent() {
    // If two instances consider each other down, heartbeats to reachable ones alone would not end
    // it.
    let mut membership = membership(0, 0..60);
    for accuser in [50, 51] {
        membership.apply_heartbeat(START, &heartbeat(accuser, &[20]));
    }
    membership.tick(START + Micros::from_millis(50));
    assert_eq!(
        (membership.reachable_addresses().len(), membership.all_addresses().len()),
        (58, 59)
    );
    membership.record_contact(START, Incarnation(20));
    membership.tick(START + Micros::from_millis(100));
    assert_eq!(membership.reachable_addresses().len(), 59);
}

#[test]
fn learn_down_instance_known_down() {
    let mut membership = membership(0, 0..60);
    assert_eq!(membership.learn(START, member(20)), LearnOutcome::Known);
    membership.apply_heartbeat(START, &heartbeat(50, &[20]));
    membership.apply_heartbeat(START, &heartbeat(51, &[20]));
    membership.tick(START + Micros::from_millis(50));
    assert_eq!(membership.learn(START, member(20)), LearnOutcome::KnownDown);
}

#[test]
fn heartbeats_due_mostly_local_in_large_fleet() {
    let mut membership = membership(0, 0..120);
    let domain_of = |address: &SocketAddr| u64::from(address.port() - 2_000) % 3;
    let due = membership.heartbeats_due(START + Micros::from_secs(1), false);
    let local = due.iter().filter(|address| domain_of(address) == 0).count();
    assert_eq!((due.len(), local), (6, 4));
}

#[test]
fn heartbeats_due_remote_fill_up_small_domain() {
    let mut membership =
        HeartbeatMembership::new(HeartbeatConfig::default(), Incarnation(0), domain(0), START);
    // One other instance is in the own domain, forty are in others.
    for n in (0..61).filter(|n| n % 3 != 0 || *n == 30) {
        membership.learn(START, member(n));
    }
    assert_eq!(membership.heartbeats_due(START + Micros::from_secs(1), false).len(), 6);
}

#[test]
fn heartbeats_due_few_to_silent() {
    let mut membership = membership(0, 0..120);
    // All are silent except those that this instance monitors or that monitor it.
    for n in 20..100 {
        membership.apply_heartbeat(START, &heartbeat(118, &[n]));
        membership.apply_heartbeat(START, &heartbeat(119, &[n]));
    }
    let now = START + Micros::from_secs(2);
    membership.tick(START + Micros::from_millis(50));
    assert!(
        membership.heartbeats_due(now, false).len() <= 12,
        "heartbeats go to each of 80 silent instances"
    );
}

#[test]
fn tick_lost_domain_detected_by_others() {
    let fleet = 90;
    let is_lost = |n: u64| n % 3 == 1;
    let mut all: Vec<HeartbeatMembership> = (0..fleet).map(|n| membership(n, 0..fleet)).collect();
    let mut now = START;
    let mut accused: Vec<(u64, Vec<Incarnation>)> = Vec::new();
    for _ in 0..40 {
        now = now + Micros::from_millis(50);
        accused.clear();
        for n in (0..fleet).filter(|n| !is_lost(*n)) {
            let due = all[n as usize].heartbeats_due(now, false);
            for to in due.iter().map(|address| u64::from(address.port() - 2_000)) {
                all[to as usize].apply_heartbeat(now, &heartbeat(n, &[]));
            }
        }
        for n in (0..fleet).filter(|n| !is_lost(*n)) {
            all[n as usize].tick(now);
            accused.push((n, all[n as usize].accused()));
        }
    }
    let observer = &mut all[0];
    for (from, list) in accused {
        observer.apply_heartbeat(now, &Heartbeat { accused: list, ..heartbeat(from, &[]) });
    }
    observer.tick(now);
    let left = observer.peers().filter(|p| p.is_up() && is_lost(p.member.incarnation.0)).count();
    assert_eq!(left, 0);
}

#[test]
fn heartbeats_due_bounded_in_large_fleet() {
    let mut membership = membership(0, 0..120);
    let all: Vec<u64> = (1..120).collect();
    let now = advance_time(&mut membership, START, 100, &all);
    assert_eq!(membership.heartbeats_due(now, false).len(), 6);
    assert!(membership.heartbeats_due(now + Micros::from_millis(100), false).is_empty());
    assert_eq!(membership.heartbeats_due(now + Micros::from_millis(250), false).len(), 6);
}

#[test]
fn heartbeats_due_serving_sends_to_whole_domain() {
    let mut membership = membership(0, 0..120);
    // A third of the others are in the same failure domain.
    assert!(membership.heartbeats_due(START + Micros::from_secs(1), true).len() > 39);
}

#[test]
fn apply_heartbeat_unknown_sender() {
    let mut membership = membership(0, 0..3);
    assert_eq!(membership.apply_heartbeat(START, &heartbeat(1, &[])), HeartbeatOutcome::Known);
    assert_eq!(
        membership.apply_heartbeat(START, &heartbeat(9, &[])),
        HeartbeatOutcome::UnknownSender
    );
}

#[test]
fn apply_heartbeat_of_many_unknown_senders_asks_one_for_its_members() {
    let mut membership = membership(0, 0..3);
    let mut asked = 0;
    for ms in 0..1_000 {
        let heartbeat = heartbeat(100 + ms, &[]);
        let outcome = membership.apply_heartbeat(START + Micros::from_millis(ms), &heartbeat);
        asked += u32::from(outcome == HeartbeatOutcome::UnknownSender);
    }
    assert_eq!(asked, 5);
}

#[test]
fn apply_heartbeat_lasting_difference_reported() {
    let mut membership = membership(0, 0..3);
    let same = Heartbeat { digest: membership.digest(), ..heartbeat(1, &[]) };
    let other = Heartbeat { digest: membership.digest() ^ 77, ..heartbeat(2, &[]) };
    assert_eq!(membership.apply_heartbeat(START, &same), HeartbeatOutcome::Known);
    let later = START + Micros::from_millis(300);
    assert_eq!(
        membership.apply_heartbeat(later, &other),
        HeartbeatOutcome::Known,
        "a start may not have reached all instances yet"
    );
    let later = START + Micros::from_millis(2_700);
    assert_eq!(membership.apply_heartbeat(later, &other), HeartbeatOutcome::ViewDiffers);
    let soon = later + Micros::from_millis(300);
    assert_eq!(
        membership.apply_heartbeat(soon, &other),
        HeartbeatOutcome::Known,
        "too soon after the last request"
    );
}

#[test]
fn apply_heartbeat_long_difference_of_one_peer_reported() {
    let mut membership = membership(0, 0..3);
    let same = Heartbeat { digest: membership.digest(), ..heartbeat(1, &[]) };
    let other = Heartbeat { digest: membership.digest() ^ 77, ..heartbeat(2, &[]) };
    let asked = |from: u64, to: u64, membership: &mut HeartbeatMembership| -> Vec<u64> {
        let steps = (from..to).step_by(250);
        let at = |ms: u64| START + Micros::from_millis(ms);
        let is_asked = |ms: &u64| {
            membership.apply_heartbeat(at(*ms), &same);
            membership.apply_heartbeat(at(*ms), &other) == HeartbeatOutcome::ViewDiffers
        };
        steps.filter(is_asked).collect()
    };
    assert!(asked(0, 2_000, &mut membership).is_empty());
    // Eight seconds after the start at the earliest.
    assert_eq!(asked(2_000, 12_000, &mut membership), [8_000]);
    // One heartbeat with an equal digest resets the time.
    membership.apply_heartbeat(
        START + Micros::from_millis(12_000),
        &Heartbeat { digest: same.digest, ..other.clone() },
    );
    assert!(asked(12_250, 14_000, &mut membership).is_empty());
}

/// Each instance is expected to send heartbeats here exactly if it does.
#[test]
fn tick_accuses_exactly_instances_that_send_heartbeats_here() {
    for fleet in [10, 17, 40, 70] {
        let sends_to = |from: u64, to: u64| {
            let due = membership(from, 0..fleet).heartbeats_due(START, false);
            due.contains(&member(to).peer_address)
        };
        for own in [0, 7] {
            for silent in (0..fleet).filter(|n| *n != own) {
                let mut membership = membership(own, 0..fleet);
                let others: Vec<u64> = (0..fleet).filter(|n| ![own, silent].contains(n)).collect();
                advance_time(&mut membership, START, 1_000, &others);
                let is_accused = membership.accused() == [Incarnation(silent)];
                assert_eq!(is_accused, sends_to(silent, own), "{silent} to {own} of {fleet}");
            }
        }
    }
}

#[test]
fn is_local_false_after_instance_is_gone() {
    let address = |n| member(n).peer_address;
    let mut membership = membership(0, 0..16);
    assert!(membership.is_local(&address(3)) && membership.is_local(&address(6)));
    membership.remove(Incarnation(3));
    assert!(!membership.is_local(&address(3)) && membership.is_local(&address(6)));
    let silent: Vec<u64> = (1..16).filter(|n| *n != 6).collect();
    advance_time(&mut membership, START, 61_000, &silent);
    assert!(!membership.is_local(&address(6)));
}

#[test]
fn learn_new_incarnation_replaces_old() {
    let mut membership = membership(0, 0..3);
    let again = Member { incarnation: Incarnation(77), ..member(2) };
    assert_eq!(membership.learn(START, again), LearnOutcome::New);
    assert_eq!(membership.peers().count(), 2);
    assert!(membership.peers().any(|peer| peer.member.incarnation == Incarnation(77)));
}

/// Guards against decisions that leave something to lost instances.
#[test]
fn up_count_without_lost_instances() {
    let mut membership = membership(0, 0..8);
    assert_eq!(membership.up_count(), 8);
    advance_time(&mut membership, START, 1_000, &[1, 2, 3]);
    assert_eq!(membership.up_count(), 4);
    membership.remove(Incarnation(3));
    assert_eq!(membership.up_count(), 3);
}
