//! Assignment of probes and of rate limit shares.

use galenapath_policy::measure::{LimitShare, Prober, limit_share, probing_instance};
use galenapath_protocol::{BackendId, DomainId, Incarnation};

fn domain(n: u64) -> DomainId {
    DomainId(format!("d{n}").into())
}

fn id(n: u64) -> BackendId {
    BackendId(format!("s{n}").into())
}

#[test]
fn probing_instance_spreads_servers_over_local_instances() {
    let domains = [domain(0), domain(1)];
    let probing: Vec<Prober<'_>> = (0..6)
        .map(|n| Prober {
            incarnation: Incarnation(n),
            domain: &domains[(n % 2) as usize],
            is_cross_domain: true,
        })
        .collect();
    let chosen: Vec<u64> = (0..300)
        .filter_map(|n| probing_instance(&probing, &domains[0], &id(n)))
        .map(|i| i.0)
        .collect();
    assert_eq!(chosen.len(), 300);
    for n in [0, 2, 4] {
        let count = chosen.iter().filter(|chosen| **chosen == n).count();
        assert!((60..140).contains(&count), "{n} probes {count} of 300");
    }
}

#[test]
fn probing_instance_of_domain_without_instances_sends_across_domains() {
    let local = domain(0);
    let at = |n, is_cross_domain| Prober {
        incarnation: Incarnation(n),
        domain: &local,
        is_cross_domain,
    };
    assert_eq!(probing_instance(&[at(1, false), at(2, false)], &domain(9), &id(1)), None);
    assert_eq!(
        probing_instance(&[at(1, false), at(2, true)], &domain(9), &id(1)),
        Some(Incarnation(2))
    );
}

#[test]
fn limit_share_adds_up_with_one_request_per_second_each() {
    let domains = [domain(0), domain(1)];
    let probing: Vec<Prober<'_>> = (0..40)
        .map(|n| Prober {
            incarnation: Incarnation(n),
            domain: &domains[(n % 2) as usize],
            is_cross_domain: false,
        })
        .collect();
    for (per_second, sharers) in [(0.0, 1), (1.9, 1), (6.1, 6), (19.5, 19), (500.0, 20)] {
        let share = |n| limit_share(&probing, &domains[1], &id(7), Incarnation(n), per_second);
        let shares: Vec<LimitShare> = (0..40).map(share).collect();
        let parts: Vec<f64> = shares.iter().map(|share| share.part).collect();
        assert!((parts.iter().sum::<f64>() - 1.0).abs() < 1e-9, "{per_second}");
        assert_eq!(parts.iter().filter(|part| **part > 0.0).count(), sharers, "{per_second}");
        assert_eq!(shares.iter().filter(|share| share.is_broadcaster).count(), 1);
        // Only instances of the server's own failure domain get shares.
        assert!((0..40).step_by(2).all(|n| share(n) == LimitShare::NONE));
    }
}

#[test]
fn limit_share_of_domain_without_instances_goes_to_others() {
    let local = domain(0);
    let at = |n, is_cross_domain| Prober {
        incarnation: Incarnation(n),
        domain: &local,
        is_cross_domain,
    };
    let part = |probing: &[Prober<'_>], own| {
        limit_share(probing, &domain(9), &id(1), Incarnation(own), 1.0).part
    };
    assert!(part(&[at(1, false), at(2, true)], 2) > 0.5);
    let no_cross_domain = [at(1, false), at(2, false)];
    assert!((part(&no_cross_domain, 1) + part(&no_cross_domain, 2) - 1.0).abs() < 1e-9);
    // An instance that does not probe gets no share.
    assert!(part(&no_cross_domain, 3) < 1e-9);
}
