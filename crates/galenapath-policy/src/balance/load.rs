//! Estimate of how many of a backend server's slots are in use.
//!
//! Load pattern: several dispatchers share a server's few slots, and every report is out of date on
//! arrival. Based on reports alone, all dispatchers send to the server that last appeared idle;
//! based on its own requests alone, a dispatcher does not see that others have filled the slots.
//!
//! A server's load is therefore the number of this instance's requests in flight, which is exact,
//! plus an estimate of the other dispatchers' requests, which decays from the last report to their
//! moving average. Reports of a server that repeatedly contradict this instance's own requests are
//! ignored.

use galenapath_protocol::{LoadReport, Micros};

/// Weight of one report in the moving average of the other dispatchers' requests.
const OTHERS_WEIGHT: f32 = 1.0 / 16.0;
/// Age at which a report is worth no more than the moving average: most of the requests that it
/// counted have ended by then.
const REPORT_LIFETIME: Micros = Micros::from_millis(10);
/// Level of doubt from which a server's reports are ignored. Each contradiction adds 1 and each
/// confirmation subtracts `CONFIRMATION_STEP`.
const DISTRUST_THRESHOLD: f32 = 4.0;
const MAX_DOUBT: f32 = 8.0;
const CONFIRMATION_STEP: f32 = 0.1;
/// Requests by which a report may fall short of the own count, because answers are in transit.
const REPORT_TOLERANCE: u32 = 1;

/// Requests of other dispatchers on one server.
#[derive(Debug, Default)]
pub(super) struct OthersLoad {
    last: f32,
    average: f32,
    waiting: u32,
    reported_at: Option<Micros>,
    /// Between zero and `MAX_DOUBT`.
    doubt: f32,
}

impl OthersLoad {
    /// Records a report; the server held `own_requests` requests of this instance when it wrote it.
    pub fn record_report(&mut self, now: Micros, report: LoadReport, own_requests: u32) {
        let total = report.in_flight.saturating_add(report.waiting);
        self.update_doubt(own_requests > total + REPORT_TOLERANCE);
        self.last = total.saturating_sub(own_requests) as f32;
        self.average += OTHERS_WEIGHT * (self.last - self.average);
        self.waiting = report.waiting;
        self.reported_at = Some(now);
    }

    /// Records that the server rejected a request: it is full, regardless of its reports.
    pub fn record_rejection(&mut self, now: Micros, slots: u32) {
        self.last = slots as f32;
        self.reported_at = Some(now);
    }

    /// Records an answer after `latency`. A server that reports at least one waiting request per
    /// slot and still answers within the service's mean latency reported a false queue.
    pub fn record_answer(&mut self, latency: Micros, mean: f32, slots: u32) {
        if self.waiting >= slots {
            self.update_doubt((latency.0 as f32) < mean);
        }
    }

    fn update_doubt(&mut self, contradicts: bool) {
        let step = if contradicts { 1.0 } else { -CONFIRMATION_STEP };
        self.doubt = (self.doubt + step).clamp(0.0, MAX_DOUBT);
    }

    /// Whether the server's reports are used.
    pub fn is_trusted(&self) -> bool {
        self.doubt < DISTRUST_THRESHOLD
    }

    /// Moving average of the reported requests of other dispatchers.
    pub fn average(&self) -> f32 {
        self.average
    }

    /// Estimates the requests of other dispatchers at `now`. Returns `typical_load` when there is
    /// no report or the reports are not trusted.
    pub fn estimate(&self, now: Micros, typical_load: f32) -> f32 {
        if !self.is_trusted() {
            return typical_load;
        }
        let Some(reported_at) = self.reported_at else {
            return typical_load;
        };
        let age = (now - reported_at).0 as f32 / REPORT_LIFETIME.0 as f32;
        let weight = (1.0 - age).max(0.0);
        self.average + weight * (self.last - self.average)
    }
}
