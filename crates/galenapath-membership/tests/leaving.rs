//! Marks of backend servers that are leaving.

use galenapath_membership::{LeavingMark, LeavingMarks};
use galenapath_protocol::{BackendId, Micros};
use pathfinding::prelude::bfs_reach;
use proptest::prelude::*;

const NOW: Micros = Micros::from_secs(10_000);

fn mark(backend: u64, started: u64) -> LeavingMark {
    LeavingMark { backend: BackendId(format!("b{backend}").into()), started }
}

proptest! {
    #[test]
    fn mark_order_does_not_matter(marks in prop::collection::vec((0_u64..3, 0_u64..4), 0..12)) {
        let (mut first, mut second) = (LeavingMarks::default(), LeavingMarks::default());
        for (backend, started) in &marks {
            first.mark(NOW, &mark(*backend, *started));
        }
        for (backend, started) in marks.iter().rev() {
            second.mark(NOW, &mark(*backend, *started));
        }
        for backend in 0..3 {
            for started in 0..5 {
                let id = mark(backend, started).backend;
                prop_assert_eq!(first.is_leaving(&id, started), second.is_leaving(&id, started));
            }
        }
    }

    #[test]
    fn mark_never_lost(marks in prop::collection::vec((0_u64..3, 0_u64..4), 0..12)) {
        let mut all = LeavingMarks::default();
        for (n, (backend, started)) in marks.iter().enumerate() {
            all.mark(NOW, &mark(*backend, *started));
            for (backend, started) in &marks[..=n] {
                let known = mark(*backend, *started);
                prop_assert!(all.is_leaving(&known.backend, known.started));
                prop_assert!(!all.mark(NOW, &known));
            }
        }
    }
}

#[test]
fn is_leaving_later_run_used() {
    let mut marks = LeavingMarks::default();
    marks.mark(NOW, &mark(1, 100));
    assert!(marks.is_leaving(&mark(1, 0).backend, 100));
    assert!(marks.is_leaving(&mark(1, 0).backend, 99));
    assert!(!marks.is_leaving(&mark(1, 0).backend, 101));
}

#[test]
fn mark_memory_bounded() {
    let mut marks = LeavingMarks::default();
    for n in 0..5_000 {
        marks.mark(Micros(NOW.0 + n), &mark(n, 1));
    }
    assert!(marks.recent(NOW, Micros::from_secs(1)).len() <= 4_096);
    assert!(marks.is_leaving(&mark(4_999, 1).backend, 1));
}

/// Whether a listed run counts as leaving, given the start of the run that was marked.
type Rule = fn(&LeavingMarks, Option<u64>, u64) -> bool;

/// One server with up to three runs, and two instances that learn of its leaving in any order and
/// whose lists lag by any amount.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    /// Current run of the server.
    run: u64,
    /// Whether that run has begun to leave.
    is_leaving: bool,
    /// Latest run that each instance knows to be leaving.
    known_leaving: [Option<u64>; 2],
    /// Run that each instance's list shows.
    listed: [u64; 2],
}

fn steps(state: &State) -> Vec<State> {
    let mut next = Vec::new();
    let mut push = |change: &dyn Fn(&mut State)| {
        let mut after = state.clone();
        change(&mut after);
        next.push(after);
    };
    push(&|s| s.is_leaving = true);
    if state.is_leaving && state.run < 3 {
        push(&|s| (s.run, s.is_leaving) = (s.run + 1, false));
    }
    for at in 0..2 {
        if state.is_leaving {
            push(&|s| s.known_leaving[at] = s.known_leaving[at].max(Some(s.run)));
        }
        push(&|s| s.known_leaving[at] = s.known_leaving[at].max(s.known_leaving[1 - at]));
        for run in 1..=state.run {
            push(&|s| s.listed[at] = run);
        }
    }
    next
}

/// Checks that a run known to be leaving is never used and a later run always is.
fn check(rule: Rule) -> Result<usize, State> {
    let start = State { run: 1, is_leaving: false, known_leaving: [None; 2], listed: [1; 2] };
    let mut states = 0;
    for state in bfs_reach(start, steps) {
        states += 1;
        for at in 0..2 {
            let mut marks = LeavingMarks::default();
            if let Some(run) = state.known_leaving[at] {
                marks.mark(NOW, &mark(1, run));
            }
            let must_leave = state.known_leaving[at].is_some_and(|run| state.listed[at] <= run);
            if rule(&marks, state.known_leaving[at], state.listed[at]) != must_leave {
                return Err(state);
            }
        }
    }
    Ok(states)
}

fn shipped(marks: &LeavingMarks, _: Option<u64>, listed: u64) -> bool {
    marks.is_leaving(&mark(1, 0).backend, listed)
}

#[test]
fn model_leaving_known_run_never_used() {
    let states = check(shipped).unwrap();
    println!("leaving rule: {states} states, no violation");
    assert!(states > 100);
}

#[test]
fn model_leaving_mutants_found() {
    let list_alone: Rule = |_, _, _| false;
    let same_run_only: Rule = |_, known_leaving, listed| known_leaving == Some(listed);
    let any_run: Rule = |_, known_leaving, _| known_leaving.is_some();
    for (name, mutant) in [
        ("the list removes marks", list_alone),
        ("an older listed run is used", same_run_only),
        ("a later run is not used", any_run),
    ] {
        assert!(check(mutant).is_err(), "{name}");
    }
}
