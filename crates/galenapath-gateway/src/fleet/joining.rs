//! How an instance comes to know the others, and they it.

use super::message::{Datagram, encode};
use super::tasks::send_beat;
use crate::instance::{Instance, sleep};
use crate::usage::Flow;
use galenapath_membership::{Learned, Member};
use galenapath_policy::LogLineKind;
use galenapath_protocol::Micros;
use std::net::SocketAddr;
use std::rc::Rc;

/// Time between two questions to the seeds of an instance that has just started and knows nobody: all
/// instances of a deployment start within a third of a second, seeds as well.
const ASK_AGAIN: Micros = Micros::from_millis(25);

/// Time between two questions to the seeds after `ASK_OFTEN`.
const ASK_SELDOM: Micros = Micros::from_secs(1);

/// Time after the start for which the seeds are asked often.
const ASK_OFTEN: Micros = Micros::from_secs(1);

/// Members in one datagram, so that it fits one packet.
const MEMBERS_PER_DATAGRAM: usize = 12;

/// Asks the seeds who is there for as long as nobody is known: often after the start, seldom later.
/// Whoever is heard of then gets to know this instance, so that one answer is enough; what is missed
/// shows by the digests.
pub(crate) async fn join(instance: Rc<Instance>) {
    let mut tries = usize::from(rand::random::<u8>());
    loop {
        if instance.beats.borrow().is_alone() {
            ask_a_seed(&instance, tries);
            tries += 1;
        }
        let is_new = instance.clock.age() < ASK_OFTEN;
        sleep(if is_new { ASK_AGAIN } else { ASK_SELDOM }).await;
    }
}

/// Asks one seed who is there, another one with each try, and makes this instance known to the others:
/// answers from all of them would be the same list several times.
fn ask_a_seed(instance: &Instance, tries: usize) {
    let settings = instance.settings();
    let (own, seeds) = (settings.listen.peers, &settings.listen.seeds);
    let others: Vec<SocketAddr> = seeds.iter().copied().filter(|seed| *seed != own).collect();
    if others.is_empty() {
        return;
    }
    let asked = others[tries % others.len()];
    ask(instance, &[asked]);
    others.iter().filter(|seed| **seed != asked).for_each(|seed| introduce(instance, *seed));
}

/// Tells who this instance is and asks who is there.
pub(crate) fn ask(instance: &Instance, to: &[SocketAddr]) {
    let own = instance.member();
    let datagram = encode(&Datagram::Hello(own.clone()));
    let others = to.iter().filter(|address| **address != own.peers);
    others.for_each(|address| instance.send(*address, &datagram, Flow::Members));
}

/// Takes in who is there, as another instance tells.
pub(super) fn take_members(instance: &Instance, members: Vec<Member>, from: SocketAddr) {
    let is_introduction = members.len() == 1;
    for member in members {
        let (address, is_home) = (member.peers, member.domain == instance.settings().domain);
        let incarnation = member.incarnation;
        let learned = learn(instance, member);
        if address == from {
            instance.beats.borrow_mut().spoke(instance.now(), incarnation);
        }
        match (learned, address == from) {
            // A new instance learns from the answer whether the store answers here, and more; one of its own
            // failure domain is enough for that.
            (Learned::News, true) if is_home || !is_introduction => send_beat(instance, &[address]),
            // It has taken this instance for gone, or has lost the first answer.
            (Learned::Known | Learned::Doubted, true) if is_introduction => {
                send_beat(instance, &[address]);
            }
            (Learned::News | Learned::Doubted, false) => introduce(instance, address),
            _ => {}
        }
    }
}

/// Tells another instance, which has only been heard of, that this one is there.
fn introduce(instance: &Instance, to: SocketAddr) {
    let datagram = encode(&Datagram::Members(vec![instance.member()]));
    instance.send(to, &datagram, Flow::Members);
}

/// Takes in who an instance is.
pub(super) fn learn(instance: &Instance, member: Member) -> Learned {
    let now = instance.now();
    let joined = (member.id.0.clone(), member.incarnation);
    let learned = instance.beats.borrow_mut().learn(now, member);
    // Hundreds that start together would else write a line each on all of them.
    if learned == Learned::News && instance.may_log(LogLineKind::Peer) {
        log::info!(peer = joined.0, incarnation:% = joined.1; "instance joined");
    }
    learned
}

/// Tells who is there.
pub(super) fn send_members(instance: &Instance, to: SocketAddr) {
    let own = instance.member();
    let mut members: Vec<Member> = {
        let beats = instance.beats.borrow();
        beats.peers().filter(|peer| peer.is_up()).map(|peer| peer.member.clone()).collect()
    };
    members.push(own);
    for part in members.chunks(MEMBERS_PER_DATAGRAM) {
        instance.send(to, &encode(&Datagram::Members(part.to_vec())), Flow::Members);
    }
}
