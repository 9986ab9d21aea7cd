//! An HTTP/1.1 connection, for both servers and clients.

mod closing;
mod pace;
mod writing;

pub use closing::CloseEnd;

use crate::body::TakeResult;
use crate::head::{check_status, find_head_end, reject_bare_line_feed};
use crate::{BodyState, HttpError, RequestHead, ResponseHead, check_head};
use bytes::{Buf, Bytes, BytesMut};
use monoio::buf::{IoBufMut, SliceMut};
use monoio::io::AsyncReadRent;
use monoio::net::TcpStream;
use monoio_codec::{Decoded, Decoder};
use monoio_http::h1::codec::decoder::{RequestHeadDecoder, ResponseHeadDecoder};
use pace::Pace;
use std::time::Duration;

/// Buffer space reserved for a read within a message, in bytes.
const READ_SIZE: usize = 16 * 1024;

/// Buffer space reserved while a connection is idle, in bytes. Enough for most heads, and small
/// because every idle connection holds it.
const IDLE_READ_SIZE: usize = 1024;

/// Buffer space reserved while only waiting for the peer to close, in bytes. Small because every
/// request in progress holds it.
const WATCH_READ_SIZE: usize = 128;

/// Maximum number of interim answers (1xx) before the final one.
const MAX_INTERIM_ANSWERS: u32 = 8;

/// Maximum number of bytes read ahead from the peer while [`Connection::closed`] waits.
const MAX_READ_AHEAD: usize = 64 * 1024;

/// Timeouts for reading a head.
#[derive(Clone, Copy, Debug)]
pub struct HeadTimeouts {
    /// Maximum wait for the first byte.
    pub idle: Duration,
    /// Maximum time from the first byte to the end of the head.
    pub head: Duration,
}

/// A connection with its read and write buffers.
///
/// Invariant: `input` holds bytes that were received but not yet returned as part of a message;
/// `output` holds bytes that are not yet written.
pub struct Connection {
    io: TcpStream,
    input: BytesMut,
    output: BytesMut,
    head_limit: usize,
    /// Bytes read and written since the last call of `take_byte_count`.
    byte_count: u64,
    pace: Pace,
}

impl Connection {
    /// Wraps a connected socket. Heads larger than `head_limit` bytes are rejected.
    pub fn new(io: TcpStream, head_limit: usize) -> Self {
        // Small writes must not wait for an acknowledgement. Without the option only latency
        // suffers, so an error is ignored.
        let _ = io.set_nodelay(true);
        Self {
            io,
            input: BytesMut::new(),
            output: BytesMut::new(),
            head_limit,
            byte_count: 0,
            pace: Pace::default(),
        }
    }

    /// Like [`Self::new`], for a socket from which `input` has been read already.
    pub fn with_input(io: TcpStream, head_limit: usize, input: &[u8]) -> Self {
        let mut connection = Self::new(io, head_limit);
        connection.input.extend_from_slice(input);
        connection
    }

    /// Returns the number of bytes read and written since the last call.
    pub fn take_byte_count(&mut self) -> u64 {
        std::mem::take(&mut self.byte_count)
    }

    /// Sets the limit on the size of the heads that are read from now on.
    pub fn set_head_limit(&mut self, head_limit: usize) {
        self.head_limit = head_limit;
    }

    /// Waits for the first byte of the next message.
    ///
    /// # Errors
    ///
    /// `Closed` if the peer closed the connection, `HeadTimeout` if nothing arrived within `limit`;
    /// after a timeout it can be called again.
    pub async fn wait_for_input(&mut self, limit: Duration) -> Result<(), HttpError> {
        if self.input.is_empty() {
            // Most connections are idle most of the time, so they must not hold a large buffer.
            self.input = BytesMut::with_capacity(IDLE_READ_SIZE);
            self.fill_within(limit).await?;
        }
        Ok(())
    }

    /// Reads the head of the next request.
    ///
    /// # Errors
    ///
    /// `Closed` if the peer closed the connection between requests. After any error the connection
    /// cannot be used again.
    pub async fn read_request(&mut self, timeouts: HeadTimeouts) -> Result<RequestHead, HttpError> {
        self.read_head(timeouts, |input| RequestHeadDecoder.decode(input).ok()).await
    }

    /// Reads the head of the next answer.
    ///
    /// # Errors
    ///
    /// `Closed` if the peer closed the connection before the first byte, `BadHead` if the status
    /// code is none of HTTP. After any error the connection cannot be used again.
    pub async fn read_response(
        &mut self,
        timeouts: HeadTimeouts,
    ) -> Result<ResponseHead, HttpError> {
        let decode = |input: &mut BytesMut| ResponseHeadDecoder.decode(input).ok();
        let head: ResponseHead = self.read_head(timeouts, decode).await?;
        check_status(head.status)?;
        Ok(head)
    }

    /// Reads the head of the next final answer; a limited number of interim answers (1xx) before it
    /// is skipped.
    ///
    /// # Errors
    ///
    /// Like [`Self::read_response`], and `BadHead` after too many interim answers.
    pub async fn read_final_response(
        &mut self,
        timeouts: HeadTimeouts,
    ) -> Result<ResponseHead, HttpError> {
        for _ in 0..=MAX_INTERIM_ANSWERS {
            let head = self.read_response(timeouts).await?;
            if !head.status.is_informational() {
                return Ok(head);
            }
        }
        Err(HttpError::BadHead("too many interim answers"))
    }

