//! What one instance has granted, and what of it others know.

use galenapath_protocol::Micros;

/// Time between two reports of an instance whose requests are all refused, so that others leave its
/// share to it.
const DEMAND_REPORT_PERIOD: Micros = Micros::from_millis(200);

/// Time without a request after which an instance no longer takes part, and what it knows of the
/// account may be old.
const PARTICIPATION_EXPIRY: Micros = Micros::from_secs(10);

/// Time after its first report within which an instance receives what others have granted.
const JOIN_TIME: Micros = Micros::from_millis(150);

/// Time for which an instance that joins keeps what it grants to be reported while it knows of
/// nobody to report to: others may have joined at the same moment and not be known yet.
const UNAWARE_TIME: Micros = Micros::from_secs(1);

/// Time after a report to all for which all have the sum that it states. Longer than the time
/// between two reports of an instance that has requests.
const CONTINUED_TIME: Micros = Micros::from_millis(300);

/// Who is to get a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Audience {
    Nobody,
    Owners,
    All,
}

/// How the quota stands for an instance that may have something to report.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReportNeed {
    /// Whether little of the quota is left.
    pub(super) is_contended: bool,
    /// Requests that may stay unreported while plenty is left.
    pub(super) tolerable: f64,
    /// Whether no other instance is known to serve callers.
    pub(super) is_alone: bool,
}

/// What an instance has granted of a quota and has reported.
#[derive(Clone, Debug, Default)]
pub(super) struct OwnUsage {
    /// Requests granted here, less those that did not run.
    used: i64,
    /// `used` as last reported.
    reported: i64,
    /// When it was last reported; zero before the first report.
    reported_at: Micros,
    /// When it was last reported to all; zero before the first such report.
    reported_to_all_at: Micros,
    /// When the last request came; zero before the first one.
    requested_at: Micros,
    /// Since when there are requests; `None` while this instance does not take part.
    requested_since: Option<Micros>,
    /// Since when others know that this instance takes part; `None` while they do not.
    joined_at: Option<Micros>,
    /// Whether all have to be notified that the quota has become contended.
    must_announce: bool,
}

impl OwnUsage {
    /// Records a request, granted or not.
    pub(super) fn record_request(&mut self, now: Micros) {
        if now - self.requested_at > PARTICIPATION_EXPIRY {
            self.joined_at = None;
            self.requested_since = None;
        }
        self.requested_at = now;
        self.requested_since.get_or_insert(now);
    }

    /// Charges a request.
    pub(super) fn charge(&mut self) {
        self.used += 1;
    }

    /// Returns a charge.
    pub(super) fn give_back(&mut self) {
        self.used -= 1;
    }

    /// Requests granted, less those that did not run.
    pub(super) fn used(&self) -> i64 {
        self.used
    }

    /// Requests granted since the last report, less those that did not run.
    pub(super) fn unreported(&self) -> f64 {
        (self.used - self.reported) as f64
    }

    /// When the last request came.
    pub(super) fn requested_at(&self) -> Micros {
        self.requested_at
    }

    /// Whether others may not have answered the first report yet.
    pub(super) fn is_joining(&self, now: Micros) -> bool {
        self.joined_at.is_none_or(|since| now - since < JOIN_TIME)
    }

    /// Has all notified that the quota has become contended.
    pub(super) fn announce(&mut self) {
        self.must_announce = true;
    }

    /// Who is to get a report now.
    pub(super) fn audience(&self, now: Micros, need: ReportNeed) -> Audience {
        let unreported = self.unreported().abs();
        if need.is_contended {
            let has_requests = self.requested_at > self.reported_at;
            let is_due = unreported >= 1.0
                || self.must_announce
                || (has_requests && now - self.reported_at >= DEMAND_REPORT_PERIOD);
            return if is_due { Audience::All } else { Audience::Nobody };
        }
        if self.is_unaware(now, need) {
            return Audience::Nobody;
        }
        let is_due =
            unreported >= need.tolerable || (unreported >= 1.0 && self.joined_at.is_none());
        if is_due { Audience::Owners } else { Audience::Nobody }
    }

    /// Whether there may be something to report later although there is nothing now and no further
    /// request arrives.
    pub(super) fn is_pending(&self, now: Micros, need: ReportNeed) -> bool {
        let has_news = self.used != self.reported || self.requested_at > self.reported_at;
        has_news && (need.is_contended || self.is_unaware(now, need))
    }

    /// The sum to be sent ahead of the next report, as last reported. Those who get a first report
    /// charge the difference: what nobody knows yet, and nothing that went to owners, which is part
    /// of the level that an owner states. `None` if all have it.
    pub(super) fn baseline(&self, now: Micros, audience: Audience) -> Option<i64> {
        let is_known = match audience {
            Audience::All => now - self.reported_to_all_at < CONTINUED_TIME,
            Audience::Owners | Audience::Nobody => {
                self.joined_at.is_some_and(|since| now - since >= UNAWARE_TIME)
            }
        };
        (!is_known && self.used != self.reported).then_some(self.reported)
    }

    /// Records a report. One that may have reached nobody leaves everything to be reported.
    pub(super) fn record_report(&mut self, now: Micros, audience: Audience, need: ReportNeed) {
        self.must_announce = false;
        if self.is_unaware(now, need) {
            return;
        }
        self.reported = self.used;
        self.reported_at = now;
        self.joined_at.get_or_insert(now);
        if audience == Audience::All {
            self.reported_to_all_at = now;
        }
    }

    /// Whether this instance has requests only lately and knows nobody to report to.
    fn is_unaware(&self, now: Micros, need: ReportNeed) -> bool {
        let is_new = |since: Micros| now - since < UNAWARE_TIME;
        need.is_alone && self.joined_at.is_none() && self.requested_since.is_some_and(is_new)
    }
}
