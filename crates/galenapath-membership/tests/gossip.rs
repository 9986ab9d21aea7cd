//! Many gossip tables on a simulated network.

mod network;

use galenapath_membership::MemberStatus::{Gone, Leaving, Live};
use galenapath_protocol::{Incarnation, Micros};
use network::{Network, member};

/// Intervals of the default configuration, 500 ms each.
const fn intervals(n: u64) -> Micros {
    Micros::from_millis(500 * n)
}

/// Time limit for a failure, a return or a departure to be known to all: probe, timeout, suspicion
/// of 3 s, gossip. 30 intervals are 15 s.
const KNOWN_TO_ALL: Micros = intervals(30);

fn incarnation(network: &Network, node: usize) -> Incarnation {
    network.nodes[node].incarnation
}

fn own_is_usable_everywhere(network: &Network) -> bool {
    let mut running = network.nodes.iter().filter(|node| node.is_up);
    running.all(|node| node.members.own().is_some_and(|own| own.is_usable()))
}

#[test]
fn probe_death_known_to_all() {
    for (count, loss) in [(4, 0), (16, 0), (16, 5), (64, 0), (64, 5), (400, 0)] {
        let mut network = Network::new(7, count);
        network.loss = loss;
        network.run(Micros::from_secs(5));
        let dead = incarnation(&network, count - 1);
        network.nodes[count - 1].is_up = false;
        let took = network.run_until(KNOWN_TO_ALL, |n| n.all_have_status(dead, Gone));
        println!("{count} instances, loss {loss}%: death known to all after {took:?}");
        assert!(took.is_some(), "{count} instances, loss {loss}%");
    }
}

#[test]
fn probe_death_of_newcomer_known_to_all() {
    let mut network = Network::new(8, 100);
    network.run(Micros::from_secs(5));
    let newcomer = network.join();
    network.run(Micros::from_secs(5));
    let dead = incarnation(&network, newcomer);
    network.nodes[newcomer].is_up = false;
    let took = network.run_until(KNOWN_TO_ALL, |n| n.all_have_status(dead, Gone));
    println!("death of a newcomer known to 100 after {took:?}");
    assert!(took.is_some());
}

#[test]
fn refute_paused_member_comes_back() {
    let mut network = Network::new(9, 16);
    network.run(Micros::from_secs(2));
    let paused = incarnation(&network, 3);
    network.nodes[3].is_paused = true;
    assert!(network.run_until(KNOWN_TO_ALL, |n| n.all_have_status(paused, Gone)).is_some());
    network.nodes[3].is_paused = false;
    assert!(network.run_until(KNOWN_TO_ALL, |n| n.all_have_status(paused, Live)).is_some());
    let others: Vec<Incarnation> = network.nodes.iter().map(|node| node.incarnation).collect();
    let is_settled = |n: &Network| others.iter().all(|&other| n.all_have_status(other, Live));
    assert!(network.run_until(KNOWN_TO_ALL, is_settled).is_some());
}

/// A network cut between two members must not make the others consider either gone.
#[test]
fn refute_cut_between_two_unnoticed() {
    for (count, seed) in [(16, 10), (64, 11), (400, 12)] {
        let mut network = Network::new(seed, count);
        network.run(Micros::from_secs(5));
        network.cuts.push((0, 1));
        let (first, second) = (incarnation(&network, 0), incarnation(&network, 1));
        let mut gone = 0;
        for _ in 0..1_200 {
            network.run(Micros::from_millis(100));
            gone += network.statuses_of(first).filter(|&o| o == Some(Gone)).count();
            gone += network.statuses_of(second).filter(|&o| o == Some(Gone)).count();
        }
        println!("{count} instances, cut between two: considered gone in {gone} checks");
        assert_eq!(gone, 0, "{count} instances");
    }
}

/// Message loss alone makes no member gone.
#[test]
fn refute_loss_survived() {
    let mut network = Network::new(13, 64);
    network.loss = 5;
    let mut gone = 0;
    for _ in 0..600 {
        network.run(Micros::from_millis(100));
        let all: Vec<Incarnation> = network.nodes.iter().map(|node| node.incarnation).collect();
        gone +=
            all.iter().flat_map(|&i| network.statuses_of(i)).filter(|&o| o == Some(Gone)).count();
    }
    println!("64 instances, loss 5%: considered gone in {gone} of 2419200 checks");
    assert_eq!(gone, 0);
}

