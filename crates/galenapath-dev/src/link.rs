//! A TCP relay between two processes, whose connections a test can close, delay or block, in one
//! direction or both, for all processes that connect to it or for some of them.

use crate::socket_owner::owns_socket;
use futures::channel::oneshot;
use futures::future::{Either, select};
use monoio::io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt, Splitable};
use monoio::net::{TcpListener, TcpStream};
use monoio::time::sleep;
use monoio::{LegacyDriver, RuntimeBuilder};
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, mpsc};
use std::time::Duration;

/// Largest number of bytes read at once.
const READ_LEN: usize = 16 * 1024;
/// How often the state of the link is checked while data is held, and for cuts.
const STATE_POLL: Duration = Duration::from_millis(5);

/// Fault injected into a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkFault {
    /// Data passes unchanged.
    #[default]
    None,
    /// Open connections are closed, and new ones are closed as soon as they are accepted.
    Cut,
    /// Open connections live on; new ones are closed as soon as they are accepted.
    CutNew,
    /// Requests pass; the connection is closed at the first byte of a reply.
    CutReplies,
    /// No data passes in either direction; connections stay open.
    Hold,
    /// No request passes; connections stay open.
    HoldRequests,
    /// No reply passes; connections stay open.
    HoldReplies,
    /// Each block of data that is read is forwarded after this time.
    Delay(Duration),
}

/// State of a link, shared by its connections.
#[derive(Clone, Debug, Default)]
struct State {
    /// Fault for all processes without one of their own.
    fault: LinkFault,
    /// Faults for single processes, by process identifier.
    of_processes: Vec<(u32, LinkFault)>,
    /// Number of changes of `fault` and `of_processes` so far.
    changes: u64,
    /// Number of cuts of all connections so far. A connection closes once this differs from the
    /// value at its start.
    cuts: u64,
    /// Address that connections are forwarded to; unset until [`Relay::set_target`] is called.
    target: Option<SocketAddr>,
}

/// Handle to a link's state; faults can be set from any thread.
#[derive(Clone, Debug, Default)]
struct Link(Arc<Mutex<State>>);

impl Link {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A connection's end of a link.
struct LinkEnd {
    link: Link,
    /// Address of the process that opened the connection.
    from: SocketAddr,
    /// Address of the relay.
    to: SocketAddr,
    /// The fault of this connection at a number of changes of the link's state.
    known: Cell<(u64, LinkFault)>,
}

impl LinkEnd {
    fn new(link: Link, from: SocketAddr, to: SocketAddr) -> Self {
        Self { link, from, to, known: Cell::new((u64::MAX, LinkFault::None)) }
    }

    /// The fault that applies to this connection now.
    fn fault(&self) -> LinkFault {
        let (of_processes, of_all, changes) = {
            let state = self.link.lock();
            let (changes, fault) = self.known.get();
            if changes == state.changes {
                return fault;
            }
            (state.of_processes.clone(), state.fault, state.changes)
        };
        let of_process = of_processes.iter().find(|(pid, _)| owns_socket(*pid, self.from, self.to));
        let fault = of_process.map_or(of_all, |(_, fault)| *fault);
        self.known.set((changes, fault));
        fault
    }
}

/// A TCP relay.
pub struct Relay {
    /// Address that the relay listens on.
    pub addr: SocketAddr,
    link: Link,
    /// Ends the thread of a relay that has its own, when dropped.
    _end: Option<oneshot::Sender<()>>,
}

impl Relay {
    /// Starts a relay that listens on `addr`, in the runtime of the current thread. Port 0 selects
    /// a free port.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn start(addr: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(addr)?;
        let addr = listener.local_addr()?;
        let link = Link::default();
        monoio::spawn(accept(listener, addr, link.clone()));
        Ok(Self { addr, link, _end: None })
    }

