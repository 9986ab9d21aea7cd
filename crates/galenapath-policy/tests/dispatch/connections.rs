use galenapath_policy::dispatch::{ConnectionSplit, SettlingShare};
use galenapath_protocol::Micros;
use proptest::prelude::*;

const LIMIT: u32 = 240;
const SETTLE: Micros = Micros(5_000_000);

fn share(view: (u32, u32), is_dispatcher: bool) -> u32 {
    ConnectionSplit { limit: LIMIT }.share(view.0, view.1, is_dispatcher)
}

#[test]
fn share_sixteen_instances_six_connections_each() {
    assert_eq!(share((16, 3), false), 6);
    assert_eq!(share((16, 3), true), 14);
}

#[test]
fn share_large_fleet_dispatchers_keep_connections() {
    assert_eq!(share((400, 3), false), 0);
    assert_eq!(share((400, 3), true), 8);
}

#[test]
fn initial_share_all_instances_replaced_within_limit() {
    let split = ConnectionSplit { limit: LIMIT };
    let old = 3 * share((16, 3), true) + 13 * share((16, 3), false);
    assert!(old + 16 * split.initial_share() <= LIMIT);
    // Without the initial share, two instances that see only themselves would exceed the limit.
    assert!(old + 2 * share((1, 1), true) > LIMIT);
}

fn view() -> impl Strategy<Value = (u32, u32)> {
    (1u32..500).prop_flat_map(|n| (Just(n), 1..=n))
}

proptest! {
    /// While some instances use an old view and the others a new one, and all instances of both
    /// views hold connections, the server's limit is kept.
    #[test]
    fn share_sum_of_two_views_within_limit(old in view(), new in view()) {
        let sum = |v: (u32, u32)| v.1 * share(v, true) + (v.0 - v.1) * share(v, false);
        prop_assert!(sum(old) + sum(new) <= LIMIT);
    }

    /// Instances that learn of a new view at different times, all within `SETTLE`, never hold more
    /// than two views allot together, however often the view changes.
    #[test]
    fn get_many_changes_within_limit(
        changes in proptest::collection::vec((0u64..4_000_000, view()), 1..12),
        lags in proptest::collection::vec(0u64..5_000_000, 40),
    ) {
        let mut views = vec![(Micros::ZERO, (40, 3))];
        for (gap, (_, dispatchers)) in changes {
            let at = views[views.len() - 1].0 + Micros(gap);
            views.push((at, (40, dispatchers.min(40))));
        }
        let end = views[views.len() - 1].0.0 + 2 * SETTLE.0;
        let mut events = Vec::new();
        for (i, lag) in lags.iter().enumerate() {
            for (at, view) in &views {
                let is_dispatcher = (i as u32) < view.1;
                events.push((at.0 + lag, i, share(*view, is_dispatcher)));
            }
        }
        events.sort_by_key(|(at, i, _)| (*at, *i));
        let first = |i: usize| share((40, 3), i < 3);
        let mut held: Vec<_> = (0..40).map(|i| SettlingShare::new(SETTLE, first(i))).collect();
        let mut next = events.into_iter().peekable();
        for now in (0..end).step_by(100_000) {
            while let Some((at, i, share)) = next.next_if(|(at, ..)| *at <= now) {
                held[i].set(Micros(at), share);
            }
            let sum: u32 = held.iter_mut().map(|h| h.get(Micros(now))).sum();
            prop_assert!(sum <= LIMIT, "{sum} at {now}");
        }
    }
}

#[test]
fn set_lower_at_once_higher_after_settling() {
    let mut share = SettlingShare::new(SETTLE, 10);
    share.set(Micros(0), 4);
    assert_eq!(share.get(Micros(0)), 4);
    share.set(Micros(1), 12);
    assert_eq!(share.get(Micros(SETTLE.0)), 4);
    assert_eq!(share.get(Micros(SETTLE.0 + 1)), 12);
}
