//! One HTTP/1.1 connection, used by the side that listens and by the side that connects.

use crate::body::Take;
use crate::{BodyState, Framing, HttpError, RequestHead, ResponseHead, check_head};
use bytes::{BufMut, Bytes, BytesMut};
use monoio::buf::{IoBufMut, SliceMut};
use monoio::io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt};
use monoio::net::TcpStream;
use monoio_codec::{Decoded, Decoder};
use monoio_http::h1::codec::decoder::{RequestHeadDecoder, ResponseHeadDecoder};
use std::time::Duration;

/// Space made for one read inside a message, in bytes.
const READ_SIZE: usize = 16 * 1024;

/// Space made while a connection is idle, in bytes: enough for most heads, and small, since every
/// idle connection holds it.
const IDLE_READ_SIZE: usize = 1024;

/// Space made while only the end of a connection is waited for, in bytes: every request in progress
/// holds it. With 16 KiB each, and large bodies copied, the instance with the most requests had a peak of
/// 25 MB; now it has 7 MB.
const WATCH_READ_SIZE: usize = 128;

/// Output beyond this many bytes is written before more is added.
const FLUSH_SIZE: usize = 64 * 1024;

/// Bodies under this many bytes are written together with their head, in one packet.
const COPIED_BODY: usize = 4 * 1024;

/// Most bytes that a peer may send ahead of its turn while `closed` waits.
const MAX_READ_AHEAD: usize = 64 * 1024;

/// Most bytes that are discarded from a peer that goes on sending while the connection closes.
const MAX_DISCARDED: usize = 8 * 1024 * 1024;

/// How long a head may take.
#[derive(Clone, Copy, Debug)]
pub struct HeadTimeouts {
    /// Longest wait for the first byte.
    pub idle: Duration,
    /// Longest time from the first byte to the end of the head.
    pub head: Duration,
}

/// A connection with its read and write buffers.
///
/// Invariant: `input` holds bytes received and not yet part of a message handed out; `output` holds
/// bytes not yet written.
pub struct Connection {
    io: TcpStream,
    input: BytesMut,
    output: BytesMut,
    head_limit: usize,
    /// Bytes read and written since they were last taken.
    carried: u64,
}

impl Connection {
    /// Wraps a connected socket. Heads larger than `head_limit` bytes are refused.
    pub fn new(io: TcpStream, head_limit: usize) -> Self {
        // Small answers must not wait for an acknowledgement; a failure only costs latency.
        let _ = io.set_nodelay(true);
        Self { io, input: BytesMut::new(), output: BytesMut::new(), head_limit, carried: 0 }
    }

    /// Bytes read and written since this was last asked.
    pub fn take_byte_count(&mut self) -> u64 {
        std::mem::take(&mut self.carried)
    }

    /// Reads the head of the next request.
    ///
    /// # Errors
    ///
    /// `Closed` when the peer closed between requests; any other error ends the connection.
    pub async fn read_request(&mut self, times: HeadTimeouts) -> Result<RequestHead, HttpError> {
        self.read_head(times, |input| RequestHeadDecoder.decode(input).ok()).await
    }

    /// Reads the head of the next answer.
    ///
    /// # Errors
    ///
    /// `Closed` when the peer closed before the first byte; any other error ends the connection.
    pub async fn read_response(&mut self, times: HeadTimeouts) -> Result<ResponseHead, HttpError> {
        self.read_head(times, |input| ResponseHeadDecoder.decode(input).ok()).await
    }

    async fn read_head<T>(
        &mut self,
        times: HeadTimeouts,
        decode: impl Fn(&mut BytesMut) -> Option<Decoded<T>>,
    ) -> Result<T, HttpError> {
        if self.input.is_empty() {
            // Most connections are idle most of the time, so they must not keep a large buffer.
            self.input = BytesMut::with_capacity(IDLE_READ_SIZE);
            self.fill_within(times.idle).await?;
        }
        monoio::time::timeout(times.head, self.fill_head())
            .await
            .map_err(|_| HttpError::HeadTimeout)??;
        match decode(&mut self.input) {
            Some(Decoded::Some(head)) => Ok(head),
            _ => Err(HttpError::BadHead("not an HTTP/1.1 message")),
        }
    }

    async fn fill_within(&mut self, limit: Duration) -> Result<(), HttpError> {
        match monoio::time::timeout(limit, self.fill_up_to(IDLE_READ_SIZE)).await {
            Ok(Ok(0)) => Err(HttpError::Closed),
            Ok(Ok(_)) => Ok(()),
            Ok(Err(e)) => Err(e.into()),
            Err(_) => Err(HttpError::HeadTimeout),
        }
    }

    /// Reads until `input` starts with a whole, checked head.
    async fn fill_head(&mut self) -> Result<(), HttpError> {
        let mut searched = 0;
        loop {
            if let Some(end) = find_head_end(&self.input, searched) {
                if end > self.head_limit {
                    return Err(HttpError::HeadTooLarge { limit: self.head_limit });
                }
                return check_head(&self.input[..end]);
            }
            reject_bare_line_feed(&self.input[searched..])?;
            if self.input.len() > self.head_limit {
                return Err(HttpError::HeadTooLarge { limit: self.head_limit });
            }
            searched = self.input.len().saturating_sub(3);
            if self.fill().await? == 0 {
                return Err(HttpError::Truncated);
            }
        }
    }

    /// Reads once; returns the number of bytes, 0 at the end. Cancelling loses no bytes: the spare
    /// room is split off, so what was received before stays in `input`.
    async fn fill(&mut self) -> std::io::Result<usize> {
        self.fill_up_to(READ_SIZE).await
    }

