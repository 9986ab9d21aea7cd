//! Detection of requests that crash backend servers.
//!
//! When a connection is lost, all requests that the server may have been running become crash suspects,
//! unless this instance has lost its own paths to the servers.
//! Later requests with the same fingerprint may be rejected, or may have to run isolated: on a
//! server on which nothing else of this instance is running.

use super::backend::Backend;
use super::own_paths;
use super::plane::DataPlane;
use super::service::Service;
use crate::shared::{ControlEvent, CrashReport};
use flume::{Receiver, Sender};
use galenapath_filings::{Fingerprint, SuspectReport, SuspectVerdict};
use galenapath_protocol::{BackendId, Micros, hash64};
use std::rc::Rc;
use std::time::Duration;

/// Seed of the hash that identifies a backend server in reports of suspects; the same on every
/// instance.
const BACKEND_SEED: u64 = 0;

/// Maximum wait for the peers to acknowledge a crash before the caller is answered: several round
/// trips between failure domains. A peer that has not answered by then learns of it by gossip.
const PEER_NOTIFY_TIMEOUT: Duration = Duration::from_millis(20);

/// A lost connection that may be recorded as a crash.
pub(super) struct Loss {
    /// Closed once it is recorded, or not counted.
    recorded: Receiver<()>,
    /// Closed once the peers have acknowledged it.
    acknowledged: Receiver<()>,
}

impl Loss {
    /// Waits until it is recorded here or not counted.
    pub(super) async fn wait_until_recorded(&self) {
        let _ = self.recorded.recv_async().await;
    }

    /// Waits until the peers have acknowledged it, at most `PEER_NOTIFY_TIMEOUT`. Without the wait,
    /// a caller that retries immediately could reach an instance that does not count this crash yet.
    pub(super) async fn wait_for_peers(self) {
        let _ = monoio::time::timeout(PEER_NOTIFY_TIMEOUT, self.acknowledged.recv_async()).await;
    }
}

/// Begins to record that a connection to a server was lost while a request was on it. Unless this
/// instance's own paths are gone, all requests that the server may be running become suspects, and the
/// peers are notified.
pub(super) fn record_connection_loss(
    plane: &Rc<DataPlane>,
    service: &Service,
    backend: &Rc<Backend>,
) -> Loss {
    plane.shared.metrics.count_fault("connection_lost");
    let at = plane.now();
    let running = backend.running.possible(at);
    let begin = || own_paths::begin_check(plane, service, backend.address);
    let check = backend.path_check(begin);
    let (recorded_tx, recorded) = flume::bounded::<()>(1);
    let (acknowledged_tx, acknowledged) = flume::bounded(1);
    let (plane, backend) = (Rc::clone(plane), Rc::clone(backend));
    // A request may end before the check does.
    monoio::spawn(async move {
        if check.await {
            backend.running.take_abandoned(plane.now());
            let lost = LostRequests { at, backend: hash_of(&backend.id), running };
            lost.record(&plane, acknowledged_tx);
        } else {
            plane.shared.metrics.count_fault("own_paths_lost");
        }
        drop(recorded_tx);
    });
    Loss { recorded, acknowledged }
}

/// The name of a backend server in reports of suspects; the same on every instance.
fn hash_of(id: &BackendId) -> u64 {
    hash64(BACKEND_SEED, id.0.as_bytes())
}

/// The requests that a backend server may have been running when a connection to it was lost.
struct LostRequests {
    at: Micros,
    backend: u64,
    running: Vec<Fingerprint>,
}

impl LostRequests {
    /// Records the crash, except for requests that servers have just answered: many callers send those,
    /// and they were in flight by chance.
    fn record(&self, plane: &DataPlane, acknowledged: Sender<()>) {
        let mut suspects = plane.suspects.borrow_mut();
        let mut blamed = Vec::new();
        for fp in &self.running {
            match plane.recent_answers.borrow().cleared_until(self.at, *fp) {
                Some(until) => suspects.record_common(self.at, *fp, until),
                None => blamed.push(*fp),
            }
        }
        suspects.record_crash(self.at, self.backend, &blamed);
        plane.shared.metrics.crashes.inc();
        let report = CrashReport { suspects: suspects.export(plane.now()), acknowledged };
        let _ = plane.events.try_send(ControlEvent::Crash(report));
    }
}

/// Records that a server has answered a request, so that the request did not crash it. Other instances
/// that suspect it are notified.
pub(super) fn record_answer(plane: &DataPlane, fp: Fingerprint) {
    let now = plane.now();
    plane.recent_answers.borrow_mut().record(now, fp);
    if plane.suspects.borrow_mut().record_answer(now, fp) {
        let _ = plane.events.try_send(ControlEvent::SuspectAnswered(fp));
    }
}

/// Merges what another instance knows of crash suspects.
pub(super) fn merge_suspects(plane: &DataPlane, reports: &[SuspectReport]) {
    let crashed = plane.suspects.borrow_mut().merge(plane.now(), reports);
    if !crashed.is_empty() {
        clear_common(plane, reports);
        record_abandoned(plane, &crashed);
    }
}

/// Clears the requests in reported crashes that servers have just answered here. An instance that hardly
/// ever serves a common request cannot know that it is one.
fn clear_common(plane: &DataPlane, reports: &[SuspectReport]) {
    let now = plane.now();
    for report in reports {
        let SuspectReport::Crash { members, .. } = report else { continue };
        for fp in members {
            if let Some(until) = plane.recent_answers.borrow().cleared_until(now, *fp) {
                plane.suspects.borrow_mut().record_common(now, *fp, until);
                let _ = plane.events.try_send(ControlEvent::SuspectAnswered(*fp));
            }
        }
    }
}

/// Records what servers that have just crashed may have been running for this instance, of which nothing
/// shows it that they crashed.
fn record_abandoned(plane: &DataPlane, crashed: &[u64]) {
    let now = plane.now();
    for backend in plane.services().iter().flat_map(|service| service.backends()) {
        let hash = hash_of(&backend.id);
        if !crashed.contains(&hash) {
            continue;
        }
        let running = backend.running.take_abandoned(now);
        if !running.is_empty() {
            let (acknowledged, _) = flume::bounded(1);
            LostRequests { at: now, backend: hash, running }.record(plane, acknowledged);
        }
    }
}

/// How a request may run, given the known crashes.
pub(super) enum RunPermission<'a> {
    /// Without restrictions.
    Unrestricted,
    /// Only on a backend server on which nothing else of this instance is running.
    Isolated(IsolatedRun<'a>),
    /// Not at present.
    Rejected(SuspectVerdict),
}

/// Guard of a suspect that runs isolated. Dropping it ends the isolated run.
pub(super) struct IsolatedRun<'a> {
    plane: &'a DataPlane,
    fp: Fingerprint,
}

impl Drop for IsolatedRun<'_> {
    fn drop(&mut self) {
        self.plane.suspects.borrow_mut().end_isolated_run(self.fp);
    }
}

/// Returns how a request may run. For a suspect that may run isolated, the isolated run begins.
pub(super) fn check_permission(plane: &DataPlane, fp: Fingerprint) -> RunPermission<'_> {
    let mut suspects = plane.suspects.borrow_mut();
    match suspects.check(plane.now(), fp) {
        SuspectVerdict::Clear => RunPermission::Unrestricted,
        SuspectVerdict::RunIsolated => {
            suspects.begin_isolated_run(fp);
            RunPermission::Isolated(IsolatedRun { plane, fp })
        }
        rejection @ SuspectVerdict::Reject { .. } => RunPermission::Rejected(rejection),
    }
}
