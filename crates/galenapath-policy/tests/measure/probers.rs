//! Who probes which server.

use galenapath_policy::measure::{LimitShare, Prober, limit_share, prober};
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

#[test]
fn limit_share_adds_up_among_as_many_as_get_a_request_a_second() {
    let domains = [domain(0), domain(1)];
    let probing: Vec<Prober<'_>> = (0..40)
        .map(|n| Prober {
            incarnation: Incarnation(n),
            domain: &domains[(n % 2) as usize],
            crosses: false,
        })
        .collect();
    for (per_second, sharers) in [(0.0, 1), (1.9, 1), (6.1, 6), (19.5, 19), (500.0, 20)] {
        let share = |n| limit_share(&probing, &domains[1], &id(7), Incarnation(n), per_second);
        let shares: Vec<LimitShare> = (0..40).map(share).collect();
        let parts: Vec<f64> = shares.iter().map(|share| share.part).collect();
        assert!((parts.iter().sum::<f64>() - 1.0).abs() < 1e-9, "{per_second}");
        assert_eq!(parts.iter().filter(|part| **part > 0.0).count(), sharers, "{per_second}");
        assert_eq!(shares.iter().filter(|share| share.is_first).count(), 1);
        // All of them are in the server's own failure domain.
        assert!((0..40).step_by(2).all(|n| share(n) == LimitShare::NONE));
    }
}

#[test]
fn limit_share_of_a_domain_where_nobody_serves_goes_to_others() {
    let home = domain(0);
    let at = |n, crosses| Prober { incarnation: Incarnation(n), domain: &home, crosses };
    let part = |probing: &[Prober<'_>], own| {
        limit_share(probing, &domain(9), &id(1), Incarnation(own), 1.0).part
    };
    assert!(part(&[at(1, false), at(2, true)], 2) > 0.5);
    let calm = [at(1, false), at(2, false)];
    assert!((part(&calm, 1) + part(&calm, 2) - 1.0).abs() < 1e-9);
    // One that does not probe gets none.
    assert!(part(&calm, 3) < 1e-9);
}
