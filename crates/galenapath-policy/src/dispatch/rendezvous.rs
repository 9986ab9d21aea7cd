//! Rendezvous hashing of services onto instances.
//!
//! Load pattern: each of sixteen instances handles a sixteenth of a service's traffic. Each then
//! knows so little of the load on a server's few slots that their requests herd onto the same
//! servers. With a few dispatchers per service, each handles a large share of the traffic, so its
//! own requests in flight are most of the load that it needs to know.
//!
//! All instances compute the same result from the same list. The results for two different lists
//! differ only in the instances that are not in both.

use galenapath_protocol::{DomainId, InstanceId, hash64};

const SERVICE_SEED: u64 = 0x6761_6c65_6e61;

/// An entry instance that may dispatch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Name of the instance.
    pub id: InstanceId,
    /// Failure domain that it runs in.
    pub domain: DomainId,
}

/// An instance in the order of a service.
struct Ranked<'a> {
    index: usize,
    domain: &'a DomainId,
    /// Number of instances of the same domain with a higher score.
    rank: usize,
    score: u64,
}

/// Chooses the instances that dispatch for `service`: `count` of them, but at least one per
/// failure domain. Returns indices into `instances`, best first.
///
/// A larger `count` only adds instances. An instance that joins or leaves changes at most two of
/// the chosen instances: itself and, if the domains differ in size, one more.
pub fn dispatchers(service: &str, instances: &[Instance], count: usize) -> Vec<usize> {
    let mut ranked = rank(service, instances);
    let domains = ranked.iter().filter(|r| r.rank == 0).count();
    ranked.sort_by(|a, b| a.rank.cmp(&b.rank).then(b.score.cmp(&a.score)));
    ranked.iter().take(count.max(domains)).map(|r| r.index).collect()
}

fn rank<'a>(service: &str, instances: &'a [Instance]) -> Vec<Ranked<'a>> {
    let seed = hash64(SERVICE_SEED, service.as_bytes());
    let score = |i: &Instance| hash64(seed, i.id.0.as_bytes());
    let mut ranked: Vec<_> = instances
        .iter()
        .enumerate()
        .map(|(index, i)| Ranked { index, domain: &i.domain, rank: 0, score: score(i) })
        .collect();
    ranked.sort_by(|a, b| {
        let by_name = || instances[a.index].id.cmp(&instances[b.index].id);
        a.domain.cmp(b.domain).then(b.score.cmp(&a.score)).then_with(by_name)
    });
    for i in 1..ranked.len() {
        if ranked[i].domain == ranked[i - 1].domain {
            ranked[i].rank = ranked[i - 1].rank + 1;
        }
    }
    ranked
}
