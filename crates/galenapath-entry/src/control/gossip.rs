//! Talking to peers: probes, news, and what peers ask.

use super::plane::ControlPlane;
use super::{backends, configuration, stop};
use crate::data::DataCommand;
use crate::shared::CrashReport;
use futures::future::join_all;
use galenapath_config::Version;
use galenapath_membership::{LeavingMark, Member, Probe};
use galenapath_peers::{
    ExchangeWire, LeavingWire, MemberWire, PeerCall, PeerError, PeerRequest, crashes_and_cleared,
    suspects,
};
use galenapath_protocol::{Incarnation, Micros};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Longest sleep between two looks at what is due.
const TICK: Duration = Duration::from_millis(50);

/// Marks of leaving backend servers are told for this long; many times longer than a round of
/// gossip through every instance.
const TELL_LEAVING: Micros = Micros::from_secs(30);

/// Time between two calls to the seeds while no other instance is known.
const SEED_PAUSE: Duration = Duration::from_millis(500);

/// Probes one peer after the other.
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

/// Asks the seeds of the settings for news until some other instance is known.
pub(super) async fn ask_seeds(plane: Rc<ControlPlane>) {
    let seeds = plane.shared.settings.listen.seeds.clone();
    while !seeds.is_empty() && plane.members.borrow().usable().count() < 2 {
        for seed in &seeds {
            let _ = exchange(&plane, *seed, plane.shared.incarnation).await;
        }
        monoio::time::sleep(SEED_PAUSE).await;
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

/// Exchanges news with the peer at `to`; returns the incarnation that answered.
pub(super) async fn exchange(
    plane: &Rc<ControlPlane>,
    to: SocketAddr,
    incarnation: Incarnation,
) -> Result<Option<Incarnation>, PeerError> {
    let news = news(plane, incarnation);
    let (reply, answer) = flume::bounded(1);
    let call = PeerCall::Exchange { to, news, reply };
    plane.shared.metrics.peer_messages.with_label_values(&["out"]).inc();
    plane.wiring.calls.send_async(call).await.map_err(|_| PeerError::Stopped)?;
    let news = answer.recv_async().await.map_err(|_| PeerError::Stopped)??;
    let answered = news.members.first().map(|member| Incarnation(member.incarnation));
    hear(plane, to, &news);
    Ok(answered)
}

/// News for the peer with `incarnation`.
fn news(plane: &ControlPlane, incarnation: Incarnation) -> ExchangeWire {
    let members = plane.members.borrow_mut().updates_for(incarnation);
    let leaving = plane.marks.borrow().recent(plane.now(), TELL_LEAVING);
    let facts = plane.suspects.borrow().export(plane.now());
    let (crashes, cleared) = crashes_and_cleared(&facts);
    ExchangeWire {
        members: members.iter().map(MemberWire::from).collect(),
        leaving: leaving.iter().map(LeavingWire::from).collect(),
        crashes,
        cleared,
        config_version: plane.replica.borrow().version().0,
        list_position: plane.backends.borrow().position(),
    }
}

/// Takes in news from the peer at `from`.
fn hear(plane: &Rc<ControlPlane>, from: SocketAddr, news: &ExchangeWire) {
    plane.shared.metrics.peer_messages.with_label_values(&["in"]).inc();
    let members: Vec<Member> =
        news.members.iter().filter_map(|wire| Member::try_from(wire).ok()).collect();
    plane.members.borrow_mut().merge(plane.now(), &members);
    plane.publish_members();
    for wire in &news.leaving {
        note_leaving(plane, &LeavingMark::from(wire));
    }
    let facts = suspects(&news.crashes, &news.cleared);
    if !facts.is_empty() {
        plane.suspects.borrow_mut().merge(plane.now(), &facts);
        let _ = plane.wiring.commands.try_send(DataCommand::MergeSuspects(facts));
    }
    if let Some(sender) = news.members.first() {
        plane.note_peer_version(Incarnation(sender.incarnation), Version(news.config_version));
    }
    if news.list_position > plane.backends.borrow().position() {
        monoio::spawn(backends::pull(Rc::clone(plane), from));
    }
    if news.config_version > plane.replica.borrow().version().0 {
        monoio::spawn(configuration::pull(Rc::clone(plane), from));
    }
}

/// Takes in that a backend server is leaving.
pub(super) fn note_leaving(plane: &ControlPlane, mark: &LeavingMark) {
    let is_new = plane.marks.borrow_mut().mark(plane.now(), mark);
    if is_new {
        log::info!(backend:% = mark.backend; "backend server is leaving");
        plane.publish_fleet();
    }
}

/// Takes in crashes that the data thread saw and tells every peer at once: a request that crashes
/// backend servers may be on its way to other instances already. Replies when all have heard.
pub(super) async fn note_crash(plane: Rc<ControlPlane>, note: CrashReport) {
    plane.suspects.borrow_mut().merge(plane.now(), &note.suspects);
    tell_all(&plane).await;
    // The request that asked may have ended.
    let _ = note.acknowledged.try_send(());
}

/// Answers what peers ask.
pub(super) async fn answer_peers(plane: Rc<ControlPlane>) {
    while let Ok(request) = plane.wiring.requests.recv_async().await {
        match request {
            PeerRequest::Exchange { news: heard, reply } => answer_exchange(&plane, &heard, &reply),
            PeerRequest::Config { after, reply } => {
                let _ = reply.try_send(configuration::document(&plane, Version(after)));
            }
            PeerRequest::Backends { after, reply } => {
                let _ = reply.try_send(backends::changes(&plane, after));
            }
            PeerRequest::HandOver { outcomes, reply } => {
                let _ = reply.try_send(stop::adopt(&plane, &outcomes));
            }
        }
    }
}

fn answer_exchange(
    plane: &Rc<ControlPlane>,
    heard: &ExchangeWire,
    reply: &flume::Sender<ExchangeWire>,
) {
    let Some(Ok(sender)) = heard.members.first().map(Member::try_from) else { return };
    hear(plane, sender.peer_address, heard);
    let _ = reply.try_send(news(plane, sender.incarnation));
}

/// Tells every usable peer the news now, without waiting for their turns. Ends when each has
/// answered or failed to.
pub(super) async fn tell_all(plane: &Rc<ControlPlane>) {
    let own = plane.shared.incarnation;
    let peers: Vec<Member> =
        plane.members.borrow().usable().filter(|m| m.incarnation != own).cloned().collect();
    let calls = peers.iter().map(|peer| exchange(plane, peer.peer_address, peer.incarnation));
    // A peer that does not answer hears the news by gossip.
    let _ = join_all(calls).await;
}
