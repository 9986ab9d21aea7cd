//! How many of a backend server's slots are taken.
//!
//! Load pattern: several dispatchers share a server's few slots, and every report is out of date.
//! With the report alone, all dispatchers send to the server that looked idle last; with the own
//! requests alone, a dispatcher cannot see that the others have filled the slots. So a server's
//! load is the own requests in flight, which are exact, plus an estimate of the others' that fades
//! from the last report to their average. Reports that contradict what the instance knows of its
//! own requests are no longer used.

use galenapath_protocol::{LoadReport, Micros};

/// Weight of one report in the average of the others' requests.
const OTHERS_WEIGHT: f32 = 1.0 / 16.0;
/// Age at which a report says no more than the average: by then most of the requests that it
/// counted have ended.
const REPORT_FADES_IN: Micros = Micros::from_millis(10);
/// Contradictions, less a tenth of the confirmations, from which reports are not believed.
const DOUBTED_FROM: f32 = 4.0;
const MOST_DOUBT: f32 = 8.0;
const CONFIRMED: f32 = 0.1;
/// Requests by which a report may differ from the own count: answers on the way.
const REPORT_SLACK: u32 = 1;

/// Requests of other dispatchers on one server.
#[derive(Debug, Default)]
pub(super) struct OthersLoad {
    last: f32,
    average: f32,
    waiting: u32,
    reported_at: Option<Micros>,
    /// Between zero and `MOST_DOUBT`.
    doubt: f32,
}

impl OthersLoad {
    /// Takes a report that the server wrote when it held `own` requests of this instance.
    pub fn report(&mut self, now: Micros, report: LoadReport, own: u32) {
        let total = report.in_flight.saturating_add(report.waiting);
        self.weigh(own > total + REPORT_SLACK);
        self.last = total.saturating_sub(own) as f32;
        self.average += OTHERS_WEIGHT * (self.last - self.average);
        self.waiting = report.waiting;
        self.reported_at = Some(now);
    }

    /// The server refused a request: it is full, whatever it reported.
    pub fn refused(&mut self, now: Micros, slots: u32) {
        self.last = slots as f32;
        self.reported_at = Some(now);
    }

    /// A request came back after `latency`. When the server claims a queue of a whole round of its
    /// slots and still answers within the service's mean, the claim is false.
    pub fn answered(&mut self, latency: Micros, mean: f32, slots: u32) {
        if self.waiting >= slots {
            self.weigh((latency.0 as f32) < mean);
        }
    }

    fn weigh(&mut self, is_contradiction: bool) {
        let step = if is_contradiction { 1.0 } else { -CONFIRMED };
        self.doubt = (self.doubt + step).clamp(0.0, MOST_DOUBT);
    }

    /// Whether the server's reports are believed.
    pub fn is_believed(&self) -> bool {
        self.doubt < DOUBTED_FROM
    }

    /// Average of the reports.
    pub fn average(&self) -> f32 {
        self.average
    }

    /// Estimate for now; `typical` stands in for reports that are not believed.
    pub fn estimate(&self, now: Micros, typical: f32) -> f32 {
        if !self.is_believed() {
            return typical;
        }
        let Some(at) = self.reported_at else {
            return typical;
        };
        let age = (now - at).0 as f32 / REPORT_FADES_IN.0 as f32;
        let weight = (1.0 - age).max(0.0);
        self.average + weight * (self.last - self.average)
    }
}
