//! Drawn schedules: what a fleet grants stays within the quota and its tolerance, and little of
//! what is within the quota is refused.

use super::fleet::{Fault, Fleet};
use galenapath_protocol::{Micros, Quota};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Window over which requests are counted.
const WINDOW: Micros = Micros::from_secs(5);
const WINDOW_SECS: f64 = 5.0;

/// Tolerance of the platform's contract: a tenth of the quota and some requests.
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;

fn allowed(quota: Quota) -> f64 {
    (quota.per_second * WINDOW_SECS + quota.burst) * (1.0 + OVERAGE) + SLACK
}

/// Number of schedules.
const CASES: u32 = 48;

fn secs(s: f64) -> Micros {
    Micros((s * 1e6) as u64)
}

fn quota(per_second: f64) -> Quota {
    Quota { per_second, burst: per_second }
}

/// A hot workspace on `n` instances, with faults at drawn times. Returns the largest number granted
/// in a window.
fn peak_while_hot(
    seed: u64,
    n: usize,
    quota: Quota,
    excess: f64,
    faults: &[(f64, usize, Fault)],
) -> usize {
    let mut fleet = Fleet::new(seed, n, quota, 0.02);
    let usual = quota.per_second / 1.6 / n as f64;
    fleet.set_demand(|_| usual);
    fleet.run(secs(2.0));
    fleet.set_demand(|_| usual * excess);
    let mut now = 0.0;
    let mut faults = faults.to_vec();
    faults.sort_by(|a, b| a.0.total_cmp(&b.0));
    for (at, instance, fault) in faults {
        fleet.run(secs(at - now));
        now = at;
        fleet.disturb(instance % n, fault);
    }
    fleet.run(secs(8.0 - now));
    fleet.peak_in(WINDOW)
}

fn fault() -> impl Strategy<Value = (f64, usize, Fault)> {
    let kind = prop_oneof![
        (100_u64..3_000).prop_map(Fault::Restart),
        (100_u64..2_500).prop_map(Fault::Freeze),
        (500_u64..4_000).prop_map(Fault::Cut),
    ];
    (0.0..7.0, 0_usize..40, kind)
}

proptest! {
    // The same schedules in each run; PROPTEST_CASES draws more of them.
    #![proptest_config(ProptestConfig {
        cases: CASES,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    #[test]
    fn fleet_hot_workspace_stays_within_quota(
        seed: u64,
        n in 1_usize..24,
        per_second in 2.0_f64..250.0,
        excess in 1.5_f64..8.0,
        faults in prop::collection::vec(fault(), 0..4),
    ) {
        let quota = quota(per_second);
        let peak = peak_while_hot(seed, n, quota, excess, &faults);
        prop_assert!(peak as f64 <= allowed(quota), "{peak} of {}", allowed(quota));
    }

    #[test]
    fn fleet_callers_at_few_instances_get_whole_rate(
        seed: u64,
        n in 2_usize..24,
        per_second in 4.0_f64..250.0,
        at in 0_usize..24,
    ) {
        let quota = quota(per_second);
        let mut fleet = Fleet::new(seed, n, quota, 0.02);
        let usual = per_second / 1.6;
        fleet.set_demand(|instance| if instance == at % n { usual } else { 0.0 });
        fleet.run(secs(3.0));
        fleet.set_demand(|instance| if instance == (at + 1) % n { usual } else { 0.0 });
        fleet.run(secs(3.0));
        let share = fleet.refused as f64 / (fleet.refused + fleet.granted.len()) as f64;
        prop_assert!(share < 0.01, "{} of {} refused", fleet.refused, fleet.granted.len());
    }

    #[test]
    fn fleet_hot_on_and_off_stays_within_quota(
        seed: u64,
        n in 2_usize..40,
        per_second in 2.0_f64..400.0,
        excess in 1.5_f64..8.0,
        phases in prop::collection::vec((0.1_f64..2.5, 0.1_f64..2.5), 3..6),
    ) {
        let quota = quota(per_second);
        let mut fleet = Fleet::new(seed, n, quota, 0.02);
        let usual = per_second / 1.6 / n as f64;
        for (hot, calm) in phases {
            fleet.set_demand(|_| usual * excess);
            fleet.run(secs(hot));
            fleet.set_demand(|instance| if instance % 3 == 0 { usual } else { 0.0 });
            fleet.run(secs(calm));
        }
        let peak = fleet.peak_in(WINDOW);
        prop_assert!(peak as f64 <= allowed(quota), "{peak} of {}", allowed(quota));
    }

    #[test]
    fn fleet_hot_again_is_charged_for_nothing_long_ago(
        seed: u64,
        n in 3_usize..40,
        per_second in 40.0_f64..400.0,
        calm in 4.0_f64..20.0,
    ) {
        let quota = quota(per_second);
        let mut fleet = Fleet::new(seed, n, quota, 0.02);
        let usual = per_second * 0.6 / n as f64;
        fleet.set_demand(|_| usual * 3.0);
        fleet.run(secs(2.0));
        fleet.set_demand(|_| usual);
        fleet.run(secs(calm));
        // A short surge that the burst covers for the most part, as when callers retry.
        fleet.set_demand(|_| usual * 4.0);
        fleet.run(secs(0.6));
        fleet.set_demand(|_| usual);
        fleet.run(secs(1.0));
        fleet.granted.clear();
        fleet.refused = 0;
        fleet.run(secs(3.0));
        let asked = fleet.refused + fleet.granted.len();
        prop_assert!(fleet.refused * 20 <= asked, "{} of {asked} refused", fleet.refused);
    }

    #[test]
    fn fleet_hot_workspace_gets_most_of_its_rate(
        seed: u64,
        n in 1_usize..24,
        per_second in 10.0_f64..250.0,
        excess in 2.0_f64..8.0,
    ) {
        let quota = quota(per_second);
        let mut fleet = Fleet::new(seed, n, quota, 0.02);
        let usual = per_second / 1.6 / n as f64;
        fleet.set_demand(|_| usual * excess);
        fleet.run(secs(6.0));
        let due = per_second * (6.0 * (excess / 1.6).min(1.0));
        let granted = fleet.granted.len() as f64;
        prop_assert!(granted >= 0.85 * due, "{granted} of {due}");
    }
}

#[test]
fn fleet_lower_quota_binds_within_a_window() {
    let mut fleet = Fleet::new(5, 10, quota(200.0), 0.02);
    fleet.set_demand(|_| 30.0);
    fleet.run(secs(3.0));
    fleet.set_quota(quota(20.0));
    fleet.granted.clear();
    fleet.run(secs(10.0));
    let peak = fleet.peak_in(WINDOW);
    assert!(peak as f64 <= allowed(quota(20.0)), "{peak}");
}
