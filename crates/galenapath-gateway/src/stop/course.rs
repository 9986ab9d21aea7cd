//! The course of a planned stop.

use crate::instance::{Instance, sleep, sleep_to_next};
use crate::stop::report::{self, StopSummary, WaitEnd};
use crate::stop::signals::Signals;
use crate::{fleet, usage};
use galenapath_policy::stop::{RecentMax, StopSchedule};
use galenapath_protocol::Micros;
use std::rc::Rc;

/// Interval at which signals and requests in progress are checked.
const CHECK_PERIOD: Micros = Micros::from_millis(100);

/// Least time for answers of the instance's own to requests in progress, before the process ends.
const ANSWERING: Micros = Micros::from_millis(20);

/// Time in which connections are left to the kernel before the process ends.
const LETTING_GO: Micros = Micros::from_millis(20);

/// Times of the looks at signals and requests. A look is late if the event loop has stalled.
struct Looks {
    last: Micros,
    /// The look before the last one.
    before: Micros,
    lateness: RecentMax,
}

impl Looks {
    fn start(now: Micros) -> Self {
        Self { last: now, before: now, lateness: RecentMax::default() }
    }

    /// Records a look.
    fn record(&mut self, now: Micros) {
        let since = now - self.last;
        self.before = self.last;
        self.last = now;
        self.lateness = self.lateness.with_sample(now, since - CHECK_PERIOD);
    }
}

/// A stop in progress.
struct Stop<'a> {
    instance: &'a Rc<Instance>,
    signals: &'a Signals,
    schedule: StopSchedule,
    looks: Looks,
}

impl Stop<'_> {
    /// Time since the stop began.
    fn took(&self) -> Micros {
        self.instance.now() - self.schedule.began
    }

    /// Waits until the next look, at most until `end`.
    async fn wait_for_look(&mut self, end: Micros) {
        sleep(CHECK_PERIOD.min(end - self.instance.now())).await;
        self.looks.record(self.instance.now());
        if let Some(signal) = self.signals.take_stop() {
            report::log_repeated(signal, self.took());
        }
    }

    /// Waits until `end`.
    async fn wait_until(&mut self, end: Micros) {
        while self.instance.now() < end {
            self.wait_for_look(end).await;
        }
    }

    /// Waits until all requests have their answers and callers have received these, at most until the
    /// process has to end.
    async fn wait_for_requests(&mut self) -> WaitEnd {
        let StopSchedule { answer_by, exit_by, .. } = self.schedule;
        if self.wait_for_all_until(answer_by).await == WaitEnd::NothingOpen {
            return WaitEnd::NothingOpen;
        }
        self.instance.end_requests();
        // A loop that was stalled may come here when the process has to end.
        self.wait_for_all_until(exit_by.max(self.instance.now() + ANSWERING)).await
    }

    async fn wait_for_all_until(&mut self, end: Micros) -> WaitEnd {
        loop {
            if self.instance.open.counts().total() == 0 {
                return WaitEnd::NothingOpen;
            }
            if self.instance.now() >= end {
                return WaitEnd::GraceOver;
            }
            self.wait_for_look(end).await;
        }
    }
}

/// Waits for a stop signal and then drains requests in progress. Returns when the process may end.
pub(crate) async fn run(instance: &Rc<Instance>, signals: &Signals) {
    let mut stop = wait_for_signal(instance, signals).await;
    fleet::broadcast_heartbeat(instance);
    stop.wait_until(stop.schedule.accept_until).await;
    instance.begin_closing();
    // What has arrived by now is read before anything counts as idle.
    stop.wait_for_look(stop.schedule.exit_by).await;
    let wait_end = stop.wait_for_requests().await;
    fleet::broadcast_end(instance);
    usage::log_totals(instance);
    let (took, longest_late) = (stop.took(), stop.looks.lateness.get(instance.now()));
    report::log_end(instance, StopSummary { took, wait_end, longest_late });
    if wait_end == WaitEnd::GraceOver {
        instance.begin_ending();
        sleep(LETTING_GO).await;
    }
}

/// Waits for a stop signal. The stop begins when it was last known not to have arrived: the loop may
/// have stalled since then, and the platform counts the grace period from the signal. The last look
/// does not show that: when a frozen process goes on, one may come before its signal handler.
async fn wait_for_signal<'a>(instance: &'a Rc<Instance>, signals: &'a Signals) -> Stop<'a> {
    // The first signal may have arrived while the instance started.
    let mut looks = Looks::start(instance.now() - instance.clock.uptime());
    loop {
        let now = instance.now();
        if let Some(signal) = signals.take_stop() {
            report::log_begin(instance, signal, now - looks.before);
            let schedule = instance.begin_stop(looks.before, looks.lateness.get(now));
            return Stop { instance, signals, schedule, looks: Looks::start(now) };
        }
        looks.record(now);
        sleep_to_next(instance, CHECK_PERIOD).await;
    }
}
