//! Requests that backend servers may be running for this instance.
//!
//! Every send is in this account, until its server has answered it or nobody waits for the answer and
//! the server's time for it is over. However an attempt ends, its guard says what becomes of it, so that
//! no crash is without the requests that may have caused it.

use super::detection;
use crate::call::Call;
use crate::instance::{Instance, sleep};
use crate::service::Service;
use galenapath_filings::{Fingerprint, RunId, ServerRuns};
use galenapath_protocol::{BackendId, FastMap, Micros};
use std::cell::RefCell;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

/// Period at which the servers that have to be looked at are determined.
const LOOK_PERIOD: Micros = Micros::from_millis(25);

/// What one server may be running.
struct Watched {
    id: BackendId,
    service: Rc<Service>,
    runs: ServerRuns,
    /// Requests whose connection broke since the last check of the server began.
    lost: u64,
    /// Whether a check of the server is in progress.
    is_checked: bool,
}

impl Watched {
    fn new(service: &Rc<Service>, id: &BackendId) -> Self {
        Self {
            id: id.clone(),
            service: Rc::clone(service),
            runs: ServerRuns::default(),
            lost: 0,
            is_checked: false,
        }
    }

    fn is_needed(&self) -> bool {
        !self.runs.is_empty() || self.is_checked
    }
}

/// Requests that backend servers may be running for this instance.
#[derive(Default)]
pub(crate) struct RunningRequests {
    /// By the hash of the server's process run.
    servers: RefCell<FastMap<u64, Watched>>,
    /// The task that waits for the first abandoned request.
    waker: RefCell<Option<Waker>>,
}

impl RunningRequests {
    /// Counts a request whose connection to the server broke; returns whether a check of the server
    /// has to begin.
    fn begin_check(&self, server: &BackendId) -> bool {
        let mut servers = self.servers.borrow_mut();
        let Some(watched) = servers.get_mut(&server.hash()) else { return false };
        watched.lost += 1;
        !std::mem::replace(&mut watched.is_checked, true)
    }

    /// Takes out the number of requests that the next check of the server is for; `None` ends the
    /// checks.
    pub(super) fn take_lost(&self, server: &BackendId) -> Option<u64> {
        let mut servers = self.servers.borrow_mut();
        let watched = servers.get_mut(&server.hash())?;
        let lost = std::mem::take(&mut watched.lost);
        watched.is_checked = lost > 0;
        watched.is_checked.then_some(lost)
    }

    /// Takes out what a server that has crashed was running.
    pub(super) fn take(&self, now: Micros, server: &BackendId) -> Vec<Fingerprint> {
        let mut servers = self.servers.borrow_mut();
        servers.get_mut(&server.hash()).map(|watched| watched.runs.take(now)).unwrap_or_default()
    }

    /// Takes out what it was running and nobody waits for; `server` is its hash.
    pub(super) fn take_abandoned(&self, now: Micros, server: u64) -> Vec<Fingerprint> {
        let mut servers = self.servers.borrow_mut();
        let taken = servers.get_mut(&server).map(|watched| watched.runs.take_abandoned(now));
        taken.unwrap_or_default()
    }

    /// Number of requests that servers may be running and nobody waits for.
    pub(crate) fn abandoned_count(&self, now: Micros) -> usize {
        let servers = self.servers.borrow();
        servers.values().map(|watched| watched.runs.abandoned_count(now)).sum()
    }

    /// Takes out the servers that have to be looked at now.
    fn take_looks(&self, now: Micros) -> Vec<(Rc<Service>, BackendId)> {
        let mut servers = self.servers.borrow_mut();
        let due = servers.values_mut().filter_map(|watched| {
            let is_due = watched.runs.take_look(now) && !watched.is_checked;
            is_due.then(|| (Rc::clone(&watched.service), watched.id.clone()))
        });
        let due = due.collect();
        servers.retain(|_, watched| watched.is_needed());
        due
    }

    /// Ready once there is an abandoned request.
    fn poll_abandoned(&self, cx: &Context<'_>) -> Poll<()> {
        let servers = self.servers.borrow();
        if servers.values().any(|watched| watched.runs.has_abandoned()) {
            return Poll::Ready(());
        }
        *self.waker.borrow_mut() = Some(cx.waker().clone());
        Poll::Pending
    }

    fn begin(&self, call: &Call, server: &BackendId) -> RunId {
        let mut servers = self.servers.borrow_mut();
        let watched = servers.entry(server.hash());
        let watched = watched.or_insert_with(|| Watched::new(&call.service, server));
        watched.runs.begin(call.req.fingerprint, call.req.deadline)
    }

    fn end(&self, server: &BackendId, id: RunId) {
        let mut servers = self.servers.borrow_mut();
        let Some(watched) = servers.get_mut(&server.hash()) else { return };
        watched.runs.end(id);
        if !watched.is_needed() {
            servers.remove(&server.hash());
        }
    }

    fn abandon(&self, now: Micros, server: &BackendId, id: RunId) {
        if let Some(watched) = self.servers.borrow_mut().get_mut(&server.hash()) {
            watched.runs.abandon(now, id);
        }
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }
}

/// A request at a backend server. Unless it has ended, dropping this leaves it in the account as
/// abandoned.
pub(crate) struct Running {
    instance: Rc<Instance>,
    service: Rc<Service>,
    server: BackendId,
    request: Fingerprint,
    id: RunId,
    sent_at: Micros,
    has_ended: bool,
}

impl Running {
    /// Records that the request is being sent to the server.
    pub(crate) fn begin(call: &Call, server: &BackendId) -> Self {
        Self {
            instance: Rc::clone(&call.instance),
            service: Rc::clone(&call.service),
            server: server.clone(),
            request: call.req.fingerprint,
            id: call.instance.running.begin(call, server),
            sent_at: call.instance.now(),
            has_ended: false,
        }
    }

    /// Records that the server has answered the request, or has not run it.
    pub(crate) fn end(mut self) {
        self.has_ended = true;
    }

    /// Records that the connection broke, and checks in the background whether the server crashed.
    pub(crate) fn lose(self) {
        if self.instance.running.begin_check(&self.server) {
            detection::check(&self.instance, &self.service, &self.server);
        }
    }

    /// Whether servers have answered the same request since this one was sent, as when a hedge was
    /// faster.
    fn is_answered(&self) -> bool {
        let answered = self.instance.recent_answers.borrow().get(self.request);
        answered.is_some_and(|at| at >= self.sent_at)
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let running = &self.instance.running;
        if self.has_ended || self.is_answered() {
            running.end(&self.server, self.id);
        } else {
            running.abandon(self.instance.now(), &self.server, self.id);
        }
    }
}

/// Looks at servers that may be running abandoned requests and nothing else, for as long as the
/// instance runs.
pub(crate) async fn follow_abandoned(instance: Rc<Instance>) {
    loop {
        poll_fn(|cx| instance.running.poll_abandoned(cx)).await;
        sleep(LOOK_PERIOD).await;
        for (service, server) in instance.running.take_looks(instance.now()) {
            detection::look(&instance, service, server);
        }
    }
}
