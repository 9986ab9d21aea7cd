//! Which instances collect the reports about a workspace while plenty of its quota is left.

use galenapath_protocol::{Incarnation, WorkspaceId, hash64};

/// Number of owners: one may be lost without anybody noticing too late that a quota is used up.
const OWNERS: usize = 2;

/// The owners of a workspace among the instances that serve callers, by rendezvous hashing: all
/// instances choose the same ones, and the loss of an instance changes only what it owned.
pub fn quota_owners(
    workspace: WorkspaceId,
    serving: impl Iterator<Item = Incarnation>,
) -> Vec<Incarnation> {
    let mut first: Vec<(u64, Incarnation)> = Vec::with_capacity(OWNERS + 1);
    for instance in serving {
        let score = hash64(workspace.0, &instance.0.to_le_bytes());
        let at = first.partition_point(|(other, _)| *other > score);
        if at < OWNERS {
            first.insert(at, (score, instance));
            first.truncate(OWNERS);
        }
    }
    first.into_iter().map(|(_, instance)| instance).collect()
}
