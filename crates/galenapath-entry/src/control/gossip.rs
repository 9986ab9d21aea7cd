//! Communication with peers: probes, exchange of updates, and answers to peers' requests.

use super::plane::ControlPlane;
use super::{backends, configuration, hand_over};
use crate::data::DataCommand;
use crate::shared::CrashReport;
use futures::future::join_all;
use galenapath_config::Version;
use galenapath_membership::{LeavingMark, Member, Probe};
use galenapath_peers::{
    ExchangeWire, LeavingWire, MemberWire, PeerCall, PeerError, PeerRequest, decode_suspects,
    encode_suspects,
};
use galenapath_protocol::{Incarnation, Micros};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Interval at which the task checks whether a probe is due.
const TICK: Duration = Duration::from_millis(50);

/// Time for which the mark of a leaving backend server is sent to peers. It is many times longer
/// than gossip needs to reach all instances.
const LEAVING_GOSSIP_PERIOD: Micros = Micros::from_secs(30);

/// Time between two rounds of calls to the seeds while no other instance is known.
const SEED_INTERVAL: Duration = Duration::from_millis(500);

/// Probes the peers in turn, when each probe is due.
pub(super) async fn probe_peers(plane: Rc<ControlPlane>) {
    loop {
        let due = plane.members.borrow_mut().tick(plane.now());
        plane.publish_members();
        if let Some(probe) = due {
            monoio::spawn(send_probe(Rc::clone(&plane), probe));
        }
        monoio::time::sleep(TICK).await;
    }
}

/// Exchanges updates with the seeds from the settings until another instance is known.
pub(super) async fn contact_seeds(plane: Rc<ControlPlane>) {
    let seeds = plane.shared.settings.listen.seeds.clone();
    while !seeds.is_empty() && plane.members.borrow().usable().count() < 2 {
        for seed in &seeds {
            let _ = exchange(&plane, *seed, plane.shared.incarnation).await;
        }
        monoio::time::sleep(SEED_INTERVAL).await;
    }
}

async fn send_probe(plane: Rc<ControlPlane>, probe: Probe) {
    let answer = exchange(&plane, probe.to, probe.incarnation).await;
    let now = plane.now();
    let mut members = plane.members.borrow_mut();
    match answer {
        Ok(Some(incarnation)) if incarnation != probe.incarnation => {
            members.mark_replaced(now, probe.incarnation);
        }
        Ok(_) => members.probe_answered(now, probe.incarnation),
        Err(_) => members.probe_failed(now, probe.incarnation),
    }
    drop(members);
    plane.publish_members();
}

/// Exchanges updates with the peer at `to`. Returns the incarnation that answered.
pub(super) async fn exchange(
    plane: &Rc<ControlPlane>,
    to: SocketAddr,
    incarnation: Incarnation,
) -> Result<Option<Incarnation>, PeerError> {
    let update = outgoing_update(plane, incarnation);
    let (reply, answer) = flume::bounded(1);
    let call = PeerCall::Exchange { to, updates: update, reply };
    plane.shared.metrics.peer_messages.with_label_values(&["out"]).inc();
    plane.wiring.calls.send_async(call).await.map_err(|_| PeerError::Stopped)?;
    let update = answer.recv_async().await.map_err(|_| PeerError::Stopped)??;
    let answered = update.members.first().map(|member| Incarnation(member.incarnation));
    apply_update(plane, to, &update);
    Ok(answered)
}

/// Returns the update to send to the peer with this incarnation.
fn outgoing_update(plane: &ControlPlane, incarnation: Incarnation) -> ExchangeWire {
    let members = plane.members.borrow_mut().updates_for(incarnation);
    let leaving = plane.marks.borrow().recent(plane.now(), LEAVING_GOSSIP_PERIOD);
    let suspects = plane.suspects.borrow().export(plane.now());
    let (crashes, cleared) = encode_suspects(&suspects);
    ExchangeWire {
        members: members.iter().map(MemberWire::from).collect(),
        leaving: leaving.iter().map(LeavingWire::from).collect(),
        crashes,
        cleared,
        config_version: plane.replica.borrow().version().0,
        list_position: plane.backends.borrow().position(),
    }
}

