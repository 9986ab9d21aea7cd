//! The configuration at one version.

use crate::check::MAX_NAME;
use crate::{ChangeId, ChangeRecord, Class, Version};
use std::collections::BTreeMap;
use std::sync::Arc;
use thiserror::Error;

/// Upper bound of what a snapshot holds beside classes and marks, in bytes.
const ENVELOPE_BYTES: usize = 100;

/// Upper bound of what a mark takes in a snapshot beside its texts, in bytes.
const MARK_BYTES: usize = 60;

/// All classes, at one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Config {
    version: Version,
    classes: BTreeMap<String, Arc<Class>>,
    /// The last change of each class, of removed ones too, so that a change that was overtaken by
    /// a removal is never accepted a second time.
    marks: BTreeMap<String, LastChange>,
    /// The classes of each service, longest prefix first. Follows from `classes`.
    routes: BTreeMap<String, Vec<Arc<Class>>>,
}

/// The last change of a class.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LastChange {
    /// Version that the change made.
    pub revision: Version,
    /// Identifier of the change.
    pub id: ChangeId,
}

/// A record or a part that does not fit the chain of changes.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ChainError {
    /// The record does not follow the version.
    #[error("version {record} does not follow version {config}")]
    NotConsecutive {
        /// Version of the configuration.
        config: Version,
        /// Version of the record.
        record: Version,
    },
    /// The record starts from another class than the configuration has.
    #[error("the change to version {0} starts from another class than there is")]
    ClassMismatch(Version),
    /// Parts that contradict each other.
    #[error("{0}")]
    Inconsistent(&'static str),
}

impl Config {
    /// A configuration out of its parts, as a snapshot holds them.
    pub fn new(
        version: Version,
        classes: impl IntoIterator<Item = Class>,
        marks: BTreeMap<String, LastChange>,
    ) -> Result<Self, ChainError> {
        let named = |class: Class| (class.name.clone(), Arc::new(class));
        let classes: BTreeMap<String, Arc<Class>> = classes.into_iter().map(named).collect();
        let marked = |class: &Arc<Class>| {
            marks.get(&class.name).is_some_and(|mark| mark.revision == class.revision)
        };
        if !classes.values().all(marked) {
            return Err(ChainError::Inconsistent("a class is not at its last revision"));
        }
        if marks.values().any(|mark| mark.revision > version) {
            return Err(ChainError::Inconsistent("a revision is newer than the version"));
        }
        let routes = routes(&classes);
        Ok(Self { version, classes, marks, routes })
    }

    /// Version of the configuration.
    pub fn version(&self) -> Version {
        self.version
    }

    /// All classes, by name.
    pub fn classes(&self) -> impl Iterator<Item = &Class> {
        self.classes.values().map(Arc::as_ref)
    }

    /// The class of that name.
    pub fn class(&self, name: &str) -> Option<&Class> {
        self.classes.get(name).map(Arc::as_ref)
    }

    /// The last change of each class by name, of removed ones too.
    pub fn last_changes(&self) -> &BTreeMap<String, LastChange> {
        &self.marks
    }

    /// Revision of the class of that name, of a removed one too; zero where there never was one.
    pub fn revision(&self, name: &str) -> Version {
        self.marks.get(name).map_or(Version(0), |mark| mark.revision)
    }

    /// Upper bound of the size of a snapshot once `class` is in, in bytes.
    pub(crate) fn snapshot_bytes_with(&self, class: &Class) -> usize {
        let classes: usize = self.classes().map(Class::snapshot_bytes).sum();
        let mark = |(name, mark): (&String, &LastChange)| name.len() + mark.id.0.len() + MARK_BYTES;
        let marks: usize = self.marks.iter().map(mark).sum();
        let new = class.snapshot_bytes() + class.name.len() + MAX_NAME + MARK_BYTES;
        ENVELOPE_BYTES + classes + marks + new
    }

    /// The class that a request belongs to: among the classes of its service that cover its method
    /// and path, the one with the longest prefix. Allocates nothing.
    pub fn classify(&self, service: &str, method: &str, path: &str) -> Option<&Arc<Class>> {
        let mut classes = self.routes.get(service)?.iter();
        classes.find(|class| class.has_method(method) && class.has_path(path))
    }

    /// The configuration after `records`, of which the first must be the next.
    pub fn with_records<'a>(
        &self,
        records: impl IntoIterator<Item = &'a ChangeRecord>,
    ) -> Result<Self, ChainError> {
        let mut next = self.clone();
        for record in records {
            next.advance(record)?;
        }
        next.routes = routes(&next.classes);
        Ok(next)
    }

    /// Takes in one record, but for the routes.
    fn advance(&mut self, record: &ChangeRecord) -> Result<(), ChainError> {
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
        let mark = LastChange { revision: record.version, id: record.id.clone() };
        self.marks.insert(name, mark);
        self.version = record.version;
        Ok(())
    }
}

fn routes(classes: &BTreeMap<String, Arc<Class>>) -> BTreeMap<String, Vec<Arc<Class>>> {
    let mut by_length: Vec<&Arc<Class>> = classes.values().collect();
    by_length.sort_by_key(|class| std::cmp::Reverse(class.path_prefix.len()));
    let mut routes: BTreeMap<String, Vec<Arc<Class>>> = BTreeMap::new();
    for class in by_length {
        routes.entry(class.service.clone()).or_default().push(Arc::clone(class));
    }
    routes
}
