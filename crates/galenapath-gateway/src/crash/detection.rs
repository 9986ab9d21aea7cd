//! Detection of servers that crashed while running a request.
//!
//! A broken connection alone does not show a crash: answers get lost and connections are reset for
//! other reasons. A server counts as crashed only if it cannot be reached right afterwards, or if
//! another server has its address.
//!
//! Load pattern: an instance loses its paths to all servers with many requests in flight. Each of
//! them would be blamed for a crash, and rejected by all instances. So the other instances are asked
//! whether they reach the server.

use crate::instance::Instance;
use crate::load_query::{self, LoadQuery, Purpose};
use crate::reach::{self, OtherView};
use crate::service::Service;
use galenapath_policy::reach::NoAnswer;
use galenapath_protocol::{BackendId, Micros};
use monoio::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

/// Time within which a server that may have crashed has to connect and answer.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// After a connection broke during a request, checks in the background whether the server crashed.
/// One check is for all requests that were lost until it began.
pub(super) fn check(instance: &Rc<Instance>, service: &Rc<Service>, server: &BackendId) {
    let (instance, service) = (Rc::clone(instance), Rc::clone(service));
    let server = server.clone();
    monoio::spawn(async move {
        while let Some(lost) = instance.running.take_lost(&server) {
            let began = instance.now();
            let state = state_after_loss(&instance, &service, &server, began).await;
            instance.metrics.lost_requests.with_label_values(&[state.as_str()]).inc_by(lost);
            if state == ServerState::Crashed {
                instance.record_own_crash(&server);
            }
        }
    });
}

/// Checks in the background whether a server crashed that may be running abandoned requests: whether
/// its machine refuses connections. Silence shows nothing, since the server may hang, or its machine may
/// be lost with it. The end of one that leaves is planned.
pub(super) fn look(instance: &Rc<Instance>, service: Rc<Service>, server: BackendId) {
    service.refresh(instance);
    let is_leaving = service.placement.borrow().is_leaving(&server);
    let is_used = service.address(&server).is_some() && !is_leaving;
    if !is_used || service.has_open_connection(&server) {
        return;
    }
    let (instance, began) = (Rc::clone(instance), instance.now());
    monoio::spawn(async move {
        let refused = ProbeResult::NoAnswer(NoAnswer::Refused);
        if probe(&instance, &service, &server).await != refused {
            return;
        }
        if ask_others(&instance, &service, &server, began).await == ServerState::Crashed {
            instance.record_own_crash(&server);
        }
    });
}

/// State of a server whose connection broke during a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ServerState {
    /// It answers.
    Alive,
    /// It does not answer, and it is not this instance's own paths that are gone.
    Crashed,
    /// It answers other instances, or none has answered and this instance's own paths are in doubt.
    NotReached,
}

impl ServerState {
    /// Its label in the metric of lost requests.
    const fn as_str(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Crashed => "crashed",
            Self::NotReached => "not_reached",
        }
    }
}

async fn state_after_loss(
    instance: &Instance,
    service: &Service,
    server: &BackendId,
    began: Micros,
) -> ServerState {
    match probe(instance, service, server).await {
        ProbeResult::Answered => ServerState::Alive,
        ProbeResult::OtherServer => ServerState::Crashed,
        ProbeResult::NoAnswer(_) => ask_others(instance, service, server, began).await,
    }
}

/// State of a server that has not answered this instance since `began`.
async fn ask_others(
    instance: &Instance,
    service: &Service,
    server: &BackendId,
    began: Micros,
) -> ServerState {
    match instance.ask_about(service, server, began).await {
        OtherView::Unreached | OtherView::Alone => ServerState::Crashed,
        OtherView::Unknown if !instance.are_paths_in_doubt() => ServerState::Crashed,
        OtherView::Reached | OtherView::Unknown => ServerState::NotReached,
    }
}

/// Result of the probe of a server whose connection broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProbeResult {
    Answered,
    /// Another server has its address, or it is no longer listed.
    OtherServer,
    NoAnswer(NoAnswer),
}

async fn probe(instance: &Instance, service: &Service, server: &BackendId) -> ProbeResult {
    let Some(address) = service.address(server) else { return ProbeResult::OtherServer };
    // A paused server must not be queried; that it takes the connection has to suffice.
    if service.placement.borrow().is_paused(instance.now(), server) {
        let connecting = TcpStream::connect_addr(address);
        return match monoio::time::timeout(PROBE_TIMEOUT, connecting).await {
            Ok(Ok(_)) => ProbeResult::Answered,
            Ok(Err(e)) => ProbeResult::NoAnswer(reach::no_answer(&e)),
            Err(_) => ProbeResult::NoAnswer(NoAnswer::Lost),
        };
    }
    let query = LoadQuery {
        instance,
        service,
        id: server,
        address,
        purpose: Purpose::Crash,
        timeout: PROBE_TIMEOUT,
    };
    match query.send(None).await {
        Ok(answer) if answer.is_other => ProbeResult::OtherServer,
        Ok(_) => ProbeResult::Answered,
        Err(e) => ProbeResult::NoAnswer(load_query::no_answer(&e)),
    }
}
