//! Detection of requests that crash backend servers.
//!
//! A broken connection alone does not show a crash: answers get lost and connections are reset for
//! other reasons. A server counts as crashed only if it cannot be reached right afterwards, or if
//! another server has its address. Instances report crashes to each other, and
//! [`galenapath_filings::Suspects`] decides which requests are crash suspects.

use crate::call::Call;
use crate::fleet::{CrashNote, Notices, RequestNote};
use crate::instance::{Instance, sleep_to_next};
use crate::load_query;
use crate::service::Service;
use galenapath_filings::{Fingerprint, SuspectVerdict};
use galenapath_http::Connection;
use galenapath_protocol::{BackendId, Micros};
use http::StatusCode;
use monoio::net::TcpStream;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Time within which a server that may have crashed has to connect and answer.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Period at which an instance repeats which requests crash servers. An instance that has started, or
/// that was cut off, learns of them within that time of its first heartbeat.
const REPEAT_PERIOD: Micros = Micros::from_secs(1);

/// Maximum number of requests in one repetition; more are repeated in turn.
const MAX_REPEATED: usize = 16;

/// A running crash suspect. Dropping it lets the next request with the same fingerprint run.
pub(crate) struct SuspectRun<'a> {
    instance: &'a Instance,
    request: Fingerprint,
}

impl Drop for SuspectRun<'_> {
    fn drop(&mut self) {
        self.instance.suspects.borrow_mut().end_isolated_run(self.request);
    }
}

/// Checks whether a request may run. Crash suspects with the same fingerprint run one at a time.
///
/// # Errors
///
/// Time after which the caller may retry, if the request is known to crash servers or another
/// suspect with its fingerprint is running.
pub(crate) fn check_suspect(call: &Call) -> Result<Option<SuspectRun<'_>>, Micros> {
    let instance = &call.instance;
    let request = call.req.fingerprint;
    let mut suspects = instance.suspects.borrow_mut();
    match suspects.check(instance.now(), request) {
        SuspectVerdict::Clear => Ok(None),
        SuspectVerdict::RunIsolated => {
            suspects.begin_isolated_run(request);
            Ok(Some(SuspectRun { instance, request }))
        }
        SuspectVerdict::Reject { retry_after } => Err(retry_after),
    }
}

/// Whether the request is known to crash servers. Checked before each send: a request that waits, is
/// retried or gets a hedge may have become known since it was admitted.
pub(crate) fn is_known_to_crash_servers(call: &Call) -> bool {
    call.instance.suspects.borrow().is_confirmed(call.instance.now(), call.req.fingerprint)
}

/// Time after which the caller may send a request that is known to crash servers again.
pub(crate) fn rejected_for(call: &Call) -> Option<Micros> {
    match call.instance.suspects.borrow().check(call.instance.now(), call.req.fingerprint) {
        SuspectVerdict::Reject { retry_after } => Some(retry_after),
        SuspectVerdict::Clear | SuspectVerdict::RunIsolated => None,
    }
}

/// Records that a server has answered the request completely, so that the request did not crash it. An
/// error proves nothing: a server may fail requests without running them.
pub(crate) fn record_answer(call: &Call, status: StatusCode) {
    if !status.is_server_error() {
        let (now, request) = (call.instance.now(), call.req.fingerprint);
        call.instance.suspects.borrow_mut().record_answer(now, request);
        call.instance.recent_answers.borrow_mut().record(now, request);
    }
}

/// After a connection broke during a request, checks in the background whether the server crashed.
pub(crate) fn check_for_crash(call: &Call, server: &BackendId) {
    let (instance, service) = (Rc::clone(&call.instance), Rc::clone(&call.service));
    let (server, request) = (server.clone(), call.req.fingerprint);
    // Many callers send this request, and it was in flight by chance.
    if instance.recent_answers.borrow().contains(instance.now(), request) {
        return;
    }
    monoio::spawn(async move {
        if is_alive(&instance, &service, &server).await {
            instance.metrics.lost_requests.with_label_values(&["alive"]).inc();
            return;
        }
        instance.metrics.lost_requests.with_label_values(&["crashed"]).inc();
        let note = CrashNote { server: server.hash(), request };
        log::warn!(server:% = server, request_hash:% = hash_text(request);
            "server crashed while running a request");
        instance.record_crash(&note, "own");
        instance.share_crash(note);
    });
}

