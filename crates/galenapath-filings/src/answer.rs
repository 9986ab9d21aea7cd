//! The answer that a record keeps for resends.

use bytes::Bytes;

/// A backend server's complete answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers to replay, without hop-by-hop headers.
    pub headers: Vec<(String, String)>,
    /// Complete body.
    pub body: Bytes,
}

impl Answer {
    /// Heap memory of the answer in bytes, with an estimate of the allocation overhead.
    pub fn bytes(&self) -> usize {
        let headers: usize =
            self.headers.iter().map(|(n, v)| n.len() + v.len() + HEADER_OVERHEAD_BYTES).sum();
        ANSWER_OVERHEAD_BYTES + headers + self.body.len()
    }

    /// Copies the body, so that the answer does not keep a larger read buffer alive.
    pub(crate) fn compact(self) -> Self {
        Self { body: Bytes::copy_from_slice(&self.body), ..self }
    }
}

/// Estimated memory of an answer without headers and body: the `Arc` allocation, the entry in the
/// set of kept answers, and allocator overhead.
const ANSWER_OVERHEAD_BYTES: usize = 208;

/// Estimated memory of one header without its text.
const HEADER_OVERHEAD_BYTES: usize = 80;
