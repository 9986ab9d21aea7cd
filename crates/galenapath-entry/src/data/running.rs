//! Requests that backend servers may be running for this instance.
//!
//! Every send is in this account until its server has answered it, or nobody waits for the answer and
//! the server's time for it is over, so that no crash is without the requests that may have caused it.

use super::backend::Backend;
use super::crash;
use super::plane::DataPlane;
use super::service::Service;
use galenapath_filings::{Fingerprint, RunId, ServerRuns};
use galenapath_protocol::Micros;
use http::StatusCode;
use monoio::net::TcpStream;
use std::cell::RefCell;
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;

/// Time within which the machine of a server that has ended refuses a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Requests of this instance that one backend server may be running.
#[derive(Default)]
pub(super) struct RunningSet {
    runs: RefCell<ServerRuns>,
}

impl RunningSet {
    /// Returns whether the server is running no request of this instance.
    pub(super) fn is_empty(&self, now: Micros) -> bool {
        let mut runs = self.runs.borrow_mut();
        runs.expire(now);
        runs.is_empty()
    }

    /// Returns the requests that the server may be running.
    pub(super) fn possible(&self, now: Micros) -> Vec<Fingerprint> {
        self.runs.borrow().possible(now)
    }

    /// Takes out those of them that nobody waits for.
    pub(super) fn take_abandoned(&self, now: Micros) -> Vec<Fingerprint> {
        self.runs.borrow_mut().take_abandoned(now)
    }
}

/// A request at a backend server. Unless it has ended, dropping this leaves it in the account as
/// abandoned.
pub(super) struct Running {
    plane: Rc<DataPlane>,
    backend: Rc<Backend>,
    request: Fingerprint,
    id: RunId,
    began: Micros,
    has_ended: bool,
}

impl Running {
    /// Records that a request will be sent to the server with this deadline.
    pub(super) fn begin(
        plane: &Rc<DataPlane>,
        backend: &Rc<Backend>,
        request: Fingerprint,
        deadline: Micros,
    ) -> Self {
        let id = backend.running.runs.borrow_mut().begin(request, deadline);
        let (plane, backend) = (Rc::clone(plane), Rc::clone(backend));
        let began = plane.now();
        Self { plane, backend, request, id, began, has_ended: false }
    }

    /// Records that the server has not run the request, or that its loss has been recorded.
    pub(super) fn end(mut self) {
        self.has_ended = true;
    }

    /// Records that the server has answered the request completely.
    pub(super) fn answer(self, status: StatusCode) {
        // A server may fail requests without running them.
        if !status.is_server_error() {
            crash::record_answer(&self.plane, self.request);
        }
        self.end();
    }

    /// Returns whether a server has answered the same request since this one was sent, as when a hedge
    /// was faster.
    fn is_answered(&self) -> bool {
        let answered = self.plane.recent_answers.borrow().get(self.request);
        answered.is_some_and(|at| at >= self.began)
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut runs = self.backend.running.runs.borrow_mut();
        if self.has_ended || self.is_answered() {
            runs.end(self.id);
        } else {
            runs.abandon(self.plane.now(), self.id);
        }
    }
}

/// Looks at the servers of a service that may be running abandoned requests and nothing else.
pub(super) fn look_at_abandoned(plane: &Rc<DataPlane>, service: &Rc<Service>) {
    for backend in service.backends() {
        if backend.running.runs.borrow_mut().take_look(plane.now()) && !backend.is_leaving() {
            monoio::spawn(look(Rc::clone(plane), Rc::clone(service), backend));
        }
    }
}

/// Records a crash if the server's machine refuses connections. Silence shows nothing, since the server
/// may hang.
async fn look(plane: Rc<DataPlane>, service: Rc<Service>, backend: Rc<Backend>) {
    let connecting = TcpStream::connect(backend.address);
    let connected = monoio::time::timeout(CONNECT_TIMEOUT, connecting).await;
    if matches!(connected, Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused) {
        crash::record_connection_loss(&plane, &service, &backend);
    }
}
