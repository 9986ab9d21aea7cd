//! Body patterns derived from the request, so that a reader can detect a foreign or damaged body.

use bytes::Bytes;
use galenapath_protocol::hash64;

/// Largest part of a body that is generated at once, in bytes; a multiple of [`WORD_LEN`].
const PART_LEN: u64 = 64 * 1024;
/// Length of a word of the pattern, in bytes.
const WORD_LEN: u64 = 8;

/// Seed of the pattern that answers a request for `path` (with its query).
pub fn pattern_seed(path: &str) -> u64 {
    hash64(0, path.as_bytes())
}

/// Word number `index` of the pattern.
const fn pattern_word(seed: u64, index: u64) -> u64 {
    seed.wrapping_add(index)
}

/// `len` bytes of the pattern from `offset` on, so that a reader can check parts of any length.
pub fn pattern_bytes(seed: u64, offset: u64, len: usize) -> Vec<u8> {
    let first = offset / WORD_LEN;
    let skipped = (offset % WORD_LEN) as usize;
    let words = (skipped + len).div_ceil(WORD_LEN as usize) as u64;
    let mut buf = Vec::with_capacity((words * WORD_LEN) as usize);
    for index in first..first + words {
        buf.extend_from_slice(&pattern_word(seed, index).to_le_bytes());
    }
    buf.drain(..skipped);
    buf.truncate(len);
    buf
}

/// Iterator that generates the pattern part by part.
pub struct Pattern {
    seed: u64,
    offset: u64,
    len: u64,
}

impl Pattern {
    /// Creates a pattern of `len` bytes.
    pub const fn new(seed: u64, len: u64) -> Self {
        Self { seed, offset: 0, len }
    }
}

impl Iterator for Pattern {
    type Item = Bytes;

    fn next(&mut self) -> Option<Bytes> {
        let len = (self.len - self.offset).min(PART_LEN);
        if len == 0 {
            return None;
        }
        let buf = pattern_bytes(self.seed, self.offset, len as usize);
        self.offset += len;
        Some(buf.into())
    }
}
