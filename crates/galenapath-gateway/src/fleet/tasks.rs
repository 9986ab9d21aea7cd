//! Heartbeats, and what comes in by datagram.

use super::joining::{ask, learn, send_members, take_members};
use super::message::{Datagram, decode, encode};
use super::pull;
use crate::instance::{Instance, sleep, sleep_to_next};
use crate::usage::Flow;
use galenapath_membership::{Beat, Belief, Heard, StoreHealth, Vitals};
use galenapath_policy::LogLineKind;
use galenapath_protocol::Micros;
use monoio::net::udp::UdpSocket;
use std::net::SocketAddr;
use std::rc::Rc;

/// Time between two looks at heartbeats that are due.
const LOOK: Micros = Micros::from_millis(50);

/// Time between two tellings of instances that were found silent, so that one lost datagram leaves
/// nobody with a dead instance among the addresses that it tells.
const TELL_AGAIN: Micros = Micros::from_millis(700);

/// Tellings of instances that were found silent.
const TELLINGS: u32 = 3;

/// Least time between two answers to an accusation.
const ANSWER_PAUSE: Micros = Micros::from_millis(500);

/// Requests a second from which a doubling or halving is told to all; below it, chance doubles them.
const TELLING_RATE: u32 = 32;

/// Largest datagram that is read, in bytes.
const LARGEST: usize = 2 * 1024;

/// Sends heartbeats and looks at who is silent, for as long as the instance runs.
pub(crate) async fn run(instance: Rc<Instance>) {
    let mut told = Vitals::default();
    let mut tellings = Tellings::default();
    loop {
        sleep_to_next(&instance, LOOK).await;
        let now = instance.now();
        let changes = instance.beats.borrow_mut().tick(now);
        changes.iter().for_each(|change| log_belief(&instance, change));
        let up = instance.beats.borrow().peers().filter(|peer| peer.is_up()).count();
        instance.metrics.peers.set(i64::try_from(up).unwrap_or(i64::MAX));
        instance.expire_servers();
        if changes.iter().any(|change| change.is_own) {
            tellings.begin(now);
        }
        let vitals = instance.vitals();
        let audience = if tellings.is_due(now) { Audience::All } else { audience(&told, &vitals) };
        match audience {
            Audience::All => announce(&instance),
            Audience::Serving => {
                let to = instance.beats.borrow().home_and_serving();
                send_beat(&instance, &to);
            }
            Audience::Targets => {
                let due = instance.beats.borrow_mut().due(now, vitals.serves_callers);
                send_beat(&instance, &due);
                continue;
            }
        }
        told = vitals;
    }
}

/// What others have found is written by them as well.
fn log_belief(instance: &Instance, change: &Belief) {
    if !change.is_own && !instance.may_log(LogLineKind::Peer) {
        return;
    }
    let silence_ms = change.silence.0 / 1_000;
    let peer = change.member.id.0.as_str();
    let (is_up, is_own) = (change.is_up, change.is_own);
    log::info!(peer, is_up, is_own, silence_ms; "instance heard or silent");
}

/// Tellings of instances that this one has found silent, or heard again.
#[derive(Default)]
struct Tellings {
    left: u32,
    next_at: Micros,
}

impl Tellings {
    fn begin(&mut self, now: Micros) {
        self.left = TELLINGS;
        self.next_at = now;
    }

    /// Whether all are to be told now; counts it.
    fn is_due(&mut self, now: Micros) -> bool {
        if self.left == 0 || now < self.next_at {
            return false;
        }
        self.left -= 1;
        self.next_at = now + TELL_AGAIN;
        true
    }
}

/// Who gets a heartbeat now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Audience {
    /// All, because what they rely on has changed.
    All,
    /// Those who share backend servers and callers with this instance. Told to all, each change of load
    /// would cost as many datagrams as there are instances.
    Serving,
    /// Those that one is due to.
    Targets,
}

/// Who has to hear of a change at once.
fn audience(told: &Vitals, now: &Vitals) -> Audience {
    let is_for_all = told.is_ready != now.is_ready
        || told.is_leaving != now.is_leaving
        || told.store != now.store
        || told.is_watching != now.is_watching
        || told.serves_callers != now.serves_callers;
    let is_for_serving = told.crosses != now.crosses || is_other_rate(told.rate, now.rate);
    match (is_for_all, is_for_serving) {
        (true, _) => Audience::All,
        (false, true) => Audience::Serving,
        (false, false) => Audience::Targets,
    }
}

