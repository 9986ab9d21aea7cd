//! Sending of heartbeats and handling of received datagrams.

use super::joining::{apply_members, learn, request_members, send_members};
use super::message::{Datagram, decode, encode};
use super::pull;
use crate::instance::{Instance, sleep, sleep_to_next};
use crate::reach;
use crate::usage::Flow;
use galenapath_membership::{
    Heartbeat, HeartbeatOutcome, InstanceStatus, ReachabilityChange, StoreHealth,
};
use galenapath_policy::LogLineKind;
use galenapath_protocol::{Incarnation, Micros};
use monoio::net::udp::UdpSocket;
use std::net::SocketAddr;
use std::rc::Rc;

/// Interval at which heartbeats that are due are sent and silent instances detected.
const TICK_PERIOD: Micros = Micros::from_millis(50);

/// Time between two announcements of instances found silent. Announcements are repeated so that one
/// lost datagram leaves no instance with a dead one among the addresses that it hands out.
const ANNOUNCE_PERIOD: Micros = Micros::from_millis(700);

/// Number of announcements after an instance was found silent.
const ANNOUNCEMENTS: u32 = 3;

/// Minimum time between two refutations of reports that this instance is silent.
const MIN_REFUTATION_PERIOD: Micros = Micros::from_millis(500);

/// Minimum request rate at which a doubling or halving is sent at once; lower rates double by
/// chance.
const MIN_ANNOUNCED_RATE: u32 = 32;

/// Maximum datagram that is read, in bytes.
const MAX_DATAGRAM_LEN: usize = 2 * 1024;

/// Sends heartbeats and detects silent instances for as long as this instance runs.
pub(crate) async fn run(instance: Rc<Instance>) {
    let mut last_sent = InstanceStatus::default();
    let mut announcements = SilenceAnnouncements::default();
    loop {
        sleep_to_next(&instance, TICK_PERIOD).await;
        let now = instance.now();
        update_paths(&instance, now);
        let changes = instance.membership.borrow_mut().tick(now);
        changes.iter().for_each(|change| log_reachability_change(&instance, change));
        let others = instance.membership.borrow().up_count() - 1;
        instance.metrics.peers.set(i64::try_from(others).unwrap_or(i64::MAX));
        instance.expire_servers();
        if changes.iter().any(|change| change.is_detected_here) {
            announcements.begin(now);
        }
        let status = instance.status();
        let audience =
            if announcements.is_due(now) { Audience::All } else { audience(&last_sent, &status) };
        match audience {
            Audience::All => broadcast_heartbeat(&instance),
            Audience::Serving => {
                let to = instance.membership.borrow().local_and_serving_addresses();
                send_heartbeat(&instance, &to);
            }
            Audience::Targets => {
                ask_silent(&instance, now);
                let due =
                    instance.membership.borrow_mut().heartbeats_due(now, status.serves_callers);
                send_heartbeat(&instance, &due);
                continue;
            }
        }
        last_sent = status;
    }
}

/// Time since an answer of the store or of a backend server for which it shows that this instance
/// is not cut off. Shorter than the silence after which others are found silent.
const PATHS_EXPIRY: Micros = Micros::from_millis(500);

/// Records whether this instance has paths to anything but the others, if many of them are silent.
fn update_paths(instance: &Instance, now: Micros) {
    if instance.membership.borrow().needs_paths() {
        let has_paths = instance.store_follow.get().silence(now) < PATHS_EXPIRY
            || instance.has_server_answered_since(now - PATHS_EXPIRY);
        instance.membership.borrow_mut().set_has_paths(has_paths);
    }
}

/// Asks instances for a heartbeat of which nothing arrives otherwise.
fn ask_silent(instance: &Instance, now: Micros) {
    let due = instance.membership.borrow_mut().questions_due(now);
    send(instance, &due, true);
}

/// Changes found by other instances are logged by those as well, so they are subject to the line
/// budget here.
fn log_reachability_change(instance: &Instance, change: &ReachabilityChange) {
    if !change.is_detected_here && !instance.may_log(LogLineKind::Peer) {
        return;
    }
    let silence_ms = change.silence.0 / 1_000;
    let peer = change.member.id.0.as_str();
    let (is_up, is_own) = (change.is_up, change.is_detected_here);
    log::info!(peer, is_up, is_own, silence_ms; "instance reachable or silent");
}

