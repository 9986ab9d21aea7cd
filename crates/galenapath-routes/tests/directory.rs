//! The list of backend servers, with changes from all sources.

mod support;

use galenapath_protocol::{BackendId, Micros, StorePosition};
use galenapath_routes::{
    Change, Directory, ListedServer, ServerRecord, ServerState, VisibleChange,
};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;

const NOW: Micros = Micros::from_secs(100);

fn record(n: u64, state: ServerState) -> ServerRecord {
    support::record(n, 0, state)
}

/// The record of the only server's run that started at `started`.
fn run(started: u64, state: ServerState) -> ServerRecord {
    support::record(1, started, state)
}

fn listed(revision: u64, n: u64) -> ListedServer {
    ListedServer { revision, record: record(n, ServerState::Ready), expires_in: None }
}

fn names(directory: &Directory) -> Vec<String> {
    let mut names: Vec<String> = directory.servers().map(|s| s.id.0.to_string()).collect();
    names.sort();
    names
}

#[test]
fn apply_older_change_ignored() {
    let mut directory = Directory::default();
    directory.apply(9, Change::Put(record(1, ServerState::Leaving)), None);
    assert!(!directory.apply(8, Change::Put(record(1, ServerState::Ready)), None));
    assert_eq!(directory.get(&BackendId("s1".into())).map(|s| s.state), Some(ServerState::Leaving));
}

#[test]
fn changes_after_far_behind_lists_present_servers() {
    let mut first = Directory::default();
    first.apply_list(10, (1..=3).map(|n| listed(n, n)).collect(), None);
    let mut second = first.clone();
    first.apply_list(20, [listed(1, 1), listed(15, 4)].into(), None);
    // The servers removed between the two lists are not known: there are no removals.
    let changes = first.changes_after(10, NOW);
    assert!(!changes.is_whole);
    assert_eq!((changes.puts.len(), changes.present.len()), (1, 2));
    second.merge(changes, NOW, None);
    assert_eq!(names(&second), ["s1", "s4"]);
    assert_eq!(second.position(), 20.into());
}

#[test]
fn merge_present_servers_keeps_newer() {
    let mut first = Directory::default();
    first.apply_list(20, [listed(1, 1)].into(), None);
    let mut second = Directory::default();
    second.apply_list(10, [listed(1, 1), listed(2, 2)].into(), None);
    second.apply(25, Change::Put(record(3, ServerState::Ready)), None);
    second.merge(first.changes_after(10, NOW), NOW, None);
    assert_eq!(names(&second), ["s1", "s3"]);
}

#[test]
fn apply_removed_not_restored() {
    let mut directory = Directory::default();
    directory.apply(5, Change::Put(record(1, ServerState::Ready)), None);
    directory.apply(7, Change::Removed(BackendId("s1".into())), None);
    assert!(!directory.apply(6, Change::Put(record(1, ServerState::Ready)), None));
    assert!(names(&directory).is_empty());
    assert!(directory.apply(8, Change::Put(record(1, ServerState::Ready)), None));
}

#[test]
fn apply_later_run_replaces_record() {
    let mut directory = Directory::default();
    directory.apply(5, Change::Put(run(100, ServerState::Leaving)), None);
    directory.take_visible_changes();
    assert!(directory.apply(6, Change::Put(run(200, ServerState::Ready)), None));
    let listed = directory.get(&BackendId("s1".into()));
    assert_eq!(listed, Some(&run(200, ServerState::Ready)));
    assert_ne!(run(100, ServerState::Ready).run_id(), run(200, ServerState::Ready).run_id());
    assert_eq!(directory.take_visible_changes().len(), 1);
}

