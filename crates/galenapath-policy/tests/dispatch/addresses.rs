use galenapath_policy::dispatch::{AddressConfig, PeakLoad, ReachableInstance, addresses_for};
use galenapath_protocol::Micros;
use std::net::SocketAddr;

struct TestInstance {
    name: String,
    domain: &'static str,
    rate: u32,
    capacity: u32,
    is_cut_off: bool,
    is_seed: bool,
}

fn instance(n: usize, domain: &'static str, rate: u32, capacity: u32) -> TestInstance {
    let name = format!("{domain}-{n}");
    TestInstance { name, domain, rate, capacity, is_cut_off: false, is_seed: false }
}

fn reachable(all: &[TestInstance]) -> Vec<ReachableInstance<'_>> {
    let ports = all.iter().zip(9_000_u16..);
    ports
        .map(|(instance, port)| ReachableInstance {
            name: &instance.name,
            domain: instance.domain,
            address: SocketAddr::from(([127, 0, 0, 1], port)),
            rate: instance.rate,
            capacity: instance.capacity,
            is_cut_off: instance.is_cut_off,
            is_seed: instance.is_seed,
        })
        .collect()
}

fn addresses(all: &[TestInstance], domain: &str, is_load_known: bool) -> Vec<SocketAddr> {
    addresses_with(&AddressConfig::default(), all, domain, is_load_known)
}

fn addresses_with(
    cfg: &AddressConfig,
    all: &[TestInstance],
    domain: &str,
    is_load_known: bool,
) -> Vec<SocketAddr> {
    let reachable = reachable(all);
    let local = all.iter().filter(|instance| instance.domain == domain);
    let load = local.map(|instance| instance.rate).sum();
    addresses_for(cfg, domain, &reachable, is_load_known.then_some(load))
}

fn fleet(rate: u32) -> Vec<TestInstance> {
    let mut all: Vec<TestInstance> = (0..6).map(|n| instance(n, "a", rate, 100)).collect();
    all.extend((0..6).map(|n| instance(n, "b", 0, 100)));
    all
}

#[test]
fn addresses_for_idle_domain_one_local_instance() {
    let chosen = addresses(&fleet(0), "a", true);
    assert_eq!(chosen.len(), 1);
    assert!(chosen.iter().all(|address| address.port() < 9_006));
    assert_eq!(chosen, addresses(&fleet(0), "a", true));
}

#[test]
fn addresses_for_load_as_many_as_needed() {
    assert_eq!(addresses(&fleet(50), "a", true).len(), 3);
    assert_eq!(addresses(&fleet(500), "a", true).len(), 6);
    assert_eq!(addresses(&fleet(50), "b", true).len(), 1);
    assert_eq!(addresses(&fleet(20), "a", true).len(), 2);
}

#[test]
fn addresses_for_larger_instances_first() {
    let mut all = fleet(30);
    all[4].capacity = 500;
    assert_eq!(addresses(&all, "a", true)[0].port(), 9_004);
}

#[test]
fn addresses_for_domain_without_instances_others_used() {
    let mut all = vec![instance(0, "a", 0, 100)];
    all.extend((0..3).map(|n| instance(n, "b", 0, 100)));
    let chosen = addresses(&all, "a", true);
    assert_eq!((chosen.len(), chosen[0].port()), (1, 9_000));
    assert_eq!(addresses(&all, "nowhere", true).len(), 1);
    assert!(addresses(&[], "a", true).is_empty());
}

#[test]
fn addresses_for_unknown_load_a_third() {
    let all: Vec<TestInstance> = (0..12).map(|n| instance(n, "a", 0, 100)).collect();
    assert_eq!(addresses(&all, "a", false).len(), 4);
}

#[test]
fn addresses_for_smallest_instance_not_overloaded() {
    // The largest cannot handle the load, and half of it would be more than twice the capacity of a
    // small one.
    let mut all: Vec<TestInstance> = (0..20).map(|n| instance(n, "a", 0, 60)).collect();
    all.push(instance(20, "a", 280, 250));
    let within_capacity = AddressConfig { max_load_factor: 1, ..AddressConfig::default() };
    let chosen = addresses_with(&within_capacity, &all, "a", true);
    assert_eq!(chosen.len(), 5);
    assert_eq!(chosen[0].port(), 9_020);
    // More than twice the capacity of the largest: small ones are added under any load factor.
    all[20].rate = 600;
    let chosen = addresses(&all, "a", true);
    assert_eq!(chosen.len(), 10);
    assert_eq!(chosen[0].port(), 9_020);
}

#[test]
fn addresses_for_large_instance_preferred_to_many_small_ones() {
    let mut all: Vec<TestInstance> = (0..20).map(|n| instance(n, "a", 0, 60)).collect();
    all.push(instance(20, "a", 280, 250));
    assert_eq!(addresses(&all, "a", true).len(), 1);
    // The limit is twice its capacity.
    all[20].rate = 500;
    assert_eq!(addresses(&all, "a", true).len(), 1);
    all[20].rate = 501;
    assert!(addresses(&all, "a", true).len() >= 5);
    // Among equals, none exceeds its capacity if one more instance suffices.
    let equal: Vec<TestInstance> = (0..20).map(|n| instance(n, "a", 4, 60)).collect();
    assert_eq!(addresses(&equal, "a", true).len(), 2);
}

