//! News that still has to be told to peers.

use galenapath_protocol::Incarnation;

/// News about members, each with the number of times it is still to be sent.
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
    /// Queues news about a member, to be sent `times` times; replaces older news of it.
    pub(crate) fn push(&mut self, about: Incarnation, times: u32) {
        self.pending.retain(|update| update.about != about);
        self.pending.insert(0, QueuedUpdate { about, left: times });
    }

    /// Takes up to `most` members to tell of, those told least often first, of those the newest.
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
