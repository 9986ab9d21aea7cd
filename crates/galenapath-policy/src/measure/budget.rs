//! The budget of probes to one backend server.
//!
//! Load pattern: a fleet of dispatchers that each need fresh load reports from every backend
//! server. Without a hard budget, probes grow with dispatchers times servers and take capacity from
//! requests just when load peaks. All dispatchers split one token bucket per server: each holds a
//! bucket with its share of the rate, so that they need no messages to agree and the sum stays
//! within the budget whatever each of them does.

use galenapath_protocol::Micros;

const MICROS_PER_SECOND: f64 = 1_000_000.0;

/// One dispatcher's share of the probe budget of one backend server.
///
/// It starts empty, so that frequent restarts gain an instance no probes.
#[derive(Clone, Debug)]
pub struct ProbeBudget {
    /// Time between two probes; never zero. No probe at all when `None`.
    interval: Option<Micros>,
    /// Time from which the next probe is allowed.
    next_at: Micros,
}

impl ProbeBudget {
    /// Creates the share of one of `dispatchers` of a budget of `rate` probes per second.
    pub fn new(now: Micros, rate: f64, dispatchers: u32) -> Self {
        let mut budget = Self { interval: None, next_at: now };
        budget.interval = interval(rate, dispatchers);
        budget.next_at = now + budget.interval.unwrap_or_default();
        budget
    }

    /// Changes the share. A probe that is already due stays due; otherwise the next one waits for
    /// at least the new interval.
    pub fn set_share(&mut self, now: Micros, rate: f64, dispatchers: u32) {
        let changed = interval(rate, dispatchers);
        if changed != self.interval {
            self.interval = changed;
            self.next_at = self.next_at.max(now + changed.unwrap_or_default());
        }
    }

    /// Whether a probe is allowed now.
    pub fn allows(&self, now: Micros) -> bool {
        self.interval.is_some() && now >= self.next_at
    }

    /// Takes one probe out of the budget; returns false when there is none.
    ///
    /// Unused probes do not accumulate: the bucket holds one.
    pub fn take(&mut self, now: Micros) -> bool {
        let Some(interval) = self.interval.filter(|_| now >= self.next_at) else {
            return false;
        };
        self.next_at = now + interval;
        true
    }
}

fn interval(rate: f64, dispatchers: u32) -> Option<Micros> {
    let part = rate / f64::from(dispatchers.max(1));
    (part > 0.0).then(|| Micros((MICROS_PER_SECOND / part).ceil().max(1.0) as u64))
}
