//! Taking in the state from another instance that is ahead.
//!
//! One exchange on a connection of its own: the asking instance says what it has, the other answers
//! with what it lacks. Each side sends one frame: four bytes of length, then the message.

use super::generated::{PullWire, StateWire};
use crate::instance::{Instance, sleep};
use crate::state::Source;
use bytes::Bytes;
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

/// Longest time for a whole exchange. Longer than a crossing takes, short enough that a silent
/// instance does not keep this one from asking another.
const TIMEOUT: Duration = Duration::from_millis(700);

/// Largest frame that is read, in bytes: the largest value of the store, some thousand servers.
const LARGEST: usize = 4 << 20;

/// Pause after a failed accept.
const ACCEPT_PAUSE: Micros = Micros::from_millis(20);

thread_local! {
    /// Whether an exchange is under way; one at a time is enough.
    static PULLING: Cell<bool> = const { Cell::new(false) };
}

/// Asks the instance at `from` for what it knows, unless one is being asked already.
pub(super) fn start(instance: &Rc<Instance>, from: SocketAddr) {
    if PULLING.replace(true) {
        return;
    }
    let instance = Rc::clone(instance);
    monoio::spawn(async move {
        let result = monoio::time::timeout(TIMEOUT, pull(&instance, from)).await;
        PULLING.set(false);
        match result {
            Ok(Ok(())) => {}
            Ok(Err(e)) => log::info!(from:% = from, error:% = e; "state not taken from instance"),
            Err(_) => log::info!(from:% = from; "state not taken from instance: too slow"),
        }
    });
}

async fn pull(instance: &Instance, from: SocketAddr) -> Result<()> {
    let question = {
        let state = instance.state.borrow();
        let config_version = if state.config().is_empty() { 0 } else { state.table().version() };
        PullWire { config_version, position: state.directory().position() }
    };
    let mut io = TcpStream::connect_addr(from).await?;
    write(&mut io, &question).await?;
    let state: StateWire = read(&mut io).await?;
    take(instance, state)
}

fn take(instance: &Instance, wire: StateWire) -> Result<()> {
    if !wire.config.is_empty() {
        instance.take_config(&Bytes::from(wire.config), Source::Peer);
    }
    let puts = wire.puts.into_iter().map(ListedServer::try_from);
    let puts = puts.collect::<std::result::Result<Vec<_>, _>>().map_err(Error::other)?;
    instance.take_changes(ServerChanges {
        is_whole: wire.is_whole,
        puts,
        removals: wire.removals.into_iter().map(Into::into).collect(),
        position: wire.position,
    });
    Ok(())
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
    let question: PullWire = read(&mut io).await?;
    let wire = {
        let state = instance.state.borrow();
        let is_ahead = state.table().version() > question.config_version;
        let config = if is_ahead { String::from_utf8_lossy(state.config()) } else { "".into() };
        let changes = state.directory().changes_after(question.position, instance.now());
        StateWire {
            config: config.into_owned(),
            is_whole: changes.is_whole,
            puts: changes.puts.into_iter().map(Into::into).collect(),
            removals: changes.removals.into_iter().map(Into::into).collect(),
            position: changes.position,
        }
    };
    write(&mut io, &wire).await
}

async fn write<T: Serialize>(io: &mut TcpStream, message: &T) -> Result<()> {
    let body = rmp_serde::to_vec(message).map_err(Error::other)?;
    let len = u32::try_from(body.len()).map_err(Error::other)?;
    let mut frame = len.to_be_bytes().to_vec();
    frame.extend_from_slice(&body);
    io.write_all(frame).await.0.map(|_| ())
}

async fn read<T: DeserializeOwned>(io: &mut TcpStream) -> Result<T> {
    let (result, head) = io.read_exact(vec![0; 4]).await;
    result?;
    let len = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
    if len > LARGEST {
        return Err(Error::other(format!("a frame of {len} bytes")));
    }
    let (result, body) = io.read_exact(vec![0; len]).await;
    result?;
    rmp_serde::from_slice(&body).map_err(Error::other)
}
