//! Which instances a caller is told to connect to.
//!
//! Load pattern: callers spread over many instances, each of which then sees a sliver of the
//! traffic and knows little of the servers, while every connection between failure domains costs
//! time and is billed. A caller is given a few instances of its own failure domain, the same for
//! all callers there, so that each of them sees much of the traffic; more than one, so that the
//! loss of one costs its callers one attempt and no more.

use galenapath_protocol::hash64;
use std::net::SocketAddr;

/// Seed of the order of instances.
const ORDER_SEED: u64 = 0x6164_6472;

/// Thresholds of the address answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerConfig {
    /// Instances of the caller's own failure domain in an answer.
    pub home: usize,
    /// Least number of instances in an answer; others fill it up where the own domain has too few.
    pub least: usize,
}

impl Default for AnswerConfig {
    fn default() -> Self {
        Self { home: 2, least: 2 }
    }
}

/// An instance that callers may be sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reachable<'a> {
    /// Its name.
    pub name: &'a str,
    /// Failure domain that it runs in.
    pub domain: &'a str,
    /// Where callers reach it.
    pub address: SocketAddr,
}

/// The addresses for a caller in failure domain `domain`, best first.
pub fn addresses_for(
    cfg: &AnswerConfig,
    domain: &str,
    reachable: &[Reachable<'_>],
) -> Vec<SocketAddr> {
    let mut ranked: Vec<&Reachable<'_>> = reachable.iter().collect();
    ranked.sort_by_key(|instance| {
        let is_away = instance.domain != domain;
        (is_away, hash64(ORDER_SEED, instance.name.as_bytes()))
    });
    let home = ranked.iter().filter(|instance| instance.domain == domain).count();
    let count = home.min(cfg.home).max(cfg.least);
    ranked.iter().take(count).map(|instance| instance.address).collect()
}
