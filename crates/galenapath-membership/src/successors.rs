//! Which members take over the outcomes of an incarnation that stops.

use crate::Member;
use galenapath_protocol::{Incarnation, hash64};

/// The `n` members of `usable` that rank highest for `incarnation` by rendezvous hashing, the
/// incarnation itself left out. Instances with the same view name the same members, and a member
/// that comes or goes changes the answer only where it ranks itself.
pub fn successors<'a>(
    usable: impl Iterator<Item = &'a Member>,
    incarnation: Incarnation,
    n: usize,
) -> Vec<&'a Member> {
    let mut ranked: Vec<&Member> = usable.filter(|m| m.incarnation != incarnation).collect();
    ranked
        .sort_by_key(|m| std::cmp::Reverse(hash64(incarnation.0, &m.incarnation.0.to_le_bytes())));
    ranked.truncate(n);
    ranked
}
