//! Detection of slow and failing backend servers.
//!
//! Load pattern: one server among many becomes ten times slower, or returns errors immediately.
//! With completed latencies alone, a straggler is detected only after its first slow answers, and a
//! server that fails fast appears idle and attracts all the work. A request therefore counts
//! against its server as soon as its *age* exceeds the latency of most requests of the service, and
//! a fast failure counts as a failure and never as low latency.
//!
//! The test is a CUSUM of log-likelihood ratios for the hypothesis "ten times slower than the
//! service" against "as fast as the service", assuming exponentially distributed work. Of a
//! straggler's requests, 0.8 exceed the service's 90th percentile and 0.63 the 99th, 0.16 end
//! between the two and 0.2 end before the 90th. A request that exceeds the 90th percentile and then
//! ends takes back most of what it added to the score, so a few long requests do not get a server
//! ejected.

use super::latency::Lateness;
use galenapath_protocol::Micros;

/// ln(0.2 / 0.9)
const ENDED_ON_TIME: f32 = -1.50;
/// ln(0.8 / 0.1)
const LATE: f32 = 2.08;
/// ln(0.16 / 0.09)
const ENDED_LATE: f32 = 0.58;
/// ln(0.63 / 0.01)
const VERY_LATE: f32 = 4.14;
/// Score of a failure; three in a row eject the server.
const FAILED: f32 = 3.0;
/// Score from which a server is a last resort: two late requests.
const SUSPECT_SCORE: f32 = 4.0;
/// Score from which a server is ejected: two very late requests.
const EJECTION_SCORE: f32 = 8.0;
/// Half-life of the score of a server without requests in flight, which would otherwise not change.
const IDLE_HALF_LIFE: Micros = Micros::from_millis(50);
/// Time until the first trial of an ejected server, multiplied by the number of dispatchers of the
/// service; doubles with each failed trial. A failed trial is a failed request of a caller, so the
/// rate of trials of all dispatchers together is kept independent of their number: each of three
/// dispatchers sends its first trial after 100 ms.
const INITIAL_TRIAL_INTERVAL: Micros = Micros::from_millis(33);
/// Maximum trial interval, also multiplied by the number of dispatchers.
const MAX_TRIAL_INTERVAL: Micros = Micros::from_millis(333);
/// Consecutive trials answered on time that end an ejection.
const SUCCESSFUL_TRIALS_TO_READMIT: u32 = 3;

/// How a server may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HealthStatus {
    Healthy,
    /// Slow or failing: chosen only when no healthy server is available.
    Suspect,
    /// Receives only single trial requests.
    Ejected,
    /// Ejected, with the next trial due.
    TrialDue,
}

/// An event of a request that affects its server's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HealthEvent {
    /// The request is in flight and its lateness has increased.
    BecameLate {
        before: Lateness,
        lateness: Lateness,
    },
    /// The request was answered or timed out; `counted` is the lateness already in the score.
    Ended {
        counted: Lateness,
        lateness: Lateness,
    },
    Failed,
}

impl HealthEvent {
    /// Change of the score by this event.
    fn score_delta(self) -> f32 {
        match self {
            Self::BecameLate { before, lateness } => {
                in_flight_score(lateness) - in_flight_score(before)
            }
            Self::Ended { counted, lateness } => ended_score(lateness) - in_flight_score(counted),
            Self::Failed => FAILED,
        }
    }

    fn is_success(self) -> bool {
        matches!(self, Self::Ended { lateness: Lateness::OnTime, .. })
    }
}

fn in_flight_score(lateness: Lateness) -> f32 {
    match lateness {
        Lateness::OnTime => 0.0,
        Lateness::Late => LATE,
        Lateness::VeryLate => VERY_LATE,
    }
}

fn ended_score(lateness: Lateness) -> f32 {
    match lateness {
        Lateness::OnTime => ENDED_ON_TIME,
        Lateness::Late => ENDED_LATE,
        Lateness::VeryLate => VERY_LATE,
    }
}

