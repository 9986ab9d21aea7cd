//! The answer that a record keeps for resends.

use bytes::Bytes;

/// A backend server's complete answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers to repeat, without the hop-by-hop ones.
    pub headers: Vec<(String, String)>,
    /// The whole body.
    pub body: Bytes,
}

impl Answer {
    /// Bytes that the answer holds on the heap, allocation overhead estimated.
    pub fn bytes(&self) -> usize {
        let headers: usize =
            self.headers.iter().map(|(n, v)| n.len() + v.len() + HEADER_COST).sum();
        ANSWER_COST + headers + self.body.len()
    }

    /// A copy whose body owns exactly its bytes and does not pin a larger read buffer.
    pub(crate) fn compact(self) -> Self {
        Self { body: Bytes::copy_from_slice(&self.body), ..self }
    }
}

/// Estimated bytes of an answer besides its headers and body: the shared box, its place in the
/// queue of kept answers, and the allocations' own overhead.
const ANSWER_COST: usize = 208;

/// Estimated bytes of one header besides its text.
const HEADER_COST: usize = 80;