/// A fingerprint as it stands in the log.
fn hash_text(request: Fingerprint) -> String {
    format!("{:032x}", request.0)
}

async fn is_alive(instance: &Instance, service: &Service, server: &BackendId) -> bool {
    let Some(address) = service.address(server) else { return false };
    let probe = async {
        let io = TcpStream::connect_addr(address).await.ok()?;
        // A paused server must not be queried; that it takes the connection has to suffice.
        if service.placement.borrow().is_paused(instance.now(), server) {
            return Some(true);
        }
        let connection = Connection::new(io, load_query::HEAD_LIMIT);
        let health = load_query::query(instance, service, server, connection).await.ok()?;
        Some(!health.is_other)
    };
    monoio::time::timeout(PROBE_TIMEOUT, probe).await.is_ok_and(|alive| alive == Some(true))
}

impl Instance {
    /// Records a crash that this or another instance detected. `source` is logged.
    pub(crate) fn record_crash(&self, note: &CrashNote, source: &'static str) {
        let now = self.now();
        let mut suspects = self.suspects.borrow_mut();
        let was_confirmed = suspects.is_confirmed(now, note.request);
        suspects.record_crash(now, note.server, &[note.request]);
        if !was_confirmed && suspects.is_confirmed(now, note.request) {
            log_rejected(note.request, source);
        }
    }

    /// Applies which requests another instance knows to crash servers, and tells it of those that have
    /// been answered here since: it may have started just before several servers were lost.
    pub(crate) fn apply_rejected(&self, notes: &[RequestNote], from: SocketAddr) {
        let now = self.now();
        let mut served = Vec::new();
        for RequestNote { request, age } in notes {
            if let Some(answered) = self.answered_since(*request, now - *age) {
                served.push(RequestNote { request: *request, age: now - answered });
            } else if self.suspects.borrow_mut().record_verdict(now, *request, now - *age) {
                log_rejected(*request, "peer");
            }
        }
        self.send_notices(&Notices { served, ..Notices::default() }, &[from]);
    }

    /// When a server answered the request here, if that was at `crashed` or later.
    fn answered_since(&self, request: Fingerprint, crashed: Micros) -> Option<Micros> {
        let recent = self.recent_answers.borrow().get(request);
        let known = self.suspects.borrow().answered_at(request);
        recent.max(known).filter(|at| *at >= crashed)
    }

    /// Applies which requests servers have answered at another instance.
    pub(crate) fn apply_served(&self, notes: &[RequestNote]) {
        let now = self.now();
        for RequestNote { request, age } in notes {
            let was_confirmed = self.suspects.borrow().is_confirmed(now, *request);
            self.suspects.borrow_mut().record_answer(now - *age, *request);
            if was_confirmed && !self.suspects.borrow().is_confirmed(now, *request) {
                log::info!(request_hash:% = hash_text(*request);
                    "request crashes no servers: another instance has its answer");
            }
        }
    }

    /// Repeats which requests crash servers to the instances that get this one's heartbeats. What an
    /// instance is told it repeats as well, so that each one hears it from several.
    fn repeat_rejected(&self, round: usize) {
        let now = self.now();
        let note = |(request, last)| RequestNote { request, age: now - last };
        let all: Vec<RequestNote> = self.suspects.borrow().confirmed(now).map(note).collect();
        let Some(parts) = all.len().checked_sub(1).map(|last| last / MAX_REPEATED + 1) else {
            return;
        };
        let rejected = all.chunks(MAX_REPEATED).nth(round % parts).unwrap_or_default().to_vec();
        let to = self.membership.borrow().target_addresses();
        self.send_notices(&Notices { rejected, ..Notices::default() }, &to);
    }
}

fn log_rejected(request: Fingerprint, source: &str) {
    log::warn!(request_hash:% = hash_text(request), told_by = source;
        "request crashes servers; it is rejected from now on");
}

/// Repeats which requests crash servers for as long as the instance runs.
pub(crate) async fn run(instance: Rc<Instance>) {
    for round in 0.. {
        sleep_to_next(&instance, REPEAT_PERIOD).await;
        instance.repeat_rejected(round);
    }
}
