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
    // 1,400 services with 3 dispatchers each on 16 instances make 262 per instance on average. The
    // spread follows from domains of 6, 5 and 5 instances.
    assert!(load.iter().all(|l| (190..340).contains(l)), "{load:?}");
}

proptest! {
    #[test]
    fn dispatchers_one_per_domain(
        count in 1usize..40,
        domains in 1usize..6,
        requested in 0usize..10,
    ) {
        let all = instances(count, domains);
        let chosen = dispatchers("lookup", &all, requested);
        let covered: HashSet<_> = chosen.iter().map(|&i| &all[i].domain).collect();
        prop_assert_eq!(covered.len(), domains.min(count));
        prop_assert_eq!(chosen.len(), requested.max(domains.min(count)).min(count));
    }

    #[test]
    fn dispatchers_larger_count_only_adds(count in 1usize..40, requested in 1usize..10) {
        let all = instances(count, 3);
        let few = names("lookup", &all, requested);
        let more = names("lookup", &all, requested + 1);
        prop_assert!(few.is_subset(&more));
    }

    #[test]
    fn dispatchers_one_leaves_at_most_two_change(removed in 0usize..16, requested in 3usize..9) {
        let all = instances(16, 3);
        let before = names("lookup", &all, requested);
        let mut rest = all.clone();
        let removed = rest.remove(removed).id.0;
        let after = names("lookup", &rest, requested);
        let moved = before.difference(&after).count();
        prop_assert!(moved <= 2);
        if !before.contains(&removed) {
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