    /// Starts a relay to `target` that listens on a free loopback address, on a separate thread
    /// that ends when the relay is dropped.
    ///
    /// # Errors
    ///
    /// The thread or runtime cannot be created, or the address cannot be bound.
    pub fn start_on_thread(target: SocketAddr) -> io::Result<Self> {
        let (tx, rx) = mpsc::channel();
        let (end, ended) = oneshot::channel();
        std::thread::Builder::new().spawn(move || {
            let runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build();
            let mut runtime = match runtime {
                Ok(runtime) => runtime,
                // The starting thread receives the error below. A send fails only if it has ended.
                Err(e) => return drop(tx.send(Err(e))),
            };
            runtime.block_on(async move {
                let relay = Self::start(SocketAddr::from(([127, 0, 0, 1], 0)));
                if let Ok(relay) = &relay {
                    relay.set_target(target);
                }
                drop(tx.send(relay));
                // Ends with an error, because nothing is ever sent.
                let _ = ended.await;
            });
        })?;
        let relay = rx.recv().map_err(io::Error::other)??;
        Ok(Self { _end: Some(end), ..relay })
    }

    /// Forwards new connections to `target`.
    pub fn set_target(&self, target: SocketAddr) {
        self.link.lock().target = Some(target);
    }

    /// Sets the link's fault for all processes. It applies to open connections too.
    pub fn set_fault(&self, fault: LinkFault) {
        let mut state = self.link.lock();
        state.fault = fault;
        state.changes += 1;
        state.cuts += u64::from(fault == LinkFault::Cut);
    }

    /// Sets the link's fault for the connections of one process, open ones too. It goes before that
    /// for all processes.
    pub fn set_fault_of(&self, pid: u32, fault: LinkFault) {
        let mut state = self.link.lock();
        state.of_processes.retain(|(of, _)| *of != pid);
        if fault != LinkFault::None {
            state.of_processes.push((pid, fault));
        }
        state.changes += 1;
    }
}

async fn accept(listener: TcpListener, addr: SocketAddr, link: Link) {
    while let Ok((stream, from)) = listener.accept().await {
        monoio::spawn(connection(stream, LinkEnd::new(link.clone(), from, addr)));
    }
}

async fn connection(caller: TcpStream, link: LinkEnd) {
    let is_cut = matches!(link.fault(), LinkFault::Cut | LinkFault::CutNew);
    let (target, cuts) = {
        let state = link.link.lock();
        (state.target.filter(|_| !is_cut), state.cuts)
    };
    let Some(target) = target else { return };
    let Ok(target) = TcpStream::connect_addr(target).await else { return };
    let _ = (caller.set_nodelay(true), target.set_nodelay(true));
    let (mut caller_rx, mut caller_tx) = caller.into_split();
    let (mut target_rx, mut target_tx) = target.into_split();
    let requests = pin!(forward_bytes(&mut caller_rx, &mut target_tx, &link, false));
    let replies = pin!(forward_bytes(&mut target_rx, &mut caller_tx, &link, true));
    let cut = pin!(wait_for_cut(&link, cuts));
    // The end of one direction closes both: no process of a scenario uses half-closed connections.
    match select(select(requests, replies), cut).await {
        Either::Left(_) | Either::Right(_) => {}
    }
}

async fn wait_for_cut(link: &LinkEnd, cuts: u64) {
    while link.fault() != LinkFault::Cut && link.link.lock().cuts == cuts {
        sleep(STATE_POLL).await;
    }
}

async fn forward_bytes(
    rx: &mut impl AsyncReadRent,
    tx: &mut impl AsyncWriteRent,
    link: &LinkEnd,
    is_reply: bool,
) {
    let mut buf = Vec::with_capacity(READ_LEN);
    loop {
        buf.clear();
        let (result, read) = rx.read(buf).await;
        if !matches!(result, Ok(len) if len > 0) || !may_forward(link, is_reply).await {
            return;
        }
        let (result, written) = tx.write_all(read).await;
        if result.is_err() {
            return;
        }
        buf = written;
    }
}

/// Applies the link's fault to data that was read: waits while the link holds or delays it, then
/// returns whether to forward it.
async fn may_forward(link: &LinkEnd, is_reply: bool) -> bool {
    loop {
        match link.fault() {
            LinkFault::None | LinkFault::CutNew => return true,
            LinkFault::Cut => return false,
            LinkFault::CutReplies => return !is_reply,
            LinkFault::HoldRequests if is_reply => return true,
            LinkFault::HoldReplies if !is_reply => return true,
            LinkFault::Hold | LinkFault::HoldRequests | LinkFault::HoldReplies => {
                sleep(STATE_POLL).await;
            }
            LinkFault::Delay(time) => {
                sleep(time).await;
                return true;
            }
        }
    }
}
