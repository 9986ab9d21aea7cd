//! Choice of the instances whose addresses a caller receives.
//!
//! Load pattern: callers spread over many instances. Each instance then handles a small share of
//! the traffic and knows little of the servers' load, and every connection between failure domains
//! adds latency and is billed. A caller therefore receives the smallest number of instances of its
//! own failure domain that can handle the load. All callers of the domain receive the same
//! instances, so that each instance handles a large share of the traffic. Further instances would
//! not help when one is lost, because its callers ask again and receive another address.
//!
//! Load pattern: the instance that handles a domain's load is lost or restarted. Its request rate
//! is lost with it, and the next smaller instance alone would receive all callers of the domain,
//! several times its capacity, until its own rate is known. The load of a domain's callers is
//! therefore kept beyond the lifetime of an instance.
//!
//! Load pattern: some instances lose their paths to the backend servers. Each request that callers
//! send to them has to be forwarded to another instance. They are left out unless that leaves none.
//!
//! Load pattern: all instances start at the same time. Each of them contacts the seeds for the list
//! of members just when callers reconnect, so a seed comes last among equal instances.

use galenapath_protocol::{Micros, hash64};
use std::net::SocketAddr;

/// Hash seed for the order of equal instances.
const INSTANCE_ORDER_SEED: u64 = 0x6164_6472;

/// Configuration of [`addresses_for`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AddressConfig {
    /// Minimum number of instances of the caller's failure domain. A single instance that can
    /// handle the load knows all traffic of the domain; see the module documentation.
    pub min_local: usize,
    /// Minimum number of addresses; instances of other domains are added if the caller's has too
    /// few.
    pub min: usize,
    /// Maximum number of addresses.
    pub max: usize,
    /// While the load is unknown, it is assumed to be the capacity of the caller's failure domain
    /// divided by this number.
    pub unknown_load_divisor: u32,
    /// Load of an instance, as a multiple of its capacity, up to which it is preferred to many
    /// small instances.
    pub max_load_factor: u32,
}

impl Default for AddressConfig {
    fn default() -> Self {
        Self {
            min_local: 1,
            min: 1,
            max: 48,
            unknown_load_divisor: 3,
            max_load_factor: MAX_LOAD_FACTOR,
        }
    }
}

/// Half-life of the peak load of a domain: longer than callers reuse their addresses, and longer
/// than an instance that starts to receive callers needs to report its rate.
const PEAK_HALF_LIFE: Micros = Micros::from_secs(4);

/// Load that an instance can handle temporarily, as a multiple of its capacity. It uses two thirds
/// of the processor.
const MAX_LOAD_FACTOR: u32 = 2;

/// Maximum factor by which the number of instances may grow to keep each within its capacity. With
/// more instances, each would know too little of the servers' load.
const MAX_INSTANCE_FACTOR: usize = 2;

/// Peak rate, in requests per second, of the callers of one failure domain. It decays over time and
/// is kept when the instances that received the requests are lost.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeakLoad {
    peak: f64,
    at: Micros,
}

impl PeakLoad {
    /// Returns the peak updated with `load` requests per second at `now`.
    #[must_use]
    pub fn with_sample(self, now: Micros, load: u32) -> Self {
        Self { peak: f64::from(load).max(f64::from(self.get(now))), at: now }
    }

    /// Returns the decayed peak at `now`.
    pub fn get(self, now: Micros) -> u32 {
        let half_lives = (now - self.at).0 as f64 / PEAK_HALF_LIFE.0 as f64;
        (self.peak * (-half_lives).exp2()) as u32
    }
}

/// An instance whose address callers may receive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReachableInstance<'a> {
    /// Name of the instance.
    pub name: &'a str,
    /// Failure domain that it runs in.
    pub domain: &'a str,
    /// Address for callers.
    pub address: SocketAddr,
    /// Requests per second that callers send to it.
    pub rate: u32,
    /// Requests per second that it can handle without overload; zero if unknown.
    pub capacity: u32,
    /// Whether it has lost its paths to backend servers.
    pub is_cut_off: bool,
    /// Whether starting instances contact it for the list of members.
    pub is_seed: bool,
}

