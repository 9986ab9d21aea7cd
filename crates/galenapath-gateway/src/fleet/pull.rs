//! Taking in the state from another instance that is ahead.
//!
//! Load pattern: a change that every instance of a large fleet takes in at the same moment, over
//! links of 10 Mbit/s. If all ask the two instances that watch the store, each of them sends the same
//! text sixty times and nobody has it in time. So an instance answers few at a time and sends the
//! others on, and whoever has taken the state in tells those after it: the number of instances that
//! can answer grows with each round.
//!
//! An instance asks one of its own failure domain where it can, since bytes between domains are billed: it
//! leaves those of its domain, larger ones first, a moment to be ahead before it asks another domain's.
//!
//! One exchange on a connection of its own: the asking instance says what it has, the other answers
//! with what it lacks. The list of backend servers, which is small and urgent, is asked for before the
//! configuration. Each side sends one frame: four bytes of length, then the message, deflated where it is
//! long: servers' entries repeat the names of services and failure domains.

use super::generated::{PullWire, StateWire};
use super::tasks;
use crate::instance::{Instance, sleep};
use crate::packed::{self, Packed};
use crate::usage::Flow;
use galenapath_membership::{Peer, Vitals};
use galenapath_protocol::Micros;
use galenapath_routes::{ListedServer, ServerChanges};
use monoio::io::{AsyncReadRentExt, AsyncWriteRentExt};
use monoio::net::{TcpListener, TcpStream};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::cell::Cell;
use std::io::{Error, Result};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Longest time for a whole exchange: a packed configuration of 400 routes takes 30 ms on the smallest
/// link, and an instance with a tenth of a core some tenths of a second to take it in.
const TIMEOUT: Duration = Duration::from_millis(900);

/// Instances that are answered at a time.
const MOST_ANSWERED: u32 = 6;

/// Longest pause before another instance is asked after one had nothing to give.
const LONGEST_PAUSE: Micros = Micros::from_millis(80);

/// Largest frame that is read, in bytes: the largest value of the store, some thousand servers.
const LARGEST: usize = 4 << 20;

/// Longest time for which an instance of one core waits for another one of its failure domain to be
/// ahead: about what the first of them needs to take the state in.
const HOME_FIRST: Micros = Micros::from_millis(20);

/// Cores below which an instance does not wait any longer.
const LEAST_CORES: f64 = 0.1;

/// Bytes from which a message is deflated.
const DEFLATED_FROM: usize = 2 * 1024;

/// Bit of a frame's length that says that the message is deflated.
const DEFLATED: u32 = 1 << 31;

/// Pause after a failed accept.
const ACCEPT_PAUSE: Micros = Micros::from_millis(20);

thread_local! {
    /// Whether an exchange is under way; one at a time is enough.
    static PULLING: Cell<bool> = const { Cell::new(false) };
    /// Instances that are being answered.
    static ANSWERING: Cell<u32> = const { Cell::new(0) };
}

/// What came of asking one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pulled {
    Taken,
    Busy,
}

/// Takes in what other instances know beyond this one, unless that is under way.
pub(super) fn start(instance: &Rc<Instance>, heard: SocketAddr) {
    if PULLING.replace(true) {
        return;
    }
    let instance = Rc::clone(instance);
    monoio::spawn(async move {
        if !instance.beats.borrow().is_home(&heard) {
            sleep(home_first(&instance)).await;
        }
        let mut from = another(&instance);
        while let Some(address) = from {
            let before = instance.vitals();
            let result = monoio::time::timeout(TIMEOUT, pull(&instance, address)).await;
            match result {
                Ok(Ok(Pulled::Taken | Pulled::Busy)) => {}
                Ok(Err(e)) => {
                    log::info!(from:% = address, error:% = e; "state not taken from instance");
                }
                Err(_) => log::info!(from:% = address; "state not taken from instance: too slow"),
            }
            if instance.vitals() == before {
                sleep(Micros(rand::random_range(0..LONGEST_PAUSE.0))).await;
            } else {
                tasks::tell_targets(&instance);
            }
            from = another(&instance);
        }
        PULLING.set(false);
    });
}

/// Time that an instance leaves others of its failure domain to be ahead: by chance, and longer for a
/// small instance.
fn home_first(instance: &Instance) -> Micros {
    let cores = instance.settings().cores.clamp(LEAST_CORES, 1.0);
    Micros((rand::random::<f64>() * HOME_FIRST.0 as f64 / cores) as u64)
}

/// Some instance that is ahead of this one, of its own failure domain where there is one.
fn another(instance: &Instance) -> Option<SocketAddr> {
    let own = instance.vitals();
    let domain = &instance.settings().domain;
    let beats = instance.beats.borrow();
    let ahead = beats.peers().filter(|peer| peer.is_up() && is_ahead(&peer.vitals, &own));
    let (home, away): (Vec<&Peer>, Vec<&Peer>) =
        ahead.partition(|peer| peer.member.domain == *domain);
    let ahead = if home.is_empty() { away } else { home };
    (!ahead.is_empty()).then(|| ahead[rand::random_range(0..ahead.len())].member.peers)
}

/// Whether an instance knows something that this one does not.
pub(super) fn is_ahead(theirs: &Vitals, own: &Vitals) -> bool {
    theirs.config_version > own.config_version || theirs.position > own.position
}

