//! Check that an answer's body belongs to its request.

use crate::backend::{pattern_bytes, pattern_seed};

/// Largest JSON summary that is kept for the check, in bytes.
const SUMMARY_LIMIT: usize = 64 * 1024;

/// Checks an answer's body part by part with bounded memory.
pub struct BodyCheck {
    path: String,
    key: String,
    /// Length of the requested pattern in bytes; `None` means that a JSON summary is expected.
    bytes: Option<u64>,
    seed: u64,
    offset: u64,
    summary: Vec<u8>,
    is_wrong: bool,
}

impl BodyCheck {
    /// Creates the check of the answer to a request for `path` with `key`, which may be empty.
    pub fn new(path: &str, key: &str, bytes: Option<u64>) -> Self {
        Self {
            path: path.to_owned(),
            key: key.to_owned(),
            bytes,
            seed: pattern_seed(path),
            offset: 0,
            summary: Vec::new(),
            is_wrong: false,
        }
    }

    /// Checks the next part.
    pub fn update(&mut self, part: &[u8]) {
        if self.bytes.is_some() {
            self.is_wrong |= part != pattern_bytes(self.seed, self.offset, part.len());
            self.offset += part.len() as u64;
        } else if self.summary.len() + part.len() > SUMMARY_LIMIT {
            self.is_wrong = true;
        } else {
            self.summary.extend_from_slice(part);
        }
    }

    /// Returns whether the whole body is the expected one.
    pub fn is_right(&self) -> bool {
        match self.bytes {
            Some(len) => !self.is_wrong && self.offset == len,
            None => !self.is_wrong && self.summary_matches(),
        }
    }

    fn summary_matches(&self) -> bool {
        let summary: serde_json::Value = match serde_json::from_slice(&self.summary) {
            Ok(summary) => summary,
            Err(_) => return false,
        };
        summary["path"] == self.path.as_str() && summary["key"] == self.key.as_str()
    }
}
