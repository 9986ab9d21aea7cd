//! Joining the fleet: how an instance and the others learn of each other.

use super::message::{Datagram, encode};
use super::tasks::send_heartbeat;
use crate::instance::{Instance, sleep};
use crate::usage::Flow;
use galenapath_membership::{LearnOutcome, Member, StoreHealth};
use galenapath_policy::LogLineKind;
use galenapath_protocol::{Incarnation, Micros};
use std::net::SocketAddr;
use std::rc::Rc;

/// Time between two requests to the seeds for an instance that has just started and knows no
/// others: all instances of a deployment start within a third of a second, including the seeds.
const FAST_RETRY_PERIOD: Micros = Micros::from_millis(25);

/// Time between two requests to the seeds after `FAST_RETRY_FOR`.
const SLOW_RETRY_PERIOD: Micros = Micros::from_secs(1);

/// Time after the start for which the seeds are contacted every `FAST_RETRY_PERIOD`.
const FAST_RETRY_FOR: Micros = Micros::from_secs(1);

/// Members in one datagram, so that it fits one packet.
const MEMBERS_PER_DATAGRAM: usize = 12;

/// Requests members from the seeds for as long as no others are known: frequently after the start,
/// then less often.
///
/// Every instance learned of is introduced to this one, so a single answer is enough; missing
/// members are detected by the digests in heartbeats.
pub(crate) async fn join(instance: Rc<Instance>) {
    let mut attempts = usize::from(rand::random::<u8>());
    loop {
        if instance.membership.borrow().is_alone() {
            request_members_from_seed(&instance, attempts);
            attempts += 1;
        }
        let is_new = instance.clock.uptime() < FAST_RETRY_FOR;
        sleep(if is_new { FAST_RETRY_PERIOD } else { SLOW_RETRY_PERIOD }).await;
    }
}

/// Requests members from one seed, a different one with each attempt, and introduces this instance
/// to the other seeds. Answers from all seeds would repeat the same list.
fn request_members_from_seed(instance: &Instance, attempts: usize) {
    let settings = instance.settings();
    let (own, seeds) = (settings.listen.peers, &settings.listen.seeds);
    let others: Vec<SocketAddr> = seeds.iter().copied().filter(|seed| *seed != own).collect();
    if others.is_empty() {
        return;
    }
    let target = others[attempts % others.len()];
    request_members(instance, &[target]);
    others.iter().filter(|seed| **seed != target).for_each(|seed| introduce(instance, *seed));
}

/// Introduces this instance and requests the known members.
pub(crate) fn request_members(instance: &Instance, to: &[SocketAddr]) {
    let own = instance.member();
    let datagram = encode(&Datagram::Hello(own.clone()));
    let others = to.iter().filter(|address| **address != own.peer_address);
    others.for_each(|address| instance.send(*address, &datagram, Flow::Members));
}

/// Applies the members received from another instance.
pub(super) fn apply_members(instance: &Instance, members: Vec<Member>, from: SocketAddr) {
    let is_introduction = members.len() == 1;
    for member in members {
        let (address, is_local) =
            (member.peer_address, member.domain == instance.settings().domain);
        let incarnation = member.incarnation;
        let learned = learn(instance, member);
        if address == from {
            instance.membership.borrow_mut().record_contact(instance.now(), incarnation);
        }
        match (learned, address == from) {
            // The heartbeat gives a new instance the store's health and more; one from its own
            // failure domain is enough.
            (LearnOutcome::New, true) if is_local || !is_introduction => {
                send_heartbeat(instance, &[address]);
            }
            // The sender considered this instance gone, or lost the first answer.
            (LearnOutcome::Known | LearnOutcome::KnownDown, true) if is_introduction => {
                send_heartbeat(instance, &[address]);
            }
            (LearnOutcome::New | LearnOutcome::KnownDown, false) => introduce(instance, address),
            _ => {}
        }
    }
}

/// Introduces this instance to one that is known only from others.
fn introduce(instance: &Instance, to: SocketAddr) {
    let datagram = encode(&members_datagram(instance, vec![instance.member()]));
    instance.send(to, &datagram, Flow::Members);
}

fn members_datagram(instance: &Instance, members: Vec<Member>) -> Datagram {
    let is_listed = |id: &Incarnation| members.iter().any(|member| member.incarnation == *id);
    let membership = instance.membership.borrow();
    let failing = membership.peers().filter(|peer| peer.status.store == StoreHealth::Failing);
    let store_failing = failing.map(|peer| peer.member.incarnation).filter(is_listed).collect();
    Datagram::Members { members, store_failing }
}

/// Adds or updates a member.
pub(super) fn learn(instance: &Instance, member: Member) -> LearnOutcome {
    let now = instance.now();
    let joined = (member.id.0.clone(), member.incarnation);
    let learned = instance.membership.borrow_mut().learn(now, member);
    // The budget keeps hundreds of instances that start together from writing a line each on all of
    // them.
    if learned == LearnOutcome::New && instance.may_log(LogLineKind::Peer) {
        log::info!(peer = joined.0, incarnation:% = joined.1; "instance joined");
    }
    learned
}

/// Sends the known members.
pub(super) fn send_members(instance: &Instance, to: SocketAddr) {
    let own = instance.member();
    let mut members: Vec<Member> = {
        let membership = instance.membership.borrow();
        membership.peers().filter(|peer| peer.is_up()).map(|peer| peer.member.clone()).collect()
    };
    members.push(own);
    for part in members.chunks(MEMBERS_PER_DATAGRAM) {
        instance.send(to, &encode(&members_datagram(instance, part.to_vec())), Flow::Members);
    }
}
