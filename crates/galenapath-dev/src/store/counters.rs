//! Counts of the calls that the stand-in has seen.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallKind {
    /// Read of a key.
    Read,
    /// Watch of a key: one call, however long it waits.
    Watch,
    /// Compare-and-swap.
    Swap,
    /// Claim of a key with a session.
    Claim,
    /// Creation of a session.
    SessionCreate,
    /// Renewal of a session.
    SessionRenew,
    /// Read of the list of instances.
    List,
    /// Watch of the list of instances.
    ListWatch,
    /// Announcement of an instance.
    Register,
    /// Withdrawal of an instance.
    Deregister,
}

impl CallKind {
    /// Whether the call writes.
    pub fn writes(self) -> bool {
        match self {
            Self::Read | Self::Watch | Self::List | Self::ListWatch => false,
            Self::Swap
            | Self::Claim
            | Self::SessionCreate
            | Self::SessionRenew
            | Self::Register
            | Self::Deregister => true,
        }
    }
}

/// What `GET /admin/counters` answers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Calls that arrived, by kind, turned away or not.
    pub calls: BTreeMap<CallKind, u64>,
    /// Calls turned away by the rate limits.
    pub limited: u64,
    /// Calls whose connection was closed while the store was down.
    pub dropped: u64,
    /// Calls refused by the fault `deny`.
    pub denied: u64,
    /// Writes that took effect and whose reply was lost.
    pub lost_replies: u64,
    /// Watches waiting now.
    pub waiting: u64,
    /// Connections open now.
    pub connections: u64,
}

impl Counters {
    /// Calls of one kind.
    pub fn calls(&self, kind: CallKind) -> u64 {
        self.calls.get(&kind).copied().unwrap_or(0)
    }

    /// Calls of all kinds.
    pub fn total(&self) -> u64 {
        self.calls.values().sum()
    }

    /// Calls that write.
    pub fn writes(&self) -> u64 {
        self.calls.iter().filter(|(kind, _)| kind.writes()).map(|(_, calls)| calls).sum()
    }
}
