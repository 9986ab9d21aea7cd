//! The planned stop of an instance, as its connections and requests see it.

use crate::answer::LocalAnswer;
use crate::call::Call;
use crate::event::{Event, Happened};
use crate::instance::{Instance, Stage};
use crate::stop::Signals;
use galenapath_policy::stop::{StopSchedule, StopTimes};
use galenapath_protocol::{Micros, Verdict};
use galenapath_routes::Route;
use http::StatusCode;
use std::cell::Cell;

/// How many times as long as stated callers keep an address answer.
const ADDRESSES_KEPT_TIMES: u64 = 3;

/// Time that a caller needs to connect after it has read an address answer.
const CONNECT_TIME: Micros = Micros::from_millis(500);

/// Time after the signal within which callers accept that a request whose work is cut was taken.
const WORK_MAY_BE_CUT_FOR: Micros = Micros::from_secs(3);

/// The planned stop of an instance.
pub(crate) struct PlannedStop {
    signals: Signals,
    /// Its moments; `None` before it has begun.
    schedule: Cell<Option<StopSchedule>>,
    /// The listener and the idle connections close.
    closing: Event,
    /// Requests that are still in progress have to be answered.
    answers_due: Event,
    /// The process ends.
    ending: Event,
}

impl PlannedStop {
    /// No stop yet; a signal of `signals` begins it.
    pub(crate) fn new(signals: Signals) -> Self {
        Self {
            signals,
            schedule: Cell::default(),
            closing: Event::default(),
            answers_due: Event::default(),
            ending: Event::default(),
        }
    }

    /// Waits until the listener and the idle connections have to close.
    pub(crate) fn closing(&self) -> Happened {
        self.closing.happened()
    }

    /// Waits until requests in progress have to be answered.
    pub(crate) fn answers_due(&self) -> Happened {
        self.answers_due.happened()
    }

    /// Waits until the process is about to end.
    pub(crate) fn ending(&self) -> Happened {
        self.ending.happened()
    }
}

/// The answer to a request that has not run because the instance stops. The other instances serve it
/// at once.
pub(crate) const fn stopping_answer() -> LocalAnswer {
    let answer = LocalAnswer::new(StatusCode::SERVICE_UNAVAILABLE, "stopping");
    answer.with_retry_after(Micros::ZERO)
}

impl Instance {
    /// Begins a stop whose signal arrived at `began` or later. Timers have been late by up to
    /// `lateness`.
    pub(crate) fn begin_stop(&self, began: Micros, lateness: Micros) -> StopSchedule {
        let settings = self.settings();
        let stated = Micros::from(settings.keep_addresses);
        let kept = Micros(stated.0.saturating_mul(ADDRESSES_KEPT_TIMES));
        let (grace, callers_arrive) = (settings.grace.into(), kept + CONNECT_TIME);
        let times =
            StopTimes { grace, callers_arrive, work_may_be_cut_for: WORK_MAY_BE_CUT_FOR, lateness };
        let schedule = StopSchedule::new(began, times);
        self.stop.schedule.set(Some(schedule));
        self.stage.set(Stage::Leaving);
        schedule
    }

    /// Whether a stop is in progress. It is from the signal on, also before the look that sees that.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stop.schedule.get().is_some() || self.stop.signals.has_stop()
    }

    /// Checks whether a request on `route` can end before this process does.
    ///
    /// # Errors
    ///
    /// The answer to one that may not.
    pub(crate) fn check_time(&self, route: &Route, deadline: Micros) -> Result<(), LocalAnswer> {
        let can_end = self.can_end(deadline, || self.work_bound(route));
        can_end.then_some(()).ok_or(stopping_answer())
    }

    fn can_end(&self, deadline: Micros, work_bound: impl FnOnce() -> Option<Micros>) -> bool {
        let schedule = self.stop.schedule.get();
        schedule.is_none_or(|schedule| schedule.may_take(self.now(), deadline, work_bound()))
    }

    /// Upper bound on the work of a request on `route`, whichever of its services gets it.
    fn work_bound(&self, route: &Route) -> Option<Micros> {
        let bound = |name: &str| self.service(name)?.longest_work.get().bound(self.now());
        let mut bounds = route.services.iter().map(|part| bound(&part.service));
        bounds.try_fold(Micros::ZERO, |longest, bound| Some(longest.max(bound?)))
    }

    /// Closes the listener and the idle connections.
    pub(crate) fn begin_closing(&self) {
        self.stage.set(Stage::Closing);
        self.stop.closing.fire();
    }

    /// Answers the requests that are still in progress.
    pub(crate) fn end_requests(&self) {
        self.stop.answers_due.fire();
    }

    /// Lets go of what is still being delivered, because the process ends.
    pub(crate) fn begin_ending(&self) {
        self.stop.ending.fire();
    }
}

impl Call {
    /// Whether the request can end before this process does.
    pub(crate) fn can_end_in_time(&self) -> bool {
        let bound = || self.service.longest_work.get().bound(self.instance.now());
        self.instance.can_end(self.req.deadline, bound)
    }

    /// Records how long the request took, if a server may have run it.
    pub(crate) fn record_work(&self, verdict: Verdict) {
        if verdict != Verdict::NotRun {
            let (now, longest) = (self.instance.now(), &self.service.longest_work);
            longest.set(longest.get().with_sample(now, now - self.req.arrived));
        }
    }
}
