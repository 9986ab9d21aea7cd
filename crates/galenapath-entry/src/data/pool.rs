//! Connections to one backend server.
//!
//! A connection goes back to the pool only after a complete, well-framed answer with nothing
//! unread behind it; every other end closes it. A late or cancelled answer can therefore never be
//! read as the answer to another request.

use galenapath_http::Connection;
use monoio::net::TcpStream;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::ops::{Deref, DerefMut};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Largest head of an answer, in bytes.
const HEAD_LIMIT: usize = 64 * 1024;

/// Idle connections are closed after this time; below the idle timeout of common servers, so that
/// a reused connection is rarely one that the server is closing.
const IDLE: Duration = Duration::from_secs(20);

/// Connections to one backend server.
///
/// Invariant: `open` counts the idle connections and those that are handed out; it never exceeds
/// the share.
pub(super) struct Pool {
    address: SocketAddr,
    share: Cell<usize>,
    open: Cell<usize>,
    idle: RefCell<Vec<Idle>>,
}

struct Idle {
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

    /// Sets how many connections may be open at once.
    pub(super) fn set_share(&self, share: usize) {
        self.share.set(share);
    }

    /// Connections open now.
    pub(super) fn open(&self) -> usize {
        self.open.get()
    }

    /// A connection that is idle, or a new one.
    ///
    /// # Errors
    ///
    /// When the share is used up or the server cannot be reached in time. Nothing was sent.
    pub(super) async fn checkout(self: &Rc<Self>, limit: Duration) -> io::Result<Pooled> {
        while let Some(mut connection) = self.take_idle() {
            if !connection.is_stale().await {
                return Ok(self.guard(connection));
            }
            self.open.set(self.open.get() - 1);
        }
        if self.open.get() >= self.share.get() {
            return Err(io::Error::new(io::ErrorKind::WouldBlock, "connection share is used up"));
        }
        // Counted before the wait, so that several waits at once keep to the share.
        self.open.set(self.open.get() + 1);
        let place = Place(self);
        let io = monoio::time::timeout(limit, TcpStream::connect(self.address))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        std::mem::forget(place);
        Ok(self.guard(Connection::new(io, HEAD_LIMIT)))
    }

    /// Closes connections that have been idle for too long.
    pub(super) fn sweep(&self) {
        let mut idle = self.idle.borrow_mut();
        let before = idle.len();
        idle.retain(|entry| entry.since.elapsed() < IDLE);
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

/// A place in the share that is given back unless a connection fills it.
struct Place<'a>(&'a Pool);

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

/// A connection that is in use. Dropping it closes it.
pub(super) struct Pooled {
    pool: Rc<Pool>,
    /// `None` only after `give_back`.
    connection: Option<Connection>,
}

impl Pooled {
    /// Gives the connection back for reuse. Call only after a complete answer.
    pub(super) fn give_back(mut self) {
        let Some(connection) = self.connection.take() else { return };
        if connection.has_unread() {
            self.connection = Some(connection);
            return;
        }
        self.pool.idle.borrow_mut().push(Idle { connection, since: Instant::now() });
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
