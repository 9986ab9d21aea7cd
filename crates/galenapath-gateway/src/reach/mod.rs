//! Which backend servers this instance reaches, and what follows where it has lost paths that other
//! instances have. [`galenapath_policy::reach`] decides.
//!
//! While an exchange with a server fails, [`run`] checks the server again and asks other instances
//! about it. An instance that reaches less than half of what the others reach leaves the answers to
//! callers.

mod checks;
mod exchanges;
mod questions;
mod reports;

pub(crate) use checks::verify_paths;
pub(crate) use exchanges::no_answer;
pub(crate) use questions::OtherView;
pub(crate) use reports::ReportDecision;

use crate::instance::{Instance, sleep_to_next};
use crate::service::Service;
use galenapath_policy::measure::TokenBucket;
use galenapath_policy::reach::{PathSummary, Trials, Withdrawal, WithdrawalChange};
use galenapath_protocol::Micros;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

/// Interval at which checks and questions that are due are begun while an exchange with a server
/// has failed.
const TICK_PERIOD: Micros = Micros::from_millis(25);

/// Checks of servers a second, which open a connection each.
const CHECKS_PER_SECOND: f64 = 40.0;

/// Checks a second on behalf of other instances.
const CHECKS_FOR_OTHERS_PER_SECOND: f64 = 60.0;

/// Time for which these have added up when the instance starts: one without paths asks it at once about
/// some servers of each service.
const CHECKS_FOR_OTHERS_AT_START_SECS: f32 = 0.25;

/// Servers a second about which other instances are asked, and the time for which unused ones add up.
const QUESTIONS_PER_SECOND: f64 = 40.0;
const QUESTION_BURST_SECS: f32 = 0.25;

/// Time within which servers have to have failed or answered to show whether this instance's own
/// paths are in doubt.
const DOUBT_WINDOW: Micros = Micros::from_secs(1);

/// What an instance knows of its own paths.
pub(crate) struct Reach {
    withdrawal: Cell<Withdrawal>,
    /// Whether no server answers this instance, though some answer others.
    is_nothing_reached: Cell<bool>,
    checks: Cell<TokenBucket>,
    checks_for_others: Cell<TokenBucket>,
    trials: RefCell<Trials>,
    questions: Cell<TokenBucket>,
    /// The task that waits for something to check.
    waker: RefCell<Option<Waker>>,
}

impl Reach {
    pub(crate) fn new(now: Micros) -> Self {
        Self {
            withdrawal: Cell::default(),
            is_nothing_reached: Cell::new(false),
            checks: Cell::new(TokenBucket::new(now, CHECKS_PER_SECOND)),
            checks_for_others: Cell::new(
                TokenBucket::new(now, CHECKS_FOR_OTHERS_PER_SECOND)
                    .filled(CHECKS_FOR_OTHERS_AT_START_SECS),
            ),
            trials: RefCell::default(),
            questions: Cell::new(TokenBucket::with_burst(
                now,
                QUESTIONS_PER_SECOND,
                QUESTION_BURST_SECS,
            )),
            waker: RefCell::default(),
        }
    }

    /// Whether this instance has left the answers to callers.
    pub(crate) fn is_withdrawn(&self) -> bool {
        self.withdrawal.get().is_withdrawn()
    }

    /// Whether no server answers this instance, though some answer others.
    pub(crate) fn is_nothing_reached(&self) -> bool {
        self.is_nothing_reached.get()
    }

    /// Number of checks that may begin now.
    fn checks_left(&self, now: Micros) -> usize {
        self.checks.get().tokens(now)
    }

    fn count_check(&self, now: Micros) {
        take(&self.checks, now);
    }

    /// Number of servers about which other instances may be asked now.
    fn questions_left(&self, now: Micros) -> usize {
        self.questions.get().tokens(now)
    }

    fn count_question(&self, now: Micros) {
        take(&self.questions, now);
    }

    /// Takes one of the checks on behalf of other instances; returns whether there is one.
    fn take_check_for_others(&self, now: Micros) -> bool {
        take(&self.checks_for_others, now)
    }

    /// Wakes the task that waits for something to check.
    pub(crate) fn wake(&self) {
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }
}

fn take(bucket: &Cell<TokenBucket>, now: Micros) -> bool {
    let mut tokens = bucket.get();
    let is_taken = tokens.take(now);
    bucket.set(tokens);
    is_taken
}

impl Instance {
    /// Whether so many servers do not answer this instance that its own paths may be gone. What it
    /// observes of a server then proves nothing about the server.
    pub(crate) fn are_paths_in_doubt(&self) -> bool {
        let since = self.now() - DOUBT_WINDOW;
        let (mut unanswered, mut answered) = (0, 0);
        for service in self.services.borrow().values() {
            let (silent, open) = service.contacts.borrow().unanswered_and_answered(since);
            unanswered += silent;
            answered += open;
        }
        unanswered > 1 && unanswered >= answered
    }

    /// Whether any backend server has answered this instance at `since` or later.
    pub(crate) fn has_server_answered_since(&self, since: Micros) -> bool {
        let services = self.services.borrow();
        services.values().any(|service| service.contacts.borrow().has_answer_since(since))
    }

    /// Ready once an exchange with a server has failed or a check is wanted.
    fn poll_reach(&self, cx: &Context<'_>) -> Poll<()> {
        let needs_attention = |service: &Rc<Service>| service.contacts.borrow().needs_attention();
        if self.reach.is_withdrawn() || self.services.borrow().values().any(needs_attention) {
            return Poll::Ready(());
        }
        *self.reach.waker.borrow_mut() = Some(cx.waker().clone());
        Poll::Pending
    }

    /// Updates whether this instance has lost its paths, and logs a change.
    fn update_reach(&self) {
        let now = self.now();
        let all = {
            let services = self.services.borrow();
            let paths = services.values().map(|service| service.contacts.borrow().summary(now));
            paths.fold(PathSummary::default(), PathSummary::plus)
        };
        self.reach.is_nothing_reached.set(all.is_nothing_reached());
        let mut withdrawal = self.reach.withdrawal.get();
        let change = withdrawal.update(now, all);
        self.reach.withdrawal.set(withdrawal);
        let Some(change) = change else { return };
        let PathSummary { open, closing, silent, cut_off } = all;
        match change {
            WithdrawalChange::Withdrawn => {
                log::warn!(open, closing, silent, cut_off;
                    "paths to backend servers lost that other instances reach");
            }
            WithdrawalChange::Returned => {
                log::info!(open, closing, silent, cut_off; "paths to backend servers are back");
            }
        }
    }
}

/// Checks paths and asks other instances for as long as this instance runs. It does not wake while
/// all exchanges with servers succeed.
pub(crate) async fn run(instance: Rc<Instance>) {
    loop {
        poll_fn(|cx| instance.poll_reach(cx)).await;
        sleep_to_next(&instance, TICK_PERIOD).await;
        checks::begin(&instance);
        instance.ask_others();
        instance.update_reach();
    }
}
