use galenapath_policy::measure::{AskShares, ServedRates};

const DOMAINS: u32 = 4;

/// Requests a second of the instances of one failure domain: two large ones and thirty that see a
/// stray request now and then.
const LARGE: [u32; 2] = [60, 55];
const STRAY: usize = 30;

fn shares(own: Option<u32>, others_at_home: u32) -> AskShares {
    AskShares::by_rates(&ServedRates { own, others_at_home, domains: DOMAINS })
}

#[test]
fn shares_few_carry_the_load_ask_most() {
    let large = shares(Some(LARGE[0]), LARGE[1]);
    // An even split among 32 would leave each a sixty-fourth of the budget of a server.
    assert!(large.home > 0.24, "{large:?}");
    assert!(large.away > 0.07, "{large:?}");
}

#[test]
fn shares_all_instances_within_the_budget() {
    let home: f64 = LARGE.iter().map(|own| shares(Some(*own), 115 - own).home).sum();
    let away: f64 = LARGE.iter().map(|own| shares(Some(*own), 115 - own).away).sum();
    let all = home + away * f64::from(DOMAINS - 1);
    assert!(all <= 1.0, "{all}");
    let even: f64 = (0..STRAY).map(|_| shares(Some(5), 5 * (STRAY as u32 - 1)).home).sum();
    assert!(even <= 0.5 + 1e-9, "{even}");
}

#[test]
fn shares_alone_leaves_room_for_a_new_one() {
    let alone = AskShares::by_rates(&ServedRates { own: Some(9), others_at_home: 0, domains: 1 });
    assert!(alone.home <= 0.5, "{alone:?}");
    let uncounted = shares(None, 0);
    assert!(uncounted.home > 0.0 && uncounted.home < 0.1, "{uncounted:?}");
}

#[test]
fn shares_of_the_only_domain_with_instances_ask_servers_of_others_as_well() {
    let shares = |own: u32| {
        AskShares::by_rates(&ServedRates { own: Some(own), others_at_home: 115 - own, domains: 1 })
    };
    let away: f64 = LARGE.iter().map(|own| shares(*own).away).sum();
    assert!(away > 0.9 && away <= 1.0, "{away}");
}
