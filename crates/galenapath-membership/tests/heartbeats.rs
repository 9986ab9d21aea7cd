//! Heartbeats: who counts as there, and who watches the store.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use galenapath_membership::{
    Heartbeat, HeartbeatConfig, HeartbeatMembership, HeartbeatOutcome, InstanceStatus,
    LearnOutcome, Member, MemberStatus, Peer, StoreHealth, WatchRole, reads_store_at_start,
    watch_role,
};
use galenapath_protocol::{DomainId, Incarnation, InstanceId, Micros};
use std::net::SocketAddr;

const START: Micros = Micros::from_secs(100);

fn domain(n: u64) -> DomainId {
    DomainId(format!("d{}", n % 3).into())
}

fn member(n: u64) -> Member {
    Member {
        id: InstanceId(format!("i{n}")),
        incarnation: Incarnation(n),
        domain: domain(n),
        caller_address: SocketAddr::from(([127, 0, 0, 1], 1_000 + n as u16)),
        peer_address: SocketAddr::from(([127, 0, 0, 1], 2_000 + n as u16)),
        status_version: 0,
        status: MemberStatus::Live,
    }
}

fn beats(own: u64, others: impl Iterator<Item = u64>) -> HeartbeatMembership {
    let mut beats =
        HeartbeatMembership::new(HeartbeatConfig::default(), Incarnation(own), domain(own), START);
    for n in others.filter(|n| *n != own) {
        beats.learn(START, member(n));
    }
    beats
}

fn beat(from: u64, accused: &[u64]) -> Heartbeat {
    let status = InstanceStatus { is_ready: true, ..InstanceStatus::default() };
    let accused = accused.iter().map(|n| Incarnation(*n)).collect();
    Heartbeat { from: Incarnation(from), status, accused, digest: 0 }
}

fn peer(beats: &HeartbeatMembership, n: u64) -> Peer {
    beats.peers().find(|peer| peer.member.incarnation == Incarnation(n)).cloned().unwrap()
}

/// Lets time pass in steps; those in `heard` send heartbeats.
fn pass(beats: &mut HeartbeatMembership, from: Micros, ms: u64, heard: &[u64]) -> Micros {
    let mut now = from;
    for _ in 0..ms / 50 {
        now = now + Micros::from_millis(50);
        for n in heard {
            beats.apply_heartbeat(now, &beat(*n, &[]));
        }
        beats.tick(now);
    }
    now
}

#[test]
fn tick_silent_left_out_within_a_second() {
    let mut beats = beats(0, 0..16);
    let all: Vec<u64> = (1..16).collect();
    let now = pass(&mut beats, START, 1_000, &all);
    assert!(peer(&beats, 7).is_usable());
    let others: Vec<u64> = (1..16).filter(|n| *n != 7).collect();
    let now = pass(&mut beats, now, 1_000, &others);
    assert!(!peer(&beats, 7).is_usable());
    assert_eq!(beats.accused(), [Incarnation(7)]);
    pass(&mut beats, now, 100, &all);
    assert!(peer(&beats, 7).is_usable());
}

#[test]
fn tick_own_sleep_accuses_nobody() {
    let mut beats = beats(0, 0..16);
    let all: Vec<u64> = (1..16).collect();
    let now = pass(&mut beats, START, 500, &all);
    assert!(beats.tick(now + Micros::from_secs(5)).is_empty());
    assert!(beats.accused().is_empty());
}

#[test]
fn accused_by_an_observer_cut_off_is_nobody() {
    let mut beats = beats(0, 0..16);
    let all: Vec<u64> = (1..16).collect();
    let now = pass(&mut beats, START, 500, &all);
    pass(&mut beats, now, 2_000, &[3]);
    assert!(beats.is_isolated());
    assert!(beats.accused().is_empty());
}