async fn pull(instance: &Instance, from: SocketAddr) -> Result<Pulled> {
    exchange(instance, from, false).await?;
    let own = instance.vitals().config_version;
    let is_newer = |peer: &Peer| peer.member.peers == from && peer.vitals.config_version > own;
    let wants_config = instance.beats.borrow().peers().any(is_newer);
    if wants_config { exchange(instance, from, true).await } else { Ok(Pulled::Taken) }
}

async fn exchange(instance: &Instance, from: SocketAddr, wants_config: bool) -> Result<Pulled> {
    let question = {
        let state = instance.state.borrow();
        let config_version = state.config().map_or(0, |_| state.table().version());
        PullWire { wants_config, config_version, position: state.directory().position() }
    };
    let mut io = TcpStream::connect_addr(from).await?;
    let asked = write(&mut io, &question).await?;
    let (state, answered): (StateWire, usize) = read(&mut io).await?;
    let is_home = instance.beats.borrow().is_home(&from);
    instance.usage.count(Flow::State, is_home, (asked + answered) as u64);
    if state.is_busy {
        return Ok(Pulled::Busy);
    }
    take(instance, state)?;
    Ok(Pulled::Taken)
}

fn take(instance: &Instance, wire: StateWire) -> Result<()> {
    let withdrawn = wire.withdrawn.into_iter().map(Into::into).collect();
    instance.take_evacuations(withdrawn, wire.position);
    if !wire.config.is_empty() {
        instance.take_packed(Packed(wire.config))?;
    }
    let puts = wire.puts.into_iter().map(ListedServer::try_from);
    let puts = puts.collect::<std::result::Result<Vec<_>, _>>().map_err(Error::other)?;
    instance.take_changes(ServerChanges {
        is_whole: wire.is_whole,
        present: wire.present,
        puts,
        removals: wire.removals.into_iter().map(Into::into).collect(),
        position: wire.position,
    });
    Ok(())
}

/// Counts an instance that is being answered; dropping it takes it off.
struct Answering;

impl Answering {
    /// `None` while enough are being answered.
    fn begin() -> Option<Self> {
        let count = ANSWERING.get();
        (count < MOST_ANSWERED).then(|| {
            ANSWERING.set(count + 1);
            Self
        })
    }
}

impl Drop for Answering {
    fn drop(&mut self) {
        ANSWERING.set(ANSWERING.get() - 1);
    }
}

/// Answers other instances on `listener` for as long as the instance runs.
pub(crate) async fn serve_pulls(instance: Rc<Instance>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((io, from)) => {
                let instance = Rc::clone(&instance);
                monoio::spawn(async move {
                    let result = monoio::time::timeout(TIMEOUT, answer(&instance, io)).await;
                    if let Ok(Err(e)) = result {
                        log::debug!(from:% = from, error:% = e; "an instance was not answered");
                    }
                });
            }
            Err(e) => {
                log::warn!(error:% = e; "an instance was not accepted");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn answer(instance: &Instance, mut io: TcpStream) -> Result<()> {
    let (question, _): (PullWire, usize) = read(&mut io).await?;
    let place = if question.wants_config { Answering::begin() } else { None };
    if question.wants_config && place.is_none() {
        return write(&mut io, &busy()).await.map(drop);
    }
    let wire = {
        let state = instance.state.borrow();
        let is_newer = state.table().version() > question.config_version;
        let config = state.config().filter(|_| question.wants_config && is_newer);
        let changes = state.changes_after(question.position, instance.now());
        StateWire {
            is_busy: false,
            config: config.map(|packed| packed.0.clone()).unwrap_or_default(),
            is_whole: changes.is_whole,
            present: changes.present,
            puts: changes.puts.into_iter().map(Into::into).collect(),
            removals: changes.removals.into_iter().map(Into::into).collect(),
            position: state.position(),
            withdrawn: state.evacuations.known().map(Into::into).collect(),
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
    }
}

/// Writes a frame; returns its bytes.
async fn write<T: Serialize>(io: &mut TcpStream, message: &T) -> Result<usize> {
    let mut body = rmp_serde::to_vec(message).map_err(Error::other)?;
    let mut is_deflated = 0;
    if body.len() > DEFLATED_FROM {
        body = packed::deflate(&body)?;
        is_deflated = DEFLATED;
    }
    let len = u32::try_from(body.len()).map_err(Error::other)? | is_deflated;
    let mut frame = len.to_be_bytes().to_vec();
    frame.extend_from_slice(&body);
    io.write_all(frame).await.0
}

/// Reads a frame and its bytes.
async fn read<T: DeserializeOwned>(io: &mut TcpStream) -> Result<(T, usize)> {
    let (result, head) = io.read_exact(vec![0; 4]).await;
    result?;
    let word = u32::from_be_bytes([head[0], head[1], head[2], head[3]]);
    let len = (word & !DEFLATED) as usize;
    if len > LARGEST {
        return Err(Error::other(format!("a frame of {len} bytes")));
    }
    let (result, mut body) = io.read_exact(vec![0; len]).await;
    result?;
    if word & DEFLATED != 0 {
        body = packed::inflate(&body, LARGEST)?;
    }
    let message = rmp_serde::from_slice(&body).map_err(Error::other)?;
    Ok((message, head.len() + len))
}
