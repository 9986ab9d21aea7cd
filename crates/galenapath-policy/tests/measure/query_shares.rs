//! Shares of instances in the load queries to a server.

use galenapath_policy::measure::{QueryShares, ServedRates};

const DOMAINS: u32 = 4;

/// Requests per second of the instances of one failure domain: two large ones, and thirty that get
/// an occasional request.
const LARGE_RATES: [u32; 2] = [60, 55];
const OCCASIONAL: usize = 30;

fn shares(own: Option<u32>, others_in_domain: u32) -> QueryShares {
    QueryShares::from_rates(&ServedRates { own, others_in_domain, domains: DOMAINS })
}

#[test]
fn from_rates_busy_instances_get_most() {
    let large = shares(Some(LARGE_RATES[0]), LARGE_RATES[1]);
    // An even split among 32 instances would leave each a sixty-fourth of the budget of a server.
    assert!(large.local > 0.24, "{large:?}");
    assert!(large.remote > 0.07, "{large:?}");
}

#[test]
fn from_rates_sum_within_budget() {
    let local: f64 = LARGE_RATES.iter().map(|own| shares(Some(*own), 115 - own).local).sum();
    let remote: f64 = LARGE_RATES.iter().map(|own| shares(Some(*own), 115 - own).remote).sum();
    let all = local + remote * f64::from(DOMAINS - 1);
    assert!(all <= 1.0, "{all}");
    let even: f64 =
        (0..OCCASIONAL).map(|_| shares(Some(5), 5 * (OCCASIONAL as u32 - 1)).local).sum();
    assert!(even <= 0.5 + 1e-9, "{even}");
}

#[test]
fn from_rates_single_instance_leaves_room() {
    let alone =
        QueryShares::from_rates(&ServedRates { own: Some(9), others_in_domain: 0, domains: 1 });
    assert!(alone.local <= 0.5, "{alone:?}");
    let uncounted = shares(None, 0);
    assert!(uncounted.local > 0.0 && uncounted.local < 0.1, "{uncounted:?}");
}

#[test]
fn from_rates_single_domain_covers_remote_servers() {
    let shares = |own: u32| {
        QueryShares::from_rates(&ServedRates {
            own: Some(own),
            others_in_domain: 115 - own,
            domains: 1,
        })
    };
    let remote: f64 = LARGE_RATES.iter().map(|own| shares(*own).remote).sum();
    assert!(remote > 0.9 && remote <= 1.0, "{remote}");
}
