//! Incremental reading of a body from a buffer.

use crate::{Framing, HttpError};
use bytes::{Buf, Bytes, BytesMut};

/// Maximum size of a piece, in bytes; bounds the memory used for a body of any size.
const MAX_PIECE: usize = 64 * 1024;

/// Maximum length of a chunk size line, including extensions, and of a trailer line, in bytes.
const MAX_CHUNK_LINE: usize = 256;

/// Maximum number of trailer lines after the last chunk. Trailers are discarded.
const MAX_TRAILERS: u32 = 32;

/// Result of `BodyState::take`.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum TakeResult {
    /// The next piece.
    Piece(Bytes),
    /// More input is needed.
    NeedInput,
    /// The body is complete.
    End,
}

/// Progress of reading a body.
///
/// Invariant: `remaining` is the number of bytes left in the body (`Length`) or in the current
/// chunk (`ChunkData`).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BodyState {
    phase: Phase,
    remaining: u64,
    trailers: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Length,
    ChunkSize,
    ChunkData,
    ChunkEnd,
    Trailers,
    UntilClose,
    End,
}

impl BodyState {
    /// Creates the state before the first byte of a body with `framing`.
    pub const fn new(framing: Framing) -> Self {
        let (phase, remaining) = match framing {
            Framing::None => (Phase::End, 0),
            Framing::Length(n) => (Phase::Length, n),
            Framing::Chunked => (Phase::ChunkSize, 0),
            Framing::UntilClose => (Phase::UntilClose, 0),
        };
        Self { phase, remaining, trailers: 0 }
    }

    /// Whether the whole body has been read.
    pub fn is_complete(&self) -> bool {
        self.phase == Phase::End
    }

    /// Number of bytes left in the body or in the current chunk; zero if unknown.
    pub fn known_remaining(&self) -> usize {
        match self.phase {
            Phase::UntilClose => 0,
            _ => usize::try_from(self.remaining).unwrap_or(usize::MAX),
        }
    }

    /// Whether the end of the connection is the end of the body.
    pub(crate) fn ends_with_connection(&self) -> bool {
        self.phase == Phase::UntilClose
    }

    /// Marks the body as complete, after the connection ended where the framing permits it.
    pub(crate) fn finish(&mut self) {
        self.phase = Phase::End;
    }

    /// Removes the next piece from `input`.
    ///
    /// # Errors
    ///
    /// `BadFraming` if the chunked encoding is malformed.
    pub(crate) fn take(&mut self, input: &mut BytesMut) -> Result<TakeResult, HttpError> {
        loop {
            let progress = match self.phase {
                Phase::End => return Ok(TakeResult::End),
                Phase::UntilClose => return Ok(take_up_to(input, MAX_PIECE)),
                Phase::Length => return Ok(self.take_remaining(input, Phase::End)),
                Phase::ChunkData => return Ok(self.take_remaining(input, Phase::ChunkEnd)),
                Phase::ChunkSize => self.read_chunk_size(input)?,
                Phase::ChunkEnd => self.read_chunk_end(input)?,
                Phase::Trailers => self.skip_trailer(input)?,
            };
            if !progress {
                return Ok(TakeResult::NeedInput);
            }
        }
    }

    fn take_remaining(&mut self, input: &mut BytesMut, next: Phase) -> TakeResult {
        let max = usize::try_from(self.remaining).unwrap_or(usize::MAX).min(MAX_PIECE);
        let result = take_up_to(input, max);
        if let TakeResult::Piece(piece) = &result {
            self.remaining -= piece.len() as u64;
        }
        if self.remaining == 0 {
            self.phase = next;
        }
        result
    }

    fn read_chunk_size(&mut self, input: &mut BytesMut) -> Result<bool, HttpError> {
        let Some(line) = take_line(input)? else { return Ok(false) };
        let digits = line.iter().position(|&b| b == b';').unwrap_or(line.len());
        self.remaining = parse_chunk_size(&line[..digits])?;
        self.phase = if self.remaining == 0 { Phase::Trailers } else { Phase::ChunkData };
        Ok(true)
    }

    fn read_chunk_end(&mut self, input: &mut BytesMut) -> Result<bool, HttpError> {
        if input.len() < 2 {
            return Ok(false);
        }
        if &input[..2] != b"\r\n" {
            return Err(HttpError::BadFraming("a chunk is longer than its size"));
        }
        input.advance(2);
        self.phase = Phase::ChunkSize;
        Ok(true)
    }

    fn skip_trailer(&mut self, input: &mut BytesMut) -> Result<bool, HttpError> {
        let Some(line) = take_line(input)? else { return Ok(false) };
        if line.is_empty() {
            self.phase = Phase::End;
            return Ok(true);
        }
        self.trailers += 1;
        if self.trailers > MAX_TRAILERS {
            return Err(HttpError::BadFraming("too many trailers"));
        }
        Ok(true)
    }
}

fn take_up_to(input: &mut BytesMut, max: usize) -> TakeResult {
    if input.is_empty() {
        return TakeResult::NeedInput;
    }
    let n = input.len().min(max);
    TakeResult::Piece(input.split_to(n).freeze())
}

fn take_line(input: &mut BytesMut) -> Result<Option<BytesMut>, HttpError> {
    let Some(end) = memchr::memchr(b'\n', input) else {
        if input.len() > MAX_CHUNK_LINE {
            return Err(HttpError::BadFraming("a chunk line is too long"));
        }
        return Ok(None);
    };
    if end > MAX_CHUNK_LINE {
        return Err(HttpError::BadFraming("a chunk line is too long"));
    }
    let mut line = input.split_to(end + 1);
    if end == 0 || line[end - 1] != b'\r' {
        return Err(HttpError::BadFraming("a chunk line ends without a carriage return"));
    }
    line.truncate(end - 1);
    Ok(Some(line))
}

fn parse_chunk_size(digits: &[u8]) -> Result<u64, HttpError> {
    const BAD: HttpError = HttpError::BadFraming("a chunk size is not a hexadecimal number");
    let digits = digits.trim_ascii_end();
    // 16 digits could already reach `u64::MAX`, so at most 15 are accepted.
    if digits.is_empty() || digits.len() > 15 || !digits.iter().all(u8::is_ascii_hexdigit) {
        return Err(BAD);
    }
    let text = std::str::from_utf8(digits).map_err(|_| BAD)?;
    u64::from_str_radix(text, 16).map_err(|_| BAD)
}
