//! The head of the chain of changes together with the configuration that it describes.

use crate::{ChainError, ChangeRecord, Config, Head, TailLimits, Version};
use std::sync::Arc;
use thiserror::Error;

/// The head of the chain of changes, and the configuration at the head's version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Chain {
    head: Head,
    /// Always at the head's version.
    config: Arc<Config>,
}

/// Why a configuration cannot be brought to a head's version.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum FollowError {
    /// There are versions between the configuration and the head's tail, whose records are missing.
    #[error("changes before the tail are missing; snapshot {snapshot} includes them")]
    Gap {
        /// Version of the snapshot to start from.
        snapshot: Version,
    },
    /// The head is older than the configuration.
    #[error("the head's version {0} is older than the configuration")]
    Older(Version),
    /// The head and the configuration are not from the same chain.
    #[error(transparent)]
    Chain(#[from] ChainError),
}

impl Chain {
    /// Returns the chain at `head`, by applying to `config` the records of the tail that are newer.
    pub fn follow(config: &Arc<Config>, head: Head) -> Result<Self, FollowError> {
        let version = config.version();
        if head.version() < version {
            return Err(FollowError::Older(head.version()));
        }
        if version < head.before_tail() {
            return Err(FollowError::Gap { snapshot: head.snapshot() });
        }
        let newer = head.tail().iter().filter(|record| record.version > version);
        let config = Arc::new(config.with_records(newer)?);
        Ok(Self { head, config })
    }

    /// Returns the chain with `records` appended, of which the first must have the next version.
    /// The head is equal to the store's at that version, since its tail is compacted at the same
    /// versions.
    pub fn with_records(
        &self,
        records: &[ChangeRecord],
        limits: TailLimits,
    ) -> Result<Self, ChainError> {
        let config = Arc::new(self.config.with_records(records)?);
        let add = |head: Head, record: &ChangeRecord| match head.compact(limits) {
            Some((compacted, _)) => compacted.with_record(record.clone()),
            None => head.with_record(record.clone()),
        };
        let head = records.iter().fold(self.head.clone(), add);
        Ok(Self { head, config })
    }

    /// Returns the head.
    pub fn head(&self) -> &Head {
        &self.head
    }

    /// Returns the configuration.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Returns the version of the head and the configuration.
    pub fn version(&self) -> Version {
        self.head.version()
    }
}
