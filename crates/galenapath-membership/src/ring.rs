//! Who sends heartbeats to whom.

use crate::BeatConfig;
use galenapath_protocol::{DomainId, Incarnation};

/// Those that get the heartbeats of the instance at `at` of `ring`, the instances in order: the next
/// ones of its own failure domain and the next ones of others, or all where they are few. Where one side
/// has too few, the other makes up for it.
pub(crate) fn hears(
    cfg: &BeatConfig,
    ring: &[(Incarnation, &DomainId)],
    at: usize,
) -> Vec<Incarnation> {
    let following = (1..ring.len()).map(|step| ring[(at + step) % ring.len()]);
    if ring.len() <= cfg.all_up_to {
        return following.map(|(id, _)| id).collect();
    }
    let (mut home, mut away) = (Vec::new(), Vec::new());
    let least_home = cfg.fan_out - cfg.fan_out_away;
    for (id, domain) in following {
        let side = if domain == ring[at].1 { &mut home } else { &mut away };
        if side.len() < cfg.fan_out {
            side.push(id);
        }
        if home.len() >= least_home && away.len() >= cfg.fan_out_away {
            break;
        }
    }
    away.truncate(cfg.fan_out - home.len().min(least_home));
    home.truncate(cfg.fan_out - away.len());
    home.extend(away);
    home
}
