//! Connection pool of one backend server.
//!
//! A connection is returned to the pool only after a complete, correctly framed answer with no
//! unread bytes after it; in all other cases it is closed. A late or cancelled answer can therefore
//! never be read as the answer to another request.

use galenapath_http::Connection;
use monoio::net::TcpStream;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::ops::{Deref, DerefMut};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Maximum size of the head of an answer.
pub(super) const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Time after which idle connections are closed. It is below the idle timeout of common servers, so
/// that a connection is rarely reused while the server is closing it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Time for which a connection rests after an answer before it is used again. A faulty server may
/// send a second answer after a complete one, and the request that came next would receive it.
/// Longer than a server's thread is usually interrupted between two writes, and than the kernel
/// holds back a second small write (40 ms).
const REST_TIME: Duration = Duration::from_millis(50);

/// Connections to one backend server.
///
/// Invariant: `open` counts the idle connections, those in use and those being opened. No
/// connection is opened while it is at or above the share.
pub(super) struct Pool {
    address: SocketAddr,
    share: Cell<usize>,
    open: Cell<usize>,
    /// In the order in which they became idle.
    idle: RefCell<VecDeque<IdleConnection>>,
}

struct IdleConnection {
    connection: Connection,
    since: Instant,
}

impl Pool {
    pub(super) const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            share: Cell::new(usize::MAX),
            open: Cell::new(0),
            idle: RefCell::new(VecDeque::new()),
        }
    }

    /// Sets the maximum number of open connections.
    pub(super) fn set_share(&self, share: usize) {
        self.share.set(share);
    }

    /// Returns the number of open connections.
    pub(super) fn open(&self) -> usize {
        self.open.get()
    }

    /// Returns an idle connection that has rested, or opens a new one. Once the share is used up, it
    /// waits until one has rested.
    ///
    /// # Errors
    ///
    /// If the share is used up or the connection cannot be opened in time. Nothing was sent.
    pub(super) async fn checkout(self: &Rc<Self>, timeout: Duration) -> io::Result<Pooled> {
        if let Some(rested) = self.take_rested() {
            return Ok(rested);
        }
        if self.open.get() >= self.share.get() {
            return match self.take_idle() {
                Some((connection, since)) => self.rest(connection, since).await,
                None => Err(share_used_up()),
            };
        }
        // Counted before the connection is open, so that concurrent calls do not exceed the share.
        self.open.set(self.open.get() + 1);
        let reservation = Reservation(self);
        let io = monoio::time::timeout(timeout, TcpStream::connect(self.address))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        std::mem::forget(reservation);
        Ok(self.guard(Connection::new(io, MAX_HEAD_BYTES)))
    }

    /// Closes connections that have been idle for `IDLE_TIMEOUT` or longer.
    pub(super) fn sweep(&self) {
        let mut idle = self.idle.borrow_mut();
        let before = idle.len();
        idle.retain(|entry| entry.since.elapsed() < IDLE_TIMEOUT);
        self.open.set(self.open.get() - (before - idle.len()));
    }

    /// Closes all idle connections.
    pub(super) fn close_idle(&self) {
        let idle = std::mem::take(&mut *self.idle.borrow_mut());
        self.open.set(self.open.get() - idle.len());
    }

    /// Takes the connection that was used last of those that have rested. Others are more likely to
    /// be closed by the server soon.
    fn take_rested(self: &Rc<Self>) -> Option<Pooled> {
        loop {
            let last = {
                let idle = self.idle.borrow();
                idle.iter().rposition(|entry| entry.since.elapsed() >= REST_TIME)?
            };
            let entry = self.idle.borrow_mut().remove(last)?;
            let connection = self.guard(entry.connection);
            if !connection.is_stale() {
                return Some(connection);
            }
        }
    }

    /// Takes the connection that has rested longest, and when it became idle.
    fn take_idle(self: &Rc<Self>) -> Option<(Pooled, Instant)> {
        let entry = self.idle.borrow_mut().pop_front()?;
        Some((self.guard(entry.connection), entry.since))
    }

    /// Returns the connection once it has rested, unless it has become stale by then.
    async fn rest(&self, connection: Pooled, since: Instant) -> io::Result<Pooled> {
        monoio::time::sleep(REST_TIME.saturating_sub(since.elapsed())).await;
        if connection.is_stale() { Err(share_used_up()) } else { Ok(connection) }
    }

    fn guard(self: &Rc<Self>, connection: Connection) -> Pooled {
        Pooled { pool: Rc::clone(self), connection: Some(connection) }
    }
}

fn share_used_up() -> io::Error {
    io::Error::new(io::ErrorKind::WouldBlock, "connection share is used up")
}

/// A reservation of one connection of the share. Dropping it releases the reservation.
struct Reservation<'a>(&'a Pool);

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

/// Guard of a connection in use. Dropping it closes the connection.
pub(super) struct Pooled {
    pool: Rc<Pool>,
    /// `None` only after `return_to_pool`.
    connection: Option<Connection>,
}

impl Pooled {
    /// Returns the connection to the pool; it is closed instead if it has unread bytes. Must be
    /// called only after a complete answer.
    pub(super) fn return_to_pool(mut self) {
        let Some(connection) = self.connection.take() else { return };
        if connection.has_unread() {
            self.connection = Some(connection);
            return;
        }
        self.pool.idle.borrow_mut().push_back(IdleConnection { connection, since: Instant::now() });
    }
}

impl Drop for Pooled {
    fn drop(&mut self) {
        if self.connection.is_some() {
            self.pool.open.set(self.pool.open.get() - 1);
        }
    }
}

impl Deref for Pooled {
    type Target = Connection;

    #[expect(clippy::expect_used, reason = "only give_back takes it, and it consumes the guard")]
    fn deref(&self) -> &Connection {
        self.connection.as_ref().expect("a guard holds its connection")
    }
}

impl DerefMut for Pooled {
    #[expect(clippy::expect_used, reason = "only give_back takes it, and it consumes the guard")]
    fn deref_mut(&mut self) -> &mut Connection {
        self.connection.as_mut().expect("a guard holds its connection")
    }
}
