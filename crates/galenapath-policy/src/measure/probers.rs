//! Assigns the probing of each backend server to one instance.
//!
//! Load pattern: hundreds of instances of which only a few serve callers, and a start of the whole
//! fleet, at which no instance knows which ones do. Each server is probed by one serving instance
//! of its failure domain, which broadcasts the result: cross-domain probes are billed, and a change
//! of the probing instance opens a new connection. If every instance stood in for those that it
//! does not know yet, a start of the fleet would make each of them probe the servers of all
//! domains.
//!
//! A server of a domain without probing instances is probed only by instances that send across
//! domains.

use galenapath_protocol::{BackendId, DomainId, Incarnation, hash64};

/// An instance that probes: one that serves callers, or any instance while none does.
#[derive(Clone, Debug)]
pub struct Prober<'a> {
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: &'a DomainId,
    /// Whether it sends a significant part of its requests to other failure domains.
    pub is_cross_domain: bool,
}

/// Returns which of the probing instances probes the server `id` of failure domain `domain`.
pub fn probing_instance(
    probing: &[Prober<'_>],
    domain: &DomainId,
    id: &BackendId,
) -> Option<Incarnation> {
    highest_score(local(probing, domain), id).or_else(|| highest_score(cross_domain(probing), id))
}

/// Returns which of the probing instances warms the server `id` of failure domain `domain` while it
/// is cold: the one that probes it, or any of them if none does. No instance counts as sending
/// across domains until one is allowed to send to the server.
pub fn warming_instance(
    probing: &[Prober<'_>],
    domain: &DomainId,
    id: &BackendId,
) -> Option<Incarnation> {
    probing_instance(probing, domain, id).or_else(|| highest_score(probing.iter(), id))
}

/// One instance's share of a server's rate limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitShare {
    /// Fraction of the limit, from 0 to 1.
    pub part: f64,
    /// Whether it repeats the server's statement to the other instances.
    pub is_broadcaster: bool,
}

impl LimitShare {
    /// No share.
    pub const NONE: Self = Self { part: 0.0, is_broadcaster: false };
}

/// Returns the share of the instance `own` in the limit of `per_second` requests per second that
/// the server `id` of failure domain `domain` stated.
///
/// The limit is split equally among instances that may probe or warm the server, as many of them as
/// get one request per second each. Shares in proportion to the load of the instances would not add
/// up to one while the rates that they know of each other are outdated.
pub fn limit_share(
    probing: &[Prober<'_>],
    domain: &DomainId,
    id: &BackendId,
    own: Incarnation,
    per_second: f64,
) -> LimitShare {
    let mut candidates: Vec<&Prober<'_>> = local(probing, domain).collect();
    if candidates.is_empty() {
        candidates = cross_domain(probing).collect();
    }
    if candidates.is_empty() {
        candidates = probing.iter().collect();
    }
    let score = score(id);
    let Some(own) = candidates.iter().find(|prober| prober.incarnation == own) else {
        return LimitShare::NONE;
    };
    let ahead = candidates.iter().filter(|prober| score(prober) > score(own)).count();
    let sharers = (per_second as usize).clamp(1, candidates.len());
    let part = if ahead < sharers { 1.0 / sharers as f64 } else { 0.0 };
    LimitShare { part, is_broadcaster: ahead == 0 }
}

fn local<'a>(
    probing: &'a [Prober<'a>],
    domain: &'a DomainId,
) -> impl Iterator<Item = &'a Prober<'a>> {
    probing.iter().filter(move |prober| prober.domain == domain)
}

fn cross_domain<'a>(probing: &'a [Prober<'a>]) -> impl Iterator<Item = &'a Prober<'a>> {
    probing.iter().filter(|prober| prober.is_cross_domain)
}

/// Returns the instance with the highest score for the server `id`.
fn highest_score<'a>(
    candidates: impl Iterator<Item = &'a Prober<'a>>,
    id: &BackendId,
) -> Option<Incarnation> {
    candidates.max_by_key(|prober| score(id)(prober)).map(|prober| prober.incarnation)
}

/// Rendezvous score of an instance for the server `id`; the highest goes first.
fn score(id: &BackendId) -> impl Fn(&Prober<'_>) -> u64 {
    let seed = hash64(0, id.0.as_bytes());
    move |prober| hash64(seed, &prober.incarnation.0.to_le_bytes())
}
