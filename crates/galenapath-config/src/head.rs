//! The head of the chain of changes: the value in the store that every change replaces by
//! compare-and-swap.

use crate::{ChainError, ChangeId, ChangeRecord, Version};

/// Key of the head in the store.
pub const HEAD_KEY: &str = "config/head";

/// Limits that say when the head's tail is compacted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TailLimits {
    /// Maximum number of records in the tail.
    pub max_records: usize,
    /// Number of records that move to a page of the audit trail when the tail is full; at most
    /// `max_records`.
    pub page_records: usize,
}

impl TailLimits {
    /// The limits in production. Given the limits on a class's fields, a record is smaller than
    /// 2 KB, so a head with 64 records is far smaller than the store's limit of one megabyte.
    /// Compaction costs two writes per 32 changes. At least 32 records stay in the tail, so that a
    /// retried change is found without reading a page.
    pub const DEFAULT: Self = Self { max_records: 64, page_records: 32 };
}

/// The head: the last change records, and the version of the snapshot that includes the older ones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Head {
    version: Version,
    /// Version of the newest snapshot; zero stands for the empty configuration.
    snapshot: Version,
    /// The last records, oldest first, with consecutive versions up to `version`. The first one's
    /// version is at most one above the snapshot's.
    tail: Vec<ChangeRecord>,
}

/// A page of the audit trail: records that compaction removed from the tail, oldest first.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AuditPage {
    /// The records.
    pub records: Vec<ChangeRecord>,
}

impl Head {
    /// Builds a head from its parts as stored, or fails if they contradict each other.
    pub fn new(
        version: Version,
        snapshot: Version,
        tail: Vec<ChangeRecord>,
    ) -> Result<Self, ChainError> {
        let first = version.0.checked_sub(tail.len() as u64);
        let Some(before) = first else {
            return Err(ChainError::Inconsistent(
                "the tail has more records than the chain has versions",
            ));
        };
        let gapless = (before + 1..).zip(&tail).all(|(version, r)| r.version == Version(version));
        if !gapless {
            return Err(ChainError::Inconsistent("the versions in the tail are not consecutive"));
        }
        if snapshot.0 < before || snapshot > version {
            return Err(ChainError::Inconsistent(
                "the snapshot's version is outside the tail's range",
            ));
        }
        Ok(Self { version, snapshot, tail })
    }

    /// Returns the version that the head describes.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the version of the newest snapshot.
    pub fn snapshot(&self) -> Version {
        self.snapshot
    }

    /// Returns the last records, oldest first.
    pub fn tail(&self) -> &[ChangeRecord] {
        &self.tail
    }

    /// Returns the newest version whose record is not in the tail.
    pub fn before_tail(&self) -> Version {
        Version(self.version.0 - self.tail.len() as u64)
    }

    /// Returns the record of the change `id`, if it is in the tail.
    pub fn find(&self, id: &ChangeId) -> Option<&ChangeRecord> {
        self.tail.iter().find(|record| record.id == *id)
    }

    /// Returns the head with `record` appended, which must have the next version.
    pub(crate) fn with_record(&self, record: ChangeRecord) -> Self {
        let mut tail = self.tail.clone();
        let version = record.version;
        tail.push(record);
        Self { version, snapshot: self.snapshot, tail }
    }

    /// Removes the oldest page of records from a full tail; `None` if the tail is not full. The
    /// snapshot at the head's version and the page must be in the store before a head that is based
    /// on the returned one.
    pub(crate) fn compact(&self, limits: TailLimits) -> Option<(Self, AuditPage)> {
        if self.tail.len() < limits.max_records {
            return None;
        }
        let (page, rest) = self.tail.split_at(limits.page_records);
        let compacted = Self { version: self.version, snapshot: self.version, tail: rest.to_vec() };
        Some((compacted, AuditPage { records: page.to_vec() }))
    }
}

impl AuditPage {
    /// Returns the version of the last record.
    pub fn last_version(&self) -> Version {
        self.records.last().map_or(Version(0), |record| record.version)
    }
}

/// Returns the key of the snapshot at `version`. Its value is written once and never changes.
pub fn snapshot_key(version: Version) -> String {
    format!("config/snapshot/{version}")
}

/// Returns the key of the audit page whose last record has the version `last`. Its value is written
/// once and never changes.
pub fn page_key(last: Version) -> String {
    format!("audit/{last}")
}

/// Returns the last version of the audit page that contains the record of `version`.
pub fn page_containing(version: Version, limits: TailLimits) -> Version {
    let page = limits.page_records as u64;
    Version(version.0.div_ceil(page) * page)
}