/// Applies an update from the peer at `from`. If the peer has newer backend servers or a newer
/// configuration, starts to fetch them.
fn apply_update(plane: &Rc<ControlPlane>, from: SocketAddr, update: &ExchangeWire) {
    plane.shared.metrics.peer_messages.with_label_values(&["in"]).inc();
    let members: Vec<Member> =
        update.members.iter().filter_map(|wire| Member::try_from(wire).ok()).collect();
    plane.members.borrow_mut().merge(plane.now(), &members);
    plane.publish_members();
    for wire in &update.leaving {
        record_leaving(plane, &LeavingMark::from(wire));
    }
    let suspects = decode_suspects(&update.crashes, &update.cleared);
    if !suspects.is_empty() {
        plane.suspects.borrow_mut().merge(plane.now(), &suspects);
        let _ = plane.wiring.commands.try_send(DataCommand::MergeSuspects(suspects));
    }
    if let Some(sender) = update.members.first() {
        plane.record_peer_version(Incarnation(sender.incarnation), Version(update.config_version));
    }
    if update.list_position > plane.backends.borrow().position() {
        monoio::spawn(backends::fetch(Rc::clone(plane), from));
    }
    if update.config_version > plane.replica.borrow().version().0 {
        monoio::spawn(configuration::fetch(Rc::clone(plane), from));
    }
}

/// Records that a backend server is leaving.
pub(super) fn record_leaving(plane: &ControlPlane, mark: &LeavingMark) {
    let is_new = plane.marks.borrow_mut().mark(plane.now(), mark);
    if is_new {
        log::info!(backend:% = mark.backend; "backend server is leaving");
        plane.publish_fleet();
    }
}

/// Records crash suspects reported by the data thread and notifies all usable peers immediately,
/// because a request that crashes backend servers may already be on its way to other instances.
/// Acknowledges the report when every peer has answered or failed to.
pub(super) async fn record_crash(plane: Rc<ControlPlane>, report: CrashReport) {
    plane.suspects.borrow_mut().merge(plane.now(), &report.suspects);
    notify_all(&plane).await;
    // Fails only if the request that caused the report has stopped waiting.
    let _ = report.acknowledged.try_send(());
}

/// Answers requests from peers.
pub(super) async fn answer_peers(plane: Rc<ControlPlane>) {
    while let Ok(request) = plane.wiring.requests.recv_async().await {
        match request {
            PeerRequest::Exchange { updates: update, reply } => {
                answer_exchange(&plane, &update, &reply);
            }
            PeerRequest::Config { after, reply } => {
                let _ = reply.try_send(configuration::document_after(&plane, Version(after)));
            }
            PeerRequest::Backends { after, reply } => {
                let _ = reply.try_send(backends::changes_after(&plane, after));
            }
            PeerRequest::HandOver { outcomes, reply } => {
                let _ = reply.try_send(hand_over::apply_hand_over(&plane, &outcomes));
            }
        }
    }
}

fn answer_exchange(
    plane: &Rc<ControlPlane>,
    update: &ExchangeWire,
    reply: &flume::Sender<ExchangeWire>,
) {
    let Some(Ok(sender)) = update.members.first().map(Member::try_from) else { return };
    apply_update(plane, sender.peer_address, update);
    let _ = reply.try_send(outgoing_update(plane, sender.incarnation));
}

/// Sends the current update to all usable peers immediately instead of at their next probe. Returns
/// when each has answered or failed to.
pub(super) async fn notify_all(plane: &Rc<ControlPlane>) {
    let own = plane.shared.incarnation;
    let peers: Vec<Member> =
        plane.members.borrow().usable().filter(|m| m.incarnation != own).cloned().collect();
    let calls = peers.iter().map(|peer| exchange(plane, peer.peer_address, peer.incarnation));
    // A peer that does not answer receives the update later, by gossip.
    let _ = join_all(calls).await;
}
