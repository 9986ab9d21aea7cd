//! Faults of the stand-in.

use serde::{Deserialize, Serialize};

/// Faults in force. `PUT /admin/faults` replaces all of them; omitted faults are cleared.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The connection of each call, including waiting watches, is closed before the call has any
    /// effect.
    pub down: bool,
    /// Calls are read and then held without effect until the fault is cleared.
    pub frozen: bool,
    /// Additional time of each call, in milliseconds.
    pub slow_ms: u64,
    /// Writes that take effect, but whose connection closes without an answer.
    pub lose_replies: LoseReplies,
    /// The store goes down right after its next write has taken effect.
    pub down_after_write: bool,
    /// Calls that are rejected with status 500, without effect.
    pub deny: Deny,
    /// Time in milliseconds until a change is visible in the list; overrides
    /// [`StoreOptions::list_lag_ms`](super::StoreOptions::list_lag_ms).
    pub list_lag_ms: Option<u64>,
}

/// How many replies to writes are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum LoseReplies {
    /// This many of the next replies; counted down.
    Next(u64),
    /// All replies, written as the text `all`.
    All(AllWord),
}

/// The text `all`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AllWord {
    /// The only value.
    #[serde(rename = "all")]
    All,
}

/// Calls that are rejected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Deny {
    /// None.
    #[default]
    None,
    /// Reads, including watches.
    Reads,
    /// Writes.
    Writes,
    /// All.
    All,
}

impl LoseReplies {
    /// Every reply to a write is lost.
    pub const ALL: Self = Self::All(AllWord::All);

    /// Returns whether the reply to the current write is lost, and counts down.
    pub(super) fn take_next(&mut self) -> bool {
        match self {
            Self::All(_) => true,
            Self::Next(0) => false,
            Self::Next(remaining) => {
                *remaining -= 1;
                true
            }
        }
    }
}

impl Default for LoseReplies {
    fn default() -> Self {
        Self::Next(0)
    }
}

impl Deny {
    /// Returns whether a write, or otherwise a read, is rejected.
    pub(super) fn rejects(self, is_write: bool) -> bool {
        match self {
            Self::None => false,
            Self::Reads => !is_write,
            Self::Writes => is_write,
            Self::All => true,
        }
    }
}