    async fn fill_up_to(&mut self, size: usize) -> std::io::Result<usize> {
        self.input.reserve(size);
        let len = self.input.len();
        let mut spare = self.input.split_off(len);
        let room = spare.bytes_total();
        let (result, slice) = self.io.read(SliceMut::new(spare, 0, room)).await;
        spare = slice.into_inner();
        self.input.unsplit(spare);
        self.carried += result.as_ref().map_or(0, |n| *n as u64);
        result
    }

    /// Reads the next piece of a body; `None` when it is complete.
    ///
    /// # Errors
    ///
    /// `Truncated` when the peer closed too early, `BadFraming` on malformed chunks.
    pub async fn read_body(&mut self, body: &mut BodyState) -> Result<Option<Bytes>, HttpError> {
        loop {
            match body.take(&mut self.input)? {
                Take::Piece(piece) => return Ok(Some(piece)),
                Take::End => return Ok(None),
                Take::NeedInput => {}
            }
            let size = match body.expected() {
                0 => READ_SIZE,
                known => known.clamp(IDLE_READ_SIZE, READ_SIZE),
            };
            if self.fill_up_to(size).await? > 0 {
                continue;
            }
            if !body.ends_with_connection() {
                return Err(HttpError::Truncated);
            }
            body.end();
        }
    }

    /// The output buffer, for heads.
    pub fn output(&mut self) -> &mut BytesMut {
        &mut self.output
    }

    /// Appends a piece of a body; writes when enough has gathered.
    ///
    /// # Errors
    ///
    /// `Io` when the socket failed.
    pub async fn write_body(&mut self, framing: Framing, piece: &[u8]) -> Result<(), HttpError> {
        if framing == Framing::Chunked {
            self.output.put_slice(format!("{:x}\r\n", piece.len()).as_bytes());
            self.output.put_slice(piece);
            self.output.put_slice(b"\r\n");
        } else {
            self.output.put_slice(piece);
        }
        if self.output.len() >= FLUSH_SIZE {
            self.flush().await?;
        }
        Ok(())
    }

    /// Ends a body and writes everything.
    ///
    /// # Errors
    ///
    /// `Io` when the socket failed.
    pub async fn finish_body(&mut self, framing: Framing) -> Result<(), HttpError> {
        if framing == Framing::Chunked {
            self.output.put_slice(b"0\r\n\r\n");
        }
        self.flush().await
    }

    /// Writes everything in the output buffer.
    ///
    /// # Errors
    ///
    /// `Io` when the socket failed; the connection is then of no further use.
    pub async fn flush(&mut self) -> Result<(), HttpError> {
        if self.output.is_empty() {
            return Ok(());
        }
        let out = self.output.split();
        let (result, _) = self.io.write_all(out).await;
        self.carried += result? as u64;
        Ok(())
    }

    /// Writes everything in the output buffer and then `body`, which is not copied.
    ///
    /// # Errors
    ///
    /// `Io` when the socket failed; the connection is then of no further use.
    pub async fn flush_with(&mut self, body: Bytes) -> Result<(), HttpError> {
        if body.len() < COPIED_BODY {
            self.output.put_slice(&body);
            return self.flush().await;
        }
        self.flush().await?;
        let (result, _) = self.io.write_all(body).await;
        self.carried += result? as u64;
        Ok(())
    }

    /// Whether bytes wait that no message has taken. A connection that is kept for reuse must
    /// have none.
    pub fn has_unread(&self) -> bool {
        !self.input.is_empty()
    }

    /// Lets go of the buffers of a connection that is kept for later. A kept connection holds 16 KiB
    /// otherwise, from the last piece that it read.
    pub fn shrink(&mut self) {
        if self.input.is_empty() {
            self.input = BytesMut::new();
        }
        if self.output.is_empty() {
            self.output = BytesMut::new();
        }
    }

    /// Resolves when the peer has closed or failed. Bytes that arrive meanwhile are kept for the
    /// next message; a peer that sends too much ahead of its turn is not watched any longer.
    pub async fn closed(&mut self) {
        while self.input.len() < MAX_READ_AHEAD {
            match self.fill_up_to(WATCH_READ_SIZE).await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        std::future::pending().await
    }

    /// Whether an idle connection has been closed by the peer, or holds bytes that nobody asked
    /// for. Does not wait.
    pub async fn is_stale(&mut self) -> bool {
        let is_ready = {
            let mut fill = std::pin::pin!(self.fill_up_to(WATCH_READ_SIZE));
            std::future::poll_fn(|cx| std::task::Poll::Ready(fill.as_mut().poll(cx).is_ready()))
                .await
        };
        is_ready || self.has_unread()
    }

    /// Closes the sending side, so that the peer sees the end of the last message, and discards what
    /// the peer still sends for `limit` at most. A connection that is closed with input unread is
    /// reset, which can take the last message from the peer.
    pub async fn close(&mut self, limit: Duration) {
        let _ = self.io.shutdown().await;
        let _ = monoio::time::timeout(limit, self.discard()).await;
    }

    async fn discard(&mut self) {
        let mut discarded = 0;
        while discarded < MAX_DISCARDED {
            self.input.clear();
            match self.fill_up_to(IDLE_READ_SIZE).await {
                Ok(0) | Err(_) => return,
                Ok(n) => discarded += n,
            }
        }
    }
}

fn find_head_end(input: &[u8], from: usize) -> Option<usize> {
    memchr::memmem::find(&input[from..], b"\r\n\r\n").map(|at| from + at + 4)
}

/// Fails early on input that will never contain the end of a strict head.
fn reject_bare_line_feed(input: &[u8]) -> Result<(), HttpError> {
    let bare = memchr::memchr_iter(b'\n', input).any(|at| at > 0 && input[at - 1] != b'\r');
    if bare {
        return Err(HttpError::BadHead("a line ends without a carriage return"));
    }
    Ok(())
}
