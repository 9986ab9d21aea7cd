//! Owners of workspaces.

use galenapath_policy::quota::quota_owners;
use galenapath_protocol::{Incarnation, WorkspaceId};

fn instances(n: u64) -> impl Iterator<Item = Incarnation> + Clone {
    (1..=n).map(Incarnation)
}

#[test]
fn quota_owners_same_for_any_order() {
    for workspace in (0..50).map(WorkspaceId) {
        let all: Vec<Incarnation> = instances(20).collect();
        let owners = quota_owners(workspace, all.iter().copied());
        assert_eq!(owners.len(), 2);
        assert_eq!(owners, quota_owners(workspace, all.into_iter().rev()));
    }
}

#[test]
fn quota_owners_change_only_with_their_own_loss() {
    for workspace in (0..50).map(WorkspaceId) {
        let owners = quota_owners(workspace, instances(20));
        let lost = instances(20).find(|instance| !owners.contains(instance)).unwrap();
        let others = instances(20).filter(|instance| *instance != lost);
        assert_eq!(owners, quota_owners(workspace, others));
        let without_first = quota_owners(workspace, instances(20).filter(|i| *i != owners[0]));
        assert_eq!(without_first[0], owners[1]);
    }
}

#[test]
fn quota_owners_few_instances_all() {
    assert_eq!(quota_owners(WorkspaceId(1), instances(1)), [Incarnation(1)]);
    assert_eq!(quota_owners(WorkspaceId(1), instances(0)), []);
}