/// Whether an instance serves so many more or fewer requests that others, who share questions and
/// slots by it, have to know.
fn is_other_rate(told: u32, now: u32) -> bool {
    let (less, more) = (told.min(now), told.max(now));
    more >= TELLING_RATE && more >= less.saturating_mul(2)
}

/// Sends a heartbeat to all other instances now.
pub(crate) fn announce(instance: &Instance) {
    let all = instance.beats.borrow().all();
    send_beat(instance, &all);
}

/// Sends a heartbeat now to those that get one anyway, who then know where to ask.
pub(super) fn tell_targets(instance: &Instance) {
    let targets = instance.beats.borrow().targets();
    send_beat(instance, &targets);
}

pub(super) fn send_beat(instance: &Instance, to: &[SocketAddr]) {
    if to.is_empty() {
        return;
    }
    let (accused, digest) = {
        let beats = instance.beats.borrow();
        (beats.accused(), beats.digest())
    };
    let beat = Beat { from: instance.incarnation, vitals: instance.vitals(), accused, digest };
    let datagram = encode(&Datagram::Beat(beat));
    to.iter().for_each(|address| instance.send(*address, &datagram, Flow::Heartbeat));
}

/// Tells all that the instance ends now.
pub(crate) fn tell_end(instance: &Instance) {
    let datagram = encode(&Datagram::End(instance.incarnation));
    let all = instance.beats.borrow().all();
    all.iter().for_each(|address| instance.send(*address, &datagram, Flow::Members));
}

/// Takes datagrams in, for as long as the instance runs.
pub(crate) async fn receive(instance: Rc<Instance>, socket: UdpSocket) {
    let mut buf = vec![0; LARGEST];
    loop {
        let (result, filled) = socket.recv_from(buf).await;
        buf = filled;
        match result {
            Ok((n, from)) => take(&instance, &buf[..n], from),
            Err(e) => {
                log::debug!(error:% = e; "no datagram could be read");
                sleep(LOOK).await;
            }
        }
    }
}

fn take(instance: &Rc<Instance>, bytes: &[u8], from: SocketAddr) {
    let datagram = match decode(bytes) {
        Ok(datagram) => datagram,
        Err(e) => {
            log::debug!(from:% = from, error = e; "a datagram cannot be read");
            return;
        }
    };
    match datagram {
        Datagram::Beat(beat) => take_beat(instance, &beat, from),
        Datagram::Hello(member) => {
            let incarnation = member.incarnation;
            learn(instance, member);
            instance.beats.borrow_mut().spoke(instance.now(), incarnation);
            send_members(instance, from);
            // A new instance takes the state from whom it hears to have one.
            send_beat(instance, &[from]);
        }
        Datagram::Members(members) => take_members(instance, members, from),
        Datagram::Loads(loads) => instance.take_loads(&loads),
        Datagram::Notices(notices) => instance.take_notices(&notices),
        Datagram::End(incarnation) => {
            log::info!(incarnation:% = incarnation; "instance has ended");
            instance.beats.borrow_mut().ended(incarnation);
        }
    }
}

fn take_beat(instance: &Rc<Instance>, beat: &Beat, from: SocketAddr) {
    let was_ready = instance.beats.borrow().is_ready(beat.from);
    let heard = instance.beats.borrow_mut().hear(instance.now(), beat);
    if !was_ready && instance.beats.borrow().is_ready(beat.from) {
        instance.tell_newcomer(from);
    }
    if beat.vitals.store == StoreHealth::Answering {
        instance.store_heard();
    }
    match heard {
        Heard::Known => {}
        Heard::Stranger => ask(instance, &[from]),
        Heard::Accused => answer_accusation(instance),
        Heard::Differs => {
            log::info!(from:% = from; "asks whom another instance knows");
            ask(instance, &[from]);
        }
    }
    if pull::is_ahead(&beat.vitals, &instance.vitals()) {
        pull::start(instance, from);
    }
}

/// Tells all that this instance is there, because some have not heard it.
fn answer_accusation(instance: &Instance) {
    let now = instance.now();
    if now - instance.accused_at.get() < ANSWER_PAUSE {
        return;
    }
    instance.accused_at.set(now);
    log::info!("another instance has not heard this one; telling all");
    let everybody = instance.beats.borrow().everybody();
    send_beat(instance, &everybody);
}
