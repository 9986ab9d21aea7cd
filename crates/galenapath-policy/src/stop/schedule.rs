//! The course of a planned stop.
//!
//! Load pattern: callers keep an address answer and open connections for seconds after an instance
//! has begun to stop, and send further requests to it. One that is passed on to a server shortly
//! before the process ends is still running when it does: a server has done the work, and the
//! caller gets no answer. An instance that stops therefore passes on only what can end before the
//! process does. It rejects the rest at once, which costs the caller a try at another instance.
//!
//! The platform counts the grace period by the clock, and a busy process runs its timers late. One that
//! has just been late ends earlier by as much: killed, it would cut everything that is open.
//!
//! It must not reject more than that. Callers that hold an earlier address answer have no reason
//! to look for another instance yet, so everything that ends in time is still served.

use galenapath_protocol::Micros;

/// Time before the end of the grace period at which the process ends at the latest. The platform
/// kills a process that is still there.
const EXIT_MARGIN: Micros = Micros::from_millis(300);

/// Time between the last answers and the end of the process, in which they reach the callers.
const DELIVERY_TIME: Micros = Micros::from_millis(200);

/// Part of the grace period that each of these two times may take.
const MAX_PART_OF_GRACE: u64 = 10;

/// Part of the grace period that late timers may take beyond these times. Callers with an earlier
/// address answer still need most of it, and one long pause says little of the next seconds.
const MAX_PART_FOR_LATENESS: u64 = 10;

/// Parts in six of the grace period before which no work is cut because timers are late. Callers
/// accept a cut in the last sixth only.
const UNCUT_SIXTHS: u64 = 5;

/// Parts in five of the grace period for which new connections are accepted at the most. The rest
/// is for the requests that arrive last.
const ACCEPT_FIFTHS: u64 = 3;

/// Times that a stop depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopTimes {
    /// Time from the signal until the platform kills the process.
    pub grace: Micros,
    /// Time for which callers may still come because of an earlier address answer.
    pub callers_arrive: Micros,
    /// Time after the signal within which a request has to be sent for it to be allowed that the
    /// end of the process cuts its work.
    pub work_may_be_cut_for: Micros,
    /// Longest time by which timers of this process have been late recently.
    pub lateness: Micros,
}

/// The moments of a planned stop.
///
/// Invariant: `began <= accept_until <= answer_by <= exit_by`, all within the grace period. Where the
/// margins leave room for it, `answer_by` is in the last sixth of the grace period.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSchedule {
    /// Latest time at which the signal is known not to have arrived yet.
    pub began: Micros,
    /// Until when new connections are accepted and idle ones stay open.
    pub accept_until: Micros,
    /// Until when requests that were taken have to be answered.
    pub answer_by: Micros,
    /// When the process ends, whatever is still open.
    pub exit_by: Micros,
    /// Until when a request may be taken because of the bound on its work alone.
    work_bound_until: Micros,
}

impl StopSchedule {
    /// The schedule of a stop whose signal arrived at `began` or later.
    pub fn new(began: Micros, times: StopTimes) -> Self {
        let StopTimes { grace, callers_arrive, work_may_be_cut_for, lateness } = times;
        let part = Micros(grace.0 / MAX_PART_OF_GRACE);
        let (margin, delivery) = (EXIT_MARGIN.min(part), DELIVERY_TIME.min(part));
        let uncut = Micros(grace.0 * UNCUT_SIXTHS / 6).min(grace - margin - delivery);
        let spare = grace - margin - Micros(delivery.0 / 2) - uncut;
        let lateness = lateness.min(spare).min(Micros(grace.0 / MAX_PART_FOR_LATENESS));
        let usable = grace - lateness;
        let exit_by = began + (usable - margin);
        let accept = callers_arrive.min(Micros(usable.0 * ACCEPT_FIFTHS / 5));
        Self {
            began,
            accept_until: began + accept,
            answer_by: (exit_by - delivery).max(began + uncut),
            exit_by,
            work_bound_until: began + work_may_be_cut_for.min(Micros(usable.0 / 2)),
        }
    }

    /// Whether a request may be passed on at `now`: it ends by its deadline, or because of the
    /// bound on the work of its service, before the last answers are due. A bound may turn out too
    /// low, so it counts only in the first half of the stop, and while the work may be cut.
    pub fn may_take(&self, now: Micros, deadline: Micros, work_bound: Option<Micros>) -> bool {
        let ends_by_work = || work_bound.is_some_and(|bound| now + bound <= self.answer_by);
        deadline <= self.answer_by || (now < self.work_bound_until && ends_by_work())
    }
}