#[test]
fn addresses_for_min_two_at_least_two() {
    let at_least_two = AddressConfig { min_local: 2, min: 2, ..AddressConfig::default() };
    let chosen = addresses_with(&at_least_two, &fleet(0), "a", true);
    assert_eq!(chosen.len(), 2);
    assert!(chosen.iter().all(|address| address.port() < 9_006));
    assert_eq!(addresses_with(&at_least_two, &fleet(50), "b", true).len(), 2);
    let mut all = vec![instance(0, "a", 0, 100)];
    all.extend((0..3).map(|n| instance(n, "b", 0, 100)));
    let chosen = addresses_with(&at_least_two, &all, "a", true);
    assert_eq!((chosen.len(), chosen[0].port()), (2, 9_000));
    assert_eq!(addresses_with(&at_least_two, &all, "nowhere", true).len(), 2);
    // Only one large instance is left. Half of the requests would be more than twice the capacity
    // of a small one.
    let mut all: Vec<TestInstance> = (0..20).map(|n| instance(n, "a", 0, 60)).collect();
    all.push(instance(20, "a", 280, 500));
    let chosen = addresses_with(&at_least_two, &all, "a", true);
    assert_eq!((chosen.len(), chosen[0].port()), (5, 9_020));
}

#[test]
fn addresses_for_load_above_capacity_largest_total() {
    assert_eq!(addresses(&fleet(5_000), "a", true).len(), 6);
    // The two large ones handle more than all six, among which a large one would receive no more
    // than a small one.
    let mut all: Vec<TestInstance> = (0..4).map(|n| instance(n, "a", 0, 10)).collect();
    all.extend((4..6).map(|n| instance(n, "a", 900, 500)));
    assert_eq!(addresses(&all, "a", true).len(), 2);
}

#[test]
fn addresses_for_seed_last_among_equals() {
    let mut all = fleet(0);
    let first = addresses(&all, "a", true)[0];
    all[usize::from(first.port() - 9_000)].is_seed = true;
    assert_ne!(addresses(&all, "a", true)[0], first);
    // A larger instance comes first even if it is a seed.
    all[usize::from(first.port() - 9_000)].capacity = 500;
    assert_eq!(addresses(&all, "a", true)[0], first);
}

#[test]
fn addresses_for_remote_only_without_local_instances() {
    let mut all: Vec<TestInstance> = (0..2).map(|n| instance(n, "a", 0, 60)).collect();
    all.extend((2..6).map(|n| instance(n, "b", 100, 300)));
    let reachable = reachable(&all);
    let chosen = |domain, load| {
        addresses_for(&AddressConfig::default(), domain, &reachable, Some(load)).len()
    };
    assert_eq!(chosen("a", 100), 2);
    assert_eq!(chosen("a", 300), 2);
    // A domain whose instances are all lost.
    assert_eq!(chosen("c", 500), 3);
}

#[test]
fn peak_load_kept_when_its_instance_is_lost() {
    // The large instance that handled the load of the domain is lost. Only small instances without
    // any traffic are left.
    let small: Vec<TestInstance> = (0..20).map(|n| instance(n, "a", 0, 60)).collect();
    let reachable = reachable(&small);
    let at = Micros::from_secs(100);
    let load = PeakLoad::default().with_sample(at, 170);
    let decayed = load.with_sample(at + Micros::from_millis(50), 0);
    let load = decayed.get(at + Micros::from_millis(50));
    let chosen = addresses_for(&AddressConfig::default(), "a", &reachable, Some(load));
    assert_eq!(chosen.len(), 3);
    // The peak decays.
    assert!(decayed.get(at + Micros::from_secs(20)) < 10);
}

#[test]
fn addresses_for_domain_with_cut_off_instances_without_them() {
    let mut all = fleet(30);
    let named = addresses(&all, "a", true);
    for (instance, port) in all.iter_mut().zip(9_000_u16..) {
        instance.is_cut_off = named.iter().any(|address| address.port() == port);
    }
    let chosen = addresses(&all, "a", true);
    assert!(!chosen.is_empty());
    assert!(chosen.iter().all(|address| !named.contains(address) && address.port() < 9_006));
}

#[test]
fn addresses_for_domain_cut_off_as_a_whole_those_of_another() {
    let mut all = fleet(10);
    all.iter_mut().filter(|at| at.domain == "a").for_each(|at| at.is_cut_off = true);
    let chosen = addresses(&all, "a", true);
    assert!(!chosen.is_empty() && chosen.iter().all(|address| address.port() >= 9_006));
}

#[test]
fn addresses_for_fleet_cut_off_as_a_whole_not_empty() {
    let mut all = fleet(10);
    all.iter_mut().for_each(|instance| instance.is_cut_off = true);
    assert!(!addresses(&all, "a", true).is_empty());
}
