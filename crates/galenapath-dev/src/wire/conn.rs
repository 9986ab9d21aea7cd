//! An HTTP/1.1 connection, for clients and servers.

use super::framing::Framing;
use bytes::{Bytes, BytesMut};
use monoio::io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt};
use monoio::net::TcpStream;
use monoio::time::sleep;
use monoio_codec::{Decoded, Decoder};
use monoio_http::common::request::RequestHead;
use monoio_http::common::response::ResponseHead;
use monoio_http::h1::codec::decoder::{DecodeError, RequestHeadDecoder, ResponseHeadDecoder};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// Maximum length of one read, and of a part of a body held in memory.
const MAX_READ_LEN: usize = 64 * 1024;
/// Maximum length of a head, and of the data that a peer may send ahead while a request runs.
const HEAD_LIMIT: usize = 64 * 1024;
/// Initial length of reads. It limits the memory of idle connections.
const INITIAL_READ_LEN: usize = 4 * 1024;

/// Number of body bytes after which a connection yields to timers and other tasks. The runtime
/// polls timers only when no task is ready, and the connection of a fast peer is always ready.
const YIELD_AFTER_BYTES: usize = 4 * 1024 * 1024;

/// Why a message could not be read or written.
#[derive(Debug, Error)]
pub enum WireError {
    /// The connection failed.
    #[error("connection: {0}")]
    Io(#[from] io::Error),
    /// The peer closed the connection within a message.
    #[error("connection closed within a message")]
    Truncated,
    /// The peer closed the connection between messages.
    #[error("connection closed")]
    Closed,
    /// A head or chunk is malformed.
    #[error("malformed message: {0}")]
    Malformed(#[from] DecodeError),
    /// A head is longer than 64 KiB, or a body is longer than its reader accepts.
    #[error("head longer than {HEAD_LIMIT} bytes, or body longer than its limit")]
    TooLong,
}

/// A TCP connection with a buffer of received data.
pub struct Conn {
    stream: TcpStream,
    /// Data that was received but not decoded yet.
    buf: BytesMut,
    /// Length of the next read. It grows while a body streams and is reset at its end, so that idle
    /// connections use little memory.
    read_len: usize,
    /// Body bytes since the last yield.
    bytes_since_yield: usize,
}

impl Conn {
    /// Wraps a connected stream.
    pub fn new(stream: TcpStream) -> Self {
        // Small answers must not wait for an acknowledgement. Failure only adds latency.
        let _ = stream.set_nodelay(true);
        Self { stream, buf: BytesMut::new(), read_len: INITIAL_READ_LEN, bytes_since_yield: 0 }
    }

    /// Connects to `addr`.
    pub async fn connect(addr: SocketAddr) -> io::Result<Self> {
        TcpStream::connect_addr(addr).await.map(Self::new)
    }

    /// Reads the head of the next request.
    pub async fn read_request(&mut self) -> Result<RequestHead, WireError> {
        self.read_head(&mut RequestHeadDecoder).await
    }

    /// Reads the head of the next answer.
    pub async fn read_answer(&mut self) -> Result<ResponseHead, WireError> {
        self.read_head(&mut ResponseHeadDecoder).await
    }

    async fn read_head<D>(&mut self, decoder: &mut D) -> Result<D::Item, WireError>
    where
        D: Decoder<Error = DecodeError>,
    {
        loop {
            if let Decoded::Some(head) = decoder.decode(&mut self.buf)? {
                return Ok(head);
            }
            if self.buf.len() > HEAD_LIMIT {
                return Err(WireError::TooLong);
            }
            if self.fill().await? == 0 {
                return Err(if self.buf.is_empty() {
                    WireError::Closed
                } else {
                    WireError::Truncated
                });
            }
        }
    }

    /// Reads the next part of a body; `None` at its end.
    pub async fn read_part(&mut self, framing: &mut Framing) -> Result<Option<Bytes>, WireError> {
        loop {
            if let Some(part) = self.decode_part(framing)? {
                self.yield_after(part.len()).await;
                return Ok(Some(part));
            }
            if matches!(framing, Framing::Done) {
                self.read_len = INITIAL_READ_LEN;
                return Ok(None);
            }
            if self.fill().await? == 0 {
                if !matches!(framing, Framing::UntilClose) {
                    return Err(WireError::Truncated);
                }
                *framing = Framing::Done;
            }
        }
    }

    /// Decodes the next part of the body from the received data, if there is enough.
    fn decode_part(&mut self, framing: &mut Framing) -> Result<Option<Bytes>, WireError> {
        match framing {
            Framing::Done => Ok(None),
            _ if self.buf.is_empty() => Ok(None),
            Framing::UntilClose => Ok(Some(self.buf.split().freeze())),
            Framing::Length(left) => {
                let len = self.buf.len().min(usize::try_from(*left).unwrap_or(usize::MAX));
                *left -= len as u64;
                if *left == 0 {
                    *framing = Framing::Done;
                }
                Ok(Some(self.buf.split_to(len).freeze()))
            }
            Framing::Chunked(decoder) => match decoder.decode(&mut self.buf)? {
                Decoded::Some(Some(part)) => Ok(Some(part)),
                Decoded::Some(None) => {
                    *framing = Framing::Done;
                    Ok(None)
                }
                _ => Ok(None),
            },
        }
    }

    /// Reads a whole body; fails if it is longer than `limit` bytes.
    pub async fn read_body(
        &mut self,
        framing: &mut Framing,
        limit: usize,
    ) -> Result<Vec<u8>, WireError> {
        let mut body = Vec::new();
        while let Some(part) = self.read_part(framing).await? {
            if body.len() + part.len() > limit {
                return Err(WireError::TooLong);
            }
            body.extend_from_slice(&part);
        }
        Ok(body)
    }

    /// Writes all of `bytes`.
    pub async fn write(&mut self, bytes: impl Into<Vec<u8>>) -> Result<(), WireError> {
        self.stream.write_all(bytes.into()).await.0?;
        Ok(())
    }

    /// Writes all of `bytes` without copying them.
    pub async fn write_part(&mut self, bytes: Bytes) -> Result<(), WireError> {
        self.yield_after(bytes.len()).await;
        self.stream.write_all(bytes).await.0?;
        Ok(())
    }

    /// Shuts down the sending direction of the connection.
    pub async fn shutdown(&mut self) -> io::Result<()> {
        self.stream.shutdown().await
    }

    /// Waits until the peer has closed the connection or has sent more data ahead than a head may
    /// have.
    ///
    /// Cancel safe: data received before stays in the buffer.
    pub async fn wait_closed(&mut self) {
        while self.buf.len() <= HEAD_LIMIT {
            if !matches!(self.fill().await, Ok(n) if n > 0) {
                return;
            }
        }
    }

    async fn yield_after(&mut self, len: usize) {
        self.bytes_since_yield += len;
        if self.bytes_since_yield >= YIELD_AFTER_BYTES {
            self.bytes_since_yield = 0;
            sleep(Duration::ZERO).await;
        }
    }

    async fn fill(&mut self) -> io::Result<usize> {
        let (result, buf) = self.stream.read(Vec::with_capacity(self.read_len)).await;
        let len = result?;
        if len == self.read_len {
            self.read_len = (self.read_len * 2).min(MAX_READ_LEN);
        }
        self.buf.extend_from_slice(&buf[..len]);
        Ok(len)
    }
}
