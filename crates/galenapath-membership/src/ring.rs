//! Assigns the targets of heartbeats.

use crate::HeartbeatConfig;
use galenapath_protocol::{DomainId, Incarnation};

/// Targets of the heartbeats of the instance at index `at` of `ring`, which holds all instances in
/// order: the next ones of its own failure domain and the next ones of others, or all if there are
/// few. If one group has too few, the other fills up.
pub(crate) fn heartbeat_targets(
    cfg: &HeartbeatConfig,
    ring: &[(Incarnation, &DomainId)],
    at: usize,
) -> Vec<Incarnation> {
    let following = (1..ring.len()).map(|step| ring[(at + step) % ring.len()]);
    if ring.len() <= cfg.full_mesh_limit {
        return following.map(|(id, _)| id).collect();
    }
    let (mut local, mut remote) = (Vec::new(), Vec::new());
    let min_local = cfg.fan_out - cfg.fan_out_remote;
    for (id, domain) in following {
        let side = if domain == ring[at].1 { &mut local } else { &mut remote };
        if side.len() < cfg.fan_out {
            side.push(id);
        }
        if local.len() >= min_local && remote.len() >= cfg.fan_out_remote {
            break;
        }
    }
    remote.truncate(cfg.fan_out - local.len().min(min_local));
    local.truncate(cfg.fan_out - remote.len());
    local.extend(remote);
    local
}

/// Instances that have the one at index `at` of `ring` among their targets.
///
/// The cost does not grow with the number of instances: while hundreds start, small instances work
/// this out anew many times a second. Behind `fan_out` instances of the own failure domain nobody
/// has this one among its targets, because these come first for everyone, whatever its own domain.
pub(crate) fn heartbeat_sources(
    cfg: &HeartbeatConfig,
    ring: &[(Incarnation, &DomainId)],
    at: usize,
) -> Vec<Incarnation> {
    let (own, own_domain) = ring[at];
    let mut passed = 0;
    let mut sources = Vec::new();
    for step in 1..ring.len() {
        let before = (at + ring.len() - step) % ring.len();
        if heartbeat_targets(cfg, ring, before).contains(&own) {
            sources.push(ring[before].0);
        }
        passed += usize::from(ring[before].1 == own_domain);
        if passed >= cfg.fan_out && ring.len() > cfg.full_mesh_limit {
            break;
        }
    }
    sources
}