#[test]
fn tick_unmonitored_believed_gone_by_two() {
    let mut beats = beats(0, 0..60);
    let monitored: Vec<u64> = (45..60).collect();
    let now = pass(&mut beats, START, 500, &monitored);
    // Nothing is heard of instance 20, which sends its heartbeats to others.
    let now = pass(&mut beats, now, 2_000, &monitored);
    assert!(peer(&beats, 20).is_up());
    beats.apply_heartbeat(now, &beat(50, &[20]));
    beats.tick(now);
    assert!(peer(&beats, 20).is_up(), "one accuser may be cut off itself");
    beats.apply_heartbeat(now, &beat(51, &[20]));
    beats.tick(now);
    assert!(!peer(&beats, 20).is_up());
    beats.apply_heartbeat(now, &beat(20, &[]));
    beats.tick(now);
    assert!(peer(&beats, 20).is_up());
}

#[test]
fn tick_accused_stays_gone_until_heard() {
    let mut beats = beats(0, 0..60);
    let monitored: Vec<u64> = (45..60).collect();
    let now = pass(&mut beats, START, 500, &monitored);
    beats.apply_heartbeat(now, &beat(50, &[20]));
    beats.apply_heartbeat(now, &beat(51, &[20]));
    // Nobody repeats the accusation, and the instance is not heard.
    let now = pass(&mut beats, now, 10_000, &monitored);
    assert!(!peer(&beats, 20).is_up());
    beats.apply_heartbeat(now + Micros(1), &beat(20, &[]));
    beats.tick(now + Micros(1));
    assert!(peer(&beats, 20).is_up());
}

#[test]
fn hear_own_accusation_answered() {
    let mut beats = beats(0, 0..60);
    assert_eq!(beats.apply_heartbeat(START, &beat(50, &[7])), HeartbeatOutcome::Known);
    assert_eq!(beats.apply_heartbeat(START, &beat(50, &[0])), HeartbeatOutcome::AccusesUs);
}

#[test]
fn everybody_silent_ones_answered_as_well() {
    // Each of two takes the other for gone: an answer to those that are up would never end it.
    let mut beats = beats(0, 0..60);
    for accuser in [50, 51] {
        beats.apply_heartbeat(START, &beat(accuser, &[20]));
    }
    beats.tick(START + Micros::from_millis(50));
    assert_eq!((beats.reachable_addresses().len(), beats.all_addresses().len()), (58, 59));
    beats.record_contact(START, Incarnation(20));
    beats.tick(START + Micros::from_millis(100));
    assert_eq!(beats.reachable_addresses().len(), 59);
}

#[test]
fn learn_of_one_taken_for_gone_is_doubted() {
    let mut beats = beats(0, 0..60);
    assert_eq!(beats.learn(START, member(20)), LearnOutcome::Known);
    beats.apply_heartbeat(START, &beat(50, &[20]));
    beats.apply_heartbeat(START, &beat(51, &[20]));
    beats.tick(START + Micros::from_millis(50));
    assert_eq!(beats.learn(START, member(20)), LearnOutcome::KnownDown);
}

#[test]
fn due_mostly_at_home_in_a_large_fleet() {
    let mut beats = beats(0, 0..120);
    let domain_of = |address: &SocketAddr| u64::from(address.port() - 2_000) % 3;
    let due = beats.heartbeats_due(START + Micros::from_secs(1), false);
    let home = due.iter().filter(|address| domain_of(address) == 0).count();
    assert_eq!((due.len(), home), (6, 4));
}

#[test]
fn due_others_make_up_for_a_small_home() {
    let mut beats =
        HeartbeatMembership::new(HeartbeatConfig::default(), Incarnation(0), domain(0), START);
    // One other instance at home, forty elsewhere.
    for n in (0..61).filter(|n| n % 3 != 0 || *n == 30) {
        beats.learn(START, member(n));
    }
    assert_eq!(beats.heartbeats_due(START + Micros::from_secs(1), false).len(), 6);
}

#[test]
fn due_silent_ones_sought_by_few() {
    let mut beats = beats(0, 0..120);
    // All but those that this instance hears or is heard by were found silent.
    for n in 20..100 {
        beats.apply_heartbeat(START, &beat(118, &[n]));
        beats.apply_heartbeat(START, &beat(119, &[n]));
    }
    let now = START + Micros::from_secs(2);
    beats.tick(START + Micros::from_millis(50));
    assert!(
        beats.heartbeats_due(now, false).len() <= 12,
        "each of 80 silent ones sought by everybody"
    );
}