    async fn read_head<T>(
        &mut self,
        timeouts: HeadTimeouts,
        decode: impl Fn(&mut BytesMut) -> Option<Decoded<T>>,
    ) -> Result<T, HttpError> {
        self.wait_for_input(timeouts.idle).await?;
        monoio::time::timeout(timeouts.head, self.fill_head())
            .await
            .map_err(|_| HttpError::HeadTimeout)??;
        match decode(&mut self.input) {
            Some(Decoded::Some(head)) => Ok(head),
            _ => Err(HttpError::BadHead("not an HTTP/1.1 message")),
        }
    }

    async fn fill_within(&mut self, limit: Duration) -> Result<(), HttpError> {
        let read = match monoio::time::timeout(limit, self.fill_up_to(IDLE_READ_SIZE)).await {
            Ok(read) => read,
            // They arrived just before the time was over, and the runtime has not seen them yet.
            Err(_) if self.has_arrived() => self.fill_up_to(IDLE_READ_SIZE).await,
            Err(_) => return Err(HttpError::HeadTimeout),
        };
        match read? {
            0 => Err(HttpError::Closed),
            _ => Ok(()),
        }
    }

    /// Reads until `input` starts with a complete head, and validates the head.
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

    /// Reads once and returns the number of bytes, 0 at the end of the connection. Cancel-safe:
    /// only the spare capacity is passed to the read, so bytes received earlier stay in `input`.
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
        self.byte_count += result.as_ref().map_or(0, |n| *n as u64);
        result
    }

    /// Reads the next piece of a body; `None` when it is complete.
    ///
    /// # Errors
    ///
    /// `Truncated` if the peer closed the connection too early, `BadFraming` on malformed chunks.
    pub async fn read_body(&mut self, body: &mut BodyState) -> Result<Option<Bytes>, HttpError> {
        self.pace.begin_piece().await;
        loop {
            match body.take(&mut self.input)? {
                TakeResult::Piece(piece) => return Ok(Some(piece)),
                TakeResult::End => return Ok(None),
                TakeResult::NeedInput => {}
            }
            let size = match body.known_remaining() {
                0 => READ_SIZE,
                known => known.clamp(IDLE_READ_SIZE, READ_SIZE),
            };
            if self.fill_up_to(size).await? > 0 {
                continue;
            }
            if !body.ends_with_connection() {
                return Err(HttpError::Truncated);
            }
            body.finish();
        }
    }

    /// Reads and discards the rest of a body.
    ///
    /// # Errors
    ///
    /// Like [`Self::read_body`], and `BodyTooLarge` if it has more than `limit` bytes.
    pub async fn skip_body(&mut self, body: &mut BodyState, limit: usize) -> Result<(), HttpError> {
        let mut skipped = 0;
        while let Some(piece) = self.read_body(body).await? {
            skipped += piece.len();
            if skipped > limit {
                return Err(HttpError::BodyTooLarge { limit });
            }
        }
        Ok(())
    }

    /// Whether the connection holds received bytes that belong to no message yet. A connection with
    /// such bytes must not be reused.
    pub fn has_unread(&self) -> bool {
        !self.input.is_empty()
    }

    /// Frees the empty buffers of a connection that is kept for reuse. Otherwise such a connection
    /// holds 16 KiB from its last read.
    pub fn shrink(&mut self) {
        if self.input.is_empty() {
            self.input = BytesMut::new();
        }
        if self.output.is_empty() {
            self.output = BytesMut::new();
        }
    }

    /// Resolves when the peer has closed the connection or it failed. Bytes that arrive meanwhile
    /// are kept for the next message. After `MAX_READ_AHEAD` bytes it stops reading and never
    /// resolves.
    pub async fn closed(&mut self) {
        while self.read_ahead().await.is_ok() {}
    }

    /// Reads once, while the current message needs no input, and keeps the bytes for the next
    /// message. Never resolves while `MAX_READ_AHEAD` bytes are kept.
    ///
    /// # Errors
    ///
    /// If the peer has closed the connection or it failed.
    pub async fn read_ahead(&mut self) -> Result<(), HttpError> {
        if self.input.len() >= MAX_READ_AHEAD {
            std::future::pending::<()>().await;
        }
        match self.fill_up_to(WATCH_READ_SIZE).await? {
            0 => Err(HttpError::Closed),
            _ => Ok(()),
        }
    }

    /// Takes the next request's head if it has arrived completely, is valid, and `accepts` it. All
    /// other input is left for [`Self::read_request`].
    pub fn take_request_if(
        &mut self,
        accepts: impl FnOnce(&RequestHead) -> bool,
    ) -> Option<RequestHead> {
        let end = find_head_end(&self.input, 0).filter(|end| *end <= self.head_limit)?;
        check_head(&self.input[..end]).ok()?;
        let Ok(Decoded::Some(head)) =
            RequestHeadDecoder.decode(&mut BytesMut::from(&self.input[..end]))
        else {
            return None;
        };
        if !accepts(&head) {
            return None;
        }
        self.input.advance(end);
        Some(head)
    }
}