#[test]
fn merge_split_regions_find_each_other() {
    let mut network = Network::new(14, 40);
    for node in 20..40 {
        network.nodes[node].side = 1;
    }
    network.run(Micros::from_secs(2));
    network.is_split = true;
    network.run(Micros::from_secs(180));
    assert!(network.nodes.iter().all(|node| node.members.usable().count() == 20));
    network.is_split = false;
    let is_whole = |n: &Network| n.nodes.iter().all(|node| node.members.usable().count() == 40);
    let took = network.run_until(Micros::from_secs(60), is_whole);
    println!("two regions of 20 find each other after {took:?}");
    assert!(took.is_some());
}

#[test]
fn replaced_old_incarnation_stays_gone() {
    let mut network = Network::new(15, 16);
    network.run(Micros::from_secs(2));
    let old = incarnation(&network, 5);
    network.restart(5, 1);
    let new = incarnation(&network, 5);
    let is_replaced = |n: &Network| n.all_have_status(old, Gone) && n.all_have_status(new, Live);
    assert!(network.run_until(KNOWN_TO_ALL, is_replaced).is_some());
    // The platform's list may lag by far more than the time for which gone members are kept.
    for _ in 0..150 {
        network.run(Micros::from_secs(10));
        let now = network.now;
        for node in &mut network.nodes {
            node.members.merge(now, &[member(5, 0)]);
        }
        assert!(network.all_have_status(old, Gone));
    }
}

#[test]
fn leave_stays_leaving_then_gone() {
    let mut network = Network::new(16, 16);
    network.run(Micros::from_secs(2));
    let leaving = incarnation(&network, 2);
    let now = network.now;
    network.nodes[2].members.leave(now);
    assert!(network.run_until(KNOWN_TO_ALL, |n| n.all_have_status(leaving, Leaving)).is_some());
    for _ in 0..30 {
        network.run(Micros::from_secs(1));
        let now = network.now;
        network.nodes[4].members.merge(now, &[member(2, 0)]);
        assert!(network.all_have_status(leaving, Leaving));
    }
    network.nodes[2].is_up = false;
    let took = network.run_until(KNOWN_TO_ALL, |n| n.all_have_status(leaving, Gone));
    println!("stop of a leaving member known to 16 after {took:?}");
    assert!(took.is_some());
}

/// Replacements over a long time do not let the table grow.
#[test]
fn tick_replacements_memory_bounded() {
    let mut network = Network::new(17, 16);
    for run in 1..100 {
        let node = 1 + usize::try_from(run).unwrap() % 15;
        let now = network.now;
        network.nodes[node].members.leave(now);
        network.run(Micros::from_secs(8));
        network.nodes[node].is_up = false;
        network.run(Micros::from_secs(12));
        match run % 2 {
            0 => network.restart(node, run),
            _ => drop(network.join()),
        }
    }
    let largest = network.nodes.iter().map(|node| node.members.all().count()).max();
    println!("99 replacements in 33 min: largest table {largest:?}");
    // The running ones, and about 30 that were replaced within the 600 s for which gone ones are
    // kept.
    let running = network.nodes.iter().filter(|node| node.is_up).count();
    assert!(largest <= Some(running + 36), "{largest:?} with {running} running");
    assert!(network.largest_message <= 10);
    assert!(own_is_usable_everywhere(&network));
}

/// An instance that does not read the list learns of a new one that the others know from it.
#[test]
fn learn_newcomer_reaches_those_without_list() {
    let mut network = Network::new(18, 64);
    network.run(Micros::from_secs(5));
    let newcomer = network.join();
    let now = network.now;
    for node in &mut network.nodes[1..] {
        node.members.learn(now, &[member(newcomer, 0)]);
    }
    let joined = incarnation(&network, newcomer);
    let took = network.run_until(KNOWN_TO_ALL, |n| n.all_have_status(joined, Live));
    println!("a newcomer on the list is known to one without it after {took:?}");
    assert!(took.is_some());
}