/// Repeated announcements of instances that this one found silent or reachable again.
#[derive(Default)]
struct SilenceAnnouncements {
    remaining: u32,
    next_at: Micros,
}

impl SilenceAnnouncements {
    fn begin(&mut self, now: Micros) {
        self.remaining = ANNOUNCEMENTS;
        self.next_at = now;
    }

    /// Whether an announcement to all is due now; counts it.
    fn is_due(&mut self, now: Micros) -> bool {
        if self.remaining == 0 || now < self.next_at {
            return false;
        }
        self.remaining -= 1;
        self.next_at = now + ANNOUNCE_PERIOD;
        true
    }
}

/// Recipients of the next heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Audience {
    /// All instances, because a status that they rely on has changed.
    All,
    /// Instances that share backend servers and callers with this one. Sent to all, each change of
    /// the request rate would cost as many datagrams as there are instances.
    Serving,
    /// Instances whose next periodic heartbeat is due.
    Targets,
}

/// Selects the recipients that need a status change at once.
fn audience(last_sent: &InstanceStatus, now: &InstanceStatus) -> Audience {
    let is_for_all = last_sent.is_ready != now.is_ready
        || last_sent.is_leaving != now.is_leaving
        || last_sent.store != now.store
        || last_sent.is_watching != now.is_watching
        || last_sent.serves_callers != now.serves_callers
        || last_sent.is_cut_off != now.is_cut_off;
    let is_for_serving = last_sent.sends_cross_domain != now.sends_cross_domain
        || is_rate_changed(last_sent.rate, now.rate);
    match (is_for_all, is_for_serving) {
        (true, _) => Audience::All,
        (false, true) => Audience::Serving,
        (false, false) => Audience::Targets,
    }
}

/// Whether the request rate has changed so much that others, which divide queries and slots by it,
/// need to know.
fn is_rate_changed(last_sent: u32, now: u32) -> bool {
    let (less, more) = (last_sent.min(now), last_sent.max(now));
    more >= MIN_ANNOUNCED_RATE && more >= less.saturating_mul(2)
}

/// Sends a heartbeat to all other instances now.
pub(crate) fn broadcast_heartbeat(instance: &Instance) {
    let all = instance.membership.borrow().reachable_addresses();
    send_heartbeat(instance, &all);
}

/// Sends a heartbeat now to the instances that receive this one's periodic heartbeats, so that they
/// learn where newer state is available.
pub(super) fn notify_targets(instance: &Instance) {
    let targets = instance.membership.borrow().target_addresses();
    send_heartbeat(instance, &targets);
}

pub(super) fn send_heartbeat(instance: &Instance, to: &[SocketAddr]) {
    send(instance, to, false);
}

fn send(instance: &Instance, to: &[SocketAddr], wants_answer: bool) {
    if to.is_empty() {
        return;
    }
    let (accused, digest) = {
        let membership = instance.membership.borrow();
        (membership.accused(), membership.digest())
    };
    let heartbeat = Heartbeat {
        from: instance.incarnation,
        status: instance.status(),
        accused,
        digest,
        store_age: instance.store_follow.get().age(instance.now()),
        wants_answer,
    };
    let datagram = encode(&Datagram::Heartbeat(heartbeat));
    to.iter().for_each(|address| instance.send(*address, &datagram, Flow::Heartbeat));
}

/// Notifies all other instances that this one is about to exit.
pub(crate) fn broadcast_end(instance: &Instance) {
    let datagram = encode(&Datagram::End(instance.incarnation));
    let all = instance.membership.borrow().reachable_addresses();
    all.iter().for_each(|address| instance.send(*address, &datagram, Flow::Members));
}

/// Receives and handles datagrams for as long as the instance runs.
pub(crate) async fn receive(instance: Rc<Instance>, socket: UdpSocket) {
    let mut buf = vec![0; MAX_DATAGRAM_LEN];
    loop {
        let (result, filled) = socket.recv_from(buf).await;
        buf = filled;
        match result {
            Ok((n, from)) => handle_datagram(&instance, &buf[..n], from),
            Err(e) => {
                log::debug!(error:% = e; "failed to receive a datagram");
                sleep(TICK_PERIOD).await;
            }
        }
    }
}

