//! Counters of the calls to the stand-in.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Kind of call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallKind {
    /// Read of a key.
    Read,
    /// Watch of a key; counted once, however long it waits.
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
    /// Registration of an instance.
    Register,
    /// Deregistration of an instance.
    Deregister,
}

impl CallKind {
    /// Returns whether the call is a write.
    pub fn is_write(self) -> bool {
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

/// Body of the answer to `GET /admin/counters`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Calls received, by kind, including rejected ones.
    pub calls: BTreeMap<CallKind, u64>,
    /// Calls rejected by the rate limits.
    pub limited: u64,
    /// Calls whose connection was closed while the store was down.
    pub dropped: u64,
    /// Calls rejected by the fault `deny`.
    pub denied: u64,
    /// Writes that took effect and whose reply was lost.
    pub lost_replies: u64,
    /// Watches that are waiting.
    pub waiting: u64,
    /// Open connections.
    pub connections: u64,
}

impl Counters {
    /// Returns the number of calls of one kind.
    pub fn calls(&self, kind: CallKind) -> u64 {
        self.calls.get(&kind).copied().unwrap_or(0)
    }

    /// Returns the number of calls of all kinds.
    pub fn total(&self) -> u64 {
        self.calls.values().sum()
    }

    /// Returns the number of calls that are writes.
    pub fn writes(&self) -> u64 {
        self.calls.iter().filter(|(kind, _)| kind.is_write()).map(|(_, calls)| calls).sum()
    }
}