#[test]
fn apply_former_run_ignored_at_any_revision() {
    let mut directory = Directory::default();
    directory.apply(5, Change::Put(run(200, ServerState::Ready)), None);
    // A write of the former run that reached the store late.
    assert!(!directory.apply(8, Change::Put(run(100, ServerState::Leaving)), None));
    let late =
        ListedServer { revision: 9, record: run(100, ServerState::Leaving), expires_in: None };
    directory.apply_list(9, vec![late], None);
    let listed = directory.get(&BackendId("s1".into()));
    assert_eq!(listed, Some(&run(200, ServerState::Ready)));
    directory.apply(10, Change::Removed(BackendId("s1".into())), None);
    assert!(!directory.apply(11, Change::Put(run(100, ServerState::Ready)), None));
    assert!(directory.apply(12, Change::Put(run(200, ServerState::Ready)), None));
}

#[test]
fn apply_ended_run_removes_former_run() {
    let mut directory = Directory::default();
    directory.apply(12, Change::Put(run(100, ServerState::Ready)), None);
    directory.apply(11, Change::Removed(BackendId("s1".into())), None);
    assert_eq!(names(&directory), ["s1"]);
    // The later run had ended at 11 when the former one wrote for the last time.
    directory.apply(10, Change::Put(run(200, ServerState::Ready)), None);
    assert!(names(&directory).is_empty());
}

#[test]
fn apply_list_keeps_newer() {
    let mut directory = Directory::default();
    directory.apply_list(10, vec![listed(5, 1), listed(6, 2)], None);
    directory.apply(12, Change::Put(record(3, ServerState::Ready)), None);
    // A list that was read before the third server was added.
    directory.apply_list(11, vec![listed(5, 1)], None);
    assert_eq!(names(&directory), ["s1", "s3"]);
    assert_eq!(directory.position(), 11.into());
}

#[test]
fn apply_removal_delayed_until_gone_at() {
    let mut directory = Directory::default();
    directory.apply_list(10, vec![listed(5, 1), listed(6, 2)], None);
    let gone_at = Some(NOW + Micros::from_secs(2));
    directory.apply(11, Change::Removed(BackendId("s1".into())), gone_at);
    directory.apply(12, Change::Removed(BackendId("s2".into())), gone_at);
    assert_eq!(names(&directory), ["s1", "s2"]);
    directory.apply(13, Change::Put(record(1, ServerState::Ready)), None);
    assert!(directory.expire(NOW + Micros::from_secs(1)).is_empty());
    assert_eq!(directory.expire(NOW + Micros::from_secs(2)), [BackendId("s2".into())]);
    assert_eq!(names(&directory), ["s1"]);
}

#[test]
fn merge_delayed_removal_forwarded() {
    let mut first = Directory::default();
    first.apply_list(10, vec![listed(5, 1), listed(6, 2)], None);
    let mut second = Directory::default();
    second.merge(first.changes_after(0, NOW), NOW, None);
    first.apply(11, Change::Removed(BackendId("s1".into())), Some(NOW + Micros::from_secs(2)));
    first.advance_position(11);
    second.merge(first.changes_after(second.position(), NOW), NOW, None);
    assert_eq!(names(&second), ["s1", "s2"]);
    assert_eq!(second.expire(NOW + Micros::from_millis(2_100)).len(), 1);
}

#[test]
fn take_visible_changes_from_all_sources() {
    let mut directory = Directory::default();
    directory.apply_list(5, vec![listed(3, 1), listed(4, 2)], None);
    assert_eq!(directory.take_visible_changes().len(), 2);
    // Nothing but the revision has changed.
    directory.apply(6, Change::Put(record(1, ServerState::Ready)), None);
    assert!(directory.take_visible_changes().is_empty());
    directory.apply_list(9, vec![listed(6, 1), listed(8, 3)], None);
    let visible = directory.take_visible_changes();
    let removed = VisibleChange::Removed { revision: 9, id: BackendId("s2".into()), gone_at: None };
    assert_eq!(visible.len(), 2, "{visible:?}");
    assert!(visible.contains(&removed), "{visible:?}");
}

/// An entry of the first server with `ms` milliseconds of warm-up left.
fn cold(ms: u64) -> Change {
    let cold_for = Duration::from_millis(ms);
    Change::Put(ServerRecord { cold_for, ..record(1, ServerState::Ready) })
}

