//! Exhaustive model check of the configuration protocol in `docs/SPEC-configuration.md`.
//!
//! A state of the model is a `World`. Its transitions run the crate's `Acceptance`, `propose`,
//! `Chain` and `Replica`; a library does the breadth-first search. For each `Mutation`, which
//! removes one safeguard of the protocol, the search must find a violation.

#![expect(clippy::unwrap_used, reason = "helpers of tests fail as the tests do")]

#[path = "model/rules.rs"]
mod rules;
#[path = "model/store.rs"]
mod store;
mod support;
#[path = "model/world.rs"]
mod world;

use galenapath_config::{Chain, ChangeRequest, TailLimits};
use pathfinding::directed::bfs::bfs;
use std::cell::Cell;
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use store::Store;
use support::{accept, create, remove, set_target};
use world::{Answer, Faults, Instance, Mutation, Operator, World};

/// A world and the event that led to it. Equality and hash ignore the event.
#[derive(Clone)]
struct Step {
    event: String,
    world: World,
}

impl PartialEq for Step {
    fn eq(&self, other: &Self) -> bool {
        self.world == other.world
    }
}

impl Eq for Step {}

impl Hash for Step {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.world.hash_part(state);
    }
}

/// Bounds of the state space.
#[derive(Clone, Copy)]
struct Bounds {
    instances: usize,
    limits: TailLimits,
    attempts: u8,
    faults: Faults,
}

const SHORT_TAIL: TailLimits = TailLimits { max_records: 1, page_records: 1 };
const LONG_TAIL: TailLimits = TailLimits { max_records: 8, page_records: 4 };

const OUTAGE: Faults = Faults { lost: 1, crashes: 0, outages: 1 };
const CRASH: Faults = Faults { lost: 1, crashes: 1, outages: 0 };

const TWO_INSTANCES: Bounds = Bounds {
    instances: 2,
    limits: SHORT_TAIL,
    attempts: 2,
    faults: Faults { lost: 1, crashes: 1, outages: 1 },
};

fn start(bounds: Bounds, mutation: Mutation, requests: [ChangeRequest; 2]) -> World {
    let limits = bounds.limits;
    let first = accept(&Chain::default(), &create("1", "a"), limits);
    let second = accept(&first, &create("2", "b"), limits);
    let store = Store::after(&[first.clone(), second.clone()], limits);
    let operator = |req| Operator {
        req,
        attempts_left: bounds.attempts,
        answer: Answer::Nothing,
        waiting: false,
    };
    let instance_at = |chain: &Chain| {
        let mut instance = Instance::default();
        instance.replica.apply_from(chain.config(), chain.head().clone());
        instance
    };
    let mut instances = vec![instance_at(&second); bounds.instances];
    // The last instance does not know the last change.
    instances[bounds.instances - 1] = instance_at(&first);
    World {
        mutation,
        limits,
        faults: bounds.faults,
        down: false,
        store,
        delayed: Vec::new(),
        instances,
        operators: requests.map(operator).to_vec(),
        history: [Chain::default(), first, second].map(Arc::new).to_vec(),
        violation: None,
    }
}

