//! Fetching the state from another instance that has a newer one.
//!
//! Load pattern: a change that every instance of a large fleet fetches at the same moment, over
//! links of 10 Mbit/s. If all of them contacted the two instances that watch the store, each of
//! those would send the same text sixty times and no instance would have it in time. So an instance
//! answers few requests at a time and rejects the others, and each instance that has applied the
//! state notifies further ones: the number of instances that can answer grows with each round.
//!
//! An instance fetches from its own failure domain where it can, since traffic between domains is
//! billed. Before it contacts an instance of another domain, it waits for a short time in which
//! others of its own domain, larger ones first, can get ahead of it.
//!
//! Each exchange uses a connection of its own: the requesting instance sends the versions that it
//! has, and the other answers with what it lacks. The list of backend servers, which is small and
//! urgent, is requested before the configuration. Each side sends one frame: four bytes of length,
//! then the message, deflated if it is long, because servers' entries repeat the names of services
//! and failure domains.

use super::generated::{PullWire, StateWire};
use super::tasks;
use crate::caller;
use crate::compression::{self, CompressedConfig};
use crate::forwarding;
use crate::instance::{Instance, sleep};
use crate::usage::Flow;
use galenapath_http::Connection;
use galenapath_membership::{InstanceStatus, Peer};
use galenapath_protocol::{Micros, StorePosition};
use galenapath_routes::{ListedServer, ServerChanges};
use monoio::io::{AsyncReadRentExt, AsyncWriteRentExt};
use monoio::net::{TcpListener, TcpStream};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::cell::Cell;
use std::io::{Error, ErrorKind, Result};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Timeout of a whole exchange: a compressed configuration of 400 routes takes 30 ms on the
/// smallest link, and an instance with a tenth of a core takes some tenths of a second to apply it.
const TIMEOUT: Duration = Duration::from_millis(900);

/// Maximum number of configuration requests that are answered at a time.
const MAX_ANSWERS: u32 = 6;

/// Maximum delay before the next request after one that brought nothing new.
const MAX_RETRY_DELAY: Micros = Micros::from_millis(80);

/// Maximum accepted frame in bytes: the largest value of the store, or some thousand servers.
const MAX_FRAME_LEN: usize = 4 << 20;

/// Maximum time for which an instance with one core waits for another one of its failure domain to
/// get ahead: about what the first of them needs to fetch the state.
const MAX_DOMAIN_WAIT: Micros = Micros::from_millis(20);

/// Number of cores below which the wait does not grow further.
const MIN_CORES: f64 = 0.1;

/// Messages longer than this many bytes are deflated.
const MIN_DEFLATE_LEN: usize = 2 * 1024;

/// Bit of a frame's length field that marks a deflated message.
const DEFLATED_BIT: u32 = 1 << 31;

/// Length of a frame's length field, in bytes.
const HEAD_LEN: usize = 4;

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Micros = Micros::from_millis(20);

thread_local! {
    /// Whether a pull is in progress; one at a time is enough.
    static IS_PULLING: Cell<bool> = const { Cell::new(false) };
    /// Number of configuration requests that are being answered.
    static ANSWERS: Cell<u32> = const { Cell::new(0) };
}

/// Result of a request to one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pulled {
    Applied,
    Busy,
}

/// Fetches the state from instances that are ahead of this one, unless a pull is already in
/// progress.
pub(super) fn start(instance: &Rc<Instance>, notifier: SocketAddr) {
    if IS_PULLING.replace(true) {
        return;
    }
    let instance = Rc::clone(instance);
    monoio::spawn(async move {
        if !instance.membership.borrow().is_local(&notifier) {
            sleep(domain_wait(&instance)).await;
        }
        let mut from = pick_peer_ahead(&instance);
        while let Some(address) = from {
            let before = instance.status();
            let result = monoio::time::timeout(TIMEOUT, pull(&instance, address)).await;
            match result {
                Ok(Ok(Pulled::Applied | Pulled::Busy)) => {}
                Ok(Err(e)) => {
                    log::info!(from:% = address, error:% = e; "state not fetched from instance");
                }
                Err(_) => {
                    log::info!(from:% = address; "state not fetched from instance: timed out");
                }
            }
            if instance.status() == before {
                sleep(Micros(rand::random_range(0..MAX_RETRY_DELAY.0))).await;
            } else {
                tasks::notify_targets(&instance);
            }
            from = pick_peer_ahead(&instance);
        }
        IS_PULLING.set(false);
    });
}

/// Random time to wait before contacting an instance of another failure domain, longer for a small
/// instance.
fn domain_wait(instance: &Instance) -> Micros {
    let cores = instance.settings().cores.clamp(MIN_CORES, 1.0);
    Micros((rand::random::<f64>() * MAX_DOMAIN_WAIT.0 as f64 / cores) as u64)
}

