//! Workspaces as instances name and limit them.

use crate::hash64;

/// Seed of the hash of a workspace's name.
const ID_SEED: u64 = 0x0077_6f72_6b73;

/// Identifies a workspace; equal on all instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkspaceId(pub u64);

impl WorkspaceId {
    /// The identity of the workspace called `name`.
    pub fn of(name: &str) -> Self {
        Self(hash64(ID_SEED, name.as_bytes()))
    }
}

/// How many requests of a workspace may run, on all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Requests per second; positive.
    pub per_second: f64,
    /// Requests beyond the rate that may run at once after a pause; not negative.
    pub burst: f64,
}