#[test]
fn apply_shorter_warm_up_no_change() {
    let mut directory = Directory::default();
    directory.apply(3, cold(3_000), None);
    let (generation, visible) = (directory.generation(), directory.take_visible_changes());
    assert_eq!(visible.len(), 1);
    directory.apply(4, cold(1_500), None);
    assert_eq!(directory.generation(), generation);
    assert!(directory.take_visible_changes().is_empty());
}

#[test]
fn apply_cold_warm_and_cold_again_are_changes() {
    let mut directory = Directory::default();
    let mut generations = Vec::new();
    // New and cold, warming up, warm, and cold again for less than the first time.
    for (revision, left_ms) in [(11, 2_800), (12, 1_300), (13, 0), (14, 2_500)] {
        directory.apply(revision, cold(left_ms), None);
        generations.push(directory.generation());
    }
    assert_eq!(generations, [1, 1, 2, 3]);
}

#[test]
fn changes_after_present_servers_before_first_list() {
    let mut behind = Directory::default();
    behind.apply_list(5, vec![listed(3, 1), listed(4, 2)], None);
    // Server 1 was removed at 7, before this list was read.
    let mut later = Directory::default();
    later.apply_list(9, vec![listed(4, 2), listed(8, 3)], None);
    behind.merge(later.changes_after(behind.position(), NOW), NOW, None);
    assert_eq!(names(&behind), ["s2", "s3"]);
}

#[test]
fn changes_after_only_missing_changes() {
    let mut directory = Directory::default();
    directory.apply_list(10, vec![listed(5, 1), listed(6, 2)], None);
    directory.apply(11, Change::Put(record(2, ServerState::Leaving)), None);
    directory.advance_position(11);
    let changes = directory.changes_after(10, NOW);
    assert!(!changes.is_whole);
    assert_eq!(changes.puts.len(), 1);
    assert!(directory.changes_after(0, NOW).is_whole);
}

#[test]
fn changes_after_far_behind_no_servers_whole() {
    let mut first = Directory::default();
    first.apply_list(20, Vec::new(), None);
    let mut second = Directory::default();
    second.apply_list(10, [listed(1, 1)].into(), None);
    second.merge(first.changes_after(second.position(), NOW), NOW, None);
    assert_eq!(names(&second), Vec::<String>::new());
}

#[test]
fn apply_list_new_epoch_removed_entry_stays_removed() {
    let mut directory = Directory::default();
    let epoch = |epoch, revision| StorePosition::new(epoch, revision);
    directory.apply_list(epoch(1, 60), [listed(50, 1), listed(51, 2)].into(), None);
    directory.apply(61, Change::Removed(BackendId("s1".into())), None);
    directory.advance_position(epoch(1, 61));
    // The backup has the first, and a third one; it lacks the second.
    directory.apply_list(epoch(2, 55), [listed(50, 1), listed(49, 3)].into(), Some(NOW));
    assert_eq!(names(&directory), ["s2", "s3"]);
    assert_eq!(directory.position(), epoch(2, 55));
    // A late answer of the store before its return is ignored.
    directory.apply_list(epoch(1, 62), [listed(50, 1)].into(), None);
    assert_eq!(names(&directory), ["s2", "s3"]);
    directory.apply(56, Change::Put(record(2, ServerState::Leaving)), None);
    directory.apply(57, Change::Put(record(1, ServerState::Ready)), None);
    directory.expire(NOW);
    assert_eq!(names(&directory), ["s1", "s2", "s3"]);
    assert_eq!(directory.get(&BackendId("s2".into())).map(|s| s.state), Some(ServerState::Leaving));
}

/// A change of the store: which server, and whether it was put or removed.
fn changes() -> impl Strategy<Value = Vec<(u64, bool)>> {
    prop::collection::vec((0_u64..6, any::<bool>()), 1..60)
}

