//! A head together with the configuration that it describes.

use crate::{ChainError, ChangeRecord, Config, Head, TailLimits, Version};
use std::sync::Arc;
use thiserror::Error;

/// A head and its configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Chain {
    head: Head,
    /// Always at the head's version.
    config: Arc<Config>,
}

/// A head that cannot be followed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum FollowError {
    /// Records are missing between the configuration and the head's tail.
    #[error("changes are missing before the tail; snapshot {snapshot} has them")]
    Gap {
        /// Version of the snapshot to start from.
        snapshot: Version,
    },
    /// The head is older than the configuration.
    #[error("version {0} is older")]
    Older(Version),
    /// The head does not belong to the configuration's chain.
    #[error(transparent)]
    Chain(#[from] ChainError),
}

impl Chain {
    /// The chain at `head`, starting from `config` and applying what the tail has beyond it.
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

    /// The chain after `records`, of which the first must be the next. The head is the one that the
    /// store has at that version: its tail is cut at the same places.
    pub fn with_records(
        &self,
        records: &[ChangeRecord],
        limits: TailLimits,
    ) -> Result<Self, ChainError> {
        let config = Arc::new(self.config.with_records(records)?);
        let add = |head: Head, record: &ChangeRecord| match head.cut(limits) {
            Some((cut, _)) => cut.with(record.clone()),
            None => head.with(record.clone()),
        };
        let head = records.iter().fold(self.head.clone(), add);
        Ok(Self { head, config })
    }

    /// The head.
    pub fn head(&self) -> &Head {
        &self.head
    }

    /// The configuration.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// The version of both.
    pub fn version(&self) -> Version {
        self.head.version()
    }
}
