//! The crash suspects that one instance knows.

use super::assessment::{Assessment, Suspicion, assess};
use super::crash::Crash;
use super::report::SuspectReport;
use crate::Fingerprint;
use galenapath_protocol::Micros;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Limits of [`Suspects`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SuspectConfig {
    /// Maximum number of crashes kept. The oldest are dropped first.
    pub max_crashes: usize,
    /// Maximum number of requests kept for one crash.
    pub max_members: usize,
    /// Maximum number of answered requests kept, and of requests known by other evidence than their
    /// crashes.
    pub max_answered: usize,
    /// How long a crash or an answer is taken into account.
    pub lifetime: Micros,
    /// How long requests are rejected that were in as many crashes, so that the cause is unknown. Then
    /// they are tried in turn, this time apart: each trial tells whether that one is the cause.
    pub tied_trial_interval: Micros,
    /// Retry-after time for a caller while another isolated run of the same request is in progress.
    pub isolated_run_retry_after: Micros,
}

impl Default for SuspectConfig {
    fn default() -> Self {
        Self {
            max_crashes: 32,
            max_members: 64,
            max_answered: 1_024,
            lifetime: Micros::from_secs(600),
            tied_trial_interval: Micros::from_secs(20),
            isolated_run_retry_after: Micros::from_secs(1),
        }
    }
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SuspectVerdict {
    /// The request is not a crash suspect.
    Clear,
    /// The request was in flight in a crash. Run it on a backend server without other requests in
    /// flight.
    RunIsolated,
    /// The request crashes backend servers or cannot be told apart from one that does, or an isolated
    /// run of it is in progress. Do not run it.
    Reject {
        /// Time after which the request is checked again.
        retry_after: Micros,
    },
}

/// Requests that may crash backend servers, as observed by this instance and its peers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Suspects {
    cfg: SuspectConfig,
    /// Invariant: in the order of their times, oldest first, and then of their backend servers.
    crashes: VecDeque<Crash>,
    /// Invariant: the assessment of each member of `crashes`.
    assessments: BTreeMap<Fingerprint, Assessment>,
    /// Requests known to crash backend servers by other evidence than `crashes`, with the time of
    /// their last known crash: peers reported them, or their crashes have been dropped. Newer
    /// crashes of other requests, such as the loss of a rack, do not make them run again.
    verdicts: BTreeMap<Fingerprint, Micros>,
    /// Time of the last complete answer of each request that was a suspect, or time up to which it is
    /// known to be common. That clears the request of all crashes up to that time.
    answered: BTreeMap<Fingerprint, Micros>,
    /// Suspects with an isolated run in progress at this instance.
    isolated_runs: BTreeSet<Fingerprint>,
}

impl Suspects {
    /// Creates an empty set.
    pub fn new(cfg: SuspectConfig) -> Self {
        Self { cfg, ..Self::default() }
    }

    /// Decides whether and how the request `fp` may run.
    pub fn check(&self, now: Micros, fp: Fingerprint) -> SuspectVerdict {
        if let Some(until) = self.rejected_until(now, fp) {
            return SuspectVerdict::Reject { retry_after: until - now };
        }
        let known = self.assessments.get(&fp).filter(|s| self.is_within_lifetime(now, s.last));
        if known.is_none_or(|known| known.suspicion == Suspicion::Explained) {
            return SuspectVerdict::Clear;
        }
        if self.isolated_runs.contains(&fp) {
            return SuspectVerdict::Reject { retry_after: self.cfg.isolated_run_retry_after };
        }
        SuspectVerdict::RunIsolated
    }

    /// Whether the request is known to crash backend servers, or cannot be told apart from one that
    /// does.
    pub fn is_rejected(&self, now: Micros, fp: Fingerprint) -> bool {
        self.rejected_until(now, fp).is_some()
    }

    fn rejected_until(&self, now: Micros, fp: Fingerprint) -> Option<Micros> {
        if let Some(last) = self.confirmed_at(now, fp) {
            return Some(last + self.cfg.lifetime);
        }
        let known = self.assessments.get(&fp)?;
        let Suspicion::Tied { rank } = known.suspicion else { return None };
        let interval = self.cfg.tied_trial_interval;
        let quiet = Micros(interval.0.saturating_mul(u64::from(rank) + 1));
        let until = known.last + quiet.min(self.cfg.lifetime);
        (now < until).then_some(until)
    }

    /// Whether the request is known to crash backend servers.
    pub fn is_confirmed(&self, now: Micros, fp: Fingerprint) -> bool {
        self.confirmed_at(now, fp).is_some()
    }

    /// The requests known to crash backend servers, each with the time of its last known crash.
    pub fn confirmed(&self, now: Micros) -> impl Iterator<Item = (Fingerprint, Micros)> {
        self.known().into_iter().filter_map(move |fp| Some((fp, self.confirmed_at(now, fp)?)))
    }

    /// Number of requests that are rejected.
    pub fn rejected_count(&self, now: Micros) -> usize {
        self.known().into_iter().filter(|fp| self.is_rejected(now, *fp)).count()
    }

    fn known(&self) -> BTreeSet<Fingerprint> {
        self.assessments.keys().chain(self.verdicts.keys()).copied().collect()
    }

    /// Records that a peer knows the request to crash backend servers, the last one at `last`.
    /// Returns whether this was not known before.
    pub fn record_verdict(&mut self, now: Micros, fp: Fingerprint, last: Micros) -> bool {
        let is_answered = self.answered.get(&fp).is_some_and(|answered| *answered >= last);
        if is_answered || !self.is_within_lifetime(now, last) {
            return false;
        }
        let is_new = !self.is_confirmed(now, fp);
        self.keep_verdict(fp, last);
        is_new
    }

    /// Time of the last known crash of a request that is known to crash backend servers.
    fn confirmed_at(&self, now: Micros, fp: Fingerprint) -> Option<Micros> {
        let assessed = self.assessments.get(&fp);
        let assessed = assessed.filter(|known| known.suspicion == Suspicion::Confirmed);
        let last = assessed.map(|known| known.last).max(self.verdicts.get(&fp).copied())?;
        self.is_within_lifetime(now, last).then_some(last)
    }

    fn keep_verdict(&mut self, fp: Fingerprint, last: Micros) {
        let known = self.verdicts.entry(fp).or_insert(last);
        *known = last.max(*known);
        drop_oldest(&mut self.verdicts, self.cfg.max_answered);
    }

    /// Begins an isolated run of a suspect. Until it ends, the same request is rejected. Peers are
    /// not notified; the specification bounds the crashes that this can cause.
    pub fn begin_isolated_run(&mut self, fp: Fingerprint) {
        self.isolated_runs.insert(fp);
    }

    /// Ends an isolated run, with any result.
    pub fn end_isolated_run(&mut self, fp: Fingerprint) {
        self.isolated_runs.remove(&fp);
    }

    /// Records a crash of a backend server: its connections broke with these requests in flight.
    pub fn record_crash(&mut self, now: Micros, backend: u64, in_flight: &[Fingerprint]) {
        self.add(now, backend, now, in_flight);
    }

    /// Records that a request was answered completely, so it did not crash the server that ran it.
    /// Returns whether it was a suspect.
    pub fn record_answer(&mut self, now: Micros, fp: Fingerprint) -> bool {
        let is_suspect = self.assessments.contains_key(&fp) || self.verdicts.contains_key(&fp);
        if is_suspect {
            self.clear(now, fp, now);
        }
        is_suspect
    }

    /// Records that the request caused no crash up to `until`, because servers answer it all the time.
    pub fn record_common(&mut self, now: Micros, fp: Fingerprint, until: Micros) {
        self.clear(now, fp, until);
    }

    /// Time up to which answers have shown that a request that was a suspect crashes no server.
    pub fn answered_at(&self, fp: Fingerprint) -> Option<Micros> {
        self.answered.get(&fp).copied()
    }

    /// Merges the reports of a peer. Merging is idempotent and does not depend on order. Returns the
    /// backend servers of crashes that have just happened and were not known.
    pub fn merge(&mut self, now: Micros, reports: &[SuspectReport]) -> Vec<u64> {
        let mut new = Vec::new();
        for report in reports {
            match report {
                SuspectReport::Answered { fp, age_ms } => {
                    self.clear(now, *fp, time_at_age(now, *age_ms))
                }
                SuspectReport::Crash { backend, age_ms, members } => {
                    let at = time_at_age(now, *age_ms);
                    let is_known = self.crashes.iter().any(|crash| crash.is_same(*backend, at));
                    if !is_known && Crash::is_recent(now, at) {
                        new.push(*backend);
                    }
                    self.add(now, *backend, at, members);
                }
            }
        }
        new
    }

    /// All crashes and answers that this instance knows, for its peers.
    pub fn export(&self, now: Micros) -> Vec<SuspectReport> {
        let crashes = self.live_crashes(now).map(|crash| SuspectReport::Crash {
            backend: crash.backend,
            age_ms: age_ms(now, crash.at),
            members: crash.members.clone(),
        });
        let fresh = self.answered.iter().filter(|(_, at)| self.is_within_lifetime(now, **at));
        let answered =
            fresh.map(|(fp, at)| SuspectReport::Answered { fp: *fp, age_ms: age_ms(now, *at) });
        crashes.chain(answered).collect()
    }

    fn add(&mut self, now: Micros, backend: u64, at: Micros, in_flight: &[Fingerprint]) {
        self.expire(now);
        if in_flight.is_empty() || !self.is_within_lifetime(now, at) {
            return;
        }
        let found = self.crashes.iter().position(|crash| crash.is_same(backend, at));
        let index = found.unwrap_or_else(|| self.insert_crash(backend, at));
        let max = self.cfg.max_members;
        let mut is_changed = false;
        for fp in in_flight {
            if self.answered.get(fp).is_none_or(|answered| *answered < at) {
                is_changed |= self.crashes[index].add(*fp, max);
            }
        }
        // Reports of a crash are repeated.
        if is_changed {
            self.assessments = assess(&self.crashes);
        }
        self.drop_oldest_crashes(
            now,
            self.crashes.len().saturating_sub(self.cfg.max_crashes.max(1)),
        );
    }

    /// Drops the `count` oldest crashes, but not what they showed.
    fn drop_oldest_crashes(&mut self, now: Micros, count: usize) {
        if count == 0 {
            return;
        }
        let dropped: Vec<Crash> = self.crashes.drain(..count).collect();
        for fp in dropped.into_iter().flat_map(|crash| crash.members) {
            if let Some(last) = self.confirmed_at(now, fp) {
                self.keep_verdict(fp, last);
            }
        }
        self.assessments = assess(&self.crashes);
    }

    fn insert_crash(&mut self, backend: u64, at: Micros) -> usize {
        // The same order on all instances, whoever reports first.
        let index = self.crashes.partition_point(|crash| (crash.at, crash.backend) < (at, backend));
        self.crashes.insert(index, Crash { backend, at, members: Vec::new() });
        index
    }

    fn clear(&mut self, now: Micros, fp: Fingerprint, at: Micros) {
        self.expire(now);
        if !self.is_within_lifetime(now, at) {
            return;
        }
        for crash in self.crashes.iter_mut().filter(|crash| crash.at <= at) {
            crash.clear(fp);
        }
        self.assessments = assess(&self.crashes);
        if self.verdicts.get(&fp).is_some_and(|last| *last <= at) {
            self.verdicts.remove(&fp);
        }
        let last = self.answered.entry(fp).or_insert(at);
        *last = at.max(*last);
        drop_oldest(&mut self.answered, self.cfg.max_answered);
    }

    fn expire(&mut self, now: Micros) {
        let lifetime = self.cfg.lifetime;
        self.drop_oldest_crashes(
            now,
            self.crashes.partition_point(|crash| crash.at + lifetime <= now),
        );
        self.answered.retain(|_, at| *at + lifetime > now);
        self.verdicts.retain(|_, last| *last + lifetime > now);
    }

    fn live_crashes(&self, now: Micros) -> impl Iterator<Item = &Crash> {
        self.crashes.iter().filter(move |crash| self.is_within_lifetime(now, crash.at))
    }

    fn is_within_lifetime(&self, now: Micros, at: Micros) -> bool {
        at + self.cfg.lifetime > now
    }
}

/// Removes the entry with the earliest time if there are more than `max`.
fn drop_oldest(times: &mut BTreeMap<Fingerprint, Micros>, max: usize) {
    if times.len() > max {
        let oldest = times.iter().min_by_key(|(_, at)| **at).map(|(fp, _)| *fp);
        oldest.map(|fp| times.remove(&fp));
    }
}

fn time_at_age(now: Micros, age_ms: u64) -> Micros {
    now - Micros(age_ms.saturating_mul(1_000))
}

fn age_ms(now: Micros, at: Micros) -> u64 {
    (now - at).0 / 1_000
}