impl ReachableInstance<'_> {
    /// Requests per second that it can take from callers of `domain`. In another domain, the
    /// requests of its own callers are subtracted.
    fn available_capacity(&self, domain: &str) -> u32 {
        if self.domain == domain { self.capacity } else { self.capacity.saturating_sub(self.rate) }
    }
}

/// Returns the addresses for a caller in failure domain `domain`, best first: as many instances of
/// the domain as are needed for `load` requests per second, larger instances first, or instances of
/// other domains if the domain has none. While the load is unknown, some of the domain's instances
/// share it: each of all instances would know too little of the servers' load, and a few could be
/// overloaded.
pub fn addresses_for(
    cfg: &AddressConfig,
    domain: &str,
    reachable: &[ReachableInstance<'_>],
    load: Option<u32>,
) -> Vec<SocketAddr> {
    let is_any_connected = reachable.iter().any(|instance| !instance.is_cut_off);
    let mut ranked: Vec<&ReachableInstance<'_>> =
        reachable.iter().filter(|instance| !instance.is_cut_off || !is_any_connected).collect();
    ranked.sort_by_key(|instance| {
        let order = hash64(INSTANCE_ORDER_SEED, instance.name.as_bytes());
        let capacity = std::cmp::Reverse(instance.available_capacity(domain));
        (instance.domain != domain, capacity, instance.is_seed, order)
    });
    let local_count = ranked.iter().filter(|instance| instance.domain == domain).count();
    let eligible = if local_count > 0 { &ranked[..local_count] } else { &ranked[..] };
    let capacities: Vec<u32> =
        eligible.iter().map(|instance| instance.available_capacity(domain)).collect();
    let load = load.unwrap_or_else(|| {
        capacities[..local_count].iter().sum::<u32>() / cfg.unknown_load_divisor
    });
    let count = instances_needed(&capacities, load, cfg).max(cfg.min).min(cfg.max);
    ranked.iter().take(count).map(|instance| instance.address).collect()
}

/// Returns how many of the first instances are needed for `load` requests per second, at least
/// `cfg.min_local`. Callers choose among their addresses at random, so all instances receive equal
/// shares and the smallest one limits the total: an instance with a tenth of a core next to one
/// with half a core would be overloaded by half of the requests.
///
/// If many small instances are needed to stay within capacity, a few large ones are used beyond
/// theirs instead, up to `cfg.max_load_factor`. Each of many instances would know almost nothing of
/// the servers' load and would get almost none of the budget for load queries.
fn instances_needed(capacities: &[u32], load: u32, cfg: &AddressConfig) -> usize {
    let mut smallest = u32::MAX;
    let total_capacities: Vec<u32> = capacities
        .iter()
        .zip(1_u32..)
        .map(|(capacity, count)| {
            smallest = smallest.min(*capacity);
            smallest.saturating_mul(count)
        })
        .collect();
    let counts = || {
        (cfg.min_local.min(capacities.len()).max(1)..=capacities.len())
            .map(|n| (n, total_capacities[n - 1]))
    };
    let first_sufficient =
        |load_factor: u32| counts().find(|(_, total)| total.saturating_mul(load_factor) >= load);
    match (first_sufficient(1), first_sufficient(cfg.max_load_factor)) {
        (Some((within_capacity, _)), Some((beyond_capacity, _)))
            if within_capacity <= MAX_INSTANCE_FACTOR * beyond_capacity =>
        {
            within_capacity
        }
        (_, Some((beyond_capacity, _))) => beyond_capacity,
        _ => counts().rev().max_by_key(|(_, total)| *total).map_or(0, |(count, _)| count),
    }
}
