//! The configuration at one version.

use crate::check::MAX_NAME_LEN;
use crate::{ChangeId, ChangeRecord, Class, Version};
use std::collections::BTreeMap;
use std::sync::Arc;
use thiserror::Error;

/// Upper bound on the size of a snapshot without its classes and last changes, in bytes.
const ENVELOPE_BYTES: usize = 100;

/// Upper bound on the size of a last change in a snapshot, without its strings, in bytes.
const LAST_CHANGE_BYTES: usize = 60;

/// All classes at one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Config {
    version: Version,
    classes: BTreeMap<String, Arc<Class>>,
    /// The last change of each class by name, including removed ones, so that a change that was
    /// followed by a removal is never accepted a second time.
    last_changes: BTreeMap<String, LastChange>,
    /// The classes of each service, longest prefix first; derived from `classes`.
    classes_by_service: BTreeMap<String, Vec<Arc<Class>>>,
}

/// The last change of a class.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LastChange {
    /// Version that the change created.
    pub revision: Version,
    /// Identifier of the change.
    pub id: ChangeId,
}

/// A record or a stored part that does not fit the chain of changes.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ChainError {
    /// The record's version is not the next one.
    #[error("version {record} does not follow version {config}")]
    NotConsecutive {
        /// Version of the configuration.
        config: Version,
        /// Version of the record.
        record: Version,
    },
    /// The class before the change, as recorded, differs from the configuration's.
    #[error("the class before the change of version {0} differs from the current class")]
    ClassMismatch(Version),
    /// The parts contradict each other.
    #[error("{0}")]
    Inconsistent(&'static str),
}

impl Config {
    /// Builds a configuration from its parts as in a snapshot, or fails if they contradict each
    /// other.
    pub fn new(
        version: Version,
        classes: impl IntoIterator<Item = Class>,
        last_changes: BTreeMap<String, LastChange>,
    ) -> Result<Self, ChainError> {
        let named = |class: Class| (class.name.clone(), Arc::new(class));
        let classes: BTreeMap<String, Arc<Class>> = classes.into_iter().map(named).collect();
        let is_at_last_change = |class: &Arc<Class>| {
            last_changes.get(&class.name).is_some_and(|last| last.revision == class.revision)
        };
        if !classes.values().all(is_at_last_change) {
            return Err(ChainError::Inconsistent(
                "a class's revision is not that of its last change",
            ));
        }
        if last_changes.values().any(|last| last.revision > version) {
            return Err(ChainError::Inconsistent(
                "a class's last change is newer than the version",
            ));
        }
        let classes_by_service = classes_by_service(&classes);
        Ok(Self { version, classes, last_changes, classes_by_service })
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns all classes, ordered by name.
    pub fn classes(&self) -> impl Iterator<Item = &Class> {
        self.classes.values().map(Arc::as_ref)
    }

    /// Returns the class of that name.
    pub fn class(&self, name: &str) -> Option<&Class> {
        self.classes.get(name).map(Arc::as_ref)
    }

    /// Returns the last change of each class by name, including removed ones.
    pub fn last_changes(&self) -> &BTreeMap<String, LastChange> {
        &self.last_changes
    }

    /// Returns the revision of the class of that name. For a removed class, that is the revision of
    /// its removal; zero if no class of that name ever existed.
    pub fn revision(&self, name: &str) -> Version {
        self.last_changes.get(name).map_or(Version(0), |last| last.revision)
    }

    /// Returns an upper bound on the size of a snapshot that also includes `class`, in bytes.
    pub(crate) fn snapshot_bytes_with(&self, class: &Class) -> usize {
        let classes: usize = self.classes().map(Class::snapshot_bytes).sum();
        let size =
            |(name, last): (&String, &LastChange)| name.len() + last.id.0.len() + LAST_CHANGE_BYTES;
        let last_changes: usize = self.last_changes.iter().map(size).sum();
        let new = class.snapshot_bytes() + class.name.len() + MAX_NAME_LEN + LAST_CHANGE_BYTES;
        ENVELOPE_BYTES + classes + last_changes + new
    }

    /// Returns the class that a request belongs to: of the classes of its service that include its
    /// method and path, the one with the longest prefix. Does not allocate.
    pub fn classify(&self, service: &str, method: &str, path: &str) -> Option<&Arc<Class>> {
        let mut classes = self.classes_by_service.get(service)?.iter();
        classes.find(|class| class.has_method(method) && class.has_path(path))
    }

    /// Returns the configuration with `records` applied, of which the first must have the next
    /// version.
    pub fn with_records<'a>(
        &self,
        records: impl IntoIterator<Item = &'a ChangeRecord>,
    ) -> Result<Self, ChainError> {
        let mut next = self.clone();
        for record in records {
            next.apply_record(record)?;
        }
        next.classes_by_service = classes_by_service(&next.classes);
        Ok(next)
    }

    /// Applies one record; the caller updates `classes_by_service`.
    fn apply_record(&mut self, record: &ChangeRecord) -> Result<(), ChainError> {
        if record.version != self.version.next() {
            return Err(ChainError::NotConsecutive {
                config: self.version,
                record: record.version,
            });
        }
        let name = record.class_name().to_owned();
        if self.class(&name) != record.from.as_ref() {
            return Err(ChainError::ClassMismatch(record.version));
        }
        match &record.to {
            Some(class) => self.classes.insert(name.clone(), Arc::new(class.clone())),
            None => self.classes.remove(&name),
        };
        let last_change = LastChange { revision: record.version, id: record.id.clone() };
        self.last_changes.insert(name, last_change);
        self.version = record.version;
        Ok(())
    }
}

fn classes_by_service(classes: &BTreeMap<String, Arc<Class>>) -> BTreeMap<String, Vec<Arc<Class>>> {
    let mut by_length: Vec<&Arc<Class>> = classes.values().collect();
    by_length.sort_by_key(|class| std::cmp::Reverse(class.path_prefix.len()));
    let mut by_service: BTreeMap<String, Vec<Arc<Class>>> = BTreeMap::new();
    for class in by_length {
        by_service.entry(class.service.clone()).or_default().push(Arc::clone(class));
    }
    by_service
}
