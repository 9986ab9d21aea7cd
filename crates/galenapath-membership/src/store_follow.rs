//! Decides when an instance follows the platform's store because nobody else does.
//!
//! Load pattern: the instances that watch the store are lost together with most of the fleet. Until
//! the others know which instances are lost, each leaves the store to ones that are gone, and the
//! changes of the operator and of the backend servers reach nobody. Who follows the store is
//! therefore not concluded from who is considered up: what instances know of the store carries the
//! time since the store last answered one that follows it, and an instance whose newest answer is
//! too old asks the store itself.
//!
//! A fleet must not ask as one. Each instance draws whether it asks, so that a few ask first; more
//! do so from step to step until one is answered and notifies the others. While the store is known
//! to fail, the number stays small.

use galenapath_protocol::Micros;

/// Time between two draws.
const STEP: Micros = Micros::from_millis(200);

/// Number of instances that ask in the first step, on average.
const FIRST_ASKERS: f64 = 4.0;

/// Number of doublings after which every instance of any fleet asks.
const MAX_DOUBLINGS: u32 = 16;

/// Time without any known answer from which on a reported failure was an outage for all. Longer
/// than answers take to become known everywhere while the store answers any instance.
const MIN_OUTAGE: Micros = Micros::from_secs(1);

/// What an instance knows of the last answer of the store to an instance that follows it, and of an
/// outage.
///
/// An outage is a failed call of this instance, or one that another instance reports, after which
/// no answer is known. That this instance has not called the store yet, or that no instance is
/// known to be answered, says nothing of the store.
#[derive(Clone, Copy, Debug)]
pub struct StoreFollow {
    /// Time of the newest answer; the start of this instance before the first.
    answered_at: Micros,
    is_answer_known: bool,
    /// When a call first failed, if no answer after that is known.
    failing_since: Option<Micros>,
    /// When the last outage ended.
    recovered_at: Option<Micros>,
}

impl StoreFollow {
    /// Knows of no answer. The others have some time from now on to report one.
    pub const fn new(now: Micros) -> Self {
        Self { answered_at: now, is_answer_known: false, failing_since: None, recovered_at: None }
    }

    /// Records that the store answered an instance that follows it.
    pub fn record_answer(&mut self, at: Micros) {
        if self.failing_since.is_some_and(|since| at > since) {
            self.failing_since = None;
            if at - self.answered_at >= MIN_OUTAGE {
                self.recovered_at = Some(at);
            }
        }
        if at >= self.answered_at || !self.is_answer_known {
            self.answered_at = at;
            self.is_answer_known = true;
        }
    }

    /// Records that a call of this instance failed, or that another one begins to report that its
    /// calls fail.
    pub fn record_failure(&mut self, now: Micros) {
        self.failing_since.get_or_insert(now);
    }

    /// When the outage ended that the store has just answered after, or that ended before; `None`
    /// if none is known.
    pub fn recovery(&self, now: Micros) -> Option<Micros> {
        if self.failing_since.is_some() { Some(now) } else { self.recovered_at }
    }

    /// Records what another instance reports: the time since the newest answer that it knows of.
    pub fn record_report(&mut self, now: Micros, age: Micros) {
        self.record_answer(now - age);
    }

    /// Time since the newest answer; `None` if none is known.
    pub fn age(&self, now: Micros) -> Option<Micros> {
        self.is_answer_known.then(|| now - self.answered_at)
    }

    /// Time since the newest answer, or since the start of this instance.
    pub fn silence(&self, now: Micros) -> Micros {
        now - self.answered_at
    }

    /// Whether this instance asks the store now, drawn anew in each step.
    ///
    /// `limit` is the silence up to which others are taken to follow the store, `up` the number of
    /// instances that are considered up, this one included, and `draw` a random number from 0 to 1.
    /// Lost instances would not ask: if they counted, each of a few survivors would leave it to
    /// them.
    pub fn asks_store(
        &self,
        now: Micros,
        limit: Micros,
        up: usize,
        is_store_failing: bool,
        draw: f64,
    ) -> bool {
        let silence = self.silence(now);
        if silence <= limit {
            return false;
        }
        let steps = u32::try_from((silence - limit).0 / STEP.0).unwrap_or(u32::MAX);
        let doublings = if is_store_failing { 0 } else { steps.min(MAX_DOUBLINGS) };
        let askers = FIRST_ASKERS * f64::from(1_u32 << doublings);
        draw * (up as f64) < askers
    }
}