fn handle_datagram(instance: &Rc<Instance>, bytes: &[u8], from: SocketAddr) {
    let datagram = match decode(bytes) {
        Ok(datagram) => datagram,
        Err(e) => {
            log::debug!(from:% = from, error = e; "failed to decode a datagram");
            return;
        }
    };
    match datagram {
        Datagram::Heartbeat(heartbeat) => handle_heartbeat(instance, &heartbeat, from),
        Datagram::Hello(member) => {
            let incarnation = member.incarnation;
            learn(instance, member);
            instance.membership.borrow_mut().record_contact(instance.now(), incarnation);
            send_members(instance, from);
            // A new instance fetches the state from an instance whose heartbeat shows that it has
            // one.
            send_heartbeat(instance, &[from]);
        }
        Datagram::Members { members, store_failing } => {
            apply_members(instance, members, from);
            record_store_failing(instance, &store_failing);
        }
        Datagram::Loads(mut loads) => {
            if is_cut_off(instance, from) {
                // What does not answer the sender may well answer others.
                loads.failures.clear();
            }
            instance.apply_loads(&loads);
        }
        Datagram::Notices(notices) => instance.apply_notices(&notices, from),
        Datagram::Usage { from: sender, notes } => instance.apply_usage(sender, from, &notes),
        Datagram::PathQuery { from: sender, servers } => {
            instance.answer_path_query(sender, &servers, from);
        }
        Datagram::PathReport(report) => instance.apply_path_report(&report),
        Datagram::End(incarnation) => {
            log::info!(incarnation:% = incarnation; "instance has ended");
            instance.quotas.borrow_mut().forget(incarnation);
            instance.membership.borrow_mut().remove(incarnation);
        }
    }
}

/// Records which instances the store does not answer, as another instance lists them.
fn record_store_failing(instance: &Instance, ids: &[Incarnation]) {
    let new = |id: &&Incarnation| instance.membership.borrow_mut().set_store_failing(**id);
    if ids.iter().filter(new).count() > 0 {
        instance.record_store_failure();
    }
}

fn handle_heartbeat(instance: &Rc<Instance>, heartbeat: &Heartbeat, from: SocketAddr) {
    let was_ready = instance.membership.borrow().is_ready(heartbeat.from);
    let was_failing = instance.membership.borrow().is_store_failing(heartbeat.from);
    let was_cut_off = instance.membership.borrow().is_cut_off(heartbeat.from);
    let outcome = instance.membership.borrow_mut().apply_heartbeat(instance.now(), heartbeat);
    if !was_ready && instance.membership.borrow().is_ready(heartbeat.from) {
        instance.send_known_notices(from);
    }
    if heartbeat.status.is_cut_off && !was_cut_off && is_in_own_domain(instance, heartbeat.from) {
        reach::verify_paths(instance);
    }
    if heartbeat.status.store == StoreHealth::Failing && !was_failing {
        instance.record_store_failure();
    }
    if let Some(age) = heartbeat.store_age {
        instance.record_store_report(age);
    }
    if heartbeat.wants_answer {
        send_heartbeat(instance, &[from]);
    }
    match outcome {
        HeartbeatOutcome::Known | HeartbeatOutcome::UnknownSenderForNow => {}
        HeartbeatOutcome::UnknownSender => request_members(instance, &[from]),
        HeartbeatOutcome::AccusesUs => refute_silence(instance),
        HeartbeatOutcome::ViewDiffers => {
            log::info!(from:% = from; "membership differs; requesting members");
            request_members(instance, &[from]);
        }
    }
    if pull::is_ahead(&heartbeat.status, &instance.status()) {
        pull::start(instance, from);
    }
}

/// Whether the instance with this address has lost its paths to backend servers.
fn is_cut_off(instance: &Instance, address: SocketAddr) -> bool {
    let membership = instance.membership.borrow();
    let mut peers = membership.peers();
    peers.any(|peer| peer.member.peer_address == address && peer.status.is_cut_off)
}

fn is_in_own_domain(instance: &Instance, other: Incarnation) -> bool {
    let membership = instance.membership.borrow();
    membership.domain_of(other) == Some(membership.domain())
}

/// Sends a heartbeat to all instances, because some reported this one as silent.
fn refute_silence(instance: &Instance) {
    let now = instance.now();
    if now - instance.refuted_at.get() < MIN_REFUTATION_PERIOD {
        return;
    }
    instance.refuted_at.set(now);
    log::info!("reported as silent by another instance; sending a heartbeat to all");
    let all_addresses = instance.membership.borrow().all_addresses();
    send_heartbeat(instance, &all_addresses);
}
