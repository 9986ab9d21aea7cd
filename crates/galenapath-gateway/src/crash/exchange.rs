//! Exchange of crashes, and of requests that cause them, between instances.
//!
//! Load pattern: callers send such a request again at any instance, also at one that has just
//! started, that was cut off, or that lost a datagram. Each crash is sent to all at once. Which
//! requests crash servers is repeated until it expires, by every instance that knows it.

use super::hash_text;
use crate::fleet::{CrashNote, Notices, RequestNote};
use crate::instance::{Instance, sleep_to_next};
use galenapath_filings::Fingerprint;
use galenapath_protocol::{BackendId, Micros};
use std::net::SocketAddr;
use std::rc::Rc;

/// Period at which an instance repeats which requests crash servers. An instance that has started,
/// or that was cut off, learns of them within that time of its first heartbeat.
const REPEAT_PERIOD: Micros = Micros::from_secs(1);

/// Maximum number of requests in one repetition; more are repeated in turn.
const MAX_REPEATED: usize = 16;

impl Instance {
    /// Records the crash of a server that this instance has detected, and sends it to the others.
    pub(super) fn record_own_crash(&self, server: &BackendId) {
        let running = self.running.take(self.now(), server);
        for request in &running {
            log::warn!(server:% = server, request_hash:% = hash_text(*request);
                "server crashed while running a request");
        }
        self.record_crash(server.hash(), &running, "own");
        self.share_crash(server.hash(), &running);
    }

    /// Applies crashes that another instance has detected. Nothing shows this one that a server crashed
    /// under requests that nobody here waits for, so those are added.
    pub(crate) fn apply_crashes(&self, notes: &[CrashNote]) {
        for notes in notes.chunk_by(|a, b| a.server == b.server) {
            let server = notes[0].server;
            let requests: Vec<Fingerprint> = notes.iter().map(|note| note.request).collect();
            self.record_crash(server, &requests, "peer");
            let abandoned = self.running.take_abandoned(self.now(), server);
            self.record_crash(server, &abandoned, "own");
            self.share_crash(server, &abandoned);
        }
    }

    /// Records a crash, except for requests that servers have just answered here: an instance that
    /// hardly ever serves a common request cannot know that it is one. Those that reject it meanwhile
    /// learn of the answer once they repeat that. `source` is logged.
    fn record_crash(&self, server: u64, running: &[Fingerprint], source: &'static str) {
        let now = self.now();
        let mut suspects = self.suspects.borrow_mut();
        let mut blamed = Vec::new();
        for request in running {
            match self.recent_answers.borrow().cleared_until(now, *request) {
                Some(until) => suspects.record_common(now, *request, until),
                None => blamed.push(*request),
            }
        }
        let was_rejected: Vec<bool> =
            blamed.iter().map(|request| suspects.is_rejected(now, *request)).collect();
        suspects.record_crash(now, server, &blamed);
        for (request, was_rejected) in blamed.iter().zip(was_rejected) {
            if !was_rejected && suspects.is_rejected(now, *request) {
                log_rejected(*request, source);
            }
        }
    }

    /// Applies which requests another instance knows to crash servers, and sends it those that have
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
            let was_rejected = self.suspects.borrow().is_rejected(now, *request);
            self.suspects.borrow_mut().record_answer(now - *age, *request);
            if was_rejected && !self.suspects.borrow().is_rejected(now, *request) {
                log::info!(request_hash:% = hash_text(*request);
                    "request crashes no servers: another instance has its answer");
            }
        }
    }

    /// Repeats which requests crash servers to the targets of this instance's heartbeats, including
    /// those received from others, so that each instance receives them from several.
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
