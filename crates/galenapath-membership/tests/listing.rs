//! Tests of the tracked list.

use galenapath_membership::{ListDelta, TrackedList};
use proptest::prelude::*;
use std::collections::BTreeMap;

type List = BTreeMap<String, u32>;

fn list(entries: &[(&str, u32)]) -> List {
    entries.iter().map(|(id, value)| ((*id).to_owned(), *value)).collect()
}

fn entries(tracked: &TrackedList<u32>) -> Vec<u32> {
    tracked.entries().copied().collect()
}

#[test]
fn delta_after_holds_changes_only() {
    let mut ahead = TrackedList::default();
    ahead.apply_list(5, list(&[("a", 1), ("b", 1), ("c", 1)]));
    ahead.apply_list(9, list(&[("a", 1), ("b", 2), ("d", 1)]));
    let delta = ahead.delta_after(5).unwrap();
    assert_eq!(delta.put, list(&[("b", 2), ("d", 1)]));
    assert_eq!(delta.removed, ["c"]);
    assert_eq!(ahead.delta_after(9), None);
}

#[test]
fn delta_after_unknown_position_holds_all() {
    let mut ahead = TrackedList::default();
    ahead.apply_list(5, list(&[("a", 1)]));
    let delta = ahead.delta_after(3).unwrap();
    assert_eq!((delta.from, delta.put), (0, list(&[("a", 1)])));
}

#[test]
fn apply_old_delta_changes_nothing() {
    let mut ahead = TrackedList::default();
    ahead.apply_list(5, list(&[("a", 1)]));
    let old = ahead.delta_after(0).unwrap();
    ahead.apply_list(6, list(&[("b", 1)]));
    assert!(!ahead.apply(old));
    assert_eq!(entries(&ahead), [1]);
    assert_eq!(ahead.position(), 6);
}

#[test]
fn apply_delta_from_later_position_rejected() {
    let mut ahead = TrackedList::default();
    ahead.apply_list(5, list(&[("a", 1)]));
    ahead.apply_list(6, list(&[("a", 1), ("b", 1)]));
    let mut behind = TrackedList::default();
    behind.apply_list(3, list(&[("z", 1)]));
    assert!(!behind.apply(ahead.delta_after(5).unwrap()));
    assert_eq!(behind.position(), 3);
}

#[test]
fn apply_list_after_store_reset() {
    let mut tracked = TrackedList::default();
    tracked.apply_list(50, list(&[("a", 1)]));
    tracked.apply_list(2, list(&[("b", 2)]));
    assert_eq!((tracked.position(), entries(&tracked)), (2, vec![2]));
}

/// Guards against a server that has left and is used again: a watch of the list is answered after a
/// peer has sent a later list.
#[test]
fn apply_answer_overtaken_by_peer_ignored() {
    let mut ahead = TrackedList::default();
    ahead.apply_list(5, list(&[("a", 1), ("b", 1)]));
    ahead.apply_list(9, list(&[("b", 1)]));
    let mut behind = TrackedList::default();
    behind.apply_list(5, list(&[("a", 1), ("b", 1)]));
    let asked_at = behind.position();
    behind.apply(ahead.delta_after(asked_at).unwrap());
    assert!(!behind.apply_answer(asked_at, 7, list(&[("a", 1), ("b", 1)])));
    assert_eq!((behind.position(), entries(&behind)), (9, vec![1]));
    assert!(behind.apply_answer(asked_at, 10, list(&[("b", 2)])));
    assert_eq!((behind.position(), entries(&behind)), (10, vec![2]));
}

#[test]
fn apply_answer_after_store_reset() {
    let mut tracked = TrackedList::default();
    tracked.apply_list(50, list(&[("a", 1)]));
    assert!(tracked.apply_answer(50, 2, list(&[("b", 2)])));
    assert_eq!((tracked.position(), entries(&tracked)), (2, vec![2]));
}

#[test]
fn delta_after_bounded_memory_falls_back_to_all() {
    let mut tracked = TrackedList::default();
    for position in 1..5_000 {
        tracked.apply_list(position, list(&[("a", position as u32)]));
    }
    assert_eq!(tracked.delta_after(1).unwrap().from, 0);
    assert_eq!(tracked.delta_after(4_990).unwrap().from, 4_990);
}

#[derive(Clone, Debug)]
enum Step {
    /// A node asks for the platform's list, which is at some position; the answer may be delivered
    /// later.
    Read { node: usize, position: usize },
    /// A node pulls from another; the answer may be delivered later.
    Pull { node: usize, from: usize },
    /// The oldest message in transit is delivered.
    Deliver,
    /// The newest message in transit is delivered.
    DeliverNewest,
}

/// A message in transit to a node.
#[derive(Clone, Debug)]
enum Message {
    Delta(ListDelta<u32>),
    Answer { asked_at: u64, position: usize },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..3_usize, 0..12_usize).prop_map(|(node, position)| Step::Read { node, position }),
        (0..3_usize, 0..3_usize).prop_map(|(node, from)| Step::Pull { node, from }),
        (0..3_usize, 0..3_usize).prop_map(|(node, from)| Step::Pull { node, from }),
        Just(Step::Deliver),
        Just(Step::DeliverNewest),
    ]
}

fn deliver(node: &mut TrackedList<u32>, message: Message, lists: &[List]) {
    match message {
        Message::Delta(delta) => {
            node.apply(delta);
        }
        Message::Answer { asked_at, position } => {
            node.apply_answer(asked_at, position as u64 + 1, lists[position].clone());
        }
    }
}

proptest! {
    /// Whatever the order of reads, pulls and late deliveries, the list of a node equals the
    /// platform's list at the position of the node.
    #[test]
    fn apply_any_order_is_the_list_at_the_position(
        lists in prop::collection::vec(prop::collection::btree_map("[a-e]", 0..3_u32, 0..5), 12),
        steps in prop::collection::vec(step(), 0..60),
    ) {
        let mut nodes: Vec<TrackedList<u32>> = vec![TrackedList::default(); 3];
        let mut in_transit = Vec::new();
        for step in steps {
            match step {
                Step::Read { node, position } => {
                    // The platform is at no earlier position than the node, unless it is reset.
                    let asked_at = nodes[node].position();
                    if position as u64 + 1 >= asked_at {
                        in_transit.push((node, Message::Answer { asked_at, position }));
                    }
                }
                Step::Pull { node, from } => {
                    let delta = nodes[from].delta_after(nodes[node].position());
                    in_transit.extend(delta.map(|delta| (node, Message::Delta(delta))));
                }
                Step::Deliver if !in_transit.is_empty() => {
                    let (node, message) = in_transit.remove(0);
                    deliver(&mut nodes[node], message, &lists);
                }
                Step::DeliverNewest => {
                    if let Some((node, message)) = in_transit.pop() {
                        deliver(&mut nodes[node], message, &lists);
                    }
                }
                Step::Deliver => {}
            }
            for node in &nodes {
                if let Some(at) = (node.position() as usize).checked_sub(1) {
                    let expected: Vec<u32> = lists[at].values().copied().collect();
                    prop_assert_eq!(entries(node), expected);
                }
            }
        }
    }
}
