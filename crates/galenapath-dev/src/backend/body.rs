//! Bodies that show which request they belong to.

use bytes::{Bytes, BytesMut};
use galenapath_protocol::hash64;

/// Largest part of a body that is made at once, in bytes; a multiple of the word.
const PART_LEN: u64 = 64 * 1024;
/// Length of a word of the pattern in bytes.
const WORD_LEN: u64 = 8;

/// Seed of the pattern that answers a request for `path` (with its query).
pub fn pattern_seed(path: &str) -> u64 {
    hash64(0, path.as_bytes())
}

/// Word number `index` of the pattern.
const fn pattern_word(seed: u64, index: u64) -> u64 {
    seed.wrapping_add(index)
}

/// Byte at `offset` of the pattern, so that a reader may check parts of any length.
pub const fn pattern_byte(seed: u64, offset: u64) -> u8 {
    let word = pattern_word(seed, offset / WORD_LEN).to_le_bytes();
    word[(offset % WORD_LEN) as usize]
}

/// The pattern's bytes, made part by part.
pub struct Pattern {
    seed: u64,
    offset: u64,
    len: u64,
}

impl Pattern {
    /// A body of `len` bytes.
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
        let first = self.offset / WORD_LEN;
        let mut buf = BytesMut::with_capacity(PART_LEN as usize);
        for index in first..first + len.div_ceil(WORD_LEN) {
            buf.extend_from_slice(&pattern_word(self.seed, index).to_le_bytes());
        }
        buf.truncate(len as usize);
        self.offset += len;
        Some(buf.freeze())
    }
}
