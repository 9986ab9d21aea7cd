//! Thresholds of admission.

use galenapath_protocol::Micros;

/// Order in which a workspace's waiting requests are started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueOrder {
    /// Oldest first, always.
    OldestFirst,
    /// Oldest first, and newest first while the service is overloaded.
    NewestFirstWhenOverloaded,
}

/// Thresholds of admission; the defaults are the ones measured.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionConfig {
    /// Limit on requests in flight before the first `set_capacity`.
    pub initial_slots: u32,
    /// Most requests that wait at once, over all workspaces. At least one.
    pub max_waiting: usize,
    /// Most workspaces told apart; the rest share one.
    pub max_workspaces: usize,
    /// Order of the waiting requests of one workspace.
    pub order: QueueOrder,
    /// Shortest time that a rejected caller is told to stay away.
    pub min_retry_after: Micros,
    /// Longest time that a rejected caller is told to stay away.
    pub max_retry_after: Micros,
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        Self {
            initial_slots: 8,
            max_waiting: 256,
            max_workspaces: 256,
            order: QueueOrder::NewestFirstWhenOverloaded,
            min_retry_after: Micros::from_millis(20),
            max_retry_after: Micros::from_secs(10),
        }
    }
}
