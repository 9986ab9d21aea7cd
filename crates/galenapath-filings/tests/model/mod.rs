//! Exhaustive model checking of a small system around real filing tables.

#![allow(dead_code, reason = "each test binary uses only some items")]
#![allow(clippy::unwrap_used, reason = "helpers of tests")]

pub mod step;
pub mod world;

use pathfinding::prelude::{bfs, bfs_reach};
use world::{Bounds, World};

/// Explores all states within the bounds, prints their number and fails on a violation.
pub fn check_no_violation(name: &str, bounds: Bounds) {
    let mut states = 0_usize;
    let start = World::new(bounds);
    let successors = |w: &World| step::successors(w).into_iter().map(|(_, next)| next);
    for world in bfs_reach(start.clone(), successors) {
        states += 1;
        if world.violation.is_some() {
            panic!("{name}: violated\n{}", shortest_trace(&start, |_| true).unwrap_or_default());
        }
    }
    println!("{name}: {states} states, no violation");
}

/// Fails unless the guards that are off in `bounds` allow the violation `by`. Prints the shortest
/// trace to it.
pub fn find_violation(name: &str, bounds: Bounds, by: &str) {
    match shortest_trace(&World::new(bounds), |violation| violation == by) {
        Some(trace) => println!("{name} off:\n{trace}"),
        None => panic!("{name}: the model checker does not find the violation"),
    }
}

fn shortest_trace(start: &World, wanted: impl Fn(&str) -> bool) -> Option<String> {
    let successors = |w: &World| step::successors(w).into_iter().map(|(_, next)| next);
    let path = bfs(start, successors, |w| w.violation.is_some_and(&wanted))?;
    let steps = path.windows(2).map(|pair| {
        let all = step::successors(&pair[0]);
        let (action, _) = all.iter().find(|(_, next)| *next == pair[1]).unwrap();
        format!("  {action:?}\n")
    });
    let violation = path.last()?.violation?;
    Some(steps.collect::<String>() + "  => " + violation)
}