/// Picks a random instance that is ahead of this one, from its own failure domain if there is one.
fn pick_peer_ahead(instance: &Instance) -> Option<SocketAddr> {
    let own = instance.status();
    let domain = &instance.settings().domain;
    let membership = instance.membership.borrow();
    let ahead = membership.peers().filter(|peer| peer.is_up() && is_ahead(&peer.status, &own));
    let (local, remote): (Vec<&Peer>, Vec<&Peer>) =
        ahead.partition(|peer| peer.member.domain == *domain);
    let ahead = if local.is_empty() { remote } else { local };
    (!ahead.is_empty()).then(|| ahead[rand::random_range(0..ahead.len())].member.peer_address)
}

/// Whether an instance has a newer configuration or server list than this one.
pub(super) fn is_ahead(theirs: &InstanceStatus, own: &InstanceStatus) -> bool {
    let position = theirs.position.or_epoch(own.position.epoch);
    theirs.config_version > own.config_version || position > own.position
}

async fn pull(instance: &Instance, from: SocketAddr) -> Result<Pulled> {
    exchange(instance, from, false).await?;
    let own = instance.status().config_version;
    let is_newer =
        |peer: &Peer| peer.member.peer_address == from && peer.status.config_version > own;
    let wants_config = instance.membership.borrow().peers().any(is_newer);
    if wants_config { exchange(instance, from, true).await } else { Ok(Pulled::Applied) }
}

async fn exchange(instance: &Instance, from: SocketAddr, wants_config: bool) -> Result<Pulled> {
    let request = {
        let state = instance.state.borrow();
        let config_version = state.config().map_or(0, |_| state.table().version());
        let StorePosition { epoch, revision: position } = state.directory().position();
        let within_epoch = states_epoch(instance, from).then_some(epoch);
        PullWire { wants_config, config_version, position, within_epoch }
    };
    let mut io = TcpStream::connect_addr(from).await?;
    let sent = write(&mut io, &request).await?;
    let (state, received): (StateWire, usize) = read(&mut io).await?;
    let is_local = instance.membership.borrow().is_local(&from);
    instance.usage.count(Flow::State, is_local, (sent + received) as u64);
    if state.is_busy {
        return Ok(Pulled::Busy);
    }
    apply(instance, state)?;
    Ok(Pulled::Applied)
}

/// Whether an instance states the epoch of its position; one of the previous release does not, and
/// does not read one.
fn states_epoch(instance: &Instance, address: SocketAddr) -> bool {
    let membership = instance.membership.borrow();
    let mut peers = membership.peers();
    let peer = peers.find(|peer| peer.member.peer_address == address);
    peer.is_some_and(|peer| peer.status.position.stated_epoch().is_some())
}

fn apply(instance: &Instance, wire: StateWire) -> Result<()> {
    let own_epoch = instance.state.borrow().position().epoch;
    let position = StorePosition::new(wire.within_epoch.unwrap_or(0), wire.position);
    let position = position.or_epoch(own_epoch);
    let withdrawn = wire.withdrawn.into_iter().map(Into::into).collect();
    instance.apply_evacuations(withdrawn, position);
    if !wire.config.is_empty() {
        instance.apply_compressed_config(CompressedConfig(wire.config))?;
    }
    let puts = wire.puts.into_iter().map(ListedServer::try_from);
    let puts = puts.collect::<std::result::Result<Vec<_>, _>>().map_err(Error::other)?;
    instance.apply_changes(ServerChanges {
        is_whole: wire.is_whole,
        present: wire.present,
        puts,
        removals: wire.removals.into_iter().map(Into::into).collect(),
        position,
    });
    Ok(())
}

/// Holds one of the `MAX_ANSWERS` slots for answers; dropping it frees the slot.
struct AnswerSlot;

impl AnswerSlot {
    /// Takes a slot; `None` if all are in use.
    fn begin() -> Option<Self> {
        let count = ANSWERS.get();
        (count < MAX_ANSWERS).then(|| {
            ANSWERS.set(count + 1);
            Self
        })
    }
}

impl Drop for AnswerSlot {
    fn drop(&mut self) {
        ANSWERS.set(ANSWERS.get() - 1);
    }
}

