//! Which instances take over the outcomes of one that stops.

use galenapath_protocol::{Incarnation, hash64};

/// The `n` incarnations among `live` that hold the outcomes of `from`, best first, by rendezvous
/// hashing: every instance with the same list picks the same ones, and one that comes or goes
/// changes only its own share.
pub fn successors(from: Incarnation, live: &[Incarnation], n: usize) -> Vec<Incarnation> {
    let score = |to: &Incarnation| hash64(from.0, &to.0.to_le_bytes());
    let mut ranked: Vec<_> = live.iter().copied().filter(|to| *to != from).collect();
    ranked.sort_by_key(|to| std::cmp::Reverse((score(to), *to)));
    ranked.truncate(n);
    ranked
}
