//! A TCP relay between two processes, whose link a scenario can cut, delay or hold.

use super::error::ScenarioError;
use futures::future::{Either, select};
use monoio::io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt, Splitable};
use monoio::net::{TcpListener, TcpStream};
use monoio::time::sleep;
use std::cell::Cell;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

/// Bytes that are relayed at a time.
const READ_LEN: usize = 16 * 1024;
/// How often a held link looks whether it was mended.
const HOLD_POLL: Duration = Duration::from_millis(5);

/// What is wrong with a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkFault {
    /// Nothing.
    #[default]
    None,
    /// Connections are closed and new ones are closed at once.
    Cut,
    /// Requests pass; at the first byte of a reply the connection closes.
    CutReplies,
    /// No byte passes in either direction, and nothing closes.
    Hold,
    /// Each piece of data takes this long.
    Delay(Duration),
}

/// The state that a relay's connections share.
struct Link {
    fault: Cell<LinkFault>,
    /// Number of cuts so far; a connection that is older than the last one ends.
    cuts: Cell<u64>,
    /// Where connections go; unset until the target listens.
    target: Cell<Option<SocketAddr>>,
}

/// A relay that listens on an address of its own.
pub struct Relay {
    /// Where it listens.
    pub addr: SocketAddr,
    link: Rc<Link>,
}

impl Relay {
    /// Listens on `addr`; port 0 takes a free one.
    pub fn start(addr: SocketAddr) -> Result<Self, ScenarioError> {
        let listener = TcpListener::bind(addr).map_err(ScenarioError::io("relay"))?;
        let addr = listener.local_addr().map_err(ScenarioError::io("relay"))?;
        let link = Rc::new(Link {
            fault: Cell::default(),
            cuts: Cell::default(),
            target: Cell::new(None),
        });
        monoio::spawn(accept(listener, Rc::clone(&link)));
        Ok(Self { addr, link })
    }

    /// Sends connections to `target` from now on.
    pub fn set_target(&self, target: SocketAddr) {
        self.link.target.set(Some(target));
    }

    /// Sets what is wrong with the link, for open connections too.
    pub fn set_fault(&self, fault: LinkFault) {
        self.link.fault.set(fault);
        if fault == LinkFault::Cut {
            self.link.cuts.set(self.link.cuts.get() + 1);
        }
    }
}

async fn accept(listener: TcpListener, link: Rc<Link>) {
    while let Ok((stream, _)) = listener.accept().await {
        monoio::spawn(connection(stream, Rc::clone(&link)));
    }
}

async fn connection(caller: TcpStream, link: Rc<Link>) {
    let cuts = link.cuts.get();
    let Some(target) = link.target.get().filter(|_| link.fault.get() != LinkFault::Cut) else {
        return;
    };
    let Ok(target) = TcpStream::connect_addr(target).await else { return };
    let _ = (caller.set_nodelay(true), target.set_nodelay(true));
    let (mut caller_rx, mut caller_tx) = caller.into_split();
    let (mut target_rx, mut target_tx) = target.into_split();
    let requests = pin!(pump(&mut caller_rx, &mut target_tx, &link, false));
    let replies = pin!(pump(&mut target_rx, &mut caller_tx, &link, true));
    let cut = pin!(until_cut(&link, cuts));
    // Either direction's end closes both: the processes of a scenario use no half-open connections.
    match select(select(requests, replies), cut).await {
        Either::Left(_) | Either::Right(_) => {}
    }
}

async fn until_cut(link: &Link, cuts: u64) {
    while link.cuts.get() == cuts {
        sleep(HOLD_POLL).await;
    }
}

async fn pump(
    rx: &mut impl AsyncReadRent,
    tx: &mut impl AsyncWriteRent,
    link: &Link,
    is_reply: bool,
) {
    let mut buf = Vec::with_capacity(READ_LEN);
    loop {
        buf.clear();
        let (result, read) = rx.read(buf).await;
        if !matches!(result, Ok(len) if len > 0) || !pass(link, is_reply).await {
            return;
        }
        let (result, written) = tx.write_all(read).await;
        if result.is_err() {
            return;
        }
        buf = written;
    }
}

/// Waits as the link's fault demands; whether the data passes at all.
async fn pass(link: &Link, is_reply: bool) -> bool {
    loop {
        match link.fault.get() {
            LinkFault::None => return true,
            LinkFault::Cut => return false,
            LinkFault::CutReplies => return !is_reply,
            LinkFault::Hold => sleep(HOLD_POLL).await,
            LinkFault::Delay(time) => {
                sleep(time).await;
                return true;
            }
        }
    }
}
