use crate::instances;
use galenapath_policy::dispatch::{Instance, dispatchers};
use proptest::prelude::*;
use std::collections::HashSet;

fn names(service: &str, all: &[Instance], count: usize) -> HashSet<String> {
    dispatchers(service, all, count).into_iter().map(|i| all[i].id.0.clone()).collect()
}

#[test]
fn dispatchers_none_without_instances() {
    assert!(dispatchers("lookup", &[], 3).is_empty());
}

#[test]
fn dispatchers_services_spread_evenly() {
    let all = instances(16, 3);
    let mut load = vec![0; all.len()];
    for service in 0..1_400 {
        for i in dispatchers(&format!("s{service}"), &all, 3) {
            load[i] += 1;
        }
    }
    // 1,400 services times 3 on 16 instances: 262 each; domains hold 6, 5 and 5.
    assert!(load.iter().all(|l| (190..340).contains(l)), "{load:?}");
}

proptest! {
    #[test]
    fn dispatchers_one_per_domain(count in 1usize..40, domains in 1usize..6, wanted in 0usize..10) {
        let all = instances(count, domains);
        let chosen = dispatchers("lookup", &all, wanted);
        let covered: HashSet<_> = chosen.iter().map(|&i| &all[i].domain).collect();
        prop_assert_eq!(covered.len(), domains.min(count));
        prop_assert_eq!(chosen.len(), wanted.max(domains.min(count)).min(count));
    }

    #[test]
    fn dispatchers_growth_only_adds(count in 1usize..40, wanted in 1usize..10) {
        let all = instances(count, 3);
        let few = names("lookup", &all, wanted);
        let more = names("lookup", &all, wanted + 1);
        prop_assert!(few.is_subset(&more));
    }

    #[test]
    fn dispatchers_little_moves_when_one_leaves(gone in 0usize..16, wanted in 3usize..9) {
        let all = instances(16, 3);
        let before = names("lookup", &all, wanted);
        let mut rest = all.clone();
        let gone = rest.remove(gone).id.0;
        let after = names("lookup", &rest, wanted);
        let moved = before.difference(&after).count();
        prop_assert!(moved <= 2);
        if !before.contains(&gone) {
            prop_assert!(moved <= 1);
        }
    }

    #[test]
    fn dispatchers_order_of_list_does_not_matter(seed in any::<u64>()) {
        let all = instances(16, 3);
        let mut other = all.clone();
        other.rotate_left((seed % 16) as usize);
        prop_assert_eq!(names("lookup", &all, 4), names("lookup", &other, 4));
    }
}
