//! The probe budget of a server.

use galenapath_policy::measure::ProbeBudget;
use galenapath_protocol::Micros;
use proptest::prelude::*;

const SECOND: u64 = 1_000_000;

#[test]
fn take_starts_empty() {
    let mut budget = ProbeBudget::new(Micros::ZERO, 10.0, 1);
    assert!(!budget.take(Micros(SECOND / 10 - 1)));
    assert!(budget.take(Micros(SECOND / 10)));
}

#[test]
fn take_unused_not_saved_up() {
    let mut budget = ProbeBudget::new(Micros::ZERO, 10.0, 1);
    assert!(budget.take(Micros(100 * SECOND)));
    assert!(!budget.take(Micros(100 * SECOND)));
}

#[test]
fn take_no_rate_no_probe() {
    assert!(!ProbeBudget::new(Micros::ZERO, 0.0, 3).take(Micros(u64::MAX)));
}

proptest! {
    /// The sum over all dispatchers stays within the budget at any time, whenever they take probes.
    #[test]
    fn take_sum_within_budget(
        rate in 1u32..200,
        dispatchers in 1u32..20,
        takes in proptest::collection::vec((0usize..20, 0u64..5 * SECOND), 1..2_000),
    ) {
        let new = |_| ProbeBudget::new(Micros::ZERO, f64::from(rate), dispatchers);
        let mut budgets: Vec<_> = (0..dispatchers).map(new).collect();
        let mut takes = takes;
        takes.sort_by_key(|(_, at)| *at);
        let mut taken = 0;
        for (i, at) in takes {
            let i = i % budgets.len();
            taken += u64::from(budgets[i].take(Micros(at)));
            prop_assert!(taken * SECOND <= u64::from(rate) * at);
        }
    }

    /// A change of the number of dispatchers does not allow more probes than the budget.
    #[test]
    fn set_share_no_probe_gained(changes in proptest::collection::vec(1u32..20, 1..200)) {
        let mut budget = ProbeBudget::new(Micros::ZERO, 10.0, 1);
        let mut taken = 0;
        for (i, dispatchers) in changes.iter().enumerate() {
            let now = Micros(i as u64 * SECOND / 50);
            budget.set_share(now, 10.0, *dispatchers);
            taken += u64::from(budget.take(now));
            prop_assert!(taken * SECOND <= 10 * now.0);
        }
    }
}