/// Writes of one server in the store: the start time of the writing run, or `None` for a removal.
fn store_writes() -> impl Strategy<Value = Vec<Option<u64>>> {
    prop::collection::vec(prop::option::weighted(0.7, 1_u64..4), 1..12)
}

/// The run that a list with all of `writes` contains: the latest one, unless it was removed after
/// its last write. Returns its start time and the revision of its last write.
fn expected_run(writes: &[Option<u64>]) -> Option<(u64, u64)> {
    let latest = writes.iter().flatten().copied().max()?;
    let last_put = writes.iter().rposition(|write| *write == Some(latest))?;
    let is_removed = writes[last_put..].contains(&None);
    (!is_removed).then_some((latest, last_put as u64 + 1))
}

proptest! {
    /// Runs of a server write in any order of their starts, with removals in between. The order and
    /// the peer through which a list receives these make no difference to the result.
    #[test]
    fn apply_runs_any_order_agree(writes in store_writes(), order in any::<prop::sample::Index>(), cut in 0_usize..12) {
        let mut events: Vec<(u64, Change)> = Vec::new();
        for (step, write) in writes.iter().enumerate() {
            let change = match write {
                Some(started) => Change::Put(run(*started, ServerState::Ready)),
                None => Change::Removed(BackendId("s1".into())),
            };
            events.push((step as u64 + 1, change));
        }
        let mut shuffled = events.clone();
        let seed = order.index(1 << 20) as u64;
        shuffled.sort_by_key(|(revision, _)| (revision * 7_919 + 13).wrapping_mul(seed | 1) % 1_009);
        let (mut first, mut second, mut peer) =
            (Directory::default(), Directory::default(), Directory::default());
        for (step, (revision, change)) in events.into_iter().enumerate() {
            first.apply(revision, change, None);
            first.advance_position(revision);
            if step == cut {
                peer.merge(first.changes_after(peer.position(), NOW), NOW, None);
            }
        }
        peer.merge(first.changes_after(peer.position(), NOW), NOW, None);
        shuffled.into_iter().for_each(|(revision, change)| {
            second.apply(revision, change, None);
        });
        let expected = expected_run(&writes).map(|(started, _)| run(started, ServerState::Ready));
        for directory in [&first, &second, &peer] {
            prop_assert_eq!(directory.get(&BackendId("s1".into())), expected.as_ref());
        }
    }

    /// One directory follows the store, another receives deltas from it at two points, a third
    /// receives the changes in shuffled order: all end up with the list of the store.
    #[test]
    fn merge_all_ways_agree(changes in changes(), cut in 0_usize..60, seed in any::<u64>()) {
        let mut store: BTreeMap<u64, u64> = BTreeMap::new();
        let (mut follower, mut puller, mut shuffled) =
            (Directory::default(), Directory::default(), Directory::default());
        let mut events = Vec::new();
        for (step, (n, is_put)) in changes.iter().enumerate() {
            let revision = step as u64 + 1;
            let change = if *is_put {
                store.insert(*n, revision);
                Change::Put(record(*n, ServerState::Ready))
            } else {
                if store.remove(n).is_none() {
                    continue;
                }
                Change::Removed(BackendId(format!("s{n}").into()))
            };
            events.push((revision, change.clone()));
            follower.apply(revision, change, None);
            follower.advance_position(revision);
            if step == cut {
                puller.merge(follower.changes_after(puller.position(), NOW), NOW, None);
            }
        }
        puller.merge(follower.changes_after(puller.position(), NOW), NOW, None);
        let mut order: Vec<usize> = (0..events.len()).collect();
        order.sort_by_key(|n| (*n as u64).wrapping_mul(seed | 1) >> 7);
        for n in order {
            let (revision, change) = events[n].clone();
            shuffled.apply(revision, change, None);
        }
        let expected: Vec<String> = store.keys().map(|n| format!("s{n}")).collect();
        prop_assert_eq!(names(&follower), expected.clone());
        prop_assert_eq!(names(&puller), expected.clone());
        prop_assert_eq!(names(&shuffled), expected);
    }
}
