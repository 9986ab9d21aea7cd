//! A balancer with servers that answer as told.

use galenapath_policy::{BackendSpec, BackendState, Balancer, BalancerConfig, Outcome, Slot};
use galenapath_protocol::{BackendId, DomainId, LoadReport, Micros};

pub const MS: u64 = 1_000;
/// Latency of a healthy server in these tests.
pub const USUAL: Micros = Micros(5 * MS);

/// Extra round trip to a foreign server.
pub const CROSSING: Micros = Micros(3 * MS);

pub fn spec(name: &str, domain: &str) -> BackendSpec {
    BackendSpec {
        id: BackendId(name.into()),
        domain: DomainId(domain.into()),
        state: BackendState::Live,
        connection_share: 20,
    }
}

/// `home` servers h0.. in the balancer's domain and `foreign` servers f0.. in another.
pub fn specs(home: usize, foreign: usize) -> Vec<BackendSpec> {
    let home = (0..home).map(|i| spec(&format!("h{i}"), "here"));
    home.chain((0..foreign).map(|i| spec(&format!("f{i}"), "there"))).collect()
}

/// A balancer that knows its servers and has seen enough usual answers to judge.
pub fn warm(home: usize, foreign: usize) -> (Balancer, Micros) {
    let mut balancer = Balancer::new(
        BalancerConfig { dispatchers: 3, ..BalancerConfig::default() },
        DomainId("here".into()),
        7,
    );
    balancer.set_backends(Micros::ZERO, &specs(home, foreign));
    let mut now = Micros::ZERO;
    for _ in 0..40 {
        now = answer_all(&mut balancer, now);
    }
    (balancer, now)
}

/// One request after the other to every server, each answered in the usual time, which is longer
/// by `CROSSING` for foreign servers.
pub fn answer_all(balancer: &mut Balancer, mut now: Micros) -> Micros {
    for slot in slots(balancer, now) {
        let is_foreign = balancer.backend(slot).is_some_and(|id| id.0.starts_with('f'));
        let latency = if is_foreign { USUAL + CROSSING } else { USUAL };
        balancer.start(now, slot);
        now = now + latency;
        balancer.finish(now, slot, Outcome::Answered, latency);
    }
    now
}

/// Handles of all servers that can be chosen.
pub fn slots(balancer: &mut Balancer, now: Micros) -> Vec<Slot> {
    let mut known = Vec::new();
    while let Some(slot) = balancer.choose(now, &known) {
        known.push(slot);
    }
    known
}

pub fn slot(balancer: &mut Balancer, now: Micros, name: &str) -> Slot {
    let all = slots(balancer, now);
    let is_named = |s: &Slot| balancer.backend(*s).is_some_and(|id| *id.0 == *name);
    all.into_iter().find(is_named).unwrap_or_else(|| panic!("no open server {name}"))
}

/// How many of `rounds` choices, each of which starts and ends a request, fall on the server.
pub fn chosen(balancer: &mut Balancer, now: Micros, slot: Slot, rounds: usize) -> usize {
    let mut count = 0;
    for _ in 0..rounds {
        count += usize::from(balancer.choose(now, &[]) == Some(slot));
    }
    count
}

pub fn report(in_flight: u32, waiting: u32) -> LoadReport {
    LoadReport { in_flight, waiting, slots: 6, leaving: false, pace: 0 }
}
