//! Which backend servers are slow or failing.
//!
//! Load pattern: one server among many turns ten times slower, or answers errors at once. By
//! completed latency alone a straggler is seen only after its first slow answers, and a server that
//! fails fast looks idle and draws all the work. So a request counts against its server as soon as
//! it is *older* than most requests of the service take, and a fast failure counts as a fault and
//! never as low latency.
//!
//! The test is a CUSUM: each request moves a score up when it is slow and down when it is not. The
//! steps are the log-likelihood ratios of "as the service" (a tenth of the requests is beyond the
//! service's 90th percentile) against "straggler" (eight tenths are, which is what work of random
//! length and ten times the mean gives).

use galenapath_protocol::Micros;

/// Step for a slow request: ln(0.8 / 0.1).
const SLOW_STEP: f32 = 2.08;
/// Step for a request in time: ln(0.2 / 0.9).
const IN_TIME_STEP: f32 = -1.50;
/// Step for a failure.
const FAILURE_STEP: f32 = 3.0;
/// Score from which a server gets work only when no other has a free slot.
const SUSPECT_SCORE: f32 = 4.0;
/// Score from which a server is ejected.
const EJECT_SCORE: f32 = 9.0;
/// Time to the first trial of an ejected server; doubles with each that goes wrong.
const FIRST_TRIAL: Micros = Micros::from_millis(200);
const LONGEST_TRIAL_WAIT: Micros = Micros::from_secs(5);
/// Trials in time, one after the other, that bring a server back.
const TRIALS_TO_RETURN: u32 = 3;

/// How far a server may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Standing {
    Healthy,
    /// Slow or failing lately: last in the order.
    Suspect,
    /// Gets nothing but single trials.
    Ejected,
    /// Ejected, and its next trial is due.
    TrialDue,
}

/// One observation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Sign {
    InTime,
    Slow,
    Failed,
}

/// Score of one server.
#[derive(Debug, Default)]
pub(super) struct Health {
    /// Never below zero, never above `EJECT_SCORE`.
    score: f32,
    ejection: Option<Ejection>,
}

#[derive(Debug)]
struct Ejection {
    next_trial: Micros,
    wait: Micros,
    good_trials: u32,
}

impl Health {
    pub fn note(&mut self, now: Micros, sign: Sign) {
        match &mut self.ejection {
            None => self.note_score(now, sign),
            Some(ejection) => {
                if ejection.note_trial(now, sign) {
                    self.ejection = None;
                    self.score = 0.0;
                }
            }
        }
    }

    fn note_score(&mut self, now: Micros, sign: Sign) {
        let step = match sign {
            Sign::InTime => IN_TIME_STEP,
            Sign::Slow => SLOW_STEP,
            Sign::Failed => FAILURE_STEP,
        };
        self.score = (self.score + step).clamp(0.0, EJECT_SCORE);
        if self.score >= EJECT_SCORE {
            let next_trial = now + FIRST_TRIAL;
            self.ejection = Some(Ejection { next_trial, wait: FIRST_TRIAL, good_trials: 0 });
        }
    }

    pub fn standing(&self, now: Micros) -> Standing {
        match &self.ejection {
            Some(ejection) if now >= ejection.next_trial => Standing::TrialDue,
            Some(_) => Standing::Ejected,
            None if self.score >= SUSPECT_SCORE => Standing::Suspect,
            None => Standing::Healthy,
        }
    }

    /// A request was sent to the server; when it is a trial, the next one waits.
    pub fn started(&mut self, now: Micros) {
        if let Some(ejection) = &mut self.ejection {
            ejection.next_trial = now + ejection.wait;
        }
    }
}

impl Ejection {
    /// Returns whether the server has earned its return.
    fn note_trial(&mut self, now: Micros, sign: Sign) -> bool {
        if sign == Sign::InTime {
            self.good_trials += 1;
            self.next_trial = now;
            return self.good_trials >= TRIALS_TO_RETURN;
        }
        self.good_trials = 0;
        self.wait = Micros((self.wait.0 * 2).min(LONGEST_TRIAL_WAIT.0));
        self.next_trial = now + self.wait;
        false
    }
}
