//! Which backend servers are slow or failing.
//!
//! Load pattern: one server among many turns ten times slower, or answers errors at once. By
//! completed latency alone a straggler is seen only after its first slow answers, and a server that
//! fails fast looks idle and draws all the work. So a request counts against its server as soon as
//! it is *older* than most requests of the service take, and a fast failure counts as a fault and
//! never as low latency.
//!
//! The test is a CUSUM of log-likelihood ratios, "ten times slower" against "as the service", for
//! work of exponential length: 0.8 of a straggler's requests pass the service's 90th percentile and
//! 0.63 the 99th, 0.16 end between them, 0.2 end before. A request that passed the 90th percentile
//! and then ends takes back most of what it had added, which keeps long requests from condemning
//! their server.

use super::latency::Lateness;
use galenapath_protocol::Micros;

/// ln(0.2 / 0.9)
const IN_TIME: f32 = -1.50;
/// ln(0.8 / 0.1)
const LATE: f32 = 2.08;
/// ln(0.16 / 0.09)
const ENDED_LATE: f32 = 0.58;
/// ln(0.63 / 0.01)
const VERY_LATE: f32 = 4.14;
/// A failure; three in a row eject.
const FAILED: f32 = 3.0;
/// Score from which a server gets work only when no other has a free slot: two late requests.
const SUSPECT_SCORE: f32 = 4.0;
/// Score from which a server is ejected: two very late requests.
const EJECT_SCORE: f32 = 8.0;
/// Half-life of the score of a server that has nothing in flight to move it.
const IDLE_HALF_LIFE: Micros = Micros::from_millis(50);
/// Time to the first trial of an ejected server, for each dispatcher of the service; doubles with
/// each that goes wrong. Trials go wrong for their callers, so that all dispatchers together make
/// about as many, however many they are: three make one each after 100 ms.
const FIRST_TRIAL: Micros = Micros::from_millis(33);
const LONGEST_TRIAL_WAIT: Micros = Micros::from_millis(333);
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

/// What became of a request, as far as it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Sign {
    /// In flight, and has just become this late.
    Became {
        before: Lateness,
        lateness: Lateness,
    },
    /// Answered; the lateness is what was counted while it was in flight.
    Ended {
        counted: Lateness,
        lateness: Lateness,
    },
    Failed,
}

impl Sign {
    /// Change of the score.
    fn step(self) -> f32 {
        match self {
            Self::Became { before, lateness } => in_flight(lateness) - in_flight(before),
            Self::Ended { counted, lateness } => ended(lateness) - in_flight(counted),
            Self::Failed => FAILED,
        }
    }

    fn is_good(self) -> bool {
        matches!(self, Self::Ended { lateness: Lateness::InTime, .. })
    }
}

fn in_flight(lateness: Lateness) -> f32 {
    match lateness {
        Lateness::InTime => 0.0,
        Lateness::Late => LATE,
        Lateness::VeryLate => VERY_LATE,
    }
}

fn ended(lateness: Lateness) -> f32 {
    match lateness {
        Lateness::InTime => IN_TIME,
        Lateness::Late => ENDED_LATE,
        Lateness::VeryLate => VERY_LATE,
    }
}

/// Score of one server.
#[derive(Debug, Default)]
pub(super) struct Health {
    /// Never below zero, never above `EJECT_SCORE`.
    score: f32,
    /// When the score last changed.
    changed_at: Micros,
    /// Dispatchers of the service, which share the trials.
    pub dispatchers: u32,
    ejection: Option<Ejection>,
}

#[derive(Debug)]
struct Ejection {
    next_trial: Micros,
    wait: Micros,
    good_trials: u32,
    /// The trial in flight started then; signs of older requests say nothing new.
    trial_from: Option<Micros>,
}

impl Health {
    /// A request that started at `started` ended without telling anything: when it was a trial,
    /// the next one is due after the same wait.
    pub fn note_nothing(&mut self, now: Micros, started: Micros) {
        if let Some(ejection) = &mut self.ejection
            && ejection.trial_from.is_some_and(|from| started >= from)
        {
            ejection.trial_from = None;
            ejection.next_trial = now + ejection.wait;
        }
    }

    /// Takes a sign of a request that started at `started`.
    pub fn note(&mut self, now: Micros, started: Micros, sign: Sign) {
        let longest = self.for_all(LONGEST_TRIAL_WAIT);
        match &mut self.ejection {
            None => self.note_score(now, sign),
            Some(ejection) => {
                if ejection.note_trial(now, started, sign, longest) {
                    self.ejection = None;
                    self.score = 0.0;
                }
            }
        }
    }

    fn for_all(&self, wait: Micros) -> Micros {
        Micros(wait.0 * u64::from(self.dispatchers.max(1)))
    }

    fn note_score(&mut self, now: Micros, sign: Sign) {
        self.score = (self.score + sign.step()).clamp(0.0, EJECT_SCORE);
        self.changed_at = now;
        if self.score >= EJECT_SCORE {
            let wait = self.for_all(FIRST_TRIAL);
            self.ejection =
                Some(Ejection { next_trial: now + wait, wait, good_trials: 0, trial_from: None });
        }
    }

    /// `idle` tells that no request of this instance is in flight on the server.
    pub fn standing(&self, now: Micros, idle: bool) -> Standing {
        match &self.ejection {
            Some(ejection) if ejection.trial_from.is_none() && now >= ejection.next_trial => {
                Standing::TrialDue
            }
            Some(_) => Standing::Ejected,
            None if self.score_at(now, idle) >= SUSPECT_SCORE => Standing::Suspect,
            None => Standing::Healthy,
        }
    }

    fn score_at(&self, now: Micros, idle: bool) -> f32 {
        if !idle || self.score < SUSPECT_SCORE {
            return self.score;
        }
        let half_lives = (now - self.changed_at).0 as f32 / IDLE_HALF_LIFE.0 as f32;
        self.score * (-half_lives).exp2()
    }

    /// A request was sent to the server; when its next trial was due, this is it.
    pub fn started(&mut self, now: Micros) {
        if let Some(ejection) = &mut self.ejection
            && ejection.trial_from.is_none()
            && now >= ejection.next_trial
        {
            ejection.trial_from = Some(now);
        }
    }
}

impl Ejection {
    /// Returns whether the server has earned its return.
    fn note_trial(&mut self, now: Micros, started: Micros, sign: Sign, longest: Micros) -> bool {
        if self.trial_from.is_none_or(|from| started < from) {
            return false;
        }
        self.trial_from = None;
        if sign.is_good() {
            self.good_trials += 1;
            self.next_trial = now;
            return self.good_trials >= TRIALS_TO_RETURN;
        }
        self.good_trials = 0;
        self.wait = Micros((self.wait.0 * 2).min(longest.0));
        self.next_trial = now + self.wait;
        false
    }
}
