//! One workspace's quota as one instance knows it.

use super::contention::Contention;
use super::demand::{Demand, TIME_CONSTANT_SECS};
use super::ledger::{UsageNote, UsageReport};
use super::own_usage::{Audience, OwnUsage, ReportNeed};
use super::peer_usage::{DEMAND_EXPIRY, PeerUsage, PeerUsages, RECENT_REPORT};
use galenapath_protocol::{Incarnation, Micros, Quota};

/// Part of the burst below which the quota counts as contended.
const CONTENDED_BELOW: f64 = 0.5;

/// Part of what is left that one instance may grant between two reports while the quota is not
/// contended.
const PART_WHILE_AMPLE: f64 = 0.5;

/// Seconds of the rate in the account of an instance that has just started and does not know yet
/// what others have granted.
const INITIAL_SECS: f64 = 0.25;

/// Time after the start of an instance within which it receives what others have granted, and its
/// account refills if there are none.
const SETTLING_TIME: Micros = Micros::from_secs(1);

/// Time after which an instance that is cut off knows that.
const CUT_OFF_DETECTION: Micros = Micros::from_secs(1);

/// Seconds of refill by which the level that a peer states may lag behind: the delay of a datagram
/// and of its handling. Without it, instances that adopt each other's lower level would lose the
/// refill of each such delay.
const LEVEL_DELAY_SECS: f64 = 0.05;

/// Resolution of a level that a peer states, in requests.
const LEVEL_RESOLUTION: f64 = 0.1;

/// Seconds of the rate, beside the burst, that instances which did not reach each other are charged
/// with at most: about the time after which each knows that it is cut off.
const MAX_DEBT_SECS: f64 = 3.0;

/// Bounds of the time after which a rejected caller may come back.
const MIN_RETRY_AFTER: Micros = Micros::from_millis(20);
const MAX_RETRY_AFTER: Micros = Micros::from_secs(30);

/// What an account needs to know about the other instances.
#[derive(Clone, Copy, Debug)]
pub(super) struct Surroundings {
    /// Instances that serve callers, this one included.
    pub(super) serving: f64,
    /// Part of the fleet's load on instances that reach this one, itself included; 1 if all
    /// do.
    pub(super) reachable_part: f64,
}

impl Surroundings {
    /// Whether no other instance is known to serve callers.
    fn is_alone(self) -> bool {
        self.serving <= 1.0
    }

    /// The part of one of the instances that serve callers.
    fn equal_share(self) -> f64 {
        1.0 / self.serving.max(1.0)
    }
}

/// A workspace's quota at one instance.
///
/// Invariant: `level` is what may be granted now by what this instance knows: refilled up to
/// `capacity`, less what it has granted and what peers have reported. It is negative after
/// instances together have granted more than was left.
#[derive(Clone, Debug)]
pub(super) struct Account {
    rate: f64,
    capacity: f64,
    level: f64,
    filled_at: Micros,
    /// Until when the level of an instance that has just started says nothing about what others
    /// have granted.
    unsettled_until: Micros,
    own: OwnUsage,
    demand: Demand,
    /// Part of the load on instances that reached this one at `filled_at`.
    reachable_part: f64,
    contention: Contention,
    peers: PeerUsages,
}

impl Account {
    /// Creates the account of `quota`. `margin` requests are added to its burst. At the start of an
    /// instance it is nearly empty.
    pub(super) fn new(now: Micros, quota: Quota, margin: f64, is_at_start: bool) -> Self {
        let capacity = capacity(quota, margin);
        let initial = if is_at_start { quota.per_second * INITIAL_SECS + 1.0 } else { capacity };
        Self {
            rate: quota.per_second,
            capacity,
            level: initial.min(capacity),
            filled_at: now,
            unsettled_until: if is_at_start { now + SETTLING_TIME } else { now },
            own: OwnUsage::default(),
            demand: Demand::default(),
            reachable_part: 1.0,
            contention: Contention::default(),
            peers: PeerUsages::default(),
        }
    }

    /// Applies the quota of a further configuration.
    pub(super) fn set_quota(
        &mut self,
        now: Micros,
        quota: Quota,
        margin: f64,
        around: Surroundings,
    ) {
        self.peers.prune(now);
        self.refill(now, around);
        self.rate = quota.per_second;
        self.capacity = capacity(quota, margin);
        self.level = self.level.min(self.capacity);
    }

    /// Grants a request.
    ///
    /// # Errors
    ///
    /// The time after which the caller may come back.
    pub(super) fn take(&mut self, now: Micros, around: Surroundings) -> Result<(), Micros> {
        self.refill(now, around);
        self.own.record_request(now);
        self.demand.record(now);
        let share = self.share(now, around);
        let unreported = self.own.unreported().max(0.0);
        let part = if self.is_contended() { share } else { share.max(PART_WHILE_AMPLE) };
        let allowance = (self.level + unreported) * part;
        if self.level < 1.0 || unreported + 1.0 > allowance.max(1.0) {
            return Err(self.time_until_grant(share));
        }
        self.level -= 1.0;
        self.own.charge();
        Ok(())
    }

    /// Returns a granted request that did not run.
    pub(super) fn give_back(&mut self) {
        self.level = (self.level + 1.0).min(self.capacity);
        self.own.give_back();
    }

