//! What the stand-in does wrong.

use serde::{Deserialize, Serialize};

/// The faults in force. `PUT /admin/faults` replaces them all; what is left out is not in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Each call's connection is closed before the call has any effect; waiting watches too.
    pub down: bool,
    /// Calls are read and then held, without effect, until the fault is lifted.
    pub frozen: bool,
    /// Time in milliseconds that each call takes longer.
    pub slow_ms: u64,
    /// Writes that take effect while their connection closes without an answer.
    pub lose_replies: LoseReplies,
    /// The store goes down right after its next write has taken effect.
    pub down_after_write: bool,
    /// Calls that are refused with status 500, without effect.
    pub deny: Deny,
    /// Time in milliseconds that a change needs to show in the list; overrides the option.
    pub list_lag_ms: Option<u64>,
}

/// How many replies to writes are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum LoseReplies {
    /// The next so many; counted down.
    Next(u64),
    /// All of them: the text `all`.
    All(AllWord),
}

/// The word `all`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AllWord {
    /// Its only value.
    #[serde(rename = "all")]
    All,
}

/// Which calls are refused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Deny {
    /// None.
    #[default]
    None,
    /// Reads, watches among them.
    Reads,
    /// Writes.
    Writes,
    /// All.
    All,
}

impl LoseReplies {
    /// Every reply to a write is lost.
    pub const ALL: Self = Self::All(AllWord::All);

    /// Whether the reply to the write at hand is lost; counts down.
    pub(super) fn take(&mut self) -> bool {
        match self {
            Self::All(_) => true,
            Self::Next(0) => false,
            Self::Next(left) => {
                *left -= 1;
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
    /// Whether a write, or a read, is refused.
    pub(super) fn covers(self, write: bool) -> bool {
        match self {
            Self::None => false,
            Self::Reads => !write,
            Self::Writes => write,
            Self::All => true,
        }
    }
}