/// Health of one server.
#[derive(Debug, Default)]
pub(super) struct Health {
    /// Between zero and `EJECTION_SCORE`.
    score: f32,
    /// When the score last changed.
    changed_at: Micros,
    /// Number of dispatchers of the service; trial intervals are proportional to it.
    pub dispatchers: u32,
    ejection: Option<Ejection>,
}

#[derive(Debug)]
struct Ejection {
    next_trial: Micros,
    interval: Micros,
    successful_trials: u32,
    /// Start of the trial in flight. Events of requests that started earlier are ignored.
    trial_started_at: Option<Micros>,
}

impl Health {
    /// Records that a request that started at `started` ended without evidence of the server's
    /// health. If it was a trial, the next one is due after the same interval.
    pub fn record_inconclusive(&mut self, now: Micros, started: Micros) {
        if let Some(ejection) = &mut self.ejection
            && ejection.trial_started_at.is_some_and(|trial_started| started >= trial_started)
        {
            ejection.trial_started_at = None;
            ejection.next_trial = now + ejection.interval;
        }
    }

    /// Records an event of a request that started at `started`.
    pub fn record(&mut self, now: Micros, started: Micros, event: HealthEvent) {
        let max_interval = self.scale_by_dispatchers(MAX_TRIAL_INTERVAL);
        match &mut self.ejection {
            None => self.update_score(now, event),
            Some(ejection) => {
                if ejection.record_trial(now, started, event, max_interval) {
                    self.ejection = None;
                    self.score = 0.0;
                }
            }
        }
    }

    fn scale_by_dispatchers(&self, interval: Micros) -> Micros {
        Micros(interval.0 * u64::from(self.dispatchers.max(1)))
    }

    fn update_score(&mut self, now: Micros, event: HealthEvent) {
        self.score = (self.score + event.score_delta()).clamp(0.0, EJECTION_SCORE);
        self.changed_at = now;
        if self.score >= EJECTION_SCORE {
            let interval = self.scale_by_dispatchers(INITIAL_TRIAL_INTERVAL);
            self.ejection = Some(Ejection {
                next_trial: now + interval,
                interval,
                successful_trials: 0,
                trial_started_at: None,
            });
        }
    }

    /// Returns the status. `is_idle`: this instance has no request in flight on the server.
    pub fn status(&self, now: Micros, is_idle: bool) -> HealthStatus {
        match &self.ejection {
            Some(ejection) if ejection.trial_started_at.is_none() && now >= ejection.next_trial => {
                HealthStatus::TrialDue
            }
            Some(_) => HealthStatus::Ejected,
            None if self.score_at(now, is_idle) >= SUSPECT_SCORE => HealthStatus::Suspect,
            None => HealthStatus::Healthy,
        }
    }

    fn score_at(&self, now: Micros, is_idle: bool) -> f32 {
        if !is_idle || self.score < SUSPECT_SCORE {
            return self.score;
        }
        let half_lives = (now - self.changed_at).0 as f32 / IDLE_HALF_LIFE.0 as f32;
        self.score * (-half_lives).exp2()
    }

    /// Records that a request is sent to the server. It becomes the trial if one is due.
    pub fn record_start(&mut self, now: Micros) {
        if let Some(ejection) = &mut self.ejection
            && ejection.trial_started_at.is_none()
            && now >= ejection.next_trial
        {
            ejection.trial_started_at = Some(now);
        }
    }
}

impl Ejection {
    /// Records an event of a trial; returns whether the ejection ends.
    fn record_trial(
        &mut self,
        now: Micros,
        started: Micros,
        event: HealthEvent,
        max_interval: Micros,
    ) -> bool {
        if self.trial_started_at.is_none_or(|trial_started| started < trial_started) {
            return false;
        }
        self.trial_started_at = None;
        if event.is_success() {
            self.successful_trials += 1;
            self.next_trial = now;
            return self.successful_trials >= SUCCESSFUL_TRIALS_TO_READMIT;
        }
        self.successful_trials = 0;
        self.interval = Micros((self.interval.0 * 2).min(max_interval.0));
        self.next_trial = now + self.interval;
        false
    }
}
