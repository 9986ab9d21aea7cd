//! Claims in the platform's store, which bind a caller-chosen key to an incarnation.

use crate::RecordId;
use galenapath_protocol::{Incarnation, Micros};

/// Number of a claim within its incarnation, written into the store next to the incarnation.
///
/// Increases with each requested claim, so that it shows whether a claim found in the store was
/// requested before or after a record was created.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimId(pub u64);

/// Result of writing a claim to the store with create-if-absent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ClaimResult {
    /// The store created this claim, or a read after a lost reply found it.
    Won,
    /// The store holds another claim, possibly an earlier one of the same incarnation.
    Lost {
        /// Incarnation of the claim in the store.
        incarnation: Incarnation,
        /// Number of the claim in the store.
        claim: ClaimId,
    },
    /// The write was sent, but neither its reply nor the result of a read arrived. The store may
    /// still apply the write at any later time.
    Unknown,
    /// The write was not sent.
    StoreDown,
}

/// A claim that was requested and has no result yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PendingClaim {
    pub(crate) record: RecordId,
    pub(crate) requested_at: Micros,
}

/// Token bucket that limits the claims of one instance.
///
/// Load pattern: a burst of filings with caller-chosen keys, each of which costs the store one
/// write. Without the limit, a burst at 16 instances exceeds the several hundred writes a second
/// that the store can handle, and starves the configuration and the leases, which share the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ClaimBudget {
    /// Claims per second. Invariant: not zero.
    rate: u32,
    /// Time at which the bucket is full again. Invariant: at most [`BURST`] ahead of the present.
    paid_until: Micros,
}

/// Size of the bucket, as the time that it takes to refill.
const BURST: Micros = Micros::from_secs(1);

impl ClaimBudget {
    pub(crate) fn new(rate: u32) -> Self {
        Self { rate: rate.max(1), paid_until: Micros::ZERO }
    }

    /// Takes one claim from the bucket.
    ///
    /// # Errors
    ///
    /// The time until a claim is available, if the bucket is empty.
    pub(crate) fn try_take(&mut self, now: Micros) -> Result<(), Micros> {
        let cost = Micros(1_000_000 / u64::from(self.rate));
        let paid = self.paid_until.max(now) + cost;
        let limit = now + BURST;
        if paid > limit {
            return Err(paid - limit);
        }
        self.paid_until = paid;
        Ok(())
    }
}
