//! News that still has to be told to peers.

use galenapath_protocol::Incarnation;

/// News about members, each with the number of times it is still to be sent.
///
/// Invariant: an incarnation occurs at most once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Rumors {
    pending: Vec<Rumor>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Rumor {
    about: Incarnation,
    left: u32,
}

impl Rumors {
    /// Queues news about a member, to be sent `times` times; replaces older news of it.
    pub(crate) fn push(&mut self, about: Incarnation, times: u32) {
        self.pending.retain(|rumor| rumor.about != about);
        self.pending.insert(0, Rumor { about, left: times });
    }

    /// Takes up to `most` members to tell of, those told least often first, of those the newest.
    pub(crate) fn take(&mut self, most: usize) -> Vec<Incarnation> {
        self.pending.sort_by_key(|rumor| std::cmp::Reverse(rumor.left));
        let told = self.pending.iter_mut().take(most);
        let about = told
            .map(|rumor| {
                rumor.left -= 1;
                rumor.about
            })
            .collect();
        self.pending.retain(|rumor| rumor.left > 0);
        about
    }
}
