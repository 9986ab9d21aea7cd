//! Checks whether servers answer this instance on new connections.

use crate::instance::{Instance, sleep};
use crate::load_query::{self, LoadQuery, Purpose};
use crate::service::Service;
use galenapath_policy::reach::NoAnswer;
use galenapath_protocol::{BackendId, Micros};
use std::rc::Rc;
use std::time::Duration;

/// Time within which a server has to connect and answer: a few round trips between failure domains,
/// and the wait for a slot that a new connection may need.
const TIMEOUT: Duration = Duration::from_millis(150);

/// Number of servers of a service that are to have been tried before much is concluded from those
/// that do not answer.
const SAMPLE_SIZE: usize = 4;

/// Checks begun at a time for one service.
const MAX_AT_ONCE: usize = 8;

/// Longest random delay before an instance verifies its paths because another one has lost its own,
/// so that a whole failure domain does not do so at the same moment.
const MAX_VERIFY_DELAY: Micros = Micros::from_millis(100);

/// Time for which an answer proves that a path is good.
const PROOF_TTL: Micros = Micros::from_millis(500);

/// Begins the checks that are due.
pub(super) fn begin(instance: &Rc<Instance>) {
    let services: Vec<Rc<Service>> = instance.services.borrow().values().cloned().collect();
    for service in services {
        if !service.contacts.borrow().needs_attention() {
            continue;
        }
        extend_sample(&service);
        let now = instance.now();
        service.contacts.borrow_mut().prune(now);
        let limit = MAX_AT_ONCE.min(instance.reach.checks_left(now));
        for id in service.contacts.borrow_mut().begin_checks(now, limit) {
            instance.reach.count_check(now);
            monoio::spawn(check_once(Rc::clone(instance), Rc::clone(&service), id));
        }
    }
}

/// Requests checks of further servers of a service of which hardly any have been tried.
fn extend_sample(service: &Service) {
    let tried = service.contacts.borrow().len();
    if tried >= SAMPLE_SIZE {
        return;
    }
    let mut contacts = service.contacts.borrow_mut();
    let untried = service.servers().into_iter().filter(|server| !contacts.has(&server.id));
    let untried: Vec<BackendId> = untried.map(|server| server.id).collect();
    let more = untried.into_iter().take(SAMPLE_SIZE - tried);
    more.for_each(|id| contacts.request_check(&id));
}

async fn check_once(instance: Rc<Instance>, service: Rc<Service>, id: BackendId) {
    // The result is recorded with the query.
    let _ = check(&instance, &service, &id, Purpose::Check).await;
    service.contacts.borrow_mut().end_check(&id);
}

/// Checks whether the server answers on a new connection, which is then kept.
pub(super) async fn check(
    instance: &Instance,
    service: &Service,
    id: &BackendId,
    purpose: Purpose,
) -> Result<(), NoAnswer> {
    let address = service.address(id).ok_or(NoAnswer::Lost)?;
    let query = LoadQuery { instance, service, id, address, purpose, timeout: TIMEOUT };
    match query.send(None).await {
        Ok(answer) if !answer.is_other => {
            if let Some(connection) = answer.connection {
                service.keep_connection(instance.now(), id, connection, answer.stated_idle);
            }
            Ok(())
        }
        Ok(_) => Err(NoAnswer::Lost),
        Err(e) => Err(load_query::no_answer(&e)),
    }
}

/// Verifies the paths to the servers of services of which none has answered lately, because another
/// instance of the failure domain has lost its paths. Callers may be named this one next.
pub(crate) fn verify_paths(instance: &Rc<Instance>) {
    let instance = Rc::clone(instance);
    monoio::spawn(async move {
        sleep(Micros(rand::random_range(0..MAX_VERIFY_DELAY.0))).await;
        let since = instance.now() - PROOF_TTL;
        let services: Vec<Rc<Service>> = instance.services.borrow().values().cloned().collect();
        for service in services {
            if service.contacts.borrow().has_answer_since(since) {
                continue;
            }
            service.refresh(&instance);
            let servers = service.servers();
            let mut contacts = service.contacts.borrow_mut();
            servers.iter().take(SAMPLE_SIZE).for_each(|server| contacts.request_check(&server.id));
        }
        instance.reach.wake();
    });
}
