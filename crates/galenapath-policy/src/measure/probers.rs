//! Which instance probes which backend server.
//!
//! Load pattern: hundreds of instances of which a few serve callers, and a start of all at which nobody
//! knows yet who does. Each server is probed by one of those that serve in its failure domain, which
//! tells the others: a probe that crosses is billed, and a connection that changes hands is opened again.
//! If any instance stood in for those that it does not know yet, a start of all would make each of them
//! probe the servers of all domains.
//!
//! A server of a domain in which nobody probes is probed only by instances that send requests beyond their
//! own domain.

use galenapath_protocol::{BackendId, DomainId, Incarnation, hash64};

/// An instance that probes: one that serves callers, or any while nobody does.
#[derive(Clone, Debug)]
pub struct Prober<'a> {
    /// Its run.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: &'a DomainId,
    /// Whether it sends a good part of its requests to servers of other failure domains.
    pub crosses: bool,
}

/// Which of the instances that probe does so at the server `id` of failure domain `domain`.
pub fn prober(probing: &[Prober<'_>], domain: &DomainId, id: &BackendId) -> Option<Incarnation> {
    first(at_home(probing, domain), id).or_else(|| first(crossing(probing), id))
}

/// Which of the instances that probe warms the server `id` of failure domain `domain` while it is cold: the one
/// that probes it, or any where nobody does, since nobody sends requests beyond its domain before it may.
pub fn warmer(probing: &[Prober<'_>], domain: &DomainId, id: &BackendId) -> Option<Incarnation> {
    prober(probing, domain, id).or_else(|| first(probing.iter(), id))
}

/// What falls to one instance of a server's rate limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitShare {
    /// Part of the limit, from 0 to 1.
    pub part: f64,
    /// Whether it tells the others again what the server said.
    pub is_first: bool,
}

impl LimitShare {
    /// Nothing.
    pub const NONE: Self = Self { part: 0.0, is_first: false };
}

/// What falls to the instance `own` of the limit of `per_second` requests a second that the server `id` of
/// failure domain `domain` names. The limit goes in equal parts to those that may probe it or warm it, to as
/// many as get a request a second each: parts by what each serves would not add up to one while the rates
/// that instances know of each other are old.
pub fn limit_share(
    probing: &[Prober<'_>],
    domain: &DomainId,
    id: &BackendId,
    own: Incarnation,
    per_second: f64,
) -> LimitShare {
    let mut among: Vec<&Prober<'_>> = at_home(probing, domain).collect();
    if among.is_empty() {
        among = crossing(probing).collect();
    }
    if among.is_empty() {
        among = probing.iter().collect();
    }
    let score = score(id);
    let Some(own) = among.iter().find(|prober| prober.incarnation == own) else {
        return LimitShare::NONE;
    };
    let before = among.iter().filter(|prober| score(prober) > score(own)).count();
    let sharers = (per_second as usize).clamp(1, among.len());
    let part = if before < sharers { 1.0 / sharers as f64 } else { 0.0 };
    LimitShare { part, is_first: before == 0 }
}

fn at_home<'a>(
    probing: &'a [Prober<'a>],
    domain: &'a DomainId,
) -> impl Iterator<Item = &'a Prober<'a>> {
    probing.iter().filter(move |prober| prober.domain == domain)
}

fn crossing<'a>(probing: &'a [Prober<'a>]) -> impl Iterator<Item = &'a Prober<'a>> {
    probing.iter().filter(|prober| prober.crosses)
}

/// The first of some instances in the order of the server `id`.
fn first<'a>(among: impl Iterator<Item = &'a Prober<'a>>, id: &BackendId) -> Option<Incarnation> {
    among.max_by_key(|prober| score(id)(prober)).map(|prober| prober.incarnation)
}

/// The order of the server `id`: those with a higher score come before others.
fn score(id: &BackendId) -> impl Fn(&Prober<'_>) -> u64 {
    let seed = hash64(0, id.0.as_bytes());
    move |prober| hash64(seed, &prober.incarnation.0.to_le_bytes())
}
