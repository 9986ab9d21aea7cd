//! Writes heads and bodies to a connection.

use super::Connection;
use crate::{Framing, HttpError};
use bytes::{BufMut, Bytes, BytesMut};
use monoio::io::AsyncWriteRentExt;
use nix::sys::socket::sockopt::SndBuf;
use nix::sys::socket::{getsockopt, setsockopt};
use std::os::fd::AsRawFd;

/// The output buffer is written to the socket once it holds this many bytes.
const FLUSH_THRESHOLD: usize = 16 * 1024;

/// A body smaller than this many bytes is copied and sent in one packet with its head.
const MAX_COPIED_BODY: usize = 4 * 1024;

impl Connection {
    /// Limits the output that the kernel holds for the peer, to about twice as many bytes. It takes
    /// more only once a third of that has been received, so the limit is also the step in which
    /// progress shows.
    pub fn limit_send_buffer(&self, bytes: usize) {
        // Without the option only a slow reader is harder to tell from a stalled one.
        let _ = setsockopt(self.io.as_raw_fd(), SndBuf, &bytes);
    }

    /// Lets the kernel hold `bytes` of output for the peer, as far as the system allows. What it holds
    /// by itself depends on the size of packets, and on a network that is less than a long answer.
    pub fn raise_send_buffer(&self, bytes: usize) {
        let is_smaller = getsockopt(self.io.as_raw_fd(), SndBuf).is_ok_and(|held| held / 2 < bytes);
        if is_smaller {
            self.limit_send_buffer(bytes);
        }
    }

    /// The output buffer, to which heads are appended.
    pub fn output(&mut self) -> &mut BytesMut {
        &mut self.output
    }

    /// Appends a piece of a body, and writes the output buffer once it is large enough.
    ///
    /// # Errors
    ///
    /// `Io` if the socket failed.
    pub async fn write_body(&mut self, framing: Framing, piece: &[u8]) -> Result<(), HttpError> {
        if framing == Framing::Chunked {
            self.output.put_slice(format!("{:x}\r\n", piece.len()).as_bytes());
            self.output.put_slice(piece);
            self.output.put_slice(b"\r\n");
        } else {
            self.output.put_slice(piece);
        }
        if self.output.len() >= FLUSH_THRESHOLD {
            self.flush().await?;
        }
        Ok(())
    }

    /// Ends a body and writes the whole output buffer.
    ///
    /// # Errors
    ///
    /// `Io` if the socket failed.
    pub async fn finish_body(&mut self, framing: Framing) -> Result<(), HttpError> {
        if framing == Framing::Chunked {
            self.output.put_slice(b"0\r\n\r\n");
        }
        self.flush().await
    }

    /// Writes the whole output buffer.
    ///
    /// # Errors
    ///
    /// `Io` if the socket failed; the connection then cannot be used again.
    pub async fn flush(&mut self) -> Result<(), HttpError> {
        if self.output.is_empty() {
            return Ok(());
        }
        let out = self.output.split();
        let (result, _) = self.io.write_all(out).await;
        self.byte_count += result? as u64;
        Ok(())
    }

    /// Writes the whole output buffer and then `body`, which is copied only if it is small.
    ///
    /// # Errors
    ///
    /// `Io` if the socket failed; the connection then cannot be used again.
    pub async fn flush_with(&mut self, body: Bytes) -> Result<(), HttpError> {
        if body.len() < MAX_COPIED_BODY {
            self.output.put_slice(&body);
            return self.flush().await;
        }
        self.flush().await?;
        let (result, _) = self.io.write_all(body).await;
        self.byte_count += result? as u64;
        Ok(())
    }
}
