//! Who probes which server.

use galenapath_policy::measure::{Prober, prober};
use galenapath_protocol::{BackendId, DomainId, Incarnation};

fn domain(n: u64) -> DomainId {
    DomainId(format!("d{n}").into())
}

fn id(n: u64) -> BackendId {
    BackendId(format!("s{n}").into())
}

#[test]
fn prober_at_home_shares_out() {
    let domains = [domain(0), domain(1)];
    let probing: Vec<Prober<'_>> = (0..6)
        .map(|n| Prober {
            incarnation: Incarnation(n),
            domain: &domains[(n % 2) as usize],
            crosses: true,
        })
        .collect();
    let chosen: Vec<u64> =
        (0..300).filter_map(|n| prober(&probing, &domains[0], &id(n))).map(|i| i.0).collect();
    assert_eq!(chosen.len(), 300);
    for n in [0, 2, 4] {
        let count = chosen.iter().filter(|chosen| **chosen == n).count();
        assert!((60..140).contains(&count), "{n} probes {count} of 300");
    }
}

#[test]
fn prober_of_a_domain_where_nobody_probes_is_one_that_crosses() {
    let home = domain(0);
    let at = |n, crosses| Prober { incarnation: Incarnation(n), domain: &home, crosses };
    assert_eq!(prober(&[at(1, false), at(2, false)], &domain(9), &id(1)), None);
    assert_eq!(prober(&[at(1, false), at(2, true)], &domain(9), &id(1)), Some(Incarnation(2)));
}