#[test]
fn tick_domain_lost_whole_missed_by_others() {
    let fleet = 90;
    let gone = |n: u64| n % 3 == 1;
    let mut all: Vec<HeartbeatMembership> = (0..fleet).map(|n| beats(n, 0..fleet)).collect();
    let mut now = START;
    let mut accused: Vec<(u64, Vec<Incarnation>)> = Vec::new();
    for _ in 0..40 {
        now = now + Micros::from_millis(50);
        accused.clear();
        for n in (0..fleet).filter(|n| !gone(*n)) {
            let due = all[n as usize].heartbeats_due(now, false);
            for to in due.iter().map(|address| u64::from(address.port() - 2_000)) {
                all[to as usize].apply_heartbeat(now, &beat(n, &[]));
            }
        }
        for n in (0..fleet).filter(|n| !gone(*n)) {
            all[n as usize].tick(now);
            accused.push((n, all[n as usize].accused()));
        }
    }
    let observer = &mut all[0];
    for (from, list) in accused {
        observer.apply_heartbeat(now, &Heartbeat { accused: list, ..beat(from, &[]) });
    }
    observer.tick(now);
    let left = observer.peers().filter(|p| p.is_up() && gone(p.member.incarnation.0)).count();
    assert_eq!(left, 0);
}

#[test]
fn due_bounded_in_a_large_fleet() {
    let mut beats = beats(0, 0..120);
    let all_addresses: Vec<u64> = (1..120).collect();
    let now = pass(&mut beats, START, 100, &all_addresses);
    assert_eq!(beats.heartbeats_due(now, false).len(), 6);
    assert!(beats.heartbeats_due(now + Micros::from_millis(100), false).is_empty());
    assert_eq!(beats.heartbeats_due(now + Micros::from_millis(250), false).len(), 6);
}

#[test]
fn due_home_heard_more_of_those_that_serve() {
    let mut beats = beats(0, 0..120);
    // A third of the others are of the same failure domain.
    assert!(beats.heartbeats_due(START + Micros::from_secs(1), true).len() > 39);
}

#[test]
fn hear_stranger_told() {
    let mut beats = beats(0, 0..3);
    assert_eq!(beats.apply_heartbeat(START, &beat(1, &[])), HeartbeatOutcome::Known);
    assert_eq!(beats.apply_heartbeat(START, &beat(9, &[])), HeartbeatOutcome::UnknownSender);
}

#[test]
fn hear_other_instances_asked_when_it_lasts() {
    let mut beats = beats(0, 0..3);
    let same = Heartbeat { digest: beats.digest(), ..beat(1, &[]) };
    let other = Heartbeat { digest: beats.digest() ^ 77, ..beat(2, &[]) };
    assert_eq!(beats.apply_heartbeat(START, &same), HeartbeatOutcome::Known);
    let later = START + Micros::from_millis(300);
    assert_eq!(
        beats.apply_heartbeat(later, &other),
        HeartbeatOutcome::Known,
        "a start may not be known to all yet"
    );
    let later = START + Micros::from_millis(2_700);
    assert_eq!(beats.apply_heartbeat(later, &other), HeartbeatOutcome::ViewDiffers);
    let soon = later + Micros::from_millis(300);
    assert_eq!(beats.apply_heartbeat(soon, &other), HeartbeatOutcome::Known, "asked just now");
}

#[test]
fn hear_one_that_differs_for_long_asked_beside_others_that_agree() {
    let mut beats = beats(0, 0..3);
    let same = Heartbeat { digest: beats.digest(), ..beat(1, &[]) };
    let other = Heartbeat { digest: beats.digest() ^ 77, ..beat(2, &[]) };
    let asked = |from: u64, to: u64, beats: &mut HeartbeatMembership| -> Vec<u64> {
        let steps = (from..to).step_by(250);
        let at = |ms: u64| START + Micros::from_millis(ms);
        let is_asked = |ms: &u64| {
            beats.apply_heartbeat(at(*ms), &same);
            beats.apply_heartbeat(at(*ms), &other) == HeartbeatOutcome::ViewDiffers
        };
        steps.filter(is_asked).collect()
    };
    assert!(asked(0, 2_000, &mut beats).is_empty());
    // Eight seconds after the start at the earliest.
    assert_eq!(asked(2_000, 12_000, &mut beats), [8_000]);
    // One heartbeat that agrees begins the count anew.
    beats.apply_heartbeat(
        START + Micros::from_millis(12_000),
        &Heartbeat { digest: same.digest, ..other.clone() },
    );
    assert!(asked(12_250, 14_000, &mut beats).is_empty());
}

