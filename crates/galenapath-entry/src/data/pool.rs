//! Connection pool of one backend server.
//!
//! A connection is returned to the pool only after a complete, correctly framed answer with no
//! unread bytes after it; in all other cases it is closed. A late or cancelled answer can therefore
//! never be read as the answer to another request.

use galenapath_http::Connection;
use monoio::net::TcpStream;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::ops::{Deref, DerefMut};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Maximum size of the head of an answer.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Time after which idle connections are closed. It is below the idle timeout of common servers, so
/// that a connection is rarely reused while the server is closing it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Connections to one backend server.
///
/// Invariant: `open` counts the idle connections, those in use and those being opened. No
/// connection is opened while it is at or above the share.
pub(super) struct Pool {
    address: SocketAddr,
    share: Cell<usize>,
    open: Cell<usize>,
    idle: RefCell<Vec<IdleConnection>>,
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
            idle: RefCell::new(Vec::new()),
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

    /// Returns an idle connection, or opens a new one.
    ///
    /// # Errors
    ///
    /// If the share is used up or the connection cannot be opened in time. Nothing was sent.
    pub(super) async fn checkout(self: &Rc<Self>, timeout: Duration) -> io::Result<Pooled> {
        while let Some(connection) = self.take_idle() {
            if !connection.is_stale() {
                return Ok(self.guard(connection));
            }
            self.open.set(self.open.get() - 1);
        }
        if self.open.get() >= self.share.get() {
            return Err(io::Error::new(io::ErrorKind::WouldBlock, "connection share is used up"));
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

    fn take_idle(&self) -> Option<Connection> {
        self.idle.borrow_mut().pop().map(|entry| entry.connection)
    }

    fn guard(self: &Rc<Self>, connection: Connection) -> Pooled {
        Pooled { pool: Rc::clone(self), connection: Some(connection) }
    }
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
        self.pool.idle.borrow_mut().push(IdleConnection { connection, since: Instant::now() });
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
