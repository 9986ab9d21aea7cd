//! One connection, from either side.

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

/// Bytes asked for by one read; also the largest part of a body that is held at once.
const READ_LEN: usize = 64 * 1024;
/// Largest head, and the most bytes a peer may send ahead while a request runs.
const HEAD_LIMIT: usize = 64 * 1024;
/// First allocation for reads; idle connections keep no more than this.
const FIRST_READ_LEN: usize = 4 * 1024;

/// Bytes of bodies after which a connection lets timers and other tasks run. The runtime looks at
/// its timers only when no task is ready, and a fast peer's connection is ready all the time.
const PAUSE_AFTER: usize = 4 * 1024 * 1024;

/// Why a message could not be read or written.
#[derive(Debug, Error)]
pub enum WireError {
    /// The connection failed.
    #[error("connection: {0}")]
    Io(#[from] io::Error),
    /// The peer closed the connection inside a message.
    #[error("connection closed inside a message")]
    Truncated,
    /// The peer closed the connection between messages.
    #[error("connection closed")]
    Closed,
    /// A head or chunk is malformed.
    #[error("malformed message: {0}")]
    Malformed(#[from] DecodeError),
    /// A head is longer than the stand-in takes.
    #[error("head longer than {HEAD_LIMIT} bytes")]
    TooLong,
}

/// A TCP connection with the bytes that were read ahead.
pub struct Conn {
    stream: TcpStream,
    /// Bytes received and not yet decoded.
    buf: BytesMut,
    /// Next read's length: grows while a body streams, so that idle connections stay small.
    read_len: usize,
    /// Bytes of bodies since the last pause.
    since_pause: usize,
}

impl Conn {
    /// Takes over a connected stream.
    pub fn new(stream: TcpStream) -> Self {
        // Small answers must not wait for an acknowledgement; failure costs only latency.
        let _ = stream.set_nodelay(true);
        Self { stream, buf: BytesMut::new(), read_len: FIRST_READ_LEN, since_pause: 0 }
    }

    /// Connects to `addr`.
    pub async fn connect(addr: SocketAddr) -> io::Result<Self> {
        TcpStream::connect_addr(addr).await.map(Self::new)
    }

    /// Reads the next request's head.
    pub async fn read_request(&mut self) -> Result<RequestHead, WireError> {
        self.read_head(&mut RequestHeadDecoder).await
    }

    /// Reads the next answer's head.
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

    /// Reads the next part of a body; `None` once it is whole.
    pub async fn read_part(&mut self, framing: &mut Framing) -> Result<Option<Bytes>, WireError> {
        loop {
            if let Some(part) = self.decode_part(framing)? {
                self.pause_after(part.len()).await;
                return Ok(Some(part));
            }
            if matches!(framing, Framing::Done) {
                self.read_len = FIRST_READ_LEN;
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

    /// Decodes a part of the body from what was received, if there is enough.
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

    /// Reads and joins a whole body, up to `limit` bytes.
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
        self.pause_after(bytes.len()).await;
        self.stream.write_all(bytes).await.0?;
        Ok(())
    }

    /// Ends this side's direction of the connection.
    pub async fn shutdown(&mut self) -> io::Result<()> {
        self.stream.shutdown().await
    }

    /// Returns once the peer has closed the connection or sent too much ahead.
    ///
    /// May be dropped at any await: bytes that came before stay in the connection.
    pub async fn closed(&mut self) {
        while self.buf.len() <= HEAD_LIMIT {
            if !matches!(self.fill().await, Ok(n) if n > 0) {
                return;
            }
        }
    }

    async fn pause_after(&mut self, len: usize) {
        self.since_pause += len;
        if self.since_pause >= PAUSE_AFTER {
            self.since_pause = 0;
            sleep(Duration::ZERO).await;
        }
    }

    async fn fill(&mut self) -> io::Result<usize> {
        let (result, buf) = self.stream.read(Vec::with_capacity(self.read_len)).await;
        let len = result?;
        if len == self.read_len {
            self.read_len = (self.read_len * 2).min(READ_LEN);
        }
        self.buf.extend_from_slice(&buf[..len]);
        Ok(len)
    }
}
