//! The suspects of one instance.

use super::crash::Crash;
use super::standing::{Blame, Standing, standings};
use super::wire::SuspectReport;
use crate::Fingerprint;
use galenapath_protocol::Micros;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Limits of the suspects.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SuspectConfig {
    /// Crashes remembered; the oldest goes first.
    pub max_crashes: usize,
    /// Requests remembered for one crash.
    pub max_members: usize,
    /// Answered requests remembered.
    pub max_answered: usize,
    /// Time for which a crash or an answer counts.
    pub lifetime: Micros,
    /// What a caller is told to wait while another trial of the same request runs.
    pub trial_retry_after: Micros,
}

impl Default for SuspectConfig {
    fn default() -> Self {
        Self {
            max_crashes: 32,
            max_members: 64,
            max_answered: 1_024,
            lifetime: Micros::from_secs(600),
            trial_retry_after: Micros::from_secs(1),
        }
    }
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SuspectVerdict {
    /// Nothing is held against it.
    Clear,
    /// It was in flight in a crash: run it on a backend server with nothing else in flight.
    RunIsolated,
    /// It crashes backend servers, or a trial of it is running: not run.
    Reject {
        /// Span after which it is looked at again.
        retry_after: Micros,
    },
}

/// Requests that may crash backend servers. Union of what this instance and its peers saw.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Suspects {
    cfg: SuspectConfig,
    /// Oldest first.
    crashes: VecDeque<Crash>,
    /// Invariant: what `crashes` say about each of their members.
    standings: BTreeMap<Fingerprint, Standing>,
    /// Last complete answer of requests that were suspects. It speaks for them in every crash up
    /// to that time.
    answered: BTreeMap<Fingerprint, Micros>,
    /// Suspects that run alone through this instance now.
    trials: BTreeSet<Fingerprint>,
}

impl Suspects {
    /// No suspects.
    pub fn new(cfg: SuspectConfig) -> Self {
        Self { cfg, ..Self::default() }
    }

    /// What to do with the request `fp`.
    pub fn check(&self, now: Micros, fp: Fingerprint) -> SuspectVerdict {
        let Some(standing) = self.standings.get(&fp).filter(|s| self.fresh(now, s.last)) else {
            return SuspectVerdict::Clear;
        };
        match standing.blame {
            Blame::Bystander => return SuspectVerdict::Clear,
            Blame::Culprit => {
                let retry_after = standing.last + self.cfg.lifetime - now;
                return SuspectVerdict::Reject { retry_after };
            }
            Blame::Suspect => {}
        }
        if self.trials.contains(&fp) {
            return SuspectVerdict::Reject { retry_after: self.cfg.trial_retry_after };
        }
        SuspectVerdict::RunIsolated
    }

    /// A suspect starts to run alone; a second one of the same request waits for its end. Peers are
    /// not told: see the bound in the specification.
    pub fn begin_isolated_run(&mut self, fp: Fingerprint) {
        self.trials.insert(fp);
    }

    /// The trial is over, however it ended.
    pub fn end_isolated_run(&mut self, fp: Fingerprint) {
        self.trials.remove(&fp);
    }

    /// A backend server crashed: its connections broke with these requests in flight.
    pub fn record_crash(&mut self, now: Micros, backend: u64, in_flight: &[Fingerprint]) {
        self.add(now, backend, now, in_flight);
    }

    /// A request was answered completely, so it does not crash the server that runs it.
    pub fn record_answer(&mut self, now: Micros, fp: Fingerprint) {
        if self.standings.contains_key(&fp) {
            self.clear(now, fp, now);
        }
    }

    /// Takes in what a peer knows. Merging is idempotent and does not depend on order.
    pub fn merge(&mut self, now: Micros, facts: &[SuspectReport]) {
        for fact in facts {
            match fact {
                SuspectReport::Answered { fp, age_ms } => self.clear(now, *fp, then(now, *age_ms)),
                SuspectReport::Crash { backend, age_ms, members } => {
                    self.add(now, *backend, then(now, *age_ms), members);
                }
            }
        }
    }

    /// What this instance knows, for its peers.
    pub fn export(&self, now: Micros) -> Vec<SuspectReport> {
        let crashes = self.live(now).map(|crash| SuspectReport::Crash {
            backend: crash.backend,
            age_ms: age_ms(now, crash.at),
            members: crash.members.clone(),
        });
        let fresh = self.answered.iter().filter(|(_, at)| self.fresh(now, **at));
        let answered =
            fresh.map(|(fp, at)| SuspectReport::Answered { fp: *fp, age_ms: age_ms(now, *at) });
        crashes.chain(answered).collect()
    }

    fn add(&mut self, now: Micros, backend: u64, at: Micros, in_flight: &[Fingerprint]) {
        self.expire(now);
        if in_flight.is_empty() || !self.fresh(now, at) {
            return;
        }
        let found = self.crashes.iter().position(|crash| crash.is(backend, at));
        let place = found.unwrap_or_else(|| self.insert_crash(backend, at));
        let max = self.cfg.max_members;
        for fp in in_flight {
            if self.answered.get(fp).is_none_or(|answered| *answered < at) {
                self.crashes[place].add(*fp, max);
            }
        }
        while self.crashes.len() > self.cfg.max_crashes.max(1) {
            self.crashes.pop_front();
        }
        self.standings = standings(self.crashes.iter());
    }

    fn insert_crash(&mut self, backend: u64, at: Micros) -> usize {
        let place = self.crashes.partition_point(|crash| crash.at <= at);
        self.crashes.insert(place, Crash { backend, at, members: Vec::new() });
        place
    }

    fn clear(&mut self, now: Micros, fp: Fingerprint, at: Micros) {
        self.expire(now);
        if !self.fresh(now, at) {
            return;
        }
        for crash in self.crashes.iter_mut().filter(|crash| crash.at <= at) {
            crash.clear(fp);
        }
        self.standings = standings(self.crashes.iter());
        let last = self.answered.entry(fp).or_insert(at);
        *last = at.max(*last);
        if self.answered.len() > self.cfg.max_answered {
            let oldest = self.answered.iter().min_by_key(|(_, at)| **at).map(|(fp, _)| *fp);
            oldest.map(|fp| self.answered.remove(&fp));
        }
    }

    fn expire(&mut self, now: Micros) {
        let lifetime = self.cfg.lifetime;
        self.crashes.retain(|crash| crash.at + lifetime > now);
        self.answered.retain(|_, at| *at + lifetime > now);
    }

    fn live(&self, now: Micros) -> impl Iterator<Item = &Crash> {
        self.crashes.iter().filter(move |crash| self.fresh(now, crash.at))
    }

    fn fresh(&self, now: Micros, at: Micros) -> bool {
        at + self.cfg.lifetime > now
    }
}

fn then(now: Micros, age_ms: u64) -> Micros {
    now - Micros(age_ms.saturating_mul(1_000))
}

fn age_ms(now: Micros, at: Micros) -> u64 {
    (now - at).0 / 1_000
}
