//! Planned stop of an instance.
//!
//! The instance is first removed from the address answers. It then waits until its callers use
//! other instances and its requests have ended, hands the outcomes of its filings over to its
//! successors, and removes itself from the platform's list.

use super::hand_over::HandOver;
use super::plane::ControlPlane;
use super::{gossip, lists};
use crate::data::{DataCommand, OpenCounts, Phase};
use crate::shared::Stage;
use galenapath_policy::stop::{RecentMax, StopSchedule, StopTimes};
use galenapath_protocol::Micros;
use std::rc::Rc;

/// Time for which callers may still come because of an earlier address answer: they keep one for
/// five seconds, and gossip takes one more.
const CALLERS_ARRIVE: Micros = Micros::from_secs(6);

/// Time at the end of a stop in which outcomes are handed over. Longer than the timeout of a call
/// to a peer.
const HAND_OVER_TIME: Micros = Micros::from_millis(1_500);

/// Part of the limit that the hand-over may take.
const MAX_HAND_OVER_PART: u64 = 6;

/// Time before the limit at which the process ends.
const END_MARGIN: Micros = Micros::from_millis(300);

/// Part of the limit that the margin may take.
const MAX_MARGIN_PART: u64 = 20;

/// Interval at which signals and open requests are checked.
const POLL_INTERVAL: Micros = Micros::from_millis(20);

/// Maximum wait for an answer of the data thread. A thread that is stalled must not delay the end.
const ANSWER_TIMEOUT: Micros = Micros::from_millis(100);

/// Waits for a stop signal and performs the stop, which takes at most the time in the settings.
///
/// A second signal ends the wait for callers that come because of an earlier address answer. It
/// ends no request: supervisors and scripts repeat signals, and who wants no drain sends SIGKILL.
pub(super) async fn wait_and_drain(plane: &Rc<ControlPlane>) {
    let (began, lateness) = wait_for_signal(plane).await;
    let limit = Micros::from(plane.shared.settings.limits.drain_timeout);
    let schedule = schedule(began, limit, lateness);
    log::info!(limit_ms = limit.0 / 1_000, lateness_ms = lateness.0 / 1_000; "stopping");
    plane.shared.begin_stop(schedule);
    let begin = DataCommand::BeginStop { answer_by: schedule.answer_by };
    tell_data(plane, begin);
    plane.members.borrow_mut().leave(plane.now());
    plane.publish_members();
    let task_plane = Rc::clone(plane);
    monoio::spawn(async move { gossip::notify_all(&task_plane).await });
    let task_plane = Rc::clone(plane);
    let announced = monoio::spawn(async move { lists::announce_leaving(&task_plane).await });
    wait_for_callers(plane, schedule.accept_until).await;
    plane.shared.set_stage(Stage::Draining);
    // Peers cannot forward resends here once the listener is closed, so their callers need what is
    // known before that.
    let hand_over = HandOver::default();
    let _ = timeout(schedule.exit_by - plane.now(), hand_over.run(plane)).await;
    tell_data(plane, DataCommand::Close);
    wait_for_requests(plane, schedule.exit_by).await;
    let end = began + (limit - END_MARGIN.min(Micros(limit.0 / MAX_MARGIN_PART)));
    let leave = async {
        hand_over.run(plane).await;
        // An announcement that arrives after the withdrawal would list the instance again.
        announced.await;
        lists::withdraw(plane).await;
    };
    if timeout(end - plane.now(), leave).await.is_none() {
        log::warn!("no time is left to hand over outcomes and to leave the platform's list");
    }
    wait_for_requests(plane, end).await;
    log_end(plane, began).await;
}

/// Waits for a stop signal. Returns the time of the last look but one that did not see it, and by
/// how much looks have been late recently. When a frozen process goes on, one look may come before
/// its signal handler.
async fn wait_for_signal(plane: &ControlPlane) -> (Micros, Micros) {
    let mut last_looks = [plane.now(); 2];
    let mut lateness = RecentMax::default();
    loop {
        sleep(POLL_INTERVAL).await;
        let now = plane.now();
        if plane.wiring.stops.take() {
            return (last_looks[0], lateness.get(now));
        }
        lateness = lateness.with_sample(now, now - last_looks[1] - POLL_INTERVAL);
        last_looks = [last_looks[1], now];
    }
}

fn schedule(began: Micros, limit: Micros, lateness: Micros) -> StopSchedule {
    let hand_over = HAND_OVER_TIME.min(Micros(limit.0 / MAX_HAND_OVER_PART));
    let grace = limit - hand_over;
    let times =
        StopTimes { grace, callers_arrive: CALLERS_ARRIVE, work_may_be_cut_for: grace, lateness };
    StopSchedule::new(began, times)
}

/// Waits until `until` or the next signal.
async fn wait_for_callers(plane: &ControlPlane, until: Micros) {
    while plane.now() < until {
        if plane.wiring.stops.take() {
            log::info!("stopping without waiting for further callers");
            return;
        }
        sleep(POLL_INTERVAL.min(until - plane.now())).await;
    }
}

/// Waits until no request of callers or operators is open, or `until`.
async fn wait_for_requests(plane: &ControlPlane, until: Micros) {
    while plane.now() < until {
        let is_done = count_open(plane).await.is_some_and(|open| !open.is_any());
        if is_done && !plane.has_operator_requests() {
            return;
        }
        sleep(POLL_INTERVAL.min(until - plane.now())).await;
    }
}

async fn timeout<T>(time: Micros, work: impl Future<Output = T>) -> Option<T> {
    monoio::time::timeout(time.into(), work).await.ok()
}

async fn sleep(time: Micros) {
    monoio::time::sleep(time.into()).await;
}

/// Sends a command to the data thread, without waiting for room in its queue.
fn tell_data(plane: &ControlPlane, command: DataCommand) {
    let commands = plane.wiring.commands.clone();
    // Fails only if the data thread has ended, and then the process does.
    monoio::spawn(async move { commands.send_async(command).await.is_ok() });
}

/// Sends a command to the data thread and waits for its answer; `None` if that is late.
async fn ask_data<T>(
    plane: &ControlPlane,
    command: impl FnOnce(flume::Sender<T>) -> DataCommand,
) -> Option<T> {
    let (reply, rx) = flume::bounded(1);
    plane.wiring.commands.try_send(command(reply)).ok()?;
    timeout(ANSWER_TIMEOUT, rx.recv_async()).await?.ok()
}

async fn count_open(plane: &ControlPlane) -> Option<OpenCounts> {
    ask_data(plane, |reply| DataCommand::CountOpen { reply }).await
}

/// Names the requests that the end of the process cuts, and logs how many there are.
async fn log_end(plane: &ControlPlane, began: Micros) {
    let logged = ask_data(plane, |reply| DataCommand::LogOpen { reply }).await;
    let open = count_open(plane).await.unwrap_or_default();
    log::info!(
        reading = open.of(Phase::Reading),
        waiting = open.of(Phase::Waiting),
        sent = open.of(Phase::Sent),
        answering = open.of(Phase::Answering),
        delivering = open.of(Phase::Delivering),
        is_complete = logged.is_some(),
        took_ms = (plane.now() - began).0 / 1_000;
        "stopped"
    );
}
