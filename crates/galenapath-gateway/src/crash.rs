//! Requests that crash the backend servers that run them.
//!
//! A connection that breaks with a request on it says little: answers get lost and connections are
//! reset. Only a server that cannot be reached right after, or has become another one, has crashed.
//! What instances find they tell each other, and [`Suspects`] says which request is to blame.

use crate::call::Call;
use crate::fleet::CrashNote;
use crate::health;
use crate::instance::Instance;
use crate::service::Service;
use galenapath_filings::{Fingerprint, SuspectVerdict};
use galenapath_http::Connection;
use galenapath_protocol::{BackendId, Micros};
use monoio::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

/// Longest wait for a server that may have crashed.
const LOOK_TIME: Duration = Duration::from_millis(300);

/// A suspect that runs. Dropping it lets the next one of the same request run.
pub(crate) struct Trial<'a> {
    instance: &'a Instance,
    request: Fingerprint,
}

impl Drop for Trial<'_> {
    fn drop(&mut self) {
        self.instance.suspects.borrow_mut().trial_ended(self.request);
    }
}

/// Lets a request run, one at a time where it is suspected.
///
/// # Errors
///
/// When it may be looked at again, for one that crashes servers or whose trial is running.
pub(crate) fn clear(call: &Call) -> Result<Option<Trial<'_>>, Micros> {
    let instance = &call.instance;
    let request = call.req.fingerprint;
    let mut suspects = instance.suspects.borrow_mut();
    match suspects.judge(instance.now(), request) {
        SuspectVerdict::Clear => Ok(None),
        SuspectVerdict::RunAlone => {
            suspects.trial_started(request);
            Ok(Some(Trial { instance, request }))
        }
        SuspectVerdict::Refuse { retry_after } => Err(retry_after),
    }
}

/// A connection broke with the request on it: finds out, beside everything else, whether the server
/// has crashed.
pub(crate) fn note_broken(call: &Call, server: &BackendId) {
    let (instance, service) = (Rc::clone(&call.instance), Rc::clone(&call.service));
    let (server, request) = (server.clone(), call.req.fingerprint);
    monoio::spawn(async move {
        if is_there(&instance, &service, &server).await {
            return;
        }
        let note = CrashNote { server: server.hash(), request };
        log::warn!(server:% = server, request_hash:% = format!("{:032x}", request.0);
            "server crashed with a request");
        instance.take_crash(&note);
        instance.share_crash(note);
    });
}

async fn is_there(instance: &Instance, service: &Service, server: &BackendId) -> bool {
    let Some(address) = service.address(server) else { return false };
    // One that has just turned a request away is there, and is not to be asked.
    if service.placement.borrow().is_paused(instance.now(), server) {
        return true;
    }
    let look = async {
        let io = TcpStream::connect_addr(address).await.ok()?;
        let connection = Connection::new(io, health::HEAD_LIMIT);
        let health = health::ask(instance, service, server, connection).await.ok()?;
        Some(!health.is_other)
    };
    monoio::time::timeout(LOOK_TIME, look).await.is_ok_and(|found| found == Some(true))
}

impl Instance {
    /// Takes note of a crash that this or another instance found.
    pub(crate) fn take_crash(&self, note: &CrashNote) {
        self.suspects.borrow_mut().crashed(self.now(), note.server, &[note.request]);
    }
}