/// Serves other instances on `listener` for as long as this instance runs: each connection is for
/// one exchange of state, or for requests that the other instance forwards.
pub(crate) async fn serve_peers(instance: Rc<Instance>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((io, from)) => {
                let instance = Rc::clone(&instance);
                monoio::spawn(async move {
                    if let Err(e) = serve_peer(&instance, io).await {
                        log::debug!(from:% = from, error:% = e; "failed to answer an instance");
                    }
                });
            }
            Err(e) => {
                log::warn!(error:% = e; "failed to accept a connection from an instance");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_peer(instance: &Rc<Instance>, mut io: TcpStream) -> Result<()> {
    let (result, head) = monoio::time::timeout(TIMEOUT, io.read_exact(vec![0; HEAD_LEN])).await?;
    result?;
    let head: [u8; HEAD_LEN] = head.try_into().map_err(|_| ErrorKind::InvalidData)?;
    // A frame is never so long that its length begins with the letter of an HTTP method.
    if head[0].is_ascii_uppercase() {
        let limits = *instance.state.borrow().table().limits();
        let head_limit = limits.header_bytes + forwarding::HEADER_LEN;
        let connection = Connection::with_input(io, head_limit, &head);
        caller::serve_peer(instance, connection).await;
        return Ok(());
    }
    monoio::time::timeout(TIMEOUT, answer(instance, io, head)).await?
}

async fn answer(instance: &Instance, mut io: TcpStream, head: [u8; HEAD_LEN]) -> Result<()> {
    let (request, _): (PullWire, usize) = read_body(&mut io, head).await?;
    let slot = if request.wants_config { AnswerSlot::begin() } else { None };
    if request.wants_config && slot.is_none() {
        return write(&mut io, &busy()).await.map(drop);
    }
    let wire = {
        let state = instance.state.borrow();
        let is_newer = state.table().version() > request.config_version;
        let config = state.config().filter(|_| request.wants_config && is_newer);
        let own = state.position();
        let known = StorePosition::new(request.within_epoch.unwrap_or(0), request.position);
        let is_of_epoch = request.within_epoch.is_none() || known.epoch == own.epoch;
        let known = if is_of_epoch { known.or_epoch(own.epoch) } else { StorePosition::default() };
        let changes = state.changes_after(known, instance.now());
        StateWire {
            is_busy: false,
            config: config.map(|compressed| compressed.0.clone()).unwrap_or_default(),
            is_whole: changes.is_whole,
            present: changes.present,
            puts: changes.puts.into_iter().map(Into::into).collect(),
            removals: changes.removals.into_iter().map(Into::into).collect(),
            position: own.revision,
            withdrawn: state.evacuations.known().map(Into::into).collect(),
            within_epoch: request.within_epoch.map(|_| own.epoch),
        }
    };
    write(&mut io, &wire).await.map(drop)
}

fn busy() -> StateWire {
    StateWire {
        is_busy: true,
        config: String::new(),
        is_whole: false,
        present: Vec::new(),
        puts: Vec::new(),
        removals: Vec::new(),
        position: 0,
        withdrawn: Vec::new(),
        within_epoch: None,
    }
}

/// Writes a frame; returns its size in bytes, including the length field.
async fn write<T: Serialize>(io: &mut TcpStream, message: &T) -> Result<usize> {
    let mut body = rmp_serde::to_vec(message).map_err(Error::other)?;
    let mut is_deflated = 0;
    if body.len() > MIN_DEFLATE_LEN {
        body = compression::deflate(&body)?;
        is_deflated = DEFLATED_BIT;
    }
    let len = u32::try_from(body.len()).map_err(Error::other)? | is_deflated;
    let mut frame = len.to_be_bytes().to_vec();
    frame.extend_from_slice(&body);
    io.write_all(frame).await.0
}

/// Reads a frame; returns the message and the size of the frame, including the length field.
async fn read<T: DeserializeOwned>(io: &mut TcpStream) -> Result<(T, usize)> {
    let (result, head) = io.read_exact(vec![0; HEAD_LEN]).await;
    result?;
    read_body(io, head.try_into().map_err(|_| ErrorKind::InvalidData)?).await
}

/// Reads the rest of a frame that begins with `head`.
async fn read_body<T: DeserializeOwned>(
    io: &mut TcpStream,
    head: [u8; HEAD_LEN],
) -> Result<(T, usize)> {
    let word = u32::from_be_bytes(head);
    let len = (word & !DEFLATED_BIT) as usize;
    if len > MAX_FRAME_LEN {
        return Err(Error::other(format!(
            "frame too large: {len} of at most {MAX_FRAME_LEN} bytes"
        )));
    }
    let (result, mut body) = io.read_exact(vec![0; len]).await;
    result?;
    if word & DEFLATED_BIT != 0 {
        body = compression::inflate(&body, MAX_FRAME_LEN)?;
    }
    let message = rmp_serde::from_slice(&body).map_err(Error::other)?;
    Ok((message, head.len() + len))
}
