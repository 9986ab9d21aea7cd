//! Load probes to backend servers.
//!
//! Each server is probed by one of the instances that serve callers, which shares the result with
//! the others. Every instance computes the same assignment from the members that it knows. The
//! placement decides when a server is due for a probe, from what is known of the server.

use crate::instance::{Instance, Stage, sleep_to_next};
use crate::load_query::{LoadQuery, Purpose};
use crate::service::Service;
use galenapath_membership::{HeartbeatMembership, Peer};
use galenapath_policy::measure::{
    LimitShare, Prober, limit_share, probing_instance, warming_instance,
};
use galenapath_protocol::{BackendId, FastMap, Micros};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Delay after the first failed probe until the next one. It is short because requests are running
/// on the server.
const FIRST_RETRY_DELAY: Micros = Micros::from_millis(20);

/// Delay after each further failed probe.
const RETRY_DELAY: Micros = Micros::from_millis(200);

/// Time between two probes of a server that reports no load; these only check that it is reachable.
const NO_REPORT_PERIOD: Micros = Micros::from_secs(1);

/// Time between two checks for probes that are due.
const CHECK_PERIOD: Micros = Micros::from_millis(15);

/// Time after its start during which an instance sends no probes, because it does not know all
/// other instances yet.
const STARTUP_DELAY: Micros = Micros::from_secs(1);

/// Time between two updates of the assignment of servers to probing instances.
const REASSIGN_PERIOD: Micros = Micros::from_millis(250);

/// Timeout of a probe. A server reports its load at once, so a later answer means that the server
/// is gone or frozen.
const TIMEOUT: Duration = Duration::from_millis(300);

/// Consecutive failed probes after which a server is considered unreachable.
const UNREACHABLE_AFTER: u32 = 2;

/// State of the probes to one server.
struct Target {
    service: Rc<Service>,
    id: BackendId,
    address: SocketAddr,
    /// No probe is sent before this time, because a probe failed or the server reports no load.
    not_before: Micros,
    is_running: bool,
    failures: u32,
}

type Targets = Rc<std::cell::RefCell<FastMap<BackendId, Target>>>;

/// Probes the servers assigned to this instance for as long as it runs.
pub(crate) async fn run(instance: Rc<Instance>) {
    let targets = Targets::default();
    let mut assigned_at = Micros::ZERO;
    loop {
        // Most instances of a large fleet have no servers to probe.
        let is_idle = targets.borrow().is_empty();
        sleep_to_next(&instance, if is_idle { REASSIGN_PERIOD } else { CHECK_PERIOD }).await;
        let now = instance.now();
        if now - assigned_at >= REASSIGN_PERIOD {
            assigned_at = now;
            assign(&instance, &targets);
        }
        for id in due(&targets, now) {
            monoio::spawn(probe(Rc::clone(&instance), Rc::clone(&targets), id));
        }
    }
}

/// Updates the set of servers that this instance probes.
fn assign(instance: &Instance, targets: &Targets) {
    let (now, shares) = (instance.now(), instance.query_shares());
    for service in instance.services.borrow().values() {
        service.prune_connections(now);
        service.update_probe_share(now, shares);
        service.update_retry_share(instance);
    }
    let assigned =
        if may_probe(instance) { assigned_servers(instance) } else { FastMap::default() };
    assign_warming_and_limits(instance);
    let mut targets = targets.borrow_mut();
    targets.retain(|id, target| assigned.get(id).is_some_and(|(_, at)| *at == target.address));
    for (id, (service, address)) in assigned {
        targets.entry(id.clone()).or_insert_with(|| Target {
            service,
            id,
            address,
            not_before: Micros::ZERO,
            is_running: false,
            failures: 0,
        });
    }
}

/// Whether this instance is one of those that probe: it serves callers, or no instance does.
fn may_probe(instance: &Instance) -> bool {
    let is_past_startup = instance.clock.uptime() >= STARTUP_DELAY;
    is_past_startup && (instance.status().serves_callers || !is_any_peer_serving(instance))
}

fn is_any_peer_serving(instance: &Instance) -> bool {
    let membership = instance.membership.borrow();
    membership.peers().any(|peer| peer.is_usable() && peer.status.serves_callers)
}

