//! Which requests were running on a backend server when it crashed.

use super::backend::Backend;
use super::plane::DataPlane;
use crate::shared::{ControlEvent, CrashNote};
use flume::Receiver;
use galenapath_filings::{Fingerprint, SuspectVerdict};
use galenapath_protocol::hash64;
use std::cell::RefCell;
use std::time::Duration;

/// Seed of the hash that names a backend server among suspects; the same on every instance.
const BACKEND_SEED: u64 = 0;

/// Fingerprints of the requests of this instance that run on one backend server.
#[derive(Default)]
pub(super) struct RunningSet {
    running: RefCell<Vec<Fingerprint>>,
}

impl RunningSet {
    /// Counts a request as running until the guard is dropped.
    pub(super) fn enter(&self, fp: Fingerprint) -> Running<'_> {
        self.running.borrow_mut().push(fp);
        Running { set: self, fp }
    }

    /// Whether nothing runs there.
    pub(super) fn is_empty(&self) -> bool {
        self.running.borrow().is_empty()
    }
}

/// A request that runs on a backend server.
pub(super) struct Running<'a> {
    set: &'a RunningSet,
    fp: Fingerprint,
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        let mut running = self.set.running.borrow_mut();
        if let Some(at) = running.iter().position(|fp| *fp == self.fp) {
            running.swap_remove(at);
        }
    }
}

/// Longest wait for peers to hear of a crash before the caller is told of it: several crossings
/// between failure domains. A peer that has not answered by then hears by gossip.
const PEERS_WAIT: Duration = Duration::from_millis(20);

/// Word to the peers about a crash that is on its way.
pub(super) struct Spreading(Receiver<()>);

impl Spreading {
    /// Waits until the peers have heard. A caller that sends a request again as soon as it is told
    /// of its failure would else find an instance that knows of one crash less.
    pub(super) async fn done(self) {
        let _ = monoio::time::timeout(PEERS_WAIT, self.0.recv_async()).await;
    }
}

/// Notes that a connection was lost with a request on it: everything that runs on the server is
/// suspected.
pub(super) fn note_loss(plane: &DataPlane, backend: &Backend) -> Spreading {
    plane.shared.metrics.fault("connection_lost");
    let name = hash64(BACKEND_SEED, backend.id.0.as_bytes());
    let running = backend.running.running.borrow();
    let now = plane.now();
    let mut suspects = plane.suspects.borrow_mut();
    suspects.record_crash(now, name, &running);
    let (told, rx) = flume::bounded(1);
    let note = CrashNote { facts: suspects.export(now), told };
    let _ = plane.events.try_send(ControlEvent::Crash(note));
    Spreading(rx)
}

/// How a request may run, in view of the crashes known.
pub(super) enum Clearance<'a> {
    /// Like any other.
    Free,
    /// On a backend server on which nothing else of this instance runs.
    Alone(Trial<'a>),
    /// Not at all for now.
    Refused(SuspectVerdict),
}

/// A suspect that runs alone. Dropping it ends the trial.
pub(super) struct Trial<'a> {
    plane: &'a DataPlane,
    fp: Fingerprint,
}

impl Drop for Trial<'_> {
    fn drop(&mut self) {
        self.plane.suspects.borrow_mut().end_isolated_run(self.fp);
    }
}

/// Judges a request.
pub(super) fn clearance(plane: &DataPlane, fp: Fingerprint) -> Clearance<'_> {
    let mut suspects = plane.suspects.borrow_mut();
    match suspects.check(plane.now(), fp) {
        SuspectVerdict::Clear => Clearance::Free,
        SuspectVerdict::RunIsolated => {
            suspects.begin_isolated_run(fp);
            Clearance::Alone(Trial { plane, fp })
        }
        refuse @ SuspectVerdict::Reject { .. } => Clearance::Refused(refuse),
    }
}
