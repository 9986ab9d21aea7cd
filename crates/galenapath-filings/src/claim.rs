//! Claims in the platform's store, which bind a caller's own key to an incarnation.

use crate::RecordId;
use galenapath_protocol::{Incarnation, Micros};

/// Number of a claim within its incarnation, written into the store next to the incarnation.
///
/// Grows with each claim asked for, so that a claim found in the store can be told to be from
/// before or after a record was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimId(pub u64);

/// What the store said to a create-if-absent of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ClaimResult {
    /// The store created this claim, or a read after a lost reply found this very claim.
    Won,
    /// The store holds another claim, as read from it. It may be an earlier one of the same
    /// incarnation.
    Lost {
        /// Incarnation that the held claim names.
        incarnation: Incarnation,
        /// Number that the held claim carries.
        claim: ClaimId,
    },
    /// The write was sent; neither its reply nor a read back came. It may land at any time later.
    Unknown,
    /// The write was not sent.
    StoreDown,
}

/// A claim that is with the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PendingClaim {
    pub(crate) record: RecordId,
    pub(crate) asked: Micros,
}

/// Token bucket over the claims of one instance, in whole claims.
///
/// Load pattern: a burst of filings with keys of their callers' own choosing, each costing the
/// store one write. Without the limit, 16 instances pass the store's several hundred writes a
/// second in one burst, and the configuration and the leases, which share the store, starve.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ClaimBudget {
    /// Claims per second; never zero.
    rate: u32,
    /// Moment up to which claims are paid for. Invariant: at most one burst ahead of the present.
    paid_until: Micros,
}

/// A full bucket in seconds of its rate.
const BURST: Micros = Micros::from_secs(1);

impl ClaimBudget {
    pub(crate) fn new(rate: u32) -> Self {
        Self { rate: rate.max(1), paid_until: Micros::ZERO }
    }

    /// Takes one claim, or tells the span after which one is free.
    pub(crate) fn take(&mut self, now: Micros) -> Result<(), Micros> {
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