#[test]
fn reads_first_left_to_larger_or_many() {
    let answering = |n: u64, capacity: u32| {
        let status =
            InstanceStatus { store: StoreHealth::Answering, capacity, ..InstanceStatus::default() };
        Heartbeat { from: Incarnation(n), status, accused: Vec::new(), digest: 0 }
    };
    let mut few = beats(0, 0..8);
    assert!(reads_store_at_start(100, few.peers()), "nobody is answered");
    few.apply_heartbeat(START, &answering(3, 100));
    assert!(reads_store_at_start(100, few.peers()), "of equal size, in a small fleet");
    few.apply_heartbeat(START, &answering(4, 500));
    assert!(!reads_store_at_start(100, few.peers()));
    assert!(reads_store_at_start(500, few.peers()));
    let mut many = beats(0, 0..60);
    many.apply_heartbeat(START, &answering(3, 100));
    assert!(!reads_store_at_start(100, many.peers()));
}

#[test]
fn learn_new_run_replaces_the_old() {
    let mut beats = beats(0, 0..3);
    let again = Member { incarnation: Incarnation(77), ..member(2) };
    assert_eq!(beats.learn(START, again), LearnOutcome::New);
    assert_eq!(beats.peers().count(), 2);
    assert!(beats.peers().any(|peer| peer.member.incarnation == Incarnation(77)));
}

fn roles(fleet: &[(u64, StoreHealth)]) -> Vec<(u64, WatchRole)> {
    let role = |own: u64, health: StoreHealth| {
        let mut beats = beats(own, fleet.iter().map(|(n, _)| *n));
        for (n, store) in fleet.iter().filter(|(n, _)| *n != own) {
            let status = InstanceStatus { store: *store, ..InstanceStatus::default() };
            beats.apply_heartbeat(
                START,
                &Heartbeat { from: Incarnation(*n), status, accused: Vec::new(), digest: 0 },
            );
        }
        let status = InstanceStatus { store: health, ..InstanceStatus::default() };
        watch_role(Incarnation(own), &domain(own), &status, beats.peers())
    };
    fleet.iter().map(|(n, health)| (*n, role(*n, *health))).collect()
}

fn with_role(roles: &[(u64, WatchRole)], wanted: WatchRole) -> Vec<u64> {
    roles.iter().filter(|(_, role)| *role == wanted).map(|(n, _)| *n).collect()
}

#[test]
fn watch_role_two_of_different_domains() {
    let fleet: Vec<_> = (0..16).map(|n| (n, StoreHealth::Untried)).collect();
    let watch = with_role(&roles(&fleet), WatchRole::Watch);
    assert_eq!(watch.len(), 2);
    assert_ne!(domain(watch[0]), domain(watch[1]));
}

#[test]
fn watch_role_passed_on_by_those_not_answered() {
    let fleet: Vec<_> = (0..16).map(|n| (n, StoreHealth::Untried)).collect();
    let first = with_role(&roles(&fleet), WatchRole::Watch);
    let fleet: Vec<_> = fleet
        .iter()
        .map(|(n, _)| {
            (*n, if first.contains(n) { StoreHealth::Failing } else { StoreHealth::Untried })
        })
        .collect();
    let second = with_role(&roles(&fleet), WatchRole::Watch);
    assert_eq!(second.len(), 2);
    assert!(second.iter().all(|n| !first.contains(n)));
}

#[test]
fn watch_role_two_retry_while_nobody_is_answered() {
    let fleet: Vec<_> = (0..16).map(|n| (n, StoreHealth::Failing)).collect();
    let roles = roles(&fleet);
    assert!(with_role(&roles, WatchRole::Watch).is_empty());
    assert_eq!(with_role(&roles, WatchRole::Retry).len(), 2);
}

#[test]
fn watch_role_alone_watches() {
    assert_eq!(roles(&[(4, StoreHealth::Untried)]), [(4, WatchRole::Watch)]);
}
