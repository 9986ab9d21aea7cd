//! The head of the chain of changes: the one value in the store that every change swaps.

use crate::{ChainError, ChangeId, ChangeRecord, Version};

/// Key of the head in the store.
pub const HEAD_KEY: &str = "config/head";

/// When the tail of the head is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TailLimits {
    /// Most records in the tail.
    pub max_records: usize,
    /// Records that go into a page of the audit trail when the tail is full; at most `tail`.
    pub page_records: usize,
}

impl TailLimits {
    /// What the programs use. With the field limits of a class a record stays under 2 KB, so a
    /// head of 64 stays far under the store's 1 MB, and cutting costs two writes in 32 changes. At
    /// least 32 records stay, so that a change that is sent again is found without a page.
    pub const DEFAULT: Self = Self { max_records: 64, page_records: 32 };
}

/// The head: the last changes, and where the older ones are.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Head {
    version: Version,
    /// Version of the newest snapshot; zero for the empty configuration.
    snapshot: Version,
    /// The last records, oldest first, without a gap, up to `version`. The first follows the
    /// snapshot or an older version.
    tail: Vec<ChangeRecord>,
}

/// Records that were cut off the tail, oldest first.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AuditPage {
    /// The records.
    pub records: Vec<ChangeRecord>,
}

impl Head {
    /// A head out of its parts, as the store holds them.
    pub fn new(
        version: Version,
        snapshot: Version,
        tail: Vec<ChangeRecord>,
    ) -> Result<Self, ChainError> {
        let first = version.0.checked_sub(tail.len() as u64);
        let Some(before) = first else {
            return Err(ChainError::Inconsistent("the tail is longer than the chain"));
        };
        let gapless = (before + 1..).zip(&tail).all(|(version, r)| r.version == Version(version));
        if !gapless {
            return Err(ChainError::Inconsistent("the tail has a gap"));
        }
        if snapshot.0 < before || snapshot > version {
            return Err(ChainError::Inconsistent("the tail does not reach the snapshot"));
        }
        Ok(Self { version, snapshot, tail })
    }

    /// Version that the head describes.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Version of the newest snapshot.
    pub fn snapshot(&self) -> Version {
        self.snapshot
    }

    /// The last records, oldest first.
    pub fn tail(&self) -> &[ChangeRecord] {
        &self.tail
    }

    /// The newest version that lies before the tail.
    pub fn before_tail(&self) -> Version {
        Version(self.version.0 - self.tail.len() as u64)
    }

    /// The record of that change, if it is in the tail.
    pub fn find(&self, id: &ChangeId) -> Option<&ChangeRecord> {
        self.tail.iter().find(|record| record.id == *id)
    }

    /// The head with one record more, which must be the next.
    pub(crate) fn with(&self, record: ChangeRecord) -> Self {
        let mut tail = self.tail.clone();
        let version = record.version;
        tail.push(record);
        Self { version, snapshot: self.snapshot, tail }
    }

    /// Cuts the oldest page off a full tail. The snapshot at the head's version and the page must
    /// be in the store before a head that builds on the result.
    pub(crate) fn cut(&self, limits: TailLimits) -> Option<(Self, AuditPage)> {
        if self.tail.len() < limits.max_records {
            return None;
        }
        let (page, rest) = self.tail.split_at(limits.page_records);
        let cut = Self { version: self.version, snapshot: self.version, tail: rest.to_vec() };
        Some((cut, AuditPage { records: page.to_vec() }))
    }
}

impl AuditPage {
    /// Version of the last record.
    pub fn last_version(&self) -> Version {
        self.records.last().map_or(Version(0), |record| record.version)
    }
}

/// Key of the snapshot at `version`. Written once, never changed.
pub fn snapshot_key(version: Version) -> String {
    format!("config/snapshot/{version}")
}

/// Key of the audit page whose last record made `last`. Written once, never changed.
pub fn page_key(last: Version) -> String {
    format!("audit/{last}")
}

/// The last version of the page that holds the record of `version`.
pub fn page_containing(version: Version, limits: TailLimits) -> Version {
    let page = limits.page_records as u64;
    Version(version.0.div_ceil(page) * page)
}
