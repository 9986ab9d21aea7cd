//! The quotas of all workspaces as one instance knows them.

use super::account::{Account, Surroundings};
use super::own_usage::Audience;
use galenapath_protocol::{FastMap, FastSet, Incarnation, Micros, Quota, WorkspaceId};

/// What one instance reports to others about a workspace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UsageNote {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Requests that the sender has granted since its start, less those that did not run.
    pub used: i64,
    /// Requests that may be granted now by what the sender knows; negative if too many were.
    pub level: f64,
    /// Requests per second that the workspace sends to the sender, refused ones included.
    pub demand: f64,
}

/// A report without the workspace that it is about.
pub(super) struct UsageReport {
    pub(super) used: i64,
    pub(super) level: f64,
    pub(super) demand: f64,
}

impl UsageReport {
    fn note(self, workspace: WorkspaceId) -> UsageNote {
        UsageNote { workspace, used: self.used, level: self.level, demand: self.demand }
    }
}

/// Reports that are due. Two about the same workspace have to arrive in this order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DueReports {
    /// Reports for the [owners](super::quota_owners) of each workspace.
    pub to_owners: Vec<UsageNote>,
    /// Reports for all instances that serve callers.
    pub to_all: Vec<UsageNote>,
}

impl DueReports {
    /// Whether nothing is due.
    pub fn is_empty(&self) -> bool {
        self.to_owners.is_empty() && self.to_all.is_empty()
    }
}

/// Whether a request is within the quota of its workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaDecision {
    /// The workspace has no quota.
    Unlimited,
    /// The request is charged to the quota.
    Granted,
    /// The request is beyond the quota.
    Exceeded {
        /// Time after which the caller may come back.
        retry_after: Micros,
    },
}

/// The quotas of all workspaces at one instance.
///
/// Invariant: `active` holds every account that may have something to report.
#[derive(Debug)]
pub struct QuotaLedger {
    accounts: FastMap<WorkspaceId, Account>,
    active: FastSet<WorkspaceId>,
    around: Surroundings,
    /// Whether quotas have been set before.
    is_started: bool,
}

impl Default for QuotaLedger {
    fn default() -> Self {
        Self {
            accounts: FastMap::default(),
            active: FastSet::default(),
            around: Surroundings { serving: 1.0, reachable_part: 1.0 },
            is_started: false,
        }
    }
}

impl QuotaLedger {
    /// Applies the quotas of a configuration. `margin` requests are added to each burst, so that
    /// what instances do not know of each other refuses nothing within the quota.
    pub fn set_quotas(
        &mut self,
        now: Micros,
        margin: f64,
        quotas: impl Iterator<Item = (WorkspaceId, Quota)>,
    ) {
        let mut before = std::mem::take(&mut self.accounts);
        let is_at_start = !std::mem::replace(&mut self.is_started, true);
        for (id, quota) in quotas {
            let account = match before.remove(&id) {
                Some(mut account) => {
                    account.set_quota(now, quota, margin, self.around);
                    account
                }
                None => Account::new(now, quota, margin, is_at_start),
            };
            self.accounts.insert(id, account);
        }
        let accounts = &self.accounts;
        self.active.retain(|id| accounts.contains_key(id));
    }

    /// Sets how many instances serve callers, this one included, and which part of the load is on
    /// instances that reach this one.
    pub fn set_surroundings(&mut self, serving: u32, reachable_part: f64) {
        self.around = Surroundings {
            serving: f64::from(serving),
            reachable_part: reachable_part.clamp(0.0, 1.0),
        };
    }

    /// Decides on a request of the workspace and charges it if it is granted.
    pub fn take(&mut self, now: Micros, id: WorkspaceId) -> QuotaDecision {
        let Some(account) = self.accounts.get_mut(&id) else { return QuotaDecision::Unlimited };
        let result = account.take(now, self.around);
        self.active.insert(id);
        match result {
            Ok(()) => QuotaDecision::Granted,
            Err(retry_after) => QuotaDecision::Exceeded { retry_after },
        }
    }

    /// Returns a granted request that did not run.
    pub fn give_back(&mut self, id: WorkspaceId) {
        if let Some(account) = self.accounts.get_mut(&id) {
            account.give_back();
            self.active.insert(id);
        }
    }

    /// Applies a report of another instance. `is_owner` says whether this instance is an
    /// [owner](super::quota_owners) of the workspace.
    pub fn apply(
        &mut self,
        now: Micros,
        from: Incarnation,
        note: &UsageNote,
        is_owner: impl FnOnce() -> bool,
    ) {
        let Some(account) = self.accounts.get_mut(&note.workspace) else { return };
        account.apply(now, from, note, is_owner, self.around);
        if account.is_contended() {
            self.active.insert(note.workspace);
        }
    }

    /// Forgets an instance that has ended.
    pub fn forget(&mut self, peer: Incarnation) {
        self.accounts.values_mut().for_each(|account| account.forget(peer));
    }

    /// Whether there may be something to report.
    pub fn has_active(&self) -> bool {
        !self.active.is_empty()
    }

    /// Takes the reports that are due now.
    pub fn take_reports(&mut self, now: Micros) -> DueReports {
        let mut due = DueReports::default();
        let (accounts, around) = (&mut self.accounts, self.around);
        self.active.retain(|id| {
            let Some(account) = accounts.get_mut(id) else { return false };
            let (audience, reports) = account.take_reports(now, around);
            let to = match audience {
                Audience::Nobody => return account.is_pending(now, around),
                Audience::Owners => &mut due.to_owners,
                Audience::All => &mut due.to_all,
            };
            to.extend(reports.into_iter().map(|report| report.note(*id)));
            account.is_pending(now, around)
        });
        due
    }

    /// What may be granted now to a workspace; `None` if it has no quota.
    pub fn level(&self, id: WorkspaceId) -> Option<f64> {
        self.accounts.get(&id).map(Account::level)
    }

    /// Number of workspaces of whose quota little is left.
    pub fn contended_count(&self) -> usize {
        self.accounts.values().filter(|account| account.is_contended()).count()
    }
}