    /// Applies a peer's report.
    pub(super) fn apply(
        &mut self,
        now: Micros,
        from: Incarnation,
        note: &UsageNote,
        is_owner: impl FnOnce() -> bool,
        around: Surroundings,
    ) {
        self.refill(now, around);
        let was_contended = self.is_contended();
        let usage = PeerUsage {
            used: note.used,
            demand: note.demand.max(0.0),
            received_at: now,
            is_contended: note.level < self.contended_below(),
        };
        // Of a peer's first report only the level counts: the sum may be hours old.
        if let Some(before) = self.peers.insert(from, usage) {
            self.level -= self.uncharged(&before, &usage, is_owner, around);
        }
        let stated = note.level + self.rate * LEVEL_DELAY_SECS + LEVEL_RESOLUTION;
        self.level = self.level.min(stated).max(-self.capacity - self.rate * MAX_DEBT_SECS);
        if self.is_contended() && !was_contended {
            self.own.announce();
        }
        self.contention.update(now, self.is_contended());
    }

    /// What a peer has granted between two of its reports, as far as that is to be charged now. A
    /// report that was overtaken by a later one is charged back, and the next one corrects it.
    fn uncharged(
        &self,
        before: &PeerUsage,
        usage: &PeerUsage,
        is_owner: impl FnOnce() -> bool,
        around: Surroundings,
    ) -> f64 {
        let granted = (usage.used - before.used) as f64;
        let is_complete = match before.is_contended {
            true => self
                .contention
                .all_report_since(usage.received_at)
                .is_some_and(|t| before.received_at >= t),
            false => usage.received_at - before.received_at < DEMAND_EXPIRY,
        };
        if is_complete {
            return granted;
        }
        // In between, the peer may have reported to owners that did not include this instance. What
        // it granted then has been refilled since, and the level that an owner states includes the
        // rest. An owner may have missed as much as a peer leaves unreported.
        let unreported = self.tolerable(around) + usage.demand * TIME_CONSTANT_SECS;
        if is_owner() { granted.min(unreported) } else { 0.0 }
    }

    /// Forgets a peer that has ended. What it granted stays charged.
    pub(super) fn forget(&mut self, peer: Incarnation) {
        self.peers.remove(peer);
    }

    /// Makes the reports that are due, in the order in which they have to arrive.
    pub(super) fn take_reports(
        &mut self,
        now: Micros,
        around: Surroundings,
    ) -> (Audience, Vec<UsageReport>) {
        let need = self.need(around);
        let audience = self.own.audience(now, need);
        if audience == Audience::Nobody {
            return (audience, Vec::new());
        }
        let baseline = self.own.baseline(now, audience);
        self.own.record_report(now, audience, need);
        let level = if now < self.unsettled_until { self.capacity } else { self.level };
        let demand = self.demand.per_second(now);
        let known = |used| UsageReport { used, level: self.capacity, demand: 0.0 };
        let current = UsageReport { used: self.own.used(), level, demand };
        (audience, baseline.map(known).into_iter().chain([current]).collect())
    }

    /// Whether there may be something to report later although there is nothing now and no further
    /// request arrives.
    pub(super) fn is_pending(&self, now: Micros, around: Surroundings) -> bool {
        self.own.is_pending(now, self.need(around))
    }

    fn need(&self, around: Surroundings) -> ReportNeed {
        ReportNeed {
            is_contended: self.is_contended(),
            tolerable: self.tolerable(around),
            is_alone: around.is_alone(),
        }
    }

    /// Requests that may be granted now.
    pub(super) fn level(&self) -> f64 {
        self.level
    }

    /// Whether so little is left that each request is reported to all instances.
    pub(super) fn is_contended(&self) -> bool {
        self.level < self.contended_below()
    }

    fn contended_below(&self) -> f64 {
        self.capacity * CONTENDED_BELOW
    }

    /// Requests that an instance may leave unreported while the quota is not contended.
    fn tolerable(&self, around: Surroundings) -> f64 {
        (self.contended_below() * around.equal_share()).max(1.0)
    }

    fn refill(&mut self, now: Micros, around: Surroundings) {
        let seconds = (now - self.filled_at).0 as f64 / 1e6;
        self.filled_at = now.max(self.filled_at);
        // Instances that no longer reach this one may have used their part of the burst meanwhile.
        let lost = (self.reachable_part - around.reachable_part).max(0.0);
        self.reachable_part = around.reachable_part;
        self.level -= self.capacity * lost;
        let part = around.reachable_part.min(self.unreachable_limit(now, around));
        self.level = (self.level + seconds * self.rate * part).min(self.capacity);
        self.contention.update(now, self.is_contended());
    }

    /// Part of the rate that is sure not to be granted by instances that do not reach this one, while
    /// the quota is contended and this instance grants part of it.
    fn unreachable_limit(&self, now: Micros, around: Surroundings) -> f64 {
        let Some(since) = self.contention.since() else { return 1.0 };
        if now - self.own.requested_at() > CUT_OFF_DETECTION {
            return 1.0;
        }
        let span = now - since;
        if span < CUT_OFF_DETECTION && !self.peers.has_recent_report(now) {
            return around.equal_share();
        }
        if span < RECENT_REPORT {
            1.0
        } else {
            self.peers.reporting_part(now, self.demand.per_second(now))
        }
    }

    /// Part of what is left that this instance may grant until its next report.
    fn share(&self, now: Micros, around: Surroundings) -> f64 {
        let equal = around.equal_share();
        if self.own.is_joining(now) {
            return equal;
        }
        let own = self.demand.per_second(now);
        (own / (own + self.peers.demand(now))).max(equal)
    }

    /// When this instance may grant the next request.
    fn time_until_grant(&self, share: f64) -> Micros {
        let missing = (1.0 - self.level).max(0.0) / self.rate;
        let turn = 1.0 / (self.rate * share);
        let micros = Micros(((missing + turn) * 1e6) as u64);
        micros.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }
}

/// Requests that may be granted at once: the burst, at least one.
fn capacity(quota: Quota, margin: f64) -> f64 {
    (quota.burst + margin).max(1.0)
}