/// Updates which cold servers this instance warms up, and its shares of the rate limits that
/// servers stated.
pub(crate) fn assign_warming_and_limits(instance: &Instance) {
    let (now, own) = (instance.now(), instance.incarnation);
    let membership = instance.membership.borrow();
    // An isolated instance would take over servers from instances that it cannot reach but that
    // still send to them. A stopping instance has handed its share to the others, if there are any.
    let is_replaced =
        instance.stage.get() >= Stage::Leaving && membership.peers().any(Peer::is_usable);
    let may_send = may_probe(instance) && !membership.is_isolated() && !is_replaced;
    let probing = probing_instances(instance, &membership);
    for service in instance.services.borrow().values() {
        let domain = |id: &BackendId| service.domain(id).filter(|_| may_send);
        let is_warmed_here = |id: &BackendId| {
            domain(id).is_some_and(|domain| warming_instance(&probing, &domain, id) == Some(own))
        };
        let share = |id: &BackendId, per_second: f64| {
            let share = |domain| limit_share(&probing, &domain, id, own, per_second);
            domain(id).map_or(LimitShare::NONE, share)
        };
        let mut placement = service.placement.borrow_mut();
        placement.assign_warming(now, is_warmed_here);
        placement.assign_limit_shares(now, share);
    }
}

/// The instances that probe, including this one.
fn probing_instances<'a>(
    instance: &Instance,
    membership: &'a HeartbeatMembership,
) -> Vec<Prober<'a>> {
    let is_any_serving = instance.status().serves_callers || is_any_peer_serving(instance);
    let others = membership.peers().filter(|peer| peer.is_usable());
    let others = others.filter(|peer| !is_any_serving || peer.status.serves_callers);
    let mut probing: Vec<Prober<'_>> = others
        .map(|peer| Prober {
            incarnation: peer.member.incarnation,
            domain: &peer.member.domain,
            is_cross_domain: peer.status.sends_cross_domain,
        })
        .collect();
    probing.push(Prober {
        incarnation: instance.incarnation,
        domain: membership.domain(),
        is_cross_domain: instance.status().sends_cross_domain,
    });
    probing
}

/// The servers assigned to this instance, which is one of those that probe.
fn assigned_servers(instance: &Instance) -> FastMap<BackendId, (Rc<Service>, SocketAddr)> {
    let membership = instance.membership.borrow();
    let probing = probing_instances(instance, &membership);
    let mut assigned = FastMap::default();
    for service in instance.services.borrow().values() {
        service.refresh(instance);
        for server in service.servers() {
            if probing_instance(&probing, &server.domain, &server.id) == Some(instance.incarnation)
            {
                assigned.insert(server.id, (Rc::clone(service), server.address));
            }
        }
    }
    assigned
}

fn due(targets: &Targets, now: Micros) -> Vec<BackendId> {
    let mut targets = targets.borrow_mut();
    let mut due = Vec::new();
    for target in targets.values_mut().filter(|target| target.is_due(now)) {
        if !target.service.placement.borrow_mut().try_take_query(now, &target.id) {
            continue;
        }
        target.is_running = true;
        due.push(target.id.clone());
    }
    due
}

impl Target {
    fn is_due(&self, now: Micros) -> bool {
        !self.is_running
            && self.not_before <= now
            && self.service.placement.borrow().next_probe_at(now, &self.id) <= now
    }
}

async fn probe(instance: Rc<Instance>, targets: Targets, id: BackendId) {
    let Some((service, address)) =
        targets.borrow().get(&id).map(|target| (Rc::clone(&target.service), target.address))
    else {
        return;
    };
    let reused = service.take_connection(instance.now(), &id).map(|reused| reused.connection);
    let query = LoadQuery {
        instance: &instance,
        service: &service,
        id: &id,
        address,
        purpose: Purpose::Probe,
        timeout: TIMEOUT,
    };
    let result = query.send(reused).await;
    let label = if result.is_ok() { "answered" } else { "failed" };
    instance.metrics.probes.with_label_values(&[label]).inc();
    let mut targets = targets.borrow_mut();
    let Some(target) = targets.get_mut(&id) else { return };
    target.is_running = false;
    match result {
        Ok(health) => {
            if let Some(connection) = health.connection {
                service.keep_connection(instance.now(), &id, connection, health.stated_idle);
            }
            if target.failures >= UNREACHABLE_AFTER {
                log::info!(server:% = id; "server answers probes again");
            }
            target.failures = 0;
            if health.observation.is_none() {
                target.not_before = instance.now() + NO_REPORT_PERIOD;
            }
        }
        Err(e) => {
            target.failures += 1;
            let now = instance.now();
            let is_first = target.failures == 1;
            target.not_before = now + if is_first { FIRST_RETRY_DELAY } else { RETRY_DELAY };
            if target.failures == UNREACHABLE_AFTER {
                log::info!(server:% = id, address:% = address, error:% = e; "server out of reach");
            }
            if target.failures >= UNREACHABLE_AFTER {
                service.mark_unreachable(now, &id);
                instance.share_no_answer(&service, &id, 1.0);
            }
        }
    }
}
