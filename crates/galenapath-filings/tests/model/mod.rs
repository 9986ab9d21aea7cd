//! A small world around real filing tables, explored exhaustively.

#![allow(dead_code, reason = "each test binary uses a part")]
#![allow(clippy::unwrap_used, reason = "helpers of tests")]

pub mod step;
pub mod world;

use pathfinding::prelude::{bfs, bfs_reach};
use world::{Bounds, World};

/// Explores every state within the bounds, prints their number and fails on a violation.
pub fn holds(name: &str, bounds: Bounds) {
    let mut states = 0_usize;
    let start = World::new(bounds);
    let successors = |w: &World| step::successors(w).into_iter().map(|(_, next)| next);
    for world in bfs_reach(start.clone(), successors) {
        states += 1;
        if world.broken.is_some() {
            panic!("{name}: violated\n{}", shortest_trace(&start, |_| true).unwrap_or_default());
        }
    }
    println!("{name}: {states} states, no violation");
}

/// Finds the violation `by` that the bounds' mutation allows and prints the shortest trace to it.
pub fn violated(name: &str, bounds: Bounds, by: &str) {
    match shortest_trace(&World::new(bounds), |broken| broken == by) {
        Some(trace) => println!("{name} off:\n{trace}"),
        None => panic!("{name}: the checker misses the mutation"),
    }
}

fn shortest_trace(start: &World, wanted: impl Fn(&str) -> bool) -> Option<String> {
    let successors = |w: &World| step::successors(w).into_iter().map(|(_, next)| next);
    let path = bfs(start, successors, |w| w.broken.is_some_and(&wanted))?;
    let steps = path.windows(2).map(|pair| {
        let all = step::successors(&pair[0]);
        let (action, _) = all.iter().find(|(_, next)| *next == pair[1]).unwrap();
        format!("  {action:?}\n")
    });
    let broken = path.last()?.broken?;
    Some(steps.collect::<String>() + "  => " + broken)
}
