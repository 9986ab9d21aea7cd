//! Updates that still have to be sent to peers.

use galenapath_protocol::Incarnation;

/// Members whose updates are to be gossiped, each with its number of remaining sends.
///
/// Invariant: an incarnation occurs at most once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct GossipQueue {
    pending: Vec<QueuedUpdate>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct QueuedUpdate {
    about: Incarnation,
    left: u32,
}

impl GossipQueue {
    /// Queues an update about a member, to be sent `times` times. Replaces an older update about
    /// it.
    pub(crate) fn push(&mut self, about: Incarnation, times: u32) {
        self.pending.retain(|update| update.about != about);
        self.pending.insert(0, QueuedUpdate { about, left: times });
    }

    /// Takes up to `max` members to send updates about: those with the most remaining sends first,
    /// and among these the newest.
    pub(crate) fn take(&mut self, max: usize) -> Vec<Incarnation> {
        self.pending.sort_by_key(|update| std::cmp::Reverse(update.left));
        let sent = self.pending.iter_mut().take(max);
        let about = sent
            .map(|update| {
                update.left -= 1;
                update.about
            })
            .collect();
        self.pending.retain(|update| update.left > 0);
        about
    }
}
