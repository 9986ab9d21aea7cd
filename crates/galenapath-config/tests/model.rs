//! Exhaustive check of the configuration's protocol: `docs/SPEC-configuration.md`.
//!
//! The worlds run the crate's own `Acceptance`, `propose`, `Chain` and `Replica`; the graph search
//! is a library's. Each guard is taken out once, and the search must then find a violation.

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
use world::{Faults, Instance, Mutation, Operator, Told, World};

/// A world and the event that led to it; the event does not tell worlds apart.
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
        self.world.hash_small(state);
    }
}

/// Size of a search.
#[derive(Clone, Copy)]
struct Bounds {
    instances: usize,
    limits: TailLimits,
    tries: u8,
    faults: Faults,
}

const TIGHT: TailLimits = TailLimits { max_records: 1, page_records: 1 };
const ROOMY: TailLimits = TailLimits { max_records: 8, page_records: 4 };

const OUTAGE: Faults = Faults { lost: 1, crashes: 0, outages: 1 };
const CRASH: Faults = Faults { lost: 1, crashes: 1, outages: 0 };

const TWO: Bounds = Bounds {
    instances: 2,
    limits: TIGHT,
    tries: 2,
    faults: Faults { lost: 1, crashes: 1, outages: 1 },
};

fn start(bounds: Bounds, mutation: Mutation, requests: [ChangeRequest; 2]) -> World {
    let limits = bounds.limits;
    let first = accept(&Chain::default(), &create("1", "a"), limits);
    let second = accept(&first, &create("2", "b"), limits);
    let store = Store::with(&[first.clone(), second.clone()], limits);
    let operator = |req| Operator { req, tries: bounds.tries, told: Told::Nothing, waiting: false };
    let knowing = |chain: &Chain| {
        let mut instance = Instance::default();
        instance.replica.apply_from(chain.config(), chain.head().clone());
        instance
    };
    let mut instances = vec![knowing(&second); bounds.instances];
    // One instance has missed the last change.
    instances[bounds.instances - 1] = knowing(&first);
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

/// Searches all worlds; the violation and the shortest trace to one, and the worlds seen.
fn search(world: World) -> (Option<(&'static str, Vec<String>)>, usize) {
    let seen = Cell::new(0);
    let successors = |step: &Step| {
        seen.set(seen.get() + 1);
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
    (found, seen.get())
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
fn holds(name: &str, bounds: Bounds, requests: [ChangeRequest; 2]) {
    let (found, seen) = search(start(bounds, Mutation::None, requests));
    println!("{name}: {seen} states, violation: {found:?}");
    assert!(found.is_none(), "{found:#?}");
}

#[track_caller]
fn caught(mutation: Mutation, bounds: Bounds, requests: [ChangeRequest; 2], expected: &str) {
    let (found, seen) = search(start(bounds, mutation, requests));
    let (violation, trace) = found.unwrap_or_else(|| panic!("{mutation:?} not caught"));
    println!("{mutation:?}: {violation} ({seen} states)\n  {}", trace.join("\n  "));
    assert_eq!(violation, expected);
}

#[test]
fn model_same_class_outage_holds() {
    holds("same class, outage, tail 1", Bounds { faults: OUTAGE, ..TWO }, same_class());
}

#[test]
fn model_same_class_crash_holds() {
    let bounds = Bounds { faults: CRASH, tries: 1, ..TWO };
    holds("same class, crash, tail 1", bounds, same_class());
}

#[test]
fn model_two_classes_outage_holds() {
    holds("two classes, outage, tail 1", Bounds { faults: OUTAGE, ..TWO }, two_classes());
}

#[test]
fn model_target_and_removal_holds() {
    let bounds = Bounds { limits: ROOMY, faults: OUTAGE, ..TWO };
    holds("target and removal, outage, tail 8", bounds, target_and_removal());
}

#[test]
fn model_three_instances_holds() {
    let bounds = Bounds { instances: 3, limits: ROOMY, faults: OUTAGE, tries: 1 };
    holds("three instances, outage, tail 8", bounds, same_class());
}

#[test]
fn model_same_class_all_faults_holds() {
    holds("same class, all faults, tail 1", TWO, same_class());
}

#[test]
fn model_two_classes_all_faults_holds() {
    holds("two classes, all faults, tail 1", TWO, two_classes());
}

#[test]
fn mutation_older_taken_caught() {
    let expected = "a replica went back to an older version";
    caught(Mutation::OlderTaken, TWO, same_class(), expected);
}

#[test]
fn mutation_gap_ignored_caught() {
    let expected = "a replica differs from the chain at its version";
    caught(Mutation::GapIgnored, TWO, two_classes(), expected);
}

#[test]
fn mutation_swap_blind_caught() {
    caught(Mutation::SwapBlind, TWO, same_class(), "an accepted change was overwritten");
}

#[test]
fn mutation_lost_reply_is_not_run_caught() {
    let expected = "a change told as not accepted is in the chain";
    caught(Mutation::LostReplyIsNotRun, TWO, same_class(), expected);
}

#[test]
fn mutation_index_ignored_caught() {
    let expected = "a change told as not accepted is in the chain";
    caught(Mutation::IndexIgnored, TWO, same_class(), expected);
}

#[test]
fn mutation_new_id_on_retry_caught() {
    let expected = "a change told as not accepted is in the chain";
    caught(Mutation::NewIdOnRetry, TWO, same_class(), expected);
}

#[test]
fn mutation_base_ignored_caught() {
    let expected = "a change was accepted on what its author had not seen";
    caught(Mutation::BaseIgnored, TWO, same_class(), expected);
}

#[test]
fn mutation_old_base_is_conflict_caught() {
    let expected = "a change told as not accepted is in the chain";
    caught(Mutation::OldBaseIsConflict, TWO, same_class(), expected);
}

#[test]
fn mutation_cut_not_first_caught() {
    let expected = "the store does not give the newest configuration";
    caught(Mutation::CutNotFirst, TWO, same_class(), expected);
}
