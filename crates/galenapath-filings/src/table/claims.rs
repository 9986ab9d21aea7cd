//! Callers' own keys: bound to an incarnation by a claim in the store.

use super::FilingTable;
use crate::claim::PendingClaim;
use crate::record::State;
use crate::{ClaimId, ClaimResult, FilingDecision, Fingerprint, KeyId, RecordId};
use galenapath_protocol::{Incarnation, Micros};

impl FilingTable {
    /// Lease that a claim is written with.
    pub fn claim_lease(&self) -> Micros {
        self.cfg.claim_lease
    }

    /// Longest time for which one lease may be used for new claims. A store that lets the holder of
    /// a lease write over its own claim would else give a claim that outlived its record a new
    /// number, and the key would run again.
    pub fn claim_lease_max_use(&self) -> Micros {
        self.cfg.lifetime
    }

    /// Takes the store's word on a claim. Called once for each [`Admit::Claim`].
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
        if stale && self.guards.stale_claim_refused {
            return self.unclaimed(id, first);
        }
        match result {
            ClaimResult::Won => self.claimed(id),
            ClaimResult::Lost { incarnation, claim } if incarnation == self.incarnation => {
                match claim >= first || !self.guards.claim_age_checked {
                    true => self.claimed(id),
                    false => self.outlived(id),
                }
            }
            ClaimResult::Lost { incarnation, .. } => self.lost(id, incarnation, fp),
            ClaimResult::Unknown => self.unclaimed(id, first),
            ClaimResult::StoreDown if claim == first => {
                self.records.remove(id);
                self.unclaimed(id, first)
            }
            ClaimResult::StoreDown => self.unclaimed(id, first),
        }
    }

    pub(super) fn admit_own(&mut self, key: KeyId, fp: Fingerprint) -> FilingDecision {
        if let Some(id) = self.records.find_any(key) {
            return self.admit_known(id, fp);
        }
        if let Some(admit) = self.adopted.admit_own(key, fp) {
            return admit;
        }
        if !self.guards.own_key_claimed {
            let id = self.open(self.window(), key, fp, State::Admitted, true);
            return id.map_or(FilingDecision::MayHaveRun, FilingDecision::Run);
        }
        if let Err(retry_after) = self.may_claim() {
            return self.cannot_claim(retry_after);
        }
        let claim = self.next_claim();
        let state = State::Claiming { first: claim, latest: claim };
        match self.open(self.window(), key, fp, state, true) {
            Some(id) => self.ask(id, claim),
            None => self.cannot_claim(self.room_after()),
        }
    }

    /// Claims again where an earlier claim's fate is not known.
    pub(super) fn reclaim(
        &mut self,
        id: RecordId,
        first: ClaimId,
        fp: Fingerprint,
    ) -> FilingDecision {
        if let Err(retry_after) = self.may_claim() {
            return self.cannot_claim(retry_after);
        }
        let latest = self.next_claim();
        if let Some(record) = self.records.get_mut(id) {
            record.fp = fp;
            record.state = State::Claiming { first, latest };
        }
        self.ask(id, latest)
    }

    /// Whether the store's word on a claim can still be acted on. One that never comes, because
    /// whoever asked was cancelled, does not hold off resends for longer.
    pub(super) fn is_awaited(&self, claim: ClaimId) -> bool {
        let pending = self.pending.get(&claim);
        pending.is_some_and(|pending| !self.is_stale(*pending))
    }

    fn is_stale(&self, pending: PendingClaim) -> bool {
        self.now - pending.asked > self.cfg.claim_patience
    }

    fn ask(&mut self, id: RecordId, claim: ClaimId) -> FilingDecision {
        while let Some(oldest) = self.pending.first_entry()
            && self.now - oldest.get().asked > self.cfg.claim_patience
        {
            oldest.remove();
        }
        self.pending.insert(claim, PendingClaim { record: id, asked: self.now });
        FilingDecision::Claim(claim)
    }

    fn may_claim(&mut self) -> Result<(), Micros> {
        if self.stopping {
            return Err(self.cfg.retry_after);
        }
        self.budget.take(self.now)
    }

    fn next_claim(&mut self) -> ClaimId {
        self.next_claim += 1;
        ClaimId(self.next_claim)
    }

    /// The store holds a claim of this record's life: the key is this incarnation's to dispatch.
    fn claimed(&mut self, id: RecordId) -> FilingDecision {
        let Some(record) = self.records.get_mut(id) else { return FilingDecision::MayHaveRun };
        record.state = State::Admitted;
        FilingDecision::Run(id)
    }

    /// The store holds a claim from before this record: its own record has expired, and it may
    /// have run. The new record goes too, since it knows no fingerprint.
    fn outlived(&mut self, id: RecordId) -> FilingDecision {
        self.records.remove(id);
        FilingDecision::MayHaveRun
    }

    fn lost(&mut self, id: RecordId, to: Incarnation, fp: Fingerprint) -> FilingDecision {
        self.records.remove(id);
        self.admit_elsewhere(to, id.key, fp)
    }

    fn unclaimed(&mut self, id: RecordId, first: ClaimId) -> FilingDecision {
        if let Some(record) = self.records.get_mut(id) {
            record.state = State::Unclaimed { first };
        }
        self.cannot_claim(self.cfg.retry_after)
    }

    fn cannot_claim(&self, retry_after: Micros) -> FilingDecision {
        match self.guards.unclaimed_not_denied {
            true => FilingDecision::Unclaimed { retry_after },
            false => FilingDecision::Full { retry_after },
        }
    }
}
