//! Choice of the instances that receive the outcomes of a stopping instance.

use galenapath_protocol::{Incarnation, hash64};

/// The `n` incarnations among `live` that hold the outcomes of `from`, best first.
///
/// Uses rendezvous hashing: all instances with the same list choose the same successors, and an
/// instance that joins or leaves changes only the choices that it is part of.
pub fn successors(from: Incarnation, live: &[Incarnation], n: usize) -> Vec<Incarnation> {
    let score = |to: &Incarnation| hash64(from.0, &to.0.to_le_bytes());
    let mut ranked: Vec<_> = live.iter().copied().filter(|to| *to != from).collect();
    ranked.sort_by_key(|to| std::cmp::Reverse((score(to), *to)));
    ranked.truncate(n);
    ranked
}
