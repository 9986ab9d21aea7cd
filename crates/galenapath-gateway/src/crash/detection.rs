//! Detection of servers that crashed while running a request.
//!
//! A broken connection alone does not show a crash: answers get lost and connections are reset for
//! other reasons. A server counts as crashed only if it cannot be reached right afterwards, or if
//! another server has its address.

use super::hash_text;
use crate::call::Call;
use crate::fleet::CrashNote;
use crate::instance::Instance;
use crate::load_query::{LoadQuery, Purpose};
use crate::service::Service;
use galenapath_protocol::BackendId;
use monoio::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

/// Time within which a server that may have crashed has to connect and answer.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

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

async fn is_alive(instance: &Instance, service: &Service, server: &BackendId) -> bool {
    let Some(address) = service.address(server) else { return false };
    // A paused server must not be queried; that it takes the connection has to suffice.
    if service.placement.borrow().is_paused(instance.now(), server) {
        let connecting = TcpStream::connect_addr(address);
        return monoio::time::timeout(PROBE_TIMEOUT, connecting).await.is_ok_and(|io| io.is_ok());
    }
    let query = LoadQuery {
        instance,
        service,
        id: server,
        address,
        purpose: Purpose::Crash,
        timeout: PROBE_TIMEOUT,
    };
    query.send(None).await.is_ok_and(|answer| !answer.is_other)
}
