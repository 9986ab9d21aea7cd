//! What one instance knows of the configuration.

use crate::{Chain, ChangeRecord, Config, FollowError, Head, TailLimits, Version};
use std::sync::Arc;

/// An instance's copy of the configuration. Its version never goes down.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Replica {
    chain: Chain,
}

/// What an offered head did to a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The replica is at the head now.
    Advanced {
        /// Version before.
        from: Version,
    },
    /// The replica was there, or further.
    Stale,
    /// Changes are missing: offer the head again with the snapshot, or with a peer's configuration.
    Gap {
        /// Version of the snapshot to fetch.
        snapshot: Version,
    },
    /// The head contradicts what the replica knows. Nothing is changed; the store must be looked
    /// at by a person.
    Diverged,
}

impl Replica {
    /// The chain as the replica knows it.
    pub fn chain(&self) -> &Chain {
        &self.chain
    }

    /// The configuration in force.
    pub fn config(&self) -> &Arc<Config> {
        self.chain.config()
    }

    /// Version of the configuration in force.
    pub fn version(&self) -> Version {
        self.chain.version()
    }

    /// Takes over a head, whoever offers it, unless it is older.
    pub fn apply(&mut self, head: Head) -> ApplyOutcome {
        let config = self.config().clone();
        self.apply_from(&config, head)
    }

    /// Takes over a head that starts from a snapshot or from a peer's configuration.
    pub fn apply_from(&mut self, config: &Arc<Config>, head: Head) -> ApplyOutcome {
        if head.version() <= self.version() {
            return if self.contradicts(&head) {
                ApplyOutcome::Diverged
            } else {
                ApplyOutcome::Stale
            };
        }
        match Chain::follow(config, head) {
            Ok(chain) => self.install(chain),
            Err(FollowError::Gap { snapshot }) => ApplyOutcome::Gap { snapshot },
            Err(FollowError::Older(_)) => ApplyOutcome::Stale,
            Err(FollowError::Chain(_)) => ApplyOutcome::Diverged,
        }
    }

    /// Takes over records that follow each other; those that it knows are passed over.
    pub fn extend(&mut self, records: &[ChangeRecord], limits: TailLimits) -> ApplyOutcome {
        let known = records.partition_point(|record| record.version <= self.version());
        let newer = &records[known..];
        if newer.is_empty() {
            return ApplyOutcome::Stale;
        }
        match self.chain.with_records(newer, limits) {
            Ok(chain) => self.install(chain),
            Err(_) => ApplyOutcome::Diverged,
        }
    }

    fn install(&mut self, chain: Chain) -> ApplyOutcome {
        if self.contradicts(chain.head()) {
            return ApplyOutcome::Diverged;
        }
        let from = self.version();
        self.chain = chain;
        ApplyOutcome::Advanced { from }
    }

    /// Whether the two tails hold different records for one version.
    fn contradicts(&self, head: &Head) -> bool {
        let known = self.chain.head().tail();
        let Some(first) = known.first() else { return false };
        let mut common = head.tail().iter().filter(|r| r.version >= first.version);
        common.any(|record| {
            let at = (record.version.0 - first.version.0) as usize;
            known.get(at).is_some_and(|k| k != record)
        })
    }
}
