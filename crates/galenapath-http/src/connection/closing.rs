//! The end of a connection.

use super::{Connection, IDLE_READ_SIZE};
use monoio::io::AsyncWriteRent;
use nix::errno::Errno;
use nix::poll::{PollFd, PollFlags, poll};
use nix::sys::socket::{MsgFlags, recv};
use std::os::fd::AsRawFd;
use std::time::Duration;

/// Maximum number of bytes discarded if the peer keeps sending while the connection is closed.
const MAX_DISCARDED: usize = 8 * 1024 * 1024;

/// Interval at which a connection that holds unread input is checked for the peer's close. The
/// runtime reports the input alone.
const CHECK_PERIOD: Duration = Duration::from_millis(20);

/// How the closing of a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseEnd {
    /// The peer has shut down its sending side as well.
    PeerClosed,
    /// The connection failed; the peer may have reset it.
    Failed,
    /// The peer did not close the connection in time.
    TimedOut,
    /// The peer kept sending.
    TooMuchInput,
}

impl Connection {
    /// Whether an idle connection has been closed by the peer or has received unsolicited bytes.
    ///
    /// The socket itself is asked: the runtime knows only of what had arrived when it last waited,
    /// and bytes that follow a complete answer may arrive just after that.
    pub fn is_stale(&self) -> bool {
        self.has_unread() || self.peek() != Err(Errno::EAGAIN)
    }

    /// Whether the socket holds bytes that were not read yet. The socket itself is asked.
    pub fn has_arrived(&self) -> bool {
        self.peek().is_ok_and(|n| n > 0)
    }

    fn peek(&self) -> Result<usize, Errno> {
        recv(self.io.as_raw_fd(), &mut [0], MsgFlags::MSG_PEEK | MsgFlags::MSG_DONTWAIT)
    }

    /// Shuts down the sending side, so that the peer sees the end of the last message, and discards
    /// further input for at most `limit`. Closing a connection with unread input would reset it,
    /// and the peer could lose the last message.
    pub async fn close(&mut self, limit: Duration) -> CloseEnd {
        let _ = self.io.shutdown().await;
        monoio::time::timeout(limit, self.discard()).await.unwrap_or(CloseEnd::TimedOut)
    }

    /// Shuts down the sending side, so that the peer sees the end of the last message, and waits for
    /// the peer to close as well, for at most `limit`. What the peer sends meanwhile stays unread, so
    /// that it can tell that this was not served.
    pub async fn finish(&mut self, limit: Duration) -> CloseEnd {
        self.shrink();
        let _ = self.io.shutdown().await;
        let end = monoio::time::timeout(limit, self.closed_by_peer()).await;
        let end = end.unwrap_or(CloseEnd::TimedOut);
        if end == CloseEnd::TimedOut {
            self.discard_arrived();
        }
        end
    }

    /// Waits for the peer's close behind whatever it sends.
    async fn closed_by_peer(&self) -> CloseEnd {
        // What the runtime knows may be out of date, but costs no call of the kernel.
        let mut trusts_runtime = true;
        loop {
            if self.io.readable(trusts_runtime).await.is_err() {
                return CloseEnd::Failed;
            }
            match self.peek() {
                Ok(0) => return CloseEnd::PeerClosed,
                Ok(_) if self.is_hung_up() => {
                    self.discard_arrived();
                    return CloseEnd::PeerClosed;
                }
                Ok(_) => monoio::time::sleep(CHECK_PERIOD).await,
                Err(Errno::EAGAIN) => trusts_runtime = false,
                Err(_) => return CloseEnd::Failed,
            }
        }
    }

    /// Whether both sides have shut down their sending sides.
    fn is_hung_up(&self) -> bool {
        let mut fds = [PollFd::new(self.io.as_raw_fd(), PollFlags::empty())];
        let is_ready = poll(&mut fds, 0).is_ok_and(|ready| ready > 0);
        is_ready && fds[0].revents().is_some_and(|events| events.contains(PollFlags::POLLHUP))
    }

    /// Discards what has arrived and was not read. It would reset the connection when that is closed,
    /// also by the end of the process, and the peer may still be reading.
    pub fn discard_arrived(&self) {
        let mut buf = [0; IDLE_READ_SIZE];
        let mut discarded = 0;
        while discarded < MAX_DISCARDED {
            match recv(self.io.as_raw_fd(), &mut buf, MsgFlags::MSG_DONTWAIT) {
                Ok(0) | Err(_) => return,
                Ok(n) => discarded += n,
            }
        }
    }

    async fn discard(&mut self) -> CloseEnd {
        let mut discarded = 0;
        while discarded < MAX_DISCARDED {
            self.input.clear();
            match self.fill_up_to(IDLE_READ_SIZE).await {
                Ok(0) => return CloseEnd::PeerClosed,
                Ok(n) => discarded += n,
                Err(_) => return CloseEnd::Failed,
            }
        }
        CloseEnd::TooMuchInput
    }
}
