//! Caller-chosen keys, which are bound to an incarnation by a claim in the store.

use super::FilingTable;
use crate::claim::PendingClaim;
use crate::record::State;
use crate::{ClaimId, ClaimResult, FilingDecision, Fingerprint, KeyId, RecordId};
use galenapath_protocol::{Incarnation, Micros};

impl FilingTable {
    /// Duration of the lease that a claim is written with.
    pub fn claim_lease(&self) -> Micros {
        self.cfg.claim_lease
    }

    /// Maximum time for which one lease may be used for new claims.
    ///
    /// A store may let the holder of a lease overwrite its own claim. Without the limit, a claim
    /// whose record has expired could get a new number, and the key would run again.
    pub fn claim_lease_max_use(&self) -> Micros {
        self.cfg.lifetime
    }

    /// Applies the store's reply to a claim. Must be called once for each
    /// [`FilingDecision::Claim`].
    pub fn apply_claim_result(
        &mut self,
        now: Micros,
        claim: ClaimId,
        result: ClaimResult,
    ) -> FilingDecision {
        self.expire(now);
        let Some(pending) = self.pending.remove(&claim) else { return FilingDecision::MayHaveRun };
        let id = pending.record;
        let stale = self.is_stale(pending);
        let Some(record) = self.records.get_mut(id) else { return FilingDecision::MayHaveRun };
        let State::Claiming { first, latest } = record.state else {
            return FilingDecision::MayHaveRun;
        };
        if latest != claim {
            return FilingDecision::MayHaveRun;
        }
        let fp = record.fp;
        if stale && self.guards.stale_claim_ignored {
            return self.mark_unclaimed(id, first);
        }
        match result {
            ClaimResult::Won => self.admit_claimed(id),
            ClaimResult::Lost { incarnation, claim } if incarnation == self.incarnation => {
                match claim >= first || !self.guards.claim_age_checked {
                    true => self.admit_claimed(id),
                    false => self.handle_old_claim(id),
                }
            }
            ClaimResult::Lost { incarnation, .. } => self.handle_lost_claim(id, incarnation, fp),
            ClaimResult::Unknown => self.mark_unclaimed(id, first),
            ClaimResult::StoreDown if claim == first => {
                self.records.remove(id);
                self.mark_unclaimed(id, first)
            }
            ClaimResult::StoreDown => self.mark_unclaimed(id, first),
        }
    }

    pub(super) fn admit_caller_chosen(&mut self, key: KeyId, fp: Fingerprint) -> FilingDecision {
        if let Some(id) = self.records.find_in_any_window(key) {
            return self.admit_known(id, fp);
        }
        if let Some(decision) = self.handed_over.admit_caller_chosen(key, fp) {
            return decision;
        }
        if !self.guards.caller_chosen_key_claimed {
            let id = self.open(self.window(), key, fp, State::Admitted, true);
            return id.map_or(FilingDecision::MayHaveRun, FilingDecision::Run);
        }
        if let Err(retry_after) = self.acquire_claim() {
            return self.unclaimed_decision(retry_after);
        }
        let claim = self.next_claim();
        let state = State::Claiming { first: claim, latest: claim };
        match self.open(self.window(), key, fp, state, true) {
            Some(id) => self.request_claim(id, claim),
            None => self.unclaimed_decision(self.time_until_room()),
        }
    }

    /// Requests another claim when the result of an earlier one is unknown.
    pub(super) fn reclaim(
        &mut self,
        id: RecordId,
        first: ClaimId,
        fp: Fingerprint,
    ) -> FilingDecision {
        if let Err(retry_after) = self.acquire_claim() {
            return self.unclaimed_decision(retry_after);
        }
        let latest = self.next_claim();
        if let Some(record) = self.records.get_mut(id) {
            record.fp = fp;
            record.state = State::Claiming { first, latest };
        }
        self.request_claim(id, latest)
    }

    /// Whether the store's reply to a claim would still be used. A reply that never arrives,
    /// because the request that wrote the claim was cancelled, blocks resends only for
    /// `claim_timeout`.
    pub(super) fn is_awaited(&self, claim: ClaimId) -> bool {
        let pending = self.pending.get(&claim);
        pending.is_some_and(|pending| !self.is_stale(*pending))
    }

    fn is_stale(&self, pending: PendingClaim) -> bool {
        self.now - pending.requested_at > self.cfg.claim_timeout
    }

    fn request_claim(&mut self, id: RecordId, claim: ClaimId) -> FilingDecision {
        while let Some(oldest) = self.pending.first_entry()
            && self.now - oldest.get().requested_at > self.cfg.claim_timeout
        {
            oldest.remove();
        }
        self.pending.insert(claim, PendingClaim { record: id, requested_at: self.now });
        FilingDecision::Claim(claim)
    }

    fn acquire_claim(&mut self) -> Result<(), Micros> {
        if self.stopping {
            return Err(self.cfg.retry_after);
        }
        self.budget.try_take(self.now)
    }

    fn next_claim(&mut self) -> ClaimId {
        self.next_claim += 1;
        ClaimId(self.next_claim)
    }

    /// The store holds a claim requested for this record: this incarnation dispatches the key.
    fn admit_claimed(&mut self, id: RecordId) -> FilingDecision {
        let Some(record) = self.records.get_mut(id) else { return FilingDecision::MayHaveRun };
        record.state = State::Admitted;
        FilingDecision::Run(id)
    }

    /// The store holds a claim from before this record. The claim's own record has expired, so the
    /// filing may have run. Removes the new record, which is not bound to a fingerprint.
    fn handle_old_claim(&mut self, id: RecordId) -> FilingDecision {
        self.records.remove(id);
        FilingDecision::MayHaveRun
    }

    fn handle_lost_claim(
        &mut self,
        id: RecordId,
        to: Incarnation,
        fp: Fingerprint,
    ) -> FilingDecision {
        self.records.remove(id);
        self.admit_elsewhere(to, id.key, fp)
    }

    fn mark_unclaimed(&mut self, id: RecordId, first: ClaimId) -> FilingDecision {
        if let Some(record) = self.records.get_mut(id) {
            record.state = State::Unclaimed { first };
        }
        self.unclaimed_decision(self.cfg.retry_after)
    }

    fn unclaimed_decision(&self, retry_after: Micros) -> FilingDecision {
        match self.guards.unclaimed_not_denied {
            true => FilingDecision::Unclaimed { retry_after },
            false => FilingDecision::Full { retry_after },
        }
    }
}
