//! Helpers that create a balancer and drive it through requests, answers and reports.

use galenapath_policy::{
    BackendHandle, BackendSpec, BackendState, Balancer, BalancerConfig, Outcome,
};
use galenapath_protocol::{BackendId, DomainId, LoadReport, Micros};

pub const MS: u64 = 1_000;
/// Latency of a healthy local server.
pub const TYPICAL_LATENCY: Micros = Micros(5 * MS);

/// Extra round trip to a remote server.
pub const CROSS_DOMAIN_DELAY: Micros = Micros(3 * MS);

pub fn spec(name: &str, domain: &str) -> BackendSpec {
    BackendSpec {
        id: BackendId(name.into()),
        domain: DomainId(domain.into()),
        state: BackendState::Live,
        connection_share: 20,
    }
}

/// Returns `local` servers h0, h1, ... in the balancer's domain and `remote` servers f0, f1, ... in
/// another.
pub fn specs(local: usize, remote: usize) -> Vec<BackendSpec> {
    let local = (0..local).map(|i| spec(&format!("h{i}"), "here"));
    local.chain((0..remote).map(|i| spec(&format!("f{i}"), "there"))).collect()
}

/// Returns a balancer that has had enough answers at the typical latency to detect late requests.
pub fn warmed_up(local: usize, remote: usize) -> (Balancer, Micros) {
    let mut balancer = Balancer::new(
        BalancerConfig { dispatchers: 3, ..BalancerConfig::default() },
        DomainId("here".into()),
        7,
    );
    balancer.set_backends(Micros::ZERO, &specs(local, remote));
    let mut now = Micros::ZERO;
    for _ in 0..40 {
        now = answer_each(&mut balancer, now);
    }
    (balancer, now)
}

/// Sends one request at a time to each server. Each is answered after the typical latency, plus
/// `CROSS_DOMAIN_DELAY` for a remote server. Returns the time of the last answer.
pub fn answer_each(balancer: &mut Balancer, mut now: Micros) -> Micros {
    for handle in handles(balancer, now) {
        let is_remote = balancer.backend(handle).is_some_and(|id| id.0.starts_with('f'));
        let latency =
            if is_remote { TYPICAL_LATENCY + CROSS_DOMAIN_DELAY } else { TYPICAL_LATENCY };
        balancer.start(now, handle);
        now = now + latency;
        balancer.finish(now, handle, Outcome::Answered, latency);
    }
    now
}

/// Returns the handles of all servers that can be chosen.
pub fn handles(balancer: &mut Balancer, now: Micros) -> Vec<BackendHandle> {
    let mut found = Vec::new();
    while let Some(handle) = balancer.choose(now, &found) {
        found.push(handle);
    }
    found
}

pub fn handle(balancer: &mut Balancer, now: Micros, name: &str) -> BackendHandle {
    let all = handles(balancer, now);
    let is_named = |s: &BackendHandle| balancer.backend(*s).is_some_and(|id| *id.0 == *name);
    all.into_iter().find(is_named).unwrap_or_else(|| panic!("no open server {name}"))
}

/// Returns how many of `rounds` choices fall on the server.
pub fn count_choices(
    balancer: &mut Balancer,
    now: Micros,
    handle: BackendHandle,
    rounds: usize,
) -> usize {
    let mut count = 0;
    for _ in 0..rounds {
        count += usize::from(balancer.choose(now, &[]) == Some(handle));
    }
    count
}

pub fn report(in_flight: u32, waiting: u32) -> LoadReport {
    LoadReport { in_flight, waiting, slots: 6, leaving: false, pace: 0 }
}
