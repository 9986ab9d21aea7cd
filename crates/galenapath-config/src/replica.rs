//! One instance's copy of the configuration.

use crate::{Chain, ChangeRecord, Config, FollowError, Head, TailLimits, Version};
use std::sync::Arc;

/// An instance's copy of the configuration. Its version never decreases.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Replica {
    chain: Chain,
}

/// The outcome of applying a head or records to a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The replica advanced to the head's version.
    Advanced {
        /// Version before the update.
        from: Version,
    },
    /// The replica had that version or a newer one already.
    Stale,
    /// Changes between the replica and the head's tail are missing. The head must be applied again
    /// together with the snapshot or a peer's configuration, see [`Replica::apply_from`].
    Gap {
        /// Version of the snapshot to fetch.
        snapshot: Version,
    },
    /// The head or the records contradict the replica, which is unchanged. An operator must inspect
    /// the store.
    Diverged,
}

impl Replica {
    /// Returns the chain at the replica's version.
    pub fn chain(&self) -> &Chain {
        &self.chain
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> &Arc<Config> {
        self.chain.config()
    }

    /// Returns the version of the configuration in force.
    pub fn version(&self) -> Version {
        self.chain.version()
    }

    /// Applies a head from the store or a peer, unless it is older.
    pub fn apply(&mut self, head: Head) -> ApplyOutcome {
        let config = self.config().clone();
        self.apply_from(&config, head)
    }

    /// Applies a head to `config`, a snapshot or a peer's configuration, and adopts the result.
    pub fn apply_from(&mut self, config: &Arc<Config>, head: Head) -> ApplyOutcome {
        if head.version() <= self.version() {
            return if self.contradicts(&head) {
                ApplyOutcome::Diverged
            } else {
                ApplyOutcome::Stale
            };
        }
        match Chain::follow(config, head) {
            Ok(chain) => self.advance(chain),
            Err(FollowError::Gap { snapshot }) => ApplyOutcome::Gap { snapshot },
            Err(FollowError::Older(_)) => ApplyOutcome::Stale,
            Err(FollowError::Chain(_)) => ApplyOutcome::Diverged,
        }
    }

    /// Applies records with consecutive versions, and skips those that the replica has already.
    pub fn extend(&mut self, records: &[ChangeRecord], limits: TailLimits) -> ApplyOutcome {
        let known = records.partition_point(|record| record.version <= self.version());
        let newer = &records[known..];
        if newer.is_empty() {
            return ApplyOutcome::Stale;
        }
        match self.chain.with_records(newer, limits) {
            Ok(chain) => self.advance(chain),
            Err(_) => ApplyOutcome::Diverged,
        }
    }

    fn advance(&mut self, chain: Chain) -> ApplyOutcome {
        if self.contradicts(chain.head()) {
            return ApplyOutcome::Diverged;
        }
        let from = self.version();
        self.chain = chain;
        ApplyOutcome::Advanced { from }
    }

    /// Returns whether the two tails have different records for the same version.
    fn contradicts(&self, head: &Head) -> bool {
        let known = self.chain.head().tail();
        let Some(first) = known.first() else { return false };
        let mut common = head.tail().iter().filter(|r| r.version >= first.version);
        common.any(|record| {
            let index = (record.version.0 - first.version.0) as usize;
            known.get(index).is_some_and(|k| k != record)
        })
    }
}