/// Searches all reachable worlds. Returns the first violation with the shortest trace to it, and
/// the number of visited worlds.
fn search(world: World) -> (Option<(&'static str, Vec<String>)>, usize) {
    let visited = Cell::new(0);
    let successors = |step: &Step| {
        visited.set(visited.get() + 1);
        let next = step.world.successors();
        next.into_iter().map(|(event, world)| Step { event, world }).collect::<Vec<_>>()
    };
    let path = bfs(&Step { event: String::new(), world }, successors, |step| {
        step.world.violation.is_some()
    });
    let found = path.map(|steps| {
        let violation = steps.last().and_then(|step| step.world.violation).unwrap();
        (violation, steps.into_iter().skip(1).map(|step| step.event).collect())
    });
    (found, visited.get())
}

fn same_class() -> [ChangeRequest; 2] {
    [set_target("x", 0, "a", 20), set_target("y", 0, "a", 30)]
}

fn two_classes() -> [ChangeRequest; 2] {
    [set_target("x", 0, "a", 20), set_target("y", 0, "b", 30)]
}

fn target_and_removal() -> [ChangeRequest; 2] {
    [set_target("x", 0, "a", 20), remove("y", 0, "a")]
}

#[track_caller]
fn assert_holds(name: &str, bounds: Bounds, requests: [ChangeRequest; 2]) {
    let (found, visited) = search(start(bounds, Mutation::None, requests));
    println!("{name}: {visited} states, violation: {found:?}");
    assert!(found.is_none(), "{found:#?}");
}

#[track_caller]
fn assert_caught(mutation: Mutation, bounds: Bounds, requests: [ChangeRequest; 2], expected: &str) {
    let (found, visited) = search(start(bounds, mutation, requests));
    let (violation, trace) = found.unwrap_or_else(|| panic!("{mutation:?} not caught"));
    println!("{mutation:?}: {violation} ({visited} states)\n  {}", trace.join("\n  "));
    assert_eq!(violation, expected);
}

#[test]
fn model_same_class_outage_holds() {
    assert_holds(
        "same class, outage, tail 1",
        Bounds { faults: OUTAGE, ..TWO_INSTANCES },
        same_class(),
    );
}

#[test]
fn model_same_class_crash_holds() {
    let bounds = Bounds { faults: CRASH, attempts: 1, ..TWO_INSTANCES };
    assert_holds("same class, crash, tail 1", bounds, same_class());
}

#[test]
fn model_two_classes_outage_holds() {
    assert_holds(
        "two classes, outage, tail 1",
        Bounds { faults: OUTAGE, ..TWO_INSTANCES },
        two_classes(),
    );
}

#[test]
fn model_target_and_removal_holds() {
    let bounds = Bounds { limits: LONG_TAIL, faults: OUTAGE, ..TWO_INSTANCES };
    assert_holds("target and removal, outage, tail 8", bounds, target_and_removal());
}

#[test]
fn model_three_instances_holds() {
    let bounds = Bounds { instances: 3, limits: LONG_TAIL, faults: OUTAGE, attempts: 1 };
    assert_holds("three instances, outage, tail 8", bounds, same_class());
}

#[test]
fn model_same_class_all_faults_holds() {
    assert_holds("same class, all faults, tail 1", TWO_INSTANCES, same_class());
}

#[test]
fn model_two_classes_all_faults_holds() {
    assert_holds("two classes, all faults, tail 1", TWO_INSTANCES, two_classes());
}

#[test]
fn mutation_older_applied_caught() {
    let expected = "a replica went back to an older version";
    assert_caught(Mutation::OlderApplied, TWO_INSTANCES, same_class(), expected);
}

#[test]
fn mutation_gap_ignored_caught() {
    let expected = "a replica differs from the chain at its version";
    assert_caught(Mutation::GapIgnored, TWO_INSTANCES, two_classes(), expected);
}

#[test]
fn mutation_unconditional_swap_caught() {
    assert_caught(
        Mutation::UnconditionalSwap,
        TWO_INSTANCES,
        same_class(),
        "an accepted change was overwritten",
    );
}

#[test]
fn mutation_lost_reply_is_not_run_caught() {
    let expected = "a change reported as not accepted is in the chain";
    assert_caught(Mutation::LostReplyIsNotRun, TWO_INSTANCES, same_class(), expected);
}

#[test]
fn mutation_index_ignored_caught() {
    let expected = "a change reported as not accepted is in the chain";
    assert_caught(Mutation::IndexIgnored, TWO_INSTANCES, same_class(), expected);
}

#[test]
fn mutation_new_id_on_retry_caught() {
    let expected = "a change reported as not accepted is in the chain";
    assert_caught(Mutation::NewIdOnRetry, TWO_INSTANCES, same_class(), expected);
}

#[test]
fn mutation_base_ignored_caught() {
    let expected = "a change was accepted on what its author had not seen";
    assert_caught(Mutation::BaseIgnored, TWO_INSTANCES, same_class(), expected);
}

#[test]
fn mutation_old_base_is_conflict_caught() {
    let expected = "a change reported as not accepted is in the chain";
    assert_caught(Mutation::OldBaseIsConflict, TWO_INSTANCES, same_class(), expected);
}

#[test]
fn mutation_compaction_not_first_caught() {
    let expected = "the store does not give the newest configuration";
    assert_caught(Mutation::CompactionNotFirst, TWO_INSTANCES, same_class(), expected);
}
