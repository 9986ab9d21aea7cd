//! Which instances a caller is told to connect to.
//!
//! Load pattern: callers spread over many instances, each of which then sees a sliver of the
//! traffic and knows little of the servers, while every connection between failure domains costs
//! time and is billed. A caller is given as few instances of its own failure domain as carry the load,
//! the same for all callers there, so that each of them sees much of the traffic. With at least two in
//! each of three domains instead of one, servers of three slots at 1.5 times the usual load answered
//! 82.3% of the requests in target instead of 86.8%, and no day with lost or restarted instances did
//! better: a caller whose instance is lost asks again and is told another.

use galenapath_protocol::hash64;
use std::net::SocketAddr;

/// Seed of the order of instances.
const ORDER_SEED: u64 = 0x6164_6472;

/// Thresholds of the address answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerConfig {
    /// Least number of instances of the caller's own failure domain in an answer. One that carries the
    /// load knows all that the domain sends; see above.
    pub home: usize,
    /// Least number of instances in an answer; others fill it up where the own domain has too few.
    pub least: usize,
    /// Most instances in an answer.
    pub most: usize,
    /// Of the capacity of the own failure domain, one part in so many is named while the load is not
    /// known.
    pub unknown_part: u32,
}

impl Default for AnswerConfig {
    fn default() -> Self {
        Self { home: 1, least: 1, most: 48, unknown_part: 3 }
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
    /// Requests a second that callers send it.
    pub rate: u32,
    /// Requests a second that it can take with ease; zero where that is not known.
    pub capacity: u32,
}

/// The addresses for a caller in failure domain `domain`, best first: as many instances of the
/// domain as it takes to carry what its instances are sent, larger ones first. `is_rate_known` says
/// whether the rates have been counted for long enough; before that, a part of the domain's
/// instances share what comes: all of them would know too little of each other, few could drown.
pub fn addresses_for(
    cfg: &AnswerConfig,
    domain: &str,
    reachable: &[Reachable<'_>],
    is_rate_known: bool,
) -> Vec<SocketAddr> {
    let mut ranked: Vec<&Reachable<'_>> = reachable.iter().collect();
    ranked.sort_by_key(|instance| {
        let order = hash64(ORDER_SEED, instance.name.as_bytes());
        (instance.domain != domain, std::cmp::Reverse(instance.capacity), order)
    });
    let home = ranked.iter().filter(|instance| instance.domain == domain).count();
    let at_home = &ranked[..home];
    let load: u32 = if is_rate_known {
        at_home.iter().map(|instance| instance.rate).sum()
    } else {
        at_home.iter().map(|instance| instance.capacity).sum::<u32>() / cfg.unknown_part
    };
    let count = carriers(at_home, load, cfg.home).max(cfg.least).min(cfg.most);
    ranked.iter().take(count).map(|instance| instance.address).collect()
}

/// How many of the first instances, at least `least`, carry `load` requests a second. Callers choose
/// among those that they are told by chance, so that all get the same part, also the smallest: a
/// tenth of a core beside half a core would drown in half of the requests.
fn carriers(ranked: &[&Reachable<'_>], load: u32, least: usize) -> usize {
    let carried = |count: usize| {
        let smallest = ranked.get(count.wrapping_sub(1)).map_or(0, |instance| instance.capacity);
        smallest.saturating_mul(u32::try_from(count).unwrap_or(u32::MAX))
    };
    let counts = || least.min(ranked.len())..=ranked.len();
    let enough = counts().find(|count| carried(*count) >= load);
    enough.or_else(|| counts().rev().max_by_key(|count| carried(*count))).unwrap_or(0)
}
